//! Counters and histograms as text, for the operators' collector.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::server;

/// Upper bounds of the latency buckets in seconds. They cover the latency objectives of 60 to
/// 600 ms and the longest deadline of some seconds.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.06, 0.1, 0.15, 0.25, 0.6, 1.5, 3.0, 6.0,
];

/// Starts recording.
///
/// # Errors
///
/// Returns an error if a recorder is installed already.
pub fn install() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS)?
        .install_recorder()
}

/// Serves the metrics, for as long as the process runs.
pub async fn serve(address: SocketAddr, handle: PrometheusHandle) {
    let listener = match server::listen(address) {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(address:% = address, error:% = error; "metrics are not served");
            return;
        }
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let handle = handle.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_| {
                handle.run_upkeep();
                let body = Full::new(Bytes::from(handle.render()));
                std::future::ready(Ok::<_, Infallible>(Response::new(body)))
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "a metrics request broke");
            }
        });
    }
}
