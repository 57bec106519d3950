//! Serves the ports for readiness checks and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use camphorhold::coordination::serving::memory_account::Port;
use camphorhold_platform::header;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;

use crate::listener::Listener;
use crate::server::ACCEPT_PAUSE;
use crate::shared::Phase;
use crate::shared::Shared;

/// The longest head of a readiness check or a request for metrics, and how long it may take. The same
/// time ends connections without requests.
const OWN_HEAD_BYTES: usize = 16 << 10;
const OWN_HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections at a port of the platform or the operators and answers their requests, until the
/// task is aborted.
pub async fn serve<F>(listener: &Listener, respond: F)
where
    F: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + 'static,
{
    let port = listener.port();
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                log::warn!(port = port.name(), error:% = error; "cannot accept a connection; trying again after a pause");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(opened) = listener.open(&stream) else {
            continue;
        };
        let client = opened.connection;
        let respond = respond.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = client.closed() => {}
                () = serve_connection(stream, port, |request| {
                    client.on_answer();
                    respond(request)
                }) => {}
            }
        });
        if opened.closes_another {
            // The other connection is closed first.
            tokio::task::yield_now().await;
        }
    }
}

async fn serve_connection<F>(stream: TcpStream, port: Port, respond: F)
where
    F: Fn(&Request<Incoming>) -> Response<Full<Bytes>>,
{
    let service = service_fn(|request| std::future::ready(Ok::<_, Infallible>(respond(&request))));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(OWN_HEAD_TIMEOUT)
        .max_buf_size(OWN_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(port = port.name(), error:% = error; "connection failed");
    }
}

/// Answers the readiness checks of the load balancer until the process ends: 200 while the instance
/// takes new requests, 503 while it starts or stops.
pub async fn serve_readiness(shared: Rc<Shared>, listener: Rc<Listener>) {
    let respond = move |request: &Request<Incoming>| readiness_response(&shared, request);
    serve(&listener, respond).await;
}

fn readiness_response(shared: &Shared, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = if request.uri().path() != header::READY_PATH {
        StatusCode::NOT_FOUND
    } else if shared.phase.get() == Phase::Serving {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}
