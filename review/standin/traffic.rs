//! Clients that send requests at a steady rate and keep what came of each.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Outcome;

/// Whether a case runs with its disruption.
pub fn trouble() -> String {
    std::env::var("TROUBLE").unwrap_or_else(|_| "1".into())
}

/// The record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        Self {
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record is created"),
            )),
            started: Instant::now(),
        }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Makes a temporary folder for the files of a case.
pub fn folder(name: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("camphorhold-review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a temporary folder");
    path
}

/// A request as a client sent it, and how it ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub served: bool,
    // How long the client waited for what it got, or until it gave up.
    pub took: Duration,
    pub answered: bool,
    pub stamp: String,
}

/// Clients of one instance. Each request is open for as long as its time limit, whatever the others
/// do.
pub struct Clients {
    pub sent: Arc<Mutex<Vec<Sent>>>,
    stop: Arc<AtomicBool>,
    open: Arc<AtomicU64>,
    ticker: Option<std::thread::JoinHandle<()>>,
}

impl Clients {
    /// Sends a request each `interval`, on a new connection each. `request` returns its bytes for an
    /// id.
    pub fn start<F>(
        address: SocketAddr,
        prefix: &'static str,
        interval: Duration,
        limit: Duration,
        record: &Record,
        request: F,
    ) -> Self
    where
        F: Fn(&str) -> Vec<u8> + Send + Sync + 'static,
    {
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let stop = Arc::new(AtomicBool::new(false));
        let open = Arc::new(AtomicU64::new(0));
        let (request, record) = (Arc::new(request), record.clone());
        let (all, stopping, counted) = (Arc::clone(&sent), Arc::clone(&stop), Arc::clone(&open));
        let ticker = std::thread::spawn(move || {
            let mut next = Instant::now();
            for number in 0.. {
                if stopping.load(Ordering::Relaxed) {
                    return;
                }
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                next += interval;
                let id = format!("{prefix}{number:06}");
                let (all, record) = (Arc::clone(&all), record.clone());
                let (request, counted) = (Arc::clone(&request), Arc::clone(&counted));
                counted.fetch_add(1, Ordering::Relaxed);
                std::thread::spawn(move || {
                    let at = Instant::now();
                    let outcome = http::exchange_once(address, &request(&id), limit);
                    let (_, served, text) = describe(&outcome);
                    let took = at.elapsed();
                    let answered = matches!(outcome, Outcome::Answer(_));
                    let stamp = match &outcome {
                        Outcome::Answer(answer) => {
                            answer.header("x-camphorhold-server-stamp").to_owned()
                        }
                        _ => String::new(),
                    };
                    record.line(&format!(
                        "request {id} to {address}: {text} after {} ms",
                        took.as_millis()
                    ));
                    all.lock().unwrap().push(Sent {
                        id,
                        at,
                        served,
                        took,
                        answered,
                        stamp,
                    });
                    counted.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Self {
            sent,
            stop,
            open,
            ticker: Some(ticker),
        }
    }

    /// Sends no more requests and waits for those that are open.
    pub fn finish(mut self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(ticker) = self.ticker.take() {
            let _ = ticker.join();
        }
        while self.open.load(Ordering::Relaxed) > 0 {
            std::thread::sleep(Duration::from_millis(10));
        }
        let sent = self.sent.lock().unwrap();
        sent.clone()
    }
}

/// Returns the status, whether the request was served, and a text for the record.
pub fn describe(outcome: &Outcome) -> (u16, bool, String) {
    match outcome {
        Outcome::Answer(answer) => {
            let stamp = answer.header("x-camphorhold-server-stamp");
            let served = (200..300).contains(&answer.status) && !stamp.is_empty();
            let pause = answer.header("retry-after");
            let mut text = answer.status.to_string();
            if !stamp.is_empty() {
                text.push_str(&format!(" stamp {stamp}"));
            }
            if !pause.is_empty() {
                text.push_str(&format!(" Retry-After {pause}"));
            }
            (answer.status, served, text)
        }
        Outcome::Closed(bytes) => (0, false, format!("closed after {bytes} bytes of an answer")),
        Outcome::Refused => (0, false, "no connection".into()),
        Outcome::TimedOut => (0, false, "no answer in time".into()),
    }
}

/// Returns how many of the requests sent in a span were served, and how many there are.
pub fn served(sent: &[Sent], from: Instant, to: Instant) -> (usize, usize) {
    let span: Vec<&Sent> = sent
        .iter()
        .filter(|sent| sent.at >= from && sent.at < to)
        .collect();
    (span.iter().filter(|sent| sent.served).count(), span.len())
}
