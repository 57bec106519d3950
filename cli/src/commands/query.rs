//! `query`: sends a query to an entry instance.

use std::net::SocketAddr;
use std::time::Duration;

use camphorhold::protocol::caller::AnswerBody;
use camphorhold::protocol::caller::Coverage;
use camphorhold::protocol::caller::IdempotencyBody;
use camphorhold::protocol::caller::Outcome;
use camphorhold::protocol::caller::RequestBody;
use camphorhold::state::id::RequestId;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::time::unix_millis;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::RETRY_AFTER;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::arguments::Global;
use crate::arguments::Query;
use crate::error::Error;
use crate::error::Exit;
use crate::output;

/// How long the program waits after the deadline for an answer that is still being sent.
const GRACE: Duration = Duration::from_secs(2);

/// The pause before a request that was not run is sent again, if the answer has no `Retry-After`.
const DEFAULT_PAUSE: Duration = Duration::from_millis(100);

/// The result of one attempt.
enum Attempt {
    /// The instance sent an answer. The pause is present if the request was not run and may be sent
    /// once more after it.
    Answer(Box<AnswerBody>, Option<Duration>),
    /// The instance refused the request as invalid and did not run it.
    Refused(StatusCode, String),
    /// The connection could not be opened, so the request was not sent.
    NotSent(String),
    /// No answer could be read after the request was sent. The request may have run.
    Lost(String),
}

pub async fn run(global: &Global, arguments: &Query) -> Result<Exit, Error> {
    let request_id = RequestId(rand::random());
    let body = serde_json::to_vec(&body(arguments, request_id))?;
    let started_at = SystemClock.now();
    let mut failures = Vec::new();
    for number in 1..=arguments.attempts {
        failures.clear();
        let last = number == arguments.attempts;
        for entry in &arguments.entries {
            let attempt = send(*entry, body.clone(), arguments.deadline + GRACE).await;
            match attempt {
                Attempt::NotSent(reason) => failures.push((*entry, reason)),
                Attempt::Answer(answer, Some(pause)) if !last => {
                    let waited = SystemClock.now().saturating_duration_since(started_at);
                    if waited + pause >= arguments.deadline {
                        return print(global, &answer);
                    }
                    tokio::time::sleep(pause).await;
                    break;
                }
                Attempt::Answer(answer, _) => return print(global, &answer),
                Attempt::Refused(status, text) => {
                    output::line(&format!("refused: {status}: {}", text.trim()))?;
                    return Ok(Exit::Refused);
                }
                Attempt::Lost(reason) => {
                    output::line(&format!("unknown: request {request_id}: {reason}"))?;
                    return Ok(Exit::Unknown);
                }
            }
        }
        if failures.len() == arguments.entries.len() {
            break;
        }
    }
    Err(Error::Unreachable(failures))
}

fn body(arguments: &Query, request_id: RequestId) -> RequestBody {
    let idempotency = arguments
        .idempotency_key
        .as_ref()
        .map(|key| IdempotencyBody {
            key: key.to_string(),
            issued_at_ms: unix_millis(SystemClock.wall()),
        });
    let scope = (!arguments.scope.is_empty())
        .then(|| arguments.scope.iter().map(|shard| shard.0).collect());
    RequestBody {
        request_id: Some(request_id.to_string()),
        tenant: arguments.tenant.to_string(),
        service: arguments.service.to_string(),
        route: arguments.route.to_string(),
        scope,
        query: arguments.text.clone(),
        deadline_ms: u64::try_from(arguments.deadline.as_millis()).ok(),
        worth: arguments.worth,
        idempotency,
    }
}

async fn send(entry: SocketAddr, body: Vec<u8>, timeout: Duration) -> Attempt {
    let stream = match tokio::time::timeout(timeout, TcpStream::connect(entry)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Attempt::NotSent(error.to_string()),
        Err(_) => return Attempt::NotSent("connecting timed out".into()),
    };
    match tokio::time::timeout(timeout, exchange(entry, stream, body)).await {
        Ok(Ok(attempt)) => attempt,
        Ok(Err(error)) => Attempt::Lost(error.to_string()),
        Err(_) => Attempt::Lost("the answer did not arrive in time".into()),
    }
}

async fn exchange(
    entry: SocketAddr,
    stream: TcpStream,
    body: Vec<u8>,
) -> Result<Attempt, hyper::Error> {
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    // An error of the connection also fails the calls below, which return it.
    let driver = tokio::spawn(connection);
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/v1/query");
    let headers = request.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    if let Ok(host) = entry.to_string().parse() {
        headers.insert(HOST, host);
    }
    let response = sender.send_request(request).await?;
    let status = response.status();
    let pause = response.headers().get(RETRY_AFTER);
    let pause = pause.and_then(|value| value.to_str().ok()?.parse().ok());
    let pause = pause.map_or(DEFAULT_PAUSE, Duration::from_secs);
    let bytes = response.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok(match serde_json::from_slice::<AnswerBody>(&bytes) {
        Ok(answer) => {
            let not_run = answer.outcome == Outcome::NotRun;
            let retryable = not_run && status == StatusCode::SERVICE_UNAVAILABLE;
            Attempt::Answer(Box::new(answer), retryable.then_some(pause))
        }
        Err(_) if status.is_client_error() => {
            Attempt::Refused(status, String::from_utf8_lossy(&bytes).into_owned())
        }
        Err(error) => Attempt::Lost(format!(
            "cannot decode the answer with status {status}: {error}"
        )),
    })
}

fn print(global: &Global, answer: &AnswerBody) -> Result<Exit, Error> {
    let exit = match answer.outcome {
        Outcome::Answered => Exit::Done,
        Outcome::NotRun => Exit::Refused,
        Outcome::Unknown => Exit::Unknown,
    };
    if global.json {
        output::json(answer)?;
        return Ok(exit);
    }
    for hit in &answer.hits {
        output::line(&format!("{:>7}  {}", hit.score, hit.document))?;
    }
    let reason = answer.reason.as_deref();
    let reason = reason.map_or_else(String::new, |reason| format!(" ({reason})"));
    output::line(&format!(
        "outcome: {}{reason}",
        output::name(&answer.outcome)
    ))?;
    let Coverage { answered, in_scope } = answer.coverage;
    output::line(&format!("coverage: {answered} of {in_scope} shards"))?;
    if let Some(snapshot) = answer.snapshot {
        output::line(&format!("snapshot: {snapshot}"))?;
    }
    output::line(&format!("request: {}", answer.request_id))?;
    Ok(exit)
}
