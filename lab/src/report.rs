//! What a run came to, for people and for programs.

use crate::stage::Outcome;
use std::fmt::Write;

/// A share as people read it.
fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}

/// A few lines for people.
pub fn text(outcome: &Outcome) -> String {
    let (figures, machine) = (&outcome.verdict.figures, &outcome.machine);
    let mut text = String::new();
    let mut line = |what: String| {
        // Writing into a string can't fail.
        let _ = writeln!(text, "{what}");
    };
    let [median, ninety, last, worst] = figures.latency_ms;
    line(format!("{}, seed {}: {} requests", outcome.plan, outcome.seed, figures.works));
    line(format!(
        "  served {}, {} in time; median {median:.0} ms, 90th {ninety:.0}, 99th {last:.0}, worst {worst:.0}",
        percent(figures.served),
        percent(figures.in_time),
    ));
    line(format!(
        "  of the tries refused {}, failed {}, no gateway reached {}, broken {}, silent {}; left unanswered by a \
         living gateway {}",
        percent(figures.refused),
        percent(figures.failed),
        percent(figures.unreached),
        percent(figures.broken),
        percent(figures.silent),
        percent(figures.unanswered),
    ));
    line(format!(
        "  beyond quotas {}, refused needlessly {}; for each request {:.2} tries, {:.2} attempts, {:.3} connections, \
         {:.3} probes, {:.2} counter calls",
        percent(figures.beyond_quota),
        percent(figures.refused_needlessly),
        figures.tries,
        figures.attempts,
        figures.connections,
        figures.probes,
        figures.calls,
    ));
    let even = &figures.even;
    line(format!(
        "  servers used {}; busiest to mean {:.2} (99th {:.2}), in hand {:.2}, Jain {:.3}, idle at most {}, herds {} \
         from {:.1} gateways",
        percent(even.used),
        even.max_to_mean,
        even.max_to_mean_p99,
        even.in_hand_max_to_mean,
        even.jain,
        percent(even.idle),
        even.herds,
        even.herd_gateways,
    ));
    if let Some(after) = figures.recovery_s {
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
    for why in &outcome.invalid_reasons {
        line(format!("  NOT VALID: {why}"));
    }
    for broken in &outcome.verdict.broken {
        line(format!("  BROKEN, {} times: {}", broken.times, broken.rule));
        for case in &broken.cases {
            line(format!("    {case}"));
        }
    }
    line(if outcome.held() { "  all held".to_owned() } else { "  did NOT hold".to_owned() });
    text
}

/// One line of JSON.
pub fn json(outcome: &Outcome) -> String {
    // Plain numbers and texts: there is nothing in it that JSON can't say.
    serde_json::to_string(outcome).unwrap_or_default()
}
