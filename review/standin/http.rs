//! HTTP/1.1 over plain sockets, for the stand-ins and the clients.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }
}

pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(header, _)| header == name);
    found.map_or("", |(_, value)| value)
}

/// How an exchange ended for the client.
pub enum Outcome {
    Answer(Answer),
    /// The connection ended without a complete answer, after that many bytes of it.
    Closed(usize),
    /// No connection was accepted.
    Refused,
    /// No complete answer in time.
    TimedOut,
}

/// Reads until `buffer` holds a whole head, which is removed from it.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<String>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Ok(Some(head));
        }
        if !read_more(stream, buffer)? {
            return Ok(None);
        }
    }
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut bytes = [0; 16 << 10];
    let length = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..length]);
    Ok(length > 0)
}

fn parse_headers(head: &str) -> Vec<(String, String)> {
    head.lines()
        .skip(1)
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

/// Reads a body with a length or in chunks. Returns `None` if it ends early.
fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    headers: &[(String, String)],
) -> std::io::Result<Option<Vec<u8>>> {
    if !header(headers, "transfer-encoding").is_empty() {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    break end;
                }
                if !read_more(stream, buffer)? {
                    return Ok(None);
                }
            };
            let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            buffer.drain(..end + 2);
            while buffer.len() < size + 2 {
                if !read_more(stream, buffer)? {
                    return Ok(None);
                }
            }
            body.extend(buffer.drain(..size));
            buffer.drain(..2);
            if size == 0 {
                return Ok(Some(body));
            }
        }
    }
    let length: usize = header(headers, "content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        if !read_more(stream, buffer)? {
            return Ok(None);
        }
    }
    Ok(Some(buffer.drain(..length).collect()))
}

/// Reads a request. Returns `None` if the connection ends before its end.
pub fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<Request>> {
    let Some(head) = read_head(stream, buffer)? else {
        return Ok(None);
    };
    let headers = parse_headers(&head);
    let mut words = head.lines().next().unwrap_or_default().split(' ');
    let mut word = || words.next().unwrap_or_default().to_owned();
    let (method, target) = (word(), word());
    let body = read_body(stream, buffer, &headers)?;
    Ok(body.map(|body| Request {
        method,
        target,
        headers,
        body,
    }))
}

/// A client's connection, which is kept for many requests.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Sends a request and waits for its answer.
    pub fn exchange(&mut self, request: &[u8], timeout: Duration) -> Outcome {
        let _ = self.stream.set_read_timeout(Some(timeout));
        if self.stream.write_all(request).is_err() {
            return Outcome::Closed(0);
        }
        match self.read_answer() {
            Ok(Some(answer)) => Outcome::Answer(answer),
            Ok(None) => Outcome::Closed(self.buffer.len()),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Outcome::TimedOut
            }
            Err(_) => Outcome::Closed(self.buffer.len()),
        }
    }

    fn read_answer(&mut self) -> std::io::Result<Option<Answer>> {
        let Some(head) = read_head(&mut self.stream, &mut self.buffer)? else {
            return Ok(None);
        };
        let headers = parse_headers(&head);
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        let body = read_body(&mut self.stream, &mut self.buffer, &headers)?;
        Ok(body.map(|_| Answer { status, headers }))
    }
}

/// Sends a request on a new connection and waits for its answer.
pub fn exchange_once(address: SocketAddr, request: &[u8], timeout: Duration) -> Outcome {
    match Connection::open(address) {
        Ok(mut connection) => connection.exchange(request, timeout),
        Err(_) => Outcome::Refused,
    }
}

/// Returns loopback addresses on which the ports of an instance are free: each instance has a machine's
/// address of its own, so that all can use the ports and the command of the deploy file.
pub fn free_machines(count: usize) -> Vec<String> {
    let first = std::process::id() as usize;
    for next in first..first + 60_000 {
        let ips: Vec<String> = (1..=count)
            .map(|number| format!("127.{}.{}.{number}", 1 + next / 250 % 250, next % 250))
            .collect();
        let is_free = |ip: &String| {
            [8104, 8108, 7380, 7390]
                .iter()
                .all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
        };
        if ips.iter().all(is_free) {
            return ips;
        }
    }
    crate::cannot_run()
}

/// Returns an address with a port that was free a moment ago, on a loopback address that no other run
/// uses, below the ports of outgoing connections.
pub fn free_address() -> SocketAddr {
    use std::sync::atomic::AtomicU16;
    use std::sync::atomic::Ordering;
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    let run = std::process::id() as usize;
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        let ip = format!("127.{}.{}.200", 1 + run / 250 % 250, run % 250);
        let address: SocketAddr = format!("{ip}:{port}").parse().expect("an address");
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Listens on an address whose last user may just have ended.
pub fn bind_retrying(address: SocketAddr) -> TcpListener {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(error) if Instant::now() > end => panic!("cannot listen on {address}: {error}"),
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// Waits until a condition holds. Ends the program with 2, the case could not run, after 20 s.
pub fn wait_until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let end = Instant::now() + Duration::from_secs(20);
    while !holds() {
        if Instant::now() > end {
            eprintln!("waited in vain until {what}");
            crate::cannot_run();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
