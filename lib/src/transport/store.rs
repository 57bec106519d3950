//! The client of the platform's key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::protocol::store::Blob;
use crate::protocol::store::Compare;
use crate::protocol::store::Int64;
use crate::protocol::store::KeyValue;
use crate::protocol::store::MAX_ANSWER_BYTES;
use crate::protocol::store::PUT_PATH;
use crate::protocol::store::PutRequest;
use crate::protocol::store::RANGE_PATH;
use crate::protocol::store::RangeAnswer;
use crate::protocol::store::RangeRequest;
use crate::protocol::store::RequestOp;
use crate::protocol::store::TXN_PATH;
use crate::protocol::store::TxnAnswer;
use crate::protocol::store::TxnRequest;

/// The time limit of one call. The service usually answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The error returned when a call has no valid answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The client could not connect to the service. The call had no effect.
    #[error("the key-value service cannot be reached")]
    Unreachable,
    /// No complete answer arrived within the time limit. A write may have taken effect.
    #[error("the key-value service did not answer")]
    NoAnswer,
    /// The service answered with an HTTP error status. A write may have taken effect unless the
    /// status is 4xx.
    #[error("the key-value service refused the call with HTTP status {0}")]
    Refused(u16),
    /// The answer cannot be decoded. A write may have taken effect.
    #[error("the answer of the key-value service is invalid: {0}")]
    Invalid(#[from] serde_json::Error),
}

impl CallError {
    /// Returns whether it is certain that a write has not taken effect.
    #[must_use]
    pub fn no_effect(&self) -> bool {
        match self {
            Self::Unreachable | Self::Refused(400..=499) => true,
            Self::NoAnswer | Self::Refused(_) | Self::Invalid(_) => false,
        }
    }
}

/// A value with the revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision at the last write of the key.
    pub mod_revision: u64,
}

/// The result of a compare-and-swap that the service executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value was written.
    Written {
        /// The store's revision at this write.
        mod_revision: u64,
    },
    /// The key's revision was not the expected one. Nothing was written.
    Conflict {
        /// The current value; `None` if the key is absent.
        current: Option<Versioned>,
    },
}

/// A client of the key-value service.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl Client {
    /// Creates a client, which connects at its first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = HttpClient::builder(TokioExecutor::new()).build(connector);
        Self { http, address }
    }

    /// Reads a key. Returns `None` if it is absent or was last written before `min_mod_revision`.
    ///
    /// # Errors
    ///
    /// Returns an error when the service gave no valid answer.
    pub async fn read(
        &self,
        key: &str,
        min_mod_revision: u64,
    ) -> Result<Option<Versioned>, CallError> {
        let request = RangeRequest {
            key: Blob(key.into()),
            min_mod_revision: Int64(min_mod_revision),
        };
        let answer: RangeAnswer = self.call(RANGE_PATH, &request).await?;
        Ok(answer.kvs.into_iter().next().map(Versioned::from))
    }

    /// Writes a key unconditionally.
    ///
    /// # Errors
    ///
    /// Returns an error when the service gave no valid answer. The write may have taken effect
    /// unless [`CallError::no_effect`] returns true.
    pub async fn write(&self, key: &str, value: Vec<u8>) -> Result<(), CallError> {
        let request = PutRequest {
            key: Blob(key.into()),
            value: Blob(value),
        };
        let _: serde_json::Value = self.call(PUT_PATH, &request).await?;
        Ok(())
    }

    /// Writes a key if it was last written at `mod_revision`; 0 means that the key must be absent.
    ///
    /// # Errors
    ///
    /// Returns an error when the service gave no valid answer. The write may have taken effect
    /// unless [`CallError::no_effect`] returns true.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        mod_revision: u64,
        value: Vec<u8>,
    ) -> Result<Swap, CallError> {
        let key = Blob(key.into());
        let request = TxnRequest {
            compare: vec![Compare {
                key: key.clone(),
                target: "MOD".into(),
                result: "EQUAL".into(),
                mod_revision: Int64(mod_revision),
            }],
            success: vec![RequestOp::RequestPut(PutRequest {
                key: key.clone(),
                value: Blob(value),
            })],
            failure: vec![RequestOp::RequestRange(RangeRequest {
                key,
                min_mod_revision: Int64(0),
            })],
        };
        let answer: TxnAnswer = self.call(TXN_PATH, &request).await?;
        if answer.succeeded {
            let mod_revision = answer.header.revision.0;
            return Ok(Swap::Written { mod_revision });
        }
        let ranges = answer.responses.into_iter();
        let current = ranges
            .filter_map(|response| response.response_range)
            .flat_map(|range| range.kvs)
            .next()
            .map(Versioned::from);
        Ok(Swap::Conflict { current })
    }

    async fn call<Q, A>(&self, path: &str, message: &Q) -> Result<A, CallError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let body = Full::new(Bytes::from(serde_json::to_vec(message)?));
        let request = Request::post(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(body)
            .map_err(|_| CallError::Unreachable)?;
        tokio::time::timeout(CALL_TIMEOUT, self.exchange(request))
            .await
            .map_err(|_| CallError::NoAnswer)?
    }

    async fn exchange<A>(&self, request: Request<Full<Bytes>>) -> Result<A, CallError>
    where
        A: DeserializeOwned,
    {
        let response = self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::Unreachable
            } else {
                CallError::NoAnswer
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|_| CallError::NoAnswer)?
            .to_bytes();
        if !status.is_success() {
            return Err(CallError::Refused(status.as_u16()));
        }
        Ok(serde_json::from_slice(&body)?)
    }
}

impl From<KeyValue> for Versioned {
    fn from(key_value: KeyValue) -> Self {
        Self {
            value: key_value.value.0,
            mod_revision: key_value.mod_revision.0,
        }
    }
}
