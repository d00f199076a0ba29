//! Room for what passes through: bodies and answers too large to be held whole, and the memory for all of them.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout_at, Instant};

/// Largest body or answer that is held whole, and with it may be sent again. What is larger streams.
pub const HELD_MOST: usize = 64 * 1024;
/// Largest body of a request.
pub const BODY_MOST: u64 = 40 << 20;
/// What a stream holds at once: one piece as it is read and one as it is written.
const STREAM: usize = 64 * 1024;
/// What is smaller than this is not reckoned: connections hold as much anyway.
const SMALL: usize = 4 * 1024;
/// Slowest pace of a body, in bytes a second; clients may go at 64 kB/s.
const PACE: f64 = 40_000.0;
/// And so far it may fall behind that pace.
const BEHIND: Duration = Duration::from_secs(1);

/// Memory for bodies and answers, over all connections. Each has a pool of its own, so that no request waits with
/// its body in hand for another that does the same.
pub struct Budget {
    bodies: Arc<Semaphore>,
    answers: Arc<Semaphore>,
}

/// A part of the budget, given back when dropped.
pub type Part = Option<OwnedSemaphorePermit>;

impl Budget {
    /// An eighth of the memory, in bytes, for each pool.
    pub fn new(memory: u64) -> Self {
        let part = usize::try_from(memory / 8).unwrap_or(usize::MAX).min(Semaphore::MAX_PERMITS);
        let pool = || Arc::new(Semaphore::new(part.max(2 * STREAM)));
        Budget { bodies: pool(), answers: pool() }
    }

    /// Waits for room for a body of that size, where it is known.
    pub async fn body(&self, size: Option<u64>) -> Part {
        take(&self.bodies, size).await
    }

    /// Waits for room for an answer of that size, where it is known.
    pub async fn answer(&self, size: Option<u64>) -> Part {
        take(&self.answers, size).await
    }
}

async fn take(pool: &Arc<Semaphore>, size: Option<u64>) -> Part {
    let size = size.map_or(STREAM, |size| size.min(STREAM as u64) as usize);
    if size <= SMALL {
        return None;
    }
    pool.clone().acquire_many_owned(size as u32).await.ok()
}

/// Why a body did not come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Short {
    /// Over the largest size.
    TooLarge,
    /// Broken off, or not framed as HTTP has it.
    Broken,
    /// Behind the slowest pace.
    Slow,
}

/// A request's body as it comes in, at a bounded pace: neither a silent client nor one that sends a byte now and
/// then may hold a place for long.
pub struct Upload {
    body: Incoming,
    got: u64,
    since: Instant,
    /// It may be silent until then all the same.
    by: Instant,
    /// Its client does not wait any longer, whatever its pace.
    until: Option<Instant>,
}

impl Upload {
    /// A body that begins now. It may be silent until `by`, whatever its pace; its client waits until `until`.
    pub fn new(body: Incoming, by: Instant, until: Option<Instant>) -> Self {
        Upload { body, got: 0, since: Instant::now(), by, until }
    }

    /// Its size, if its head tells.
    pub fn size(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Bytes that are still to come, if its head tells.
    pub fn left(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// The next bytes; none at its end.
    pub async fn piece(&mut self) -> Result<Option<Bytes>, Short> {
        loop {
            let pace = Duration::from_secs_f64(self.got as f64 / PACE);
            let by = self.by.max(self.since + BEHIND + pace);
            let by = self.until.map_or(by, |until| until.min(by));
            match timeout_at(by, self.body.frame()).await {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    // Trailers are of no use to anyone here.
                    let Ok(piece) = frame.into_data() else { continue };
                    self.got += piece.len() as u64;
                    if self.got > BODY_MOST {
                        return Err(Short::TooLarge);
                    }
                    return Ok(Some(piece));
                }
                Ok(Some(Err(_))) => return Err(Short::Broken),
                Err(_) => return Err(Short::Slow),
            }
        }
    }

    /// The pace does not run while others keep the body waiting.
    pub fn held_up(&mut self, time: Duration) {
        self.since += time;
    }

    /// Reads on to the end for a client that has its answer already: it might not see it while it writes.
    pub async fn drain(mut self) {
        while let Ok(Some(_)) = self.piece().await {}
    }
}

/// What is still to come of a request's body. The first attempt that gets so far takes it, and then no other can be
/// made.
pub struct More(RefCell<Option<Upload>>);

impl More {
    /// What follows by `upload`.
    pub fn new(upload: Upload) -> Self {
        More(RefCell::new(Some(upload)))
    }

    /// Takes it; it can't be sent again then.
    pub fn take(&self) -> Option<Upload> {
        self.0.borrow_mut().take()
    }

    /// True while it can still be sent.
    pub fn whole(&self) -> bool {
        self.0.borrow().is_some()
    }
}

impl Drop for More {
    fn drop(&mut self) {
        if let Some(upload) = self.take() {
            tokio::task::spawn_local(upload.drain());
        }
    }
}

/// The end of a stream of an answer, for whoever reads the backend.
pub type StreamTo = mpsc::Sender<io::Result<Bytes>>;

/// An answer's body, whole or as it comes.
pub enum Content {
    /// All of it, and its part of the budget.
    Whole {
        /// The bytes.
        bytes: Bytes,
        /// Their part of the budget.
        _part: Part,
    },
    /// Piece by piece, with its length where that is known.
    Stream(mpsc::Receiver<io::Result<Bytes>>, Option<u64>),
}

impl Content {
    /// A stream and where its pieces go in. One piece waits at most.
    pub fn stream(length: Option<u64>) -> (StreamTo, Self) {
        let (to, from) = mpsc::channel(1);
        (to, Content::Stream(from, length))
    }

    /// A small body that is not reckoned.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Content::Whole { bytes: bytes.into(), _part: None }
    }
}

impl Body for Content {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Content::Whole { bytes, .. } if bytes.is_empty() => Poll::Ready(None),
            Content::Whole { bytes, .. } => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Content::Stream(from, left) => {
                let piece = ready!(from.poll_recv(cx));
                if let (Some(Ok(piece)), Some(left)) = (&piece, left) {
                    *left = left.saturating_sub(piece.len() as u64);
                }
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Content::Whole { bytes, .. } => bytes.is_empty(),
            // Its end is told by the channel: the request lasts until then.
            Content::Stream(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Content::Whole { bytes, .. } => SizeHint::with_exact(bytes.len() as u64),
            Content::Stream(_, Some(left)) => SizeHint::with_exact(*left),
            Content::Stream(_, None) => SizeHint::default(),
        }
    }
}
