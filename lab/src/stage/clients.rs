//! Simulated clients. The load is open-loop: each request is sent when it is due, whatever became of the others, and
//! is retried as far as its deadline and the protocol allow.

use crate::check::TIMING_SLACK_S;
use crate::fault::Node;
use crate::ledger::{transaction_id, Try, TryOutcome};
use crate::model::front::{Arrival, CLASS_NAMES, PLAN_NAMES};
use crate::plan::{TrafficAction, DEADLINES_MS};
use crate::stage::servers::is_response_for;
use crate::stage::wire::{Connection, HttpConnection};
use crate::stage::RunContext;
use rand::Rng;
use rand_pcg::Pcg64;
use std::io;
use std::sync::Arc;
use tokio::net::TcpStream;

/// Most idle connections that clients keep open to a gateway.
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
    for (work, arrival) in context.arrivals.iter().enumerate() {
        context.sleep_until(context.load_start() + arrival.at).await;
        let context = context.clone();
        clients.spawn(async move {
            Client { context: &context, work, rng: context.plan.rng(1 << 40 | work as u64) }.run().await
        });
        while clients.try_join_next().is_some() {}
    }
    while clients.join_next().await.is_some() {}
}

/// The client of one request, which sends it and its retries.
struct Client<'a> {
    context: &'a Arc<RunContext>,
    /// Index of the request in [`RunContext::arrivals`].
    work: usize,
    rng: Pcg64,
}

impl Client<'_> {
    async fn run(&mut self) {
        let context = self.context;
        let arrival = context.arrivals[self.work];
        let began = context.now();
        context.record_client_lateness(began - context.load_start() - arrival.at);
        context.ledger().first_sent[self.work] = Some(began);
        let deadline = began + DEADLINES_MS[usize::from(arrival.class)] / 1000.0;
        let (extra_retries, mut backoff_s) = (self.extra_retries(), context.plan.traffic.backoff_ms / 1000.0);
        for attempt in 0..=context.plan.traffic.retries + extra_retries {
            let gateway = context.router().choose_gateway(arrival.customer, &mut self.rng);
            let end = self.send_try(gateway, attempt, &arrival, deadline).await;
            let may_retry = match end {
                TryOutcome::Served => return,
                TryOutcome::Refused(_) | TryOutcome::Unreached => true,
                // A non-idempotent request may have run.
                _ => arrival.class == 0,
            };
            let retry_after_s = match end {
                TryOutcome::Refused(Some(ms)) if arrival.honors_retry_after => f64::from(ms) / 1000.0,
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
        let (context, at) = (self.context, self.context.arrivals[self.work].at);
        let steps =
            context.plan.step.iter().filter(|step| (step.at..step.end_s(&context.plan)).contains(&at));
        let storms =
            steps.filter_map(|step| step.traffic.as_ref().filter(|on| on.action == TrafficAction::Storm));
        storms.map(|on| on.by as u32).max().unwrap_or(0)
    }

    /// Sends one try to one gateway and records it in the ledger.
    async fn send_try(&mut self, gateway: usize, attempt: u32, arrival: &Arrival, until: f64) -> TryOutcome {
        let (context, txn) = (self.context, transaction_id(self.work, attempt));
        let try_index = {
            let mut ledger = context.ledger();
            let at = context.now();
            let (work, written, end) = (self.work, false, None);
            ledger.tries.push(Try {
                txn,
                request: work,
                gateway,
                sent_at: at,
                written,
                deadline: until,
                outcome: end,
                extra_answers: 0,
            });
            ledger.tries.len() - 1
        };
        // A response that the gateway sends just in time may arrive a little later.
        let end = tokio::select! {
            end = self.exchange(gateway, try_index, arrival, until) => end,
            () = context.sleep_until(until + TIMING_SLACK_S) => None,
        };
        let (end, connection) = match end {
            Some((end, connection)) => (end, connection),
            None => (self.end_if_written(try_index, TryOutcome::TimedOut), None),
        };
        if matches!(end, TryOutcome::Refused(_)) && context.has_idle_server(gateway) {
            // The checkers match this entry to the refused try by its time.
            let mut ledger = context.ledger();
            let at = context.now();
            ledger.tries[try_index].outcome = Some((at, end));
            ledger.needless_refusals.push(at);
        } else {
            context.ledger().tries[try_index].outcome = Some((context.now(), end));
        }
        if let Some(connection) = connection {
            let mut idle = context.idle_connections(gateway);
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(connection);
            }
        }
        end
    }

    /// The end of a try without a response: `end` if the request was written in full, else [`End::Unreached`].
    fn end_if_written(&self, try_index: usize, end: TryOutcome) -> TryOutcome {
        if self.context.ledger().tries[try_index].written {
            end
        } else {
            TryOutcome::Unreached
        }
    }

    /// Sends a request and reads its response. Returns the end of the try and, if it can be reused, the connection.
    async fn exchange(
        &self, gateway: usize, try_index: usize, arrival: &Arrival, until: f64,
    ) -> Option<(TryOutcome, Option<IdleConnection>)> {
        let context = self.context;
        let txn = context.ledger().tries[try_index].txn;
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
            if now >= until {
                // The deadline passed while connecting: the request is not sent.
                return Some((TryOutcome::Unreached, None));
            }
            let text = format_request(txn, arrival, until - now, context);
            let written = http.write(text.as_bytes()).await;
            if written.is_ok() {
                let (mut ledger, at) = (context.ledger(), context.now());
                (ledger.tries[try_index].sent_at, ledger.tries[try_index].written) = (at, true);
            }
            let response = match written {
                Ok(()) => http.read_message(true).await,
                Err(e) => Err(e),
            };
            let error_kind = match response {
                Ok(Some((head, body))) => {
                    let end = match head.status {
                        200 if is_response_for(&body, txn) => TryOutcome::Served,
                        200 => TryOutcome::WrongBody,
                        429 | 503 => TryOutcome::Refused(head.retry_after_ms),
                        status => TryOutcome::Failed(status),
                    };
                    if http.has_buffered_bytes() {
                        context.ledger().tries[try_index].extra_answers += 1;
                    }
                    let idle =
                        (!head.close).then_some(IdleConnection { http, last_try: try_index, generation });
                    return Some((end, idle));
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
                return Some((self.end_if_written(try_index, TryOutcome::Disconnected), None));
            }
            context.ledger().tries[try_index].written = false;
        }
    }

    /// Takes an idle connection to the current process that is still open. Unread data on one counts as a surplus
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
                    Ok(1..) => context.ledger().tries[idle.last_try].extra_answers += 1,
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

fn format_request(txn: u64, arrival: &Arrival, remaining_s: f64, context: &RunContext) -> String {
    let (class, plan) = (CLASS_NAMES[usize::from(arrival.class)], PLAN_NAMES[usize::from(arrival.plan())]);
    let (method, body) = if arrival.class == 0 { ("GET", "") } else { ("POST", POST_BODY) };
    let length =
        if arrival.class == 0 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let (spread, first) = (context.plan.traffic.spread, context.router().first_gateway(arrival.customer));
    format!(
        "{method} /{class}?account={:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {txn:016x}\r\nX-Lane: {class}\r\n\
         X-Plan: {plan}\r\nX-Remaining-Ms: {}\r\nX-Quota: units={},spread={spread},first={first}\r\n{length}\r\n{body}",
        arrival.account(),
        (remaining_s * 1000.0).max(1.0) as u64,
        arrival.estimated_units,
    )
}
