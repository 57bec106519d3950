//! HTTP/1.1 messages on blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;

/// A request or an answer, complete.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the target of a request, the status of an answer.
    pub fn second(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }
}

fn line<R>(reader: &mut BufReader<R>) -> io::Result<String>
where
    R: Read,
{
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8_lossy(&line);
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads one message; `None` if the connection ends before it.
pub fn read<R>(reader: &mut BufReader<R>) -> io::Result<Option<Message>>
where
    R: Read,
{
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let start = line(reader)?;
    let mut headers = Vec::new();
    loop {
        let header = line(reader)?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':').unwrap_or((&header, ""));
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let size = line(reader)?;
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            line(reader)?;
            if size == 0 {
                break;
            }
        }
    }
    Ok(Some(message))
}

/// Returns the value of a parameter in the query of a target.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (key == name).then(|| decode(value))
    })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match (
            bytes[at],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
