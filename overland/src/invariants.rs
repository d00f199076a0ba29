//! What must hold in every process at any time, whatever happens around it. A check that fails is logged and counted and
//! stops nothing: `GET /api/Status` of a core process and the metrics of a proxy tell the counts, and tests want them to be
//! nought.

use std::sync::atomic::{AtomicU64, Ordering};
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// A disk holds every save that was confirmed, whatever power loss came after it.
    DiskHoldsWhatWasSaved,
    /// No entry that is agreed on is replaced or dropped from a log.
    AgreedEntriesStay,
    /// In one term one member leads.
    OneLeaderATerm,
    /// The number of the agreed state climbs within a life of a process.
    StateClimbs,
    /// A request that was read whole ends with an answer, or for a reason that is not the proxy's.
    RequestsAreAnswered,
}

impl Invariant {
    /// Its name in figures.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

static VIOLATIONS: [AtomicU64; Invariant::COUNT] = [const { AtomicU64::new(0) }; Invariant::COUNT];

/// It does not hold, and why.
pub fn violated(invariant: Invariant, why: &str) {
    VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    log::error!("invariant {} is violated: {why}", invariant.name());
}

/// Counts a violation unless it holds.
pub fn check(invariant: Invariant, holds: bool, why: impl FnOnce() -> String) {
    if !holds {
        violated(invariant, &why());
    }
}

/// How often each was violated in this process.
pub fn violations() -> impl Iterator<Item = (Invariant, u64)> {
    Invariant::iter().map(|invariant| (invariant, VIOLATIONS[invariant as usize].load(Ordering::Relaxed)))
}
