//! Serves the metrics over HTTP in the Prometheus text format.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use camphorhold::coordination::serving::memory_account::Port;
use camphorhold::transport::client::Account;
use http_body_util::Full;
use hyper::Response;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::listener::Listener;
use crate::own_port;

/// Upper bounds of the latency buckets, in seconds. They cover the latency objectives of 60 to
/// 600 ms and the longest deadlines of a few seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.06, 0.1, 0.15, 0.25, 0.6, 1.5, 3.0, 6.0,
];

/// How often samples are added to their histograms. An instance takes some hundred samples a second,
/// of 18 bytes each.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the process-wide metrics recorder and returns the handle that renders its metrics.
///
/// # Errors
///
/// Returns an error if a recorder is already installed.
pub fn install() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_S)?
        .install_recorder()
}

/// Keeps the memory of the histograms bounded, until the process ends. Their samples are kept one by
/// one until this is done.
pub async fn maintain(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}

/// Serves the metrics at `address`, on every path, until the process ends. If the address cannot be
/// listened on, logs a warning and returns: the instance runs without serving metrics.
pub async fn serve(address: SocketAddr, handle: PrometheusHandle, clients: Account) {
    let listener = match Listener::bind(address, Port::Metrics, clients) {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(address:% = address, error:% = error; "cannot listen for metrics requests; running without a metrics endpoint");
            return;
        }
    };
    let respond = move |_: &_| Response::new(Full::new(Bytes::from(handle.render())));
    own_port::serve(&listener, respond).await;
}
