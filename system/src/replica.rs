//! A proxy's replica of the state, without sockets or clock: how updates from the agent are applied, the time
//! since the last leader contact, and when the proxy stops accepting keys (its lease).

use crate::protocol::{FromProxy, ToProxy};
use crate::raft::MAX_ENTRY_VERSION;
use crate::rollout::controller::LEASE_MS;
use crate::rollout::messages::VersionCounts;
use crate::settings::Bounds;
use crate::state::{DigestCache, State, Touched};
use oakfall::Millis;

/// How long backends that are not known to be cold count as warm after contact with a settled leader; later,
/// any of them may have become cold. Longer than an election, shorter than the evacuation of a zone.
const FULL_RATE_MS: Millis = 2000.0;
/// A new leader in contact within this time after a settled one counts as settled: at most one heartbeat of
/// each backend was missed, and the backend repeats it at once.
const LEADER_GAP_MS: Millis = 3000.0;

/// A proxy's replica of the state.
pub struct StateReplica {
    state: Option<State>,
    digest: DigestCache,
    /// The replica differs from the agent's: its range digests go into the next message to the agent.
    differs: bool,
    /// Latest known contact with a leader.
    leader_heard_at: Option<Millis>,
    /// Latest contact with a settled leader: one that received a heartbeat from every backend, or followed
    /// such a leader within [`LEADER_GAP_MS`]. Zero at start-up, when the proxy is given the current state.
    settled_at: Millis,
    /// How long keys stay valid after contact with a leader; `None` if they always do.
    lease_ms: Option<Millis>,
}

/// The effects of a message from the agent.
#[derive(Debug, Default, PartialEq)]
pub struct Effects {
    /// What changed in the replica.
    pub touched: Vec<Touched>,
    /// Whether ranges of the replica were repaired.
    pub repaired: bool,
    /// The time of the leader contact that the message reports.
    pub leader_heard_at: Option<Millis>,
}

impl StateReplica {
    /// An empty replica.
    pub fn new(bounds: &Bounds) -> Self {
        let lease_ms = bounds.fail_closed.then(|| bounds.lease().as_secs_f64() * 1000.0);
        StateReplica {
            state: None,
            digest: DigestCache::default(),
            differs: false,
            leader_heard_at: None,
            settled_at: 0.0,
            lease_ms,
        }
    }

    /// An empty replica without a leader; the leader always counts as settled.
    pub fn standalone(bounds: &Bounds) -> Self {
        StateReplica { settled_at: f64::INFINITY, ..StateReplica::new(bounds) }
    }

    /// The state, once it was received.
    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// The index of the last applied change; zero without a state.
    pub fn applied_index(&self) -> u64 {
        self.state.as_ref().map_or(0, |state| state.index)
    }

    /// Time since the last contact with the leader, in ms; `None` before the first.
    pub fn leader_contact_age(&self, now: Millis) -> Option<Millis> {
        self.leader_heard_at.map(|at| now - at)
    }

    /// Whether the proxy may still accept keys.
    pub fn lease_is_valid(&self, now: Millis) -> bool {
        self.lease_ms.is_none_or(|lease_ms| self.leader_contact_age(now).is_some_and(|age| age < lease_ms))
    }

    /// Whether the proxy may send requests to new versions that are not in service. The permission lapses without
    /// contact to a leader.
    pub fn holds_canary_lease(&self, now: Millis) -> bool {
        self.leader_contact_age(now).is_some_and(|age| age < LEASE_MS)
    }

    /// Until when backends not known to be cold count as warm.
    pub fn full_rate_until(&self) -> Millis {
        self.settled_at + FULL_RATE_MS
    }

    /// Whether backends not known to be cold count as warm.
    pub fn has_full_rate(&self, now: Millis) -> bool {
        now < self.full_rate_until()
    }

    /// The next message to the agent.
    pub fn message(
        &mut self, now: Millis, client_addr: String, ready: bool, version_counts: Vec<VersionCounts>,
    ) -> FromProxy {
        let ranges =
            self.state.as_ref().filter(|_| std::mem::take(&mut self.differs)).map(State::range_digests);
        FromProxy {
            client_addr,
            ready,
            applied_index: self.applied_index(),
            ranges,
            sent_at: Some(now),
            readable_format: MAX_ENTRY_VERSION,
            version_counts,
        }
    }

    /// Applies a message from the agent.
    pub fn apply(&mut self, now: Millis, message: ToProxy) -> Effects {
        let ToProxy {
            snapshot,
            changes,
            leader_contact_age_ms,
            index,
            digest,
            repair,
            request_sent_at,
            unsettled,
            ..
        } = message;
        let mut effects = Effects::default();
        let applied_index = self.applied_index();
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index > applied_index) {
            self.state = Some(State::from_snapshot(now, snapshot));
            effects.touched = vec![Touched::Config, Touched::Backends, Touched::Gateways];
        }
        if let Some(state) = &mut self.state {
            effects.touched.extend(state.apply_all(now, &changes));
            let names = repair.as_ref().map(|repair| repair.names.join(", ")).unwrap_or_default();
            if repair.is_some_and(|repair| state.repair(now, repair)) {
                log::warn!("proxy: mended: {names}");
                effects.repaired = true;
                self.digest.invalidate();
                effects.touched.extend([Touched::Config, Touched::Backends, Touched::Gateways]);
            }
            if digest != 0 && state.index == index && self.digest.of(state) != digest {
                log::warn!("proxy: the copy of change {index} differs from the agent's");
                self.differs = true;
            }
        }
        // The message may have been queued while this process was suspended, so its age counts from
        // `request_sent_at`, the time of the last message that the agent had received from here, and not from
        // its arrival.
        effects.leader_heard_at = request_sent_at
            .filter(|at| leader_contact_age_ms >= 0.0 && *at <= now)
            .map(|at| at - leader_contact_age_ms);
        self.leader_heard_at = match (self.leader_heard_at, effects.leader_heard_at) {
            (Some(known), Some(heard)) => Some(known.max(heard)),
            (known, heard) => known.or(heard),
        };
        let settled =
            effects.leader_heard_at.filter(|heard| !unsettled || heard - self.settled_at < LEADER_GAP_MS);
        if let Some(heard) = settled {
            self.settled_at = self.settled_at.max(heard);
        }
        effects
    }
}
