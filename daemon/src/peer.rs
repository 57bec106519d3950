//! The server for leaf calls forwarded by other instances.

use std::sync::Arc;

use bytes::BytesMut;
use camphorhold::protocol::peer::CALLS_PATH;
use camphorhold::protocol::peer::Calls;
use camphorhold::protocol::peer::MAX_FRAME_BYTES;
use camphorhold::protocol::peer::Part;
use camphorhold::protocol::peer::append_frame;
use camphorhold::protocol::peer::decode;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::body::Frame;
use volo_http::body::Body;
use volo_http::http::StatusCode;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::post;

use crate::http::read_body;
use crate::query::Traffic;

pub fn router(traffic: Arc<Traffic>) -> Router {
    let handler = move |request: Request| {
        let traffic = Arc::clone(&traffic);
        async move { calls(&traffic, request).await }
    };
    Router::new().route(CALLS_PATH, post(handler))
}

async fn calls(traffic: &Arc<Traffic>, request: Request) -> Response {
    let Ok(body) = read_body(request.into_body(), MAX_FRAME_BYTES).await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let Ok(Calls { query, calls }) = decode::<Calls>(&body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let query = Arc::new(query);
    let parts: FuturesUnordered<_> = calls
        .into_iter()
        .map(|call| {
            let traffic = Arc::clone(traffic);
            let query = Arc::clone(&query);
            async move {
                let result = traffic.leafs.call(&query, call).await;
                Part {
                    id: call.id,
                    result,
                }
            }
        })
        .collect();
    let frames = parts.map(|part| {
        let mut buffer = BytesMut::new();
        append_frame(&part, &mut buffer)?;
        Ok(Frame::data(buffer.freeze()))
    });
    Response::new(Body::from_stream(sync_wrapper::SyncStream::new(frames)))
}

fn status(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
