//! Streaming of large request and response bodies, and the memory budget for all bodies.

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

/// Maximum size of a body that is buffered, so that its request can be retried. Larger ones are streamed.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum size of a request body.
pub const MAX_REQUEST_BODY_BYTES: u64 = 40 << 20;
/// Memory of one stream: a chunk being read and a chunk being written.
const STREAM_BYTES: usize = 64 * 1024;
/// Bodies up to this size need no reservation; a connection's own buffers are as large.
const MAX_UNRESERVED_BYTES: usize = 4 * 1024;
/// Minimum transfer rate of a request body; clients are allowed 64 kB/s.
const MIN_BYTES_PER_S: f64 = 40_000.0;
/// Maximum lag behind the minimum transfer rate.
const MAX_LAG: Duration = Duration::from_secs(1);

/// Memory for the bodies of all connections. Requests and responses have separate pools, so that requests
/// holding memory for their bodies cannot deadlock waiting for response memory.
pub struct MemoryBudget {
    requests: Arc<Semaphore>,
    responses: Arc<Semaphore>,
}

/// Memory reserved from the budget, released when dropped; none for small bodies.
pub type MemoryReservation = Option<OwnedSemaphorePermit>;

impl MemoryBudget {
    /// Each pool gets an eighth of the process's memory limit, in bytes.
    pub fn new(memory_limit: u64) -> Self {
        let pool_size = usize::try_from(memory_limit / 8).unwrap_or(usize::MAX).min(Semaphore::MAX_PERMITS);
        let pool = || Arc::new(Semaphore::new(pool_size.max(2 * STREAM_BYTES)));
        MemoryBudget { requests: pool(), responses: pool() }
    }

    /// Waits for memory for a request body of this size, if known.
    pub async fn reserve_request(&self, size: Option<u64>) -> MemoryReservation {
        reserve(&self.requests, size).await
    }

    /// Waits for memory for a response body of this size, if known.
    pub async fn reserve_response(&self, size: Option<u64>) -> MemoryReservation {
        reserve(&self.responses, size).await
    }
}

async fn reserve(pool: &Arc<Semaphore>, size: Option<u64>) -> MemoryReservation {
    let size = size.map_or(STREAM_BYTES, |size| size.min(STREAM_BYTES as u64) as usize);
    if size <= MAX_UNRESERVED_BYTES {
        return None;
    }
    pool.clone().acquire_many_owned(size as u32).await.ok()
}

/// Why a request body was not received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It exceeds the maximum size.
    TooLarge,
    /// The connection was closed, or the framing is invalid.
    Broken,
    /// It is slower than the minimum transfer rate, or the client's absolute deadline passed.
    Slow,
}

/// A request body that is being received. A minimum transfer rate guards against slow clients that hold on to
/// resources.
pub struct Upload {
    body: Incoming,
    received: u64,
    started: Instant,
    /// The minimum rate is not enforced before this.
    grace_until: Instant,
    /// The client's absolute deadline.
    deadline: Option<Instant>,
}

impl Upload {
    /// A body that starts now. The minimum rate is enforced from `grace_until` on; `deadline` is the client's
    /// absolute deadline.
    pub fn new(body: Incoming, grace_until: Instant, deadline: Option<Instant>) -> Self {
        Upload { body, received: 0, started: Instant::now(), grace_until, deadline }
    }

    /// Total size, if the head gives it. Valid only before the first bytes are received.
    pub fn size(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Bytes not received yet, if the head gives the size.
    pub fn remaining(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// The next bytes; none at the end of the body.
    pub async fn next_bytes(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let max_elapsed = Duration::from_secs_f64(self.received as f64 / MIN_BYTES_PER_S);
            let wait_until = self.grace_until.max(self.started + MAX_LAG + max_elapsed);
            let wait_until = self.deadline.map_or(wait_until, |deadline| deadline.min(wait_until));
            match timeout_at(wait_until, self.body.frame()).await {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    // Trailers are not forwarded.
                    let Ok(chunk) = frame.into_data() else { continue };
                    self.received += chunk.len() as u64;
                    if self.received > MAX_REQUEST_BODY_BYTES {
                        return Err(BodyError::TooLarge);
                    }
                    return Ok(Some(chunk));
                }
                Ok(Some(Err(_))) => return Err(BodyError::Broken),
                Err(_) => return Err(BodyError::Slow),
            }
        }
    }

    /// Excludes time spent waiting for the backend from the minimum rate.
    pub fn exclude_wait(&mut self, time: Duration) {
        self.started += time;
    }

    /// Reads and discards the rest, so that a client that is still writing can read its early response.
    pub async fn drain(mut self) {
        while let Ok(Some(_)) = self.next_bytes().await {}
    }
}

/// The part of a request body that has not been received yet. The first attempt that reaches it takes it;
/// after that the request cannot be retried. If dropped untaken, the rest is read and discarded.
pub struct UnreadBody(RefCell<Option<Upload>>);

impl UnreadBody {
    /// The remaining body, received through `upload`.
    pub fn new(upload: Upload) -> Self {
        UnreadBody(RefCell::new(Some(upload)))
    }

    /// Takes the body, so that no further attempt can send it.
    pub fn take(&self) -> Option<Upload> {
        self.0.borrow_mut().take()
    }

    /// True until the body has been taken.
    pub fn is_available(&self) -> bool {
        self.0.borrow().is_some()
    }
}

impl Drop for UnreadBody {
    fn drop(&mut self) {
        if let Some(upload) = self.take() {
            tokio::task::spawn_local(upload.drain());
        }
    }
}

/// Sending side of a streamed response body.
pub type BodySender = mpsc::Sender<io::Result<Bytes>>;

/// A response body, buffered or streamed.
pub enum ResponseBody {
    /// A complete body.
    Buffered {
        /// The bytes.
        bytes: Bytes,
        /// Their memory reservation.
        _reservation: MemoryReservation,
    },
    /// A streamed body, with the number of bytes left if known.
    Stream(mpsc::Receiver<io::Result<Bytes>>, Option<u64>),
}

impl ResponseBody {
    /// Creates a streamed body and its sender; at most one chunk is queued.
    pub fn stream(length: Option<u64>) -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(1);
        (sender, ResponseBody::Stream(receiver, length))
    }

    /// A small buffered body without a memory reservation.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        ResponseBody::Buffered { bytes: bytes.into(), _reservation: None }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            ResponseBody::Buffered { bytes, .. } if bytes.is_empty() => Poll::Ready(None),
            ResponseBody::Buffered { bytes, .. } => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            ResponseBody::Stream(receiver, left) => {
                let chunk = ready!(receiver.poll_recv(cx));
                if let (Some(Ok(chunk)), Some(left)) = (&chunk, left) {
                    *left = left.saturating_sub(chunk.len() as u64);
                }
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered { bytes, .. } => bytes.is_empty(),
            // The end comes from the channel, so that the request lasts until the backend has finished.
            ResponseBody::Stream(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered { bytes, .. } => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Stream(_, Some(left)) => SizeHint::with_exact(*left),
            ResponseBody::Stream(_, None) => SizeHint::default(),
        }
    }
}
