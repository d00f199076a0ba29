//! What must hold in every process at any time, whatever happens around it. A check that fails is logged and counted and
//! stops nothing: `GET /api/Status` of a core process and the metrics of a proxy tell the counts, and tests want them to be
//! nought.

use std::cell::Cell;
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
    /// A change of members bears no fewer losses than the list before it did.
    ChangesOfMembersWeakenNothing,
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

thread_local! {
    static ON_THIS_THREAD: Cell<u64> = const { Cell::new(0) };
}

/// It does not hold, and why.
pub fn violated(invariant: Invariant, why: &str) {
    ON_THIS_THREAD.set(ON_THIS_THREAD.get() + 1);
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

/// Those that were violated in this process, by name, and how often.
pub fn violated_by_name() -> Vec<(&'static str, u64)> {
    violations().filter(|(_, times)| *times > 0).map(|(invariant, times)| (invariant.name(), times)).collect()
}

/// How often any was violated on this thread: tests play on one thread each, and others may put faults in on purpose.
pub fn violated_on_this_thread() -> u64 {
    ON_THIS_THREAD.get()
}
