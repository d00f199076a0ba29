//! Who is present: backends by their beats, gateways by their agents' words. Only who leads knows when it heard of
//! each; what of it must last is agreed on.

use super::{Granted, Member, Wait};
use crate::calls::{Answers, Beat, BeatAnswer, Done, Leave, Look, Outcome, Refusal, Resolve, Resolved};
use crate::invariants;
use crate::news::{Backend, Gateway, Kind};
use crate::status::{GatewayStatus, ServiceStatus, Status, TenantUsage, ViolationCount};
use cherrytally::Millis;
use std::collections::BTreeMap;
use std::time::Duration;

/// An agent that was not heard for so long has no part in what clients are told, in ms.
pub(super) const HEARD_MS: Millis = 1500.0;
/// A gateway that was not heard for so long is left out, in ms: it may be cut off and come back.
const GONE_MS: Millis = 60_000.0;
/// A backend that missed so many beats is left out.
const BEATS: f64 = 4.0;
/// A backend that left is remembered for so long, in ms: a beat of its may still be on the way.
const LEFT_MS: Millis = 30_000.0;
/// A cold time that ends so much later than known is a new one, in ms.
const COLD_SLACK_MS: Millis = 400.0;
/// Addresses that a client is told at most.
const ADDRESSES: usize = 64;
/// Gateways that a client is told at least, where there are so many: one may fail.
const ADDRESSES_LEAST: usize = 2;
/// Longest that a client may go by an answer, beside the platform's own limit.
const TTL: Duration = Duration::from_secs(2);

/// What the leader alone knows of who is present.
#[derive(Default)]
pub(super) struct Presence {
    since: Millis,
    /// When each backend was last heard, and its last postmark.
    beats: BTreeMap<String, (Millis, u64)>,
    /// Backends that left, and when.
    left: BTreeMap<String, Millis>,
    /// When each gateway was last told that it is up to date, and what it holds.
    gates: BTreeMap<String, (Millis, u64)>,
    /// Every backend of the agreed state was heard, and what they told is agreed on.
    settled: bool,
}

impl Presence {
    /// Nothing is known yet.
    pub(super) fn since(now: Millis) -> Self {
        Presence { since: now, ..Presence::default() }
    }

    /// When a gateway was last told that it is up to date, and what it holds.
    pub(super) fn gate(&self, node: &str) -> (Millis, u64) {
        self.gates.get(node).copied().unwrap_or((self.since, 0))
    }

    /// Whether this backend told this leader that it leaves.
    pub(super) fn left(&self, id: &str) -> bool {
        self.left.contains_key(id)
    }

    /// Whether every backend was heard by this leader, so that none is cold without its knowing.
    pub(super) fn is_settled(&self) -> bool {
        self.settled
    }

    /// A gateway is told that it is up to date.
    pub(super) fn told(&mut self, now: Millis, node: &str, held: u64) {
        self.gates.insert(node.to_owned(), (now, held));
    }
}

impl Answers<Beat> for Member {
    fn answer(&mut self, now: Millis, Beat { backend }: Beat) -> Granted<BeatAnswer> {
        let answer = BeatAnswer { beat_address: self.me.clone() };
        let agreed = self.state.backends.get(&backend.id).map(|known| known.backend.postmark);
        if self.has_left(now, &backend.id) {
            return Ok(Outcome::Now(answer));
        }
        let presence = &mut self.presence;
        let last = presence.beats.entry(backend.id.clone()).or_insert((now, 0));
        last.0 = now;
        let postmark = backend.postmark;
        if postmark < last.1.max(agreed.unwrap_or(0)) {
            // An earlier call that comes late says nothing new.
            return Ok(Outcome::Now(answer));
        }
        last.1 = postmark;
        let known = self.state.backends.get(&backend.id).is_some_and(|known| {
            let cold_until = now + backend.cold_ms as f64;
            let same = Backend { cold_ms: 0, postmark, ..known.backend.clone() }
                == Backend { cold_ms: 0, ..backend.clone() };
            same && (backend.cold_ms == 0 || cold_until < known.cold_until + COLD_SLACK_MS)
        });
        if known {
            return Ok(Outcome::Now(answer));
        }
        Ok(Outcome::Waits(answer, Wait::Agreed(Kind::Backend(backend))))
    }
}

impl Answers<Leave> for Member {
    fn answer(&mut self, now: Millis, Leave { id }: Leave) -> Granted<Done> {
        self.presence.left.insert(id.clone(), now);
        if !self.state.backends.contains_key(&id) {
            return Ok(Outcome::Now(Done {}));
        }
        Ok(Outcome::Waits(Done {}, Wait::Agreed(Kind::BackendGone(id))))
    }
}

impl Answers<Resolve> for Member {
    /// Gateways for a client: those near it that take clients.
    fn answer(&mut self, now: Millis, of: Resolve) -> Granted<Resolved> {
        let ready: BTreeMap<&str, &Gateway> = self
            .agents
            .values()
            .filter(|agent| agent.word.ready && now - agent.heard < HEARD_MS)
            .map(|agent| (agent.gateway.node.as_str(), &agent.gateway))
            .collect();
        let region = |zone: &str| self.settings.zones.get(zone).map(String::as_str);
        let near: Vec<_> =
            ready.values().filter(|word| region(&word.zone) == Some(of.region.as_str())).collect();
        let mut addresses: Vec<String> = if near.len() >= ADDRESSES_LEAST {
            near.iter().map(|word| word.front.clone()).collect()
        } else {
            ready.values().map(|word| word.front.clone()).collect()
        };
        self.rng.shuffle(&mut addresses);
        addresses.truncate(ADDRESSES);
        if addresses.is_empty() {
            return Err(Refusal::Later);
        }
        let ttl = TTL.min(self.settings.bounds.ttl_max);
        Ok(Outcome::Now(Resolved { addresses, ttl: format!("{}ms", ttl.as_millis()) }))
    }
}

impl Answers<Look> for Member {
    fn answer(&mut self, now: Millis, _: Look) -> Granted<Status> {
        Ok(Outcome::Now(self.status(now)))
    }
}

impl Member {
    /// Whether a backend said lately that it leaves. What an earlier leader heard is in the state, and counts from when this
    /// one began.
    fn has_left(&self, now: Millis, id: &str) -> bool {
        let told = self.presence.left(id);
        told || (now - self.presence.since < LEFT_MS
            && !self.state.backends.contains_key(id)
            && self.state.left.iter().any(|left| left == id))
    }

    /// Notes that every backend was heard once, and that the state holds all that they told.
    pub(super) fn settle(&mut self) {
        let presence = &mut self.presence;
        let heard = |id: &String| presence.beats.contains_key(id);
        let agreed = self.state.index >= self.agreement.last();
        presence.settled |= agreed && self.state.backends.keys().all(heard);
    }

    /// Who was silent for too long, and which gateways tell something new of themselves.
    pub(super) fn changes_of_presence(&mut self, now: Millis) -> Vec<Kind> {
        let (presence, state) = (&mut self.presence, &self.state);
        let mut changes = Vec::new();
        let silent = self.settings.heartbeat_interval.as_secs_f64() * 1000.0 * BEATS;
        for id in state.backends.keys() {
            let heard = presence.beats.get(id).map_or(presence.since, |(at, _)| *at);
            if now - heard > silent {
                log::info!("core: silent for too long: {id}");
                changes.push(Kind::BackendGone(id.clone()));
            }
        }
        for node in state.gateways.keys() {
            if now - presence.gate(node).0 > GONE_MS {
                log::info!("core: silent for too long: {node}");
                changes.push(Kind::GatewayGone(node.clone()));
            }
        }
        presence.beats.retain(|id, _| state.backends.contains_key(id));
        presence.left.retain(|_, at| now - *at < LEFT_MS);
        let heard = self.agents.values().filter(|agent| now - agent.heard < HEARD_MS);
        let known = heard.map(|agent| &agent.gateway).filter(|gateway| !gateway.front.is_empty());
        let new = known.filter(|gateway| state.gateways.get(&gateway.node) != Some(gateway));
        changes.extend(new.cloned().map(Kind::Gateway));
        changes
    }

    /// The system as this process sees it.
    fn status(&self, now: Millis) -> Status {
        let (agreement, state) = (&self.agreement, &self.state);
        let gateway = |gateway: &Gateway| {
            let heard = self.agents.values().filter(|agent| agent.gateway.node == gateway.node);
            let agent = heard.max_by(|a, b| a.heard.total_cmp(&b.heard));
            GatewayStatus {
                node: gateway.node.clone(),
                zone: gateway.zone.clone(),
                client_addr: gateway.front.clone(),
                ready: agent.is_some_and(|agent| agent.word.ready),
                received_index: agent.map_or(0, |agent| agent.word.held),
                applied_index: agent.map_or(0, |agent| agent.word.applied),
                heard_ms: agent.map(|agent| (now - agent.heard).max(0.0) as u64),
            }
        };
        let mut services = BTreeMap::new();
        for known in state.backends.values() {
            let Backend { service, zone, closing, berths, .. } = &known.backend;
            let line: &mut ServiceStatus = services.entry((service, zone)).or_default();
            if *closing {
                line.closing += 1;
            } else {
                line.open += 1;
                line.cold += u64::from(known.cold_until > now);
                line.max_concurrency += u64::from(*berths);
            }
        }
        let named = services.into_iter().map(|((service, zone), line)| ServiceStatus {
            service: service.clone(),
            zone: zone.clone(),
            ..line
        });
        let roll = agreement.roll(now).unwrap_or_default();
        let count = |(tenant, per_s, units): (&str, f64, i64)| TenantUsage {
            tenant: tenant.to_owned(),
            per_s,
            units,
        };
        Status {
            address: self.me.clone(),
            node: self.settings.node.clone(),
            leader: agreement.leader().cloned().unwrap_or_default(),
            confirmed_leader: agreement.vouches(now),
            term: agreement.term(),
            index: state.index,
            digest: format!("{:016x}", self.digest.of(state)),
            log_entries: agreement.log_length() as u64,
            snapshot_progress: agreement.filling().map(|(index, came, total, refused)| match refused {
                true => format!("CAN'T READ the state of {index}"),
                false => format!("has {came} of {total} bytes of the state of {index}"),
            }),
            members: agreement.members().to_vec(),
            missing: roll.missing,
            catching_up: roll.filling,
            learners: roll.listeners,
            tolerable_losses: roll.borne as u64,
            leaderless_reason: agreement.leaderless(),
            violations: Some(violations()),
            edition: state.config.as_ref().map_or(String::new(), |config| format!("r{}", config.edition)),
            evacuated: state.evacuated.iter().cloned().collect(),
            gateways: state.gateways.values().map(gateway).collect(),
            services: named.collect(),
            tenant_usage: self.count.counts(now).map(count).collect(),
        }
    }
}

fn violations() -> Vec<ViolationCount> {
    let line = |(name, times): (&str, u64)| ViolationCount { invariant: name.to_owned(), times };
    invariants::violated_by_name().into_iter().map(line).collect()
}
