//! State updates from the agent, and what they change: the route table, the settings of the decision module and
//! the list of backends.

use super::versions::{CanaryPool, SeenBackend};
use super::{Proxy, CONNECT_MS, IDLE_MS, MAX_RETRY_AFTER_MS, RECONNECT_DELAY};
use crate::agent::proxy_listen_address;
use crate::link::{self, MessageReader, MessageSender};
use crate::protocol::ToProxy;
use crate::rate_shares::Shares;
use crate::replica::Effects;
use crate::rollout::placement::{Placement, Placements};
use crate::routes::numbers::ListedPools;
use crate::routes::{RouteTable, WarmUp, Zones};
use crate::settings::Settings;
use crate::state::Touched;
use oakfall::plane::driver::DiscoveredBackend as DriverBackend;
use oakfall::{BackendEntry, BackendState, Limits, Plan, RetryBudget, Rules, Settings as DriverSettings};
use std::cell::LazyCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Distance cost of a backend in another region, in multiples of a typical request time.
const OTHER_REGION_COST: f64 = 6.0;
/// Distance cost of a backend in another zone of the region, in the same unit.
const OTHER_ZONE_COST: f64 = 0.15;
/// Fraction of the retry budget of all gateways that is used; the rest covers gateways that are unknown here.
const RETRY_BUDGET_SHARE: f64 = 0.8;
/// A request is refused early if its expected time exceeds this multiple of the target: a slightly late
/// response is still useful, and remote zones take longer even without a queue.
const EARLY_REFUSAL_OF_TARGET: f64 = 1.2;
/// Interval of checks for leader contact while the full rate is not allowed; shorter than `FULL_RATE_MS`.
const FULL_RATE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl Proxy {
    pub(super) async fn run_agent_link(self: Rc<Self>) {
        loop {
            if let Ok(stream) = link::connect(proxy_listen_address(&self.settings)).await {
                // After any error the proxy reconnects; until then the current state stays in use.
                let _ = self.serve_agent_link(stream).await;
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    async fn serve_agent_link(self: &Rc<Self>, stream: TcpStream) -> std::io::Result<()> {
        let (read, write) = stream.into_split();
        let (outgoing, queue) = MessageSender::new();
        let writer = tokio::task::spawn_local(link::write(write, queue));
        let mut incoming = MessageReader::<ToProxy>::new(read);
        let result = loop {
            let ready = self.ready();
            let version_counts = self.versions.report();
            outgoing.send(&self.replica.borrow_mut().message(
                self.now(),
                self.client_addr.to_string(),
                ready,
                version_counts,
            ));
            let next = tokio::select! {
                next = incoming.next() => next,
                () = self.readiness_changed.notified() => continue,
            };
            match next {
                Ok(update) => self.apply_update(update),
                Err(e) => break Err(e),
            }
        };
        writer.abort();
        result
    }

    /// Applies a state update from the agent.
    pub fn apply_update(self: &Rc<Self>, update: ToProxy) {
        let (now, counter) = (self.now(), update.counter.parse().ok());
        let Effects { touched, repaired, leader_heard_at } = self.replica.borrow_mut().apply(now, update);
        if repaired {
            self.metrics.replica_repaired();
        }
        if touched.contains(&Touched::Config) {
            self.apply_config();
        }
        if touched.contains(&Touched::Gateways) || touched.contains(&Touched::Config) {
            self.update_settings();
        }
        let full_rate = self.replica.borrow().has_full_rate(now);
        if touched.iter().any(|part| *part != Touched::Nothing) || full_rate != self.full_rate.get() {
            self.update_backends();
        }
        self.counter_addr.send_if_modified(|at| std::mem::replace(at, counter) != counter);
        if let Some(heard_at) = leader_heard_at {
            self.quota_client.borrow_mut().leader_contacted(heard_at);
        }
        if !self.was_synced.get() && self.table.borrow().is_some() && self.lease_is_valid() {
            self.was_synced.set(true);
            self.synced.notify_waiters();
        }
    }

    /// Updates the backends once the last contact with a settled leader is too old to allow the full rate.
    pub(super) async fn watch_full_rate(self: Rc<Self>) {
        loop {
            let left = self.replica.borrow().full_rate_until() - self.now();
            sleep(if left > 0.0 { Duration::from_secs_f64(left / 1000.0) } else { FULL_RATE_CHECK_INTERVAL })
                .await;
            if self.full_rate.get() && !self.replica.borrow().has_full_rate(self.now()) {
                log::info!(
                    "proxy: no contact with an up-to-date leader: limiting all backends to the cold rate"
                );
                self.update_backends();
            }
        }
    }

    /// Applies the configuration of the current state.
    fn apply_config(&self) {
        let replica = self.replica.borrow();
        let Some(config) = replica.state().and_then(|state| state.config.as_ref()) else { return };
        let (mut classes, mut pools) = (self.classes.borrow_mut(), self.pools.borrow_mut());
        match RouteTable::new(&config.text, &self.zones, &mut classes, &mut pools) {
            Ok(table) => {
                self.quota_client.borrow_mut().set_limits(self.now(), &table.limits);
                *self.table.borrow_mut() = Some(Rc::new(table));
            }
            Err(e) => log::error!("proxy: cannot apply configuration r{}: {}", config.edition, e.0),
        }
    }

    fn update_settings(&self) {
        let Some((gateways, position)) = self.replica.borrow().state().map(|state| {
            let position = state.gateways.keys().position(|node| *node == self.settings.node);
            (state.gateways.len().max(1), position.unwrap_or(0))
        }) else {
            return;
        };
        self.quota_client.borrow_mut().set_gateways(gateways);
        let classes = self.classes.borrow().settings().to_vec();
        let settings =
            driver_settings(&self.settings, &self.zones, classes, gateways as u32, position as u32);
        self.driver.apply_settings(settings, CONNECT_MS, IDLE_MS);
    }

    fn update_backends(&self) {
        let replica = self.replica.borrow();
        let Some(state) = replica.state() else { return };
        let table = self.table.borrow();
        let (mut pools, mut listed_pools) = (self.pools.borrow_mut(), ListedPools::default());
        let evacuated =
            state.evacuated.iter().fold(0, |mask, zone| mask | 1 << self.zones.number(zone).min(63));
        self.evacuated.set(evacuated);
        let (proxy_now, driver_now) = (self.now(), self.driver.now());
        let region = |zone: &str| self.zones.region(zone);
        let full_rate = replica.has_full_rate(proxy_now);
        self.full_rate.set(full_rate);
        let warm_up = |pool: u32| table.as_ref().map_or(&WarmUp::NONE, |table| table.warm_up(pool));
        let closes_unordered = self.settings.closes_unordered_versions;
        let registered = state.backends.values().map(|known| &known.backend);
        let placements = Placements::new(&state.versions, closes_unordered, registered, region, |zone| {
            state.evacuated.contains(zone)
        });
        let canary_pools = state.versions.all_under_way().filter_map(|rollout| {
            let service = &rollout.order.service;
            let canary = CanaryPool::of(rollout, listed_pools.hold(pools.of_canaries(service)))?;
            Some((listed_pools.hold(pools.of_service(service)), canary))
        });
        *self.canary_pools.borrow_mut() = canary_pools.collect();
        let seen = state.backends.values().map(|known| SeenBackend {
            backend: &known.backend,
            is_near: region(&known.backend.zone) == Some(&self.settings.region),
            cold_until: known.cold_until,
            warm_up_ms: warm_up(pools.of_service(&known.backend.service).number).duration_ms,
        });
        self.versions.update(proxy_now, &state.versions, seen);
        // Computed only if some backend is rate-limited.
        let shares = LazyCell::new(|| {
            let names = state.gateways.keys().map(String::as_str);
            Shares::new(&self.settings.bounds, &self.settings.node, names)
        });
        let listed_backends = state.backends.values().filter_map(|known| {
            let backend = &known.backend;
            let service_pool = listed_pools.hold(pools.of_service(&backend.service));
            let zone = self.zones.number(&backend.zone);
            let placement = placements.of(backend);
            let pool = match placement {
                Placement::Canary => listed_pools.hold(pools.of_canaries(&backend.service)),
                Placement::InService | Placement::Closed => service_pool,
            };
            let gets_requests = placement != Placement::Closed && !backend.draining;
            let WarmUp { cold_per_s, duration_ms: warm_up_ms, .. } = *warm_up(service_pool);
            // Backends may have become cold while their zone was evacuated.
            let warm_after_evacuation =
                state.evacuation_ends.get(&backend.zone).map_or(0.0, |at| at + warm_up_ms);
            let cold_until = known.cold_until.max(warm_after_evacuation);
            let cold_until = if cold_until > proxy_now { driver_now + cold_until - proxy_now } else { 0.0 };
            let cold = cold_per_s > 0.0 && cold_until > driver_now;
            let share =
                (cold_per_s > 0.0 && (cold || !full_rate)).then(|| shares.share(&backend.id, cold_per_s));
            let distance_cost = match (
                backend.zone == self.settings.zone,
                region(&backend.zone) == Some(&self.settings.region),
            ) {
                (true, _) => 0.0,
                (_, true) => OTHER_ZONE_COST,
                _ => OTHER_REGION_COST,
            };
            let listed = BackendEntry {
                id: 0,
                zone,
                kind: 0,
                cell: 0,
                state: if gets_requests { BackendState::Ready } else { BackendState::Draining },
                size: f64::from(backend.max_concurrency.max(1)),
                started: 0.0,
                pool,
                distance_cost,
                cold_until: if cold_per_s > 0.0 { cold_until } else { 0.0 },
                cold_per_s: share.map_or(0.0, |share| cold_per_s / share.senders),
                limited_until: match share {
                    None => 0.0,
                    Some(_) if full_rate => cold_until,
                    Some(_) => f64::INFINITY,
                },
                limit: share.map_or(0, |share| share.limit),
            };
            Some(DriverBackend {
                name: backend.id.clone(),
                addr: Some(backend.address.parse().ok()?),
                entry: listed,
            })
        });
        self.driver.update_backends(true, listed_backends.collect());
        *self.listed_pools.borrow_mut() = listed_pools;
        pools.release_unused();
        self.driver.discovery_synced();
    }
}

/// Settings of the decision module.
pub(super) fn driver_settings(
    settings: &Settings, zones: &Zones, classes: Vec<oakfall::Class>, gateways: u32, position: u32,
) -> DriverSettings {
    let bounds = &settings.bounds;
    DriverSettings {
        gateways,
        position,
        zone: zones.number(&settings.zone),
        tick_ms: 0.0,
        classes,
        plans: vec![Plan { worth_factor: 1.0, ..Plan::default() }],
        counter: None,
        max_units: 1.0,
        units_are_estimates: false,
        limits: Limits {
            max_attempts: 4,
            hedging: false,
            cancel: true,
            probes: false,
            peers: false,
            retry_after: true,
            max_retry_after_ms: MAX_RETRY_AFTER_MS,
        },
        rules: Rules {
            cold_capacity: 0.5,
            early_refusal_share: EARLY_REFUSAL_OF_TARGET,
            overload_multiple: 2.0,
            overload_ms: 1000.0,
            retry_budget: Some(RetryBudget {
                ratio: bounds.retry_ratio * RETRY_BUDGET_SHARE,
                burst: bounds.retry_slack * RETRY_BUDGET_SHARE / f64::from(gateways.max(1)),
            }),
            ..Rules::default()
        },
        ..DriverSettings::default()
    }
}
