//! Connections to backends, and attempts on them. One connection carries one request at a time.

use super::http::{Head, Reader};
use super::idle::IdleLimit;
use super::room::{Part, Short, StreamTo, Upload, HELD_MOST};
use crate::{BackendId, Result as Ended};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
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
    /// What an answer tells of the attempt.
    fn judge(&self, head: &Head) -> Ended;
    /// Whether the answer is to this attempt, and not a surplus one to an earlier.
    fn own(&self, head: &Head) -> bool;
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

#[derive(PartialEq)]
enum Broke {
    /// Before anything of the answer came.
    Unanswered,
    /// In its middle.
    Halfway,
    /// The client takes no more of it.
    Left,
}

enum Uploaded {
    Whole,
    /// The backend answers before it has the whole body.
    Answered,
    Broken,
    Short(Short),
}

/// Passes on the rest of a body, as fast as both sides go.
async fn upload_rest(line: &mut Line, mut upload: Upload, chunked: bool) -> Uploaded {
    loop {
        let piece = tokio::select! {
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
        if last {
            return Uploaded::Whole;
        }
    }
}

/// What a backend says that does not wait for the whole body: with the rest unwritten nothing has run.
async fn answered_early(line: &mut Line) -> (Ended, Option<Answered>) {
    let turned_away = line.reader.take_head().is_ok_and(|head| head.turned_away);
    (if turned_away { Ended::Full } else { Ended::ConnectFailed }, None)
}

/// Takes in an answer: whole if it is small, else passed on as it comes. None if it is not there in time.
async fn receive(
    reader: &mut Reader<TcpStream>, attempt: &impl Attempt, until: Instant, written: Instant,
) -> Result<Option<(Answered, bool)>, Broke> {
    let broke = |reader: &Reader<TcpStream>| if reader.begun() { Broke::Halfway } else { Broke::Unanswered };
    let mut surplus = 0;
    let (good, length) = loop {
        match timeout_at(until, reader.peek_head()).await {
            Ok(Ok(head)) if attempt.own(head) => break (attempt.judge(head) == Ended::Ok, head.length),
            Ok(Ok(_)) if surplus < SURPLUS_MOST => {}
            Ok(Ok(_)) => return Err(Broke::Halfway),
            Ok(Err(_)) => return Err(broke(reader)),
            Err(_) => return Ok(None),
        }
        // Another request's answer, in the place of this one's: it is read to its end and dropped.
        surplus += 1;
        match timeout_at(until, reader.held(HELD_MOST)).await {
            Ok(Ok(Some(_))) => drop(reader.take_head()),
            Ok(_) => return Err(Broke::Halfway),
            Err(_) => return Ok(None),
        }
    };
    let Ok(room) = timeout_at(until, attempt.room(length)).await else { return Ok(None) };
    let gather = match (good, length) {
        (true, Some(length)) if length > HELD_MOST as u64 => Instant::now(),
        (true, None) => until.min(Instant::now() + GATHER),
        _ => until,
    };
    let large = gather < until;
    let first = if large && length.is_some() {
        // The first bytes decide when a large answer is there.
        match timeout_at(until, reader.piece()).await {
            Ok(Ok(Some(piece))) => piece,
            Ok(_) => return Err(Broke::Halfway),
            Err(_) => return Ok(None),
        }
    } else {
        match timeout_at(gather, reader.held(HELD_MOST)).await {
            Ok(Ok(Some(body))) => {
                let head = reader.take_head().map_err(|_| Broke::Halfway)?;
                let keep = head.keep;
                return Ok(Some((
                    Answered { head, body: Some((body, room)), took: written.elapsed() },
                    keep,
                )));
            }
            Ok(Ok(None)) if good => reader.held_so_far(),
            Err(_) if large => match reader.held_so_far() {
                so_far if !so_far.is_empty() => so_far,
                _ => match timeout_at(until, reader.piece()).await {
                    Ok(Ok(piece)) => piece.unwrap_or_default(),
                    Ok(Err(_)) => return Err(Broke::Halfway),
                    Err(_) => return Ok(None),
                },
            },
            Ok(_) => return Err(Broke::Halfway),
            Err(_) => return Ok(None),
        }
    };
    let took = written.elapsed();
    let head = reader.take_head().map_err(|_| Broke::Halfway)?;
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
                let broken = std::io::Error::from(ErrorKind::UnexpectedEof);
                let _ = timeout_at(Instant::now() + STUCK, to.send(Err(broken))).await;
                return Err(Broke::Halfway);
            }
        }
    }
    drop(room);
    let keep = head.keep;
    Ok(Some((Answered { head, body: None, took }, keep)))
}

/// Open connections, counted until they are dropped.
struct Held(Rc<Cell<usize>>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Line {
    reader: Reader<TcpStream>,
    used: Instant,
    _held: Held,
}

impl Line {
    /// Guards against sending on a connection that its backend closed or broke while it stood idle: the
    /// request would end as a reset, which may have run.
    fn sound(&self) -> bool {
        let closed = self.reader.io.try_read(&mut [0]);
        !self.reader.has_more() && closed.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }
}

/// All connections to backends.
pub struct Backends {
    idle: RefCell<HashMap<BackendId, Vec<Line>>>,
    open: Rc<Cell<usize>>,
    most: Cell<usize>,
    connect: Cell<Duration>,
    idle_limit: IdleLimit,
}

impl Backends {
    /// At most `most` connections, each opened within `connect_ms`. One that stood idle for half of
    /// `idle_ms`, or for longer than others bore, is not used again: its backend may be closing it.
    pub fn new(most: usize, connect_ms: f64, idle_ms: f64) -> Self {
        Backends {
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
        let kept = self.reuse(backend);
        let idle = kept.as_ref().map_or(Duration::ZERO, |line| line.used.elapsed());
        let line = match kept {
            Some(line) => Some(line),
            None => self.connect(addr, until).await,
        };
        let Some(mut line) = line else { return (Ended::ConnectFailed, None) };
        // A request whose last byte was not written can't have begun; after that it may have.
        match timeout_at(until, line.reader.io.write_all(&attempt.message(until))).await {
            Ok(Ok(())) => {}
            _ => return (Ended::ConnectFailed, None),
        }
        let mut until = until;
        if let Some((upload, chunked)) = attempt.upload() {
            match upload_rest(&mut line, upload, chunked).await {
                Uploaded::Whole => {}
                Uploaded::Answered => return answered_early(&mut line).await,
                Uploaded::Broken => return (Ended::ConnectFailed, None),
                Uploaded::Short(short) => {
                    attempt.short(short);
                    return (Ended::Cancelled, None);
                }
            }
            until = attempt.whole();
        }
        attempt.written();
        let written = Instant::now();
        let received = receive(&mut line.reader, attempt, until, written).await;
        self.idle_limit.used_after(idle, matches!(received, Err(Broke::Unanswered)));
        let (answered, keep) = match received {
            Ok(Some(answered)) => answered,
            Ok(None) => return (Ended::Timeout, None),
            Err(Broke::Left) => return (Ended::Cancelled, None),
            Err(_) => return (Ended::Reset, None),
        };
        if keep && self.open.get() <= self.most.get() {
            line.used = Instant::now();
            self.idle.borrow_mut().entry(backend).or_default().push(line);
        }
        (attempt.judge(&answered.head), Some(answered))
    }

    /// The connection used last, as it is the warmest, if one is sound.
    fn reuse(&self, backend: BackendId) -> Option<Line> {
        let mut idle = self.idle.borrow_mut();
        let lines = idle.get_mut(&backend)?;
        let limit = self.idle_limit.get();
        while let Some(line) = lines.pop() {
            if line.used.elapsed() < limit && line.sound() {
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
        let stream = timeout_at(until, TcpStream::connect(addr)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Line { reader: Reader::new(stream), used: Instant::now(), _held: held })
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
            lines.retain(|line| line.used.elapsed() < limit && line.sound());
        }
        idle.retain(|_, lines| !lines.is_empty());
    }

    /// Closes the idle connections to a backend that is gone.
    pub fn forget(&self, backend: BackendId) {
        self.idle.borrow_mut().remove(&backend);
    }
}
