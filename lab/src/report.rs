//! Reports of a run as text and as JSON.

use crate::testbed::Outcome;
use std::fmt::Write;

fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}

/// Returns a summary of several lines.
pub fn text(outcome: &Outcome) -> String {
    let (metrics, usage) = (&outcome.verdict.metrics, &outcome.resource_usage);
    let mut text = String::new();
    let mut line = |line: String| {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{line}");
    };
    let [median, p90, p99, max] = metrics.latency_ms;
    line(format!("{}, seed {}: {} requests", outcome.plan, outcome.seed, metrics.requests));
    line(format!(
        "  served {}, {} in time; latency: median {median:.0} ms, 90th {p90:.0}, 99th {p99:.0}, max {max:.0}",
        percent(metrics.served),
        percent(metrics.in_time),
    ));
    line(format!(
        "  tries: refused {}, failed {}, gateway not reached {}, connection closed {}, timed out {}; without a \
         response from a running gateway {}",
        percent(metrics.refused),
        percent(metrics.failed),
        percent(metrics.unreached),
        percent(metrics.disconnected),
        percent(metrics.timed_out),
        percent(metrics.unanswered),
    ));
    line(format!(
        "  units beyond quotas {}, tries refused needlessly {}; per request: {:.2} tries, {:.2} attempts, {:.3} server \
         connections, {:.3} probes, {:.2} counter calls",
        percent(metrics.beyond_quota),
        percent(metrics.refused_needlessly),
        metrics.tries,
        metrics.attempts,
        metrics.connections,
        metrics.probes,
        metrics.counter_calls,
    ));
    let load = &metrics.load_balance;
    line(format!(
        "  server utilization {}; busiest to mean: arrivals {:.2} (99th {:.2}), concurrent requests {:.2}; Jain index \
         {:.3}; idle servers at most {}; {} herds, from {:.1} gateways on average",
        percent(load.utilization),
        load.max_to_mean,
        load.max_to_mean_p99,
        load.concurrency_max_to_mean,
        load.jain,
        percent(load.idle),
        load.herds,
        load.herd_gateways,
    ));
    if let Some(recovery_s) = metrics.recovery_s {
        line(format!("  service recovered {recovery_s:.1} s after the end of the last step"));
    }
    line(format!(
        "  all gateways ready in {:.1} s; per gateway: {:.1} MB, {:.1} ms of CPU per second, {:.0} us of CPU per request; \
         lab: {:.0} ms of CPU per second, {:.0} MB, {} threads, {} descriptors, timers {:.1} ms and clients {:.1} ms \
         late (99th)",
        usage.start_s,
        usage.gateway_mb[0],
        usage.gateway_cpu_ms_per_s,
        usage.gateway_cpu_us_per_request,
        usage.lab_cpu_ms_per_s,
        usage.lab_mb,
        usage.lab_threads,
        usage.lab_descriptors,
        usage.timers_late_ms.p99,
        usage.clients_late_ms.p99,
    ));
    for reason in &outcome.invalid_reasons {
        line(format!("  NOT VALID: {reason}"));
    }
    for violation in &outcome.verdict.violations {
        line(format!("  VIOLATED, {} times: {}", violation.times, violation.rule));
        for case in &violation.cases {
            line(format!("    {case}"));
        }
    }
    line(if outcome.passed() { "  passed".to_owned() } else { "  FAILED".to_owned() });
    text
}

/// Returns the outcome as one line of JSON.
pub fn json(outcome: &Outcome) -> String {
    // Serializing numbers and strings cannot fail.
    serde_json::to_string(outcome).unwrap_or_default()
}
