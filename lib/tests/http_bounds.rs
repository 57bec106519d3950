//! Tests of the client's bounds on what it reads from a server, whichever server it is: a leaf,
//! another instance or the store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use camphorhold::transport::http::Connection;
use camphorhold::transport::http::Error;
use camphorhold::transport::http::TcpOptions;
use camphorhold_testutils::platform::leaf::Flood;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The longest accepted body.
const LIMIT: usize = 64 << 10;

const OPTIONS: TcpOptions = TcpOptions {
    connect_timeout: Duration::from_secs(5),
    user_timeout: Duration::from_secs(5),
    keepalive_interval: None,
};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

async fn exchange(connection: &mut Connection) -> Result<Bytes, Error> {
    let request = Request::new(Full::default());
    let answer = connection.exchange(request, LIMIT).await;
    answer.map(hyper::Response::into_body)
}

/// Guards against an answer that is read for as long as the server sends.
#[tokio::test]
async fn floods_are_given_up() {
    for flood in Flood::ALL {
        if matches!(flood, Flood::Drip | Flood::AfterAnswer) {
            // The caller bounds the time; what follows an answer closes the connection.
            continue;
        }
        let (listener, address) = listen().await;
        let server = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1 << 10]).await;
            flood.send(&mut stream, ANSWER).await
        };
        let client = async {
            let mut connection = Connection::open(address, OPTIONS).await.unwrap();
            let result = exchange(&mut connection).await;
            assert!(
                matches!(result, Err(Error::TooLong)),
                "{flood:?}: {result:?}"
            );
        };
        // The server ends with an error once the client has closed the connection.
        let both = async { tokio::join!(server, client) };
        let (sent, ()) = tokio::time::timeout(Duration::from_secs(20), both)
            .await
            .unwrap_or_else(|_| panic!("{flood:?} is read without end"));
        assert!(sent.is_err());
    }
}

/// Guards against a bound on heads that refuses proper answers: interim heads before one, a body
/// behind the head in the same bytes, and many answers on one connection.
#[tokio::test]
async fn proper_answers_are_within_the_bounds() {
    let (listener, address) = listen().await;
    let interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(5);
    let body = vec![b'x'; LIMIT];
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LIMIT}\r\n\r\n");
    let long = [&interim[..], head.as_bytes(), &body].concat();
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        for _ in 0..50 {
            let _ = stream.read(&mut [0; 1 << 10]).await.unwrap();
            stream.write_all(&long).await.unwrap();
        }
    };
    let client = async {
        let mut connection = Connection::open(address, OPTIONS).await.unwrap();
        for _ in 0..50 {
            assert!(connection.is_usable());
            assert_eq!(exchange(&mut connection).await.unwrap(), body);
        }
    };
    tokio::join!(server, client);
}

/// Guards against a client that keeps its thread for as long as it finds bytes to read.
#[tokio::test]
async fn a_body_in_tiny_chunks_lets_other_tasks_run() {
    let (listener, address) = listen().await;
    let chunks = b"1\r\nx\r\n".repeat(LIMIT / 16);
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = [&head[..], &chunks, b"0\r\n\r\n"].concat();
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1 << 10]).await.unwrap();
        stream.write_all(&answer).await.unwrap();
    };
    let mut connection = Connection::open(address, OPTIONS).await.unwrap();
    let mut turns = 0;
    let others = async {
        loop {
            turns += 1;
            tokio::task::yield_now().await;
        }
    };
    let (body, ()) = tokio::select! {
        biased;
        both = async { tokio::join!(exchange(&mut connection), server) } => both,
        () = others => unreachable!(),
    };
    assert_eq!(body.unwrap().len(), LIMIT / 16);
    // One turn for each 128 chunks.
    assert!(turns >= LIMIT / 16 / 128, "{turns} turns");
}
