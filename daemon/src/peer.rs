//! The server for leaf calls that other instances forward to this one.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::BytesMut;
use camphorhold::coordination::call::Caller;
use camphorhold::protocol::peer::CALLS_PATH;
use camphorhold::protocol::peer::CANCEL_PATH;
use camphorhold::protocol::peer::CallBatch;
use camphorhold::protocol::peer::CallResult;
use camphorhold::protocol::peer::Cancel;
use camphorhold::protocol::peer::MAX_CALLS;
use camphorhold::protocol::peer::ONCE_PATH;
use camphorhold::protocol::peer::append_frame;
use camphorhold::protocol::peer::decode;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Subject;
use futures::stream;
use hyper::body::Frame;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::http::StatusCode;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::post;

use crate::entry;
use crate::entry::Entry;
use crate::http::empty;
use crate::http::read_body;
use crate::leaf::Job;
use crate::leaf::Pool;
use crate::leaf::Submitted;
use crate::timeline::Recorder;

/// The largest body of a call batch or a cancellation, in bytes: more than twice the size of
/// [`MAX_CALLS`] calls with the longest query text.
const MAX_BODY_BYTES: usize = 512 * 1024;

/// Leaf calls that other instances have forwarded to this one and that are still running.
pub struct ForwardedCalls {
    leafs: Arc<Pool>,
    recorder: Arc<Recorder>,
    /// The submitted calls: by the id of their batch, then by their own id.
    batches: Mutex<HashMap<u64, HashMap<u64, Submitted>>>,
}

impl ForwardedCalls {
    pub fn new(leafs: Arc<Pool>, recorder: Arc<Recorder>) -> Self {
        Self {
            leafs,
            recorder,
            batches: Mutex::new(HashMap::new()),
        }
    }

    /// Records the arrival of a batch in the timeline, where it connects the entry instance of a
    /// request with the owners of its leafs.
    fn record_arrival(&self, message: &CallBatch) {
        let subject = Subject {
            request: Some(message.query.request_id),
            service: Some(message.query.service.clone()),
            ..Subject::default()
        };
        let kind = Kind::CallsReceived {
            from: message.from,
            calls: u32::try_from(message.calls.len()).unwrap_or(u32::MAX),
        };
        self.recorder.record(kind, subject);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, HashMap<u64, Submitted>>> {
        self.batches.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A batch of calls whose results are being sent. Dropping it cancels the remaining calls, for
/// instance because the other instance has closed the connection.
struct Batch {
    forwarded: Arc<ForwardedCalls>,
    id: u64,
    remaining: usize,
    results: mpsc::UnboundedReceiver<CallResult>,
}

impl Drop for Batch {
    fn drop(&mut self) {
        let unfinished = self.forwarded.lock().remove(&self.id);
        for submitted in unfinished.into_iter().flat_map(HashMap::into_values) {
            self.forwarded.leafs.cancel(submitted);
        }
    }
}

/// Creates the router for the leaf calls, cancellations and at-most-once requests that other
/// instances forward.
pub fn router(forwarded: Arc<ForwardedCalls>, entry: Arc<Entry>) -> Router {
    let cancel_calls = Arc::clone(&forwarded);
    let calls_handler = move |request: Request| {
        let forwarded = Arc::clone(&forwarded);
        async move { calls(&forwarded, request).await }
    };
    let cancel_handler = move |request: Request| {
        let forwarded = Arc::clone(&cancel_calls);
        async move { cancel(&forwarded, request).await }
    };
    let once_handler = move |request: Request| {
        let entry = Arc::clone(&entry);
        async move { entry::serve_once(&entry, request).await }
    };
    Router::new()
        .route(CALLS_PATH, post(calls_handler))
        .route(CANCEL_PATH, post(cancel_handler))
        .route(ONCE_PATH, post(once_handler))
}

async fn calls(forwarded: &Arc<ForwardedCalls>, request: Request) -> Response {
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES).await else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let message = match decode::<CallBatch>(&body) {
        Ok(message) if message.calls.len() <= MAX_CALLS => message,
        _ => {
            metrics::counter!("camphorhold_peer_messages_invalid_total").increment(1);
            return empty(StatusCode::BAD_REQUEST);
        }
    };
    forwarded.record_arrival(&message);
    let batch = submit(forwarded, message);
    // The stream ends after the last result, or when the other instance closes the connection.
    let frames = stream::unfold(batch, next_frame);
    Response::new(Body::from_stream(sync_wrapper::SyncStream::new(frames)))
}

fn submit(forwarded: &Arc<ForwardedCalls>, message: CallBatch) -> Batch {
    let (reply, results) = mpsc::unbounded_channel();
    let query = Arc::new(message.query);
    let mut submitted = HashMap::new();
    for call in &message.calls {
        let job = Job {
            query: Arc::clone(&query),
            shard: call.shard,
            reply_id: call.id,
            reply: reply.clone(),
        };
        match forwarded
            .leafs
            .submit(call.leaf, Caller(message.from.0), job)
        {
            Ok(handle) => {
                submitted.insert(call.id, handle);
            }
            Err(failure) => {
                let _ = reply.send(CallResult {
                    id: call.id,
                    queued_us: 0,
                    result: Err(failure),
                });
            }
        }
    }
    forwarded.lock().insert(message.batch, submitted);
    Batch {
        forwarded: Arc::clone(forwarded),
        id: message.batch,
        remaining: message.calls.len(),
        results,
    }
}

type NextFrame = Option<(
    Result<Frame<bytes::Bytes>, volo_http::error::BoxError>,
    Batch,
)>;

/// Waits for the next result, and adds all further results that are available to the same frame.
async fn next_frame(mut batch: Batch) -> NextFrame {
    if batch.remaining == 0 {
        return None;
    }
    let mut buffer = BytesMut::new();
    let mut result = batch.results.recv().await?;
    loop {
        batch.remaining -= 1;
        if let Some(calls) = batch.forwarded.lock().get_mut(&batch.id) {
            calls.remove(&result.id);
        }
        if let Err(error) = append_frame(&result, &mut buffer) {
            log::error!("cannot encode a call result; closing the stream of its batch: {error}");
            return Some((Err(error.into()), batch));
        }
        match batch.results.try_recv() {
            Ok(next) => result = next,
            Err(_) => return Some((Ok(Frame::data(buffer.freeze())), batch)),
        }
    }
}

async fn cancel(forwarded: &ForwardedCalls, request: Request) -> Response {
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES).await else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let Ok(Cancel { batch, calls }) = decode::<Cancel>(&body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let cancelled: Vec<Submitted> = {
        let batches = forwarded.lock();
        let known = batches.get(&batch);
        let known = known.into_iter().flat_map(|known| {
            calls
                .iter()
                .filter_map(move |call| known.get(call).copied())
        });
        known.collect()
    };
    for submitted in cancelled {
        forwarded.leafs.cancel(submitted);
    }
    empty(StatusCode::OK)
}
