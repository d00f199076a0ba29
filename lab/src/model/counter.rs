//! Model of the shared counter service: named totals, sharded by name. Each shard serves its calls one at a time.

use crate::plan;
use std::collections::HashMap;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

/// Maximum time to live of a total, in s.
const MAX_TTL_S: f64 = 60.0;
/// Number of totals past which expired ones are removed. It bounds the memory that a faulty gateway can use.
const MAX_TOTALS: usize = 1_000_000;

/// The reply to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// The call was applied.
    Total {
        /// When the reply is sent, in s.
        at: f64,
        /// The total after the call.
        total: f64,
    },
    /// The call was rejected and nothing was added.
    Rejected {
        /// When the reply is sent, in s.
        at: f64,
    },
}

/// The counter service. Times are in s.
pub struct Counter {
    service_time_s: f64,
    latency_s: f64,
    max_queued_calls: f64,
    /// When each shard has finished its queued calls.
    idle_at: Vec<f64>,
    /// Total and expiry time by name.
    totals: HashMap<String, (f64, f64)>,
    /// Extra latency of each reply, in s.
    pub extra_latency_s: f64,
    /// Share of calls that are rejected.
    pub reject_rate: f64,
    hasher: BuildHasherDefault<DefaultHasher>,
}

impl Counter {
    /// Creates a counter without totals.
    pub fn new(plan: &plan::Counter) -> Counter {
        Counter {
            service_time_s: 1.0 / plan.per_s,
            latency_s: plan.answer_ms / 1000.0,
            max_queued_calls: plan.queue as f64,
            idle_at: vec![0.0; plan.parts],
            totals: HashMap::new(),
            extra_latency_s: 0.0,
            reject_rate: 0.0,
            hasher: BuildHasherDefault::default(),
        }
    }

    /// Removes all totals.
    pub fn flush(&mut self) {
        self.totals.clear();
    }

    /// Adds to the total of a name. A new or expired total starts at 0 and expires after `ttl_s`. `draw`, uniform in
    /// 0 to 1, decides whether the call is rejected.
    pub fn add(&mut self, now: f64, name: &str, amount: f64, ttl_s: f64, draw: f64) -> Reply {
        let shard = (self.hasher.hash_one(name) % self.idle_at.len() as u64) as usize;
        let start = self.idle_at[shard].max(now);
        if draw < self.reject_rate || start - now > self.max_queued_calls * self.service_time_s {
            return Reply::Rejected { at: now + self.latency_s };
        }
        self.idle_at[shard] = start + self.service_time_s;
        if self.totals.len() >= MAX_TOTALS {
            self.totals.retain(|_, (_, expires)| *expires > now);
        }
        let expires = start + ttl_s.clamp(0.001, MAX_TTL_S);
        let entry = self.totals.entry(name.to_owned()).or_insert((0.0, expires));
        if entry.1 <= start {
            *entry = (0.0, expires);
        }
        entry.0 += amount;
        Reply::Total { at: self.idle_at[shard] + self.latency_s + self.extra_latency_s, total: entry.0 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn counter() -> Counter {
        Counter::new(&plan::Counter { parts: 1, per_s: 100.0, answer_ms: 1.0, queue: 3 })
    }

    #[test]
    fn calls_add_to_a_total_until_it_expires_or_is_flushed() {
        let mut counter = counter();
        let total = |reply| if let Reply::Total { total, .. } = reply { total } else { f64::NAN };
        assert_eq!(total(counter.add(0.0, "a", 2.0, 1.0, 0.5)), 2.0);
        assert_eq!(
            total(counter.add(0.5, "a", -0.5, 9.0, 0.5)),
            1.5,
            "a later call must not extend the time to live"
        );
        assert_eq!(total(counter.add(1.1, "a", 1.0, 1.0, 0.5)), 1.0);
        assert_eq!(total(counter.add(1.2, "b", 1.0, 1.0, 0.5)), 1.0);
        counter.flush();
        assert_eq!(total(counter.add(1.3, "a", 0.0, 1.0, 0.5)), 0.0);
    }

    #[test]
    fn calls_are_queued_and_rejected_when_the_queue_is_full() {
        let mut counter = counter();
        let replies: Vec<_> = (0..6).map(|_| counter.add(0.0, "a", 1.0, 9.0, 0.5)).collect();
        assert_eq!(replies[0], Reply::Total { at: 0.011, total: 1.0 });
        assert!(
            matches!(replies[3], Reply::Total { at, total } if (at - 0.041).abs() < 1e-9 && total == 4.0)
        );
        assert_eq!(replies[5], Reply::Rejected { at: 0.001 });
        counter.reject_rate = 0.5;
        assert_eq!(counter.add(1.0, "a", 1.0, 9.0, 0.4), Reply::Rejected { at: 1.001 });
        assert!(
            matches!(counter.add(1.0, "a", 0.0, 9.0, 0.6), Reply::Total { total, .. } if total == 4.0 || total == 5.0)
        );
    }
}
