//! A leaf of the platform. It writes its answers to the socket without an HTTP library, because
//! most of its failures are not valid HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::server;

/// How long [`Behaviour::Reset`] waits between the bytes that it sends and the reset.
const RESET_DELAY: Duration = Duration::from_millis(100);

/// How long a leaf that a request has ended is down.
const RESTART_TIME: Duration = Duration::from_millis(1_200);

/// How often [`Behaviour::Held`] looks whether the behaviour has changed.
const RELEASE_INTERVAL: Duration = Duration::from_millis(10);

/// The filler lines in the head of [`Behaviour::LongHead`].
const LONG_HEAD_LINES: usize = 8;

/// How a leaf responds to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// It runs and answers each request.
    #[default]
    Answer,
    /// It runs each request and answers after this time.
    Slow(Duration),
    /// It runs and answers each request, with a body of that many bytes.
    Large(usize),
    /// It runs and answers each request, with a head of about that many bytes and no body.
    LongHead(usize),
    /// It runs each request, and answers with a body of that many bytes once its behaviour has
    /// changed.
    Held(usize),
    /// It runs each request and never answers. The connection stays open until the caller closes
    /// it.
    Hang,
    /// It runs the request and answers with this error status.
    Fail(u16),
    /// It runs the request and answers as usual, but with this status line.
    StatusLine(&'static str),
    /// It runs the request and closes the connection without an answer.
    Lose,
    /// It runs each request and sends its answer twice in a row.
    Repeat,
    /// It runs each request and sends its answer again after this time, without the request's id.
    RepeatLate(Duration),
    /// It runs each request, and states in its answer that it closes idle connections after that
    /// many seconds.
    KeepAlive(u64),
    /// It runs the request and closes the connection 4 bytes before the end of the answer.
    Truncate,
    /// It runs the request, sends that many bytes of the head of the answer and closes the
    /// connection.
    TruncateHead(usize),
    /// It runs the request, and closes the connection before the last chunk of the answer.
    TruncateChunks,
    /// It runs the request, and resets the connection in the middle of an answer without a length.
    Reset,
    /// It runs the request and sends bytes without end.
    Flood(Flood),
    /// It answers 503 with `X-Camphorhold-Not-Executed` and does not run the request.
    Refuse,
    /// As [`Behaviour::Refuse`], with `Retry-After` in milliseconds, sent as a fraction of seconds.
    RefuseFor(u64),
    /// It answers 421 with the id of another leaf, as if that leaf had taken over its address, and
    /// does not run the request.
    Misdirect,
}

/// Bytes that are no answer and have no end. A leaf sends them until the caller closes the
/// connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// A header line without an end.
    Head,
    /// Header lines without an end of the head.
    HeaderLines,
    /// A body with a length of a terabyte.
    Length,
    /// A body that ends with the connection.
    UntilClose,
    /// A body in chunks.
    Chunks,
    /// A body in one chunk of 2^60 bytes.
    HugeChunk,
    /// A body of which one byte arrives every 50 ms.
    Drip,
    /// A complete answer, followed by further bytes.
    AfterAnswer,
    /// Interim heads.
    InterimHeads,
    /// A body in chunks of one byte.
    TinyChunks,
}

impl Flood {
    /// All kinds.
    pub const ALL: [Self; 10] = [
        Self::Head,
        Self::HeaderLines,
        Self::Length,
        Self::UntilClose,
        Self::Chunks,
        Self::HugeChunk,
        Self::Drip,
        Self::AfterAnswer,
        Self::InterimHeads,
        Self::TinyChunks,
    ];

    /// The pause between two bytes of [`Flood::Drip`].
    const DRIP_PAUSE: Duration = Duration::from_millis(50);

    /// Returns what is sent once, and what is sent again and again after it.
    fn bytes(self, answer: &[u8]) -> (Vec<u8>, Vec<u8>) {
        let stamped = "HTTP/1.1 200 OK\r\nX-Camphorhold-Server-Stamp: flood\r\n";
        let filler = vec![b'x'; 64 << 10];
        match self {
            Self::Head => (format!("{stamped}X-Filler: ").into_bytes(), filler),
            Self::HeaderLines => (stamped.into(), b"X-Filler: x\r\n".repeat(1_000)),
            Self::Length | Self::Drip => (
                format!("{stamped}Content-Length: 1099511627776\r\n\r\n").into_bytes(),
                filler,
            ),
            Self::UntilClose => (
                format!("{stamped}Connection: close\r\n\r\n").into_bytes(),
                filler,
            ),
            Self::Chunks => (
                format!("{stamped}Transfer-Encoding: chunked\r\n\r\n").into_bytes(),
                [&b"10000\r\n"[..], &filler, b"\r\n"].concat(),
            ),
            Self::HugeChunk => (
                format!("{stamped}Transfer-Encoding: chunked\r\n\r\n1000000000000000\r\n")
                    .into_bytes(),
                filler,
            ),
            Self::AfterAnswer => (answer.to_vec(), filler),
            Self::InterimHeads => (Vec::new(), b"HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000)),
            Self::TinyChunks => (
                format!("{stamped}Transfer-Encoding: chunked\r\n\r\n").into_bytes(),
                b"1\r\nx\r\n".repeat(10_000),
            ),
        }
    }

    /// Sends the bytes until the caller closes the connection.
    ///
    /// # Errors
    ///
    /// Returns the error with which the connection ended.
    pub async fn send(self, stream: &mut TcpStream, answer: &[u8]) -> std::io::Result<()> {
        let (first, again) = self.bytes(answer);
        stream.write_all(&first).await?;
        loop {
            if self == Self::Drip {
                tokio::time::sleep(Self::DRIP_PAUSE).await;
                stream.write_all(b"x").await?;
            } else {
                stream.write_all(&again).await?;
            }
        }
    }
}

/// A request that a leaf has started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The path of the request, without its query.
    pub path: String,
    /// The value of `X-Camphorhold-Request-Id`; empty if the header is missing.
    pub request: String,
    /// The value of `X-Camphorhold-Deadline-Ms`: the time that the sender allows for the request,
    /// in milliseconds; 0 if the header is missing or invalid.
    pub deadline_ms: u64,
    /// The value of `X-Camphorhold-Expect-Instance`: the id of the leaf that the sender expects at
    /// this address.
    pub expected_leaf: String,
    /// The values of all headers `X-Camphorhold-Tenant`.
    pub customers: Vec<String>,
    /// Whether it carries a header `X-Camphorhold-Key`.
    pub has_key: bool,
    /// The length of its body, as `Content-Length` states it.
    pub body_bytes: usize,
    /// When its body had been received.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    limit: Option<f64>,
    poison: Option<String>,
    time_to_end: Duration,
    leaving: bool,
    arrivals: Vec<Instant>,
    runs: Vec<Run>,
    open_connections: usize,
}

/// A running leaf. Clones share its state.
#[derive(Clone, Debug)]
pub struct Leaf {
    id: String,
    service: String,
    domain: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    // The number of times that a request has ended it.
    ends: watch::Sender<usize>,
    // Changes when it no longer accepts connections after an end. Its connections close then: a
    // caller whose connection closes cannot open another one.
    stopped: watch::Sender<()>,
}

impl Leaf {
    /// Starts a leaf at a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(id: &str, service: &str, domain: &str) -> Result<Self, server::Error> {
        let (listener, address) = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let leaf = Self {
            id: id.into(),
            service: service.into(),
            domain: domain.into(),
            address,
            state: Arc::default(),
            ends: watch::Sender::new(0),
            stopped: watch::Sender::new(()),
        };
        tokio::spawn(serve(listener, leaf.clone()));
        Ok(leaf)
    }

    /// Returns the address it listens on, with the port chosen at the start.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the service that its entry in the store names.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Returns the failure domain that its entry in the store names.
    #[must_use]
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// Returns the key of its entry in the store.
    #[must_use]
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the value of its entry in the store, with the given lifecycle state, for instance
    /// `ready`.
    #[must_use]
    pub fn entry(&self, state: &str) -> Value {
        self.entry_at(state, self.address)
    }

    /// Returns an entry as [`Self::entry`] does, with another address under which it is reached.
    #[must_use]
    pub fn entry_at(&self, state: &str, address: SocketAddr) -> Value {
        json!({
            "service": self.service,
            "address": address.to_string(),
            "zone": self.domain,
            "version": "v1",
            "concurrency": 2,
            "state": state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1,
        })
    }

    /// Returns the body of its answers: the name of its service, cut or padded with dots to 16
    /// bytes.
    #[must_use]
    pub fn record(&self) -> [u8; 16] {
        let mut record = [b'.'; 16];
        for (target, byte) in record.iter_mut().zip(self.service.bytes()) {
            *target = byte;
        }
        record
    }

    /// Changes how it responds to requests that arrive from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Sets the limit on requests per second that its answers name from now on; `None` names none.
    /// It runs requests above the limit nevertheless.
    pub fn set_limit(&self, limit: Option<f64>) {
        self.lock().limit = limit;
    }

    /// Sets the path of requests that end it as soon as it runs them: it closes all connections and
    /// refuses new ones for [`RESTART_TIME`].
    pub fn set_poison(&self, path: Option<&str>) {
        self.lock().poison = path.map(str::to_owned);
    }

    /// Sets how long a request that ends it runs before, see [`Self::set_poison`].
    pub fn set_time_to_end(&self, time: Duration) {
        self.lock().time_to_end = time;
    }

    /// Ends it, as a crash does: it closes all connections and refuses new ones for
    /// [`RESTART_TIME`].
    pub fn crash(&self) {
        self.ends.send_modify(|ends| *ends += 1);
    }

    /// Returns how many times it has ended.
    #[must_use]
    pub fn ends(&self) -> usize {
        *self.ends.borrow()
    }

    /// Sets whether its answers say that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Returns when requests have reached it, those that it refused included, oldest first.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// Returns the length of the head of its answer to a request with this id.
    #[must_use]
    pub fn head_length(&self, request: &str) -> usize {
        self.answer(request).len() - self.record().len()
    }

    /// Returns the requests it has started to run, oldest first.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.lock().open_connections
    }

    fn large_answer(&self, request: &str, bytes: usize) -> Vec<u8> {
        let head = answer_head(&self.id, request, &format!("Content-Length: {bytes}"));
        [head.into_bytes(), vec![b'.'; bytes]].concat()
    }

    fn long_head(&self, request: &str, bytes: usize) -> Vec<u8> {
        let filler = "x".repeat(bytes / LONG_HEAD_LINES);
        let lines = format!("\r\nX-Filler: {filler}").repeat(LONG_HEAD_LINES);
        answer_head(&self.id, request, &format!("Content-Length: 0{lines}")).into_bytes()
    }

    async fn wait_for_change(&self, behaviour: Behaviour) {
        while self.lock().behaviour == behaviour {
            tokio::time::sleep(RELEASE_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, request: &str) -> Vec<u8> {
        let mut framing = match self.lock().limit {
            Some(limit) => format!("Content-Length: 16\r\nServer-Limit: {limit}"),
            None => "Content-Length: 16".into(),
        };
        if self.lock().leaving {
            framing.push_str("\r\nServer-Leaving: 1");
        }
        let mut answer = answer_head(&self.id, request, &framing).into_bytes();
        answer.extend_from_slice(&self.record());
        answer
    }
}

/// Returns the head of an answer, with a header line that says where its body ends.
fn answer_head(leaf: &str, request: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Camphorhold-Request-Id: {request}\r\n\
         X-Camphorhold-Server-Stamp: {leaf}-{request}\r\n{framing}\r\n\r\n"
    )
}

async fn serve(mut listener: TcpListener, leaf: Leaf) {
    let mut ended = leaf.ends.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let stopped = leaf.stopped.subscribe();
                    tokio::spawn(serve_until_stop(stream, leaf.clone(), stopped));
                }
                Err(_) => tokio::time::sleep(server::ACCEPT_RETRY).await,
            },
            _ = ended.changed() => {
                drop(listener);
                leaf.stopped.send_replace(());
                listener = server::rebind_after(leaf.address, tokio::time::sleep(RESTART_TIME)).await;
                // Requests that ran at the moment of the end count as one end.
                ended.mark_unchanged();
            }
        }
    }
}

/// Serves a connection until it ends or the leaf has stopped.
async fn serve_until_stop(stream: TcpStream, leaf: Leaf, mut stopped: watch::Receiver<()>) {
    leaf.lock().open_connections += 1;
    tokio::select! {
        result = serve_connection(stream, &leaf) => {
            if let Err(error) = result {
                log::debug!("connection to the stand-in leaf failed: {error}");
            }
        }
        _ = stopped.changed() => {}
    }
    leaf.lock().open_connections -= 1;
}

async fn serve_connection(mut stream: TcpStream, leaf: &Leaf) -> std::io::Result<()> {
    while let Some(run) = read_request(&mut stream).await? {
        let behaviour = leaf.lock().behaviour;
        leaf.lock().arrivals.push(run.at);
        let id = run.request.clone();
        if leaf.lock().poison.as_ref() == Some(&run.path) {
            leaf.lock().runs.push(run);
            let time_to_end = leaf.lock().time_to_end;
            if !time_to_end.is_zero() {
                tokio::time::sleep(time_to_end).await;
            }
            leaf.ends.send_modify(|ends| *ends += 1);
            return std::future::pending().await;
        }
        if !matches!(
            behaviour,
            Behaviour::Refuse | Behaviour::RefuseFor(_) | Behaviour::Misdirect
        ) {
            leaf.lock().runs.push(run);
        }
        let answer = leaf.answer(&id);
        match behaviour {
            Behaviour::Answer => stream.write_all(&answer).await?,
            Behaviour::Large(bytes) => stream.write_all(&leaf.large_answer(&id, bytes)).await?,
            Behaviour::Held(bytes) => {
                leaf.wait_for_change(behaviour).await;
                stream.write_all(&leaf.large_answer(&id, bytes)).await?;
            }
            Behaviour::LongHead(bytes) => stream.write_all(&leaf.long_head(&id, bytes)).await?,
            Behaviour::StatusLine(line) => {
                let answer = String::from_utf8_lossy(&answer).replacen("HTTP/1.1 200 OK", line, 1);
                stream.write_all(answer.as_bytes()).await?;
            }
            Behaviour::Slow(time) => {
                tokio::time::sleep(time).await;
                stream.write_all(&answer).await?;
            }
            // Waits until the caller closes the connection or sends another request, which is
            // dropped.
            Behaviour::Hang => drop(read_request(&mut stream).await?),
            Behaviour::Fail(status) => {
                let head = answer_head(&leaf.id, &id, "Content-Length: 0");
                let head = head.replacen("200 OK", &format!("{status} Failed"), 1);
                stream.write_all(head.as_bytes()).await?;
            }
            Behaviour::Lose => return Ok(()),
            Behaviour::Repeat => stream.write_all(&[&answer[..], &answer].concat()).await?,
            Behaviour::RepeatLate(time) => {
                stream.write_all(&answer).await?;
                tokio::time::sleep(time).await;
                let id = format!("X-Camphorhold-Request-Id: {id}\r\n");
                let head = String::from_utf8_lossy(&answer).replacen(&id, "", 1);
                stream.write_all(head.as_bytes()).await?;
            }
            Behaviour::KeepAlive(seconds) => {
                let framing = format!("Content-Length: 16\r\nKeep-Alive: timeout={seconds}");
                let head = answer_head(&leaf.id, &id, &framing);
                let answer = [head.as_bytes(), &leaf.record()].concat();
                stream.write_all(&answer).await?;
            }
            Behaviour::Flood(flood) => return flood.send(&mut stream, &answer).await,
            Behaviour::TruncateChunks => {
                let head = answer_head(&leaf.id, &id, "Transfer-Encoding: chunked");
                let chunk = [&b"10\r\n"[..], &leaf.record(), b"\r\n"].concat();
                return stream.write_all(&[head.into_bytes(), chunk].concat()).await;
            }
            Behaviour::Reset => {
                let head = answer_head(&leaf.id, &id, "Connection: close");
                let answer = [head.into_bytes(), leaf.record().to_vec()].concat();
                stream.write_all(&answer).await?;
                // Lets the caller read these bytes before the reset discards them.
                tokio::time::sleep(RESET_DELAY).await;
                return stream.set_zero_linger();
            }
            Behaviour::TruncateHead(length) => return stream.write_all(&answer[..length]).await,
            Behaviour::Truncate => return stream.write_all(&answer[..answer.len() - 4]).await,
            Behaviour::Refuse => {
                let refusal = "HTTP/1.1 503 Service Unavailable\r\n\
                    X-Camphorhold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(refusal.as_bytes()).await?;
            }
            Behaviour::RefuseFor(pause) => {
                let refusal = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Camphorhold-Not-Executed: 1\r\n\
                     Retry-After: {}.{:03}\r\nContent-Length: 0\r\n\r\n",
                    pause / 1_000,
                    pause % 1_000
                );
                stream.write_all(refusal.as_bytes()).await?;
            }
            Behaviour::Misdirect => {
                let refusal = "HTTP/1.1 421 Misdirected Request\r\n\
                    X-Camphorhold-Instance-Id: another\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(refusal.as_bytes()).await?;
            }
        }
    }
    Ok(())
}

/// Reads a request with its body. Returns `None` if the connection ends before the end of the head.
async fn read_request(stream: &mut TcpStream) -> std::io::Result<Option<Run>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => return Ok(None),
            Err(error) => return Err(error),
        }
    }
    let text = String::from_utf8_lossy(&head);
    let head = text.to_ascii_lowercase();
    let target = head.split(' ').nth(1).unwrap_or_default();
    let path = target.split('?').next().unwrap_or_default().to_owned();
    let value = |name: &str| {
        let line = head.lines().find_map(|line| line.strip_prefix(name));
        line.map_or("", |value| value.trim_start_matches(':').trim())
    };
    let customers = text.lines().filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_customer = name.eq_ignore_ascii_case("x-camphorhold-tenant");
        is_customer.then(|| value.trim().to_owned())
    });
    let customers = customers.collect();
    let length: usize = value("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(Some(Run {
        path,
        request: value("x-camphorhold-request-id").into(),
        deadline_ms: value("x-camphorhold-deadline-ms").parse().unwrap_or(0),
        expected_leaf: value("x-camphorhold-expect-instance").into(),
        customers,
        has_key: head.contains("\nx-camphorhold-key:"),
        body_bytes: length,
        at: Instant::now(),
    }))
}
