//! What a proxy goes by, without sockets or clock: its copy of the agreed state, what it takes of its agent, how old the
//! leader's last word is, and when it stops going by keys by itself.

use crate::agreement::READS;
use crate::news::{FromProxy, ToProxy};
use crate::settings::Bounds;
use crate::state::{Digest, State, Touched};
use cherrytally::Millis;

/// For so long after a settled leader's word a gateway sends backends as much as it likes, in ms. Without such a word any of
/// them may have turned cold. It is longer than it takes to elect another leader, and shorter than a zone is emptied for.
const FULL_RATE_MS: Millis = 2000.0;
/// A leader that comes so soon after a settled one's last word goes on with it, in ms: a heartbeat of each backend may have
/// been missed, and is sent again at once.
const GAP_MS: Millis = 3000.0;

/// A proxy's copy of the agreed state.
pub struct Copy {
    state: Option<State>,
    digest: Digest,
    /// It differs from the agent's: its ranges are to be told.
    differs: bool,
    /// The moment of the last word of who leads.
    fresh: Option<Millis>,
    /// The moment of the last word of a leader that had heard every backend, or that went on with such a one. A process that
    /// starts counts as just told: it is given the state as it is then.
    settled: Millis,
    /// For so long after that word it goes by the keys that it has, in ms; none where it always does.
    lease: Option<Millis>,
}

/// What came of news.
#[derive(Debug, Default, PartialEq)]
pub struct Taken {
    /// What of the copy is another now.
    pub touched: Vec<Touched>,
    /// Ranges of it were mended.
    pub mended: bool,
    /// The leader was heard then, at the latest.
    pub word: Option<Millis>,
}

impl Copy {
    /// No copy yet.
    pub fn new(bounds: &Bounds) -> Self {
        let lease = bounds.fail_closed.then(|| bounds.lease().as_secs_f64() * 1000.0);
        Copy { state: None, digest: Digest::default(), differs: false, fresh: None, settled: 0.0, lease }
    }

    /// A copy that no leader keeps up to date: it counts as told for good.
    pub fn apart(bounds: &Bounds) -> Self {
        Copy { settled: f64::INFINITY, ..Copy::new(bounds) }
    }

    /// The copy, once there is one.
    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// The number of the last change in it, nought without one.
    pub fn held(&self) -> u64 {
        self.state.as_ref().map_or(0, |state| state.index)
    }

    /// How long ago the leader's last word was, in ms.
    pub fn word_age(&self, now: Millis) -> Option<Millis> {
        self.fresh.map(|at| now - at)
    }

    /// Whether it may still go by the keys that it has.
    pub fn in_touch(&self, now: Millis) -> bool {
        self.lease.is_none_or(|lease| self.word_age(now).is_some_and(|age| age < lease))
    }

    /// Until when backends count as warm that are not known to be cold.
    pub fn full_rate_until(&self) -> Millis {
        self.settled + FULL_RATE_MS
    }

    /// Whether backends count as warm that are not known to be cold.
    pub fn has_full_rate(&self, now: Millis) -> bool {
        now < self.full_rate_until()
    }

    /// What the agent is told.
    pub fn word(&mut self, now: Millis, front: String, ready: bool) -> FromProxy {
        let ranges = self.state.as_ref().filter(|_| std::mem::take(&mut self.differs)).map(State::ranges);
        FromProxy { front, ready, held: self.held(), ranges, at: Some(now), reads: READS }
    }

    /// Takes what the agent tells of the state, and how old that is.
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
        // It may have waited for long, where this process stood still. It was sent after `at`, and that old then.
        taken.word = at.filter(|at| age_ms >= 0.0 && *at <= now).map(|at| at - age_ms);
        self.fresh = match (self.fresh, taken.word) {
            (Some(fresh), Some(word)) => Some(fresh.max(word)),
            (fresh, word) => fresh.or(word),
        };
        if let Some(word) = taken.word.filter(|word| !unsettled || word - self.settled < GAP_MS) {
            self.settled = self.settled.max(word);
        }
        taken
    }
}
