//! The simulated counter service: its model, served over HTTP.

use crate::fault::{FaultHandle, Node};
use crate::model::counter::{Counter, Reply};
use crate::testbed::wire::{format_response, HttpConnection, ServiceListener};
use crate::testbed::RunContext;
use rand::Rng;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// Maximum number of pending calls of one connection. Further ones are not read until a reply has been sent.
const MAX_PIPELINED_CALLS: usize = 1024;

/// The counter service.
pub struct CounterService {
    /// Its listener.
    pub listener: Arc<ServiceListener>,
    model: Mutex<Counter>,
    /// Number of restarts. A restart resets all connections.
    restarts: watch::Sender<u64>,
    /// The link fault of the current outage.
    outage: Mutex<Option<FaultHandle>>,
}

impl CounterService {
    /// Creates the service with a closed listener.
    pub fn new(plan: &crate::plan::Plan) -> std::io::Result<CounterService> {
        Ok(CounterService {
            listener: Arc::new(ServiceListener::new(Node::Counter)?),
            model: Mutex::new(Counter::new(&plan.counter)),
            restarts: watch::channel(0).0,
            outage: Mutex::default(),
        })
    }

    /// The model.
    pub fn model(&self) -> MutexGuard<'_, Counter> {
        self.model.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Starts or ends an outage of its machine. It restarts without totals at the end.
    pub fn set_outage(&self, context: &RunContext, is_out: bool) {
        let mut outage = self.outage.lock().unwrap_or_else(|e| e.into_inner());
        let fault = if is_out {
            let fault = context.links.isolate(Node::Counter, context.plan.fleet.gateways, context.now());
            *outage = Some(fault.clone());
            fault
        } else {
            let Some(fault) = outage.take() else { return };
            self.model().flush();
            self.restarts.send_modify(|restarts| *restarts += 1);
            context.links.heal(&fault);
            fault
        };
        drop(outage);
        context.update_filters(&fault);
    }

    /// Opens the listener and serves its connections.
    pub async fn run(self: &Arc<Self>, context: &Arc<RunContext>) -> std::io::Result<()> {
        let (service, shared) = (self.clone(), context.clone());
        let on_connection = move |_, io| {
            let (service, context) = (service.clone(), shared.clone());
            tokio::spawn(async move {
                let mut restarts = service.restarts.subscribe();
                let mut http = HttpConnection::new(io);
                let is_reset = tokio::select! {
                    () = service.serve(&context, &mut http) => false,
                    _ = restarts.changed() => true,
                };
                if is_reset {
                    http.io.reset();
                }
            });
        };
        self.listener.serve(context, on_connection).await
    }

    async fn serve(&self, context: &Arc<RunContext>, http: &mut HttpConnection) {
        let mut replies: std::collections::VecDeque<(f64, Vec<u8>)> = Default::default();
        loop {
            // Replies are sent in the order of the calls, each when the model says that it is due.
            let due = replies.front().map(|(at, _)| *at);
            tokio::select! {
                () = context.sleep_until(due.unwrap_or(f64::INFINITY)), if due.is_some() => {
                    let Some((_, text)) = replies.pop_front() else { continue };
                    if http.write(&text).await.is_err() {
                        return;
                    }
                }
                call = http.read_message(false), if replies.len() < MAX_PIPELINED_CALLS => {
                    let Ok(Some((head, _))) = call else { return };
                    replies.push_back(self.handle_call(context, &head.target));
                }
            }
        }
    }

    /// Handles a call. Returns when its reply is due, and the reply.
    fn handle_call(&self, context: &RunContext, target: &str) -> (f64, Vec<u8>) {
        let now = context.now();
        let parts = target.strip_prefix("/counters/").and_then(|rest| rest.split_once('?'));
        let number = |query: &str, key: &str| {
            let value = query.split('&').find_map(|part| part.strip_prefix(key)?.strip_prefix('='));
            value.and_then(|value| value.parse::<f64>().ok()).filter(|value| value.is_finite())
        };
        let call = parts.and_then(|(name, query)| {
            Some((name, number(query, "by")?, number(query, "expire_ms")?))
                .filter(|(name, ..)| (1..=64).contains(&name.len()))
        });
        let Some((name, amount, ttl_ms)) = call else {
            return (now, format_response(400, "", "no such call\n"));
        };
        let reply = self.model().add(now, name, amount, ttl_ms / 1000.0, rand::rng().random());
        let mut history = context.history();
        history.counter_calls.0 += 1;
        match reply {
            Reply::Total { at, total } => (at, format_response(200, "", &format!("{total:.3}"))),
            Reply::Rejected { at } => {
                history.counter_calls.1 += 1;
                (at, format_response(503, "", "full\n"))
            }
        }
    }
}
