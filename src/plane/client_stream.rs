//! A client's connection as the HTTP library sees it, with a record of how it ends.

use super::backends::Stream;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// How a client's connection ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It was dropped before a shutdown: an error, a timeout, or a connection without a request.
    #[default]
    Dropped,
    /// It was shut down after the last response, with all received input read.
    InOrder,
    /// It was shut down after the last response, with received input not read, or closed by the client.
    UnreadInput,
}

impl ConnectionEnd {
    /// A name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::Dropped => "dropped",
            ConnectionEnd::InOrder => "in_order",
            ConnectionEnd::UnreadInput => "unread_input",
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

/// A client's connection.
pub struct ClientStream<S> {
    io: S,
    record: EndRecord,
}

impl<S: Stream> ClientStream<S> {
    /// Wraps a connection; its end will be written to `record`.
    pub fn new(io: S, record: EndRecord) -> Self {
        ClientStream { io, record }
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

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let end = if self.io.is_idle() { ConnectionEnd::InOrder } else { ConnectionEnd::UnreadInput };
        self.record.0.set(end);
        Pin::new(&mut self.io).poll_shutdown(cx)
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
