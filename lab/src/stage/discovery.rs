//! Discovery: an agent for each gateway, which tells it what has reached it.

use crate::fault::Node;
use crate::model::registry::{Agent, Entry, State};
use crate::stage::wire::{answer, Door, Http};
use crate::stage::World;
use serde_json::json;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// An empty line comes after so long without a change.
const QUIET: Duration = Duration::from_secs(2);
/// How often a cut link is looked at.
const LOOK_S: f64 = 0.02;

/// Discovery's place.
pub struct Seat {
    /// Where it listens.
    pub door: Arc<Door>,
    agents: Vec<Mutex<Agent>>,
    /// Rises when an agent falls silent: its connections end.
    silenced: watch::Sender<u64>,
}

impl Seat {
    /// Not yet open.
    pub fn new(plan: &crate::plan::Plan) -> std::io::Result<Seat> {
        let agents = (0..plan.fleet.gateways).map(|_| Mutex::default()).collect();
        Ok(Seat { door: Arc::new(Door::new(Node::Discovery)?), agents, silenced: watch::channel(0).0 })
    }

    /// One gateway's agent.
    pub fn agent(&self, gateway: usize) -> MutexGuard<'_, Agent> {
        self.agents[gateway].lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The version that one gateway's agent has now, and when it has more. The list is always locked before an agent.
    pub fn has(&self, world: &World, gateway: usize) -> (usize, Option<f64>) {
        let (registry, mut agent) = (world.registry(), self.agent(gateway));
        (agent.has(&registry, world.now()), agent.next(&registry))
    }

    /// Agents have fallen silent.
    pub fn silenced(&self) {
        self.silenced.send_modify(|times| *times += 1);
    }

    /// Opens its listener.
    pub async fn run(self: &Arc<Self>, world: &Arc<World>) -> std::io::Result<()> {
        let (seat, at) = (self.clone(), world.clone());
        let meet = move |gateway, io| {
            let (seat, world) = (seat.clone(), at.clone());
            tokio::spawn(async move {
                let mut silenced = seat.silenced.subscribe();
                let mut http = Http::new(io);
                let conversation = seat.serve(&world, gateway, &mut http);
                tokio::pin!(conversation);
                loop {
                    tokio::select! {
                        () = &mut conversation => return,
                        _ = silenced.changed() => if seat.agent(gateway).silent { return },
                    }
                }
            });
        };
        self.door.run(world, meet).await
    }

    async fn serve(&self, world: &Arc<World>, gateway: usize, http: &mut Http) {
        while let Ok(Some((head, _))) = http.read(false).await {
            if self.agent(gateway).silent {
                return;
            }
            let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
            if path != "/registry/instances" {
                let _ = http.write(&answer(404, "", "")).await;
                continue;
            }
            if query.split('&').any(|part| part == "stream=1") {
                let index = query.split('&').find_map(|part| part.strip_prefix("index=")?.parse().ok());
                return self.watch(world, gateway, index.unwrap_or(0), http).await;
            }
            let (version, _) = self.has(world, gateway);
            let text = object(world, gateway, version, true, &world.registry().whole(version));
            if http.write(&answer(200, "", &text)).await.is_err() {
                return;
            }
            self.told(world, gateway, 0, version);
        }
    }

    async fn watch(&self, world: &Arc<World>, gateway: usize, index: usize, http: &mut Http) {
        let mut changed = world.changed.subscribe();
        if http.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
            return;
        }
        let (mut version, mut begun) = (index, false);
        loop {
            // What is written while nothing passes is not told.
            while world.links.effect(Node::Discovery, Node::Gateway(gateway), world.now()).cut {
                world.sleep_until(world.now() + LOOK_S).await;
            }
            let (has, next) = self.has(world, gateway);
            let line = if has > version || !begun {
                // A version that this discovery never had gets the whole list.
                let whole = version > has;
                let registry = world.registry();
                let entries = if whole { registry.whole(has) } else { registry.between(version, has) };
                object(world, gateway, has, whole, &entries)
            } else {
                String::new()
            };
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if http.write(chunk.as_bytes()).await.is_err() {
                return;
            }
            self.told(world, gateway, if version > has { 0 } else { version }, has);
            (version, begun) = (has, true);
            tokio::select! {
                () = world.sleep_until(next.unwrap_or(f64::INFINITY)), if next.is_some() => {}
                _ = changed.changed() => {}
                () = tokio::time::sleep(QUIET) => {}
                () = http.ended() => return,
            }
        }
    }

    /// Notes what a gateway was told.
    fn told(&self, world: &World, gateway: usize, from: usize, to: usize) {
        let effect = world.links.effect(Node::Discovery, Node::Gateway(gateway), world.now());
        let at = world.now() + effect.delay_s + effect.jitter_s;
        let entries = world.registry().between(from, to);
        let mut ledger = world.ledger();
        for Entry { server, state, .. } in entries {
            ledger.notifications.push((at, gateway, server, state != State::Ready));
        }
    }
}

/// A list or its changes as one gateway gets them.
pub fn object(world: &World, gateway: usize, version: usize, full: bool, entries: &[Entry]) -> String {
    let servers: Vec<_> = entries
        .iter()
        .map(|entry| {
            let zone = world.plan.zone(entry.server);
            json!({
                "id": format!("s-{:08x}", entry.server + 1),
                "addr": world.servers[entry.server].door.seen_by(gateway),
                "zone": zone_name(zone),
                "kind": "std-2c",
                "cell": entry.server / 4,
                "state": match entry.state {
                    State::Ready => "Ready",
                    State::Draining => "Terminating",
                    State::Gone => "Gone",
                },
                "weight": 1.0,
                "started_ms": entry.started_ms,
            })
        })
        .collect();
    json!({"version": version, "full": full, "servers": servers}).to_string()
}

/// A zone's name.
pub fn zone_name(zone: usize) -> String {
    format!("hall-{zone}")
}
