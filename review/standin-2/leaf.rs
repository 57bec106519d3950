//! Leafs of the platform.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::record::Record;

/// The link of a leaf, which its connections share.
#[derive(Default)]
struct Link(Mutex<Option<Instant>>);

impl Link {
    /// Waits until that many bytes may be sent at a rate in bytes per second.
    fn wait(&self, bytes: u64, rate: u64) {
        let now = Instant::now();
        let mut free_at = self.0.lock().expect("not poisoned");
        let start = free_at.map_or(now, |at| at.max(now));
        *free_at = Some(start + Duration::from_secs_f64(bytes as f64 / rate as f64));
        drop(free_at);
        std::thread::sleep(start.saturating_duration_since(now));
    }
}

/// How long a full leaf keeps a request in its queue before it turns it away.
const QUEUE_TIME: Duration = Duration::from_millis(300);

/// What a leaf does with a request that is meant for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Runs it for that long and answers.
    Answer(Duration),
    /// Runs it and answers with that status.
    Fail(u16),
    /// Keeps it in its queue for [`QUEUE_TIME`] and does not run it: 503, and no requests for that many
    /// seconds.
    Rest(u64),
    /// Runs it, and answers with a chunked body whose first chunk size is a digit 0 without end. All
    /// such answers of the leaf together have that many bytes per second at most.
    EndlessChunkSize(u64),
}

/// A request that has reached a leaf.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
}

#[derive(Clone)]
pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub born: u64,
    pub address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    leaving: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    refusals: Arc<Mutex<Vec<Duration>>>,
    link: Arc<Link>,
    record: Record,
}

impl Leaf {
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        version: &str,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let leaf = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            born: u64::try_from(since.as_millis()).unwrap_or(0),
            address: listener.local_addr()?,
            behaviour: Arc::new(Mutex::new(Behaviour::Answer(Duration::from_millis(5)))),
            leaving: Arc::default(),
            ended: Arc::default(),
            connections: Arc::default(),
            arrivals: Arc::default(),
            refusals: Arc::default(),
            link: Arc::default(),
            record: record.clone(),
        };
        let server = leaf.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = server.clone();
                std::thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(leaf)
    }

    /// The key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Its entry in the store, as of its check-in with that number.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"concurrency\":8,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.version, self.born
        )
    }

    pub fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("not poisoned") = behaviour;
    }

    /// From now on all its answers say that it is leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// When it has turned requests away with 503 and `Retry-After`.
    pub fn refusals(&self) -> Vec<Duration> {
        self.refusals.lock().expect("not poisoned").clone()
    }

    /// Crashes: its connections end, and its address accepts no new ones.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which ends.
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().expect("not poisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.write(&format!("leaf {} has crashed", self.id));
    }

    /// The requests that have reached it and were meant for it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("not poisoned").clone()
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        self.connections
            .lock()
            .expect("not poisoned")
            .push(stream.try_clone()?);
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            self.answer(&request, &mut writer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = request
            .header("x-camphorhold-request-id")
            .unwrap_or("")
            .to_owned();
        let leaving = if self.leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let head = |status: u16, more: &str, length: usize| {
            format!(
                "HTTP/1.1 {status} x\r\nX-Camphorhold-Request-Id: {id}\r\n{leaving}Content-Length: {length}\r\n{more}\r\n"
            )
        };
        if request
            .header("x-camphorhold-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let text = head(421, "X-Camphorhold-Not-Executed: 1\r\n", 0);
            return writer.write_all(text.as_bytes());
        }
        if request.second().starts_with("/health") {
            let text = head(
                200,
                &format!("X-Camphorhold-Instance-Id: {}\r\n", self.id),
                0,
            );
            return writer.write_all(text.as_bytes());
        }
        self.arrivals.lock().expect("not poisoned").push(Arrival {
            at: self.record.elapsed(),
            id: id.clone(),
        });
        let behaviour = *self.behaviour.lock().expect("not poisoned");
        self.record
            .write(&format!("leaf {} gets {id}: {behaviour:?}", self.id));
        let stamp = format!("X-Camphorhold-Server-Stamp: {}.{id}\r\n", self.id);
        match behaviour {
            Behaviour::Answer(work) => {
                std::thread::sleep(work);
                let body = format!("{} {id}\n", self.id);
                let text = head(200, &stamp, body.len());
                writer.write_all(format!("{text}{body}").as_bytes())
            }
            Behaviour::Fail(status) => writer.write_all(head(status, &stamp, 0).as_bytes()),
            Behaviour::Rest(seconds) => {
                std::thread::sleep(QUEUE_TIME);
                self.refusals
                    .lock()
                    .expect("not poisoned")
                    .push(self.record.elapsed());
                let more = format!("X-Camphorhold-Not-Executed: 1\r\nRetry-After: {seconds}\r\n");
                writer.write_all(head(503, &more, 0).as_bytes())
            }
            Behaviour::EndlessChunkSize(rate) => {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Camphorhold-Request-Id: {id}\r\n{stamp}Transfer-Encoding: chunked\r\n\r\n"
                );
                writer.write_all(text.as_bytes())?;
                let zeros = [b'0'; 16 << 10];
                let start = Instant::now();
                let mut sent = 0_u64;
                let result = loop {
                    self.link.wait(zeros.len() as u64, rate);
                    if let Err(error) = writer.write_all(&zeros) {
                        break Err(error);
                    }
                    sent += zeros.len() as u64;
                };
                self.record.write(&format!(
                    "leaf {}: caller has closed the connection of {id} after {} MB in {:.1} s",
                    self.id,
                    sent >> 20,
                    start.elapsed().as_secs_f64()
                ));
                result
            }
        }
    }
}
