//! Tests of instances whose clients hold as much of their memory and as many of their connections as
//! they can. The instances run as processes against the stand-ins of the platform. The tests run one
//! at a time: each measures the peaks of a process under load.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::leaf::Behaviour;
use futures::future::join_all;
use hyper::StatusCode;
use support::Instance;
use support::Platform;
use support::wait_until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

/// The memory and the descriptors of the machine, as the settings state them. They are lower than
/// those of the platform's machines, so that few clients show a fault.
const MEMORY_MB: usize = 48;
const MAX_DESCRIPTORS: usize = 400;

/// The number of clients. Their connections alone are more than the descriptors of the machine, and
/// their bodies are 2.5 times its memory.
const CLIENTS: usize = 480;

/// The limit on bodies, as on the platform.
const BODY_BYTES: usize = 262_144;

/// How much of a body or a head is never sent.
const MISSING_BYTES: usize = 6;

/// The chunks of a body in large chunks, and how many chunks of one byte a client sends.
const CHUNK_BYTES: usize = 16_000;
const SMALL_CHUNKS: usize = 2_000;

/// The head of a request that has no end.
const HEAD_BYTES: usize = 15_000;
/// The same at the port for other instances, which permits longer ones.
const PEER_HEAD_BYTES: usize = 250_000;

/// How many bytes a slow client sends, one a second.
const SLOW_BYTES: usize = 4;

/// The clients that do not read their answers, the requests of each, and the length of an answer. The
/// operating system holds some 2.6 MB for each connection.
const SILENT_CLIENTS: usize = 60;
const SILENT_REQUESTS: usize = 6;
const LARGE_ANSWER_BYTES: usize = 1 << 20;

/// How long a client tries to send. One that the instance does not read from gives up.
const SEND_TIME: Duration = Duration::from_secs(10);

/// How often the open descriptors are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(5);

/// Lets one test run at a time.
async fn run_alone() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::const_new(());
    LOCK.lock().await
}

/// What a client sends. None of them finishes a request, except those that change their kind.
#[derive(Clone, Copy, Debug)]
enum Kind {
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
}

/// Opens a connection and sends what a client of that kind sends. Returns the connection, unless the
/// instance has closed it.
async fn send(address: SocketAddr, kind: Kind, headers: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
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
            stream.write_all(format!("{head}\r\n").as_bytes()).await?;
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
    }
}

fn open_descriptors(process: u32) -> usize {
    let open = std::fs::read_dir(format!("/proc/{process}/fd"));
    open.map_or(0, Iterator::count)
}

/// Counts the open descriptors of a process until it is dropped.
struct DescriptorCount {
    most: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl DescriptorCount {
    fn start(process: u32) -> Self {
        let most = Arc::new(AtomicUsize::new(0));
        let ended = Arc::new(AtomicBool::new(false));
        let (counted, stop) = (Arc::clone(&most), Arc::clone(&ended));
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                counted.fetch_max(open_descriptors(process), Ordering::Relaxed);
                std::thread::sleep(COUNT_INTERVAL);
            }
        });
        Self {
            most,
            ended,
            thread: Some(thread),
        }
    }

    fn most(&self) -> usize {
        self.most.load(Ordering::Relaxed)
    }
}

impl Drop for DescriptorCount {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// An instance on a small machine, with the platform that it runs on.
struct Target {
    platform: Platform,
    instance: Instance,
    descriptors: DescriptorCount,
}

impl Target {
    async fn start() -> Self {
        let platform = Platform::start(&[("s1", "a")]).await;
        let mut configuration = configuration(2, &["s1"]);
        configuration["limits"]["max_body_bytes"] = BODY_BYTES.into();
        platform.store.put(CONFIGURATION_KEY, &configuration);
        let mut instance = Instance::start(&platform, "1", "a").await;
        instance.kill();
        instance.set_machine_limits(MEMORY_MB, MAX_DESCRIPTORS);
        instance.restart().await;
        let descriptors = DescriptorCount::start(instance.id());
        Self {
            platform,
            instance,
            descriptors,
        }
    }

    /// Sends what clients of that kind send, all at once, and returns their open connections.
    async fn send(&self, address: SocketAddr, kind: Kind, headers: &str) -> Vec<TcpStream> {
        let clients = (0..CLIENTS).map(|_| send(address, kind, headers));
        join_all(clients).await.into_iter().flatten().collect()
    }

    /// Checks that an ordinary request is answered, while the clients hold their connections and after
    /// they have closed them. Returns the peaks of the process if they exceed the limits of its machine.
    async fn check(&mut self, what: &str, clients: Vec<TcpStream>) -> Option<String> {
        // The counting thread may not have run yet.
        let held = open_descriptors(self.instance.id());
        assert!(held > 0, "{what}: the descriptors are not counted");
        self.check_answer(what).await;
        drop(clients);
        self.check_answer(what).await;
        let memory = self.instance.peak_memory();
        let descriptors = self.descriptors.most().max(held);
        let peaks = format!("{what}: {} KiB, {descriptors} descriptors", memory >> 10);
        eprintln!("{peaks}");
        let is_within = memory < MEMORY_MB << 20 && descriptors < MAX_DESCRIPTORS;
        (!is_within).then_some(peaks)
    }

    async fn check_answer(&mut self, what: &str) {
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

async fn check_callers(kind: Kind) {
    let _alone = run_alone().await;
    let mut target = Target::start().await;
    let address = target.instance.caller_address();
    let clients = target.send(address, kind, "").await;
    let exceeded = target.check(&format!("{kind:?}"), clients).await;
    assert_eq!(exceeded, None);
}

/// Guards against a process that runs out of memory because many clients do not finish their bodies.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_with_a_length_stay_within_the_machine() {
    check_callers(Kind::Length).await;
}

/// Guards against long bodies that are refused for good, because what closed connections held stays in
/// the account.
#[tokio::test(flavor = "multi_thread")]
async fn the_longest_body_is_served_while_others_do_not_finish_theirs() {
    let _alone = run_alone().await;
    let target = Target::start().await;
    let address = target.instance.caller_address();
    let head = format!(
        "POST /one/x HTTP/1.1\r\nHost: q.example\r\nX-Camphorhold-Request-Id: ordinary\r\n\
         Connection: close\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let request = [head.as_bytes(), &vec![b'x'; BODY_BYTES]].concat();
    let clients = target.send(address, Kind::Length, "").await;
    wait_until("an ordinary body is served", || async {
        let answer = target.instance.send_bytes(&request).await;
        answer.starts_with(b"HTTP/1.1 200 ")
    })
    .await;
    let runs = target.platform.leafs[0].runs();
    let ordinary = runs.iter().filter(|run| run.request == "ordinary");
    let lengths: Vec<usize> = ordinary.map(|run| run.body_bytes).collect();
    assert_eq!(lengths, [BODY_BYTES]);
    drop(clients);
}

/// Guards against chunked bodies that are held but not accounted for, as their length is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_in_large_chunks_stay_within_the_machine() {
    check_callers(Kind::LargeChunks).await;
}

/// Guards against chunks that hold more memory than the bytes in them.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_in_small_chunks_stay_within_the_machine() {
    check_callers(Kind::SmallChunks).await;
}

/// Guards against clients that are trusted because their first request was an ordinary one.
#[tokio::test(flavor = "multi_thread")]
async fn clients_that_change_their_kind_stay_within_the_machine() {
    check_callers(Kind::Changing).await;
}

/// Guards against clients that keep what they hold because a byte of it arrives from time to time.
#[tokio::test(flavor = "multi_thread")]
async fn clients_that_send_a_byte_a_second_stay_within_the_machine() {
    check_callers(Kind::Slow).await;
}

/// Guards against heads that are held until their time has passed, by any number of connections.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads_stay_within_the_machine() {
    check_callers(Kind::Head(HEAD_BYTES)).await;
}

/// Guards against a process without free descriptors because of connections that are not used.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_stay_within_the_machine() {
    check_callers(Kind::Idle).await;
}

/// Guards against answers that are held for as long as their callers do not read them.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_are_not_read_stay_within_the_machine() {
    let _alone = run_alone().await;
    let mut target = Target::start().await;
    let leaf = &target.platform.leafs[0];
    leaf.set_behaviour(Behaviour::Large(LARGE_ANSWER_BYTES));
    let request = "GET /one/x HTTP/1.1\r\nHost: q.example\r\n\
        X-Camphorhold-Request-Id: client\r\n\r\n"
        .repeat(SILENT_REQUESTS);
    let mut clients = Vec::new();
    // One after the other: the answers that are being read from the leaf have a budget of their own.
    for _ in 0..SILENT_CLIENTS {
        let mut stream = target.instance.connect_raw().await;
        let runs = leaf.runs().len();
        if stream.write_all(request.as_bytes()).await.is_ok() {
            let answered = async {
                while leaf.runs().len() < runs + SILENT_REQUESTS / 2 {
                    tokio::time::sleep(COUNT_INTERVAL).await;
                }
            };
            drop(tokio::time::timeout(Duration::from_secs(1), answered).await);
        }
        clients.push(stream);
    }
    leaf.set_behaviour(Behaviour::Answer);
    let exceeded = target.check("answers that are not read", clients).await;
    assert_eq!(exceeded, None);
}

/// Guards against clients that reach the port for other instances and hold its memory, where longer
/// heads are permitted.
#[tokio::test(flavor = "multi_thread")]
async fn clients_at_the_port_for_instances_stay_within_the_machine() {
    let _alone = run_alone().await;
    let mut exceeded = Vec::new();
    for kind in [
        Kind::Length,
        Kind::LargeChunks,
        Kind::SmallChunks,
        Kind::Changing,
        Kind::Slow,
        Kind::Head(PEER_HEAD_BYTES),
        Kind::Idle,
    ] {
        let mut target = Target::start().await;
        let address = target.instance.peer_address();
        let relayed = "Camphorhold-Relay: 2\r\n";
        let clients = target.send(address, kind, relayed).await;
        exceeded.extend(target.check(&format!("peers, {kind:?}"), clients).await);
    }
    assert!(exceeded.is_empty(), "{exceeded:?}");
}

/// Guards against clients that use up the descriptors at the ports for readiness checks and metrics.
#[tokio::test(flavor = "multi_thread")]
async fn clients_at_the_other_ports_stay_within_the_machine() {
    let _alone = run_alone().await;
    let mut exceeded = Vec::new();
    for kind in [Kind::Head(HEAD_BYTES), Kind::Idle] {
        let mut target = Target::start().await;
        for address in target.instance.other_addresses() {
            let clients = target.send(address, kind, "").await;
            let what = format!("other ports, {kind:?}");
            exceeded.extend(target.check(&what, clients).await);
        }
    }
    assert!(exceeded.is_empty(), "{exceeded:?}");
}
