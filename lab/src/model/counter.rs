//! The shared counter: numbers by name on a few parts, each of which serves its calls in turn.

use crate::plan;
use std::collections::HashMap;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

/// Longest life of a name, in s.
const LIFE_MOST_S: f64 = 60.0;
/// Names that are kept; the platform's counter is a service of its own, and this only bounds a broken gateway.
const NAMES_MOST: usize = 1_000_000;

/// What a call comes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// The total after the call, told at that time.
    Total {
        /// When, in s.
        at: f64,
        /// The total.
        total: f64,
    },
    /// Turned away, told at that time; nothing was added.
    Full {
        /// When, in s.
        at: f64,
    },
}

/// The counter. Times are in s.
pub struct Counter {
    turn_s: f64,
    answer_s: f64,
    queue: f64,
    /// When each part is through with what waits.
    free: Vec<f64>,
    counts: HashMap<String, (f64, f64)>,
    /// Added to each answer's time, in s.
    pub slow_s: f64,
    /// Share of calls that are turned away.
    pub turn_away: f64,
    hasher: BuildHasherDefault<DefaultHasher>,
}

impl Counter {
    /// An empty one.
    pub fn new(plan: &plan::Counter) -> Counter {
        Counter {
            turn_s: 1.0 / plan.per_s,
            answer_s: plan.answer_ms / 1000.0,
            queue: plan.queue as f64,
            free: vec![0.0; plan.parts],
            counts: HashMap::new(),
            slow_s: 0.0,
            turn_away: 0.0,
            hasher: BuildHasherDefault::default(),
        }
    }

    /// Forgets all counts.
    pub fn flush(&mut self) {
        self.counts.clear();
    }

    /// Adds to a name, which lives so long if it is new. `chance` in 0 to 1 decides whether it is turned away.
    pub fn call(&mut self, now: f64, name: &str, by: f64, life_s: f64, chance: f64) -> Reply {
        let part = (self.hasher.hash_one(name) % self.free.len() as u64) as usize;
        let begins = self.free[part].max(now);
        if chance < self.turn_away || begins - now > self.queue * self.turn_s {
            return Reply::Full { at: now + self.answer_s };
        }
        self.free[part] = begins + self.turn_s;
        if self.counts.len() >= NAMES_MOST {
            self.counts.retain(|_, (_, ends)| *ends > now);
        }
        let ends = begins + life_s.clamp(0.001, LIFE_MOST_S);
        let count = self.counts.entry(name.to_owned()).or_insert((0.0, ends));
        if count.1 <= begins {
            *count = (0.0, ends);
        }
        count.0 += by;
        Reply::Total { at: self.free[part] + self.answer_s + self.slow_s, total: count.0 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn counter() -> Counter {
        Counter::new(&plan::Counter { parts: 1, per_s: 100.0, answer_ms: 1.0, queue: 3 })
    }

    #[test]
    fn names_add_up_and_are_forgotten_when_their_time_is_up() {
        let mut counter = counter();
        let total = |reply| if let Reply::Total { total, .. } = reply { total } else { f64::NAN };
        assert_eq!(total(counter.call(0.0, "a", 2.0, 1.0, 0.5)), 2.0);
        assert_eq!(
            total(counter.call(0.5, "a", -0.5, 9.0, 0.5)),
            1.5,
            "a later call does not extend its life"
        );
        assert_eq!(total(counter.call(1.1, "a", 1.0, 1.0, 0.5)), 1.0);
        assert_eq!(total(counter.call(1.2, "b", 1.0, 1.0, 0.5)), 1.0);
        counter.flush();
        assert_eq!(total(counter.call(1.3, "a", 0.0, 1.0, 0.5)), 0.0);
    }

    #[test]
    fn calls_wait_in_turn_and_are_turned_away_behind_a_long_line() {
        let mut counter = counter();
        let replies: Vec<_> = (0..6).map(|_| counter.call(0.0, "a", 1.0, 9.0, 0.5)).collect();
        assert_eq!(replies[0], Reply::Total { at: 0.011, total: 1.0 });
        assert!(
            matches!(replies[3], Reply::Total { at, total } if (at - 0.041).abs() < 1e-9 && total == 4.0)
        );
        assert_eq!(replies[5], Reply::Full { at: 0.001 });
        counter.turn_away = 0.5;
        assert_eq!(counter.call(1.0, "a", 1.0, 9.0, 0.4), Reply::Full { at: 1.001 });
        assert!(
            matches!(counter.call(1.0, "a", 0.0, 9.0, 0.6), Reply::Total { total, .. } if total == 4.0 || total == 5.0)
        );
    }
}
