//! Reads the body of a request or an answer, bounded in bytes and in the time for which it keeps the
//! thread.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

use super::read_budget::ReadBudget;

/// What a chunk costs at least of the limit, in bytes. A body in chunks of one byte would otherwise
/// take a thousand times as much processor time as others of the same length.
const MIN_CHUNK_COST: usize = 16;

/// The error returned when a body has not been read to its end.
#[derive(Debug, Error)]
pub enum Error {
    /// It is longer than permitted, or all answers in progress together are.
    #[error("the body is longer than permitted")]
    TooLong,
    /// The connection broke, or the body is not framed correctly.
    #[error("the body broke off: {0}")]
    Broken(#[source] hyper::Error),
}

/// Reads a body of at most `limit` bytes, with as many of `budget` as are left for it. Chunks count
/// as 16 bytes at least.
///
/// Lets other tasks run after some chunks, also if the next ones have arrived already.
///
/// # Errors
///
/// Returns an error if the body is longer, or does not arrive completely.
pub async fn read(
    mut body: Incoming,
    limit: usize,
    budget: Option<&ReadBudget>,
) -> Result<Bytes, Error> {
    let reservation = budget.map(ReadBudget::start);
    let mut first = Bytes::new();
    let mut rest = Vec::new();
    let mut cost = 0;
    while let Some(frame) = body.frame().await {
        tokio::task::coop::consume_budget().await;
        let Ok(chunk) = frame.map_err(Error::Broken)?.into_data() else {
            // Trailers are not used.
            continue;
        };
        // Most bodies arrive as one chunk, which needs no copy and no minimum.
        let is_first = first.is_empty() && rest.is_empty();
        cost += if is_first {
            chunk.len()
        } else {
            chunk.len().max(MIN_CHUNK_COST)
        };
        let is_over_budget = reservation
            .as_ref()
            .is_some_and(|reservation| reservation.take(chunk.len()).is_err());
        if cost > limit || is_over_budget {
            return Err(Error::TooLong);
        }
        if is_first {
            first = chunk;
            continue;
        }
        if rest.is_empty() {
            rest.extend_from_slice(&std::mem::take(&mut first));
        }
        rest.extend_from_slice(&chunk);
    }
    Ok(if rest.is_empty() { first } else { rest.into() })
}
