//! One HTTP/1.1 connection to a backend server.
//!
//! Connections are not pooled here: the owner of a leaf counts them against the leaf's limit, and
//! takes the loss of one as a sign that the server may have restarted.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::protocol::leaf::CANCEL_PATH;
use crate::protocol::leaf::Cancel;
use crate::protocol::leaf::MAX_ANSWER_BYTES;
use crate::protocol::leaf::SEARCH_PATH;
use crate::protocol::leaf::Search;
use crate::protocol::leaf::SearchAnswer;

/// The error returned when a connection cannot be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The backend server did not accept the connection.
    #[error("cannot connect to the backend server: {0}")]
    Connect(#[from] io::Error),
    /// The connection was lost before the first request.
    #[error("the connection was lost before the first request: {0}")]
    Handshake(#[from] hyper::Error),
}

/// The error returned when a request has no valid answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection was closed before any byte of the request was written.
    #[error("the request was not sent")]
    NotSent,
    /// The connection was lost after the request was written.
    #[error("the connection was lost after the request was sent: {0}")]
    Lost(hyper::Error),
    /// The body of the answer is incomplete or longer than [`MAX_ANSWER_BYTES`].
    #[error("the answer is incomplete or too long")]
    Truncated,
    /// The answer cannot be decoded.
    #[error("the answer is invalid: {0}")]
    Invalid(serde_json::Error),
    /// The server answered with an unexpected HTTP status.
    #[error("the server answered with HTTP status {0}")]
    Status(u16),
}

/// An open connection with at most one request in flight.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    authority: Box<str>,
}

impl Connection {
    /// Connects to a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error when the server does not accept the connection.
    pub async fn open(address: SocketAddr) -> Result<Self, OpenError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // The request in flight, if there is one, fails with the same error.
            let _ = connection.await;
        });
        let authority = address.to_string().into();
        Ok(Self {
            sender,
            driver,
            authority,
        })
    }

    /// Returns whether the connection has been closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection is closed by the server or lost.
    pub async fn closed(&mut self) {
        if !self.driver.is_finished() {
            // The driver task ends when the connection is closed or lost. A join error after the
            // task was aborted means the same.
            let _ = (&mut self.driver).await;
        }
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no valid answer. [`SendError::NotSent`] means that the server
    /// received no part of the request.
    pub async fn search(&mut self, search: &Search) -> Result<SearchAnswer, SendError> {
        let body = self.post(SEARCH_PATH, search).await?;
        serde_json::from_slice(&body).map_err(SendError::Invalid)
    }

    /// Asks the server to stop working on a request.
    ///
    /// # Errors
    ///
    /// Returns an error when the server did not confirm the cancellation.
    pub async fn cancel(&mut self, cancel: &Cancel) -> Result<(), SendError> {
        self.post(CANCEL_PATH, cancel).await.map(|_| ())
    }

    async fn post<T>(&mut self, path: &str, message: &T) -> Result<Bytes, SendError>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(message).map_err(SendError::Invalid)?;
        let request = Request::post(path)
            .header("host", &*self.authority)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| SendError::NotSent)?;
        self.sender.ready().await.map_err(|_| SendError::NotSent)?;
        let response = self
            .sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                // hyper returns the request only if it has written no part of it.
                if error.take_message().is_some() {
                    SendError::NotSent
                } else {
                    SendError::Lost(error.into_error())
                }
            })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|_| SendError::Truncated)?
            .to_bytes();
        if status.is_success() {
            Ok(body)
        } else {
            Err(SendError::Status(status.as_u16()))
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
