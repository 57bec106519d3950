//! The platform's interface for reports of the usage of customers. It records every call.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;

use crate::server;

/// A failure of the interface that stays until it is replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It works.
    #[default]
    None,
    /// It answers with this status and takes nothing.
    Refuse(u16),
    /// It takes the report and never answers.
    Silent,
}

/// A report as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// When it was received.
    pub at: Instant,
    /// The name of the instance in the header.
    pub holder: String,
    /// The epoch in the header.
    pub epoch: u64,
    /// The window.
    pub window: u64,
    /// The requests of each customer.
    pub counts: BTreeMap<String, u64>,
    /// Whether it was taken.
    pub taken: bool,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    reports: Vec<Report>,
}

/// A running interface. Its server runs until the runtime ends.
#[derive(Debug)]
pub struct Usage {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Usage {
    /// Starts the interface at a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> Result<Self, server::Error> {
        let (listener, address) = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let state = Arc::new(Mutex::default());
        tokio::spawn(serve(listener, Arc::clone(&state)));
        Ok(Self { address, state })
    }

    /// Returns the address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the fault for calls that arrive from now on.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// Returns all reports, in the order in which they were received.
    #[must_use]
    pub fn reports(&self) -> Vec<Report> {
        lock(&self.state).reports.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(listener: TcpListener, state: Arc<Mutex<State>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(server::ACCEPT_RETRY).await;
            continue;
        };
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(Arc::clone(&state), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection to the stand-in usage interface failed: {error}");
            }
        });
    }
}

async fn answer(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let is_report = request.method() == Method::POST && request.uri().path() == "/usage";
    let headers = request.headers().clone();
    let body = request.into_body().collect().await;
    let body = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let report = read(&headers, &body).filter(|_| is_report);
    let fault = report.map(|mut report| {
        let mut state = lock(&state);
        report.taken = !matches!(state.fault, Fault::Refuse(_));
        state.reports.push(report);
        state.fault
    });
    let status = match fault {
        Some(Fault::None) => StatusCode::OK,
        Some(Fault::Refuse(status)) => {
            StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
        }
        Some(Fault::Silent) => std::future::pending().await,
        None => StatusCode::BAD_REQUEST,
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    Ok(response)
}

fn read(headers: &HeaderMap, body: &[u8]) -> Option<Report> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let body: Value = serde_json::from_slice(body).ok()?;
    let counts = body["shard_counts"].as_object()?.iter();
    Some(Report {
        at: Instant::now(),
        holder: text("x-camphorhold-duty-holder")?.to_owned(),
        epoch: text("x-camphorhold-fencing-token")?.parse().ok()?,
        window: body["window_id"].as_u64()?,
        counts: counts
            .map(|(name, count)| Some((name.clone(), count.as_u64()?)))
            .collect::<Option<_>>()?,
        taken: true,
    })
}
