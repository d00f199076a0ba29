//! Requests that a client sends behind another one before that one's answer is there: they are read ahead and begun at
//! once, and the HTTP library reads them and writes their answers in order.
//!
//! The library reads a connection through [`Front`], which hands it one request at a time and keeps what follows. Of what
//! it keeps, whole requests without a body are told to whoever serves the connection, in order. Where one request ends
//! and the next begins is found in [`Splitter`], which knows no socket. What it can't tell for sure it hands on as it
//! is, and tells nothing ahead from there on.

use bytes::{Buf, BytesMut};
use cherrytally::plane::http::has_bare_lf;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// What is kept of a connection at most; its client waits with the rest.
const KEPT_MOST: usize = 16 * 1024;
/// Requests begun ahead at most, on one connection.
const AHEAD_MOST: usize = 8;
/// Header lines of one request at most, as the HTTP library has it.
const HEADERS: usize = 100;
/// Read at once.
const READ: usize = 4 * 1024;

/// Where in the client's bytes the splitter stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// In the head of the request whose turn it is.
    Head,
    /// So many bytes of it may be handed on, its body included.
    Open(u64),
    /// All of it is handed on; what follows waits until it is answered.
    Answering,
    /// Where requests end is not known: all is handed on as it comes.
    Through,
}

/// How a request's head ends and what follows it.
enum Framed {
    /// More is needed.
    Partly,
    /// The head's length, the whole request's, and the request if it has no body.
    Whole(usize, u64, Option<Box<Parts>>),
    /// Its end can't be told.
    Unsure,
}

/// Finds the requests in what a client sends.
pub struct Splitter {
    kept: BytesMut,
    part: Part,
    /// Lengths of the requests that were told ahead, in order.
    told: VecDeque<usize>,
    /// Nothing more is told ahead before the next turn.
    blocked: bool,
}

impl Default for Splitter {
    fn default() -> Self {
        Splitter { kept: BytesMut::new(), part: Part::Head, told: VecDeque::new(), blocked: false }
    }
}

impl Splitter {
    /// More bytes came. Returns the requests behind the one whose turn it is that are whole now.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Parts> {
        self.kept.extend_from_slice(bytes);
        self.look()
    }

    /// Bytes that may be handed on now are at the front; so many.
    pub fn open(&mut self) -> usize {
        if self.part == Part::Head {
            self.part = match framed(&self.kept) {
                Framed::Whole(_, whole, _) => Part::Open(whole),
                Framed::Partly if self.kept.len() < KEPT_MOST => Part::Head,
                Framed::Partly | Framed::Unsure => Part::Through,
            };
        }
        match self.part {
            Part::Head | Part::Answering => 0,
            Part::Open(left) => left.min(self.kept.len() as u64) as usize,
            Part::Through => self.kept.len(),
        }
    }

    /// Takes bytes that were handed on, and returns the requests that are told ahead by that.
    pub fn hand(&mut self, to: &mut ReadBuf) -> Vec<Parts> {
        let bytes = self.open().min(to.remaining());
        to.put_slice(&self.kept[..bytes]);
        self.kept.advance(bytes);
        if let Part::Open(left) = self.part {
            let left = left - bytes as u64;
            self.part = if left == 0 { Part::Answering } else { Part::Open(left) };
        }
        self.look()
    }

    /// The request whose turn it was is answered. True if the next one was told ahead.
    pub fn turn(&mut self) -> bool {
        if self.part != Part::Answering {
            // Answered before all of it came: what follows is the rest of its body, not a request.
            self.part = Part::Through;
            return false;
        }
        self.blocked = false;
        match self.told.pop_front() {
            Some(length) => {
                self.part = Part::Open(length as u64);
                true
            }
            None => {
                self.part = Part::Head;
                false
            }
        }
    }

    /// Whether no more is to be read before some is handed on.
    pub fn full(&self) -> bool {
        self.kept.len() >= KEPT_MOST && self.part != Part::Through
    }

    /// Whether something is kept until the request whose turn it is has its answer.
    pub fn waits(&self) -> bool {
        self.part == Part::Answering && !self.kept.is_empty()
    }

    /// Looks for whole requests behind the one whose turn it is.
    fn look(&mut self) -> Vec<Parts> {
        let mut found = Vec::new();
        while self.part == Part::Answering && !self.blocked && self.told.len() < AHEAD_MOST {
            let from = self.told.iter().sum::<usize>();
            match framed(&self.kept[from..]) {
                Framed::Whole(head, whole, Some(parts)) if whole == head as u64 => {
                    self.told.push_back(head);
                    found.push(*parts);
                }
                Framed::Partly => break,
                // One with a body, or whose end is not sure, waits for its turn.
                Framed::Whole(..) | Framed::Unsure => self.blocked = true,
            }
        }
        found
    }
}

/// Reads the head at the front of these bytes.
fn framed(bytes: &[u8]) -> Framed {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Framed::Partly,
        Err(_) => return Framed::Unsure,
    };
    // An empty line before a request is usual; a line's end that not everyone takes for one is not.
    if has_bare_lf(bytes[..head].strip_prefix(b"\r\n").unwrap_or(&bytes[..head])) {
        return Framed::Unsure;
    }
    // The library ends the connection after an old client's request, and makes a tunnel of what follows CONNECT.
    if request.version != Some(1) || request.method == Some("CONNECT") {
        return Framed::Unsure;
    }
    let mut length = None;
    for header in request.headers.iter() {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        let closes = |value: &[u8]| String::from_utf8_lossy(value).to_ascii_lowercase().contains("close");
        // What stands behind a last request is none.
        if is("connection") && closes(header.value) {
            return Framed::Unsure;
        }
        // Chunks are the library's to read, and after a change of protocol there is no next request.
        if is("transfer-encoding") || is("upgrade") || is("expect") {
            return Framed::Unsure;
        }
        if is("content-length") {
            let text =
                std::str::from_utf8(header.value).ok().filter(|text| length.is_none() && !text.is_empty());
            let digits = text.filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
            match digits.and_then(|text| text.parse::<u64>().ok()) {
                Some(value) => length = Some(value),
                None => return Framed::Unsure,
            }
        }
    }
    let Some(whole) = (head as u64).checked_add(length.unwrap_or(0)) else { return Framed::Unsure };
    if length.is_some() {
        return Framed::Whole(head, whole, None);
    }
    match parts(&request) {
        Some(parts) => Framed::Whole(head, whole, Some(Box::new(parts))),
        None => Framed::Unsure,
    }
}

/// The request as the library reads it.
fn parts(request: &httparse::Request) -> Option<Parts> {
    let method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    // What names more or less than a path goes to no route here.
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

/// The answer to a request that was begun. Dropped, it ends the request.
pub struct Begun<R>(JoinHandle<R>);

impl<R> Begun<R> {
    /// The answer comes of this task.
    pub fn new(task: JoinHandle<R>) -> Self {
        Begun(task)
    }

    /// Waits for the answer; none if its task ended without.
    pub async fn answer(mut self) -> Option<R> {
        (&mut self.0).await.ok()
    }
}

impl<R> Drop for Begun<R> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A request that was told ahead, and its answer if it was begun.
struct Early<R> {
    parts: Parts,
    begun: Option<Begun<R>>,
}

/// What a connection's reading side and its service share.
pub struct Ahead<R> {
    splitter: RefCell<Splitter>,
    early: RefCell<VecDeque<Early<R>>>,
    /// The request whose turn it is was told ahead.
    told: Cell<bool>,
    reading: RefCell<Option<Waker>>,
    emptied: Notify,
}

impl<R: 'static> Ahead<R> {
    /// Nothing is read yet.
    pub fn new() -> Rc<Self> {
        Rc::new(Ahead {
            splitter: RefCell::default(),
            early: RefCell::default(),
            told: Cell::new(false),
            reading: RefCell::default(),
            emptied: Notify::new(),
        })
    }

    /// The library hands over a request: its answer, if it was begun ahead.
    pub fn take(&self, parts: &Parts) -> Option<Begun<R>> {
        if !self.told.replace(false) {
            return None;
        }
        let Early { parts: of, begun } = self.early.borrow_mut().pop_front()?;
        // What was read ahead is what the library reads, or it is ended here.
        let same = (&of.method, &of.uri, &of.headers) == (&parts.method, &parts.uri, &parts.headers);
        begun.filter(|_| same)
    }

    /// Whether requests are begun that were not taken yet: their connection must not be closed.
    pub fn begun(&self) -> bool {
        self.early.borrow().iter().any(|early| early.begun.is_some())
    }

    /// Waits until none is.
    pub async fn emptied(&self) {
        while self.begun() {
            self.emptied.notified().await;
        }
    }

    /// The request whose turn it was is answered.
    pub fn answered(&self) {
        self.told.set(self.splitter.borrow_mut().turn());
        if let Some(waker) = self.reading.take() {
            waker.wake();
        }
        if !self.begun() {
            self.emptied.notify_waiters();
        }
    }
}

/// A client's connection as the HTTP library reads and writes it.
pub struct Front<I, R, B> {
    io: I,
    ahead: Rc<Ahead<R>>,
    /// Begins a request, or does not.
    begin: B,
    /// The client sends no more.
    ended: bool,
}

impl<I, R: 'static, B: Fn(&Parts) -> Option<Begun<R>>> Front<I, R, B> {
    /// A connection; `begin` is told of each request behind another one.
    pub fn new(io: I, ahead: Rc<Ahead<R>>, begin: B) -> Self {
        Front { io, ahead, begin, ended: false }
    }

    fn tell(&self, found: Vec<Parts>) {
        for parts in found {
            let begun = (self.begin)(&parts);
            self.ahead.early.borrow_mut().push_back(Early { parts, begun });
        }
    }
}

impl<I: AsyncRead + Unpin, R: 'static, B: Fn(&Parts) -> Option<Begun<R>> + Unpin> AsyncRead
    for Front<I, R, B>
{
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.ahead.splitter.borrow_mut().open() > 0 {
                let found = self.ahead.splitter.borrow_mut().hand(buf);
                self.tell(found);
                return Poll::Ready(Ok(()));
            }
            let (waits, full) = {
                let splitter = self.ahead.splitter.borrow();
                (splitter.waits(), splitter.full())
            };
            // What is kept has its turn before the end.
            if self.ended && !waits {
                return Poll::Ready(Ok(()));
            }
            *self.ahead.reading.borrow_mut() = Some(cx.waker().clone());
            if self.ended || full {
                return Poll::Pending;
            }
            let mut room = [0; READ];
            let mut read = ReadBuf::new(&mut room);
            ready!(Pin::new(&mut self.io).poll_read(cx, &mut read))?;
            self.ended = read.filled().is_empty();
            let found = self.ahead.splitter.borrow_mut().feed(read.filled());
            self.tell(found);
        }
    }
}

impl<I: AsyncWrite + Unpin, R, B: Unpin> AsyncWrite for Front<I, R, B> {
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
