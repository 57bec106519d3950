//! Reads the body of a request or an answer, bounded in bytes and in the time for which it keeps the
//! thread.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

use super::client::Charge;
use super::client::Connection;
use super::read_budget::ReadBudget;
use super::read_budget::Reservation;
use crate::coordination::serving::memory_account::Refused;
use crate::coordination::serving::memory_account::Share;

/// How many bytes the chunks of a body have to have on average, if it has the longest permitted length.
/// A body in chunks of one byte would otherwise take a thousand times as much processor time as others
/// of the same length.
const MIN_CHUNK_BYTES: usize = 16;

/// The sizes of the segments in which a body is collected. A buffer that grows would be copied each
/// time, and leave holes in the heap while many bodies are collected.
const MIN_SEGMENT_BYTES: usize = 2 << 10;
const MAX_SEGMENT_BYTES: usize = 16 << 10;

/// The error returned when a body has not been read to its end.
#[derive(Debug, Error)]
pub enum Error {
    /// It is longer than permitted, or all answers in progress together are.
    #[error("the body is longer than permitted")]
    TooLong,
    /// The connection broke, or the body is not framed correctly.
    #[error("the body broke off: {0}")]
    Broken(#[source] hyper::Error),
    /// The account of clients has no memory for it.
    #[error("no memory for the body: {0}")]
    Refused(#[from] Refused),
}

/// What bounds the bodies that are being read at the same time.
enum Bound {
    Answers(Reservation),
    Requests(Charge),
}

impl Bound {
    fn add_chunk(&mut self, bytes: usize) -> Result<(), Error> {
        match self {
            Self::Answers(reservation) => reservation.take(bytes).map_err(|_| Error::TooLong),
            // Charged for by the segment.
            Self::Requests(_) => Ok(()),
        }
    }

    fn add_buffer(&mut self, bytes: usize) -> Result<(), Error> {
        match self {
            Self::Answers(_) => Ok(()),
            Self::Requests(charge) => Ok(charge.grow(bytes)?),
        }
    }
}

/// A body as far as it has arrived.
#[derive(Default)]
struct Segments {
    segments: Vec<Vec<u8>>,
    length: usize,
}

impl Segments {
    fn extend(&mut self, mut chunk: &[u8], bound: &mut Bound) -> Result<(), Error> {
        while !chunk.is_empty() {
            let spare = self
                .segments
                .last()
                .map_or(0, |last| last.capacity() - last.len());
            if spare == 0 {
                let bytes = self.length.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
                bound.add_buffer(bytes)?;
                self.segments.push(Vec::with_capacity(bytes));
                continue;
            }
            let (now, later) = chunk.split_at(spare.min(chunk.len()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(now);
            }
            self.length += now.len();
            chunk = later;
        }
        Ok(())
    }

    /// Returns the whole body. Frees each segment once it has been copied.
    fn join(self) -> Bytes {
        let mut joined = Vec::with_capacity(self.length);
        for segment in self.segments {
            joined.extend_from_slice(&segment);
        }
        joined.into()
    }
}

/// Reads the body of an answer, of at most `limit` bytes, with as many of `budget` as are left for it.
/// It may have one chunk for each 16 bytes of the limit.
///
/// Lets other tasks run after some chunks, also if the next ones have arrived already.
///
/// # Errors
///
/// Returns an error if the body is longer, or does not arrive completely.
pub async fn read(body: Incoming, limit: usize, budget: &ReadBudget) -> Result<Bytes, Error> {
    let mut bound = Bound::Answers(budget.start());
    collect(body, limit, &mut bound).await
}

/// Reads the body of a request as [`read`] does, and charges the client's connection for it until the
/// last clone of it is dropped. The client's request is complete then.
///
/// # Errors
///
/// Returns an error if the body is longer or does not arrive completely, or if the client must not
/// hold it. The request must not be started then.
pub async fn read_request(
    body: Incoming,
    limit: usize,
    connection: &Connection,
) -> Result<Bytes, Error> {
    let mut bound = Bound::Requests(connection.charge(Share::Bodies));
    let body = collect(body, limit, &mut bound).await?;
    connection.on_request()?;
    Ok(match bound {
        Bound::Requests(mut charge) => {
            charge.set(body.len())?;
            charge.attach(body)
        }
        Bound::Answers(_) => body,
    })
}

async fn collect(mut body: Incoming, limit: usize, bound: &mut Bound) -> Result<Bytes, Error> {
    let mut first = Bytes::new();
    let mut rest = Segments::default();
    let mut length = 0;
    let mut further_chunks = 0;
    while let Some(frame) = body.frame().await {
        tokio::task::coop::consume_budget().await;
        let Ok(chunk) = frame.map_err(Error::Broken)?.into_data() else {
            // Trailers are not used.
            continue;
        };
        // Most bodies arrive as one chunk, which needs no copy and no minimum.
        let is_first = first.is_empty() && rest.length == 0;
        length += chunk.len();
        further_chunks += usize::from(!is_first);
        bound.add_chunk(chunk.len())?;
        if length > limit || further_chunks * MIN_CHUNK_BYTES > limit {
            return Err(Error::TooLong);
        }
        if is_first {
            bound.add_buffer(chunk.len())?;
            first = chunk;
            continue;
        }
        if rest.length == 0 {
            rest.extend(&std::mem::take(&mut first), bound)?;
        }
        rest.extend(&chunk, bound)?;
    }
    Ok(if rest.length == 0 { first } else { rest.join() })
}
