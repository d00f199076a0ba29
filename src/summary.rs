//! What the decision module counts for its summary in the log. No decision depends on it.

use crate::interface::Action;

/// Ticks between two summaries.
const LOG_SUMMARY_TICKS: u32 = 10;

/// Counts for the next summary in the log.
#[derive(Default)]
pub(crate) struct Summary {
    ticks: u32,
    pub(crate) requests: u32,
    pub(crate) no_capacity: u32,
    pub(crate) over_quota: u32,
    pub(crate) unsent: u32,
}

impl Summary {
    /// Counts a tick. The summary, if it is due and there is something to tell; the counts then start again.
    pub(crate) fn tick(
        &mut self, ejected: impl FnOnce() -> usize, counter_calls_per_s: f64,
    ) -> Option<Action> {
        self.ticks += 1;
        if self.ticks < LOG_SUMMARY_TICKS {
            return None;
        }
        let Summary { requests, no_capacity, over_quota, unsent, .. } = std::mem::take(self);
        (no_capacity + over_quota + unsent > 0).then(|| {
            let line = format!(
                "{requests} requests: {no_capacity} found no room, {over_quota} were beyond the quota, \
                 {unsent} could not be sent or retried; {} servers ejected, \
                 counter calls at {counter_calls_per_s:.0}/s",
                ejected()
            );
            Action::Log { line }
        })
    }
}
