//! A small HTTP/1.1 client for tests. It has no pool: a test opens and closes each connection.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The connection failed before the answer was complete.
    #[error("no answer: {0}")]
    Unanswered(hyper::Error),
    /// The path is not a valid URI.
    #[error("invalid request: {0}")]
    Request(hyper::http::Error),
    /// The answer is not JSON.
    #[error("the answer is not JSON: {0}")]
    Json(serde_json::Error),
}

/// An open connection. Dropping it closes the socket, which aborts a request in flight.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is refused or closed during the handshake.
    pub async fn open(address: SocketAddr) -> Result<Self, Error> {
        let stream = TcpStream::connect(address).await.map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(Error::Unanswered)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection of the test client failed: {error}");
            }
        });
        Ok(Self { sender, driver })
    }

    /// Sends a request and returns the answer when its head has arrived; the caller reads the body.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection ends before the head of the answer.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, "localhost")
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(Error::Request)?;
        self.sender.ready().await.map_err(Error::Unanswered)?;
        self.sender
            .send_request(request)
            .await
            .map_err(Error::Unanswered)
    }

    /// Posts JSON and returns the status and the JSON of the answer. An empty body gives `null`.
    ///
    /// # Errors
    ///
    /// Returns an error when the answer is missing, incomplete or not JSON.
    pub async fn post(&mut self, path: &str, body: &Value) -> Result<(u16, Value), Error> {
        let body = Bytes::from(body.to_string());
        let response = self.send(Method::POST, path, body).await?;
        read(response).await
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

async fn read(response: Response<Incoming>) -> Result<(u16, Value), Error> {
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    let body = body.map_err(Error::Unanswered)?.to_bytes();
    if body.is_empty() {
        return Ok((status, Value::Null));
    }
    let value = serde_json::from_slice(&body).map_err(Error::Json)?;
    Ok((status, value))
}

/// Posts JSON over a new connection and returns the status and the JSON of the answer.
///
/// # Errors
///
/// Returns an error when the answer is missing, incomplete or not JSON.
pub async fn post(address: SocketAddr, path: &str, body: &Value) -> Result<(u16, Value), Error> {
    Connection::open(address).await?.post(path, body).await
}

/// Gets JSON over a new connection and returns the status and the JSON of the answer.
///
/// # Errors
///
/// Returns an error when the answer is missing, incomplete or not JSON.
pub async fn get(address: SocketAddr, path: &str) -> Result<(u16, Value), Error> {
    let mut connection = Connection::open(address).await?;
    let response = connection.send(Method::GET, path, Bytes::new()).await?;
    read(response).await
}

/// Gets a path over a new connection and returns the status without reading the body.
///
/// # Errors
///
/// Returns an error when the head of the answer is missing.
pub async fn status(address: SocketAddr, path: &str) -> Result<u16, Error> {
    let mut connection = Connection::open(address).await?;
    let response = connection.send(Method::GET, path, Bytes::new()).await?;
    Ok(response.status().as_u16())
}
