//! Helpers shared by the HTTP servers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use volo_http::body::Body;
use volo_http::http::StatusCode;
use volo_http::http::header;
use volo_http::response::Response;

/// How long a request body may take to arrive. Longer than any deadline of a service, short enough
/// that slow senders do not pile up.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than permitted.
    #[error("the body is too long")]
    TooLong,
    /// The connection broke, or the body did not arrive in time.
    #[error("the body did not arrive")]
    Incomplete,
}

/// Reads a whole body of at most `limit` bytes.
pub async fn read_body(body: Body, limit: usize) -> Result<Bytes, BodyError> {
    let collected = Limited::new(body, limit).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) | Err(_) => Err(BodyError::Incomplete),
    }
}

/// Builds a JSON response.
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
