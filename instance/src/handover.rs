//! Handing shards of a query over to an instance that is closer to their leafs.
//!
//! Instances speak HTTP/1.1 to each other: the caller's request, with a header that names the
//! shards and the configuration, and as the answer the merged records of these shards. Only an
//! instance with the same configuration takes a handover: otherwise an answer could mix shards of
//! two versions, and callers of one instance could see a later version first and an earlier one
//! after it.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::instances::Group;
use camphorhold::coordination::serving::instances::Handover;
use camphorhold::state::plan::Plan;
use camphorhold::transport::http;
use camphorhold::transport::http::Connection;
use camphorhold::transport::http::TcpOptions;
use camphorhold_platform::header;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use thiserror::Error;

use crate::call::Passed;
use crate::shared::Phase;
use crate::shared::Shared;

/// What is handed over; in the answer, what of it is answered.
pub const HEADER: HeaderName = HeaderName::from_static("camphorhold-handover");

/// How much later than due the answer of another instance may come.
const ANSWER_SLACK: Duration = Duration::from_millis(6);

/// The longest merged answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;

const LIVENESS: TcpOptions = TcpOptions {
    // A round trip within a region takes a few milliseconds, and the query still has to run.
    connect_timeout: Duration::from_millis(25),
    user_timeout: Duration::from_secs(1),
    keepalive_interval: None,
};

/// The shards that are handed over, and by when their answer is useful.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The version of the configuration that both instances have to have in force.
    pub version: u64,
    /// The time until the answer is due.
    pub due_in: Duration,
    /// The positions of the shards in the route.
    pub shards: Vec<usize>,
}

/// Is returned for a header that no instance writes.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("not a handover")]
pub struct NotATicket;

impl Display for Ticket {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{};{};", self.version, self.due_in.as_millis())?;
        formatter.write_str(&join(&self.shards))
    }
}

impl FromStr for Ticket {
    type Err = NotATicket;

    fn from_str(text: &str) -> Result<Self, NotATicket> {
        let mut fields = text.splitn(3, ';');
        let mut next = || fields.next().ok_or(NotATicket);
        let version = next()?.parse().map_err(|_| NotATicket)?;
        let due_ms = next()?.parse().map_err(|_| NotATicket)?;
        let shards = split(next()?).ok_or(NotATicket)?;
        Ok(Self {
            version,
            due_in: Duration::from_millis(due_ms),
            shards,
        })
    }
}

fn join(shards: &[usize]) -> String {
    let shards: Vec<String> = shards.iter().map(usize::to_string).collect();
    shards.join(",")
}

fn split(text: &str) -> Option<Vec<usize>> {
    text.split(',').map(|shard| shard.parse().ok()).collect()
}

/// Reads the ticket of a request from another instance, if this instance takes it.
pub fn accept(shared: &Shared, plan: &Plan, request: &Request<Incoming>) -> Option<Ticket> {
    let value = request.headers().get(HEADER)?.to_str().ok()?;
    let ticket: Ticket = value.parse().ok()?;
    (shared.phase.get() == Phase::Serving && ticket.version == plan.version()).then_some(ticket)
}

/// Returns the header of an answer that names the answered shards.
pub fn answered(shards: &[usize]) -> Option<HeaderValue> {
    HeaderValue::from_str(&join(shards)).ok()
}

/// How a handover ended.
#[derive(Debug)]
pub struct End {
    /// The instance that took it.
    pub instance: Box<str>,
    /// The shards that were handed over.
    pub shards: Vec<usize>,
    /// The shards that are answered.
    pub answered: Vec<usize>,
    /// What became of the others.
    pub rest: Outcome,
    /// The merged answer.
    pub answer: Option<Response<Bytes>>,
}

/// Records the end of a handover, also if its caller has left.
struct InFlight {
    shared: Rc<Shared>,
    name: Box<str>,
    handover: Option<Handover>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let handover = self.handover.unwrap_or(Handover::Answered);
        let now = self.shared.now();
        self.shared
            .instances
            .borrow_mut()
            .on_end(&self.name, handover, now);
    }
}

/// Records a handover and returns the task that makes it.
pub fn start(
    shared: &Rc<Shared>,
    passed: &Rc<Passed>,
    version: u64,
    group: Group,
    answer_by: Instant,
) -> impl Future<Output = End> + use<> {
    shared.instances.borrow_mut().on_sent(&group.name);
    let in_flight = InFlight {
        shared: Rc::clone(shared),
        name: group.name,
        handover: None,
    };
    let ticket = Ticket {
        version,
        due_in: answer_by.saturating_duration_since(shared.now()),
        shards: group.shards,
    };
    run(Rc::clone(passed), ticket, group.address, in_flight)
}

async fn run(
    passed: Rc<Passed>,
    ticket: Ticket,
    address: SocketAddr,
    mut in_flight: InFlight,
) -> End {
    let shared = Rc::clone(&in_flight.shared);
    let timeout = ticket.due_in + ANSWER_SLACK;
    let exchange = exchange(&shared, &passed, &ticket, address);
    let result = tokio::time::timeout(timeout, exchange).await;
    let (handover, rest, answer) = match result {
        Ok(Ok(answer)) => match answer.status() {
            StatusCode::OK => (Handover::Answered, Outcome::Failed, Some(answer)),
            StatusCode::CONFLICT => (Handover::Refused, Outcome::NotRun, None),
            StatusCode::SERVICE_UNAVAILABLE => (Handover::Answered, Outcome::NotRun, None),
            _ => (Handover::Answered, Outcome::Failed, None),
        },
        Ok(Err(error)) => {
            log::info!(request = passed.id(), instance = &*in_flight.name, error:% = error; "handover failed");
            let rest = match error {
                http::Error::Connect(_) | http::Error::ConnectTimeout | http::Error::Unsent(_) => {
                    Outcome::Unsent
                }
                http::Error::Lost(_) | http::Error::TooLong => Outcome::Failed,
            };
            (Handover::Failed, rest, None)
        }
        Err(_) => {
            log::info!(request = passed.id(), instance = &*in_flight.name; "handover not answered in time");
            shared.peers.close(address);
            (Handover::Failed, Outcome::Failed, None)
        }
    };
    in_flight.handover = Some(handover);
    metrics::counter!("camphorhold_handovers_total", "outcome" => name(handover)).increment(1);
    let answered = answer.as_ref().and_then(answered_shards);
    End {
        instance: in_flight.name.clone(),
        shards: ticket.shards,
        answer: answer.filter(|_| answered.is_some()),
        answered: answered.unwrap_or_default(),
        rest,
    }
}

fn name(handover: Handover) -> &'static str {
    match handover {
        Handover::Answered => "answered",
        Handover::Refused => "refused",
        Handover::Failed => "failed",
    }
}

fn answered_shards(answer: &Response<Bytes>) -> Option<Vec<usize>> {
    split(answer.headers().get(HEADER)?.to_str().ok()?)
}

async fn exchange(
    shared: &Shared,
    passed: &Passed,
    ticket: &Ticket,
    address: SocketAddr,
) -> Result<Response<Bytes>, http::Error> {
    let mut connection = match shared.peers.take(address, shared.now()) {
        Some(connection) => connection,
        None => Connection::open(address, LIVENESS).await?,
    };
    let mut request = Request::new(Full::new(passed.body.clone()));
    *request.method_mut() = passed.method.clone();
    *request.uri_mut() = passed.uri.clone();
    let mut headers = passed.headers.clone();
    if let Ok(ticket) = HeaderValue::from_str(&ticket.to_string()) {
        headers.insert(HEADER, ticket);
    }
    let left = passed.deadline.saturating_duration_since(shared.now());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(header::DEADLINE_MS, HeaderValue::from(left));
    *request.headers_mut() = headers;
    passed.sent.set(true);
    let answer = connection.exchange(request, MAX_ANSWER_BYTES).await?;
    if connection.is_usable() {
        shared.peers.put(address, connection, None, shared.now());
    }
    Ok(answer)
}
