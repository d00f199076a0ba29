//! Connections without sockets: bounded, read in pieces, reset, closed, or forgotten without a word.

use cherrytally::plane::backends::Stream;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// One direction.
struct Way {
    bytes: VecDeque<u8>,
    holds: usize,
    piece: usize,
    ended: bool,
    reset: bool,
    /// Nobody reads any more: what is written next is answered by a reset.
    deaf: bool,
    wakers: Vec<Waker>,
}

impl Way {
    fn wake(&mut self) {
        self.wakers.drain(..).for_each(Waker::wake);
    }
}

struct End {
    from: Rc<RefCell<Way>>,
    to: Rc<RefCell<Way>>,
    silent: RefCell<bool>,
}

impl Drop for End {
    fn drop(&mut self) {
        if *self.silent.borrow() {
            return;
        }
        let unread = {
            let mut from = self.from.borrow_mut();
            from.deaf = true;
            from.wake();
            !from.bytes.is_empty()
        };
        let mut to = self.to.borrow_mut();
        to.ended = true;
        to.reset |= unread;
        to.wake();
    }
}

/// One end of a connection. Clones share it.
#[derive(Clone)]
pub struct Wire(Rc<End>);

impl Wire {
    /// Both ends. Each way holds so many bytes, and a read gives so many at most.
    pub fn pair(holds: usize, piece: usize) -> (Wire, Wire) {
        let way = || {
            Rc::new(RefCell::new(Way {
                bytes: VecDeque::new(),
                holds,
                piece,
                ended: false,
                reset: false,
                deaf: false,
                wakers: Vec::new(),
            }))
        };
        let (a, b) = (way(), way());
        let end = |from, to| Wire(Rc::new(End { from, to, silent: RefCell::new(false) }));
        (end(a.clone(), b.clone()), end(b, a))
    }

    /// Resets it. What the other end has not read may be lost.
    pub fn reset(&self, loses: bool) {
        for way in [&self.0.from, &self.0.to] {
            let mut way = way.borrow_mut();
            way.reset = true;
            if loses {
                way.bytes.clear();
            }
            way.wake();
        }
    }

    /// Forgets it without a word.
    pub fn forget(&self) {
        *self.0.silent.borrow_mut() = true;
        self.0.from.borrow_mut().deaf = true;
    }
}

impl AsyncRead for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut from = self.0.from.borrow_mut();
        if from.bytes.is_empty() {
            if from.reset {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            if from.ended {
                return Poll::Ready(Ok(()));
            }
            from.wakers.push(cx.waker().clone());
            return Poll::Pending;
        }
        let count = from.bytes.len().min(from.piece).min(buf.remaining());
        for byte in from.bytes.drain(..count) {
            buf.put_slice(&[byte]);
        }
        from.wake();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut to = self.0.to.borrow_mut();
        if to.reset {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if to.deaf {
            to.reset = true;
            drop(to);
            let mut from = self.0.from.borrow_mut();
            from.reset = true;
            from.wake();
            return Poll::Ready(Ok(bytes.len()));
        }
        if to.bytes.len() >= to.holds {
            to.wakers.push(cx.waker().clone());
            return Poll::Pending;
        }
        let count = bytes.len().min(to.holds - to.bytes.len());
        to.bytes.extend(&bytes[..count]);
        to.wake();
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut to = self.0.to.borrow_mut();
        to.ended = true;
        to.wake();
        Poll::Ready(Ok(()))
    }
}

impl Stream for Wire {
    fn is_idle(&self) -> bool {
        let from = self.0.from.borrow();
        from.bytes.is_empty() && !from.ended && !from.reset
    }

    /// Refused: a connection without it is a connection all the same.
    fn disable_nagle(&self) -> io::Result<()> {
        Err(io::Error::from(io::ErrorKind::Unsupported))
    }
}
