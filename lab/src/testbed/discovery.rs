//! The simulated discovery service: an agent for each gateway, served over HTTP.

use crate::fault::Node;
use crate::model::registry::{Agent, ServerEntry, ServerState};
use crate::testbed::wire::{format_response, HttpConnection, ServiceListener};
use crate::testbed::RunContext;
use serde_json::json;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// An empty line is sent on a stream after this time without a change.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How often the state of a cut link is polled, in s.
const POLL_INTERVAL_S: f64 = 0.02;

/// The discovery service.
pub struct DiscoveryService {
    /// Its listener.
    pub listener: Arc<ServiceListener>,
    agents: Vec<Mutex<Agent>>,
    /// Changes when an agent becomes silent, so that its connections are closed.
    silenced: watch::Sender<u64>,
}

impl DiscoveryService {
    /// Creates the service with a closed listener.
    pub fn new(plan: &crate::plan::Plan) -> std::io::Result<DiscoveryService> {
        let agents = (0..plan.fleet.gateways).map(|_| Mutex::default()).collect();
        Ok(DiscoveryService {
            listener: Arc::new(ServiceListener::new(Node::Discovery)?),
            agents,
            silenced: watch::channel(0).0,
        })
    }

    /// The agent of a gateway.
    pub fn agent(&self, gateway: usize) -> MutexGuard<'_, Agent> {
        self.agents[gateway].lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The version that a gateway's agent has now, and when it receives the next change. The lock of the registry is
    /// always taken before that of an agent.
    pub fn agent_version(&self, context: &RunContext, gateway: usize) -> (usize, Option<f64>) {
        let (registry, mut agent) = (context.registry(), self.agent(gateway));
        (agent.update(&registry, context.now()), agent.next_update_at(&registry))
    }

    /// Closes the connections of silent agents.
    pub fn close_silent(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }

    /// Opens the listener and serves its connections.
    pub async fn run(self: &Arc<Self>, context: &Arc<RunContext>) -> std::io::Result<()> {
        let (service, shared) = (self.clone(), context.clone());
        let on_connection = move |gateway, io| {
            let (service, context) = (service.clone(), shared.clone());
            tokio::spawn(async move {
                let mut silenced = service.silenced.subscribe();
                let mut http = HttpConnection::new(io);
                let serving = service.serve(&context, gateway, &mut http);
                tokio::pin!(serving);
                loop {
                    tokio::select! {
                        () = &mut serving => return,
                        _ = silenced.changed() => if service.agent(gateway).is_silent { return },
                    }
                }
            });
        };
        self.listener.serve(context, on_connection).await
    }

    async fn serve(&self, context: &Arc<RunContext>, gateway: usize, http: &mut HttpConnection) {
        while let Ok(Some((head, _))) = http.read_message(false).await {
            if self.agent(gateway).is_silent {
                return;
            }
            let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
            if path != "/registry/instances" {
                let _ = http.write(&format_response(404, "", "")).await;
                continue;
            }
            if query.split('&').any(|part| part == "stream=1") {
                let index = query.split('&').find_map(|part| part.strip_prefix("index=")?.parse().ok());
                return self.stream_changes(context, gateway, index.unwrap_or(0), http).await;
            }
            let (version, _) = self.agent_version(context, gateway);
            let text = registry_json(context, gateway, version, true, &context.registry().snapshot(version));
            if http.write(&format_response(200, "", &text)).await.is_err() {
                return;
            }
            self.record_sent(context, gateway, 0, version);
        }
    }

    /// Streams the changes after a version, one JSON object a line.
    async fn stream_changes(
        &self, context: &Arc<RunContext>, gateway: usize, index: usize, http: &mut HttpConnection,
    ) {
        let mut registry_changed = context.registry_changed.subscribe();
        if http.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
            return;
        }
        let (mut version, mut has_sent) = (index, false);
        loop {
            // Nothing is written, or recorded as sent, while the link is cut.
            while context.links.effect(Node::Discovery, Node::Gateway(gateway), context.now()).cut {
                context.sleep_until(context.now() + POLL_INTERVAL_S).await;
            }
            let (latest, next) = self.agent_version(context, gateway);
            let line = if latest > version || !has_sent {
                // A gateway with a version that the agent does not have gets the full list.
                let full = version > latest;
                let registry = context.registry();
                let entries =
                    if full { registry.snapshot(latest) } else { registry.changes_between(version, latest) };
                registry_json(context, gateway, latest, full, &entries)
            } else {
                String::new()
            };
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if http.write(chunk.as_bytes()).await.is_err() {
                return;
            }
            self.record_sent(context, gateway, if version > latest { 0 } else { version }, latest);
            (version, has_sent) = (latest, true);
            tokio::select! {
                () = context.sleep_until(next.unwrap_or(f64::INFINITY)), if next.is_some() => {}
                _ = registry_changed.changed() => {}
                () = tokio::time::sleep(KEEPALIVE_INTERVAL) => {}
                () = http.wait_for_close() => return,
            }
        }
    }

    /// Records in the history the changes that were sent to a gateway.
    fn record_sent(&self, context: &RunContext, gateway: usize, from: usize, to: usize) {
        let effect = context.links.effect(Node::Discovery, Node::Gateway(gateway), context.now());
        let at = context.now() + effect.delay_s + effect.jitter_s;
        let entries = context.registry().changes_between(from, to);
        let mut history = context.history();
        for ServerEntry { server, state, .. } in entries {
            history.notifications.push((at, gateway, server, state != ServerState::Ready));
        }
    }
}

/// The full list or its changes, as sent to a gateway.
pub fn registry_json(
    context: &RunContext, gateway: usize, version: usize, full: bool, entries: &[ServerEntry],
) -> String {
    let servers: Vec<_> = entries
        .iter()
        .map(|entry| {
            let zone = context.plan.zone(entry.server);
            json!({
                "id": format!("s-{:08x}", entry.server + 1),
                "addr": context.servers[entry.server].listener.address_for(gateway),
                "zone": zone_name(zone),
                "kind": "std-2c",
                "cell": entry.server / 4,
                "state": match entry.state {
                    ServerState::Ready => "Ready",
                    ServerState::Draining => "Terminating",
                    ServerState::Gone => "Gone",
                },
                "weight": 1.0,
                "started_ms": entry.started_ms,
            })
        })
        .collect();
    json!({"version": version, "full": full, "servers": servers}).to_string()
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("hall-{zone}")
}
