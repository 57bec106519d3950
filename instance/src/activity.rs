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
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::listener;
use crate::request::Source;
use crate::shared::Shared;

/// The size of the read buffers of the HTTP library, as long as no read fills one: it would double the
/// buffer of the connection for good.
const READ_BUFFER_BYTES: usize = 8 << 10;
const MAX_READ_BYTES: usize = READ_BUFFER_BYTES - 1;

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
    stream: Rc<TcpStream>,
    // The size of its receive buffer.
    buffer_bytes: Cell<usize>,
    head_charge: RefCell<Charge>,
    busy: Cell<bool>,
    // When the last response was ready or, before the first one, when the connection was accepted.
    idle_since: Cell<Instant>,
    // When the first byte of the next request arrived; `None` while idle or busy.
    head_since: Cell<Option<Instant>>,
    // The bytes read since the last response was ready.
    head_bytes: Cell<usize>,
    // Whether the head of the request is longer than permitted. What follows is discarded.
    head_too_long: Cell<bool>,
    /// Wakes the connection when the head of a request was ended at the limit.
    pub refused: Notify,
    /// Wakes the connection when it is to be closed after the request in progress.
    pub close: Notify,
}

impl Activity {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(client: Connection, stream: Rc<TcpStream>, now: Instant) -> Self {
        Self {
            head_charge: RefCell::new(client.charge(Share::Heads)),
            buffer_bytes: Cell::new(client.buffer()),
            client,
            stream,
            busy: Cell::new(false),
            idle_since: Cell::new(now),
            head_since: Cell::new(None),
            head_bytes: Cell::new(0),
            head_too_long: Cell::new(false),
            refused: Notify::new(),
            close: Notify::new(),
        }
    }

    /// Records that the head of a request has been read. Returns when its first byte arrived, `None` if
    /// that was before the answer to the request before it.
    pub fn begin(&self) -> Option<Instant> {
        self.busy.set(true);
        self.grow_buffer();
        self.head_since.take()
    }

    /// Records that the response is ready.
    pub fn end(&self, now: Instant) {
        self.client.on_answer();
        // A charge can always shrink.
        let _ = self.head_charge.borrow_mut().set(0);
        self.idle_since.set(now);
        self.head_bytes.set(0);
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

    /// Makes the receive buffer smaller if it is larger than it may be now. Closes the connection if it
    /// has received more meanwhile, behind a complete request: the rest of a body is read soon.
    pub fn shrink_buffer(&self) {
        let bytes = self.client.buffer();
        if bytes >= self.buffer_bytes.get() {
            return;
        }
        self.set_buffer(bytes);
        let is_exceeded = || receive::unread(&*self.stream).is_ok_and(|unread| unread > bytes);
        if self.client.owes_answer() && is_exceeded() {
            self.client.close();
        }
    }

    /// Makes the receive buffer larger again if it may be.
    fn grow_buffer(&self) {
        let bytes = self.client.buffer();
        if bytes > self.buffer_bytes.get() {
            self.set_buffer(bytes);
        }
    }

    fn set_buffer(&self, bytes: usize) {
        listener::set_buffer(&*self.stream, bytes);
        self.buffer_bytes.set(bytes);
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
    stream: Rc<TcpStream>,
    shared: Rc<Shared>,
    activity: Rc<Activity>,
    source: Source,
    discarded: usize,
}

impl ActivityStream {
    /// Wraps the connection of a client.
    pub fn new(
        stream: Rc<TcpStream>,
        shared: Rc<Shared>,
        activity: Rc<Activity>,
        source: Source,
    ) -> Self {
        Self {
            stream,
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

    /// Reads and drops what the caller sends, until it closes the connection or has sent enough.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; 4 << 10];
        while self.discarded < MAX_DISCARDED_BYTES {
            match ready!(poll_read(&self.stream, context, &mut bytes)) {
                Ok(received) if received > 0 => self.discarded += received,
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
        self: Pin<&mut Self>,
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
        let unfilled = buffer.initialize_unfilled_to(allowance.min(buffer.remaining()));
        let received = ready!(poll_read(&self.stream, context, unfilled))?;
        buffer.advance(received);
        let activity = &self.activity;
        if received > 0 {
            activity.client.on_transfer(received);
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
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ActivityStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = poll_write(&self.stream, context, |stream| stream.try_write(bytes));
        self.on_written(result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = poll_write(&self.stream, context, |stream| {
            stream.try_write_vectored(slices)
        });
        self.on_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A socket has no buffer of its own here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        receive::shut_down_writing(&*self.stream)?;
        if self.activity.head_too_long.get() {
            ready!(self.poll_discard(context));
        }
        Poll::Ready(Ok(()))
    }
}

fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut [u8],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

fn poll_write<Write>(
    stream: &TcpStream,
    context: &mut Context<'_>,
    write: Write,
) -> Poll<io::Result<usize>>
where
    Write: Fn(&TcpStream) -> io::Result<usize>,
{
    loop {
        ready!(stream.poll_write_ready(context))?;
        match write(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}
