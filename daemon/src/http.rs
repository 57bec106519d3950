//! Helpers shared by the HTTP servers.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use volo_http::body::Body;
use volo_http::http::StatusCode;
use volo_http::http::header;
use volo_http::response::Response;

/// How long a request body may take to arrive. Longer than the usual deadline of a service, and short
/// enough that slow senders do not hold many connections open.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// How many bytes of a body are read beyond its limit, and discarded, before the read stops.
const MAX_DROPPED_BYTES: usize = 4 * 1024 * 1024;

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds its limit.
    #[error("the body is too long")]
    TooLong,
    /// The connection was lost, or the body did not arrive within [`BODY_TIMEOUT`].
    #[error("the body did not arrive")]
    Incomplete,
}

/// Reads a body of at most `limit` bytes to its end, for at most [`BODY_TIMEOUT`].
pub async fn read_body(body: Body, limit: usize) -> Result<Bytes, BodyError> {
    match tokio::time::timeout(BODY_TIMEOUT, collect(body, limit)).await {
        Ok(collected) => collected,
        Err(_) => Err(BodyError::Incomplete),
    }
}

/// Collects a body. Bytes beyond the limit are read and discarded, because closing a connection
/// with unread bytes resets it, and the sender then loses the response with the reason.
async fn collect(mut body: Body, limit: usize) -> Result<Bytes, BodyError> {
    let mut collected = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length <= limit {
            collected.extend_from_slice(&data);
        } else if length > limit + MAX_DROPPED_BYTES {
            break;
        }
    }
    if length > limit {
        return Err(BodyError::TooLong);
    }
    Ok(collected.freeze())
}

/// Builds a JSON response. The body is empty if the message cannot be encoded.
pub fn json<T>(status: StatusCode, message: &T) -> Response
where
    T: serde::Serialize,
{
    let body = serde_json::to_vec(message).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Builds a response without a body.
pub fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
