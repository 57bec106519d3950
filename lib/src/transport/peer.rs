//! The client that forwards leaf calls to the instance that owns the leafs.

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

/// The error returned when forwarded calls yield no further results.
#[derive(Debug, Error)]
pub enum ForwardError {
    /// The client could not connect to the owner. Nothing was sent.
    #[error("cannot connect to the owner: {0}")]
    Connect(hyper_util::client::legacy::Error),
    /// The connection was lost; the calls may have been sent.
    #[error("the connection to the owner was lost: {0}")]
    Lost(hyper_util::client::legacy::Error),
    /// The owner refused all calls and started none of them.
    #[error("the owner refused the calls with HTTP status {0}")]
    Refused(u16),
    /// The connection was lost while the owner was sending results.
    #[error("connection lost while reading results from the owner: {0}")]
    Broken(hyper::Error),
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Invalid(#[from] InvalidMessage),
}

impl ForwardError {
    /// Returns whether it is certain that no call reached a backend server.
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
    /// Sends leaf calls to their owner and returns the stream of their results.
    ///
    /// # Errors
    ///
    /// Returns an error when the owner does not accept the calls. [`ForwardError::not_sent`] says
    /// whether they may have reached a backend server.
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

    /// Asks the owner to cancel calls.
    ///
    /// # Errors
    ///
    /// Returns an error when the owner may not have received the message. The calls then run until
    /// their deadline.
    pub async fn cancel(&self, owner: SocketAddr, cancel: &Cancel) -> Result<(), ForwardError> {
        let request = Request::post(format!("http://{owner}{CANCEL_PATH}"))
            .body(Full::new(encode(cancel)?))
            .map_err(|_| ForwardError::Refused(0))?;
        let response = self.client.request(request).await;
        response.map(|_| ()).map_err(ForwardError::Lost)
    }
}

/// The stream of results of forwarded calls. Dropping it cancels the calls without a result.
#[derive(Debug)]
pub struct CallResults {
    body: Incoming,
    buffer: BytesMut,
}

impl CallResults {
    /// Waits for the next result. `None` means that the owner has ended the stream.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection was lost or the stream has an invalid message.
    pub async fn next(&mut self) -> Result<Option<CallResult>, ForwardError> {
        loop {
            if let Some(result) = take_frame(&mut self.buffer)? {
                return Ok(Some(result));
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
