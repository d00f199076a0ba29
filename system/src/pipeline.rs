//! HTTP/1.1 pipelining: starts requests that a client sends before the response to an earlier one is
//! complete.
//!
//! The HTTP library reads a connection through [`PipelinedStream`], which passes one request at a time and
//! buffers what follows. Complete requests without a body in the buffer are started in order; the library
//! still reads each request and writes the responses in order. [`Splitter`] finds the request boundaries
//! without doing I/O. Where it cannot determine a boundary, it passes all later bytes through unchanged and
//! starts no more requests.

use bytes::{Buf, BytesMut};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri};
use oakfall::plane::http::has_ambiguous_line_ends;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Maximum bytes buffered per connection; reading pauses beyond it.
const MAX_BUFFERED_BYTES: usize = 16 * 1024;
/// Maximum requests of one connection that are found behind the current one.
const MAX_PIPELINED: usize = 8;
/// Maximum header fields per request; the same limit as in the HTTP library.
const MAX_HEADERS: usize = 100;
/// Size of one read from the socket.
const READ_BYTES: usize = 4 * 1024;

/// Position of the splitter relative to the current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The head of the current request is incomplete.
    Head,
    /// This many bytes of the current request, including its body, may still be passed on.
    Forwarding(u64),
    /// The current request is passed on; later bytes wait until its response is complete.
    AwaitingResponse,
    /// Request boundaries are unknown: all bytes are passed on as they arrive.
    PassThrough,
}

/// Result of parsing a request head.
enum HeadParse {
    /// More bytes are needed.
    Incomplete,
    /// Length of the head, length of the whole request, and the request if it has no body.
    Complete(usize, u64, Option<Box<Parts>>),
    /// The end of the request cannot be determined.
    Unknown,
}

/// Splits a client's byte stream into requests.
pub struct Splitter {
    buffer: BytesMut,
    state: State,
    /// Lengths of the requests found behind the current one, in order.
    pipelined: VecDeque<usize>,
    /// No more requests are looked for until the current response is complete.
    lookahead_blocked: bool,
}

impl Default for Splitter {
    fn default() -> Self {
        Splitter {
            buffer: BytesMut::new(),
            state: State::Head,
            pipelined: VecDeque::new(),
            lookahead_blocked: false,
        }
    }
}

impl Splitter {
    /// Adds received bytes; returns the pipelined requests that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Parts> {
        self.buffer.extend_from_slice(bytes);
        self.find_pipelined()
    }

    /// Number of buffered bytes that may be passed on now.
    pub fn readable(&mut self) -> usize {
        if self.state == State::Head {
            self.state = match parse_head(&self.buffer) {
                HeadParse::Complete(_, total, _) => State::Forwarding(total),
                HeadParse::Incomplete if self.buffer.len() < MAX_BUFFERED_BYTES => State::Head,
                HeadParse::Incomplete | HeadParse::Unknown => State::PassThrough,
            };
        }
        match self.state {
            State::Head | State::AwaitingResponse => 0,
            State::Forwarding(left) => left.min(self.buffer.len() as u64) as usize,
            State::PassThrough => self.buffer.len(),
        }
    }

    /// Moves readable bytes into `to`; returns the pipelined requests found afterwards.
    pub fn read_into(&mut self, to: &mut ReadBuf) -> Vec<Parts> {
        let bytes = self.readable().min(to.remaining());
        to.put_slice(&self.buffer[..bytes]);
        self.buffer.advance(bytes);
        if let State::Forwarding(left) = self.state {
            let left = left - bytes as u64;
            self.state = if left == 0 { State::AwaitingResponse } else { State::Forwarding(left) };
        }
        self.find_pipelined()
    }

    /// Advances to the next request after a response; true if that request was already found.
    pub fn response_done(&mut self) -> bool {
        if self.state != State::AwaitingResponse {
            // The response came before the end of the request: what follows is the rest of its body.
            self.state = State::PassThrough;
            return false;
        }
        self.lookahead_blocked = false;
        match self.pipelined.pop_front() {
            Some(length) => {
                self.state = State::Forwarding(length as u64);
                true
            }
            None => {
                self.state = State::Head;
                false
            }
        }
    }

    /// Whether reading must pause until buffered bytes are passed on.
    pub fn full(&self) -> bool {
        self.buffer.len() >= MAX_BUFFERED_BYTES && self.state != State::PassThrough
    }

    /// Whether buffered bytes wait for the current response.
    pub fn has_waiting_bytes(&self) -> bool {
        self.state == State::AwaitingResponse && !self.buffer.is_empty()
    }

    /// Finds complete requests behind the current one.
    fn find_pipelined(&mut self) -> Vec<Parts> {
        let mut found = Vec::new();
        while self.state == State::AwaitingResponse
            && !self.lookahead_blocked
            && self.pipelined.len() < MAX_PIPELINED
        {
            let offset = self.pipelined.iter().sum::<usize>();
            match parse_head(&self.buffer[offset..]) {
                HeadParse::Complete(head, total, Some(parts)) if total == head as u64 => {
                    self.pipelined.push_back(head);
                    found.push(*parts);
                }
                HeadParse::Incomplete => break,
                // Requests with a body or an unknown end wait until they are the current one.
                HeadParse::Complete(..) | HeadParse::Unknown => self.lookahead_blocked = true,
            }
        }
        found
    }
}

/// Parses the request head at the start of `bytes`.
fn parse_head(bytes: &[u8]) -> HeadParse {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return HeadParse::Incomplete,
        Err(_) => return HeadParse::Unknown,
    };
    // One CRLF before a request is allowed. More of them, or a bare LF, are not: parsers disagree on both.
    if has_ambiguous_line_ends(bytes[..head].strip_prefix(b"\r\n").unwrap_or(&bytes[..head])) {
        return HeadParse::Unknown;
    }
    // The library closes the connection after an HTTP/1.0 request and tunnels what follows CONNECT.
    if request.version != Some(1) || request.method == Some("CONNECT") {
        return HeadParse::Unknown;
    }
    let mut length = None;
    for header in request.headers.iter() {
        let is_field = |name: &str| header.name.eq_ignore_ascii_case(name);
        let contains_close =
            |value: &[u8]| String::from_utf8_lossy(value).to_ascii_lowercase().contains("close");
        // Bytes after a request with `connection: close` are not a request.
        if is_field("connection") && contains_close(header.value) {
            return HeadParse::Unknown;
        }
        // The end of a chunked body is unknown here, no request follows a protocol upgrade, and after
        // `expect` the client may omit the body.
        if is_field("transfer-encoding") || is_field("upgrade") || is_field("expect") {
            return HeadParse::Unknown;
        }
        if is_field("content-length") {
            let text =
                std::str::from_utf8(header.value).ok().filter(|text| length.is_none() && !text.is_empty());
            let digits = text.filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
            match digits.and_then(|text| text.parse::<u64>().ok()) {
                Some(value) => length = Some(value),
                None => return HeadParse::Unknown,
            }
        }
    }
    let Some(total) = (head as u64).checked_add(length.unwrap_or(0)) else { return HeadParse::Unknown };
    if length.is_some() {
        return HeadParse::Complete(head, total, None);
    }
    match parts(&request) {
        Some(parts) => HeadParse::Complete(head, total, Some(Box::new(parts))),
        None => HeadParse::Unknown,
    }
}

/// Converts a parsed request to the types of the HTTP library.
fn parts(request: &httparse::Request) -> Option<Parts> {
    let method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    // Only origin-form targets match a route.
    request.path.filter(|path| path.starts_with('/'))?;
    let mut parts = Request::new(()).into_parts().0;
    (parts.method, parts.uri) = (method, request.path?.parse::<Uri>().ok()?);
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for header in request.headers.iter() {
        let name = hyper::header::HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, hyper::header::HeaderValue::from_bytes(header.value).ok()?);
    }
    parts.headers = headers;
    Some(parts)
}

/// Response of a started request. Dropping it cancels the request.
pub struct PendingResponse<R>(JoinHandle<R>);

impl<R> PendingResponse<R> {
    /// Wraps the task that produces the response.
    pub fn new(task: JoinHandle<R>) -> Self {
        PendingResponse(task)
    }

    /// Waits for the response; `None` if the task failed.
    pub async fn response(mut self) -> Option<R> {
        (&mut self.0).await.ok()
    }
}

impl<R> Drop for PendingResponse<R> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A request found behind the current one, with its response if it was started.
struct PipelinedRequest<R> {
    parts: Parts,
    response: Option<PendingResponse<R>>,
}

/// State shared by a connection's read side and its service.
pub struct Pipeline<R> {
    splitter: RefCell<Splitter>,
    requests: RefCell<VecDeque<PipelinedRequest<R>>>,
    /// The current request is the first in `requests`.
    current_is_pipelined: Cell<bool>,
    read_waker: RefCell<Option<Waker>>,
    drained: Notify,
}

impl<R: 'static> Pipeline<R> {
    /// State of a new connection.
    pub fn new() -> Rc<Self> {
        Rc::new(Pipeline {
            splitter: RefCell::default(),
            requests: RefCell::default(),
            current_is_pipelined: Cell::new(false),
            read_waker: RefCell::default(),
            drained: Notify::new(),
        })
    }

    /// Returns the response of the request that the library has read, if it was started early.
    pub fn take(&self, parts: &Parts) -> Option<PendingResponse<R>> {
        if !self.current_is_pipelined.replace(false) {
            return None;
        }
        let PipelinedRequest { parts: expected, response } = self.requests.borrow_mut().pop_front()?;
        // If the library parsed a different request, the early one is cancelled.
        let same = (&expected.method, &expected.uri, &expected.headers)
            == (&parts.method, &parts.uri, &parts.headers);
        response.filter(|_| same)
    }

    /// Whether some started request is not taken yet; the connection must stay open for its response.
    pub fn has_started(&self) -> bool {
        self.requests.borrow().iter().any(|request| request.response.is_some())
    }

    /// Waits until all started requests are taken.
    pub async fn drained(&self) {
        while self.has_started() {
            self.drained.notified().await;
        }
    }

    /// Advances to the next request after a response.
    pub fn response_done(&self) {
        self.current_is_pipelined.set(self.splitter.borrow_mut().response_done());
        if let Some(waker) = self.read_waker.take() {
            waker.wake();
        }
        if !self.has_started() {
            self.drained.notify_waiters();
        }
    }
}

/// A client's connection that passes one request at a time to the HTTP library.
pub struct PipelinedStream<I, R, B> {
    io: I,
    pipeline: Rc<Pipeline<R>>,
    /// Starts a pipelined request, or returns `None` to leave it for its turn.
    start: B,
    /// The client has closed its write side.
    eof: bool,
}

impl<I, R: 'static, B: Fn(&Parts) -> Option<PendingResponse<R>>> PipelinedStream<I, R, B> {
    /// Wraps a connection; `start` is called for each request found behind the current one.
    pub fn new(io: I, pipeline: Rc<Pipeline<R>>, start: B) -> Self {
        PipelinedStream { io, pipeline, start, eof: false }
    }

    fn start_requests(&self, found: Vec<Parts>) {
        for parts in found {
            let response = (self.start)(&parts);
            self.pipeline.requests.borrow_mut().push_back(PipelinedRequest { parts, response });
        }
    }
}

impl<I: AsyncRead + Unpin, R: 'static, B: Fn(&Parts) -> Option<PendingResponse<R>> + Unpin> AsyncRead
    for PipelinedStream<I, R, B>
{
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.pipeline.splitter.borrow_mut().readable() > 0 {
                let found = self.pipeline.splitter.borrow_mut().read_into(buf);
                self.start_requests(found);
                return Poll::Ready(Ok(()));
            }
            let (waiting, full) = {
                let splitter = self.pipeline.splitter.borrow();
                (splitter.has_waiting_bytes(), splitter.full())
            };
            // Buffered requests are passed on before the end of the stream.
            if self.eof && !waiting {
                return Poll::Ready(Ok(()));
            }
            *self.pipeline.read_waker.borrow_mut() = Some(cx.waker().clone());
            if self.eof || full {
                return Poll::Pending;
            }
            let mut chunk = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut chunk);
            ready!(Pin::new(&mut self.io).poll_read(cx, &mut read))?;
            self.eof = read.filled().is_empty();
            let found = self.pipeline.splitter.borrow_mut().feed(read.filled());
            self.start_requests(found);
        }
    }
}

impl<I: AsyncWrite + Unpin, R, B: Unpin> AsyncWrite for PipelinedStream<I, R, B> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
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
