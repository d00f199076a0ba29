//! How long a connection may stand idle and still be used: learned from those that broke.

use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// Least limit: below it a connection is as good as in use.
const LEAST: Duration = Duration::from_millis(10);
/// The limit doubles in this time, up to the most: what cut idle connections may have gone, and a break by
/// chance must not cost new connections for long.
const DOUBLES: Duration = Duration::from_secs(5);
/// Idle times are told apart in so many steps: below the least, and each up to twice the one before.
const STEPS: usize = 12;
/// What was counted is forgotten at this pace.
const MEMORY: Duration = Duration::from_secs(10);
/// Breaks and uses of others supposed before any are known: one of ten breaks.
const BEFORE: (f64, f64) = (0.5, 5.0);
/// Idle time is at fault from so many breaks on, a little faded, if so many times the spread of chance lies
/// between them and what chance alone breaks.
const SURE: (f64, f64) = (1.5, 3.0);

/// The limit for connections to one kind of peer. A peer, or the path to it, may drop idle connections far
/// sooner than agreed and say nothing; what is written to one then ends as a reset, which may have run. A path
/// may as well break connections whatever their age: new ones, which cost both ends, would not be spared that.
pub struct IdleLimit {
    most: Cell<Duration>,
    limit: Cell<Duration>,
    at: Cell<Instant>,
    /// Uses and breaks by step, and when they were last faded.
    steps: RefCell<[(f64, f64); STEPS]>,
    faded: Cell<Instant>,
}

impl IdleLimit {
    /// Starts at the most.
    pub fn new(most: Duration) -> Self {
        let now = Instant::now();
        IdleLimit {
            most: Cell::new(most),
            limit: Cell::new(most),
            at: Cell::new(now),
            steps: RefCell::default(),
            faded: Cell::new(now),
        }
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

    /// A connection was used after it had stood idle for so long, a new one for no time, and broke or did not.
    /// Where such and longer idle ones break more often than the others, beyond chance, half of that time is
    /// the limit. One that was as good as in use tells nothing of idle ones.
    pub fn used_after(&self, idle: Duration, broke: bool) {
        let mut steps = self.steps.borrow_mut();
        let keep = (-self.faded.replace(Instant::now()).elapsed().as_secs_f64() / MEMORY.as_secs_f64()).exp();
        for (uses, breaks) in steps.iter_mut() {
            (*uses, *breaks) = (*uses * keep, *breaks * keep);
        }
        let times = idle.as_secs_f64() / LEAST.as_secs_f64();
        let step = if times < 1.0 { 0 } else { (times.log2() as usize + 1).min(STEPS - 1) };
        steps[step].0 += 1.0;
        if !broke {
            return;
        }
        steps[step].1 += 1.0;
        let sum = |steps: &[(f64, f64)]| steps.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        let ((others, chance), (uses, breaks)) = (sum(&steps[..step]), sum(&steps[step..]));
        let by_chance = uses * (chance + BEFORE.0) / (others + BEFORE.1);
        if step > 0 && breaks >= SURE.0 && breaks - by_chance > SURE.1 * by_chance.sqrt() {
            self.limit.set(self.get().min((idle / 2).max(LEAST)));
            self.at.set(Instant::now());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MOST: Duration = Duration::from_secs(4);

    /// Uses one every 20 ms after idle times as traffic has them; `breaks` tells which break.
    async fn play(limit: &IdleLimit, breaks: impl Fn(u32, Duration) -> bool) -> (u32, u32) {
        let (mut fresh, mut broken) = (0, 0);
        for number in 0..1500 {
            tokio::time::advance(Duration::from_millis(20)).await;
            // 0 to 400 ms, most of them short.
            let idle = Duration::from_millis(u64::from(number * 8 % 21).pow(2));
            let idle = if idle < limit.get() { idle } else { Duration::ZERO };
            fresh += u32::from(idle.is_zero());
            let broke = breaks(number, idle);
            broken += u32::from(broke);
            limit.used_after(idle, broke);
        }
        (fresh, broken)
    }

    #[tokio::test(start_paused = true)]
    async fn breaks_by_chance_do_not_cost_new_connections() {
        let limit = IdleLimit::new(MOST);
        let (fresh, _) = play(&limit, |number, _| number % 16 == 5).await;
        // One idle time of 21 is none.
        assert!(fresh <= 300, "{fresh} of 1500 on new connections");
    }

    #[tokio::test(start_paused = true)]
    async fn what_cuts_idle_connections_is_found_among_breaks_by_chance() {
        let limit = IdleLimit::new(MOST);
        let cut = Duration::from_millis(100);
        let (_, broken) = play(&limit, |number, idle| number % 16 == 5 || idle > cut).await;
        // By chance 94 break; with no limit more than half of all would.
        assert!(broken <= 140, "{broken} of 1500 broke");
    }
}
