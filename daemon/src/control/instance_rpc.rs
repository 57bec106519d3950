//! The control interface for other instances.

use std::sync::Arc;

use camphorhold::coordination::control::Input;
use camphorhold::protocol::control::ControlServer;
use camphorhold::protocol::instance::Admission;
use camphorhold::protocol::instance::Envelope;
use camphorhold::protocol::instance::InstanceServer;
use camphorhold::protocol::instance::MAX_MESSAGE_BYTES;
use camphorhold::protocol::instance::Outcome;
use camphorhold::state::id::Fingerprint;
use jsonrpsee::Methods;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;
use thiserror::Error;

use super::Handle;
use super::operator_rpc::OperatorRpc;
use super::thread::Dependencies;
use crate::canary::Canaries;
use crate::timeline::Recorder;

/// The JSON-RPC error code for invalid parameters.
const INVALID_PARAMETERS: i32 = -32602;

/// The maximum number of open connections of the control interface, those of operators included.
const MAX_CONNECTIONS: u32 = 1024;

/// Why the control interface cannot be started.
#[derive(Debug, Error)]
pub enum ServeError {
    /// Two RPC methods have the same name.
    #[error(transparent)]
    Methods(#[from] RegisterMethodError),
    /// The listener cannot be used.
    #[error(transparent)]
    Listener(#[from] std::io::Error),
}

/// Answers the calls of other instances.
struct InstanceRpc {
    control: Handle,
    canaries: Arc<Canaries>,
    recorder: Arc<Recorder>,
}

#[async_trait]
impl InstanceServer for InstanceRpc {
    async fn message(&self, envelope: Envelope) -> RpcResult<()> {
        let bytes = envelope.content.0.len() as u64;
        metrics::counter!("camphorhold_control_messages_received_total").increment(1);
        metrics::counter!("camphorhold_control_bytes_received_total").increment(bytes);
        let opened = envelope.open();
        let (at, from, message) = opened.map_err(|error| {
            metrics::counter!("camphorhold_control_messages_invalid_total").increment(1);
            ErrorObjectOwned::owned(INVALID_PARAMETERS, error.to_string(), None::<()>)
        })?;
        self.recorder.observe(at);
        self.control.input(Input::Message { from, message });
        Ok(())
    }

    async fn canary(&self, fingerprint: Fingerprint) -> RpcResult<Admission> {
        Ok(self.canaries.admit_owned(fingerprint))
    }

    async fn canary_finished(&self, fingerprint: Fingerprint, outcome: Outcome) -> RpcResult<()> {
        self.canaries.finish_owned(fingerprint, outcome);
        Ok(())
    }
}

/// Merges the RPC methods for other instances with those for operators.
pub fn methods(
    dependencies: &Dependencies,
    handle: &Handle,
    operators: OperatorRpc,
) -> Result<Methods, ServeError> {
    let instances = InstanceRpc {
        control: handle.clone(),
        canaries: Arc::clone(&dependencies.canaries),
        recorder: Arc::clone(&dependencies.recorder),
    };
    let mut methods = instances.into_rpc();
    methods.merge(operators.into_rpc())?;
    Ok(methods.into())
}

/// Serves the RPC methods over HTTP until the returned handle is stopped.
pub fn serve(
    listener: std::net::TcpListener,
    methods: Methods,
) -> Result<ServerHandle, ServeError> {
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE_BYTES * 2)
        .max_response_body_size(MAX_MESSAGE_BYTES * 2)
        .http_only()
        .build();
    let server = Server::builder()
        .set_config(config)
        .build_from_tcp(listener)?;
    Ok(server.start(methods))
}
