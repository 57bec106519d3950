//! Crowds of clients that hold as much of an instance's memory and as many of its connections as they
//! can, and the peaks of the process meanwhile.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::leaf::Leaf;
use futures::future::join_all;
use hyper::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

use super::Instance;
use super::Platform;
use super::wait_until;

/// The memory and the descriptors of the machine, as the settings state them. They are lower than
/// those of the platform's machines, so that few clients show a fault.
pub const MEMORY_MB: usize = 48;
pub const MAX_DESCRIPTORS: usize = 400;

/// The descriptors of the platform's machines, with which the memory alone limits the connections.
pub const MANY_DESCRIPTORS: usize = 4_100;

/// The number of clients. Their connections alone are more than the descriptors of the machine, and
/// their bodies are 2.5 times its memory.
pub const CLIENTS: usize = 480;

/// The limit on bodies, as on the platform.
pub const BODY_BYTES: usize = 262_144;

/// How much of a body or a head is never sent.
const MISSING_BYTES: usize = 6;

/// The chunks of a body in large chunks, and how many chunks of one byte a client sends.
const CHUNK_BYTES: usize = 16_000;
const SMALL_CHUNKS: usize = 2_000;

/// The extensions of a chunk and the trailers of a body, neither of which has an end.
const EXTENSION_BYTES: usize = 15_000;
const TRAILER_BYTES: usize = 15_000;

/// What a client sends behind a request that has no answer yet.
const BEHIND_BYTES: usize = 1 << 20;

/// The receive buffer of a client that does not read its answers, so that few of them fit into the
/// sockets.
const SILENT_BUFFER_BYTES: u32 = 4 << 10;

/// How many bytes a slow client sends, one a second.
const SLOW_BYTES: usize = 4;

/// How long a client tries to send. One that the instance does not read from gives up.
const SEND_TIME: Duration = Duration::from_secs(10);

/// How often the open descriptors are counted, and how often the memory is.
pub const COUNT_INTERVAL: Duration = Duration::from_millis(5);
const MEMORY_INTERVAL: Duration = Duration::from_millis(25);

/// The state of a listening socket in the tables of the operating system.
const LISTENING: &str = "0A";

/// Lets one test run at a time.
pub async fn run_alone() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::const_new(());
    LOCK.lock().await
}

/// What a client sends. The first ones do not finish a request, except those that change their kind.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A body with a length, all but its last bytes.
    Length,
    /// The same in large chunks.
    LargeChunks,
    /// Chunks of one byte.
    SmallChunks,
    /// A complete request, then half a body in large chunks, and the rest in chunks of one byte.
    Changing,
    /// A body with a length, and its last bytes one a second.
    Slow,
    /// A head without an end, of that many bytes.
    Head(usize),
    /// Nothing.
    Idle,
    /// A chunked body in one chunk, all but its last bytes.
    OneChunk,
    /// The extensions of a chunk, without an end.
    Extensions,
    /// A chunked body, and trailers without an end.
    Trailers,
    /// A whole body of the longest length.
    Whole,
    /// A whole request without a body, and further ones behind it.
    Behind,
    /// The same with bodies.
    BodiesBehind,
    /// That many requests, whose answers are not read.
    Silent(usize),
    /// A query over all services.
    Query,
}

/// Opens a connection and sends what a client of that kind sends. Returns the connection, unless the
/// instance has closed it.
async fn send(address: SocketAddr, kind: Kind, headers: &str) -> Option<TcpStream> {
    let mut stream = match kind {
        Kind::Silent(_) => {
            let socket = TcpSocket::new_v4().ok()?;
            socket.set_recv_buffer_size(SILENT_BUFFER_BYTES).ok()?;
            socket.connect(address).await.ok()?
        }
        _ => TcpStream::connect(address).await.ok()?,
    };
    let sending = tokio::time::timeout(SEND_TIME, send_on(&mut stream, kind, headers));
    match sending.await {
        Ok(Err(_)) => None,
        // A connection that is not read from is kept open all the same.
        Ok(Ok(())) | Err(_) => Some(stream),
    }
}

async fn send_on(stream: &mut TcpStream, kind: Kind, headers: &str) -> std::io::Result<()> {
    let head = format!(
        "POST /one/x HTTP/1.1\r\nHost: q.example\r\nX-Camphorhold-Request-Id: client\r\n{headers}"
    );
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let large_chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    let small_chunks = "1\r\nx\r\n".repeat(SMALL_CHUNKS);
    let body = format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n");
    let request = format!("{head}\r\n");
    match kind {
        Kind::Length => {
            stream.write_all(body.as_bytes()).await?;
            stream
                .write_all(&vec![b'x'; BODY_BYTES - MISSING_BYTES])
                .await
        }
        Kind::LargeChunks => {
            stream.write_all(chunked.as_bytes()).await?;
            for _ in 0..BODY_BYTES / CHUNK_BYTES {
                stream.write_all(large_chunk.as_bytes()).await?;
            }
            Ok(())
        }
        Kind::SmallChunks => {
            stream.write_all(chunked.as_bytes()).await?;
            stream.write_all(small_chunks.as_bytes()).await
        }
        Kind::Changing => {
            stream.write_all(request.as_bytes()).await?;
            stream.read_u8().await?;
            stream.write_all(chunked.as_bytes()).await?;
            for _ in 0..BODY_BYTES / CHUNK_BYTES / 2 {
                stream.write_all(large_chunk.as_bytes()).await?;
            }
            stream.write_all(small_chunks.as_bytes()).await
        }
        Kind::Slow => {
            stream.write_all(body.as_bytes()).await?;
            let most = BODY_BYTES - MISSING_BYTES - SLOW_BYTES;
            stream.write_all(&vec![b'x'; most]).await?;
            for _ in 0..SLOW_BYTES {
                tokio::time::sleep(Duration::from_secs(1)).await;
                stream.write_all(b"x").await?;
            }
            Ok(())
        }
        Kind::Head(bytes) => {
            stream.write_all(head.as_bytes()).await?;
            let line = format!("X-Filler: {}\r\n", "x".repeat(1_000));
            stream
                .write_all(line.repeat(bytes / line.len()).as_bytes())
                .await
        }
        Kind::Idle => Ok(()),
        Kind::OneChunk => {
            let start = format!("{chunked}{BODY_BYTES:x}\r\n");
            stream.write_all(start.as_bytes()).await?;
            stream
                .write_all(&vec![b'x'; BODY_BYTES - MISSING_BYTES])
                .await
        }
        Kind::Extensions => {
            let extension = "x".repeat(EXTENSION_BYTES);
            stream
                .write_all(format!("{chunked}1;{extension}").as_bytes())
                .await
        }
        Kind::Trailers => {
            let trailer = "x".repeat(TRAILER_BYTES);
            let start = format!("{chunked}1\r\nx\r\n0\r\nX-Filler: {trailer}");
            stream.write_all(start.as_bytes()).await
        }
        Kind::Whole => {
            stream.write_all(body.as_bytes()).await?;
            stream.write_all(&vec![b'x'; BODY_BYTES]).await
        }
        Kind::Behind => {
            let count = 1 + BEHIND_BYTES / request.len();
            stream.write_all(request.repeat(count).as_bytes()).await
        }
        Kind::BodiesBehind => {
            let request = format!("{body}{}", "x".repeat(BODY_BYTES));
            let count = 1 + BEHIND_BYTES / BODY_BYTES;
            stream.write_all(request.repeat(count).as_bytes()).await
        }
        Kind::Query => {
            let query = request.replacen("/one/", "/all/", 1);
            stream.write_all(query.as_bytes()).await
        }
        Kind::Silent(requests) => stream.write_all(request.repeat(requests).as_bytes()).await,
    }
}

/// Returns the number of open descriptors of a process.
pub fn open_descriptors(process: u32) -> usize {
    let open = std::fs::read_dir(format!("/proc/{process}/fd"));
    open.map_or(0, Iterator::count)
}

/// The ports whose connections are those of one process.
#[derive(Clone, Debug, Default)]
struct Ports {
    // Those on which it listens.
    own: Vec<u16>,
    // Those that it connects to.
    remote: Vec<u16>,
}

impl Ports {
    /// Returns the bytes that its sockets have received and it has not read, those of connections
    /// that it has not accepted included.
    fn received_bytes(&self) -> usize {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        // The operating system lists a connection several times while others are opened.
        let queues: HashMap<_, _> = table.lines().filter_map(|line| self.queue(line)).collect();
        queues.values().sum()
    }

    /// Returns the two addresses and the receive queue of a line of the table, if its connection is one
    /// of the process.
    fn queue<'a>(&self, line: &'a str) -> Option<([&'a str; 2], usize)> {
        let mut fields = line.split_whitespace().skip(1);
        let addresses = [fields.next()?, fields.next()?];
        let port = |address: &str| {
            let (_, port) = address.split_once(':')?;
            u16::from_str_radix(port, 16).ok()
        };
        let is_listening = fields.next()? == LISTENING;
        let (_, queue) = fields.next()?.split_once(':')?;
        let is_counted =
            self.own.contains(&port(addresses[0])?) || self.remote.contains(&port(addresses[1])?);
        let bytes = usize::from_str_radix(queue, 16).ok()?;
        (is_counted && !is_listening).then_some((addresses, bytes))
    }
}

/// Returns the memory that a process occupies, in bytes; 0 once it has ended.
fn memory(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.map(|value| value.trim().trim_end_matches(" kB"));
    kilobytes.map_or(0, |value| value.parse::<usize>().unwrap_or(0)) << 10
}

#[derive(Debug, Default)]
struct Peaks {
    descriptors: AtomicUsize,
    // What the process occupies and what its sockets have received, at the same time.
    held: AtomicUsize,
    received: AtomicUsize,
}

impl Peaks {
    fn count_descriptors(&self, process: u32) {
        let open = open_descriptors(process);
        self.descriptors.fetch_max(open, Ordering::Relaxed);
    }

    fn count_memory(&self, process: u32, ports: &Ports) {
        let received = ports.received_bytes();
        let held = memory(process) + received;
        self.received.fetch_max(received, Ordering::Relaxed);
        self.held.fetch_max(held, Ordering::Relaxed);
    }
}

/// Counts what a process holds until it is dropped.
struct Sampler {
    process: u32,
    ports: Ports,
    peaks: Arc<Peaks>,
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Sampler {
    fn start(process: u32, ports: Ports) -> Self {
        let peaks = Arc::new(Peaks::default());
        let ended = Arc::new(AtomicBool::new(false));
        let repeat = |interval: Duration, count: Box<dyn Fn(&Peaks) + Send>| {
            let (peaks, ended) = (Arc::clone(&peaks), Arc::clone(&ended));
            std::thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    count(&peaks);
                    std::thread::sleep(interval);
                }
            })
        };
        let counted = ports.clone();
        let threads = vec![
            repeat(
                COUNT_INTERVAL,
                Box::new(move |peaks| peaks.count_descriptors(process)),
            ),
            repeat(
                MEMORY_INTERVAL,
                Box::new(move |peaks| peaks.count_memory(process, &counted)),
            ),
        ];
        Self {
            process,
            ports,
            peaks,
            ended,
            threads,
        }
    }

    /// Counts now, too: the threads may not have run yet.
    fn count(&self) {
        self.peaks.count_descriptors(self.process);
        self.peaks.count_memory(self.process, &self.ports);
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
    }
}

/// An instance on a small machine, with the platform that it runs on.
pub struct Target {
    pub platform: Platform,
    pub instance: Instance,
    max_descriptors: usize,
    sampler: Sampler,
}

impl Target {
    /// Starts an instance on the smallest machine.
    pub async fn start() -> Self {
        Self::start_with(MAX_DESCRIPTORS).await
    }

    /// Starts an instance on a machine with that many descriptors.
    pub async fn start_with(max_descriptors: usize) -> Self {
        Self::start_for(max_descriptors, &["s1"]).await
    }

    /// Starts an instance on a machine with that many descriptors, for these services with a leaf each.
    pub async fn start_for(max_descriptors: usize, services: &[&str]) -> Self {
        let leafs: Vec<_> = services.iter().map(|service| (*service, "a")).collect();
        let platform = Platform::start(&leafs).await;
        let mut configuration = configuration(2, services);
        configuration["limits"]["max_body_bytes"] = BODY_BYTES.into();
        platform.store.put(CONFIGURATION_KEY, &configuration);
        let mut instance = Instance::start(&platform, "1", "a").await;
        instance.kill();
        instance.set_machine_limits(MEMORY_MB, max_descriptors);
        instance.restart().await;
        let mut own = vec![instance.caller_address(), instance.peer_address()];
        own.extend(instance.other_addresses());
        let leafs = platform.leafs.iter().map(Leaf::address);
        let remote = leafs.chain([platform.store.address()]);
        let ports = Ports {
            own: own.iter().map(SocketAddr::port).collect(),
            remote: remote.map(|address| address.port()).collect(),
        };
        let sampler = Sampler::start(instance.id(), ports);
        Self {
            platform,
            instance,
            max_descriptors,
            sampler,
        }
    }

    /// Sends what clients of that kind send, all at once, and returns their open connections.
    pub async fn send(&self, address: SocketAddr, kind: Kind, headers: &str) -> Vec<TcpStream> {
        self.send_mixed(address, &[kind], headers).await
    }

    /// Sends what clients of these kinds send, in equal parts and all at once, and returns their open
    /// connections.
    pub async fn send_mixed(
        &self,
        address: SocketAddr,
        kinds: &[Kind],
        headers: &str,
    ) -> Vec<TcpStream> {
        let kinds = kinds.iter().cycle().take(CLIENTS);
        let clients = kinds.map(|kind| send(address, *kind, headers));
        join_all(clients).await.into_iter().flatten().collect()
    }

    /// Sends that many requests to the port for callers on each of a few connections, whose answers
    /// are not read. Returns the open connections.
    pub async fn send_silent(&self, clients: usize, requests: usize) -> Vec<TcpStream> {
        let address = self.instance.caller_address();
        let clients = (0..clients).map(|_| send(address, Kind::Silent(requests), ""));
        join_all(clients).await.into_iter().flatten().collect()
    }

    /// Counts what the instance holds now.
    pub fn count(&self) {
        self.sampler.count();
    }

    /// Checks that an ordinary request is answered, while the clients hold their connections and after
    /// they have closed them. Returns the peaks of the process if they exceed the limits of its machine.
    pub async fn check(&mut self, what: &str, clients: Vec<TcpStream>) -> Option<String> {
        // The counting threads may not have run yet.
        let held = open_descriptors(self.instance.id());
        assert!(held > 0, "{what}: the descriptors are not counted");
        self.sampler.count();
        self.check_answer(what).await;
        drop(clients);
        self.check_answer(what).await;
        self.sampler.count();
        let peaks = &self.sampler.peaks;
        let received = peaks.received.load(Ordering::Relaxed);
        let memory = peaks.held.load(Ordering::Relaxed);
        let memory = memory.max(self.instance.peak_memory());
        let descriptors = peaks.descriptors.load(Ordering::Relaxed);
        let text = format!(
            "{what}: {} KiB, with at most {} KiB received and not read, {descriptors} descriptors",
            memory >> 10,
            received >> 10
        );
        eprintln!("{text}");
        let is_within = memory < MEMORY_MB << 20 && descriptors < self.max_descriptors;
        (!is_within).then_some(text)
    }

    /// Checks that an ordinary request is answered, and that the process lives.
    pub async fn check_answer(&mut self, what: &str) {
        let instance = &self.instance;
        wait_until("an ordinary request is answered", || async {
            let answer = instance.send("ordinary", "/one/x").await;
            answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
        })
        .await;
        assert!(self.instance.is_alive(), "{what}");
        assert!(self.instance.is_ready().await, "{what}");
    }
}
