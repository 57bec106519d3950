//! `query`: sends a query to an entry instance.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use camphorhold::state::id::VersionName;
use camphorhold::state::time::unix_millis;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::RETRY_AFTER;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::arguments::Global;
use crate::arguments::Query;
use crate::error::Error;
use crate::error::Exit;
use crate::output;

/// How long the program waits beyond the deadline for an answer on its way.
const GRACE: Duration = Duration::from_secs(2);

/// The pause before a request that was not run is sent again, where the answer states none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct Body<'a> {
    request_id: String,
    tenant: &'a str,
    service: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<&'a str>,
    route: &'a str,
    query: Value,
    deadline_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    worth: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    idempotency: Option<Idempotency<'a>>,
}

#[derive(Clone, Copy, Serialize)]
struct Idempotency<'a> {
    key: &'a str,
    issued_at_ms: u64,
}

#[derive(Deserialize, Serialize)]
struct Answer {
    request_id: Option<String>,
    outcome: Outcome,
    #[serde(default)]
    reason: Option<Value>,
    #[serde(default)]
    snapshot: Option<Value>,
    #[serde(default)]
    coverage: Option<Coverage>,
    #[serde(default)]
    hits: Vec<Value>,
    #[serde(default)]
    server_time_ms: Option<Value>,
}

#[derive(Clone, Copy, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Outcome {
    Answered,
    NotRun,
    Unknown,
}

#[derive(Deserialize, Serialize)]
struct Coverage {
    answered: u32,
    in_scope: u32,
}

/// The result of one attempt.
enum Attempt {
    /// The instance answered as documented; with a pause when the request may be sent again.
    Answer(Answer, Option<Duration>),
    /// The instance refused the request itself, which it therefore did not run.
    Refused(StatusCode, String),
    /// No connection, so the request was not sent.
    NotSent(String),
    /// The connection broke after the request was sent.
    Lost(String),
}

pub async fn run(global: &Global, arguments: &Query) -> Result<Exit, Error> {
    let request_id = format!("{:032x}", rand::random::<u128>());
    let body = serde_json::to_vec(&body(arguments, request_id.clone()))?;
    let begin = Instant::now();
    let mut failures = Vec::new();
    for number in 1..=arguments.attempts {
        failures.clear();
        let last = number == arguments.attempts;
        for entry in &arguments.entries {
            let attempt = send(*entry, body.clone(), arguments.deadline + GRACE).await;
            match attempt {
                Attempt::NotSent(reason) => failures.push((*entry, reason)),
                Attempt::Answer(answer, Some(pause)) if !last => {
                    if begin.elapsed() + pause >= arguments.deadline {
                        return print(global, &answer);
                    }
                    tokio::time::sleep(pause).await;
                    break;
                }
                Attempt::Answer(answer, _) => return print(global, &answer),
                Attempt::Refused(status, text) => {
                    output::line(&format!("refused: {status}: {}", text.trim()))?;
                    return Ok(Exit::Refused);
                }
                Attempt::Lost(reason) => {
                    output::line(&format!("unknown: request {request_id}: {reason}"))?;
                    return Ok(Exit::Unknown);
                }
            }
        }
        if failures.len() == arguments.entries.len() {
            break;
        }
    }
    Err(Error::Unreachable(failures))
}

fn body(arguments: &Query, request_id: String) -> Body<'_> {
    let text = || Value::String(arguments.text.clone());
    let idempotency = arguments.idempotency_key.as_ref().map(|key| Idempotency {
        key: key.as_str(),
        issued_at_ms: unix_millis(SystemTime::now()),
    });
    Body {
        request_id,
        tenant: arguments.tenant.as_str(),
        service: arguments.service.as_str(),
        version: arguments.version.as_ref().map(VersionName::as_str),
        route: arguments.route.as_str(),
        query: serde_json::from_str(&arguments.text).unwrap_or_else(|_| text()),
        deadline_ms: u64::try_from(arguments.deadline.as_millis()).unwrap_or(u64::MAX),
        worth: arguments.worth,
        idempotency,
    }
}

async fn send(entry: SocketAddr, body: Vec<u8>, timeout: Duration) -> Attempt {
    let stream = match tokio::time::timeout(timeout, TcpStream::connect(entry)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Attempt::NotSent(error.to_string()),
        Err(_) => return Attempt::NotSent("no connection in time".into()),
    };
    match tokio::time::timeout(timeout, exchange(entry, stream, body)).await {
        Ok(Ok(attempt)) => attempt,
        Ok(Err(error)) => Attempt::Lost(error.to_string()),
        Err(_) => Attempt::Lost("no answer in time".into()),
    }
}

async fn exchange(
    entry: SocketAddr,
    stream: TcpStream,
    body: Vec<u8>,
) -> Result<Attempt, hyper::Error> {
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    // The connection's own error also ends the exchange below, which reports it.
    let driver = tokio::spawn(connection);
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/v1/query");
    let headers = request.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    if let Ok(host) = entry.to_string().parse() {
        headers.insert(HOST, host);
    }
    let response = sender.send_request(request).await?;
    let status = response.status();
    let pause = response.headers().get(RETRY_AFTER);
    let pause = pause.and_then(|value| value.to_str().ok()?.parse().ok());
    let pause = pause.map_or(DEFAULT_PAUSE, Duration::from_secs);
    let bytes = response.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok(match serde_json::from_slice::<Answer>(&bytes) {
        Ok(answer) => {
            let not_run = answer.outcome == Outcome::NotRun;
            let again = not_run && status == StatusCode::SERVICE_UNAVAILABLE;
            Attempt::Answer(answer, again.then_some(pause))
        }
        Err(_) if status.is_client_error() => {
            Attempt::Refused(status, String::from_utf8_lossy(&bytes).into_owned())
        }
        Err(error) => Attempt::Lost(format!("{status} with an unreadable answer: {error}")),
    })
}

fn print(global: &Global, answer: &Answer) -> Result<Exit, Error> {
    let exit = match answer.outcome {
        Outcome::Answered => Exit::Done,
        Outcome::NotRun => Exit::Refused,
        Outcome::Unknown => Exit::Unknown,
    };
    if global.json {
        output::json(answer)?;
        return Ok(exit);
    }
    for hit in &answer.hits {
        output::line(&hit.to_string())?;
    }
    let reason = match &answer.reason {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(reason)) => format!(" ({reason})"),
        Some(reason) => format!(" ({reason})"),
    };
    output::line(&format!(
        "outcome: {}{reason}",
        output::name(&answer.outcome)
    ))?;
    if let Some(Coverage { answered, in_scope }) = answer.coverage {
        output::line(&format!("coverage: {answered} of {in_scope} shards"))?;
    }
    if let Some(snapshot) = answer.snapshot.as_ref().filter(|value| !value.is_null()) {
        output::line(&format!("snapshot: {snapshot}"))?;
    }
    if let Some(request) = &answer.request_id {
        output::line(&format!("request: {request}"))?;
    }
    Ok(exit)
}
