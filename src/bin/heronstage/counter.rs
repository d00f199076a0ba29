//! The shared counter: calls written one behind another on a few kept connections.

use crate::config::{moved, Places};
use bytes::{Buf, BytesMut};
use cherrytally::plane::driver::{CounterCall, CounterReply};
use cherrytally::plane::http::Reader;
use cherrytally::plane::idle::IdleLimit;
use cherrytally::plane::seldom::{warn_limited, WarningLimiter};
use cherrytally::CallResult as Ended;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch::Receiver;
use tokio::time::{sleep_until, timeout, Instant};

/// Connections to the counter. A name keeps to one of them, so that its calls stay in order; a silence on
/// one leaves the others alone.
const LANES: usize = 4;
/// A connection idle for so long, or for longer than others bore, is closed before the counter does it: a call
/// that crosses may be lost.
const IDLE: Duration = Duration::from_secs(4);
/// Largest answer of the counter.
const ANSWER_MOST: usize = 1024;

/// The counter keeps amounts this many times as large as the module's. It writes totals with three decimals,
/// and the module's amounts grow from a billionth of a unit at the start of a window: written as they stand,
/// they came back as nought, and each window began unchecked.
const SCALE: f64 = 1e7;
/// Largest amount that the counter takes.
const AMOUNT_MOST: f64 = 1e9;

/// Who hears how calls have ended.
pub type Hears = Rc<dyn Fn(CounterReply)>;

/// Where calls go in.
pub struct Lanes(Vec<UnboundedSender<CounterCall>>);

/// Where they come out, one for each connection.
pub type LaneEnds = Vec<UnboundedReceiver<CounterCall>>;

impl Lanes {
    pub fn new() -> (Self, LaneEnds) {
        let (to, from) = (0..LANES).map(|_| unbounded_channel()).unzip();
        (Lanes(to), from)
    }

    pub fn call(&self, call: CounterCall) {
        let lane = (call.name ^ call.name >> 30) as usize % self.0.len();
        // The other end lives as long as the program.
        let _ = self.0[lane].send(call);
    }
}

/// Runs the connections.
pub fn spawn(ends: LaneEnds, addr: SocketAddr, places: &Receiver<Places>, hears: &Hears) {
    let patience = places.borrow().patience;
    let idle_limit = Rc::new(IdleLimit::new(IDLE));
    for calls in ends {
        let (places, hears, idle_limit) = (places.clone(), hears.clone(), idle_limit.clone());
        let (next, seldom) = (None, WarningLimiter::default());
        let lane = Lane { addr, places, patience, hears, calls, next, idle_limit, seldom };
        tokio::task::spawn_local(lane.run());
    }
}

struct Lane {
    addr: SocketAddr,
    places: Receiver<Places>,
    patience: Duration,
    hears: Hears,
    calls: UnboundedReceiver<CounterCall>,
    /// A call taken in that needs a new connection.
    next: Option<CounterCall>,
    idle_limit: Rc<IdleLimit>,
    seldom: WarningLimiter,
}

struct Pending {
    call: CounterCall,
    /// Bytes written on the connection once the whole call is.
    end: u64,
    /// The module has been told that it timed out; its late answer is dropped.
    given_up: bool,
}

/// How long its connection had stood idle, `heard` of last, before the call came: not at all if it was opened
/// for the call or had others to answer.
fn idle_before(pending: &Pending, heard: Instant) -> Duration {
    pending.call.at.saturating_duration_since(heard)
}

impl Lane {
    async fn run(mut self) {
        loop {
            let first = match self.next.take() {
                Some(call) => call,
                None => match self.calls.recv().await {
                    Some(call) => call,
                    None => return,
                },
            };
            // A configuration that names no counter any more leaves the calls where they went.
            let Places { counter, patience, .. } = *self.places.borrow();
            (self.addr, self.patience) = (counter.unwrap_or(self.addr), patience);
            match timeout(self.patience, TcpStream::connect(self.addr)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    let mut waiting = VecDeque::new();
                    let (written, why) = self.connected(stream, first, &mut waiting).await;
                    for pending in waiting.into_iter().filter(|p| !p.given_up) {
                        // What was written whole may have been added, or may yet be.
                        let ended = if pending.end <= written { why } else { Ended::ConnectFailed };
                        self.tell(&pending.call, ended, 0.0);
                    }
                }
                _ => {
                    // No connection: of this call and those behind it nothing was added.
                    self.tell(&first, Ended::ConnectFailed, 0.0);
                    while let Ok(call) = self.calls.try_recv() {
                        self.tell(&call, Ended::ConnectFailed, 0.0);
                    }
                }
            }
        }
    }

    fn tell(&self, call: &CounterCall, result: Ended, total: f64) {
        let took_ms = call.at.elapsed().as_secs_f64() * 1000.0;
        (self.hears)(CounterReply { name: call.name, result, total, took_ms });
    }

    /// Serves calls on one connection until it breaks, falls silent, has stood idle or the counter has moved.
    /// Returns the bytes written and how the calls ended that have no answer.
    async fn connected(
        &mut self, stream: TcpStream, first: CounterCall, waiting: &mut VecDeque<Pending>,
    ) -> (u64, Ended) {
        let (read, mut write) = stream.into_split();
        let mut reader = Reader::new(read);
        let mut out = BytesMut::new();
        let (mut queued, mut written) = (0, 0);
        let host = self.addr;
        let mut left = false;
        let mut enter = |call: CounterCall, out: &mut BytesMut, waiting: &mut VecDeque<Pending>| {
            let text = format!(
                "POST /counters/{:016x}?by={}&expire_ms={} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n",
                call.name,
                (call.amount * SCALE).clamp(-AMOUNT_MOST, AMOUNT_MOST),
                call.lifetime_ms.max(1.0) as u64
            );
            out.extend_from_slice(text.as_bytes());
            queued += text.len() as u64;
            waiting.push_back(Pending { call, end: queued, given_up: false });
        };
        enter(first, &mut out, waiting);
        let mut heard = Instant::now();
        loop {
            // After a move what was asked here is still awaited; what comes next goes to the new address.
            if left && waiting.iter().all(|p| p.given_up) {
                return (written, Ended::Timeout);
            }
            while let Some(call) = Some(()).filter(|()| !left).and_then(|()| self.calls.try_recv().ok()) {
                enter(call, &mut out, waiting);
            }
            // The next call to be given up; with none, the wait for late answers or for new calls.
            let due = waiting.iter().find(|p| !p.given_up).map(|p| p.call.at + self.patience);
            let silent = waiting.front().map(|p| p.call.at.max(heard) + 2 * self.patience);
            let idle_limit = self.idle_limit.get();
            let wake = due.into_iter().chain(silent).min().unwrap_or(heard + idle_limit);
            tokio::select! {
                () = moved(&mut self.places, |p| p.counter.is_some_and(|to| to != host)), if !left => left = true,
                call = self.calls.recv(), if !left => match call {
                    Some(call) if waiting.is_empty() && heard.elapsed() >= self.idle_limit.get() => {
                        self.next = Some(call);
                        return (written, Ended::Timeout);
                    }
                    Some(call) => enter(call, &mut out, waiting),
                    None => return (written, Ended::Timeout),
                },
                wrote = write.write(&out), if !out.is_empty() => match wrote {
                    Ok(bytes) if bytes > 0 => {
                        out.advance(bytes);
                        written += bytes as u64;
                    }
                    _ => return (written, Ended::Reset),
                },
                answer = reader.read_response(ANSWER_MOST) => {
                    let Ok((head, body)) = answer else {
                        if let Some(first) = waiting.front() {
                            self.idle_limit.record_use(idle_before(first, heard), true);
                        }
                        return (written, Ended::Reset);
                    };
                    let Some(pending) = waiting.pop_front() else { return (written, Ended::Reset) };
                    self.idle_limit.record_use(idle_before(&pending, heard), false);
                    heard = Instant::now();
                    let (ended, total) = reading(head.status, &body, &self.seldom);
                    if !pending.given_up {
                        self.tell(&pending.call, ended, total);
                    }
                    // A total that can't be read leaves the connection of no further use.
                    if !head.keep_alive || ended == Ended::Reset {
                        return (written, Ended::Reset);
                    }
                }
                () = sleep_until(wake) => {
                    let now = Instant::now();
                    for pending in waiting.iter_mut().filter(|p| !p.given_up) {
                        if pending.call.at + self.patience > now {
                            break;
                        }
                        pending.given_up = true;
                        self.tell(&pending.call, Ended::Timeout, 0.0);
                    }
                    // Guards against a machine that vanished: its connections stay open and silent.
                    if silent.is_some_and(|at| at <= now) || waiting.is_empty() && heard + idle_limit <= now {
                        return (written, Ended::Timeout);
                    }
                }
            }
        }
    }
}

/// What an answer means. A total that is no number counts as none: the amount may have been added.
fn reading(status: u16, body: &[u8], seldom: &WarningLimiter) -> (Ended, f64) {
    let total =
        || std::str::from_utf8(body).map_err(io::Error::other)?.trim().parse().map_err(io::Error::other);
    match status {
        200 => match total() {
            Ok(total) if f64::is_finite(total) => (Ended::Ok, total / SCALE),
            _ => {
                warn_limited!(seldom, "the counter's total is no number", String::from_utf8_lossy(body));
                (Ended::Reset, 0.0)
            }
        },
        503 | 400 | 404 => (Ended::Rejected, 0.0),
        _ => (Ended::Timeout, 0.0),
    }
}
