//! In-memory connections with bounded buffers and short reads that can be reset, closed or silently dropped.

use oakfall::plane::backends::Stream;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// One direction of a connection.
struct Direction {
    bytes: VecDeque<u8>,
    capacity: usize,
    max_read: usize,
    closed: bool,
    reset: bool,
    /// The reader is gone: the next write resets the connection.
    reader_gone: bool,
    wakers: Vec<Waker>,
}

impl Direction {
    fn wake(&mut self) {
        self.wakers.drain(..).for_each(Waker::wake);
    }
}

struct Endpoint {
    incoming: Rc<RefCell<Direction>>,
    outgoing: Rc<RefCell<Direction>>,
    drop_is_silent: RefCell<bool>,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        if *self.drop_is_silent.borrow() {
            return;
        }
        let unread = {
            let mut incoming = self.incoming.borrow_mut();
            incoming.reader_gone = true;
            incoming.wake();
            !incoming.bytes.is_empty()
        };
        let mut outgoing = self.outgoing.borrow_mut();
        outgoing.closed = true;
        outgoing.reset |= unread;
        outgoing.wake();
    }
}

/// One end of a connection; clones share it.
#[derive(Clone)]
pub struct MemoryStream(Rc<Endpoint>);

impl MemoryStream {
    /// Creates both ends. Each direction buffers `capacity` bytes, and a read returns at most `max_read`.
    pub fn pair(capacity: usize, max_read: usize) -> (MemoryStream, MemoryStream) {
        let direction = || {
            Rc::new(RefCell::new(Direction {
                bytes: VecDeque::new(),
                capacity,
                max_read,
                closed: false,
                reset: false,
                reader_gone: false,
                wakers: Vec::new(),
            }))
        };
        let (a, b) = (direction(), direction());
        let endpoint = |incoming, outgoing| {
            MemoryStream(Rc::new(Endpoint { incoming, outgoing, drop_is_silent: RefCell::new(false) }))
        };
        (endpoint(a.clone(), b.clone()), endpoint(b, a))
    }

    /// Resets the connection, optionally discarding unread bytes.
    pub fn reset(&self, discard_unread: bool) {
        for direction in [&self.0.incoming, &self.0.outgoing] {
            let mut direction = direction.borrow_mut();
            direction.reset = true;
            if discard_unread {
                direction.bytes.clear();
            }
            direction.wake();
        }
    }

    /// Makes the drop of this end invisible to the peer until the peer writes.
    pub fn drop_silently(&self) {
        *self.0.drop_is_silent.borrow_mut() = true;
        self.0.incoming.borrow_mut().reader_gone = true;
    }
}

impl AsyncRead for MemoryStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut incoming = self.0.incoming.borrow_mut();
        if incoming.bytes.is_empty() {
            if incoming.reset {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            if incoming.closed {
                return Poll::Ready(Ok(()));
            }
            incoming.wakers.push(cx.waker().clone());
            return Poll::Pending;
        }
        let count = incoming.bytes.len().min(incoming.max_read).min(buf.remaining());
        for byte in incoming.bytes.drain(..count) {
            buf.put_slice(&[byte]);
        }
        incoming.wake();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut outgoing = self.0.outgoing.borrow_mut();
        if outgoing.reset {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if outgoing.reader_gone {
            outgoing.reset = true;
            drop(outgoing);
            let mut incoming = self.0.incoming.borrow_mut();
            incoming.reset = true;
            incoming.wake();
            return Poll::Ready(Ok(bytes.len()));
        }
        if outgoing.bytes.len() >= outgoing.capacity {
            outgoing.wakers.push(cx.waker().clone());
            return Poll::Pending;
        }
        let count = bytes.len().min(outgoing.capacity - outgoing.bytes.len());
        outgoing.bytes.extend(&bytes[..count]);
        outgoing.wake();
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut outgoing = self.0.outgoing.borrow_mut();
        outgoing.closed = true;
        outgoing.wake();
        Poll::Ready(Ok(()))
    }
}

impl Stream for MemoryStream {
    fn is_idle(&self) -> bool {
        let incoming = self.0.incoming.borrow();
        incoming.bytes.is_empty() && !incoming.closed && !incoming.reset
    }

    /// Always fails; callers must tolerate that.
    fn disable_nagle(&self) -> io::Result<()> {
        Err(io::Error::from(io::ErrorKind::Unsupported))
    }
}
