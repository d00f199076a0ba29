//! Clients: each work is asked for when it is due, whatever became of the others, and again as its client's patience
//! and the protocol allow.

use crate::check::TIMING_SLACK_S;
use crate::fault::Node;
use crate::ledger::{transaction_id, Try, TryOutcome};
use crate::model::front::{Arrival, CLASSES, PLANS};
use crate::plan::{TrafficAction, DEADLINES_MS};
use crate::stage::servers::made_for;
use crate::stage::wire::{Http, Io};
use crate::stage::World;
use rand::Rng;
use rand_pcg::Pcg64;
use std::io;
use std::sync::Arc;
use tokio::net::TcpStream;

/// Idle connections that clients keep to a gateway, at most.
const KEPT: usize = 64;
/// Body of a request that has one.
const BODY: &str = "{\"items\":[4711,4712],\"pickup\":\"hall\"}";
/// A client that may still ask has at least so long left for it, in s.
const LEAST_S: f64 = 0.05;

/// A connection that stands idle, and what was asked on it last.
pub struct Kept {
    http: Http,
    last: usize,
    process: u64,
}

/// Asks for all works as they fall due; returns once the last one has ended.
pub async fn run(world: &Arc<World>) {
    let mut asking = tokio::task::JoinSet::new();
    for (work, arrival) in world.works.iter().enumerate() {
        world.sleep_until(world.begin() + arrival.at).await;
        let world = world.clone();
        asking.spawn(async move {
            Client { world: &world, work, rng: world.plan.rng(1 << 40 | work as u64) }.run().await
        });
        while asking.try_join_next().is_some() {}
    }
    while asking.join_next().await.is_some() {}
}

struct Client<'a> {
    world: &'a Arc<World>,
    work: usize,
    rng: Pcg64,
}

impl Client<'_> {
    async fn run(&mut self) {
        let world = self.world;
        let arrival = world.works[self.work];
        let began = world.now();
        world.late(began - world.begin() - arrival.at);
        world.ledger().first_sent[self.work] = Some(began);
        let ends = began + DEADLINES_MS[usize::from(arrival.class)] / 1000.0;
        let (more, mut wait_s) = (self.storm(), world.plan.traffic.backoff_ms / 1000.0);
        for number in 0..=world.plan.traffic.retries + more {
            let gateway = world.front().deal(arrival.customer, &mut self.rng);
            let end = self.ask(gateway, number, &arrival, ends).await;
            let again = match end {
                TryOutcome::Served => return,
                TryOutcome::Refused(_) | TryOutcome::Unreached => true,
                // An unsafe one may have run.
                _ => arrival.class == 0,
            };
            let advice = match end {
                TryOutcome::Refused(Some(ms)) if arrival.honours => f64::from(ms) / 1000.0,
                _ => 0.0,
            };
            let wait = if more > 0 { 0.0 } else { advice.max(wait_s * self.rng.random_range(0.5..1.5)) };
            wait_s *= 2.0;
            if !again || world.now() + wait + LEAST_S > ends {
                return;
            }
            world.sleep_until(world.now() + wait).await;
        }
    }

    /// Tries on top, while clients storm.
    fn storm(&self) -> u32 {
        let (world, at) = (self.world, self.world.works[self.work].at);
        let steps = world.plan.step.iter().filter(|step| (step.at..step.end_s(&world.plan)).contains(&at));
        let more =
            steps.filter_map(|step| step.traffic.as_ref().filter(|on| on.action == TrafficAction::Storm));
        more.map(|on| on.by as u32).max().unwrap_or(0)
    }

    /// One try through one gateway, noted from its beginning to its end.
    async fn ask(&mut self, gateway: usize, number: u32, arrival: &Arrival, until: f64) -> TryOutcome {
        let (world, txn) = (self.world, transaction_id(self.work, number));
        let place = {
            let mut ledger = world.ledger();
            let at = world.now();
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
        // What the gateway owes until the client leaves may come a little later.
        let end = tokio::select! {
            end = self.talk(gateway, place, arrival, until) => end,
            () = world.sleep_until(until + TIMING_SLACK_S) => None,
        };
        let (end, kept) = match end {
            Some((end, kept)) => (end, kept),
            None => (self.unless_written(place, TryOutcome::TimedOut), None),
        };
        if matches!(end, TryOutcome::Refused(_)) && world.some_idle(gateway) {
            // Its moment is its refusal's, by which it is found again.
            let mut ledger = world.ledger();
            let at = world.now();
            ledger.tries[place].outcome = Some((at, end));
            ledger.needless_refusals.push(at);
        } else {
            world.ledger().tries[place].outcome = Some((world.now(), end));
        }
        if let Some(kept) = kept {
            let mut idle = world.kept(gateway);
            if idle.len() < KEPT {
                idle.push(kept);
            }
        }
        end
    }

    /// What becomes of a try without an answer: if its last byte was never written, no gateway was reached.
    fn unless_written(&self, place: usize, end: TryOutcome) -> TryOutcome {
        if self.world.ledger().tries[place].written {
            end
        } else {
            TryOutcome::Unreached
        }
    }

    async fn talk(
        &self, gateway: usize, place: usize, arrival: &Arrival, until: f64,
    ) -> Option<(TryOutcome, Option<Kept>)> {
        let world = self.world;
        let txn = world.ledger().tries[place].txn;
        let mut reused = true;
        loop {
            let process = world.process(gateway);
            let old = if reused { self.reuse(gateway) } else { None };
            reused = old.is_some();
            let mut http = match old {
                Some(http) => http,
                None => match self.connect(gateway).await {
                    Ok(http) => http,
                    Err(_) => return Some((TryOutcome::Unreached, None)),
                },
            };
            let now = world.now();
            if now >= until {
                // Its time went by while the link was down: it asks nobody any more, and nobody owes it an answer.
                return Some((TryOutcome::Unreached, None));
            }
            let text = request(txn, arrival, until - now, world);
            let written = http.write(text.as_bytes()).await;
            if written.is_ok() {
                let (mut ledger, at) = (world.ledger(), world.now());
                (ledger.tries[place].sent_at, ledger.tries[place].written) = (at, true);
            }
            let answered = match written {
                Ok(()) => http.read(true).await,
                Err(e) => Err(e),
            };
            let broke = match answered {
                Ok(Some((head, body))) => {
                    let end = match head.status {
                        200 if made_for(&body, txn) => TryOutcome::Served,
                        200 => TryOutcome::WrongBody,
                        429 | 503 => TryOutcome::Refused(head.retry_after_ms),
                        status => TryOutcome::Failed(status),
                    };
                    if http.has_more() {
                        world.ledger().tries[place].extra_answers += 1;
                    }
                    let kept = (!head.close).then_some(Kept { http, last: place, process });
                    return Some((end, kept));
                }
                Ok(None) => io::ErrorKind::UnexpectedEof,
                Err(e) => e.kind(),
            };
            // A gateway may close a connection between requests; what crosses that close is sent once more, if
            // nothing else can have ended it.
            let crossed = reused
                && process == world.process(gateway)
                && world.link_sound(Node::Client, Node::Gateway(gateway))
                && broke != io::ErrorKind::InvalidData;
            if !crossed {
                return Some((self.unless_written(place, TryOutcome::Disconnected), None));
            }
            world.ledger().tries[place].written = false;
        }
    }

    /// A kept connection to this process that is still open. What lies on it unasked is an answer too many.
    fn reuse(&self, gateway: usize) -> Option<Http> {
        let world = self.world;
        loop {
            let kept = world.kept(gateway).pop()?;
            if kept.process != world.process(gateway) {
                continue;
            }
            match &kept.http.io {
                Io::Plain(stream) => match stream.try_read(&mut [0]) {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Some(kept.http),
                    Ok(1..) => world.ledger().tries[kept.last].extra_answers += 1,
                    _ => {}
                },
                Io::Piped(..) => return Some(kept.http),
            }
        }
    }

    async fn connect(&self, gateway: usize) -> io::Result<Http> {
        let world = self.world;
        let (own, other) = (Node::Client, Node::Gateway(gateway));
        // Packets of a cut link get nowhere: the handshake waits until it is whole again.
        while !world.links.can_connect(own, other, world.now()) {
            world.sleep_until(world.now() + 0.02).await;
        }
        let now = world.now();
        if world.links.effect(own, other, now).refuse || world.links.effect(other, own, now).refuse {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let stream = TcpStream::connect(world.gateways[gateway].address()).await?;
        Ok(Http::new(Io::new(world, stream, own, other)))
    }
}

fn request(txn: u64, arrival: &Arrival, left_s: f64, world: &World) -> String {
    let (class, plan) = (CLASSES[usize::from(arrival.class)], PLANS[usize::from(arrival.plan())]);
    let (method, body) = if arrival.class == 0 { ("GET", "") } else { ("POST", BODY) };
    let length =
        if arrival.class == 0 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let (spread, first) = (world.plan.traffic.spread, world.front().first(arrival.customer));
    format!(
        "{method} /{class}?account={:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {txn:016x}\r\nX-Lane: {class}\r\n\
         X-Plan: {plan}\r\nX-Remaining-Ms: {}\r\nX-Quota: units={},spread={spread},first={first}\r\n{length}\r\n{body}",
        arrival.account(),
        (left_s * 1000.0).max(1.0) as u64,
        arrival.guess,
    )
}
