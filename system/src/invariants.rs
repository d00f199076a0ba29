//! Runtime checks of the system's invariants. A failed check is logged and counted and never stops the
//! process. The counts appear in a core process's `GET /api/Status` and in a proxy's metrics; tests require
//! them to be zero.

use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// A property that holds in every process at all times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// Every acknowledged save is on disk after a power loss.
    #[strum(serialize = "disk_holds_what_was_saved")]
    SavedDataIsDurable,
    /// A committed entry is never replaced in, or dropped from, a log.
    #[strum(serialize = "agreed_entries_stay")]
    CommittedEntriesArePermanent,
    /// At most one member leads in a term.
    #[strum(serialize = "one_leader_a_term")]
    OneLeaderPerTerm,
    /// A membership change tolerates at least as many losses as the membership before it.
    #[strum(serialize = "changes_of_members_weaken_nothing")]
    MembershipChangesKeepFaultTolerance,
    /// The index of the replicated state never decreases within one run of a process.
    #[strum(serialize = "state_climbs")]
    StateIndexIsMonotonic,
    /// A request that was read completely ends with a response, or fails for a reason outside the proxy.
    RequestsAreAnswered,
}

impl Invariant {
    /// Name in metrics and in the status response.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

static VIOLATIONS: [AtomicU64; Invariant::COUNT] = [const { AtomicU64::new(0) }; Invariant::COUNT];

thread_local! {
    static VIOLATIONS_ON_THREAD: Cell<u64> = const { Cell::new(0) };
}

/// Counts and logs a violation.
pub fn record_violation(invariant: Invariant, why: &str) {
    VIOLATIONS_ON_THREAD.set(VIOLATIONS_ON_THREAD.get() + 1);
    VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    log::error!("invariant {} violated: {why}", invariant.name());
}

/// Counts and logs a violation unless `holds`.
pub fn check(invariant: Invariant, holds: bool, why: impl FnOnce() -> String) {
    if !holds {
        record_violation(invariant, &why());
    }
}

/// Violations of each invariant in this process.
pub fn violation_counts() -> impl Iterator<Item = (Invariant, u64)> {
    Invariant::iter().map(|invariant| (invariant, VIOLATIONS[invariant as usize].load(Ordering::Relaxed)))
}

/// Invariants violated at least once in this process, by name, with their counts.
pub fn violations_by_name() -> Vec<(&'static str, u64)> {
    violation_counts()
        .filter(|(_, count)| *count > 0)
        .map(|(invariant, count)| (invariant.name(), count))
        .collect()
}

/// Violations on this thread. Tests that run in parallel, one per thread, may violate invariants on purpose.
pub fn violations_on_this_thread() -> u64 {
    VIOLATIONS_ON_THREAD.get()
}
