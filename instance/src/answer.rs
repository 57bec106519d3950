//! The answer to a request, and the log line of one that did not go as it should.

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
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;

use crate::call::ForwardedRequest;
use crate::gather::FinishedRequest;
use crate::handover;
use crate::handover::HandoverRequest;
use crate::merge;
use crate::request::Origin;
use crate::request::end_to_end;

/// When a caller should come back, as a part of the latency objective.
const RETRY_AFTER_SHARE: f64 = 0.1;

/// Missing shards that are named in the log line of a request.
const MAX_LOGGED_SHARDS: usize = 5;

impl FinishedRequest {
    /// Returns the answer to a handover, which also tells which shards it holds.
    pub fn respond_to_instance(
        self,
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
        let mut response = self.respond(plan, forwarded, origin);
        if let Some(answered) = handover::answered_header(&answered) {
            response.headers_mut().insert(handover::HEADER, answered);
        }
        response
    }

    /// Returns the answer to a caller.
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
        None => plain(StatusCode::BAD_GATEWAY),
    }
}

/// Returns a leaf's answer unchanged, but for headers that concern one connection.
fn forward(answer: Response<Bytes>) -> Response<Full<Bytes>> {
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
        Some(failure) if !is_query && !says_not_run(failure.status()) => {
            if failure.status().is_success() {
                // The body is not the leaf's, so neither may the status be.
                plain(StatusCode::BAD_GATEWAY)
            } else {
                forward(failure)
            }
        }
        _ if reason == Reason::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT),
        _ => plain(StatusCode::BAD_GATEWAY),
    }
}

/// Tells whether callers take a status as a promise that the request has not run.
fn says_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}

/// Returns when the caller of a refused request should come back.
pub fn retry_after(route: &Route) -> Duration {
    route.objective.mul_f64(RETRY_AFTER_SHARE)
}

/// Returns the answer to a request that no leaf has run.
pub fn refuse(pause: Duration) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", pause.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns an answer without a body.
pub fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
