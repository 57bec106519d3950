//! Callers: they keep their connections for as long as an instance lets them, and record what came
//! of each request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::transport::http::Connection;
use camphorhold::transport::http::Error;
use camphorhold::transport::http::TcpOptions;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// How long a caller waits for an answer.
pub(crate) const DEADLINE: Duration = Duration::from_secs(3);

/// Time beyond the deadline until a caller takes a request for lost.
const PATIENCE: Duration = Duration::from_millis(500);

/// Bounds of the pause between two requests of a caller in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

const LIVENESS: TcpOptions = TcpOptions {
    connect_timeout: Duration::from_secs(1),
    user_timeout: Duration::from_secs(1),
    keepalive_interval: None,
};

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// All shards.
    All,
    /// One service; it may run more than once.
    One,
    /// One service; it runs at most once.
    Once,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::All => "/all/x",
            Self::One => "/one/x",
            Self::Once => "/once/x",
        }
    }
}

/// What came of a request.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// A whole answer.
    Answered(Response<Bytes>),
    /// The request never left, or was not read.
    Unsent,
    /// The connection ended after the request had left.
    Lost,
    /// No answer came.
    Silent,
}

/// A request and what came of it.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    /// The number of the instance.
    pub(crate) instance: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) outcome: Outcome,
}

/// The requests of all callers.
pub(crate) type Records = Rc<RefCell<Vec<Record>>>;

/// Sends requests until the task is dropped.
pub(crate) async fn run(
    name: String,
    seed: u64,
    instances: Rc<[SocketAddr]>,
    records: Records,
) -> std::convert::Infallible {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut kept: Vec<Option<Connection>> = instances.iter().map(|_| None).collect();
    let mut number = 0_u64;
    loop {
        let instance = random.random_range(0..instances.len());
        let kind = match random.random_range(0..5) {
            0 => Kind::Once,
            1 => Kind::One,
            _ => Kind::All,
        };
        number += 1;
        let id = format!("{name}-{number}");
        let sent = SystemClock.now();
        let outcome = send(&mut kept[instance], instances[instance], &id, kind).await;
        records.borrow_mut().push(Record {
            id,
            kind,
            instance,
            sent,
            ended: SystemClock.now(),
            outcome,
        });
        tokio::time::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
    }
}

async fn send(kept: &mut Option<Connection>, address: SocketAddr, id: &str, kind: Kind) -> Outcome {
    let reusable = kept.take().and_then(|mut connection| {
        let usable = connection.is_usable();
        usable.then_some(connection)
    });
    let mut connection = match reusable {
        Some(connection) => connection,
        None => match Connection::open(address, LIVENESS).await {
            Ok(connection) => connection,
            Err(_) => return Outcome::Unsent,
        },
    };
    let request = Request::builder()
        .uri(kind.path())
        .header("host", "q.example")
        .header("x-camphorhold-request-id", id)
        .header(
            "x-camphorhold-deadline-ms",
            DEADLINE.as_millis().to_string(),
        )
        .body(Full::default())
        .expect("the parts of the request are valid");
    let exchange = connection.exchange(request, 1 << 20);
    match tokio::time::timeout(DEADLINE + PATIENCE, exchange).await {
        Ok(Ok(answer)) => {
            *kept = Some(connection);
            Outcome::Answered(answer)
        }
        Ok(Err(Error::Unsent(_) | Error::Connect(_) | Error::ConnectTimeout)) => Outcome::Unsent,
        Ok(Err(Error::Lost(_) | Error::TooLong)) => Outcome::Lost,
        Err(_) => Outcome::Silent,
    }
}
