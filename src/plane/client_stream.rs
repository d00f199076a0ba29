//! A client's connection as the HTTP library sees it, with a lingering close (RFC 9112, section 9.6).
//!
//! If a socket is closed with input unread, or input arrives after it was closed, the kernel resets the connection
//! and discards what it has not sent yet: the client loses the end of its last response. [`ClientStream`] therefore
//! closes only its write side at first. It then reads and discards input until the client closes its side as well,
//! within limits of time and size.

use super::backends::Stream;
use super::body::MAX_REQUEST_BODY_BYTES;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep_until, Instant, Sleep};

/// A closing connection ends once its client has sent nothing for this long.
pub const LINGER_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which a closing connection discards input.
pub const LINGER_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum input that a closing connection discards; a client may still be sending a body that was refused.
pub const MAX_DISCARDED_BYTES: u64 = MAX_REQUEST_BODY_BYTES;
/// Size of one read of input to discard.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// How a client's connection ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It was dropped before its shutdown was complete: an error, a timeout, or no request at all.
    #[default]
    Dropped,
    /// The client closed it after the last response.
    ClosedByClient,
    /// The client kept it open after the last response, and sent nothing for [`LINGER_IDLE_TIMEOUT`].
    IdleClient,
    /// The client was still sending after [`LINGER_TIMEOUT`], or had sent more than [`MAX_DISCARDED_BYTES`].
    BusyClient,
    /// It failed after the last response was written.
    Failed,
}

impl ConnectionEnd {
    /// A name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::Dropped => "dropped",
            ConnectionEnd::ClosedByClient => "closed_by_client",
            ConnectionEnd::IdleClient => "idle_client",
            ConnectionEnd::BusyClient => "busy_client",
            ConnectionEnd::Failed => "failed",
        }
    }
}

/// The end of a connection, readable after the HTTP library has consumed its stream.
#[derive(Clone, Default)]
pub struct EndRecord(Rc<Cell<ConnectionEnd>>);

impl EndRecord {
    /// How the connection ended, so far.
    pub fn end(&self) -> ConnectionEnd {
        self.0.get()
    }
}

/// Progress of a lingering close.
struct Linger {
    last_input: Instant,
    ends_at: Instant,
    discarded_bytes: u64,
    timer: Pin<Box<Sleep>>,
}

impl Linger {
    fn new() -> Self {
        let now = Instant::now();
        let timer = Box::pin(sleep_until(now + LINGER_IDLE_TIMEOUT));
        Linger { last_input: now, ends_at: now + LINGER_TIMEOUT, discarded_bytes: 0, timer }
    }

    /// Records discarded input.
    fn record_input(&mut self, bytes: usize) {
        self.last_input = Instant::now();
        self.discarded_bytes += bytes as u64;
    }

    /// The end of a connection that has reached a limit.
    fn reached_limit(&self) -> Option<ConnectionEnd> {
        let now = Instant::now();
        if now >= self.ends_at || self.discarded_bytes > MAX_DISCARDED_BYTES {
            return Some(ConnectionEnd::BusyClient);
        }
        (now >= self.last_input + LINGER_IDLE_TIMEOUT).then_some(ConnectionEnd::IdleClient)
    }

    /// Waits until the next time limit that no further input would move.
    fn poll_time_limit(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.timer.as_mut().reset(self.ends_at.min(self.last_input + LINGER_IDLE_TIMEOUT));
        self.timer.as_mut().poll(cx)
    }

    /// Discards input until the client closes its side or a limit is reached.
    fn poll_discard(
        &mut self, io: &mut (impl AsyncRead + Unpin), cx: &mut Context<'_>,
    ) -> Poll<ConnectionEnd> {
        loop {
            if let Some(end) = self.reached_limit() {
                return Poll::Ready(end);
            }
            let mut bytes = [0; DISCARD_BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *io).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if buffer.filled().is_empty() => {
                    return Poll::Ready(ConnectionEnd::ClosedByClient);
                }
                Poll::Ready(Ok(())) => self.record_input(buffer.filled().len()),
                Poll::Ready(Err(_)) => return Poll::Ready(ConnectionEnd::Failed),
                Poll::Pending => ready!(self.poll_time_limit(cx)),
            }
        }
    }
}

/// A client's connection.
pub struct ClientStream<S> {
    io: S,
    record: EndRecord,
    linger: Option<Linger>,
}

impl<S: Stream> ClientStream<S> {
    /// Wraps a connection.
    pub fn new(io: S) -> Self {
        ClientStream { io, record: EndRecord::default(), linger: None }
    }

    /// The record of how this connection ends.
    pub fn record(&self) -> EndRecord {
        self.record.clone()
    }
}

impl<S: Stream> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<S: Stream> AsyncWrite for ClientStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    /// Closes the write side, then discards input until the connection may be dropped without a reset.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ClientStream { io, record, linger } = &mut *self;
        if linger.is_none() {
            let closed = ready!(Pin::new(&mut *io).poll_shutdown(cx));
            if closed.is_err() {
                record.0.set(ConnectionEnd::Failed);
                return Poll::Ready(closed);
            }
        }
        let end = ready!(linger.get_or_insert_with(Linger::new).poll_discard(io, cx));
        record.0.set(end);
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}
