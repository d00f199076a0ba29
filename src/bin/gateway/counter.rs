//! Client of the counter service: calls are pipelined on a few persistent connections.

use crate::config::{endpoint_changed, Endpoints};
use crate::logs::targets;
use bytes::{Buf, BytesMut};
use oakfall::plane::driver::{CounterCall, CounterReply};
use oakfall::plane::http::Reader;
use oakfall::plane::idle_limit::IdleLimit;
use oakfall::plane::warning_limiter::{warn_limited, WarningLimiter};
use oakfall::CallResult;
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

/// Connections to the counter. All calls for a key use the same one, so they stay in order; a stalled
/// connection does not block the others.
const CONNECTIONS: usize = 4;
/// Connections idle for this long, or for longer than earlier ones survived, are closed before the counter
/// closes them: a call sent at that moment may be lost.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Size limit of a response.
const MAX_RESPONSE_BYTES: usize = 1024;

/// Factor between the library's amounts and those stored in the counter. The counter rounds totals to three
/// decimals, which would reduce the small amounts at the start of a window to zero.
const AMOUNT_SCALE: f64 = 1e7;
/// Largest amount that the counter accepts.
const MAX_AMOUNT: f64 = 1e9;

/// Callback for the result of each call.
pub type ReplyHandler = Rc<dyn Fn(CounterReply)>;

/// Sends each call to its connection's queue.
pub struct CallSenders(Vec<UnboundedSender<CounterCall>>);

/// Receivers of the queues, one for each connection.
pub type CallReceivers = Vec<UnboundedReceiver<CounterCall>>;

impl CallSenders {
    pub fn new() -> (Self, CallReceivers) {
        let (senders, receivers) = (0..CONNECTIONS).map(|_| unbounded_channel()).unzip();
        (CallSenders(senders), receivers)
    }

    pub fn call(&self, call: CounterCall) {
        let queue = (call.key ^ call.key >> 30) as usize % self.0.len();
        // The receiver lives as long as the program.
        let _ = self.0[queue].send(call);
    }
}

/// Starts one task for each connection.
pub fn spawn(
    receivers: CallReceivers, addr: SocketAddr, endpoints: &Receiver<Endpoints>, on_reply: &ReplyHandler,
) {
    let reply_timeout = endpoints.borrow().counter_timeout;
    let idle_limit = Rc::new(IdleLimit::new(MAX_IDLE));
    for calls in receivers {
        let (endpoints, on_reply, idle_limit) = (endpoints.clone(), on_reply.clone(), idle_limit.clone());
        let (next, warnings) = (None, WarningLimiter::default());
        let connection =
            Connection { addr, endpoints, reply_timeout, on_reply, calls, next, idle_limit, warnings };
        tokio::task::spawn_local(connection.run());
    }
}

struct Connection {
    addr: SocketAddr,
    endpoints: Receiver<Endpoints>,
    reply_timeout: Duration,
    on_reply: ReplyHandler,
    calls: UnboundedReceiver<CounterCall>,
    /// A call already received that needs a new connection.
    next: Option<CounterCall>,
    idle_limit: Rc<IdleLimit>,
    warnings: WarningLimiter,
}

struct Pending {
    call: CounterCall,
    /// Offset of the call's last byte in what is written to the connection.
    end: u64,
    /// The call was reported as timed out; a late response is dropped.
    timed_out: bool,
}

/// How long the connection was idle before the call; zero if it was opened for the call or had others
/// pending.
fn idle_before(pending: &Pending, last_response: Instant) -> Duration {
    pending.call.at.saturating_duration_since(last_response)
}

impl Connection {
    async fn run(mut self) {
        loop {
            let first = match self.next.take() {
                Some(call) => call,
                None => match self.calls.recv().await {
                    Some(call) => call,
                    None => return,
                },
            };
            // Without a counter in the new configuration, calls still go to the former address.
            let Endpoints { counter, counter_timeout: reply_timeout, .. } = *self.endpoints.borrow();
            (self.addr, self.reply_timeout) = (counter.unwrap_or(self.addr), reply_timeout);
            match timeout(self.reply_timeout, TcpStream::connect(self.addr)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    let mut in_flight = VecDeque::new();
                    let (written, unanswered) = self.serve_connection(stream, first, &mut in_flight).await;
                    for pending in in_flight.into_iter().filter(|p| !p.timed_out) {
                        // A call that was written completely may have been counted.
                        let result =
                            if pending.end <= written { unanswered } else { CallResult::ConnectFailed };
                        self.report(&pending.call, result, 0.0);
                    }
                }
                _ => {
                    // No connection: neither this call nor the queued ones were counted.
                    self.report(&first, CallResult::ConnectFailed, 0.0);
                    while let Ok(call) = self.calls.try_recv() {
                        self.report(&call, CallResult::ConnectFailed, 0.0);
                    }
                }
            }
        }
    }

    fn report(&self, call: &CounterCall, result: CallResult, total: f64) {
        let took_ms = call.at.elapsed().as_secs_f64() * 1000.0;
        (self.on_reply)(CounterReply { key: call.key, result, total, took_ms });
    }

    /// Serves calls on one connection until it fails, times out, is idle for too long or the counter's
    /// address changes. Returns the bytes written and the result of the calls without a response.
    async fn serve_connection(
        &mut self, stream: TcpStream, first: CounterCall, in_flight: &mut VecDeque<Pending>,
    ) -> (u64, CallResult) {
        let (read, mut write) = stream.into_split();
        let mut reader = Reader::new(read);
        let mut out = BytesMut::new();
        let (mut queued, mut written) = (0, 0);
        let host = self.addr;
        let mut moved_away = false;
        let mut enqueue = |call: CounterCall, out: &mut BytesMut, in_flight: &mut VecDeque<Pending>| {
            let text = format!(
                "POST /counters/{:016x}?by={}&expire_ms={} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n",
                call.key,
                (call.amount * AMOUNT_SCALE).clamp(-MAX_AMOUNT, MAX_AMOUNT),
                call.lifetime_ms.max(1.0) as u64
            );
            out.extend_from_slice(text.as_bytes());
            queued += text.len() as u64;
            in_flight.push_back(Pending { call, end: queued, timed_out: false });
        };
        enqueue(first, &mut out, in_flight);
        let mut last_response = Instant::now();
        loop {
            // After an address change pending calls are still awaited here; later ones go to the new address.
            if moved_away && in_flight.iter().all(|p| p.timed_out) {
                return (written, CallResult::Timeout);
            }
            while let Some(call) = Some(()).filter(|()| !moved_away).and_then(|()| self.calls.try_recv().ok())
            {
                enqueue(call, &mut out, in_flight);
            }
            // Wakes for the next call timeout, else when the connection counts as stalled or idle.
            let due = in_flight.iter().find(|p| !p.timed_out).map(|p| p.call.at + self.reply_timeout);
            let stalled_at = in_flight.front().map(|p| p.call.at.max(last_response) + 2 * self.reply_timeout);
            let idle_limit = self.idle_limit.get();
            let wake = due.into_iter().chain(stalled_at).min().unwrap_or(last_response + idle_limit);
            tokio::select! {
                () = endpoint_changed(&mut self.endpoints, |p| p.counter.is_some_and(|to| to != host)), if !moved_away => {
                    moved_away = true;
                }
                call = self.calls.recv(), if !moved_away => match call {
                    Some(call)
                        if in_flight.is_empty() && last_response.elapsed() >= self.idle_limit.get() =>
                    {
                        self.next = Some(call);
                        return (written, CallResult::Timeout);
                    }
                    Some(call) => enqueue(call, &mut out, in_flight),
                    None => return (written, CallResult::Timeout),
                },
                write_result = write.write(&out), if !out.is_empty() => match write_result {
                    Ok(bytes) if bytes > 0 => {
                        out.advance(bytes);
                        written += bytes as u64;
                    }
                    _ => return (written, CallResult::Reset),
                },
                response = reader.read_response(MAX_RESPONSE_BYTES) => {
                    let Ok((head, body)) = response else {
                        if let Some(first) = in_flight.front() {
                            self.idle_limit.record_use(idle_before(first, last_response), true);
                        }
                        return (written, CallResult::Reset);
                    };
                    let Some(pending) = in_flight.pop_front() else { return (written, CallResult::Reset) };
                    self.idle_limit.record_use(idle_before(&pending, last_response), false);
                    last_response = Instant::now();
                    let (result, total) = parse_response(head.status, &body, &self.warnings);
                    if !pending.timed_out {
                        self.report(&pending.call, result, total);
                    }
                    // After an unreadable total the connection cannot be reused.
                    if !head.keep_alive || result == CallResult::Reset {
                        return (written, CallResult::Reset);
                    }
                }
                () = sleep_until(wake) => {
                    let now = Instant::now();
                    for pending in in_flight.iter_mut().filter(|p| !p.timed_out) {
                        if pending.call.at + self.reply_timeout > now {
                            break;
                        }
                        pending.timed_out = true;
                        self.report(&pending.call, CallResult::Timeout, 0.0);
                    }
                    // A connection to a host that vanished stays open without traffic: it counts as stalled.
                    if stalled_at.is_some_and(|at| at <= now)
                        || in_flight.is_empty() && last_response + idle_limit <= now
                    {
                        return (written, CallResult::Timeout);
                    }
                }
            }
        }
    }
}

/// Interprets a response. With an invalid total the call may still have been counted.
fn parse_response(status: u16, body: &[u8], warnings: &WarningLimiter) -> (CallResult, f64) {
    let total =
        || std::str::from_utf8(body).map_err(io::Error::other)?.trim().parse().map_err(io::Error::other);
    match status {
        200 => match total() {
            Ok(total) if f64::is_finite(total) => (CallResult::Ok, total / AMOUNT_SCALE),
            _ => {
                warn_limited!(
                    targets::COUNTER,
                    warnings,
                    "counter returned an invalid total",
                    String::from_utf8_lossy(body)
                );
                (CallResult::Reset, 0.0)
            }
        },
        503 | 400 | 404 => (CallResult::Rejected, 0.0),
        _ => (CallResult::Timeout, 0.0),
    }
}
