//! The server for callers.

use std::sync::Arc;

use camphorhold::protocol::caller::MAX_REQUEST_BYTES;
use camphorhold::protocol::caller::Request as CallerRequest;
use camphorhold::protocol::caller::RequestBody;
use serde::Serialize;
use volo_http::http::StatusCode;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::post;

use crate::http::BodyError;
use crate::http::json;
use crate::http::read_body;
use crate::query::Traffic;

/// The path of callers' requests.
const QUERY_PATH: &str = "/v1/query";

/// The body of a response to a request that makes no sense.
#[derive(Serialize)]
struct Rejection {
    error: Box<str>,
}

pub fn router(traffic: Arc<Traffic>) -> Router {
    let handler = move |request: Request| {
        let traffic = Arc::clone(&traffic);
        async move { query(&traffic, request).await }
    };
    Router::new().route(QUERY_PATH, post(handler))
}

async fn query(traffic: &Arc<Traffic>, request: Request) -> Response {
    let body = match read_body(request.into_body(), MAX_REQUEST_BYTES).await {
        Ok(body) => body,
        Err(BodyError::TooLong) => {
            return reject(StatusCode::PAYLOAD_TOO_LARGE, &BodyError::TooLong);
        }
        Err(error) => return reject(StatusCode::BAD_REQUEST, &error),
    };
    let body: RequestBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(error) => return reject(StatusCode::BAD_REQUEST, &error),
    };
    let request = match CallerRequest::try_from(body) {
        Ok(request) => request,
        Err(error) => return reject(StatusCode::BAD_REQUEST, &error),
    };
    match traffic.run(request).await {
        Some(answer) => json(StatusCode::OK, &answer),
        None => json(
            StatusCode::NOT_FOUND,
            &Rejection {
                error: "unknown service".into(),
            },
        ),
    }
}

fn reject(status: StatusCode, error: &impl std::fmt::Display) -> Response {
    let error = error.to_string().into();
    json(status, &Rejection { error })
}
