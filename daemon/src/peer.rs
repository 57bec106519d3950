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

/// The largest message with leaf calls, in bytes: 4,096 calls and a query text fit in twice.
const MAX_BODY_BYTES: usize = 512 * 1024;

/// Calls of other instances that are in flight here.
pub struct Peers {
    leafs: Arc<Pool>,
    recorder: Arc<Recorder>,
    batches: Mutex<HashMap<u64, HashMap<u64, Submitted>>>,
}

impl Peers {
    pub fn new(leafs: Arc<Pool>, recorder: Arc<Recorder>) -> Self {
        Self {
            leafs,
            recorder,
            batches: Mutex::new(HashMap::new()),
        }
    }

    /// Notes the arrival, so that the request can be followed from its entry instance to here.
    fn note(&self, message: &CallBatch) {
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

/// Cancels what is left of a batch when the other instance goes.
struct Batch {
    peers: Arc<Peers>,
    id: u64,
    open: usize,
    results: mpsc::UnboundedReceiver<CallResult>,
}

impl Drop for Batch {
    fn drop(&mut self) {
        let left = self.peers.lock().remove(&self.id);
        for submitted in left.into_iter().flat_map(HashMap::into_values) {
            self.peers.leafs.cancel(submitted);
        }
    }
}

/// Routes the messages of other instances.
pub fn router(peers: Arc<Peers>, entry: Arc<Entry>) -> Router {
    let cancelling = Arc::clone(&peers);
    let calls_handler = move |request: Request| {
        let peers = Arc::clone(&peers);
        async move { calls(&peers, request).await }
    };
    let cancel_handler = move |request: Request| {
        let peers = Arc::clone(&cancelling);
        async move { cancel(&peers, request).await }
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

async fn calls(peers: &Arc<Peers>, request: Request) -> Response {
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
    peers.note(&message);
    let batch = submit(peers, message);
    // The stream ends with the last result, or when the other instance goes.
    let frames = stream::unfold(batch, next_frame);
    Response::new(Body::from_stream(sync_wrapper::SyncStream::new(frames)))
}

fn submit(peers: &Arc<Peers>, message: CallBatch) -> Batch {
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
        match peers.leafs.submit(call.leaf, Caller(message.from.0), job) {
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
    peers.lock().insert(message.batch, submitted);
    Batch {
        peers: Arc::clone(peers),
        id: message.batch,
        open: message.calls.len(),
        results,
    }
}

type NextFrame = Option<(
    Result<Frame<bytes::Bytes>, volo_http::error::BoxError>,
    Batch,
)>;

/// Waits for the next result, and takes what else is there into the same frame.
async fn next_frame(mut batch: Batch) -> NextFrame {
    if batch.open == 0 {
        return None;
    }
    let mut buffer = BytesMut::new();
    let mut part = batch.results.recv().await?;
    loop {
        batch.open -= 1;
        if let Some(calls) = batch.peers.lock().get_mut(&batch.id) {
            calls.remove(&part.id);
        }
        if let Err(error) = append_frame(&part, &mut buffer) {
            log::error!("cannot encode a result: {error}");
            return Some((Err(error.into()), batch));
        }
        match batch.results.try_recv() {
            Ok(next) => part = next,
            Err(_) => return Some((Ok(Frame::data(buffer.freeze())), batch)),
        }
    }
}

async fn cancel(peers: &Peers, request: Request) -> Response {
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES).await else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let Ok(Cancel { batch, calls }) = decode::<Cancel>(&body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let cancelled: Vec<Submitted> = {
        let batches = peers.lock();
        let known = batches.get(&batch);
        let known = known.into_iter().flat_map(|known| {
            calls
                .iter()
                .filter_map(move |call| known.get(call).copied())
        });
        known.collect()
    };
    for submitted in cancelled {
        peers.leafs.cancel(submitted);
    }
    empty(StatusCode::OK)
}
