//! HTTP/1.1 client connections without a pool: the caller decides when to open, reuse and close
//! them.
//!
//! The task that sends a request also drives the connection, so no background task is needed.
//! Dropping that task closes the connection, which is how the server learns that the answer is no
//! longer needed.

use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use super::body;
use super::head_limit;
use super::head_limit::Allowance;
use super::read_budget::ReadBudget;
use super::receive;
use super::receive::ServerBuffer;
use crate::coordination::serving::receive_buffers::MAX_SERVER_BYTES;

/// The longest head of an answer, interim heads before it included. The longest proper one is that of a merged answer, with a
/// signature of some 40 bytes for each of a thousand shards.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The statuses of answers. The HTTP library takes three digits from 100 on, and drops interim heads,
/// other than that of 101, which nobody asks for.
const VALID_STATUS: std::ops::Range<u16> = 200..600;

/// TCP options and time-outs by which a connection detects that its peer does not respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpOptions {
    /// The time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// How long sent bytes may stay unacknowledged before the connection fails
    /// (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
    /// The interval of TCP keepalive probes on a connection without traffic; `None` disables them.
    pub keepalive_interval: Option<Duration>,
}

/// The error returned when a request has no complete answer.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection was not established within [`TcpOptions::connect_timeout`].
    #[error("timed out while connecting")]
    ConnectTimeout,
    /// The connection was closed before any byte of the request was sent.
    #[error("the request was not sent: {0}")]
    Unsent(#[source] hyper::Error),
    /// The request may have been sent, and the connection broke or the answer could not be read.
    #[error("connection lost before the answer was complete: {0}")]
    Lost(#[source] hyper::Error),
    /// The head or the body of the answer is longer than permitted, or all answers in progress
    /// together are.
    #[error("the answer is longer than permitted")]
    TooLong,
    /// The head of the answer is no HTTP, or its status is not valid. The server may have run the
    /// request.
    #[error("the answer is malformed")]
    Malformed,
}

impl Error {
    fn from_read(error: hyper::Error) -> Self {
        if error.is_parse_too_large() {
            Self::TooLong
        } else if error.is_parse() {
            Self::Malformed
        } else {
            Self::Lost(error)
        }
    }
}

impl From<body::Error> for Error {
    fn from(error: body::Error) -> Self {
        match error {
            // Only the bodies of requests are refused.
            body::Error::TooLong | body::Error::Refused(_) => Self::TooLong,
            body::Error::Broken(error) => Self::from_read(error),
        }
    }
}

type Driver = Pin<Box<dyn Future<Output = hyper::Result<()>>>>;

/// A connection to a server, which carries one request at a time.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    head_allowance: Allowance,
    // Returned to its pool with the connection.
    _buffer: Option<ServerBuffer>,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Connection").finish_non_exhaustive()
    }
}

impl Connection {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the server does not accept the connection within the time-out, or if the
    /// socket options cannot be set.
    pub async fn open(address: SocketAddr, options: TcpOptions) -> Result<Self, Error> {
        let stream = connect(address, options, MAX_SERVER_BYTES).await?;
        configure(&stream, options).map_err(Error::Connect)?;
        Self::start(stream, None).await
    }

    /// Connects to a server as [`Self::open`] does, with this receive buffer.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::open`].
    pub async fn open_with_buffer(
        address: SocketAddr,
        options: TcpOptions,
        buffer: ServerBuffer,
    ) -> Result<Self, Error> {
        let stream = connect(address, options, buffer.bytes()).await?;
        configure(&stream, options).map_err(Error::Connect)?;
        Self::start(stream, Some(buffer)).await
    }

    /// Connects to a server as [`Self::open`] does. When the connection is dropped, it is reset, so
    /// that bytes which are not delivered yet are discarded.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::open`].
    pub async fn open_with_reset(address: SocketAddr, options: TcpOptions) -> Result<Self, Error> {
        let stream = connect(address, options, MAX_SERVER_BYTES).await?;
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .and_then(|()| configure(&stream, options))
            .map_err(Error::Connect)?;
        Self::start(stream, None).await
    }

    async fn start(stream: TcpStream, buffer: Option<ServerBuffer>) -> Result<Self, Error> {
        let (stream, head_allowance) = head_limit::Stream::new(stream);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(Error::Unsent)?;
        Ok(Self {
            sender,
            driver: Box::pin(driver),
            head_allowance,
            _buffer: buffer,
        })
    }

    /// Returns whether another request can be sent: the server has neither closed the connection
    /// nor sent bytes that belong to no request.
    pub fn is_usable(&mut self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        self.driver.as_mut().poll(&mut context).is_pending()
            && matches!(self.sender.poll_ready(&mut context), Poll::Ready(Ok(())))
    }

    /// Sends a request and reads the whole answer, with a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete answer. [`Error::Unsent`] means that no byte of the
    /// request was sent.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<Response<Bytes>, Error> {
        self.exchange_within(request, limit, &ReadBudget::new(limit))
            .await
    }

    /// Sends a request and reads the whole answer, as [`Self::exchange`] does. The body shares
    /// `budget` with the other answers that are being read.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete answer. [`Error::Unsent`] means that no byte of the
    /// request was sent.
    pub async fn exchange_within(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: usize,
        budget: &ReadBudget,
    ) -> Result<Response<Bytes>, Error> {
        let sender = &mut self.sender;
        let allowance = &self.head_allowance;
        allowance.start(MAX_HEAD_BYTES);
        let mut answer = pin!(async move {
            let response = sender
                .try_send_request(request)
                .await
                .map_err(|mut error| {
                    if error.take_message().is_some() {
                        Error::Unsent(error.into_error())
                    } else {
                        Error::from_read(error.into_error())
                    }
                })?;
            allowance.lift();
            let (head, body) = response.into_parts();
            if !VALID_STATUS.contains(&head.status.as_u16()) {
                return Err(Error::Malformed);
            }
            let body = body::read(body, limit, budget).await?;
            Ok(Response::from_parts(head, body))
        });
        let driver = &mut self.driver;
        let mut driver_ended = false;
        poll_fn(move |context| {
            loop {
                if !driver_ended && driver.as_mut().poll(context).is_ready() {
                    driver_ended = true;
                    // A future must not be polled again after it has finished.
                    *driver = Box::pin(std::future::ready(Ok(())));
                }
                if let Poll::Ready(answer) = answer.as_mut().poll(context) {
                    return Poll::Ready(answer);
                }
                if allowance.is_exceeded() {
                    return Poll::Ready(Err(Error::TooLong));
                }
                // Polling the answer may have handed the request to the driver.
                if driver_ended {
                    return Poll::Pending;
                }
                if driver.as_mut().poll(context).is_pending() {
                    if allowance.is_exceeded() {
                        // The answer may have the head now.
                        continue;
                    }
                    return Poll::Pending;
                }
                driver_ended = true;
                *driver = Box::pin(std::future::ready(Ok(())));
            }
        })
        .await
    }
}

/// Connects a socket with a receive buffer of that many bytes.
async fn connect(
    address: SocketAddr,
    options: TcpOptions,
    buffer_bytes: usize,
) -> Result<TcpStream, Error> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.map_err(Error::Connect)?;
    // Without it, only the bound on what waits in the socket is higher.
    if let Err(error) = receive::set_size(&socket, buffer_bytes) {
        log::debug!(error:% = error; "cannot set the receive buffer of a connection to a server");
    }
    tokio::time::timeout(options.connect_timeout, socket.connect(address))
        .await
        .map_err(|_| Error::ConnectTimeout)?
        .map_err(Error::Connect)
}

fn configure(stream: &TcpStream, options: TcpOptions) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(options.user_timeout))?;
    if let Some(interval) = options.keepalive_interval {
        let probes = TcpKeepalive::new()
            .with_time(interval)
            .with_interval(interval)
            .with_retries(2);
        socket.set_tcp_keepalive(&probes)?;
    }
    Ok(())
}
