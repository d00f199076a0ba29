//! How long a connection may stand idle and still be used: learned from those that broke.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Least limit: below it a connection is as good as in use.
const LEAST: Duration = Duration::from_millis(10);
/// The limit doubles in this time, up to the most: what cut idle connections may have gone, and a break by
/// chance must not cost new connections for long.
const DOUBLES: Duration = Duration::from_secs(5);

/// The limit for connections to one kind of peer. A peer, or the path to it, may drop idle connections far
/// sooner than agreed and say nothing; what is written to one then ends as a reset, which may have run.
pub struct IdleLimit {
    most: Cell<Duration>,
    limit: Cell<Duration>,
    at: Cell<Instant>,
}

impl IdleLimit {
    /// Starts at the most.
    pub fn new(most: Duration) -> Self {
        IdleLimit { most: Cell::new(most), limit: Cell::new(most), at: Cell::new(Instant::now()) }
    }

    /// Another most holds; what was learned stays.
    pub fn at_most(&self, most: Duration) {
        self.most.set(most);
    }

    /// The limit now.
    pub fn get(&self) -> Duration {
        let doublings = self.at.get().elapsed().as_secs_f64() / DOUBLES.as_secs_f64();
        let grown = self.limit.get().as_secs_f64() * doublings.min(64.0).exp2();
        Duration::from_secs_f64(grown.min(self.most.get().as_secs_f64()))
    }

    /// A connection that had stood idle for so long broke when it was used again: half of that is safer. One
    /// that was as good as in use tells nothing of idle ones.
    pub fn broke_after(&self, idle: Duration) {
        if idle < LEAST {
            return;
        }
        self.limit.set(self.get().min((idle / 2).max(LEAST)));
        self.at.set(Instant::now());
    }
}
