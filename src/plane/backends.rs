//! Connection pool for backends, and attempts on its connections. No pipelining: a connection carries one
//! request at a time.

use super::body::{BodyError, BodySender, MemoryReservation, Upload, MAX_BUFFERED_BYTES};
use super::driver::BackendProtocol;
use super::exchange::{AttemptFailure, Exchange, ExchangeEvent, IdleConnection, Stage};
use super::http::{Head, Reader};
use super::idle_limit::IdleLimit;
use crate::{BackendId, CallResult};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::future::Future;
use std::hash::{Hash, Hasher};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Maximum time between two reads of a streamed response body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for one write to a backend or client. Long, as a slow reader frees its socket buffers in
/// large steps.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// A response of unknown length is streamed if it takes longer than this to receive.
const BUFFERING_TIME: Duration = Duration::from_millis(100);

/// Maximum number of responses to other requests that are skipped before an attempt's own.
const MAX_UNEXPECTED_RESPONSES: usize = 2;

/// A byte stream to a backend or from a client.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {
    /// True if it is open and no data is pending to be read.
    fn is_idle(&self) -> bool;
    /// Disables the delay of small writes (Nagle's algorithm).
    fn disable_nagle(&self) -> io::Result<()>;
}

impl Stream for TcpStream {
    fn is_idle(&self) -> bool {
        self.try_read(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    fn disable_nagle(&self) -> io::Result<()> {
        self.set_nodelay(true)
    }
}

/// A byte stream to a backend.
pub type BoxedStream = Box<dyn Stream>;

/// Opens a connection to an address.
pub type Dial = Box<dyn Fn(SocketAddr) -> Pin<Box<dyn Future<Output = io::Result<BoxedStream>>>>>;

async fn dial(addr: SocketAddr) -> io::Result<BoxedStream> {
    Ok(Box::new(TcpStream::connect(addr).await?))
}

/// Source of an attempt's request, and receiver of its progress.
pub trait Attempt {
    /// The request, without the streamed body.
    fn request_bytes(&self, deadline: Instant) -> Vec<u8>;
    /// Takes the streamed body, if any, and whether it is sent with chunked encoding. It can be sent only
    /// once.
    fn take_body(&self) -> Option<(Upload, bool)>;
    /// The streamed body could not be received from the client.
    fn body_failed(&self, error: BodyError);
    /// The streamed body was written. Returns the attempt's new deadline.
    fn body_written(&self) -> Instant;
    /// The whole request was written.
    fn request_written(&self);
    /// The head of a streamed response was received. Returns the sender for its body, or none if the client
    /// is gone.
    fn response_started(&self, head: &Head) -> Option<BodySender>;
    /// Reserves memory for a response body of this length, if known.
    fn reserve_memory(&self, length: Option<u64>) -> impl Future<Output = MemoryReservation>;
    /// The protocol spoken with the backend.
    fn protocol(&self) -> &dyn BackendProtocol;
    /// The id by which a response names its request; empty if the protocol has none.
    fn correlation_id(&self) -> &[u8];
    /// Whether it is a HEAD request, whose response has no body.
    fn is_head(&self) -> bool;
}

/// A response that was received completely.
pub struct AttemptResponse {
    /// The head.
    pub head: Head,
    /// The body and its memory reservation; none if it was streamed.
    pub body: Option<(Bytes, MemoryReservation)>,
    /// Time from the end of the request to the first body bytes if streamed, otherwise to the last ones.
    pub took: Duration,
}

/// Why receiving a response stopped before its end.
enum ReceiveError {
    /// The connection failed or the attempt timed out.
    Failed(AttemptFailure),
    /// The client does not receive the response any more.
    ClientGone,
}

impl From<io::Error> for ReceiveError {
    fn from(_: io::Error) -> Self {
        ReceiveError::Failed(AttemptFailure::ConnectionBroken)
    }
}

impl From<tokio::time::error::Elapsed> for ReceiveError {
    fn from(_: tokio::time::error::Elapsed) -> Self {
        ReceiveError::Failed(AttemptFailure::TimedOut)
    }
}

/// Writes a request, or its part before a streamed body.
async fn write_request(
    connection: &mut Connection, exchange: &mut Exchange, bytes: &[u8], deadline: Instant,
) -> Result<(), AttemptFailure> {
    let mut written = 0;
    while written < bytes.len() {
        match timeout_at(deadline, connection.reader.io.write(&bytes[written..])).await {
            Ok(Ok(count)) if count > 0 => written += count,
            failed => {
                let head_complete =
                    bytes.windows(4).position(|end| end == b"\r\n\r\n").is_some_and(|at| at + 4 <= written);
                if written > 0 {
                    exchange.apply(ExchangeEvent::Wrote { head_complete, request_complete: false });
                }
                return Err(if failed.is_err() {
                    AttemptFailure::TimedOut
                } else {
                    AttemptFailure::ConnectionBroken
                });
            }
        }
    }
    Ok(())
}

/// Result of sending a streamed body.
enum UploadResult {
    Complete,
    /// The backend responded, or closed the connection, before the end of the body.
    EarlyResponse,
    BackendFailed,
    ClientFailed(BodyError),
}

/// Forwards a streamed body from the client to the backend.
async fn upload_rest(
    connection: &mut Connection, exchange: &mut Exchange, mut upload: Upload, chunked: bool,
) -> UploadResult {
    let mut remaining = upload.remaining().filter(|_| !chunked);
    // A body of known length is complete with its last byte, even if its end has not been read yet.
    while remaining != Some(0) {
        let chunk = tokio::select! {
            biased;
            chunk = upload.next_bytes() => chunk,
            // A response, an error or a closed connection: the backend reads no more.
            _ = connection.reader.peek_head() => {
                tokio::task::spawn_local(upload.drain());
                return UploadResult::EarlyResponse;
            }
        };
        let chunk = match chunk {
            Ok(chunk) => chunk,
            Err(error) => return UploadResult::ClientFailed(error),
        };
        let last = chunk.is_none();
        let bytes = match chunk {
            Some(chunk) if !chunked => chunk,
            Some(chunk) if chunk.is_empty() => continue,
            Some(chunk) => [format!("{:x}\r\n", chunk.len()).as_bytes(), &chunk, b"\r\n"].concat().into(),
            None if chunked => Bytes::from_static(b"0\r\n\r\n"),
            None => Bytes::new(),
        };
        let start = Instant::now();
        if !matches!(
            timeout_at(start + WRITE_TIMEOUT, connection.reader.io.write_all(&bytes)).await,
            Ok(Ok(()))
        ) {
            tokio::task::spawn_local(upload.drain());
            return UploadResult::BackendFailed;
        }
        upload.exclude_wait(start.elapsed());
        remaining = remaining.map(|remaining| remaining.saturating_sub(bytes.len() as u64));
        if last {
            break;
        }
    }
    exchange.apply(ExchangeEvent::Wrote { head_complete: true, request_complete: true });
    UploadResult::Complete
}

/// Handles a response that arrives before the whole body was sent.
async fn receive_early_response(
    connection: &mut Connection, exchange: &mut Exchange, attempt: &impl Attempt, deadline: Instant,
) -> (CallResult, Option<AttemptResponse>) {
    let may_start_early = attempt.protocol().may_start_early();
    let failure = exchange.classify_failure(AttemptFailure::ConnectionBroken, may_start_early);
    let Ok(head) = connection.reader.peek_head().await.cloned() else { return (failure, None) };
    if !attempt.protocol().matches_request(&head, attempt.correlation_id()) {
        return (failure, None);
    }
    exchange.apply(ExchangeEvent::ResponseHead { keep_alive: false });
    match attempt.protocol().classify_response(&head) {
        _ if head.not_run => (CallResult::Rejected, None),
        // Backends that wait for the whole body have not executed anything.
        _ if !may_start_early => (CallResult::ConnectFailed, None),
        CallResult::Rejected => (CallResult::Rejected, None),
        // A success without the whole body can't be trusted.
        CallResult::Ok => (CallResult::Reset, None),
        result => match timeout_at(deadline, connection.reader.read_body(MAX_BUFFERED_BYTES)).await {
            Ok(Ok(Some(body))) => {
                (result, Some(AttemptResponse { head, body: Some((body, None)), took: Duration::ZERO }))
            }
            _ => (CallResult::Reset, None),
        },
    }
}

/// Receives a response: buffers it if it is small, otherwise streams it to the client.
async fn receive(
    reader: &mut Reader<BoxedStream>, exchange: &mut Exchange, attempt: &impl Attempt, deadline: Instant,
    written: Instant,
) -> Result<AttemptResponse, ReceiveError> {
    let mut unexpected = 0;
    reader.expect_no_body(attempt.is_head());
    let (success, length) = loop {
        let head = timeout_at(deadline, reader.peek_head()).await??;
        if attempt.protocol().matches_request(head, attempt.correlation_id()) {
            exchange.apply(ExchangeEvent::ResponseHead { keep_alive: head.keep_alive });
            break (attempt.protocol().classify_response(head) == CallResult::Ok, head.length);
        }
        // A response to another request is read to its end and dropped. Not for HEAD requests: whether the
        // unexpected response has a body can't be determined.
        exchange.apply(ExchangeEvent::UnexpectedResponse);
        unexpected += 1;
        if unexpected > MAX_UNEXPECTED_RESPONSES || attempt.is_head() {
            return Err(ReceiveError::Failed(AttemptFailure::ConnectionBroken));
        }
        timeout_at(deadline, reader.read_body(MAX_BUFFERED_BYTES))
            .await??
            .ok_or(ReceiveError::Failed(AttemptFailure::ConnectionBroken))?;
        reader.take_head()?;
    };
    let memory = timeout_at(deadline, attempt.reserve_memory(length)).await?;
    let buffer_until = match (success, length) {
        (true, Some(length)) if length > MAX_BUFFERED_BYTES as u64 => Instant::now(),
        (true, None) => deadline.min(Instant::now() + BUFFERING_TIME),
        _ => deadline,
    };
    let may_stream = buffer_until < deadline;
    let first = if may_stream && length.is_some() {
        // The deadline applies to the first bytes of a streamed body.
        timeout_at(deadline, reader.next_bytes())
            .await??
            .ok_or(ReceiveError::Failed(AttemptFailure::ConnectionBroken))?
    } else {
        match timeout_at(buffer_until, reader.read_body(MAX_BUFFERED_BYTES)).await {
            Ok(Ok(Some(body))) => {
                exchange
                    .apply(ExchangeEvent::ResponseComplete { trailing_bytes: reader.has_buffered_bytes() });
                let head = reader.take_head()?;
                return Ok(AttemptResponse { head, body: Some((body, memory)), took: written.elapsed() });
            }
            Ok(Ok(None)) if success => reader.take_partial_body(),
            Err(_) if may_stream => match reader.take_partial_body() {
                received if !received.is_empty() => received,
                _ => timeout_at(deadline, reader.next_bytes()).await??.unwrap_or_default(),
            },
            Ok(_) => return Err(ReceiveError::Failed(AttemptFailure::ConnectionBroken)),
            Err(_) => return Err(ReceiveError::Failed(AttemptFailure::TimedOut)),
        }
    };
    let took = written.elapsed();
    let head = reader.take_head()?;
    let Some(sender) = attempt.response_started(&head) else { return Err(ReceiveError::ClientGone) };
    let mut chunk = Some(first).filter(|first| !first.is_empty());
    loop {
        if let Some(chunk) = chunk.take() {
            match timeout_at(Instant::now() + WRITE_TIMEOUT, sender.send(Ok(chunk))).await {
                Ok(Ok(())) => {}
                _ => return Err(ReceiveError::ClientGone),
            }
        }
        let next = tokio::select! {
            next = timeout_at(Instant::now() + BODY_READ_TIMEOUT, reader.next_bytes()) => next,
            () = sender.closed() => return Err(ReceiveError::ClientGone),
        };
        match next {
            Ok(Ok(Some(next))) => chunk = Some(next),
            Ok(Ok(None)) => break,
            _ => {
                // Makes the client's connection fail, so that it does not take the body for complete.
                let truncated = io::Error::from(ErrorKind::UnexpectedEof);
                let _ = timeout_at(Instant::now() + WRITE_TIMEOUT, sender.send(Err(truncated))).await;
                return Err(ReceiveError::Failed(AttemptFailure::ConnectionBroken));
            }
        }
    }
    drop(memory);
    exchange.apply(ExchangeEvent::ResponseComplete { trailing_bytes: reader.has_buffered_bytes() });
    Ok(AttemptResponse { head, body: None, took })
}

/// Counts an open connection until it is dropped.
struct OpenCount(Rc<Cell<usize>>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Connection {
    reader: Reader<BoxedStream>,
    last_used: Instant,
    addr: SocketAddr,
    /// Hash of the last request's correlation id, 0 if it had none.
    last_correlation: u64,
    _open_count: OpenCount,
}

/// Hash of a correlation id, 0 if it is empty; idle connections store it instead of the id.
fn correlation_hash(correlation_id: &[u8]) -> u64 {
    if correlation_id.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    correlation_id.hash(&mut hasher);
    hasher.finish().max(1)
}

impl Connection {
    /// Its state as an idle connection. The check guards against writing to a connection that the backend has
    /// closed: the request would end as a reset, which can't be retried safely.
    fn idle(&self, limit: Duration, addr: SocketAddr, correlation: u64) -> IdleConnection {
        IdleConnection {
            data_pending: self.reader.has_buffered_bytes() || !self.reader.io.is_idle(),
            idle_for: self.last_used.elapsed(),
            limit,
            address_changed: self.addr != addr,
            same_correlation_id: correlation != 0 && correlation == self.last_correlation,
        }
    }
}

/// The connection pool for all backends.
pub struct Backends {
    /// Idle connections by backend, the one used last at the end.
    idle: RefCell<HashMap<BackendId, Vec<Connection>>>,
    open: Rc<Cell<usize>>,
    max_connections: Cell<usize>,
    connect_timeout: Cell<Duration>,
    idle_limit: IdleLimit,
    dial: Dial,
}

impl Backends {
    /// A pool of at most `max_connections`, each opened within `connect_ms`. A connection is not reused after
    /// half of `idle_ms`, or after the learned idle limit if that is lower, as its backend may be closing it.
    pub fn new(max_connections: usize, connect_ms: f64, idle_ms: f64) -> Self {
        Self::with_dial(Box::new(|addr| Box::pin(dial(addr))), max_connections, connect_ms, idle_ms)
    }

    /// A pool whose connections are opened by `dial`.
    pub fn with_dial(dial: Dial, max_connections: usize, connect_ms: f64, idle_ms: f64) -> Self {
        Backends {
            dial,
            idle: RefCell::default(),
            open: Rc::default(),
            max_connections: Cell::new(max_connections),
            connect_timeout: Cell::new(Duration::from_secs_f64(connect_ms / 1000.0)),
            idle_limit: IdleLimit::new(Duration::from_secs_f64(idle_ms / 2000.0)),
        }
    }

    /// Number of open connections, including those being opened.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Changes the maximum. Excess idle connections are closed now, those in use after their request.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        for _ in max_connections..self.open.get() {
            self.close_oldest();
        }
    }

    /// Changes the connect and idle timeouts.
    pub fn set_timeouts(&self, connect_ms: f64, idle_ms: f64) {
        self.connect_timeout.set(Duration::from_secs_f64(connect_ms / 1000.0));
        self.idle_limit.set_max(Duration::from_secs_f64(idle_ms / 2000.0));
    }

    /// Sends one request and receives its response. The connection is closed before this returns unless it
    /// may be reused; dropping the future closes it too.
    pub async fn attempt(
        &self, backend: BackendId, addr: SocketAddr, attempt: &impl Attempt, deadline: Instant,
    ) -> (CallResult, Option<AttemptResponse>) {
        let correlation = correlation_hash(attempt.correlation_id());
        let reused = self.reuse(backend, addr, correlation, attempt.protocol());
        let idle = reused.as_ref().map_or(Duration::ZERO, |connection| connection.last_used.elapsed());
        let mut exchange = Exchange::new(reused.is_some());
        let connection = match reused {
            Some(connection) => Some(connection),
            None => self.connect(addr, deadline).await,
        };
        let Some(mut connection) = connection else { return (CallResult::ConnectFailed, None) };
        let (protocol, mut deadline) = (attempt.protocol(), deadline);
        let message = attempt.request_bytes(deadline);
        if let Err(failure) = write_request(&mut connection, &mut exchange, &message, deadline).await {
            return (protocol.classify_failure(&exchange, failure), None);
        }
        let upload = attempt.take_body();
        exchange.apply(ExchangeEvent::Wrote { head_complete: true, request_complete: upload.is_none() });
        if let Some((upload, chunked)) = upload {
            match upload_rest(&mut connection, &mut exchange, upload, chunked).await {
                UploadResult::Complete => {}
                UploadResult::EarlyResponse => {
                    return receive_early_response(&mut connection, &mut exchange, attempt, deadline).await;
                }
                UploadResult::BackendFailed => {
                    return (protocol.classify_failure(&exchange, AttemptFailure::ConnectionBroken), None)
                }
                UploadResult::ClientFailed(error) => {
                    attempt.body_failed(error);
                    return (CallResult::Cancelled, None);
                }
            }
            deadline = attempt.body_written();
        }
        attempt.request_written();
        let written = Instant::now();
        let received = receive(&mut connection.reader, &mut exchange, attempt, deadline, written).await;
        let unanswered = exchange.stage() == Stage::Written && !connection.reader.has_buffered_bytes();
        self.idle_limit.record_use(
            idle,
            unanswered && matches!(received, Err(ReceiveError::Failed(AttemptFailure::ConnectionBroken))),
        );
        let response = match received {
            Ok(response) => response,
            Err(ReceiveError::ClientGone) => return (CallResult::Cancelled, None),
            Err(ReceiveError::Failed(failure)) => {
                return (protocol.classify_failure(&exchange, failure), None)
            }
        };
        if protocol.may_reuse(&exchange) && self.open.get() <= self.max_connections.get() {
            (connection.last_used, connection.last_correlation) = (Instant::now(), correlation);
            self.idle.borrow_mut().entry(backend).or_default().push(connection);
        }
        (protocol.classify_response(&response.head), Some(response))
    }

    /// Takes the most recently used idle connection that may be reused and closes those that may not.
    fn reuse(
        &self, backend: BackendId, addr: SocketAddr, correlation: u64, protocol: &dyn BackendProtocol,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&backend)?;
        let limit = self.idle_limit.get();
        while let Some(connection) = connections.pop() {
            if protocol.may_reuse_idle(&connection.idle(limit, addr, correlation)) {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self, addr: SocketAddr, deadline: Instant) -> Option<Connection> {
        if self.open.get() >= self.max_connections.get() {
            self.close_oldest();
        }
        if self.open.get() >= self.max_connections.get() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        let open_count = OpenCount(self.open.clone());
        // A host that is down does not refuse a connection, so the connect timeout applies.
        let deadline = deadline.min(Instant::now() + self.connect_timeout.get());
        let stream = timeout_at(deadline, (self.dial)(addr)).await.ok()?.ok()?;
        // Only an optimization: a failure is ignored.
        let _ = stream.disable_nagle();
        Some(Connection {
            reader: Reader::new(stream),
            last_used: Instant::now(),
            addr,
            last_correlation: 0,
            _open_count: open_count,
        })
    }

    /// Closes the idle connection that was used least recently.
    fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].last_used);
        if let Some(connections) = oldest {
            connections.remove(0);
        }
    }

    /// The connect timeout.
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout.get()
    }

    /// Closes connections that have been idle for too long or have pending data.
    pub fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        let limit = self.idle_limit.get();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.idle(limit, connection.addr, 0).is_reusable());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, backend: BackendId) {
        self.idle.borrow_mut().remove(&backend);
    }
}
