//! The machine that a stage runs on: whether it bears the plan, and how late the stage itself was.

use crate::plan::Plan;
use hdrhistogram::Histogram;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde::Serialize;
use std::sync::Mutex;
use std::time::Duration;

/// Past this lateness of the stage itself, 99th percentile in ms, a run tells more of the machine than of gateways.
pub const LATE_MOST_MS: f64 = 20.0;
/// Descriptors for each gateway: two addresses kept, its log, its agent's connection, a relay, its counter lanes ...
const EACH_GATEWAY: usize = 12;
/// ... connections to servers for each (it keeps to some of them), and the clients' for each request under way.
const EACH_SERVERS: usize = 24;
/// Time that a request is under way, in s, with room.
const UNDER_WAY_S: f64 = 0.5;
/// The rest of the stage.
const REST: usize = 128;

/// Descriptors that a plan needs in the stage's process.
pub fn descriptors(plan: &Plan) -> usize {
    let fleet = &plan.fleet;
    let servers = fleet.servers + fleet.spare;
    REST + 2 * servers
        + fleet.gateways * (EACH_GATEWAY + EACH_SERVERS.min(2 * servers))
        + (plan.traffic.per_s * UNDER_WAY_S).ceil() as usize
}

/// Sees to it that this process may open so many, or says what is needed.
pub fn allow(descriptors: usize) -> Result<(), String> {
    let limit = getrlimit(Resource::Nofile);
    let (now, most) = (limit.current.unwrap_or(u64::MAX), limit.maximum.unwrap_or(u64::MAX));
    let needed = descriptors as u64;
    if now >= needed {
        return Ok(());
    }
    if most < needed {
        return Err(format!(
            "the stage needs {needed} descriptors and may open {most}: raise the hard limit (ulimit -Hn), or play \
             fewer gateways or servers"
        ));
    }
    let raised = Rlimit { current: Some(needed), maximum: limit.maximum };
    setrlimit(Resource::Nofile, raised).map_err(|e| format!("descriptors: {e}"))
}

/// How late something was, in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Late {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Worst.
    pub most: f64,
}

/// Why a run is not valid in which these were so late.
pub fn starved(what: &str, late: Late) -> Option<String> {
    (late.p99 > LATE_MOST_MS).then(|| {
        format!(
            "the stage was starved: its {what} were {:.1} ms late in the 99th percentile, over {LATE_MOST_MS} ms",
            late.p99
        )
    })
}

/// What is noted of lateness.
pub struct Lateness(Mutex<Histogram<u64>>);

impl Default for Lateness {
    fn default() -> Self {
        Lateness(Mutex::new(Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds of a histogram")))
    }
}

impl Lateness {
    /// Something was so much late, in s.
    pub fn note(&self, late_s: f64) {
        let mut histogram = self.0.lock().unwrap_or_else(|e| e.into_inner());
        histogram.saturating_record(((late_s * 1e6) as u64).max(1));
    }

    /// All of it.
    pub fn told(&self) -> Late {
        let histogram = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Late { p50: at(0.5), p99: at(0.99), most: at(1.0) }
    }

    /// Notes for as long as it is polled how late a timer of this process rings.
    pub async fn watch(&self) {
        const EVERY: Duration = Duration::from_millis(5);
        loop {
            let due = tokio::time::Instant::now() + EVERY;
            tokio::time::sleep_until(due).await;
            self.note(due.elapsed().as_secs_f64());
        }
    }
}

/// What processes used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Used {
    /// Processor time, in s.
    pub cpu_s: f64,
    /// Resident memory, in MB.
    pub resident_mb: f64,
    /// Threads.
    pub threads: u64,
}

/// What a process has used so far; nothing if it has ended.
pub fn used(process: i32) -> Used {
    let Ok(stat) = procfs::process::Process::new(process).and_then(|process| process.stat()) else {
        return Used::default();
    };
    Used {
        cpu_s: (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64,
        resident_mb: (stat.rss * procfs::page_size()) as f64 / 1e6,
        threads: stat.num_threads.unsigned_abs(),
    }
}

/// Descriptors that this process holds.
pub fn held() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_a_plan_needs_is_told_before_it_is_played() {
        let plan = |gateways| {
            let text = format!(
                "name = \"a\"\nseconds = 9\n[fleet]\ngateways = {gateways}\nservers = 200\n[traffic]"
            );
            Plan::read(&text).unwrap()
        };
        let needed = descriptors(&plan(300));
        assert!((10_000..20_000).contains(&needed), "{needed}");
        assert!(allow(64).is_ok());
        let error = allow(usize::MAX / 2).unwrap_err();
        assert!(error.contains("ulimit -Hn"), "{error}");
    }

    #[test]
    fn lateness_is_told_by_its_share() {
        let late = Lateness::default();
        (1..=100).for_each(|ms| late.note(f64::from(ms) / 1000.0));
        let told = late.told();
        assert!(starved("timers", told).is_some_and(|why| why.contains("timers were 99")), "{told:?}");
        assert_eq!(starved("timers", Late { p99: 19.0, ..told }), None);
        assert!((49.0..52.0).contains(&told.p50) && (98.0..101.0).contains(&told.p99), "{told:?}");
        assert!(used(std::process::id() as i32).resident_mb > 0.5);
        assert_eq!(used(i32::MAX), Used::default());
    }
}
