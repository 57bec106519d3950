//! Sends control messages to other instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorhold::coordination::control::Message;
use camphorhold::coordination::control::Sender;
use camphorhold::protocol::instance::Envelope;
use camphorhold::protocol::instance::InstanceClient;
use camphorhold::protocol::instance::MAX_MESSAGE_BYTES;
use jsonrpsee::http_client::HttpClient;
use tokio::sync::Semaphore;

use crate::timeline::Recorder;

/// How long a call to another instance may take. A call without an answer by then counts as failed.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of messages in flight. Further ones are dropped, as if the network had lost
/// them.
const MAX_IN_FLIGHT: usize = 256;

/// The maximum number of clients kept. Gossip contacts every instance in turn; without a limit, a tier of 1,900
/// instances would keep a connection to each. At the limit, all clients are dropped.
const MAX_CLIENTS: usize = 128;

/// Clients of the control interfaces of other instances.
pub struct Peers {
    clients: HashMap<SocketAddr, Arc<HttpClient>>,
    in_flight: Arc<Semaphore>,
    recorder: Arc<Recorder>,
}

impl Peers {
    pub fn new(recorder: Arc<Recorder>) -> Self {
        Self {
            clients: HashMap::new(),
            in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT)),
            recorder,
        }
    }

    /// Sends a message without waiting for its arrival. A message that cannot be delivered is
    /// dropped.
    pub fn send(&mut self, sender: &Sender, address: SocketAddr, message: &Message) {
        let Ok(permit) = Arc::clone(&self.in_flight).try_acquire_owned() else {
            metrics::counter!("camphorhold_control_messages_dropped_total").increment(1);
            return;
        };
        let envelope = match Envelope::new(self.recorder.timestamp(), sender, message) {
            Ok(envelope) => envelope,
            Err(error) => {
                log::error!("dropping a control message that cannot be encoded: {error}");
                return;
            }
        };
        let bytes = envelope.content.0.len() as u64;
        metrics::counter!("camphorhold_control_messages_sent_total").increment(1);
        metrics::counter!("camphorhold_control_bytes_sent_total").increment(bytes);
        let Some(client) = self.client(address) else {
            return;
        };
        tokio::spawn(async move {
            if let Err(error) = client.message(envelope).await {
                log::debug!("control message to {address} was not delivered; dropping it: {error}");
            }
            drop(permit);
        });
    }

    fn client(&mut self, address: SocketAddr) -> Option<Arc<HttpClient>> {
        if let Some(client) = self.clients.get(&address) {
            return Some(Arc::clone(client));
        }
        if self.clients.len() >= MAX_CLIENTS {
            self.clients.clear();
        }
        let client = Arc::new(client(address)?);
        self.clients.insert(address, Arc::clone(&client));
        Some(client)
    }
}

/// Creates a client of the control interface of another instance. Returns `None` and logs the error
/// if that fails.
pub fn client(address: SocketAddr) -> Option<HttpClient> {
    let client = HttpClient::builder()
        .request_timeout(SEND_TIMEOUT)
        .max_request_size(MAX_MESSAGE_BYTES * 2)
        .build(format!("http://{address}"));
    match client {
        Ok(client) => Some(client),
        Err(error) => {
            log::error!("cannot create a client for {address}: {error}");
            None
        }
    }
}
