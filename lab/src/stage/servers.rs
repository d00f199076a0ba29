//! Servers: the model behind real sockets.

use crate::fault::{FaultHandle, Node};
use crate::ledger::{request_of, Attempt, AttemptOutcome, ServerState};
use crate::model::registry::State;
use crate::model::server::{Server, Trouble, Verdict};
use crate::stage::wire::{answer, Door, Http, Io};
use crate::stage::World;
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{oneshot, watch, Notify};

/// Requests with numbers from here on are those of people who look in: they are served at once and not counted.
pub const VISITORS: u64 = 0xF << 60;

/// One server's place.
pub struct Seat {
    place: usize,
    /// Where it listens.
    pub door: Arc<Door>,
    state: Mutex<Inside>,
    /// Wakes what drives the model.
    wake: Notify,
    /// Rises when the process dies: all its connections are reset.
    lives: watch::Sender<u64>,
    /// It is listed and up.
    up: AtomicBool,
}

struct Inside {
    model: Server,
    rng: Pcg64,
    waits: HashMap<u64, oneshot::Sender<()>>,
    next: u64,
    held: usize,
    vanished: Option<FaultHandle>,
}

impl Inside {
    fn tell(&mut self, done: Vec<u64>) {
        for id in done {
            // One whose gateway let go of it waits no more.
            self.waits.remove(&id).map(|done| done.send(()));
        }
    }
}

/// A request at a server; noted as dropped unless something else is said of it.
struct Held<'a> {
    world: &'a World,
    run: Attempt,
}

impl Held<'_> {
    fn end(mut self, fate: AttemptOutcome) {
        self.run.outcome = (self.world.now(), fate);
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        if self.run.outcome.1 == AttemptOutcome::InProgress {
            self.run.outcome = (self.world.now(), AttemptOutcome::Aborted);
        }
        self.world.ledger().attempts.push(self.run);
    }
}

impl Seat {
    /// A server at this place with its listener, not yet open.
    pub fn new(world_plan: &crate::plan::Plan, place: usize, speed: f64) -> std::io::Result<Seat> {
        let inside = Inside {
            model: Server::new(&world_plan.fleet, speed),
            rng: world_plan.rng(0x5E00_0000 + place as u64),
            waits: HashMap::new(),
            next: 0,
            held: 0,
            vanished: None,
        };
        Ok(Seat {
            place,
            door: Arc::new(Door::new(Node::Server(place))?),
            state: Mutex::new(inside),
            wake: Notify::new(),
            lives: watch::channel(0).0,
            up: AtomicBool::new(false),
        })
    }

    fn inside(&self) -> MutexGuard<'_, Inside> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// It is listed and up, or not.
    pub fn stands(&self, up: bool) {
        self.up.store(up, Ordering::Relaxed);
    }

    /// Whether it takes work.
    pub fn takes(&self) -> bool {
        self.up.load(Ordering::Relaxed)
    }

    /// Whether one more request would get a core to itself.
    pub fn idle(&self) -> bool {
        self.inside().model.idle()
    }

    /// Opens its listener, unless it is a spare one, and drives its model until the run ends.
    pub async fn run(self: &Arc<Self>, world: &Arc<World>, spare: bool) -> std::io::Result<()> {
        if !spare {
            self.open(world).await?;
        }
        let (seat, world) = (self.clone(), world.clone());
        tokio::spawn(async move {
            loop {
                let next = {
                    let (mut inside, mut done) = (seat.inside(), Vec::new());
                    inside.model.advance(world.now(), &mut done);
                    inside.tell(done);
                    inside.model.next()
                };
                tokio::select! {
                    () = world.sleep_until(next.unwrap_or(f64::INFINITY)), if next.is_some() => {}
                    () = seat.wake.notified() => {}
                }
            }
        });
        Ok(())
    }

    async fn open(self: &Arc<Self>, world: &Arc<World>) -> std::io::Result<()> {
        let (seat, at) = (self.clone(), world.clone());
        let meet = move |gateway, io| {
            let (seat, world) = (seat.clone(), at.clone());
            tokio::spawn(async move { seat.meet(&world, gateway, io).await });
        };
        self.door.run(world, meet).await
    }

    /// The process dies.
    pub fn kill(&self, world: &World) {
        self.door.close();
        self.lives.send_modify(|life| *life += 1);
        world.stands(self.place, ServerState::Unavailable);
    }

    /// The process starts again, cold.
    pub async fn start(self: &Arc<Self>, world: &Arc<World>) {
        self.inside().model.start(world.now());
        // The port is the stage's own: it can be listened on again.
        if let Err(e) = self.open(world).await {
            world.fault(format!("server {}: {e}", self.place));
        }
        world.stands(self.place, ServerState::Up);
    }

    /// The machine vanishes, or is back.
    pub fn vanish(&self, world: &World, gone: bool) {
        let fault = if gone {
            let fault = world.links.isolate(Node::Server(self.place), world.plan.fleet.gateways, world.now());
            self.inside().vanished = Some(fault.clone());
            fault
        } else {
            let Some(fault) = self.inside().vanished.take() else { return };
            world.links.heal(&fault);
            fault
        };
        world.refilter(&fault);
    }

    /// Something else is wrong with it.
    pub fn trouble(&self, world: &World, change: impl FnOnce(&mut Trouble)) {
        let (mut inside, mut done) = (self.inside(), Vec::new());
        inside.model.trouble(world.now(), change, &mut done);
        inside.tell(done);
        drop(inside);
        self.wake.notify_one();
    }

    async fn meet(&self, world: &Arc<World>, gateway: usize, io: Io) {
        let mut lives = self.lives.subscribe();
        let now = world.now();
        let room = {
            let mut inside = self.inside();
            inside.held += 1;
            inside.held <= world.plan.fleet.connections
        };
        world.ledger().connections.push((now, self.place));
        let mut http = Http::new(io);
        let reset = if room {
            // A process that has died hears nothing of what reaches it in the same moment.
            tokio::select! {
                biased;
                _ = lives.changed() => true,
                reset = self.serve(world, gateway, &mut http) => reset,
            }
        } else {
            // Over its limit: the connection is reset at once.
            true
        };
        self.inside().held -= 1;
        if reset {
            http.io.reset();
        }
    }

    /// Serves one connection to its end; tells whether it ends with a reset.
    async fn serve(&self, world: &Arc<World>, gateway: usize, http: &mut Http) -> bool {
        loop {
            if !matches!(http.begins().await, Ok(true)) {
                return false;
            }
            let first = world.now();
            let Ok(Some((head, _))) = http.read(false).await else { return false };
            let path = head.target.split('?').next().unwrap_or("");
            if path == "/health/live" || path == "/stats" {
                let report = self.probed(world);
                if http.write(&answer(200, "", &report)).await.is_err() {
                    return false;
                }
                continue;
            }
            if let Some(txn) = head.txn.filter(|txn| *txn >= VISITORS) {
                if http.write(&answer(200, "X-Units-Charged: 1\r\n", &body(txn, self.place))).await.is_err() {
                    return false;
                }
                continue;
            }
            let work = head.txn.and_then(|txn| Some((txn, world.works[request_of(txn, world.works.len())?])));
            let Some((txn, arrival)) = work else {
                world.ledger().unknown_requests += 1;
                let _ = http.write(&answer(404, "", "no such request\n")).await;
                return false;
            };
            let came = world.now();
            let (id, verdict, done, chances) = {
                let (mut inside, mut ended) = (self.inside(), Vec::new());
                let id = inside.next;
                inside.next += 1;
                let (chance, chances) = (inside.rng.random(), inside.rng.random::<(f64, f64)>());
                let verdict = inside.model.arrive(came, id, arrival.work_ms, chance, &mut ended);
                inside.tell(ended);
                let (done, wait) = oneshot::channel();
                if verdict == Verdict::Taken {
                    inside.waits.insert(id, done);
                }
                (id, verdict, wait, chances)
            };
            self.wake.notify_one();
            let began = verdict == Verdict::Taken;
            let end = (came, AttemptOutcome::InProgress);
            let held = Held {
                world,
                run: Attempt {
                    txn,
                    server: self.place,
                    gateway,
                    first_byte_at: first,
                    received_at: came,
                    accepted: began,
                    outcome: end,
                },
            };
            match verdict {
                Verdict::Turned => {
                    held.end(AttemptOutcome::Rejected);
                    let text = answer(503, "X-Turned-Away: 1\r\n", "no room\n");
                    if http.write(&text).await.is_err() {
                        return false;
                    }
                    continue;
                }
                Verdict::Error => {
                    held.end(AttemptOutcome::Error);
                    if http.write(&answer(500, "", "error\n")).await.is_err() {
                        return false;
                    }
                    continue;
                }
                Verdict::Fallen => {
                    drop(held);
                    self.kill(world);
                    world.discovery_hears(self.place, State::Gone, false);
                    return true;
                }
                Verdict::Taken => {}
            }
            let ran = tokio::select! {
                ran = done => ran.is_ok(),
                () = http.ended() => false,
            };
            if !ran {
                let (mut inside, mut ended) = (self.inside(), Vec::new());
                inside.waits.remove(&id);
                inside.model.cancel(world.now(), id, &mut ended);
                inside.tell(ended);
                return false;
            }
            let trouble = self.inside().model.troubles();
            if chances.0 < trouble.reset {
                held.end(AttemptOutcome::AnswerLost);
                return true;
            }
            if chances.1 < trouble.spoil {
                held.end(AttemptOutcome::AnswerLost);
                let _ = http.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nspoilt").await;
                return true;
            }
            // Where the run is noted before its answer is heard, no client has an answer that nobody made.
            held.end(AttemptOutcome::Done);
            let units = format!("X-Units-Charged: {}\r\n", arrival.units);
            if http.write(&answer(200, &units, &body(txn, self.place))).await.is_err() {
                return false;
            }
        }
    }

    fn probed(&self, world: &World) -> String {
        let (mut inside, mut done) = (self.inside(), Vec::new());
        inside.model.probed(world.now(), &mut done);
        inside.tell(done);
        let ((work, queue), trouble) = (inside.model.in_hand(), inside.model.troubles());
        drop(inside);
        world.ledger().probes += 1;
        let in_hand = trouble.report.unwrap_or((work + queue) as f64);
        format!("inflight={in_hand},queue={}", if trouble.report.is_some() { 0 } else { queue })
    }
}

/// The answer that a server makes for a request.
pub fn body(txn: u64, server: usize) -> String {
    format!("{txn:016x} ran at server {server}\n")
}

/// Whether an answer is one that a server made for this request.
pub fn made_for(body: &[u8], txn: u64) -> bool {
    body.starts_with(format!("{txn:016x} ran at server ").as_bytes())
}
