//! Leaf calls forwarded to the instance that owns the leafs.

use std::net::SocketAddr;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

use crate::protocol::peer::CALLS_PATH;
use crate::protocol::peer::CANCEL_PATH;
use crate::protocol::peer::CallBatch;
use crate::protocol::peer::CallResult;
use crate::protocol::peer::Cancel;
use crate::protocol::peer::InvalidMessage;
use crate::protocol::peer::encode;
use crate::protocol::peer::take_frame;

/// Is returned when forwarded calls have no further results.
#[derive(Debug, Error)]
pub enum ForwardError {
    /// The owner could not be connected to. Nothing was sent.
    #[error("cannot connect to the owner: {0}")]
    Connect(hyper_util::client::legacy::Error),
    /// The connection was lost after the calls may have been written.
    #[error("the connection to the owner was lost: {0}")]
    Lost(hyper_util::client::legacy::Error),
    /// The owner refused the calls before it started any.
    #[error("the owner refused the calls with HTTP status {0}")]
    Refused(u16),
    /// The stream of results broke off.
    #[error("the stream of results broke off: {0}")]
    Broken(hyper::Error),
    /// A message cannot be read.
    #[error(transparent)]
    Invalid(#[from] InvalidMessage),
}

impl ForwardError {
    /// Tells whether no byte of the calls can have reached a backend server.
    #[must_use]
    pub fn not_sent(&self) -> bool {
        match self {
            Self::Connect(_) | Self::Refused(_) => true,
            Self::Lost(_) | Self::Broken(_) | Self::Invalid(_) => false,
        }
    }
}

/// A client for leaf calls, with its own pool of connections to other instances.
#[derive(Clone, Debug)]
pub struct Forwarder {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Forwarder {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }
}

impl Forwarder {
    /// Sends leaf calls to their owner.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the calls may have been sent.
    pub async fn forward(
        &self,
        owner: SocketAddr,
        calls: &CallBatch,
    ) -> Result<CallResults, ForwardError> {
        let request = Request::post(format!("http://{owner}{CALLS_PATH}"))
            .body(Full::new(encode(calls)?))
            .map_err(|_| ForwardError::Refused(0))?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                ForwardError::Connect(error)
            } else {
                ForwardError::Lost(error)
            }
        })?;
        if !response.status().is_success() {
            return Err(ForwardError::Refused(response.status().as_u16()));
        }
        Ok(CallResults {
            body: response.into_body(),
            buffer: BytesMut::new(),
        })
    }

    /// Tells the owner that the results of some calls are no longer wanted.
    ///
    /// # Errors
    ///
    /// Returns an error when the owner did not take the message. The calls' deadlines end them then.
    pub async fn cancel(&self, owner: SocketAddr, cancel: &Cancel) -> Result<(), ForwardError> {
        let request = Request::post(format!("http://{owner}{CANCEL_PATH}"))
            .body(Full::new(encode(cancel)?))
            .map_err(|_| ForwardError::Refused(0))?;
        let response = self.client.request(request).await;
        response.map(|_| ()).map_err(ForwardError::Lost)
    }
}

/// The stream of results of forwarded calls. Dropping it cancels what is outstanding.
#[derive(Debug)]
pub struct CallResults {
    body: Incoming,
    buffer: BytesMut,
}

impl CallResults {
    /// Waits for the next result. `None` means that the owner has sent all of them.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream broke off or holds an invalid message.
    pub async fn next(&mut self) -> Result<Option<CallResult>, ForwardError> {
        loop {
            if let Some(part) = take_frame(&mut self.buffer)? {
                return Ok(Some(part));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(ForwardError::Broken)?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}
