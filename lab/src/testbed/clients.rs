//! Simulated clients. The load is open-loop: each request is sent when it is due, without waiting for earlier ones, and
//! is retried as far as its deadline and the protocol allow.

use crate::check::TIMING_SLACK_S;
use crate::fault::Node;
use crate::history::{transaction_id, Try, TryOutcome};
use crate::model::workload::{Request, CLASS_NAMES, PLAN_NAMES};
use crate::plan::{TrafficAction, DEADLINES_MS};
use crate::testbed::servers::is_response_for;
use crate::testbed::wire::{Connection, HttpConnection};
use crate::testbed::RunContext;
use rand::Rng;
use rand_pcg::Pcg64;
use std::io;
use std::sync::Arc;
use tokio::net::TcpStream;

/// Maximum number of idle connections that clients keep open to a gateway.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Body of POST requests.
const POST_BODY: &str = "{\"items\":[4711,4712],\"pickup\":\"hall\"}";
/// A client retries only if at least this much time is left before its deadline, in s.
const MIN_RETRY_TIME_S: f64 = 0.05;

/// An idle connection to a gateway.
pub struct IdleConnection {
    http: HttpConnection,
    /// Index of the last try that was sent on it.
    last_try: usize,
    /// Generation of the gateway process that it leads to.
    generation: u64,
}

/// Sends all requests of the plan as they fall due. Returns once the last one has ended.
pub async fn run(context: &Arc<RunContext>) {
    let mut clients = tokio::task::JoinSet::new();
    for (request_index, request) in context.requests.iter().enumerate() {
        context.sleep_until(context.load_start() + request.due_at).await;
        let context = context.clone();
        clients.spawn(async move {
            Client { context: &context, request_index, rng: context.plan.rng(1 << 40 | request_index as u64) }
                .run()
                .await
        });
        while clients.try_join_next().is_some() {}
    }
    while clients.join_next().await.is_some() {}
}

/// The client of one request, which sends it and its retries.
struct Client<'a> {
    context: &'a Arc<RunContext>,
    /// Index of the request in [`RunContext::requests`].
    request_index: usize,
    rng: Pcg64,
}

impl Client<'_> {
    async fn run(&mut self) {
        let context = self.context;
        let request = context.requests[self.request_index];
        let first_sent_at = context.now();
        context.record_client_lateness(first_sent_at - context.load_start() - request.due_at);
        context.history().first_sent[self.request_index] = Some(first_sent_at);
        let deadline = first_sent_at + DEADLINES_MS[usize::from(request.class)] / 1000.0;
        let (extra_retries, mut backoff_s) = (self.extra_retries(), context.plan.traffic.backoff_ms / 1000.0);
        for try_number in 0..=context.plan.traffic.retries + extra_retries {
            let gateway = context.router().choose_gateway(request.customer, &mut self.rng);
            let outcome = self.send_try(gateway, try_number, &request, deadline).await;
            let may_retry = match outcome {
                TryOutcome::Served => return,
                TryOutcome::Refused(_) | TryOutcome::Unreached => true,
                // A non-idempotent request may have run.
                _ => request.class == 0,
            };
            let retry_after_s = match outcome {
                TryOutcome::Refused(Some(ms)) if request.honors_retry_after => f64::from(ms) / 1000.0,
                _ => 0.0,
            };
            let wait_s = if extra_retries > 0 {
                0.0
            } else {
                retry_after_s.max(backoff_s * self.rng.random_range(0.5..1.5))
            };
            backoff_s *= 2.0;
            if !may_retry || context.now() + wait_s + MIN_RETRY_TIME_S > deadline {
                return;
            }
            context.sleep_until(context.now() + wait_s).await;
        }
    }

    /// Additional retries during a retry storm of the plan.
    fn extra_retries(&self) -> u32 {
        let (context, due_at) = (self.context, self.context.requests[self.request_index].due_at);
        let steps =
            context.plan.step.iter().filter(|step| (step.at..step.end_s(&context.plan)).contains(&due_at));
        let storms = steps
            .filter_map(|step| step.traffic.as_ref().filter(|change| change.action == TrafficAction::Storm));
        storms.map(|change| change.by as u32).max().unwrap_or(0)
    }

    /// Sends one try to one gateway and records it in the history.
    async fn send_try(
        &mut self, gateway: usize, try_number: u32, request: &Request, deadline: f64,
    ) -> TryOutcome {
        let (context, txn) = (self.context, transaction_id(self.request_index, try_number));
        let try_index = {
            let mut history = context.history();
            let at = context.now();
            history.tries.push(Try {
                txn,
                request_index: self.request_index,
                gateway,
                sent_at: at,
                written: false,
                deadline,
                outcome: None,
                extra_responses: 0,
            });
            history.tries.len() - 1
        };
        // A response that the gateway sends just in time may arrive a little later.
        let completed = tokio::select! {
            completed = self.exchange(gateway, try_index, request, deadline) => completed,
            () = context.sleep_until(deadline + TIMING_SLACK_S) => None,
        };
        let (outcome, connection) = match completed {
            Some((outcome, connection)) => (outcome, connection),
            None => (self.outcome_if_written(try_index, TryOutcome::TimedOut), None),
        };
        if matches!(outcome, TryOutcome::Refused(_)) && context.has_idle_server(gateway) {
            // The checkers match this entry to the refused try by its time.
            let mut history = context.history();
            let at = context.now();
            history.tries[try_index].outcome = Some((at, outcome));
            history.needless_refusals.push(at);
        } else {
            context.history().tries[try_index].outcome = Some((context.now(), outcome));
        }
        if let Some(connection) = connection {
            let mut idle = context.idle_connections(gateway);
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(connection);
            }
        }
        outcome
    }

    /// Returns the outcome of a try without a response: `outcome` if the request was written in full, else
    /// [`TryOutcome::Unreached`].
    fn outcome_if_written(&self, try_index: usize, outcome: TryOutcome) -> TryOutcome {
        if self.context.history().tries[try_index].written {
            outcome
        } else {
            TryOutcome::Unreached
        }
    }

    /// Sends a request and reads its response. Returns the outcome of the try and, if it can be reused, the
    /// connection.
    async fn exchange(
        &self, gateway: usize, try_index: usize, request: &Request, deadline: f64,
    ) -> Option<(TryOutcome, Option<IdleConnection>)> {
        let context = self.context;
        let txn = context.history().tries[try_index].txn;
        let mut reused = true;
        loop {
            let generation = context.gateway_generation(gateway);
            let idle = if reused { self.take_idle_connection(gateway) } else { None };
            reused = idle.is_some();
            let mut http = match idle {
                Some(http) => http,
                None => match self.connect(gateway).await {
                    Ok(http) => http,
                    Err(_) => return Some((TryOutcome::Unreached, None)),
                },
            };
            let now = context.now();
            if now >= deadline {
                // The deadline passed while connecting: the request is not sent.
                return Some((TryOutcome::Unreached, None));
            }
            let text = format_request(txn, request, deadline - now, context);
            let written = http.write(text.as_bytes()).await;
            if written.is_ok() {
                let (mut history, at) = (context.history(), context.now());
                (history.tries[try_index].sent_at, history.tries[try_index].written) = (at, true);
            }
            let response = match written {
                Ok(()) => http.read_message(true).await,
                Err(e) => Err(e),
            };
            let error_kind = match response {
                Ok(Some((head, body))) => {
                    let outcome = match head.status {
                        200 if is_response_for(&body, txn) => TryOutcome::Served,
                        200 => TryOutcome::WrongBody,
                        429 | 503 => TryOutcome::Refused(head.retry_after_ms),
                        status => TryOutcome::Failed(status),
                    };
                    if http.has_buffered_bytes() {
                        context.history().tries[try_index].extra_responses += 1;
                    }
                    let idle =
                        (!head.close).then_some(IdleConnection { http, last_try: try_index, generation });
                    return Some((outcome, idle));
                }
                Ok(None) => io::ErrorKind::UnexpectedEof,
                Err(e) => e.kind(),
            };
            // A gateway may close an idle connection while a request is on its way. The request is then sent again
            // on another connection, unless something else can have caused the error.
            let closed_while_idle = reused
                && generation == context.gateway_generation(gateway)
                && context.is_link_healthy(Node::Client, Node::Gateway(gateway))
                && error_kind != io::ErrorKind::InvalidData;
            if !closed_while_idle {
                return Some((self.outcome_if_written(try_index, TryOutcome::Disconnected), None));
            }
            context.history().tries[try_index].written = false;
        }
    }

    /// Takes an idle connection to the current process that is still open. Unread data on one counts as an extra
    /// response to its last try.
    fn take_idle_connection(&self, gateway: usize) -> Option<HttpConnection> {
        let context = self.context;
        loop {
            let idle = context.idle_connections(gateway).pop()?;
            if idle.generation != context.gateway_generation(gateway) {
                continue;
            }
            match &idle.http.io {
                Connection::Direct(stream) => match stream.try_read(&mut [0]) {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Some(idle.http),
                    Ok(1..) => context.history().tries[idle.last_try].extra_responses += 1,
                    _ => {}
                },
                Connection::Proxied(..) => return Some(idle.http),
            }
        }
    }

    async fn connect(&self, gateway: usize) -> io::Result<HttpConnection> {
        let context = self.context;
        let (own, peer) = (Node::Client, Node::Gateway(gateway));
        // A handshake does not complete while the link is cut.
        while !context.links.can_connect(own, peer, context.now()) {
            context.sleep_until(context.now() + 0.02).await;
        }
        let now = context.now();
        if context.links.effect(own, peer, now).refuse || context.links.effect(peer, own, now).refuse {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let stream = TcpStream::connect(context.gateways[gateway].address()).await?;
        Ok(HttpConnection::new(Connection::new(context, stream, own, peer)))
    }
}

fn format_request(txn: u64, request: &Request, remaining_s: f64, context: &RunContext) -> String {
    let (class, plan) =
        (CLASS_NAMES[usize::from(request.class)], PLAN_NAMES[usize::from(request.service_plan())]);
    let (method, body) = if request.class == 0 { ("GET", "") } else { ("POST", POST_BODY) };
    let length =
        if request.class == 0 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let (spread, first) = (context.plan.traffic.spread, context.router().first_gateway(request.customer));
    format!(
        "{method} /{class}?account={:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {txn:016x}\r\nX-Lane: {class}\r\n\
         X-Plan: {plan}\r\nX-Remaining-Ms: {}\r\nX-Quota: units={},spread={spread},first={first}\r\n{length}\r\n{body}",
        request.account(),
        (remaining_s * 1000.0).max(1.0) as u64,
        request.estimated_units,
    )
}
