//! Callers of the query tier.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

/// One request of a client.
#[derive(Clone)]
pub struct Call {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    /// The client's time limit, sent in `X-Camphorhold-Deadline-Ms`.
    pub limit: Duration,
    /// How long the connection is watched for an answer.
    pub watch: Duration,
}

/// What came of it.
pub enum End {
    Answer(Message),
    /// The connection ended without a complete answer, or was not established.
    Closed(String),
    /// Nothing came while the connection was watched.
    Silent,
}

pub struct Outcome {
    pub end: End,
    /// From the start of the request to its end.
    pub took: Duration,
}

pub const HOST: &str = "q.example";

/// Sends a request on a new connection and waits for its answer.
pub fn send(front: SocketAddr, call: &Call) -> Outcome {
    let start = Instant::now();
    let result = exchange(front, call);
    let took = start.elapsed();
    let end = match result {
        Ok(Some(answer)) => End::Answer(answer),
        Ok(None) => End::Closed("closed".to_owned()),
        Err(error)
            if matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            End::Silent
        }
        Err(error) => End::Closed(error.to_string()),
    };
    Outcome { end, took }
}

fn exchange(front: SocketAddr, call: &Call) -> std::io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(call.watch))?;
    let length = if call.body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", call.body.len())
    };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Camphorhold-Request-Id: {}\r\nX-Camphorhold-Deadline-Ms: {}\r\n{length}\r\n",
        call.method,
        call.path,
        call.id,
        call.limit.as_millis()
    );
    stream.write_all(&[head.as_bytes(), &call.body].concat())?;
    http::read(&mut BufReader::new(stream))
}
