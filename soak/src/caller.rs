//! Callers, which send requests to random instances and record the outcome of each. They reuse a
//! connection until the instance closes it.

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

/// The deadline that a caller sends with each request.
pub(crate) const DEADLINE: Duration = Duration::from_secs(3);

/// How long after the deadline a caller stops waiting for the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// The range of the pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

const TCP_OPTIONS: TcpOptions = TcpOptions {
    connect_timeout: Duration::from_secs(1),
    user_timeout: Duration::from_secs(1),
    keepalive_interval: None,
};

/// The route of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Goes to all shards. A shard may run it more than once.
    All,
    /// Goes to one service, which may run it more than once.
    One,
    /// Goes to one service, which runs it at most once.
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

/// The outcome of a request, as its caller observed it.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// A complete answer, of any status.
    Answered(Response<Bytes>),
    /// The request was not sent, or the instance did not read it.
    Unsent,
    /// The connection ended, or the answer was too long, after the request was sent.
    Lost,
    /// No answer arrived in time, and the connection stayed open.
    Silent,
}

/// A request and its outcome.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    /// The number of the instance to which the request was sent.
    pub(crate) instance: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) outcome: Outcome,
}

/// The ended requests of all callers, in the order of their ends.
pub(crate) type Records = Rc<RefCell<Vec<Record>>>;

/// Sends one request after the other until the task is aborted. The ids of the requests are `name`
/// with a number that counts up from 1.
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
        None => match Connection::open(address, TCP_OPTIONS).await {
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
        .expect("the URI and the headers of the request are valid");
    let exchange = connection.exchange(request, 1 << 20);
    match tokio::time::timeout(DEADLINE + ANSWER_MARGIN, exchange).await {
        Ok(Ok(answer)) => {
            *kept = Some(connection);
            Outcome::Answered(answer)
        }
        Ok(Err(Error::Unsent(_) | Error::Connect(_) | Error::ConnectTimeout)) => Outcome::Unsent,
        Ok(Err(Error::Lost(_) | Error::TooLong | Error::Malformed)) => Outcome::Lost,
        Err(_) => Outcome::Silent,
    }
}
