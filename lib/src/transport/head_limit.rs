//! A bound on the bytes that are read from a server before the head of its answer is complete.
//!
//! The HTTP library bounds a single head. It drops interim heads (status 1xx) and reads on, so a
//! server that sends them without end would be read for ever.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::io::Take;
use tokio::net::TcpStream;

/// How much may still be read of a [`Stream`]. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Allowance {
    // `None` while there is no bound.
    rest: Rc<Cell<Option<usize>>>,
    is_exceeded: Rc<Cell<bool>>,
}

impl Allowance {
    fn new() -> Self {
        Self {
            rest: Rc::new(Cell::new(None)),
            is_exceeded: Rc::new(Cell::new(false)),
        }
    }

    /// Bounds the bytes that are read from now on.
    pub(crate) fn start(&self, bytes: usize) {
        self.rest.set(Some(bytes));
        self.is_exceeded.set(false);
    }

    /// Ends the bound: the head is complete.
    pub(crate) fn lift(&self) {
        self.rest.set(None);
        self.is_exceeded.set(false);
    }

    /// Returns whether more was to be read than the bound permits. Nothing is read then until the
    /// bound is lifted, and nobody is woken.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.is_exceeded.get()
    }
}

/// A connection whose reads are bounded by an [`Allowance`].
#[derive(Debug)]
pub(crate) struct Stream {
    stream: Take<TcpStream>,
    allowance: Allowance,
}

impl Stream {
    /// Wraps a connection, without a bound at first.
    pub(crate) fn new(stream: TcpStream) -> (Self, Allowance) {
        let allowance = Allowance::new();
        let stream = Self {
            stream: stream.take(0),
            allowance: allowance.clone(),
        };
        (stream, allowance)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let rest = self.allowance.rest.get();
        if rest == Some(0) {
            self.allowance.is_exceeded.set(true);
            return Poll::Pending;
        }
        let limit = rest.map_or(u64::MAX, |rest| rest as u64);
        self.stream.set_limit(limit);
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        let rest = rest.map(|rest| rest - received);
        self.allowance.rest.set(rest);
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(context)
    }
}
