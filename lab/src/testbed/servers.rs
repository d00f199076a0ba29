//! The simulated servers: their model, served over HTTP.

use crate::fault::{FaultHandle, Node};
use crate::history::{request_index, Attempt, AttemptOutcome, ServerAvailability};
use crate::model::registry::ServerState;
use crate::model::server::{Admission, Server, ServerFaults};
use crate::testbed::wire::{format_response, Connection, HttpConnection, ServiceListener};
use crate::testbed::RunContext;
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{oneshot, watch, Notify};

/// Requests whose `X-Txn` is at least this are sent by hand, for example with curl. They get a response at once and are
/// not recorded.
pub const FIRST_MANUAL_TXN: u64 = 0xF << 60;

/// A simulated server.
pub struct SimulatedServer {
    index: usize,
    /// Its listener.
    pub listener: Arc<ServiceListener>,
    state: Mutex<ServerInner>,
    /// Wakes the task that advances the model.
    wake: Notify,
    /// Number of times that the process was killed. All its connections are then reset.
    kills: watch::Sender<u64>,
    /// Whether it is listed and up.
    is_up: AtomicBool,
}

struct ServerInner {
    model: Server,
    rng: Pcg64,
    /// Signals the completion of each accepted request, by its id in the model.
    completions: HashMap<u64, oneshot::Sender<()>>,
    next_id: u64,
    /// Number of open connections.
    connections: usize,
    /// The link fault that makes the server unreachable.
    isolation: Option<FaultHandle>,
}

impl ServerInner {
    fn complete(&mut self, ids: Vec<u64>) {
        for id in ids {
            // There is no receiver if the gateway has cancelled the request.
            self.completions.remove(&id).map(|completion| completion.send(()));
        }
    }
}

/// Records an attempt in the history when dropped: as aborted, unless [`AttemptRecorder::finish`] was called.
struct AttemptRecorder<'a> {
    context: &'a RunContext,
    attempt: Attempt,
}

impl AttemptRecorder<'_> {
    fn finish(mut self, outcome: AttemptOutcome) {
        self.attempt.outcome = (self.context.now(), outcome);
    }
}

impl Drop for AttemptRecorder<'_> {
    fn drop(&mut self) {
        if self.attempt.outcome.1 == AttemptOutcome::InProgress {
            self.attempt.outcome = (self.context.now(), AttemptOutcome::Aborted);
        }
        self.context.history().attempts.push(self.attempt);
    }
}

impl SimulatedServer {
    /// Creates a server with a closed listener.
    pub fn new(plan: &crate::plan::Plan, index: usize, speed: f64) -> std::io::Result<SimulatedServer> {
        let state = ServerInner {
            model: Server::new(&plan.fleet, speed),
            rng: plan.rng(0x5E00_0000 + index as u64),
            completions: HashMap::new(),
            next_id: 0,
            connections: 0,
            isolation: None,
        };
        Ok(SimulatedServer {
            index,
            listener: Arc::new(ServiceListener::new(Node::Server(index))?),
            state: Mutex::new(state),
            wake: Notify::new(),
            kills: watch::channel(0).0,
            is_up: AtomicBool::new(false),
        })
    }

    fn state(&self) -> MutexGuard<'_, ServerInner> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets whether it is listed and up.
    pub fn set_up(&self, up: bool) {
        self.is_up.store(up, Ordering::Relaxed);
    }

    /// Whether it is listed and up.
    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }

    /// Whether another request would get a core of its own.
    pub fn has_idle_core(&self) -> bool {
        self.state().model.has_idle_core()
    }

    /// Opens the listener, unless it is a spare server, and starts the task that advances the model.
    pub async fn run(self: &Arc<Self>, context: &Arc<RunContext>, spare: bool) -> std::io::Result<()> {
        if !spare {
            self.open(context).await?;
        }
        let (server, context) = (self.clone(), context.clone());
        tokio::spawn(async move {
            loop {
                let next = {
                    let (mut state, mut completed) = (server.state(), Vec::new());
                    state.model.advance(context.now(), &mut completed);
                    state.complete(completed);
                    state.model.next_event_at()
                };
                tokio::select! {
                    () = context.sleep_until(next.unwrap_or(f64::INFINITY)), if next.is_some() => {}
                    () = server.wake.notified() => {}
                }
            }
        });
        Ok(())
    }

    async fn open(self: &Arc<Self>, context: &Arc<RunContext>) -> std::io::Result<()> {
        let (server, shared) = (self.clone(), context.clone());
        let on_connection = move |gateway, io| {
            let (server, context) = (server.clone(), shared.clone());
            tokio::spawn(async move { server.handle_connection(&context, gateway, io).await });
        };
        self.listener.serve(context, on_connection).await
    }

    /// Kills the process: connections are reset, and new ones are refused.
    pub fn kill(&self, context: &RunContext) {
        self.listener.close();
        self.kills.send_modify(|kills| *kills += 1);
        context.set_server_availability(self.index, ServerAvailability::Unavailable);
    }

    /// Starts a new, cold process.
    pub async fn start(self: &Arc<Self>, context: &Arc<RunContext>) {
        self.state().model.start(context.now());
        if let Err(e) = self.open(context).await {
            context.record_error(format!("server {}: cannot open its listener: {e}", self.index));
        }
        context.set_server_availability(self.index, ServerAvailability::Up);
    }

    /// Cuts the machine off from the network, or connects it again.
    pub fn set_unreachable(&self, context: &RunContext, unreachable: bool) {
        let fault = if unreachable {
            let fault =
                context.links.isolate(Node::Server(self.index), context.plan.fleet.gateways, context.now());
            self.state().isolation = Some(fault.clone());
            fault
        } else {
            let Some(fault) = self.state().isolation.take() else { return };
            context.links.heal(&fault);
            fault
        };
        context.update_filters(&fault);
    }

    /// Changes its injected faults.
    pub fn update_faults(&self, context: &RunContext, change: impl FnOnce(&mut ServerFaults)) {
        let (mut state, mut completed) = (self.state(), Vec::new());
        state.model.update_faults(context.now(), change, &mut completed);
        state.complete(completed);
        drop(state);
        self.wake.notify_one();
    }

    async fn handle_connection(&self, context: &Arc<RunContext>, gateway: usize, io: Connection) {
        let mut kills = self.kills.subscribe();
        let now = context.now();
        let within_limit = {
            let mut state = self.state();
            state.connections += 1;
            state.connections <= context.plan.fleet.connections
        };
        context.history().connections.push((now, self.index));
        let mut http = HttpConnection::new(io);
        let is_reset = if within_limit {
            // Biased, so that a killed process does not handle data that arrives at the same time.
            tokio::select! {
                biased;
                _ = kills.changed() => true,
                is_reset = self.serve(context, gateway, &mut http) => is_reset,
            }
        } else {
            true
        };
        self.state().connections -= 1;
        if is_reset {
            http.io.reset();
        }
    }

    /// Serves one connection to its end. Returns whether it has to be reset.
    async fn serve(&self, context: &Arc<RunContext>, gateway: usize, http: &mut HttpConnection) -> bool {
        loop {
            if !matches!(http.wait_for_message().await, Ok(true)) {
                return false;
            }
            let first_byte_at = context.now();
            let Ok(Some((head, _))) = http.read_message(false).await else { return false };
            let path = head.target.split('?').next().unwrap_or("");
            if path == "/health/live" || path == "/stats" {
                let report = self.handle_probe(context);
                if http.write(&format_response(200, "", &report)).await.is_err() {
                    return false;
                }
                continue;
            }
            if let Some(txn) = head.txn.filter(|txn| *txn >= FIRST_MANUAL_TXN) {
                if http
                    .write(&format_response(200, "X-Units-Charged: 1\r\n", &response_body(txn, self.index)))
                    .await
                    .is_err()
                {
                    return false;
                }
                continue;
            }
            let known = head
                .txn
                .and_then(|txn| Some((txn, context.requests[request_index(txn, context.requests.len())?])));
            let Some((txn, request)) = known else {
                context.history().unknown_requests += 1;
                let _ = http.write(&format_response(404, "", "no such request\n")).await;
                return false;
            };
            let received_at = context.now();
            let (id, admission, completion, fault_draws) = {
                let (mut state, mut completed) = (self.state(), Vec::new());
                let id = state.next_id;
                state.next_id += 1;
                let (admission_draw, fault_draws) = (state.rng.random(), state.rng.random::<(f64, f64)>());
                let admission =
                    state.model.submit(received_at, id, request.work_ms, admission_draw, &mut completed);
                state.complete(completed);
                let (sender, completion) = oneshot::channel();
                if admission == Admission::Accepted {
                    state.completions.insert(id, sender);
                }
                (id, admission, completion, fault_draws)
            };
            self.wake.notify_one();
            let accepted = admission == Admission::Accepted;
            let outcome = (received_at, AttemptOutcome::InProgress);
            let recorder = AttemptRecorder {
                context,
                attempt: Attempt {
                    txn,
                    server: self.index,
                    gateway,
                    first_byte_at,
                    received_at,
                    accepted,
                    outcome,
                },
            };
            match admission {
                Admission::Rejected => {
                    recorder.finish(AttemptOutcome::Rejected);
                    let text = format_response(503, "X-Turned-Away: 1\r\n", "no room\n");
                    if http.write(&text).await.is_err() {
                        return false;
                    }
                    continue;
                }
                Admission::Error => {
                    recorder.finish(AttemptOutcome::Error);
                    if http.write(&format_response(500, "", "error\n")).await.is_err() {
                        return false;
                    }
                    continue;
                }
                Admission::Crashed => {
                    drop(recorder);
                    self.kill(context);
                    context.update_discovery(self.index, ServerState::Gone, false);
                    return true;
                }
                Admission::Accepted => {}
            }
            let is_complete = tokio::select! {
                completed = completion => completed.is_ok(),
                () = http.wait_for_close() => false,
            };
            if !is_complete {
                let (mut state, mut completed) = (self.state(), Vec::new());
                state.completions.remove(&id);
                state.model.cancel(context.now(), id, &mut completed);
                state.complete(completed);
                return false;
            }
            let faults = self.state().model.faults();
            if fault_draws.0 < faults.reset_rate {
                recorder.finish(AttemptOutcome::ResponseLost);
                return true;
            }
            if fault_draws.1 < faults.corrupt_rate {
                recorder.finish(AttemptOutcome::ResponseLost);
                let _ = http.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nspoilt").await;
                return true;
            }
            // Recorded before the response is written, so that no client can receive one without a recorded attempt.
            recorder.finish(AttemptOutcome::Done);
            let units = format!("X-Units-Charged: {}\r\n", request.units);
            if http.write(&format_response(200, &units, &response_body(txn, self.index))).await.is_err() {
                return false;
            }
        }
    }

    /// Handles a health probe. Returns the load report.
    fn handle_probe(&self, context: &RunContext) -> String {
        let (mut state, mut completed) = (self.state(), Vec::new());
        state.model.handle_probe(context.now(), &mut completed);
        state.complete(completed);
        let ((running, queued), faults) = (state.model.in_flight(), state.model.faults());
        drop(state);
        context.history().probes += 1;
        let in_flight = faults.reported_in_flight.unwrap_or((running + queued) as f64);
        format!("inflight={in_flight},queue={}", if faults.reported_in_flight.is_some() { 0 } else { queued })
    }
}

/// The body of a server's response to a request.
pub fn response_body(txn: u64, server: usize) -> String {
    format!("{txn:016x} ran at server {server}\n")
}

/// Whether a body is that of a server's response to this request.
pub fn is_response_for(body: &[u8], txn: u64) -> bool {
    body.starts_with(format!("{txn:016x} ran at server ").as_bytes())
}
