//! The HTTP server for callers.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use camphorhold::protocol::caller::AnswerBody;
use camphorhold::protocol::caller::MAX_REQUEST_BYTES;
use camphorhold::protocol::caller::Outcome;
use camphorhold::protocol::caller::Request as CallerRequest;
use camphorhold::protocol::caller::RequestBody;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Reason;
use camphorhold::state::event::Subject;
use camphorhold::state::id::RequestId;
use camphorhold::state::id::ShardId;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use serde::Serialize;
use thiserror::Error;
use volo_http::http::HeaderValue;
use volo_http::http::StatusCode;
use volo_http::http::header;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::post;

use super::Entry;
use super::answer;
use super::answer::Refusal;
use super::once;
use crate::http::BodyError;
use crate::http::empty;
use crate::http::json;
use crate::http::read_body;

/// Path to which callers post requests.
const QUERY_PATH: &str = "/v1/query";

/// Value of the `Retry-After` header for requests that were not run, in seconds.
const RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

/// Body of the response to an invalid request.
#[derive(Serialize)]
struct Rejection {
    error: Box<str>,
}

/// Decrements the number of requests in flight when dropped. The creator increments it first.
struct InFlightGuard<'a>(&'a AtomicU64);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the router for the requests of callers.
pub fn router(entry: Arc<Entry>) -> Router {
    let handler = move |request: Request| {
        let entry = Arc::clone(&entry);
        async move { serve(&entry, request).await }
    };
    Router::new().route(QUERY_PATH, post(handler))
}

/// Serves a request of a caller, which may be forwarded once.
async fn serve(entry: &Arc<Entry>, request: Request) -> Response {
    let body = match read_request(request).await {
        Ok(body) => body,
        Err(error) => return error.into(),
    };
    let entry = Arc::clone(entry);
    // A task of its own lets the request continue when the caller disconnects, so that its leaf
    // calls are still accounted for.
    let task = tokio::spawn(async move { entry.handle(body, 1).await });
    task.await
        .unwrap_or_else(|_| empty(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Serves a request that another instance forwarded to the owner of the idempotency key. It is not
/// forwarded again.
pub async fn serve_once(entry: &Arc<Entry>, request: Request) -> Response {
    let body = match read_request(request).await {
        Ok(body) => body,
        Err(error) => return error.into(),
    };
    let entry = Arc::clone(entry);
    let task = tokio::spawn(async move { entry.handle(body, 0).await });
    task.await
        .unwrap_or_else(|_| empty(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Reasons why a request cannot be read.
#[derive(Debug, Error)]
enum ReadError {
    /// The body did not arrive completely or is too long.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The body is not a request in JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl From<ReadError> for Response {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Body(BodyError::TooLong) => reject(StatusCode::PAYLOAD_TOO_LARGE, &error),
            ReadError::Body(BodyError::Incomplete) | ReadError::Json(_) => {
                reject(StatusCode::BAD_REQUEST, &error)
            }
        }
    }
}

async fn read_request(request: Request) -> Result<RequestBody, ReadError> {
    let body = read_body(request.into_body(), MAX_REQUEST_BYTES).await?;
    Ok(serde_json::from_slice(&body)?)
}

fn reject(status: StatusCode, error: &impl std::fmt::Display) -> Response {
    metrics::counter!("camphorhold_requests_invalid_total").increment(1);
    let error = error.to_string().into();
    json(status, &Rejection { error })
}

impl Entry {
    async fn handle(&self, mut body: RequestBody, hops: u32) -> Response {
        // The id becomes part of the body, so that a forwarded request keeps it.
        let id = body
            .request_id
            .get_or_insert_with(|| RequestId(rand::random()).to_string());
        log::trace!("received request {id}");
        let request = match CallerRequest::try_from(body.clone()) {
            Ok(request) => request,
            Err(error) => return reject(StatusCode::BAD_REQUEST, &error),
        };
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let _in_flight = InFlightGuard(&self.in_flight);
        if let Some(response) = self.early_response(&request) {
            return response;
        }
        let subject = Subject {
            request: request.request_id,
            service: Some(request.service.clone()),
            ..Subject::default()
        };
        self.recorder
            .record(Kind::RequestAdmitted {}, subject.clone());
        let answer = match &request.idempotency {
            Some(idempotency) => once::run(self, &body, &request, idempotency, hops).await,
            None => self.search(&request, true).await,
        };
        self.record_outcome(&answer, subject);
        respond(&answer)
    }

    /// Checks whether the instance may serve the request and whether the file in force permits it.
    /// Returns the response if the request must not run.
    fn early_response(&self, request: &CallerRequest) -> Option<Response> {
        let id = request.request_id.unwrap_or_default();
        let refuse = |refusal: &Refusal| {
            // For a request with a key, an earlier send may have run.
            let answer = match request.idempotency {
                None => answer::not_run(id, refusal),
                Some(_) => answer::unknown(id, refusal),
            };
            Some(respond(&answer))
        };
        if !self.accepts_requests.load(Ordering::Relaxed) {
            return refuse(&Refusal::ShuttingDown);
        }
        let view = self.control.view();
        if !view.may_act(SystemClock.now()) {
            return refuse(&Refusal::CurrencyLost);
        }
        let Some(file) = &view.file else {
            return refuse(&Refusal::NoFile);
        };
        let Some(service) = file.services.get(&request.service) else {
            return Some(reject(StatusCode::NOT_FOUND, &"the service is unknown"));
        };
        let permitted = service.tenants.is_empty() || service.tenants.contains(&request.tenant);
        if !file.tenants.contains_key(&request.tenant) || !permitted {
            let error = "the tenant may not call the service";
            return Some(reject(StatusCode::FORBIDDEN, &error));
        }
        let known = |shard: &ShardId| shard.0 < service.shards;
        match &request.scope {
            Some(scope) if scope.is_empty() || !scope.iter().all(known) => {
                let error = format!("scope must name shards from 0 to {}", service.shards - 1);
                Some(reject(StatusCode::BAD_REQUEST, &error))
            }
            _ => None,
        }
    }

    fn record_outcome(&self, answer: &AnswerBody, subject: Subject) {
        let outcome = match answer.outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        };
        metrics::counter!("camphorhold_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("camphorhold_request_seconds").record(answer.server_time_ms / 1000.0);
        let answered = u64::from(answer.coverage.answered);
        metrics::counter!("camphorhold_shards_answered_total").increment(answered);
        let in_scope = u64::from(answer.coverage.in_scope);
        metrics::counter!("camphorhold_shards_in_scope_total").increment(in_scope);
        let kind = match answer.outcome {
            Outcome::Answered => Kind::RequestAnswered {
                answered: answer.coverage.answered,
                in_scope: answer.coverage.in_scope,
            },
            Outcome::NotRun | Outcome::Unknown => Kind::RequestRefused {
                reason: Reason(answer.reason.clone().unwrap_or_default()),
            },
        };
        self.recorder.record(kind, subject);
    }
}

fn respond(answer: &AnswerBody) -> Response {
    match answer.outcome {
        Outcome::Answered => json(StatusCode::OK, answer),
        Outcome::NotRun => {
            let mut response = json(StatusCode::SERVICE_UNAVAILABLE, answer);
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, RETRY_AFTER);
            response
        }
        Outcome::Unknown => json(StatusCode::GATEWAY_TIMEOUT, answer),
    }
}
