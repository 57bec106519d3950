//! The state of a client's connection, and the stream that records it and bounds what is read.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Instant;

use camphorhold::coordination::serving::memory_account::Refused;
use camphorhold::coordination::serving::memory_account::Share;
use camphorhold::transport::client::Charge;
use camphorhold::transport::client::Connection;
use camphorhold::transport::receive;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::io::Take;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::request::Source;
use crate::shared::Shared;

/// The size of the read buffers of the HTTP library, as long as no read fills one: it would double the
/// buffer of the connection for good.
const READ_BUFFER_BYTES: usize = 8 << 10;
const MAX_READ_BYTES: usize = READ_BUFFER_BYTES - 1;

/// A body of which as much has been read gets a wider receive buffer. What the HTTP library reads
/// behind a request without a body is less.
const LONG_BODY_BYTES: usize = READ_BUFFER_BYTES;

/// How much longer than the limit the head of a request may be, so that the limit may be taken as
/// that of its header lines alone.
const HEAD_SLACK_BYTES: usize = 1 << 10;

/// The limit for the head of a request while there is no configuration.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;

/// The limit for the head of a request from another instance, which has checked the request against
/// its own configuration and has added headers.
const PEER_HEADER_BYTES: usize = 256 << 10;

/// How much of a refused request is read after the answer. A connection that is closed with unread
/// bytes is reset, and the caller may lose the answer.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Ends the head of a request that is longer than permitted, so that it can be answered.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The state of a connection that decides when it is closed.
#[derive(Debug)]
pub struct Activity {
    // What the client makes the process hold.
    client: Connection,
    head_charge: RefCell<Charge>,
    busy: Cell<bool>,
    // When the last response was ready or, before the first one, when the connection was accepted.
    idle_since: Cell<Instant>,
    // When the first byte of the next request arrived; `None` while idle or busy.
    head_since: Cell<Option<Instant>>,
    // The bytes read since the last response was ready.
    head_bytes: Cell<usize>,
    // The bytes read of the body of the request in progress; `None` if it has none, or its receive
    // buffer has been made wider.
    body_bytes: Cell<Option<usize>>,
    // Whether the head of the request is longer than permitted. What follows is discarded.
    head_too_long: Cell<bool>,
    /// Wakes the connection when the head of a request was ended at the limit.
    pub refused: Notify,
    /// Wakes the connection when it is to be closed after the request in progress.
    pub close: Notify,
}

impl Activity {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(client: Connection, now: Instant) -> Self {
        Self {
            head_charge: RefCell::new(client.charge(Share::Heads)),
            client,
            busy: Cell::new(false),
            idle_since: Cell::new(now),
            head_since: Cell::new(None),
            head_bytes: Cell::new(0),
            body_bytes: Cell::new(None),
            head_too_long: Cell::new(false),
            refused: Notify::new(),
            close: Notify::new(),
        }
    }

    /// Records that the head of a request has been read. Returns when its first byte arrived, `None` if
    /// that was before the answer to the request before it.
    pub fn begin(&self, has_body: bool) -> Option<Instant> {
        self.busy.set(true);
        self.body_bytes.set(has_body.then_some(0));
        self.head_since.take()
    }

    /// Records that the response is ready.
    pub fn end(&self, now: Instant) {
        self.client.on_answer();
        // A charge can always shrink.
        let _ = self.head_charge.borrow_mut().set(0);
        self.idle_since.set(now);
        self.head_bytes.set(0);
        self.body_bytes.set(None);
        self.busy.set(false);
    }

    /// Returns the connection in the account of clients.
    pub fn client(&self) -> &Connection {
        &self.client
    }

    /// Charges for the head of a request, as far as it has been read.
    ///
    /// # Errors
    ///
    /// Returns an error if the client must not hold it. The request must not be started then.
    pub fn charge_head(&self) -> Result<(), Refused> {
        let head_bytes = self.head_bytes.get();
        let bytes = if head_bytes <= READ_BUFFER_BYTES {
            READ_BUFFER_BYTES
        } else {
            // The HTTP library doubles its buffer, and needs another one for what follows.
            READ_BUFFER_BYTES + 2 * head_bytes
        };
        self.head_charge.borrow_mut().set(bytes)
    }

    /// Records bytes of the body of a request. Returns the size of a wider receive buffer, if the body
    /// is long and there is room for one.
    fn on_body(&self, received: usize) -> Option<usize> {
        let bytes = self.body_bytes.get()? + received;
        if bytes < LONG_BODY_BYTES {
            self.body_bytes.set(Some(bytes));
            return None;
        }
        self.body_bytes.set(None);
        self.client.wider_buffer()
    }

    /// Returns whether a request is in progress.
    pub fn is_busy(&self) -> bool {
        self.busy.get()
    }

    /// Returns whether the head of the request is longer than permitted.
    pub fn is_head_too_long(&self) -> bool {
        self.head_too_long.get()
    }

    /// Returns when the first byte of an incomplete head arrived.
    pub fn head_since(&self) -> Option<Instant> {
        self.head_since.get()
    }

    /// Returns since when the connection has been idle.
    pub fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }
}

/// A stream that records when the first byte of a request arrives, and ends heads of requests that
/// are longer than the configuration in force permits.
pub struct ActivityStream {
    stream: Take<TcpStream>,
    shared: Rc<Shared>,
    activity: Rc<Activity>,
    source: Source,
    discarded: usize,
}

impl ActivityStream {
    /// Wraps the connection of a client.
    pub fn new(
        stream: TcpStream,
        shared: Rc<Shared>,
        activity: Rc<Activity>,
        source: Source,
    ) -> Self {
        Self {
            stream: stream.take(0),
            shared,
            activity,
            source,
            discarded: 0,
        }
    }

    fn on_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(written)) = &result {
            self.activity.client.on_transfer(*written);
        }
        result
    }

    fn widen(&self, bytes: usize) {
        if let Err(error) = receive::set_size(self.stream.get_ref(), bytes) {
            log::debug!(error:% = error; "cannot set the receive buffer of a connection");
            return;
        }
        self.activity.client.set_buffer(bytes);
    }

    /// Reads and drops what the caller sends, until it closes the connection or has sent enough.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; 4 << 10];
        while self.discarded < MAX_DISCARDED_BYTES {
            let mut buffer = ReadBuf::new(&mut bytes);
            let stream = Pin::new(self.stream.get_mut());
            match ready!(stream.poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => self.discarded += buffer.filled().len(),
                _ => break,
            }
        }
        Poll::Ready(())
    }

    /// Returns the most bytes that may be read now, 0 if the head of the request is too long.
    fn allowance(&self) -> usize {
        if self.activity.head_too_long.get() {
            0
        } else if self.activity.busy.get() {
            MAX_READ_BYTES
        } else {
            let limit = match (self.source, &*self.shared.plan.borrow()) {
                (Source::Instance | Source::Relay, _) => PEER_HEADER_BYTES,
                (Source::Caller, Some(plan)) => plan.limits().header_bytes,
                (Source::Caller, None) => DEFAULT_HEADER_BYTES,
            };
            let rest = (limit + HEAD_SLACK_BYTES).saturating_sub(self.activity.head_bytes.get());
            rest.min(MAX_READ_BYTES)
        }
    }
}

impl AsyncRead for ActivityStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowance = self.allowance();
        if allowance == 0 {
            if self.activity.head_too_long.replace(true) || buffer.remaining() < HEAD_END.len() {
                // An end of the stream would end the connection before the answer.
                return Poll::Pending;
            }
            self.activity.refused.notify_one();
            buffer.put_slice(HEAD_END);
            return Poll::Ready(Ok(()));
        }
        self.stream.set_limit(allowance as u64);
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        let activity = &self.activity;
        if received > 0 {
            activity.client.on_transfer(received);
            if let Some(bytes) = activity.on_body(received) {
                self.widen(bytes);
            }
        }
        if received > 0 && !activity.busy.get() {
            activity
                .head_bytes
                .set(activity.head_bytes.get() + received);
            if activity.head_since.get().is_none() {
                activity.head_since.set(Some(self.shared.now()));
            }
            activity.charge_head().map_err(io::Error::other)?;
        }
        result
    }
}

impl AsyncWrite for ActivityStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(self.stream.get_mut()).poll_write(context, bytes);
        self.on_written(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(self.stream.get_mut()).poll_write_vectored(context, slices);
        self.on_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(self.stream.get_mut()).poll_shutdown(context))?;
        if self.activity.head_too_long.get() {
            ready!(self.poll_discard(context));
        }
        Poll::Ready(Ok(()))
    }
}
