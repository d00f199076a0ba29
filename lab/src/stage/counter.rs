//! The counter: the model behind a real socket.

use crate::fault::{FaultHandle, Node};
use crate::model::counter::{Counter, Reply};
use crate::stage::wire::{answer, Door, Http};
use crate::stage::World;
use rand::Rng;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// Calls of one connection whose answers are out; more wait to be read.
const PIPELINED: usize = 1024;

/// The counter's place.
pub struct Seat {
    /// Where it listens.
    pub door: Arc<Door>,
    model: Mutex<Counter>,
    /// Rises when it is lost: its connections are reset.
    lives: watch::Sender<u64>,
    gone: Mutex<Option<FaultHandle>>,
}

impl Seat {
    /// Not yet open.
    pub fn new(plan: &crate::plan::Plan) -> std::io::Result<Seat> {
        Ok(Seat {
            door: Arc::new(Door::new(Node::Counter)?),
            model: Mutex::new(Counter::new(&plan.counter)),
            lives: watch::channel(0).0,
            gone: Mutex::default(),
        })
    }

    /// The model.
    pub fn model(&self) -> MutexGuard<'_, Counter> {
        self.model.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// It is lost with its machine, or back and empty.
    pub fn out(&self, world: &World, out: bool) {
        let mut gone = self.gone.lock().unwrap_or_else(|e| e.into_inner());
        let fault = if out {
            let fault = world.links.isolate(Node::Counter, world.plan.fleet.gateways, world.now());
            *gone = Some(fault.clone());
            fault
        } else {
            let Some(fault) = gone.take() else { return };
            self.model().flush();
            self.lives.send_modify(|life| *life += 1);
            world.links.heal(&fault);
            fault
        };
        drop(gone);
        world.refilter(&fault);
    }

    /// Opens its listener.
    pub async fn run(self: &Arc<Self>, world: &Arc<World>) -> std::io::Result<()> {
        let (seat, at) = (self.clone(), world.clone());
        let meet = move |_, io| {
            let (seat, world) = (seat.clone(), at.clone());
            tokio::spawn(async move {
                let mut lives = seat.lives.subscribe();
                let mut http = Http::new(io);
                let reset = tokio::select! {
                    () = seat.serve(&world, &mut http) => false,
                    _ = lives.changed() => true,
                };
                if reset {
                    http.io.reset();
                }
            });
        };
        self.door.run(world, meet).await
    }

    async fn serve(&self, world: &Arc<World>, http: &mut Http) {
        let mut out: std::collections::VecDeque<(f64, Vec<u8>)> = Default::default();
        loop {
            // Answers come in the order of the calls, each once its call has had its turn.
            let due = out.front().map(|(at, _)| *at);
            tokio::select! {
                () = world.sleep_until(due.unwrap_or(f64::INFINITY)), if due.is_some() => {
                    let Some((_, text)) = out.pop_front() else { continue };
                    if http.write(&text).await.is_err() {
                        return;
                    }
                }
                call = http.read(false), if out.len() < PIPELINED => {
                    let Ok(Some((head, _))) = call else { return };
                    out.push_back(self.call(world, &head.target));
                }
            }
        }
    }

    fn call(&self, world: &World, target: &str) -> (f64, Vec<u8>) {
        let now = world.now();
        let parts = target.strip_prefix("/counters/").and_then(|rest| rest.split_once('?'));
        let number = |query: &str, key: &str| {
            let value = query.split('&').find_map(|part| part.strip_prefix(key)?.strip_prefix('='));
            value.and_then(|value| value.parse::<f64>().ok()).filter(|value| value.is_finite())
        };
        let call = parts.and_then(|(name, query)| {
            Some((name, number(query, "by")?, number(query, "expire_ms")?))
                .filter(|(name, ..)| (1..=64).contains(&name.len()))
        });
        let Some((name, by, life_ms)) = call else { return (now, answer(400, "", "no such call\n")) };
        let reply = self.model().call(now, name, by, life_ms / 1000.0, rand::rng().random());
        let mut ledger = world.ledger();
        ledger.counter_calls.0 += 1;
        match reply {
            Reply::Total { at, total } => (at, answer(200, "", &format!("{total:.3}"))),
            Reply::Full { at } => {
                ledger.counter_calls.1 += 1;
                (at, answer(503, "", "full\n"))
            }
        }
    }
}
