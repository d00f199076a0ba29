//! Load balance metrics: how evenly the load is distributed over the servers, relative to their speeds.

use crate::history::{History, ServerAvailability};
use crate::plan::Plan;
use serde::Serialize;

/// Length of the windows in which herds are detected, in s.
const HERD_WINDOW_S: f64 = 0.05;
/// A herd is a number of arrivals at a server within a window that exceeds this multiple of the mean over servers.
const HERD_MIN_RATIO: f64 = 3.0;
/// Minimum number of arrivals of a herd.
const HERD_MIN_ARRIVALS: usize = 4;
/// Length of the windows of all other metrics, in s.
const WINDOW_S: f64 = 1.0;
/// Minimum utilization of the fleet at which servers without requests count as idle.
const IDLE_MIN_UTILIZATION: f64 = 0.3;
/// Minimum number of arrivals per server in a window. With fewer, random variation dominates the ratios.
const MIN_ARRIVALS_PER_SERVER: f64 = 1.0;

/// Load balance metrics of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadBalance {
    /// Ratio of the busiest server's arrivals to the mean, averaged over windows of a second.
    pub max_to_mean: f64,
    /// 99th percentile of that ratio over windows.
    pub max_to_mean_p99: f64,
    /// Ratio of the busiest server's concurrent requests to the mean, averaged over windows.
    #[serde(rename = "in_hand_max_to_mean")]
    pub concurrency_max_to_mean: f64,
    /// Jain's fairness index of arrivals, averaged over windows. 1 means an even load.
    pub jain: f64,
    /// Maximum share of listed servers that were idle during a window.
    pub idle: f64,
    /// Number of herds.
    pub herds: usize,
    /// Average number of gateways that contributed to a herd.
    pub herd_gateways: f64,
    /// Average share of the fleet's cores that were busy.
    #[serde(rename = "used")]
    pub utilization: f64,
}

/// Returns the ratio of the maximum to the mean, and Jain's fairness index. None if all values are 0.
fn max_to_mean_and_jain(values: &[f64]) -> Option<(f64, f64)> {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let squares = values.iter().map(|v| v * v).sum::<f64>() / values.len() as f64;
    (mean > 0.0).then(|| (values.iter().copied().fold(0.0, f64::max) / mean, mean * mean / squares))
}

/// Computes the load balance metrics of a run.
pub fn measure(plan: &Plan, history: &History) -> LoadBalance {
    let servers = history.speeds.len();
    let windows = (history.load_end / WINDOW_S).floor() as usize;
    let mut arrivals = vec![vec![0.0f64; servers]; windows];
    let mut concurrency = vec![vec![0.0f64; servers]; windows];
    for attempt in &history.attempts {
        let window = (attempt.received_at / WINDOW_S) as usize;
        if window < windows {
            arrivals[window][attempt.server] += 1.0 / history.speeds[attempt.server];
        }
        if !attempt.accepted {
            continue;
        }
        // Adds the time that the request spent at the server to each window that it overlaps.
        let (from, until) =
            (attempt.received_at, attempt.outcome.0.max(attempt.received_at).min(history.load_end));
        let last = ((until / WINDOW_S) as usize).min(windows.saturating_sub(1));
        for (window, concurrent) in concurrency.iter_mut().enumerate().take(last + 1).skip(window) {
            let (starts, ends) = (window as f64 * WINDOW_S, (window + 1) as f64 * WINDOW_S);
            concurrent[attempt.server] +=
                (until.min(ends) - from.max(starts)).max(0.0) / history.speeds[attempt.server];
        }
    }
    let cores = plan.fleet.cores as f64;
    let (mut ratios, mut jains, mut concurrency_ratios) = (vec![], vec![], vec![]);
    let (mut idle, mut utilizations) = (0.0f64, vec![]);
    for window in 0..windows {
        let (starts, ends) = (window as f64 * WINDOW_S, (window + 1) as f64 * WINDOW_S);
        // Servers that were up during the whole window.
        let up: Vec<_> = (0..servers)
            .filter(|server| {
                history.server_availability_at(*server, starts) == ServerAvailability::Up
                    && !history
                        .server_availability
                        .iter()
                        .any(|(at, which, _)| which == server && (starts..ends).contains(at))
            })
            .collect();
        if up.is_empty() {
            continue;
        }
        let of_window =
            |table: &[Vec<f64>]| up.iter().map(|server| table[window][*server]).collect::<Vec<_>>();
        let (arrived, concurrent) = (of_window(&arrivals), of_window(&concurrency));
        let utilization =
            concurrent.iter().map(|count| count.min(cores)).sum::<f64>() / (up.len() as f64 * cores);
        utilizations.push(utilization);
        if arrived.iter().sum::<f64>() >= MIN_ARRIVALS_PER_SERVER * up.len() as f64 {
            if let Some((ratio, jain)) = max_to_mean_and_jain(&arrived) {
                ratios.push(ratio);
                jains.push(jain);
            }
            concurrency_ratios.extend(max_to_mean_and_jain(&concurrent).map(|(ratio, _)| ratio));
        }
        if utilization >= IDLE_MIN_UTILIZATION {
            let servers = arrived.iter().zip(&concurrent);
            let idle_servers =
                servers.filter(|(arrived, concurrent)| **arrived == 0.0 && **concurrent == 0.0).count();
            idle = idle.max(idle_servers as f64 / up.len() as f64);
        }
    }
    let (herds, herd_gateways) = count_herds(history, servers);
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    ratios.sort_by(f64::total_cmp);
    let p99 = ratios.get((ratios.len() * 99 / 100).min(ratios.len().saturating_sub(1))).copied();
    LoadBalance {
        max_to_mean: mean(&ratios),
        max_to_mean_p99: p99.unwrap_or(0.0),
        concurrency_max_to_mean: mean(&concurrency_ratios),
        jain: mean(&jains),
        idle,
        herds,
        herd_gateways,
        utilization: mean(&utilizations),
    }
}

/// Returns the number of herds, and the average number of gateways that contributed to one.
fn count_herds(history: &History, servers: usize) -> (usize, f64) {
    let windows = (history.load_end / HERD_WINDOW_S).ceil() as usize + 1;
    let mut arrivals: Vec<Vec<(usize, usize)>> = vec![Vec::new(); windows];
    for attempt in &history.attempts {
        if let Some(window) = arrivals.get_mut((attempt.received_at / HERD_WINDOW_S) as usize) {
            window.push((attempt.server, attempt.gateway));
        }
    }
    let (mut herds, mut gateways) = (0, 0);
    for window in &arrivals {
        let mean = window.len() as f64 / servers.max(1) as f64;
        let mut by_server = vec![Vec::new(); servers];
        window.iter().for_each(|(server, gateway)| by_server[*server].push(*gateway));
        for mut senders in by_server {
            if senders.len() >= HERD_MIN_ARRIVALS && senders.len() as f64 > HERD_MIN_RATIO * mean.max(1.0) {
                senders.sort_unstable();
                senders.dedup();
                (herds, gateways) = (herds + 1, gateways + senders.len());
            }
        }
    }
    (herds, gateways as f64 / (herds.max(1)) as f64)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::history::{Attempt, AttemptOutcome};

    /// Ten seconds of four servers with these numbers of arrivals per second, spread over the second or all at once.
    fn history(arrivals_per_s: [usize; 4], all_at_once: bool) -> History {
        let mut history = History { load_end: 10.0, speeds: vec![1.0; 4], ..History::default() };
        history.server_availability = (0..4).map(|server| (0.0, server, ServerAvailability::Up)).collect();
        for second in 0..10 {
            for (server, count) in arrivals_per_s.into_iter().enumerate() {
                for number in 0..count {
                    let fraction = if all_at_once { 0.5 } else { number as f64 / count as f64 };
                    let received_at = f64::from(second) + fraction;
                    let attempt = Attempt {
                        txn: 0,
                        server,
                        gateway: number,
                        first_byte_at: received_at,
                        received_at,
                        accepted: true,
                        outcome: (received_at + 0.1, AttemptOutcome::Done),
                    };
                    history.attempts.push(attempt);
                }
            }
        }
        history
    }

    fn plan() -> Plan {
        Plan::read("name = \"a\"\nseconds = 10\n[fleet]\ngateways = 3\nservers = 4\ncores = 1\n[traffic]")
            .unwrap()
    }

    #[test]
    fn metrics_show_imbalance_idle_servers_and_herds() {
        let even = measure(&plan(), &history([10; 4], false));
        assert_eq!((even.max_to_mean, even.jain, even.idle, even.herds), (1.0, 1.0, 0.0, 0));
        assert!((0.95..=1.0).contains(&even.utilization), "expected full utilization: {even:?}");
        let uneven = measure(&plan(), &history([30, 10, 0, 0], false));
        assert_eq!((uneven.max_to_mean, uneven.idle), (3.0, 0.5));
        assert!(
            (uneven.jain - 0.4).abs() < 1e-9 && uneven.concurrency_max_to_mean > 2.9,
            "expected an uneven load: {uneven:?}"
        );
        let herd = measure(&plan(), &history([10, 1, 1, 1], true));
        assert_eq!((herd.herds, herd.herd_gateways), (10, 10.0));
    }

    #[test]
    fn load_is_relative_to_speed_and_ignores_servers_that_are_down() {
        let mut fast_server = history([20, 10, 10, 10], false);
        fast_server.speeds[0] = 2.0;
        assert_eq!(measure(&plan(), &fast_server).max_to_mean, 1.0);
        let mut idle_server = history([10, 10, 10, 0], false);
        let max_to_mean = measure(&plan(), &idle_server).max_to_mean;
        assert!(max_to_mean > 1.3, "expected more than 1.3 with an idle server: {max_to_mean}");
        idle_server.server_availability[3].2 = ServerAvailability::Unavailable;
        assert_eq!(measure(&plan(), &idle_server).max_to_mean, 1.0);
    }
}
