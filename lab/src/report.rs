//! Reports of a run as text and as JSON.

use crate::stage::Outcome;
use std::fmt::Write;

fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}

/// Returns a summary of several lines.
pub fn text(outcome: &Outcome) -> String {
    let (metrics, machine) = (&outcome.verdict.figures, &outcome.machine);
    let mut text = String::new();
    let mut line = |line: String| {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{line}");
    };
    let [median, p90, p99, max] = metrics.latency_ms;
    line(format!("{}, seed {}: {} requests", outcome.plan, outcome.seed, metrics.works));
    line(format!(
        "  served {}, {} in time; median {median:.0} ms, 90th {p90:.0}, 99th {p99:.0}, worst {max:.0}",
        percent(metrics.served),
        percent(metrics.in_time),
    ));
    line(format!(
        "  of the tries refused {}, failed {}, no gateway reached {}, broken {}, silent {}; left unanswered by a \
         living gateway {}",
        percent(metrics.refused),
        percent(metrics.failed),
        percent(metrics.unreached),
        percent(metrics.broken),
        percent(metrics.silent),
        percent(metrics.unanswered),
    ));
    line(format!(
        "  beyond quotas {}, refused needlessly {}; for each request {:.2} tries, {:.2} attempts, {:.3} connections, \
         {:.3} probes, {:.2} counter calls",
        percent(metrics.beyond_quota),
        percent(metrics.refused_needlessly),
        metrics.tries,
        metrics.attempts,
        metrics.connections,
        metrics.probes,
        metrics.calls,
    ));
    let load = &metrics.load_balance;
    line(format!(
        "  servers used {}; busiest to mean {:.2} (99th {:.2}), in hand {:.2}, Jain {:.3}, idle at most {}, herds {} \
         from {:.1} gateways",
        percent(load.used),
        load.max_to_mean,
        load.max_to_mean_p99,
        load.in_hand_max_to_mean,
        load.jain,
        percent(load.idle),
        load.herds,
        load.herd_gateways,
    ));
    if let Some(after) = metrics.recovery_s {
        line(format!("  service back {after:.1} s after the last step's end"));
    }
    line(format!(
        "  all ready in {:.1} s; a gateway {:.1} MB, {:.1} ms of CPU a second, {:.0} us a request; the stage {:.0} ms of \
         CPU a second, {:.0} MB, {} threads, {} descriptors, timers {:.1} ms and clients {:.1} ms late (99th)",
        machine.start_s,
        machine.gateway_mb[0],
        machine.gateway_cpu_ms_per_s,
        machine.gateway_cpu_us_per_work,
        machine.stage_cpu_ms_per_s,
        machine.stage_mb,
        machine.stage_threads,
        machine.stage_descriptors,
        machine.timers_late_ms.p99,
        machine.clients_late_ms.p99,
    ));
    for why in &outcome.not_valid {
        line(format!("  NOT VALID: {why}"));
    }
    for violation in &outcome.verdict.broken {
        line(format!("  BROKEN, {} times: {}", violation.times, violation.rule));
        for case in &violation.cases {
            line(format!("    {case}"));
        }
    }
    line(if outcome.held() { "  all held".to_owned() } else { "  did NOT hold".to_owned() });
    text
}

/// Returns the outcome as one line of JSON.
pub fn json(outcome: &Outcome) -> String {
    // Serializing numbers and strings cannot fail.
    serde_json::to_string(outcome).unwrap_or_default()
}
