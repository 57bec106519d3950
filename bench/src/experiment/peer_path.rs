//! Compares two encodings of leaf calls between instances: JSON-RPC over HTTP and postcard over
//! HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use camphorhold::protocol::leaf;
use camphorhold::protocol::leaf::Hit;
use camphorhold::protocol::leaf::SearchAnswer;
use camphorhold::protocol::peer::CALLS_PATH;
use camphorhold::protocol::peer::Call;
use camphorhold::protocol::peer::CallBatch;
use camphorhold::protocol::peer::CallResult;
use camphorhold::protocol::peer::Query;
use camphorhold::protocol::peer::append_frame;
use camphorhold::protocol::peer::decode;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::RequestId;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::SnapshotId;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::transport::peer::Forwarder;
use camphorhold_testutils::backend::expected_hits;
use http_body_util::BodyExt;
use jsonrpsee::core::RpcResult;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::ServerBuilder;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::Body;
use volo_http::http::StatusCode;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::Server;
use volo_http::server::route::post;

use super::Options;
use crate::deployment::loopback;
use crate::error::Error;
use crate::report::Table;
use crate::sample::histogram;
use crate::sample::quantile_ms;
use crate::sample::record;

/// The number of leaf calls in one message.
const CALLS_PER_MESSAGE: u32 = 20;

/// The numbers of messages in flight at the same time that are measured.
const CONCURRENCIES: [usize; 2] = [1, 32];

/// The exchange of a batch of leaf calls as JSON-RPC.
#[rpc(client, server)]
pub trait Peer {
    /// Returns one result for each call of the batch.
    #[method(name = "peer_calls")]
    async fn calls(&self, message: CallBatch) -> RpcResult<Vec<CallResult>>;
}

/// Answers each call with a computed result, without a leaf.
struct StaticAnswers;

#[jsonrpsee::core::async_trait]
impl PeerServer for StaticAnswers {
    async fn calls(&self, message: CallBatch) -> RpcResult<Vec<CallResult>> {
        Ok(message.calls.iter().map(call_result).collect())
    }
}

/// A client for one of the two encodings.
#[derive(Clone)]
enum Client {
    JsonRpc(HttpClient),
    Postcard(Box<Forwarder>, SocketAddr),
}

/// Runs the experiment, with one measurement of `--seconds` for each encoding and concurrency.
pub async fn run(options: &Options) -> Result<(), Error> {
    let mut report = options.report("peer-path");
    let json = ServerBuilder::default().build(loopback(0)).await?;
    let json_address = json.local_addr()?;
    let handle = json.start(StaticAnswers.into_rpc());
    let postcard_address = serve_postcard().await?;
    let url = format!("http://{json_address}");
    let json = Client::JsonRpc(HttpClientBuilder::default().build(url)?);
    let postcard = Client::Postcard(Box::default(), postcard_address);
    let columns = [
        "transport",
        "in flight",
        "messages/s",
        "leaf calls/s",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
    ];
    let mut table = Table::new(
        format!("{CALLS_PER_MESSAGE} leaf calls and their answers"),
        &columns,
    );
    for concurrency in CONCURRENCIES {
        for (name, client) in [("JSON-RPC", &json), ("postcard", &postcard)] {
            let row = measure(name, client, concurrency, options.duration()).await?;
            table.row(row);
        }
    }
    report.table(table);
    let _ = handle.stop();
    report.finish(options.json.as_deref())
}

async fn measure(
    name: &str,
    client: &Client,
    concurrency: usize,
    duration: Duration,
) -> Result<Vec<String>, Error> {
    let started = SystemClock.now();
    let workers = (0..concurrency).map(|_| {
        let client = client.clone();
        tokio::spawn(async move {
            let mut latencies = histogram();
            while started.elapsed() < duration {
                let sent = SystemClock.now();
                client.exchange().await?;
                record(&mut latencies, sent.elapsed());
            }
            Ok::<_, Error>(latencies)
        })
    });
    let mut latencies = histogram();
    for worker in futures::future::join_all(workers).await {
        let own = worker??;
        let added = latencies.add(&own);
        added.map_err(|error| Error::PeerPath(error.to_string()))?;
    }
    #[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
    let rate = latencies.len() as f64 / started.elapsed().as_secs_f64();
    Ok(vec![
        name.to_owned(),
        concurrency.to_string(),
        format!("{rate:.0}"),
        format!("{:.0}", rate * f64::from(CALLS_PER_MESSAGE)),
        format!("{:.3}", quantile_ms(&latencies, 0.5)),
        format!("{:.3}", quantile_ms(&latencies, 0.99)),
        format!("{:.3}", quantile_ms(&latencies, 0.999)),
    ])
}

impl Client {
    async fn exchange(&self) -> Result<(), Error> {
        let message = message()?;
        let received = match self {
            Self::JsonRpc(client) => client.calls(message).await?.len(),
            Self::Postcard(forwarder, address) => {
                let failed = |error| Error::PeerPath(format!("{error}"));
                let results = forwarder.forward(*address, &message).await;
                let mut results = results.map_err(failed)?;
                let mut count = 0;
                while results.next().await.map_err(failed)?.is_some() {
                    count += 1;
                }
                count
            }
        };
        if received == CALLS_PER_MESSAGE as usize {
            Ok(())
        } else {
            Err(Error::PeerPath(format!("a message got {received} results")))
        }
    }
}

async fn serve_postcard() -> Result<SocketAddr, Error> {
    let listener = tokio::net::TcpListener::bind(loopback(0)).await?;
    let address = listener.local_addr()?;
    let router = Router::new().route(CALLS_PATH, post(answer));
    tokio::spawn(Server::new(router).run(DefaultIncoming::from(listener)));
    Ok(address)
}

async fn answer(request: Request) -> Response {
    let body = request.into_body().collect().await;
    let frames = body.ok().and_then(|body| {
        let message: CallBatch = decode(&body.to_bytes()).ok()?;
        let mut buffer = BytesMut::new();
        for call in &message.calls {
            append_frame(&call_result(call), &mut buffer).ok()?;
        }
        Some(buffer.freeze())
    });
    let mut response = Response::new(Body::empty());
    if let Some(frames) = frames {
        *response.body_mut() = Body::from(frames);
    } else {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
    response
}

fn message() -> Result<CallBatch, Error> {
    let name = |error: camphorhold::state::id::InvalidName| Error::PeerPath(error.to_string());
    Ok(CallBatch {
        batch: 1,
        from: InstanceId(1),
        query: Query {
            request_id: RequestId(1),
            service: "round-app".parse().map_err(name)?,
            version: "v1".parse().map_err(name)?,
            route: "search".parse().map_err(name)?,
            snapshot: SnapshotId(1),
            partition: PartitionId(0),
            query: "query 1".into(),
            deadline_unix_ms: 1_900_000_000_000,
            idempotency_key: None,
        },
        calls: (0..CALLS_PER_MESSAGE)
            .map(|number| Call {
                id: number.into(),
                leaf: LeafId(loopback(21_000)),
                shard: ShardId(number),
            })
            .collect(),
    })
}

fn call_result(call: &Call) -> CallResult {
    let hits = expected_hits("round-app", call.shard.0, 1, "query 1");
    let hits = hits.into_iter().map(|hit| Hit {
        document: hit.document.into(),
        score: hit.score,
    });
    CallResult {
        id: call.id,
        queued_us: 0,
        result: Ok(SearchAnswer {
            correlation: call.id.to_string().into(),
            incarnation: 1,
            shard: call.shard,
            snapshot: SnapshotId(1),
            partition: PartitionId(0),
            status: leaf::Status::Ok,
            temperature: leaf::Temperature::Warm,
            complete: true,
            hits: hits.collect(),
            holds: vec![SnapshotId(1)],
        }),
    }
}
