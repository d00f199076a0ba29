//! Presence of backends, by their heartbeats, and of gateways, by their agents' reports. Only the leader
//! knows contact times; changes that must survive a change of leader are replicated.

use super::{CallResult, Member, Wait};
use crate::api::{
    Answers, Deregister, Done, GetStatus, Heartbeat, HeartbeatResponse, Outcome, Refusal, Resolve, Resolved,
};
use crate::invariants;
use crate::protocol::{Backend, ChangeKind, Gateway};
use crate::status::{GatewayStatus, ServiceStatus, Status, TenantUsage, ViolationCount};
use oakfall::Millis;
use std::collections::BTreeMap;
use std::time::Duration;

/// A gateway whose agent has sent no report for this long is left out of resolve responses.
pub(super) const AGENT_TIMEOUT_MS: Millis = 1500.0;
/// A gateway without contact for this long is removed. Until then it may be partitioned and come back.
const GATEWAY_TIMEOUT_MS: Millis = 60_000.0;
/// A backend that misses this many heartbeats is removed.
const MAX_MISSED_HEARTBEATS: f64 = 4.0;
/// How long a deregistered backend is remembered, so that a delayed heartbeat does not bring it back.
const DEREGISTERED_RETENTION_MS: Millis = 30_000.0;
/// A reported warm-up that ends less than this after the known end counts as unchanged.
const COLD_TOLERANCE_MS: Millis = 400.0;
/// Maximum number of addresses in one resolve response.
const MAX_ADDRESSES: usize = 64;
/// With fewer ready gateways than this in the client's region, gateways of all regions are returned: one may
/// fail.
const MIN_ADDRESSES: usize = 2;
/// Longest time that a client may use a resolve response, unless the settings limit it further.
const MAX_TTL: Duration = Duration::from_secs(2);

/// The leader's own knowledge of presence.
#[derive(Default)]
pub(super) struct Presence {
    started: Millis,
    /// When each backend's last heartbeat arrived, and the highest sequence number of its heartbeats.
    heartbeats: BTreeMap<String, (Millis, u64)>,
    /// Backends that deregistered themselves, and when.
    deregistered: BTreeMap<String, Millis>,
    /// When each gateway was last sent the current index, and the index that its proxy had applied.
    gateway_contacts: BTreeMap<String, (Millis, u64)>,
    /// Every replicated backend has sent this leader a heartbeat, and the resulting changes are applied.
    settled: bool,
}

impl Presence {
    /// No knowledge yet, as at the start of a term.
    pub(super) fn new(now: Millis) -> Self {
        Presence { started: now, ..Presence::default() }
    }

    /// When a gateway was last sent the current index, and the index that its proxy had applied.
    pub(super) fn gateway_contact(&self, node: &str) -> (Millis, u64) {
        self.gateway_contacts.get(node).copied().unwrap_or((self.started, 0))
    }

    /// Whether this backend recently deregistered itself at this leader.
    pub(super) fn has_deregistered(&self, id: &str) -> bool {
        self.deregistered.contains_key(id)
    }

    /// Whether every backend has sent this leader a heartbeat, so that the leader knows which ones are cold.
    pub(super) fn is_settled(&self) -> bool {
        self.settled
    }

    /// Records that a gateway is sent the current index while its proxy has applied `applied_index`.
    pub(super) fn record_gateway_contact(&mut self, now: Millis, node: &str, applied_index: u64) {
        self.gateway_contacts.insert(node.to_owned(), (now, applied_index));
    }
}

impl Answers<Heartbeat> for Member {
    fn answer(&mut self, now: Millis, Heartbeat { backend }: Heartbeat) -> CallResult<HeartbeatResponse> {
        let answer = HeartbeatResponse { beat_address: self.me.clone() };
        let replicated = self.state.backends.get(&backend.id).map(|known| known.backend.heartbeat_seq);
        if self.deregistered_recently(now, &backend.id) {
            return Ok(Outcome::Ready(answer));
        }
        let presence = &mut self.presence;
        let last = presence.heartbeats.entry(backend.id.clone()).or_insert((now, 0));
        last.0 = now;
        let heartbeat_seq = backend.heartbeat_seq;
        if heartbeat_seq < last.1.max(replicated.unwrap_or(0)) {
            // A delayed heartbeat brings no new information.
            return Ok(Outcome::Ready(answer));
        }
        last.1 = heartbeat_seq;
        let unchanged = self.state.backends.get(&backend.id).is_some_and(|known| {
            let cold_until = now + backend.cold_ms as f64;
            let same = Backend { cold_ms: 0, heartbeat_seq, ..known.backend.clone() }
                == Backend { cold_ms: 0, ..backend.clone() };
            same && (backend.cold_ms == 0 || cold_until < known.cold_until + COLD_TOLERANCE_MS)
        });
        if unchanged {
            return Ok(Outcome::Ready(answer));
        }
        Ok(Outcome::Pending(answer, Wait::Committed(ChangeKind::Backend(backend))))
    }
}

impl Answers<Deregister> for Member {
    fn answer(&mut self, now: Millis, Deregister { id }: Deregister) -> CallResult<Done> {
        self.presence.deregistered.insert(id.clone(), now);
        if !self.state.backends.contains_key(&id) {
            return Ok(Outcome::Ready(Done {}));
        }
        Ok(Outcome::Pending(Done {}, Wait::Committed(ChangeKind::BackendGone(id))))
    }
}

impl Answers<Resolve> for Member {
    /// Ready gateways, in random order: those in the client's region, if there are enough.
    fn answer(&mut self, now: Millis, query: Resolve) -> CallResult<Resolved> {
        let ready: BTreeMap<&str, &Gateway> = self
            .agents
            .values()
            .filter(|agent| agent.report.ready && now - agent.last_report < AGENT_TIMEOUT_MS)
            .map(|agent| (agent.gateway.node.as_str(), &agent.gateway))
            .collect();
        let region = |zone: &str| self.settings.zones.get(zone).map(String::as_str);
        let near: Vec<_> =
            ready.values().filter(|gateway| region(&gateway.zone) == Some(query.region.as_str())).collect();
        let mut addresses: Vec<String> = if near.len() >= MIN_ADDRESSES {
            near.iter().map(|gateway| gateway.client_addr.clone()).collect()
        } else {
            ready.values().map(|gateway| gateway.client_addr.clone()).collect()
        };
        self.rng.shuffle(&mut addresses);
        addresses.truncate(MAX_ADDRESSES);
        if addresses.is_empty() {
            return Err(Refusal::Unavailable);
        }
        let ttl = MAX_TTL.min(self.settings.bounds.ttl_max);
        Ok(Outcome::Ready(Resolved { addresses, ttl: format!("{}ms", ttl.as_millis()) }))
    }
}

impl Answers<GetStatus> for Member {
    fn answer(&mut self, now: Millis, _: GetStatus) -> CallResult<Status> {
        Ok(Outcome::Ready(self.status(now)))
    }
}

impl Member {
    /// Whether a backend recently deregistered itself. Deregistrations at an earlier leader are replicated
    /// without a time and count from the start of this term.
    fn deregistered_recently(&self, now: Millis, id: &str) -> bool {
        let here = self.presence.has_deregistered(id);
        here || (now - self.presence.started < DEREGISTERED_RETENTION_MS
            && !self.state.backends.contains_key(id)
            && self.state.deregistered.iter().any(|other| other == id))
    }

    /// Marks presence as settled once every backend has sent a heartbeat and the log is fully applied.
    pub(super) fn update_settled(&mut self) {
        let presence = &mut self.presence;
        let heard = |id: &String| presence.heartbeats.contains_key(id);
        let applied = self.state.index >= self.raft.last_index();
        presence.settled |= applied && self.state.backends.keys().all(heard);
    }

    /// Changes to propose: removals of backends and gateways that timed out, and new or changed registrations
    /// of gateways.
    pub(super) fn presence_changes(&mut self, now: Millis) -> Vec<ChangeKind> {
        let (presence, state) = (&mut self.presence, &self.state);
        let mut changes = Vec::new();
        let timeout = self.settings.heartbeat_interval.as_secs_f64() * 1000.0 * MAX_MISSED_HEARTBEATS;
        for id in state.backends.keys() {
            let heard = presence.heartbeats.get(id).map_or(presence.started, |(at, _)| *at);
            if now - heard > timeout {
                log::info!("core: backend {id} timed out; removing it");
                changes.push(ChangeKind::BackendGone(id.clone()));
            }
        }
        for node in state.gateways.keys() {
            if now - presence.gateway_contact(node).0 > GATEWAY_TIMEOUT_MS {
                log::info!("core: gateway {node} timed out; removing it");
                changes.push(ChangeKind::GatewayGone(node.clone()));
            }
        }
        presence.heartbeats.retain(|id, _| state.backends.contains_key(id));
        presence.deregistered.retain(|_, at| now - *at < DEREGISTERED_RETENTION_MS);
        let present = self.agents.values().filter(|agent| now - agent.last_report < AGENT_TIMEOUT_MS);
        let described = present.map(|agent| &agent.gateway).filter(|gateway| !gateway.client_addr.is_empty());
        let changed = described.filter(|gateway| state.gateways.get(&gateway.node) != Some(gateway));
        changes.extend(changed.cloned().map(ChangeKind::Gateway));
        changes
    }

    /// The system's status as this process sees it.
    fn status(&self, now: Millis) -> Status {
        let (raft, state) = (&self.raft, &self.state);
        let gateway_status = |gateway: &Gateway| {
            let agents = self.agents.values().filter(|agent| agent.gateway.node == gateway.node);
            let agent = agents.max_by(|a, b| a.last_report.total_cmp(&b.last_report));
            GatewayStatus {
                node: gateway.node.clone(),
                zone: gateway.zone.clone(),
                client_addr: gateway.client_addr.clone(),
                ready: agent.is_some_and(|agent| agent.report.ready),
                agent_applied_index: agent.map_or(0, |agent| agent.report.applied_index),
                proxy_applied_index: agent.map_or(0, |agent| agent.report.proxy_applied_index),
                last_message_age_ms: agent.map(|agent| (now - agent.last_report).max(0.0) as u64),
            }
        };
        let mut services = BTreeMap::new();
        for known in state.backends.values() {
            let Backend { service, zone, draining, max_concurrency, .. } = &known.backend;
            let status: &mut ServiceStatus = services.entry((service, zone)).or_default();
            if *draining {
                status.closing += 1;
            } else {
                status.open += 1;
                status.cold += u64::from(known.cold_until > now);
                status.max_concurrency += u64::from(*max_concurrency);
            }
        }
        let services = services.into_iter().map(|((service, zone), status)| ServiceStatus {
            service: service.clone(),
            zone: zone.clone(),
            ..status
        });
        let membership = raft.membership_status(now).unwrap_or_default();
        let tenant_usage = |(tenant, per_s, units): (&str, f64, i64)| TenantUsage {
            tenant: tenant.to_owned(),
            per_s,
            units,
        };
        Status {
            address: self.me.clone(),
            node: self.settings.node.clone(),
            leader: raft.leader().cloned().unwrap_or_default(),
            confirmed_leader: raft.holds_lease(now),
            term: raft.term(),
            index: state.index,
            digest: format!("{:016x}", self.digest.of(state)),
            log_entries: raft.log_length() as u64,
            snapshot_progress: raft.snapshot_progress().map(|(index, received, total, rejected)| {
                match rejected {
                    true => format!("CAN'T READ the state of {index}"),
                    false => format!("has {received} of {total} bytes of the state of {index}"),
                }
            }),
            members: raft.members().to_vec(),
            missing: membership.missing,
            catching_up: membership.catching_up,
            learners: membership.learners,
            tolerable_losses: membership.tolerable_losses as u64,
            leaderless_reason: raft.no_leader_reason(),
            violations: Some(violations()),
            edition: state.config.as_ref().map_or(String::new(), |config| format!("r{}", config.edition)),
            evacuated: state.evacuated.iter().cloned().collect(),
            gateways: state.gateways.values().map(gateway_status).collect(),
            services: services.collect(),
            rollouts: Some(state.versions.rollouts.values().map(|rollout| rollout.status(now)).collect()),
            tenant_usage: self.quota_counters.usage(now).map(tenant_usage).collect(),
        }
    }
}

fn violations() -> Vec<ViolationCount> {
    let count = |(name, times): (&str, u64)| ViolationCount { invariant: name.to_owned(), times };
    invariants::violations_by_name().into_iter().map(count).collect()
}
