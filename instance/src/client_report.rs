//! Publishes what clients make the process hold.

use camphorhold::coordination::serving::memory_account::Port;
use camphorhold::coordination::serving::memory_account::Share;
use camphorhold::coordination::serving::memory_account::Usage;
use camphorhold::transport::client::Account;
use camphorhold::transport::receive::ServerBuffers;

/// What has been published and logged so far.
#[derive(Debug, Default)]
pub struct ClientReport {
    closed: u64,
    refused: u64,
}

impl ClientReport {
    /// Publishes the use of each share and port, and of connections to servers. Logs how many connections were closed and refused
    /// since the last time, if there were any.
    pub fn publish(&mut self, clients: &Account, servers: &ServerBuffers) {
        let (mut closed, mut refused) = (0, 0);
        let mut add = |usage: Usage, cause: &'static str| {
            closed += usage.closed;
            refused += usage.refused;
            metrics::counter!("camphorhold_clients_closed_total", "cause" => cause)
                .absolute(usage.closed);
            metrics::counter!("camphorhold_clients_refused_total", "cause" => cause)
                .absolute(usage.refused);
        };
        for share in Share::ALL {
            let usage = clients.share(share);
            let name = share.name();
            add(usage, name);
            metrics::gauge!("camphorhold_client_bytes", "share" => name).set(gauge(usage.used));
            metrics::gauge!("camphorhold_client_peak_bytes", "share" => name)
                .set(gauge(usage.peak));
        }
        for port in Port::ALL {
            let usage = clients.port(port);
            let name = port.name();
            add(usage, name);
            metrics::gauge!("camphorhold_client_connections", "port" => name)
                .set(gauge(usage.used));
            metrics::gauge!("camphorhold_client_peak_connections", "port" => name)
                .set(gauge(usage.peak));
            metrics::gauge!("camphorhold_client_receive_buffer_bytes", "port" => name)
                .set(gauge(clients.buffer(port)));
        }
        metrics::gauge!("camphorhold_server_connections").set(gauge(servers.open()));
        metrics::gauge!("camphorhold_server_peak_connections").set(gauge(servers.peak()));
        if closed > self.closed || refused > self.refused {
            log::warn!(
                closed = closed - self.closed,
                refused = refused - self.refused;
                "clients held all of the memory or the connections that they may; closed those that made no progress"
            );
        }
        (self.closed, self.refused) = (closed, refused);
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "bytes and connections are far below 2^52"
)]
fn gauge(value: usize) -> f64 {
    value as f64
}
