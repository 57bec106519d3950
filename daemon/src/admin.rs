//! The HTTP endpoints for liveness, readiness and metrics.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::view::Phase;
use metrics_exporter_prometheus::PrometheusHandle;
use volo_http::body::Body;
use volo_http::http::StatusCode;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::get;

use crate::control::Handle;

/// Decides whether the instance reports to the load balancer that it is ready.
pub struct Readiness {
    control: Handle,
    /// Whether the shutdown has not begun yet.
    enabled: AtomicBool,
}

impl Readiness {
    pub fn new(control: Handle) -> Self {
        Self {
            control,
            enabled: AtomicBool::new(true),
        }
    }

    /// Makes the instance report that it is not ready, until the process exits.
    pub fn turn_off(&self) {
        self.enabled.store(false, Ordering::Relaxed);
    }

    /// Returns why the instance is not ready, or `None` if it is ready.
    fn not_ready_reason(&self) -> Option<&'static str> {
        let view = self.control.view();
        if !self.enabled.load(Ordering::Relaxed) {
            Some("shutting down")
        } else if view.phase != Phase::Member {
            Some("not in the roster")
        } else if view.file.is_none() {
            Some("no configuration in force")
        } else if !view.may_act(SystemClock.now()) {
            Some("configuration currency lost")
        } else {
            None
        }
    }
}

/// Adds the readiness endpoint to a router. The caller port has one too, because load balancers
/// probe the port that they send requests to.
pub fn with_readiness(router: Router, readiness: Arc<Readiness>) -> Router {
    let ready = move || {
        let readiness = Arc::clone(&readiness);
        async move {
            match readiness.not_ready_reason() {
                None => text(StatusCode::OK, "ready\n".to_owned()),
                Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
            }
        }
    };
    router.route("/readyz", get(ready))
}

/// Creates the router for liveness, readiness and metrics.
pub fn router(readiness: Arc<Readiness>, metrics: PrometheusHandle) -> Router {
    let metrics_readiness = Arc::clone(&readiness);
    let render = move || {
        let metrics = metrics.clone();
        let ready = if metrics_readiness.not_ready_reason().is_none() {
            1.0
        } else {
            0.0
        };
        metrics::gauge!("camphorhold_ready").set(ready);
        async move { text(StatusCode::OK, metrics.render()) }
    };
    let router = Router::new()
        .route("/healthz", get(alive))
        .route("/metrics", get(render));
    with_readiness(router, readiness)
}

async fn alive() -> Response {
    text(StatusCode::OK, "alive\n".to_owned())
}

fn text(status: StatusCode, text: String) -> Response {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}
