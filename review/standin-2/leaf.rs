//! Leafs of the platform.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::os::fd::RawFd;
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

/// More connections than wait at a listener whose queue is as short as possible.
const FILLERS: usize = 16;

/// How long a leaf works on a harmful request before its machine loses power.
const TIME_TO_END: Duration = Duration::from_millis(20);

/// What a leaf does with a request that is meant for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Runs it for that long and answers.
    Answer(Duration),
    /// Runs it and answers with that status.
    Fail(u16),
    /// Runs it, and answers with a chunked body whose first chunk size is a digit 0 without end. All
    /// such answers of the leaf together have that many bytes per second at most.
    EndlessChunkSize(u64),
    /// Runs it for [`TIME_TO_END`], and then its machine loses power if the path holds `harmful`. Other
    /// requests are answered after that long.
    LosesPower(Duration),
}

/// A request that has reached a leaf.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
}

unsafe extern "C" {
    fn listen(socket: RawFd, backlog: i32) -> i32;
}

#[derive(Clone)]
pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub born: u64,
    pub address: SocketAddr,
    listener: RawFd,
    behaviour: Arc<Mutex<Behaviour>>,
    leaving: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    crashed: Arc<AtomicBool>,
    power_lost_at: Arc<Mutex<Option<Duration>>>,
    connections: Arc<Mutex<Vec<Arc<TcpStream>>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
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
            listener: listener.as_raw_fd(),
            behaviour: Arc::new(Mutex::new(Behaviour::Answer(Duration::from_millis(5)))),
            leaving: Arc::default(),
            ended: Arc::default(),
            crashed: Arc::default(),
            power_lost_at: Arc::default(),
            connections: Arc::default(),
            arrivals: Arc::default(),
            link: Arc::default(),
            record: record.clone(),
        };
        let server = leaf.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.ended.load(Ordering::SeqCst) {
                    if server.crashed.load(Ordering::SeqCst) {
                        return;
                    }
                    // Without power the listener stays, so that its queue stays full.
                    let _ = server.stay_silent();
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

    /// Crashes: its connections end, and its address accepts no new ones.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which ends.
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().expect("not poisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.write(&format!("leaf {} has crashed", self.id));
    }

    /// Loses power: its connections stay open and silent, and new ones are not established.
    fn lose_power(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        *self.power_lost_at.lock().expect("not poisoned") = Some(self.record.elapsed());
        self.record
            .write(&format!("the machine of leaf {} has lost power", self.id));
        // SAFETY: the listener stays open until the end of the process, and the call only shortens the
        // queue of connections that wait to be accepted.
        unsafe { listen(self.listener, 0) };
        // The first one wakes the listener, which accepts no more. Once the queue is full, connections
        // are not established.
        let mut held = self.connections.lock().expect("not poisoned");
        for _ in 0..FILLERS {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(20)) {
                Ok(stream) => held.push(Arc::new(stream)),
                Err(_) => break,
            }
        }
    }

    /// When its machine has lost power.
    pub fn power_lost_at(&self) -> Option<Duration> {
        *self.power_lost_at.lock().expect("not poisoned")
    }

    /// Keeps the connection open until the end of the case.
    fn stay_silent(&self) -> std::io::Result<()> {
        loop {
            std::thread::sleep(Duration::from_secs(60));
        }
    }

    /// The requests that have reached it and were meant for it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("not poisoned").clone()
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        self.connections
            .lock()
            .expect("not poisoned")
            .push(Arc::clone(&stream));
        let mut reader = BufReader::new(&*stream);
        let result = loop {
            match http::read(&mut reader) {
                Ok(Some(request)) => {
                    if let Err(error) = self.answer(&request, &stream) {
                        break Err(error);
                    }
                }
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            }
        };
        self.connections
            .lock()
            .expect("not poisoned")
            .retain(|other| !Arc::ptr_eq(other, &stream));
        result
    }

    fn answer(&self, request: &Message, mut writer: &TcpStream) -> std::io::Result<()> {
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
            Behaviour::LosesPower(work) => {
                if request.second().contains("harmful") {
                    std::thread::sleep(TIME_TO_END);
                    self.lose_power();
                    return self.stay_silent();
                }
                std::thread::sleep(work);
                if self.ended.load(Ordering::SeqCst) {
                    return self.stay_silent();
                }
                let body = format!("{} {id}\n", self.id);
                let text = head(200, &stamp, body.len());
                writer.write_all(format!("{text}{body}").as_bytes())
            }
            Behaviour::Fail(status) => writer.write_all(head(status, &stamp, 0).as_bytes()),
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
