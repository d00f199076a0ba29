//! Descriptor limits, resource usage of processes, and lateness of the lab's own timers.

use crate::plan::Plan;
use hdrhistogram::Histogram;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde::Serialize;
use std::sync::Mutex;
use std::time::Duration;

/// A run is invalid if the 99th percentile of the lab's own lateness is above this, in ms: its results would reflect
/// the machine and not the gateways.
pub const MAX_P99_LATENESS_MS: f64 = 20.0;
/// Descriptors for each gateway: reserved ports, log, discovery connection, datagram relay and counter connections.
const DESCRIPTORS_PER_GATEWAY: usize = 12;
/// Maximum number of connections to servers for each gateway, which uses a subset of the servers.
const MAX_SERVER_CONNECTIONS_PER_GATEWAY: usize = 24;
/// Upper estimate of the mean duration of a request, in s. Each request in flight holds a client connection.
const REQUEST_DURATION_S: f64 = 0.5;
/// Descriptors for everything else.
const BASE_DESCRIPTORS: usize = 128;

/// The number of descriptors that the lab process needs for a plan.
pub fn required_descriptors(plan: &Plan) -> usize {
    let fleet = &plan.fleet;
    let servers = fleet.servers + fleet.spare;
    BASE_DESCRIPTORS
        + 2 * servers
        + fleet.gateways * (DESCRIPTORS_PER_GATEWAY + MAX_SERVER_CONNECTIONS_PER_GATEWAY.min(2 * servers))
        + (plan.traffic.per_s * REQUEST_DURATION_S).ceil() as usize
}

/// Raises the soft limit of this process to this number of descriptors, if it is lower. Fails if the hard limit is
/// lower.
pub fn raise_descriptor_limit(descriptors: usize) -> Result<(), String> {
    let limit = getrlimit(Resource::Nofile);
    let (soft, hard) = (limit.current.unwrap_or(u64::MAX), limit.maximum.unwrap_or(u64::MAX));
    let needed = descriptors as u64;
    if soft >= needed {
        return Ok(());
    }
    if hard < needed {
        return Err(format!(
            "the lab needs {needed} descriptors and may open {hard}: raise the hard limit (ulimit -Hn), or use \
             fewer gateways or servers"
        ));
    }
    let raised = Rlimit { current: Some(needed), maximum: limit.maximum };
    setrlimit(Resource::Nofile, raised).map_err(|e| format!("cannot raise the limit on descriptors: {e}"))
}

/// Summary of a lateness distribution, in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatenessSummary {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    #[serde(rename = "most")]
    pub max: f64,
}

/// Returns the reason why a run with this lateness of `what` is invalid; none if it is valid.
pub fn starvation_reason(what: &str, lateness: LatenessSummary) -> Option<String> {
    (lateness.p99 > MAX_P99_LATENESS_MS).then(|| {
        format!(
            "the lab was starved of CPU time: its {what} were {:.1} ms late at the 99th percentile, above the limit \
             of {MAX_P99_LATENESS_MS} ms",
            lateness.p99
        )
    })
}

/// Records how late events were.
pub struct Lateness(Mutex<Histogram<u64>>);

impl Default for Lateness {
    fn default() -> Self {
        Lateness(Mutex::new(Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds")))
    }
}

impl Lateness {
    /// Records a lateness, in s.
    pub fn record(&self, late_s: f64) {
        let mut histogram = self.0.lock().unwrap_or_else(|e| e.into_inner());
        histogram.saturating_record(((late_s * 1e6) as u64).max(1));
    }

    /// Summarizes all recorded values.
    pub fn summary(&self) -> LatenessSummary {
        let histogram = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        LatenessSummary { p50: at(0.5), p99: at(0.99), max: at(1.0) }
    }

    /// Records how late a periodic timer fires, for as long as it is polled.
    pub async fn measure_timer(&self) {
        const PERIOD: Duration = Duration::from_millis(5);
        loop {
            let due = tokio::time::Instant::now() + PERIOD;
            tokio::time::sleep_until(due).await;
            self.record(due.elapsed().as_secs_f64());
        }
    }
}

/// Resources used by a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ProcessUsage {
    /// CPU time, in s.
    pub cpu_s: f64,
    /// Resident memory, in MB.
    pub resident_mb: f64,
    /// Number of threads.
    pub threads: u64,
}

/// The resources that a process uses, by its id; all zero if there is no such process.
pub fn process_usage(pid: i32) -> ProcessUsage {
    let Ok(stat) = procfs::process::Process::new(pid).and_then(|process| process.stat()) else {
        return ProcessUsage::default();
    };
    ProcessUsage {
        cpu_s: (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64,
        resident_mb: (stat.rss * procfs::page_size()) as f64 / 1e6,
        threads: stat.num_threads.unsigned_abs(),
    }
}

/// The number of descriptors that this process has open.
pub fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_descriptors_of_a_plan_are_estimated_and_a_limit_that_is_too_low_is_reported() {
        let plan = |gateways| {
            let text = format!(
                "name = \"a\"\nseconds = 9\n[fleet]\ngateways = {gateways}\nservers = 200\n[traffic]"
            );
            Plan::read(&text).unwrap()
        };
        let needed = required_descriptors(&plan(300));
        assert!((10_000..20_000).contains(&needed), "{needed}");
        assert!(raise_descriptor_limit(64).is_ok());
        let error = raise_descriptor_limit(usize::MAX / 2).unwrap_err();
        assert!(error.contains("ulimit -Hn"), "{error}");
    }

    #[test]
    fn lateness_is_summarized_and_compared_with_the_limit() {
        let lateness = Lateness::default();
        (1..=100).for_each(|ms| lateness.record(f64::from(ms) / 1000.0));
        let summary = lateness.summary();
        let reason = starvation_reason("timers", summary);
        assert!(reason.is_some_and(|reason| reason.contains("timers were 99")), "{summary:?}");
        assert_eq!(starvation_reason("timers", LatenessSummary { p99: 19.0, ..summary }), None);
        assert!((49.0..52.0).contains(&summary.p50) && (98.0..101.0).contains(&summary.p99), "{summary:?}");
        assert!(process_usage(std::process::id() as i32).resident_mb > 0.5);
        assert_eq!(process_usage(i32::MAX), ProcessUsage::default());
    }
}
