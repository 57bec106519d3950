//! Builds the response to a request, and logs each request that was not answered completely and in
//! time.

use std::time::Duration;

use bytes::Bytes;
use camphorhold::coordination::merge::Coverage;
use camphorhold::coordination::serving::fanout::Reason;
use camphorhold::coordination::serving::fanout::Summary;
use camphorhold::coordination::serving::fanout::Verdict;
use camphorhold::state::plan::Plan;
use camphorhold::state::plan::Route;
use camphorhold::state::plan::Target;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;

use crate::call::ForwardedRequest;
use crate::gather::FinishedRequest;
use crate::handover;
use crate::handover::HandoverRequest;
use crate::merge;
use crate::request::Origin;
use crate::request::end_to_end;
use crate::shared::Shared;

/// The pause stated in `Retry-After`, as a share of the route's latency objective.
const RETRY_AFTER_SHARE: f64 = 0.1;

/// The most missing shards that the log line of a request names.
const MAX_LOGGED_SHARDS: usize = 5;

impl FinishedRequest {
    /// Returns the response to a handover, with a header that lists the shards answered in it.
    pub fn respond_to_instance(
        self,
        shared: &Shared,
        plan: &Plan,
        forwarded: &ForwardedRequest,
        origin: Origin,
        handover_request: &HandoverRequest,
    ) -> Response<Full<Bytes>> {
        let answered: Vec<usize> = self
            .summary
            .answered
            .iter()
            .filter_map(|position| handover_request.shards.get(*position).copied())
            .collect();
        let lost = self
            .loss
            .as_ref()
            .map_or(Vec::new(), |loss| loss.leafs.clone());
        let called = self.may_have_called;
        let refused = self.refused.iter();
        let refused: Vec<usize> = refused
            .filter_map(|position| handover_request.shards.get(*position).copied())
            .collect();
        let mut response = self.respond(plan, forwarded, origin);
        handover::add_answer_headers(shared, response.headers_mut(), &answered, &lost, called);
        handover::add_load_headers(shared, forwarded, handover_request, &refused, &mut response);
        response
    }

    /// Returns the response to a caller. Records the request in the metrics, and logs it unless it
    /// was answered completely and within the latency objective.
    pub fn respond(
        self,
        plan: &Plan,
        forwarded: &ForwardedRequest,
        origin: Origin,
    ) -> Response<Full<Bytes>> {
        let elapsed = self.ended.saturating_duration_since(origin.arrived);
        let outcome = self.outcome(forwarded, elapsed);
        metrics::counter!("camphorhold_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("camphorhold_request_seconds").record(elapsed.as_secs_f64());
        metrics::counter!("camphorhold_hedges_total").increment(self.summary.hedges.into());
        metrics::counter!("camphorhold_retries_total").increment(self.summary.retries.into());
        if outcome != "answered" {
            self.log(plan, forwarded, outcome, elapsed);
        }
        match self.verdict {
            Verdict::Answer(coverage) => answer(forwarded, self.parts, coverage),
            Verdict::GiveUp {
                reason,
                may_have_run,
                ..
            } => give_up(
                forwarded,
                self.failure,
                reason,
                may_have_run && forwarded.sent.get(),
            ),
        }
    }

    fn outcome(&self, forwarded: &ForwardedRequest, elapsed: Duration) -> &'static str {
        match self.verdict {
            Verdict::Answer(_) if elapsed > forwarded.route.objective => "late",
            Verdict::Answer(coverage) if coverage.is_complete() => "answered",
            Verdict::Answer(_) => "partial",
            Verdict::GiveUp {
                may_have_run: false,
                ..
            } => "refused",
            Verdict::GiveUp {
                reason: Reason::TimedOut,
                ..
            } => "timed_out",
            Verdict::GiveUp {
                reason: Reason::Unavailable,
                ..
            } => "failed",
        }
    }

    fn log(&self, plan: &Plan, forwarded: &ForwardedRequest, outcome: &str, elapsed: Duration) {
        let Summary {
            coverage,
            hedges,
            retries,
            ref missing,
            ..
        } = self.summary;
        let missing = &missing[..missing.len().min(MAX_LOGGED_SHARDS)];
        log::info!(
            request = forwarded.id(),
            fingerprint:% = forwarded.fingerprint(),
            route = &*forwarded.route.name,
            outcome = outcome,
            answered = coverage.answered,
            in_scope = coverage.in_scope,
            elapsed_ms = millis(elapsed),
            hedges = hedges,
            retries = retries,
            missing = missing.join(","),
            troubles = self.call_errors.join("; "),
            config_version = plan.version(),
            store_age_ms = millis(self.store_age);
            "request ended"
        );
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn answer(
    forwarded: &ForwardedRequest,
    mut parts: Vec<Response<Bytes>>,
    coverage: Coverage,
) -> Response<Full<Bytes>> {
    if let Target::Shards(scope) = &forwarded.route.target {
        return merge::respond(&parts, coverage, scope.top_k);
    }
    match parts.pop() {
        Some(part) => forward(part),
        None => empty_response(StatusCode::BAD_GATEWAY),
    }
}

/// Returns a leaf's answer unchanged except for hop-by-hop headers.
pub fn forward(answer: Response<Bytes>) -> Response<Full<Bytes>> {
    let (mut head, body) = answer.into_parts();
    head.headers = end_to_end(head.headers);
    head.version = hyper::Version::HTTP_11;
    Response::from_parts(head, Full::new(body))
}

fn give_up(
    forwarded: &ForwardedRequest,
    failure: Option<Response<Bytes>>,
    reason: Reason,
    may_have_run: bool,
) -> Response<Full<Bytes>> {
    if !may_have_run {
        return refuse(retry_after(&forwarded.route));
    }
    let is_query = matches!(forwarded.route.target, Target::Shards(_));
    match failure {
        Some(failure) if !is_query && !promises_not_run(failure.status()) => {
            if failure.status().is_success() {
                // An unsigned or encoded success does not come from the leaf: forward neither its
                // body nor its status.
                empty_response(StatusCode::BAD_GATEWAY)
            } else {
                forward(failure)
            }
        }
        _ if reason == Reason::TimedOut => empty_response(StatusCode::GATEWAY_TIMEOUT),
        _ => empty_response(StatusCode::BAD_GATEWAY),
    }
}

/// Returns whether callers take `status` as a guarantee that no leaf has run the request.
fn promises_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}

/// Returns how long the caller of a refused request should wait before it retries.
pub fn retry_after(route: &Route) -> Duration {
    route.objective.mul_f64(RETRY_AFTER_SHARE)
}

/// Returns a 503 response, for a request that no leaf has run, with `pause` as its `Retry-After`.
pub fn refuse(pause: Duration) -> Response<Full<Bytes>> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", pause.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns a response with an empty body and no headers.
pub fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Returns a response to a request that was not read to its end, so that the connection closes.
pub fn closing_response(status: StatusCode) -> Response<Full<Bytes>> {
    close_after(empty_response(status))
}

/// Returns a response after which the connection closes.
pub fn close_after(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}
