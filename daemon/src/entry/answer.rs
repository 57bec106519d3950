//! Builds the answers to callers.

use std::fmt;
use std::time::Duration;

use camphorhold::coordination::query;
use camphorhold::protocol::caller::AnswerBody;
use camphorhold::protocol::caller::Coverage;
use camphorhold::protocol::caller::Outcome;
use camphorhold::protocol::leaf::Hit;
use camphorhold::state::id::RequestId;
use thiserror::Error;

/// Reasons why this instance refuses a request, apart from those of the admission and query state
/// machines. Callers see the texts.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// The instance has lost currency: a newer configuration may be in force.
    #[error("configuration currency lost")]
    CurrencyLost,
    /// No file has been accepted yet, or the file no longer lists the service, version or tenant.
    #[error("no configuration is in force yet")]
    NoFile,
    /// The instance is shutting down.
    #[error("the instance is shutting down")]
    ShuttingDown,
    /// Equal requests crashed too many backend servers.
    #[error("the request crashed backend servers and is blocked")]
    Poison,
    /// Too many canaries of other requests are in progress.
    #[error("too many new requests are being tried out")]
    CanariesFull,
    /// The canary of an equal request did not end before the deadline.
    #[error("an equal request is being tried out")]
    CanaryRuns,
    /// No owner of the idempotency key may run the request yet, or instances disagree on the owner.
    #[error("the owner of the idempotency key is changing")]
    KeyOwnerChanging,
    /// An earlier send of the request did not end before the deadline of this one.
    #[error("an earlier send of the request is still running")]
    EarlierSendRuns,
    /// An earlier send of the request ended with an unknown outcome.
    #[error("the outcome of an earlier send of the request is unknown")]
    EarlierOutcomeUnknown,
    /// The answer exceeds the size that is kept for resends.
    #[error("the answer is too long to be kept for resends")]
    AnswerTooLong,
}

/// Returns an answer which states that no backend server has run the request.
pub fn not_run(request_id: RequestId, reason: &impl fmt::Display) -> AnswerBody {
    without_answer(request_id, Outcome::NotRun, reason)
}

/// Returns an answer which states that backend servers may have run the request.
pub fn unknown(request_id: RequestId, reason: &impl fmt::Display) -> AnswerBody {
    without_answer(request_id, Outcome::Unknown, reason)
}

fn without_answer(
    request_id: RequestId,
    outcome: Outcome,
    reason: &impl fmt::Display,
) -> AnswerBody {
    AnswerBody {
        request_id,
        outcome,
        reason: Some(reason.to_string().into()),
        snapshot: None,
        coverage: Coverage::default(),
        hits: Vec::new(),
        server_time_ms: 0.0,
    }
}

/// Converts the result of a query. Hits are sorted by descending score, then by document.
pub fn from_query(
    request_id: RequestId,
    answer: query::Answer<Vec<Hit>>,
    duration: Duration,
) -> AnswerBody {
    let coverage = Coverage {
        answered: answer.coverage.answered,
        in_scope: answer.coverage.in_scope,
    };
    let (outcome, reason) = match answer.outcome {
        query::Outcome::Answered => (Outcome::Answered, None),
        query::Outcome::NotRun(reason) => (Outcome::NotRun, Some(reason)),
        query::Outcome::Unknown(reason) => (Outcome::Unknown, Some(reason)),
    };
    let mut hits: Vec<Hit> = answer
        .contents
        .into_iter()
        .flat_map(|(_, hits)| hits)
        .collect();
    hits.sort_by(|a, b| {
        b.score
            .cmp(&a.score)
            .then_with(|| a.document.cmp(&b.document))
    });
    AnswerBody {
        request_id,
        outcome,
        reason: reason.map(|reason| reason.to_string().into()),
        snapshot: (outcome == Outcome::Answered).then_some(answer.pin.snapshot),
        coverage,
        hits,
        server_time_ms: duration.as_secs_f64() * 1000.0,
    }
}
