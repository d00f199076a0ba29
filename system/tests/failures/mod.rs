//! Runs random histories and returns the shortest that fails.
#![allow(dead_code)] // Each test program uses only a part.

use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Progress is printed after this many histories.
const PROGRESS_INTERVAL: u64 = 500;

/// A history that failed.
pub struct Failure {
    /// Number of events in it.
    pub events: u64,
    pub seed: u64,
    pub panic_payload: Box<dyn Any + Send>,
}

impl Failure {
    /// The first line of the panic's message.
    pub fn message(&self) -> String {
        let message = self.panic_payload.downcast_ref::<String>().map(String::as_str);
        let message =
            message.or_else(|| self.panic_payload.downcast_ref::<&str>().copied()).unwrap_or_default();
        message.lines().next().unwrap_or_default().to_owned()
    }
}

/// Runs a scenario in the world of each seed until this many have failed, and returns the shortest failure.
pub fn shortest_failure<W>(
    seeds: std::ops::Range<u64>, max_failures: usize, new_world: impl Fn(u64) -> W,
    scenario: impl Fn(&mut W), events: impl Fn(&W) -> u64,
) -> Option<Failure> {
    let mut failures = Vec::new();
    let (first, total) = (seeds.start, seeds.end - seeds.start);
    for seed in seeds {
        let done = seed - first;
        if done > 0 && done.is_multiple_of(PROGRESS_INTERVAL) {
            eprintln!("{done} of {total} histories, {} failed", failures.len());
        }
        let mut world = new_world(seed);
        if let Err(panic_payload) = catch_unwind(AssertUnwindSafe(|| scenario(&mut world))) {
            failures.push(Failure { events: events(&world), seed, panic_payload });
        }
        if failures.len() == max_failures {
            break;
        }
    }
    failures.into_iter().min_by_key(|failure| (failure.events, failure.seed))
}
