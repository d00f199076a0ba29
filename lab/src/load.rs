//! How even the load on servers is: in windows, by server, weighed by what each can bear.

use crate::ledger::{Ledger, Standing};
use crate::plan::Plan;
use serde::Serialize;

/// Arrivals at one server within this, in s, ...
const HERD_S: f64 = 0.05;
/// ... beyond so many times its even part, and at least so many, are a herd.
const HERD_TIMES: f64 = 3.0;
const HERD_LEAST: usize = 4;
/// A server is idle if nothing came to it for so long, in s, while the fleet was used by this share.
const IDLE_S: f64 = 1.0;
const IDLE_USE: f64 = 0.3;
/// In a window with fewer arrivals for each server than this chance alone makes the load uneven.
const ARRIVALS_LEAST: f64 = 1.0;

/// How even it was.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Even {
    /// Busiest server's arrivals over the mean, in windows of a second: mean over windows.
    pub max_to_mean: f64,
    /// The same, 99th percentile over windows.
    pub max_to_mean_p99: f64,
    /// The same of work in hand, time-weighed.
    pub in_hand_max_to_mean: f64,
    /// Jain's index of arrivals, mean over windows: 1 is even.
    pub jain: f64,
    /// Largest share of listed servers that were idle in a window, while the fleet was used.
    pub idle: f64,
    /// Herds.
    pub herds: usize,
    /// Mean number of gateways that a herd came from.
    pub herd_gateways: f64,
    /// Mean share of the fleet's cores in use.
    pub used: f64,
}

fn ratio(values: &[f64]) -> Option<(f64, f64)> {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let squares = values.iter().map(|v| v * v).sum::<f64>() / values.len() as f64;
    (mean > 0.0).then(|| (values.iter().copied().fold(0.0, f64::max) / mean, mean * mean / squares))
}

/// Measures a run.
pub fn even(plan: &Plan, ledger: &Ledger) -> Even {
    let servers = ledger.speeds.len();
    let windows = (ledger.ended / IDLE_S).floor() as usize;
    let mut arrivals = vec![vec![0.0f64; servers]; windows];
    let mut in_hand = vec![vec![0.0f64; servers]; windows];
    for run in &ledger.runs {
        let window = (run.came / IDLE_S) as usize;
        if window < windows {
            arrivals[window][run.server] += 1.0 / ledger.speeds[run.server];
        }
        if !run.began {
            continue;
        }
        // Its time in hand, window by window.
        let (from, until) = (run.came, run.end.0.max(run.came).min(ledger.ended));
        let last = ((until / IDLE_S) as usize).min(windows.saturating_sub(1));
        for (window, held) in in_hand.iter_mut().enumerate().take(last + 1).skip(window) {
            let (begins, ends) = (window as f64 * IDLE_S, (window + 1) as f64 * IDLE_S);
            held[run.server] += (until.min(ends) - from.max(begins)).max(0.0) / ledger.speeds[run.server];
        }
    }
    let cores = plan.fleet.cores as f64;
    let (mut ratios, mut jains, mut held, mut idle, mut used) = (vec![], vec![], vec![], 0.0f64, vec![]);
    for window in 0..windows {
        let (begins, ends) = (window as f64 * IDLE_S, (window + 1) as f64 * IDLE_S);
        // Those that were listed and up all through the window.
        let up: Vec<_> = (0..servers)
            .filter(|server| {
                ledger.standing(*server, begins) == Standing::Up
                    && !ledger
                        .standings
                        .iter()
                        .any(|(at, which, _)| which == server && (begins..ends).contains(at))
            })
            .collect();
        if up.is_empty() {
            continue;
        }
        let of = |table: &[Vec<f64>]| up.iter().map(|server| table[window][*server]).collect::<Vec<_>>();
        let (came, hand) = (of(&arrivals), of(&in_hand));
        let share = hand.iter().map(|h| h.min(cores)).sum::<f64>() / (up.len() as f64 * cores);
        used.push(share);
        if came.iter().sum::<f64>() >= ARRIVALS_LEAST * up.len() as f64 {
            if let Some((most, jain)) = ratio(&came) {
                ratios.push(most);
                jains.push(jain);
            }
            held.extend(ratio(&hand).map(|(most, _)| most));
        }
        if share >= IDLE_USE {
            let empty = came.iter().zip(&hand).filter(|(came, hand)| **came == 0.0 && **hand == 0.0).count();
            idle = idle.max(empty as f64 / up.len() as f64);
        }
    }
    let (herds, herd_gateways) = herds(ledger, servers);
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    ratios.sort_by(f64::total_cmp);
    let p99 = ratios.get((ratios.len() * 99 / 100).min(ratios.len().saturating_sub(1))).copied();
    Even {
        max_to_mean: mean(&ratios),
        max_to_mean_p99: p99.unwrap_or(0.0),
        in_hand_max_to_mean: mean(&held),
        jain: mean(&jains),
        idle,
        herds,
        herd_gateways,
        used: mean(&used),
    }
}

/// Arrivals that come together: how often, and from how many gateways on average.
fn herds(ledger: &Ledger, servers: usize) -> (usize, f64) {
    let slots = (ledger.ended / HERD_S).ceil() as usize + 1;
    let mut came: Vec<Vec<(usize, usize)>> = vec![Vec::new(); slots];
    for run in &ledger.runs {
        if let Some(slot) = came.get_mut((run.came / HERD_S) as usize) {
            slot.push((run.server, run.gateway));
        }
    }
    let (mut herds, mut gateways) = (0, 0);
    for slot in &came {
        let even = slot.len() as f64 / servers.max(1) as f64;
        let mut by = vec![Vec::new(); servers];
        slot.iter().for_each(|(server, gateway)| by[*server].push(*gateway));
        for mut from in by {
            if from.len() >= HERD_LEAST && from.len() as f64 > HERD_TIMES * even.max(1.0) {
                from.sort_unstable();
                from.dedup();
                (herds, gateways) = (herds + 1, gateways + from.len());
            }
        }
    }
    (herds, gateways as f64 / (herds.max(1)) as f64)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ledger::{Fate, Run};

    /// Ten seconds of four servers, to which so many requests a second come.
    fn ledger(came: [usize; 4], together: bool) -> Ledger {
        let mut ledger = Ledger { ended: 10.0, speeds: vec![1.0; 4], ..Ledger::default() };
        ledger.standings = (0..4).map(|server| (0.0, server, Standing::Up)).collect();
        for second in 0..10 {
            for (server, count) in came.into_iter().enumerate() {
                for number in 0..count {
                    let part = if together { 0.5 } else { number as f64 / count as f64 };
                    let came = f64::from(second) + part;
                    let run = Run {
                        txn: 0,
                        server,
                        gateway: number,
                        first: came,
                        came,
                        began: true,
                        end: (came + 0.1, Fate::Done),
                    };
                    ledger.runs.push(run);
                }
            }
        }
        ledger
    }

    fn plan() -> Plan {
        Plan::read("name = \"a\"\nseconds = 10\n[fleet]\ngateways = 3\nservers = 4\ncores = 1\n[traffic]")
            .unwrap()
    }

    #[test]
    fn an_even_load_is_told_from_an_uneven_one_idle_servers_and_herds() {
        let even_one = even(&plan(), &ledger([10; 4], false));
        assert_eq!((even_one.max_to_mean, even_one.jain, even_one.idle, even_one.herds), (1.0, 1.0, 0.0, 0));
        assert!((0.95..=1.0).contains(&even_one.used), "{even_one:?}");
        let uneven = even(&plan(), &ledger([30, 10, 0, 0], false));
        assert_eq!((uneven.max_to_mean, uneven.idle), (3.0, 0.5));
        assert!((uneven.jain - 0.4).abs() < 1e-9 && uneven.in_hand_max_to_mean > 2.9, "{uneven:?}");
        let herd = even(&plan(), &ledger([10, 1, 1, 1], true));
        assert_eq!((herd.herds, herd.herd_gateways), (10, 10.0));
    }

    #[test]
    fn a_server_counts_for_what_it_can_bear_and_only_while_it_is_up() {
        let mut twice = ledger([20, 10, 10, 10], false);
        twice.speeds[0] = 2.0;
        assert_eq!(even(&plan(), &twice).max_to_mean, 1.0);
        let mut away = ledger([10, 10, 10, 0], false);
        assert!(even(&plan(), &away).max_to_mean > 1.3);
        away.standings[3].2 = Standing::Away;
        assert_eq!(even(&plan(), &away).max_to_mean, 1.0);
    }
}
