//! Answers to callers.

use std::fmt;
use std::time::Duration;

use camphorhold::coordination::query;
use camphorhold::protocol::caller::AnswerBody;
use camphorhold::protocol::caller::Coverage;
use camphorhold::protocol::caller::Outcome;
use camphorhold::protocol::leaf::Hit;
use camphorhold::state::id::RequestId;
use thiserror::Error;

/// Why this instance refuses a request, beyond the reasons of the decisions themselves.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// It cannot know which configuration is in force.
    #[error("configuration currency lost")]
    CurrencyLost,
    /// No file was accepted yet.
    #[error("no configuration is in force yet")]
    NoFile,
    /// It is about to end.
    #[error("the instance is shutting down")]
    ShuttingDown,
    /// The request crashed backend servers.
    #[error("the request crashed backend servers and is blocked")]
    Poison,
    /// Too many new requests are being tried out.
    #[error("too many new requests are being tried out")]
    CanariesFull,
    /// The canary of an equal request did not end in time.
    #[error("an equal request is being tried out")]
    CanaryRuns,
    /// The key moves from one owner to another.
    #[error("the owner of the idempotency key is changing")]
    KeyOwnerChanging,
    /// An earlier send of the request has not ended.
    #[error("an earlier send of the request is still running")]
    EarlierSendRuns,
    /// An earlier send of the request had an unknown outcome.
    #[error("the outcome of an earlier send of the request is unknown")]
    EarlierOutcomeUnknown,
    /// The answer cannot be kept for resends.
    #[error("the answer is too long to be kept for resends")]
    AnswerTooLong,
}

/// Says that no backend server has run the request.
pub fn not_run(request_id: RequestId, reason: &impl fmt::Display) -> AnswerBody {
    without_answer(request_id, Outcome::NotRun, reason)
}

/// Says that backend servers may have run the request.
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

/// Turns the end of a query into an answer, with the best hits first.
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
