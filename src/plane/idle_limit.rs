//! Adaptive limit of how long a connection may stay idle and still be reused, learned from failed reuses.

use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// Minimum limit; shorter idle times count as continuous use.
const MIN_LIMIT: Duration = Duration::from_millis(10);
/// Time in which a lowered limit doubles again, so that a past or random cause does not lower it for long.
const DOUBLING_TIME: Duration = Duration::from_secs(5);
/// Number of idle-time buckets: one below the minimum limit, then each up to twice the one before.
const BUCKETS: usize = 12;
/// Time constant of the exponential decay of the counts.
const DECAY_TIME: Duration = Duration::from_secs(10);
/// Prior failures of connections with shorter idle times; with the prior uses, a failure rate of one in ten.
const PRIOR_FAILURES: f64 = 0.5;
/// Prior uses of connections with shorter idle times.
const PRIOR_USES: f64 = 5.0;
/// Minimum decayed failure count from which the limit may be lowered.
const MIN_FAILURES: f64 = 1.5;
/// Minimum excess over the expected failures, in standard deviations.
const MIN_DEVIATIONS: f64 = 3.0;

/// Decayed counts of one idle-time bucket.
#[derive(Clone, Copy, Default)]
struct Counts {
    uses: f64,
    failures: f64,
}

/// The idle limit for connections to one kind of peer. A peer or a middlebox may silently drop idle
/// connections; a request written to one then ends as a reset, which cannot be retried safely. Failures that
/// do not depend on the idle time leave the limit as it is.
pub struct IdleLimit {
    max: Cell<Duration>,
    limit: Cell<Duration>,
    lowered_at: Cell<Instant>,
    buckets: RefCell<[Counts; BUCKETS]>,
    decayed_at: Cell<Instant>,
}

impl IdleLimit {
    /// A limit that starts at its maximum.
    pub fn new(max: Duration) -> Self {
        let now = Instant::now();
        IdleLimit {
            max: Cell::new(max),
            limit: Cell::new(max),
            lowered_at: Cell::new(now),
            buckets: RefCell::default(),
            decayed_at: Cell::new(now),
        }
    }

    /// Changes the maximum; the learned limit stays.
    pub fn set_max(&self, max: Duration) {
        self.max.set(max);
    }

    /// The current limit.
    pub fn get(&self) -> Duration {
        let doublings = self.lowered_at.get().elapsed().as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        let grown = self.limit.get().as_secs_f64() * doublings.min(64.0).exp2();
        Duration::from_secs_f64(grown.min(self.max.get().as_secs_f64()))
    }

    /// Records the use of a connection that had been idle for this long (zero if new) and whether it failed.
    /// If connections with at least this idle time fail significantly more often than the others, the limit
    /// becomes half of it.
    pub fn record_use(&self, idle: Duration, failed: bool) {
        let mut buckets = self.buckets.borrow_mut();
        let decay = (-self.decayed_at.replace(Instant::now()).elapsed().as_secs_f64()
            / DECAY_TIME.as_secs_f64())
        .exp();
        for counts in buckets.iter_mut() {
            *counts = Counts { uses: counts.uses * decay, failures: counts.failures * decay };
        }
        let ratio = idle.as_secs_f64() / MIN_LIMIT.as_secs_f64();
        let bucket = if ratio < 1.0 { 0 } else { (ratio.log2() as usize + 1).min(BUCKETS - 1) };
        buckets[bucket].uses += 1.0;
        if !failed {
            return;
        }
        buckets[bucket].failures += 1.0;
        let sum = |buckets: &[Counts]| {
            buckets.iter().fold(Counts::default(), |sum, counts| Counts {
                uses: sum.uses + counts.uses,
                failures: sum.failures + counts.failures,
            })
        };
        let (shorter, longer) = (sum(&buckets[..bucket]), sum(&buckets[bucket..]));
        let expected = longer.uses * (shorter.failures + PRIOR_FAILURES) / (shorter.uses + PRIOR_USES);
        if bucket > 0
            && longer.failures >= MIN_FAILURES
            && longer.failures - expected > MIN_DEVIATIONS * expected.sqrt()
        {
            self.limit.set(self.get().min((idle / 2).max(MIN_LIMIT)));
            self.lowered_at.set(Instant::now());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MAX_LIMIT: Duration = Duration::from_secs(4);

    /// Uses a connection every 20 ms; `fails` decides by number and idle time which uses fail. Returns the
    /// number of new connections and of failures.
    async fn run_traffic(limit: &IdleLimit, fails: impl Fn(u32, Duration) -> bool) -> (u32, u32) {
        let (mut new_connections, mut failures) = (0, 0);
        for number in 0..1500 {
            tokio::time::advance(Duration::from_millis(20)).await;
            // Idle times of 0 to 400 ms, most of them short.
            let idle = Duration::from_millis(u64::from(number * 8 % 21).pow(2));
            let idle = if idle < limit.get() { idle } else { Duration::ZERO };
            new_connections += u32::from(idle.is_zero());
            let failed = fails(number, idle);
            failures += u32::from(failed);
            limit.record_use(idle, failed);
        }
        (new_connections, failures)
    }

    #[tokio::test(start_paused = true)]
    async fn random_failures_do_not_lower_the_limit() {
        let limit = IdleLimit::new(MAX_LIMIT);
        let (new_connections, _) = run_traffic(&limit, |number, _| number % 16 == 5).await;
        // One idle time in 21 is zero.
        assert!(new_connections <= 300, "{new_connections} of 1500 on new connections");
    }

    #[tokio::test(start_paused = true)]
    async fn idle_timeouts_are_detected_among_random_failures() {
        let limit = IdleLimit::new(MAX_LIMIT);
        let idle_timeout = Duration::from_millis(100);
        let (_, failures) = run_traffic(&limit, |number, idle| number % 16 == 5 || idle > idle_timeout).await;
        // 94 failures are random; without a limit more than half of all uses would fail.
        assert!(failures <= 140, "{failures} of 1500 failed");
    }
}
