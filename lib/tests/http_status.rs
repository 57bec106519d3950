//! Tests of which status an answer may have, whichever server sends it: a leaf, another instance or the
//! store.

use std::time::Duration;

use camphorhold::transport::http::Connection;
use camphorhold::transport::http::Error;
use camphorhold::transport::http::TcpOptions;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const OPTIONS: TcpOptions = TcpOptions {
    connect_timeout: Duration::from_secs(5),
    user_timeout: Duration::from_secs(5),
    keepalive_interval: None,
};

/// Returns the status of an answer with this status line.
async fn status(line: &str) -> Result<u16, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let answer = format!("{line}\r\nContent-Length: 2\r\n\r\nok");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        let read = stream.read(&mut request).await.expect("a request");
        assert!(read > 0);
        stream.write_all(answer.as_bytes()).await.expect("a reader");
        // Keeps the connection open until the client closes it.
        while stream.read(&mut request).await.is_ok_and(|read| read > 0) {}
    });
    let mut connection = Connection::open(address, OPTIONS).await?;
    let result = connection
        .exchange(Request::new(Full::default()), 1_024)
        .await;
    drop(connection);
    server.await.expect("the server ends");
    result.map(|answer| answer.status().as_u16())
}

/// Guards against a status outside 200 to 599 that is taken for an answer.
#[tokio::test]
async fn a_status_is_valid_from_200_to_599() {
    for number in 0..1_000_u16 {
        let result = status(&format!("HTTP/1.1 {number:03} X")).await;
        if (200..600).contains(&number) {
            assert_eq!(result.ok(), Some(number));
        } else {
            assert!(
                matches!(result, Err(Error::Malformed)),
                "{number}: {result:?}"
            );
        }
    }
}

/// Guards against status lines that one program reads differently from another.
#[tokio::test]
async fn a_status_line_has_one_form() {
    for line in [
        "HTTP/1.1 2 X",
        "HTTP/1.1 20 X",
        "HTTP/1.1 2000 X",
        "HTTP/1.1 0200 X",
        "HTTP/1.1 +20 X",
        "HTTP/1.1 -20 X",
        "HTTP/1.1 +200 X",
        "HTTP/1.1  200 X",
        "HTTP/1.1 2 0 X",
        "HTTP/1.1 2x0 X",
        "HTTP/1.1  X",
        "HTTP/2.0 200 X",
        "HTTP/1.2 200 X",
        "HTTP/0.9 200 X",
        "HTTP/11 200 X",
    ] {
        let result = status(line).await;
        assert!(
            matches!(result, Err(Error::Malformed)),
            "{line}: {result:?}"
        );
    }
    for line in [
        "HTTP/1.1 200",
        "HTTP/1.0 200 OK",
        "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X",
        "HTTP/1.1 199 X\r\n\r\nHTTP/1.1 200 X",
    ] {
        assert_eq!(status(line).await.ok(), Some(200), "{line}");
    }
}
