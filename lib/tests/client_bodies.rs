//! Tests of how the bodies of requests are read, charged for and refused. Without a network.

use std::cell::RefCell;
use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use camphorhold::coordination::serving::memory_account::Limits;
use camphorhold::coordination::serving::memory_account::Port;
use camphorhold::coordination::serving::memory_account::Share;
use camphorhold::state::time::SystemClock;
use camphorhold::transport::body;
use camphorhold::transport::client::Account;
use camphorhold::transport::client::Connection;
use futures::FutureExt;
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;

const LIMITS: Limits = Limits {
    bytes: [100_000, 100_000, 100_000],
    connections: [4, 2, 2, 2],
};

fn account() -> Account {
    Account::new(LIMITS, Arc::new(SystemClock))
}

/// Returns the result of reading the body of a request, which arrives as these bytes, and the
/// connection in the account.
///
/// # Panics
///
/// Panics if the bytes are no request.
async fn read_on(account: &Account, request: Vec<u8>) -> (Result<Bytes, body::Error>, Connection) {
    let (mut sender, receiver) = tokio::io::duplex(4_000);
    let client = account.open(Port::Callers).expect("a place").connection;
    let result = RefCell::new(None);
    let service = service_fn(async |request: hyper::Request<hyper::body::Incoming>| {
        let read = body::read_request(request.into_body(), 90_000, &client).await;
        result.replace(Some(read));
        Ok::<_, Infallible>(Response::new(Full::<Bytes>::default()))
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .half_close(true)
        .serve_connection(TokioIo::new(receiver), service);
    let sending = async {
        // The server closes the connection if it refuses the body.
        let _ = sender.write_all(&request).await;
        let _ = sender.shutdown().await;
    };
    let (_, ()) = tokio::join!(connection, sending);
    (result.into_inner().expect("a request"), client)
}

async fn read(account: &Account, request: Vec<u8>) -> Result<Bytes, body::Error> {
    read_on(account, request).await.0
}

fn chunked(body: &[u8], chunk: usize) -> Vec<u8> {
    let mut request = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.chunks(chunk) {
        request.extend(format!("{:x}\r\n", chunk.len()).bytes());
        request.extend(chunk);
        request.extend(b"\r\n");
    }
    request.extend(b"0\r\n\r\n");
    request
}

/// Guards against bodies whose bytes are lost or change places where they arrive in pieces.
#[tokio::test]
async fn a_body_arrives_whole_in_chunks_of_any_size() {
    let account = account();
    let whole: Vec<u8> = (0..60_000_u32).map(|number| (number % 251) as u8).collect();
    for (length, chunk) in [
        (0, 1),
        (1, 1),
        (5_000, 1),
        (2_047, 2_048),
        (2_049, 2_048),
        (60_000, 100),
        (60_000, 16_384),
        (60_000, 60_000),
    ] {
        let body = &whole[..length];
        let read = read(&account, chunked(body, chunk)).await;
        assert_eq!(read.expect("a body"), body, "{length} by {chunk}");
    }
    assert_eq!(account.share(Share::Bodies).used, 0);
}

/// Guards against a body of the longest permitted length that is refused because some of its bytes arrive
/// in small pieces, as they do where a window of the network ends.
#[tokio::test]
async fn a_body_of_the_longest_length_is_read_in_uneven_pieces() {
    let account = account();
    let mut request = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for length in [1_000, 44_000, 2, 43_998, 3, 997] {
        request.extend(format!("{length:x}\r\n").bytes());
        request.extend(vec![b'x'; length]);
        request.extend(b"\r\n");
    }
    request.extend(b"0\r\n\r\n");
    let body = read(&account, request).await;
    assert_eq!(body.expect("a body").len(), 90_000);
    let longer = read(&account, chunked(&vec![b'x'; 90_001], 1_000)).await;
    assert!(matches!(longer, Err(body::Error::TooLong)));
    let tiny = read(&account, chunked(&vec![b'x'; 90_000 / 16 + 2], 1)).await;
    assert!(matches!(tiny, Err(body::Error::TooLong)));
}

/// Guards against bodies that are no longer charged for while leafs need them, and against charges
/// that stay.
#[tokio::test]
async fn a_body_is_charged_for_until_its_last_clone_is_dropped() {
    let account = account();
    let body = read(&account, chunked(&vec![b'x'; 50_000], 1_000)).await;
    let body = body.expect("a body");
    let clone = body.clone();
    drop(body);
    assert_eq!(account.share(Share::Bodies).used, 50_000);
    drop(clone);
    assert_eq!(account.share(Share::Bodies).used, 0);
}

/// Guards against a body that is taken although the instance has no memory for it.
#[tokio::test]
async fn a_body_without_memory_is_refused() {
    let account = account();
    let first = read(&account, chunked(&vec![b'x'; 80_000], 1_000)).await;
    let second = read(&account, chunked(&vec![b'x'; 80_000], 1_000)).await;
    assert!(matches!(second, Err(body::Error::Refused(_))));
    drop(first);
    let third = read(&account, chunked(&vec![b'x'; 80_000], 1_000)).await;
    assert_eq!(third.expect("a body").len(), 80_000);
}

/// Guards against charges that are less than the memory: small chunks need a buffer of their own.
#[tokio::test]
async fn the_buffers_of_a_body_are_charged_for() {
    let account = account();
    let body = read(&account, chunked(&vec![b'x'; 3_000], 1)).await;
    assert_eq!(body.expect("a body").len(), 3_000);
    assert!(account.share(Share::Bodies).peak >= 4_096);
}

/// Guards against a caller whose connection is closed while leafs work on its request.
#[tokio::test]
async fn a_client_with_a_complete_body_is_not_closed() {
    let account = account();
    let (body, client) = read_on(&account, chunked(&vec![b'x'; 80_000], 1_000)).await;
    let body = body.expect("a body");
    let other = account.open(Port::Callers).expect("a place").connection;
    assert!(other.charge(Share::Bodies).grow(50_000).is_err());
    assert!(client.closed().now_or_never().is_none());
    drop(body);
}
