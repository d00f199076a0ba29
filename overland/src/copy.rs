//! A proxy's replica of the state, without sockets or clock: how updates from the agent are applied, how long
//! ago the leader was last heard, and when the proxy stops accepting keys (its lease).

use crate::agreement::READS;
use crate::news::{FromProxy, ToProxy};
use crate::settings::Bounds;
use crate::state::{Digest, State, Touched};
use cherrytally::Millis;

/// For how long after contact with a settled leader backends not known to be cold count as warm; later, any
/// of them may have become cold. Longer than an election, shorter than the evacuation of a zone.
const FULL_RATE_MS: Millis = 2000.0;
/// A new leader heard within this time after contact with a settled one counts as settled: at most one
/// heartbeat of each backend was missed, and it is repeated at once.
const LEADER_GAP_MS: Millis = 3000.0;

/// A proxy's replica of the state.
pub struct Copy {
    state: Option<State>,
    digest: Digest,
    /// The replica differs from the agent's; its range digests are due.
    differs: bool,
    /// When a leader was last heard.
    leader_heard_at: Option<Millis>,
    /// When a settled leader was last heard: one that has heard every backend, or that soon followed such a
    /// leader. Zero at start-up, when the proxy is given the current state.
    settled_at: Millis,
    /// How long keys stay valid after a leader was heard; none if they always do.
    lease_ms: Option<Millis>,
}

/// The effects of a message from the agent.
#[derive(Debug, Default, PartialEq)]
pub struct Taken {
    /// What changed in the replica.
    pub touched: Vec<Touched>,
    /// Whether ranges of the replica were repaired.
    pub mended: bool,
    /// The latest time at which the leader is known to have been heard.
    pub word: Option<Millis>,
}

impl Copy {
    /// An empty replica.
    pub fn new(bounds: &Bounds) -> Self {
        let lease_ms = bounds.closed.then(|| bounds.lease().as_secs_f64() * 1000.0);
        Copy {
            state: None,
            digest: Digest::default(),
            differs: false,
            leader_heard_at: None,
            settled_at: 0.0,
            lease_ms,
        }
    }

    /// An empty replica without a leader; the leader always counts as settled.
    pub fn apart(bounds: &Bounds) -> Self {
        Copy { settled_at: f64::INFINITY, ..Copy::new(bounds) }
    }

    /// The state, once it was received.
    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// The index of the last applied change; zero without a state.
    pub fn held(&self) -> u64 {
        self.state.as_ref().map_or(0, |state| state.index)
    }

    /// How long ago the leader was last heard, in ms.
    pub fn word_age(&self, now: Millis) -> Option<Millis> {
        self.leader_heard_at.map(|at| now - at)
    }

    /// Whether the lease on its keys is still valid.
    pub fn in_touch(&self, now: Millis) -> bool {
        self.lease_ms.is_none_or(|lease_ms| self.word_age(now).is_some_and(|age| age < lease_ms))
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
    pub fn word(&mut self, now: Millis, front: String, ready: bool) -> FromProxy {
        let ranges = self.state.as_ref().filter(|_| std::mem::take(&mut self.differs)).map(State::ranges);
        FromProxy { front, ready, held: self.held(), ranges, at: Some(now), reads: READS }
    }

    /// Applies a message from the agent.
    pub fn take(&mut self, now: Millis, news: ToProxy) -> Taken {
        let ToProxy { whole, changes, age_ms, index, digest, mend, at, unsettled, .. } = news;
        let mut taken = Taken::default();
        let held = self.held();
        if let Some(whole) = whole.filter(|whole| whole.index > held) {
            self.state = Some(State::from_whole(now, whole));
            taken.touched = vec![Touched::Config, Touched::Backends, Touched::Gateways];
        }
        if let Some(state) = &mut self.state {
            taken.touched.extend(state.follow(now, &changes));
            let names = mend.as_ref().map(|mend| mend.names.join(", ")).unwrap_or_default();
            if mend.is_some_and(|mend| state.mend(now, mend)) {
                log::warn!("proxy: mended: {names}");
                taken.mended = true;
                self.digest.forget();
                taken.touched.extend([Touched::Config, Touched::Backends, Touched::Gateways]);
            }
            if digest != 0 && state.index == index && self.digest.of(state) != digest {
                log::warn!("proxy: the copy of change {index} differs from the agent's");
                self.differs = true;
            }
        }
        // The message may have been queued while this process was suspended, so its age counts from `at`, the
        // time of the last message that the agent had received from here, and not from its arrival.
        taken.word = at.filter(|at| age_ms >= 0.0 && *at <= now).map(|at| at - age_ms);
        self.leader_heard_at = match (self.leader_heard_at, taken.word) {
            (Some(known), Some(heard)) => Some(known.max(heard)),
            (known, heard) => known.or(heard),
        };
        let settled = taken.word.filter(|heard| !unsettled || heard - self.settled_at < LEADER_GAP_MS);
        if let Some(heard) = settled {
            self.settled_at = self.settled_at.max(heard);
        }
        taken
    }
}
