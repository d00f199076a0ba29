//! Connections to backends, and attempts on them. One connection carries one request at a time.

use super::driver::Speech;
use super::exchange::{End, Exchange, Happened, Idle, Stage};
use super::http::{Head, Reader};
use super::idle::IdleLimit;
use super::room::{Part, Short, StreamTo, Upload, HELD_MOST};
use crate::{BackendId, CallResult as Ended};
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

/// A backend that is silent for so long in the middle of an answer is taken to be gone.
const SILENT: Duration = Duration::from_secs(5);
/// A backend or client that takes nothing for so long holds its connection for nothing. Systems buffer much, and a
/// slow one may be heard of only when a good part of that is read.
const STUCK: Duration = Duration::from_secs(20);
/// An answer of unknown length that takes longer to come is passed on as it comes.
const GATHER: Duration = Duration::from_millis(100);

/// Surplus answers at most before an attempt's own.
const SURPLUS_MOST: usize = 2;

/// A connection, to a backend or from a client.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {
    /// True if it is open and nothing lies on it to be read.
    fn quiet(&self) -> bool;
    /// Has small writes go out at once.
    fn prompt(&self) -> io::Result<()>;
}

impl Stream for TcpStream {
    fn quiet(&self) -> bool {
        self.try_read(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    fn prompt(&self) -> io::Result<()> {
        self.set_nodelay(true)
    }
}

/// A connection to a backend.
pub type Stretch = Box<dyn Stream>;

/// Opens connections.
pub type Dial = Box<dyn Fn(SocketAddr) -> Pin<Box<dyn Future<Output = io::Result<Stretch>>>>>;

async fn dial(addr: SocketAddr) -> io::Result<Stretch> {
    Ok(Box::new(TcpStream::connect(addr).await?))
}

/// What an attempt sends, and who hears how it goes.
pub trait Attempt {
    /// The request, or its beginning.
    fn message(&self, until: Instant) -> Vec<u8>;
    /// The rest of its body, which then can't be sent again, and whether it goes in chunks.
    fn upload(&self) -> Option<(Upload, bool)>;
    /// The rest of the body can't be had.
    fn short(&self, short: Short);
    /// The rest of the body is written. Returns when the attempt times out.
    fn whole(&self) -> Instant;
    /// The last byte is written.
    fn written(&self);
    /// A large answer has begun: where it goes, unless nobody waits for it any more.
    fn begun(&self, head: &Head) -> Option<StreamTo>;
    /// Memory for an answer of that length, where it is known.
    fn room(&self, length: Option<u64>) -> impl std::future::Future<Output = Part>;
    /// What is spoken.
    fn speech(&self) -> &dyn Speech;
    /// How the answer names the request, where it does.
    fn name(&self) -> &[u8];
    /// Its answer has no body: it asks for the head.
    fn bodiless(&self) -> bool;
}

/// An answer that came whole.
pub struct Answered {
    /// Its head.
    pub head: Head,
    /// The body; none if it was passed on as it came.
    pub body: Option<(Bytes, Part)>,
    /// Time to the first bytes of a large answer, to the last one of others.
    pub took: Duration,
}

/// How an attempt ends before its answer is whole.
enum Broke {
    /// By its connection or its time.
    Ends(End),
    /// The client takes no more of it.
    Left,
}

impl From<io::Error> for Broke {
    fn from(_: io::Error) -> Self {
        Broke::Ends(End::Broken)
    }
}

impl From<tokio::time::error::Elapsed> for Broke {
    fn from(_: tokio::time::error::Elapsed) -> Self {
        Broke::Ends(End::Silent)
    }
}

/// Writes a request, or its beginning.
async fn write(line: &mut Line, exchange: &mut Exchange, bytes: &[u8], until: Instant) -> Result<(), End> {
    let mut written = 0;
    while written < bytes.len() {
        match timeout_at(until, line.reader.io.write(&bytes[written..])).await {
            Ok(Ok(more)) if more > 0 => written += more,
            ended => {
                let head =
                    bytes.windows(4).position(|end| end == b"\r\n\r\n").is_some_and(|at| at + 4 <= written);
                if written > 0 {
                    exchange.step(Happened::Wrote { head, all: false });
                }
                return Err(if ended.is_err() { End::Silent } else { End::Broken });
            }
        }
    }
    Ok(())
}

enum Uploaded {
    Whole,
    /// The backend answers before it has the whole body.
    Answered,
    Broken,
    Short(Short),
}

/// Passes on the rest of a body, as fast as both sides go.
async fn upload_rest(
    line: &mut Line, exchange: &mut Exchange, mut upload: Upload, chunked: bool,
) -> Uploaded {
    let mut left = upload.left().filter(|_| !chunked);
    // With its last byte a request is whole, whether or not its end was seen.
    while left != Some(0) {
        let piece = tokio::select! {
            biased;
            piece = upload.piece() => piece,
            // Its end counts as much: nothing more can be written.
            _ = line.reader.peek_head() => {
                tokio::task::spawn_local(upload.drain());
                return Uploaded::Answered;
            }
        };
        let piece = match piece {
            Ok(piece) => piece,
            Err(short) => return Uploaded::Short(short),
        };
        let last = piece.is_none();
        let bytes = match piece {
            Some(piece) if !chunked => piece,
            Some(piece) if piece.is_empty() => continue,
            Some(piece) => [format!("{:x}\r\n", piece.len()).as_bytes(), &piece, b"\r\n"].concat().into(),
            None if chunked => Bytes::from_static(b"0\r\n\r\n"),
            None => Bytes::new(),
        };
        let start = Instant::now();
        if !matches!(timeout_at(start + STUCK, line.reader.io.write_all(&bytes)).await, Ok(Ok(()))) {
            tokio::task::spawn_local(upload.drain());
            return Uploaded::Broken;
        }
        upload.held_up(start.elapsed());
        left = left.map(|left| left.saturating_sub(bytes.len() as u64));
        if last {
            break;
        }
    }
    exchange.step(Happened::Wrote { head: true, all: true });
    Uploaded::Whole
}

/// What a backend says that does not wait for the whole body.
async fn answered_early(
    line: &mut Line, exchange: &mut Exchange, attempt: &impl Attempt, until: Instant,
) -> (Ended, Option<Answered>) {
    let begins_early = attempt.speech().begins_early();
    let broken = exchange.says(End::Broken, begins_early);
    let Ok(head) = line.reader.peek_head().await.cloned() else { return (broken, None) };
    if !attempt.speech().own(&head, attempt.name()) {
        return (broken, None);
    }
    exchange.step(Happened::Own { stays: false });
    match attempt.speech().judge(&head) {
        _ if head.turned_away => (Ended::Rejected, None),
        // With the rest unwritten nothing has run.
        _ if !begins_early => (Ended::ConnectFailed, None),
        Ended::Rejected => (Ended::Rejected, None),
        // A success before the whole body is none that could be vouched for.
        Ended::Ok => (Ended::Reset, None),
        ended => match timeout_at(until, line.reader.held(HELD_MOST)).await {
            Ok(Ok(Some(body))) => {
                (ended, Some(Answered { head, body: Some((body, None)), took: Duration::ZERO }))
            }
            _ => (Ended::Reset, None),
        },
    }
}

/// Takes in an answer: whole if it is small, else passed on as it comes.
async fn receive(
    reader: &mut Reader<Stretch>, exchange: &mut Exchange, attempt: &impl Attempt, until: Instant,
    written: Instant,
) -> Result<Answered, Broke> {
    let mut surplus = 0;
    reader.expect_no_body(attempt.bodiless());
    let (good, length) = loop {
        let head = timeout_at(until, reader.peek_head()).await??;
        if attempt.speech().own(head, attempt.name()) {
            exchange.step(Happened::Own { stays: head.keep });
            break (attempt.speech().judge(head) == Ended::Ok, head.length);
        }
        // Another request's answer, in the place of this one's: it is read to its end and dropped. Whether one to
        // another method has a body can't be known.
        exchange.step(Happened::Surplus);
        surplus += 1;
        if surplus > SURPLUS_MOST || attempt.bodiless() {
            return Err(Broke::Ends(End::Broken));
        }
        timeout_at(until, reader.held(HELD_MOST)).await??.ok_or(Broke::Ends(End::Broken))?;
        reader.take_head()?;
    };
    let room = timeout_at(until, attempt.room(length)).await?;
    let gather = match (good, length) {
        (true, Some(length)) if length > HELD_MOST as u64 => Instant::now(),
        (true, None) => until.min(Instant::now() + GATHER),
        _ => until,
    };
    let large = gather < until;
    let first = if large && length.is_some() {
        // The first bytes decide when a large answer is there.
        timeout_at(until, reader.piece()).await??.ok_or(Broke::Ends(End::Broken))?
    } else {
        match timeout_at(gather, reader.held(HELD_MOST)).await {
            Ok(Ok(Some(body))) => {
                exchange.step(Happened::Whole { more: reader.has_more() });
                let head = reader.take_head()?;
                return Ok(Answered { head, body: Some((body, room)), took: written.elapsed() });
            }
            Ok(Ok(None)) if good => reader.held_so_far(),
            Err(_) if large => match reader.held_so_far() {
                so_far if !so_far.is_empty() => so_far,
                _ => timeout_at(until, reader.piece()).await??.unwrap_or_default(),
            },
            Ok(_) => return Err(Broke::Ends(End::Broken)),
            Err(_) => return Err(Broke::Ends(End::Silent)),
        }
    };
    let took = written.elapsed();
    let head = reader.take_head()?;
    let Some(to) = attempt.begun(&head) else { return Err(Broke::Left) };
    let mut piece = Some(first).filter(|first| !first.is_empty());
    loop {
        if let Some(piece) = piece.take() {
            match timeout_at(Instant::now() + STUCK, to.send(Ok(piece))).await {
                Ok(Ok(())) => {}
                _ => return Err(Broke::Left),
            }
        }
        let next = tokio::select! {
            next = timeout_at(Instant::now() + SILENT, reader.piece()) => next,
            () = to.closed() => return Err(Broke::Left),
        };
        match next {
            Ok(Ok(Some(next))) => piece = Some(next),
            Ok(Ok(None)) => break,
            _ => {
                // The client must see that it is not whole.
                let broken = io::Error::from(ErrorKind::UnexpectedEof);
                let _ = timeout_at(Instant::now() + STUCK, to.send(Err(broken))).await;
                return Err(Broke::Ends(End::Broken));
            }
        }
    }
    drop(room);
    exchange.step(Happened::Whole { more: reader.has_more() });
    Ok(Answered { head, body: None, took })
}

/// Open connections, counted until they are dropped.
struct Held(Rc<Cell<usize>>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Line {
    reader: Reader<Stretch>,
    used: Instant,
    addr: SocketAddr,
    /// The last request's name, as a digest.
    last: u64,
    _held: Held,
}

/// The digest of a request's name, so that an idle connection holds no copy of it; none has nought.
fn digest(name: &[u8]) -> u64 {
    if name.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish().max(1)
}

impl Line {
    /// Guards against sending on a connection that its backend closed or broke while it stood idle: the
    /// request would end as a reset, which may have run.
    fn idle(&self, limit: Duration, addr: SocketAddr, name: u64) -> Idle {
        Idle {
            stirred: self.reader.has_more() || !self.reader.io.quiet(),
            rested: self.used.elapsed(),
            limit,
            moved: self.addr != addr,
            twin: name != 0 && name == self.last,
        }
    }
}

/// All connections to backends.
pub struct Backends {
    idle: RefCell<HashMap<BackendId, Vec<Line>>>,
    open: Rc<Cell<usize>>,
    most: Cell<usize>,
    connect: Cell<Duration>,
    idle_limit: IdleLimit,
    dial: Dial,
}

impl Backends {
    /// At most `most` connections, each opened within `connect_ms`. One that stood idle for half of
    /// `idle_ms`, or for longer than others bore, is not used again: its backend may be closing it.
    pub fn new(most: usize, connect_ms: f64, idle_ms: f64) -> Self {
        Self::over(Box::new(|addr| Box::pin(dial(addr))), most, connect_ms, idle_ms)
    }

    /// The same over connections that are opened otherwise.
    pub fn over(dial: Dial, most: usize, connect_ms: f64, idle_ms: f64) -> Self {
        Backends {
            dial,
            idle: RefCell::default(),
            open: Rc::default(),
            most: Cell::new(most),
            connect: Cell::new(Duration::from_secs_f64(connect_ms / 1000.0)),
            idle_limit: IdleLimit::new(Duration::from_secs_f64(idle_ms / 2000.0)),
        }
    }

    /// Connections open now.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Another most holds: idle connections beyond it are closed, those in use once they are idle.
    pub fn at_most(&self, most: usize) {
        self.most.set(most);
        for _ in most..self.open.get() {
            self.close_oldest();
        }
    }

    /// Takes over other times.
    pub fn retune(&self, connect_ms: f64, idle_ms: f64) {
        self.connect.set(Duration::from_secs_f64(connect_ms / 1000.0));
        self.idle_limit.at_most(Duration::from_secs_f64(idle_ms / 2000.0));
    }

    /// Sends one request and waits for its answer. Its connection is closed before this returns, unless the
    /// answer came whole; dropping the future closes it too.
    pub async fn attempt(
        &self, backend: BackendId, addr: SocketAddr, attempt: &impl Attempt, until: Instant,
    ) -> (Ended, Option<Answered>) {
        let name = digest(attempt.name());
        let kept = self.reuse(backend, addr, name, attempt.speech());
        let idle = kept.as_ref().map_or(Duration::ZERO, |line| line.used.elapsed());
        let mut exchange = Exchange::new(kept.is_some());
        let line = match kept {
            Some(line) => Some(line),
            None => self.connect(addr, until).await,
        };
        let Some(mut line) = line else { return (Ended::ConnectFailed, None) };
        let (speech, mut until) = (attempt.speech(), until);
        let message = attempt.message(until);
        if let Err(end) = write(&mut line, &mut exchange, &message, until).await {
            return (speech.says(&exchange, end), None);
        }
        let upload = attempt.upload();
        exchange.step(Happened::Wrote { head: true, all: upload.is_none() });
        if let Some((upload, chunked)) = upload {
            match upload_rest(&mut line, &mut exchange, upload, chunked).await {
                Uploaded::Whole => {}
                Uploaded::Answered => return answered_early(&mut line, &mut exchange, attempt, until).await,
                Uploaded::Broken => return (speech.says(&exchange, End::Broken), None),
                Uploaded::Short(short) => {
                    attempt.short(short);
                    return (Ended::Cancelled, None);
                }
            }
            until = attempt.whole();
        }
        attempt.written();
        let written = Instant::now();
        let received = receive(&mut line.reader, &mut exchange, attempt, until, written).await;
        let unanswered = exchange.stage() == Stage::Written && !line.reader.has_more();
        self.idle_limit.used_after(idle, unanswered && matches!(received, Err(Broke::Ends(End::Broken))));
        let answered = match received {
            Ok(answered) => answered,
            Err(Broke::Left) => return (Ended::Cancelled, None),
            Err(Broke::Ends(end)) => return (speech.says(&exchange, end), None),
        };
        if speech.keeps(&exchange) && self.open.get() <= self.most.get() {
            (line.used, line.last) = (Instant::now(), name);
            self.idle.borrow_mut().entry(backend).or_default().push(line);
        }
        (speech.judge(&answered.head), Some(answered))
    }

    /// The connection used last, as it is the warmest, if one is sound.
    fn reuse(&self, backend: BackendId, addr: SocketAddr, name: u64, speech: &dyn Speech) -> Option<Line> {
        let mut idle = self.idle.borrow_mut();
        let lines = idle.get_mut(&backend)?;
        let limit = self.idle_limit.get();
        while let Some(line) = lines.pop() {
            if speech.trusts(&line.idle(limit, addr, name)) {
                return Some(line);
            }
        }
        None
    }

    async fn connect(&self, addr: SocketAddr, until: Instant) -> Option<Line> {
        if self.open.get() >= self.most.get() {
            self.close_oldest();
        }
        if self.open.get() >= self.most.get() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        let held = Held(self.open.clone());
        // A vanished machine never answers a connect: it is given up after the settings' time.
        let until = until.min(Instant::now() + self.connect.get());
        let stream = timeout_at(until, (self.dial)(addr)).await.ok()?.ok()?;
        // Where a platform refuses it, the connection carries requests all the same.
        let _ = stream.prompt();
        Some(Line { reader: Reader::new(stream), used: Instant::now(), addr, last: 0, _held: held })
    }

    fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|l| !l.is_empty()).min_by_key(|l| l[0].used);
        if let Some(lines) = oldest {
            lines.remove(0);
        }
    }

    /// Time within which a connection comes up.
    pub fn connect_time(&self) -> Duration {
        self.connect.get()
    }

    /// Closes what has stood idle for too long or broke meanwhile.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        let limit = self.idle_limit.get();
        for lines in idle.values_mut() {
            lines.retain(|line| line.idle(limit, line.addr, 0).sound());
        }
        idle.retain(|_, lines| !lines.is_empty());
    }

    /// Closes the idle connections to a backend that is gone.
    pub fn forget(&self, backend: BackendId) {
        self.idle.borrow_mut().remove(&backend);
    }
}
