//! Checks the history of a run against the rules and the plan's expectations, and computes its metrics.

use crate::history::{AttemptOutcome, History, Try, TryOutcome};
use crate::load_balance::{self, LoadBalance};
use crate::plan::{EndpointKind, LinkAction, Plan, Step, TARGET_LATENCY_MS};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{HashMap, HashSet};

/// Tolerance for timing on real sockets, in s.
pub const TIMING_SLACK_S: f64 = 0.05;
/// Time after SIGTERM during which a gateway must still accept requests, in s.
pub const SHUTDOWN_GRACE_S: f64 = 0.7;
/// Share of the level before the first fault that the service must reach to count as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Number of consecutive seconds for which the service must stay at that level.
const RECOVERED_SECONDS: usize = 3;
/// Maximum number of cases listed for a violated rule.
const MAX_LISTED_CASES: usize = 5;
/// Upper bound of the latency histogram, in us.
const MAX_LATENCY_US: u64 = 60_000_000;

/// A violated rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Number of cases.
    pub times: usize,
    /// Descriptions of the first cases.
    pub cases: Vec<String>,
}

/// Metrics of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Metrics {
    /// Number of requests that clients sent, without retries.
    #[serde(rename = "works")]
    pub requests: usize,
    /// Share of requests that were served in the end.
    pub served: f64,
    /// Share of requests that were served within the target latency.
    pub in_time: f64,
    /// Share of tries that were refused.
    pub refused: f64,
    /// Share of tries that failed with another status.
    pub failed: f64,
    /// Share of tries that did not reach a gateway.
    pub unreached: f64,
    /// Share of tries whose connection was closed without a response.
    #[serde(rename = "broken")]
    pub disconnected: f64,
    /// Share of tries that timed out.
    #[serde(rename = "silent")]
    pub timed_out: f64,
    /// Share of tries that a running gateway accepted but did not respond to.
    pub unanswered: f64,
    /// Tries per request.
    pub tries: f64,
    /// Attempts at servers per request.
    pub attempts: f64,
    /// Latency of served requests from their due times, in ms: median, 90th and 99th percentile, and maximum.
    pub latency_ms: [f64; 4],
    /// Share of forwarded units that exceeded quotas.
    pub beyond_quota: f64,
    /// Share of tries that were refused within the quota while a server had an idle core.
    pub refused_needlessly: f64,
    /// Load balance metrics.
    #[serde(rename = "even")]
    pub load_balance: LoadBalance,
    /// Time from the end of the last step until the service recovered, in s, or none if it did not recover or the plan
    /// has no steps.
    pub recovery_s: Option<f64>,
    /// New connections to servers per request.
    pub connections: f64,
    /// Probes of servers per request.
    pub probes: f64,
    /// Calls to the quota counter per request.
    #[serde(rename = "calls")]
    pub counter_calls: f64,
    /// Share of calls that the quota counter rejected.
    #[serde(rename = "calls_turned_away")]
    pub counter_calls_rejected: f64,
}

/// Metrics and violated rules of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Metrics.
    #[serde(rename = "figures")]
    pub metrics: Metrics,
    /// Violated rules.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// Whether no rule was violated.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Cases in which a rule was violated.
#[derive(Default)]
struct Cases {
    count: usize,
    listed: Vec<String>,
}

impl Cases {
    fn add(&mut self, description: impl FnOnce() -> String) {
        self.count += 1;
        if self.listed.len() < MAX_LISTED_CASES {
            self.listed.push(description());
        }
    }
}

/// Checks a run against the rules and the plan's expectations.
pub fn check_run(plan: &Plan, history: &History) -> Verdict {
    let mut metrics = compute_metrics(plan, history);
    let mut violations = Vec::new();
    let mut check_rule = |rule: &'static str, cases: Cases| {
        if cases.count > 0 {
            violations.push(Violation { rule, times: cases.count, cases: cases.listed });
        }
    };
    let (wrong_responses, unanswered) = find_response_violations(plan, history);
    metrics.unanswered = unanswered.count as f64 / history.tries.len().max(1) as f64;
    check_rule("each request has one answer, the right one", wrong_responses);
    if metrics.unanswered > plan.expectations.unanswered {
        check_rule("a request that a living gateway took has its answer", unanswered);
    }
    check_rule("no unsafe request runs twice", find_repeated_non_idempotent_requests(history));
    check_rule("nothing new to a server that drains or is gone", find_drain_violations(plan, history));
    check_rule("servers get what clients sent", find_unknown_requests(history));
    check_rule("a gateway does not end by itself", find_crashes(history));
    let mut unmet = Cases::default();
    let mut check_maximum = |name: &str, value: f64, maximum: Option<f64>| {
        if let Some(maximum) = maximum.filter(|maximum| value > *maximum) {
            unmet.add(|| format!("{name} is {value:.4}, over {maximum}"));
        }
    };
    check_maximum("beyond_quota", metrics.beyond_quota, plan.expectations.beyond_quota);
    check_maximum("refused_needlessly", metrics.refused_needlessly, plan.expectations.refused_needlessly);
    check_maximum("idle", metrics.load_balance.idle, plan.expectations.idle);
    check_maximum("max_to_mean", metrics.load_balance.max_to_mean, plan.expectations.max_to_mean);
    check_maximum("recovery_s", metrics.recovery_s.unwrap_or(f64::INFINITY), plan.expectations.recovery_s);
    if metrics.served < plan.expectations.served {
        unmet.add(|| format!("served is {:.4}, under {}", metrics.served, plan.expectations.served));
    }
    check_rule("what the plan says must hold", unmet);
    Verdict { metrics, violations }
}

/// Whether a step affects the link between clients and a gateway in a period.
fn is_client_link_faulty(plan: &Plan, gateway: usize, from: f64, until: f64) -> bool {
    plan.step.iter().enumerate().any(|(number, step)| {
        let Some(fault) = step
            .link
            .as_ref()
            .filter(|fault| [fault.from.kind, fault.to.kind].contains(&EndpointKind::Clients))
        else {
            return false;
        };
        let other = if fault.from.kind == EndpointKind::Clients { fault.to } else { fault.from };
        step.at <= until && step.end_s(plan) >= from && plan.gateways(other.who, number).contains(&gateway)
    })
}

/// Returns the tries with wrong or duplicate responses, and the tries that a running gateway accepted but did not
/// respond to.
fn find_response_violations(plan: &Plan, history: &History) -> (Cases, Cases) {
    let (mut wrong, mut unanswered) = (Cases::default(), Cases::default());
    let accepted: HashSet<u64> =
        history.attempts.iter().filter(|attempt| attempt.accepted).map(|attempt| attempt.txn).collect();
    for client_try in &history.tries {
        let Try { txn, gateway, sent_at, deadline, .. } = *client_try;
        let name = || format!("{txn:016x} at gateway {gateway}, sent at {sent_at:.3} s");
        if client_try.extra_responses > 0 {
            wrong.add(|| format!("{}: {} duplicate responses", name(), client_try.extra_responses));
        }
        match client_try.outcome {
            Some((_, TryOutcome::WrongBody)) => {
                wrong.add(|| format!("{}: status 200 with a wrong body", name()))
            }
            Some((_, TryOutcome::Served)) if !accepted.contains(&txn) => {
                wrong.add(|| format!("{}: served, but no server accepted it", name()));
            }
            Some((ended, TryOutcome::Disconnected | TryOutcome::TimedOut)) => {
                let was_running =
                    history.was_running(gateway, sent_at, ended.max(deadline), SHUTDOWN_GRACE_S);
                if was_running && !is_client_link_faulty(plan, gateway, sent_at, ended) {
                    unanswered.add(|| format!("{}: no response by {ended:.3} s", name()));
                }
            }
            None => unanswered.add(|| format!("{}: never ended", name())),
            _ => {}
        }
    }
    (wrong, unanswered)
}

/// Returns the non-idempotent requests that were accepted twice, in the same try or in two, and the non-idempotent
/// tries that were refused although a server may have accepted them.
fn find_repeated_non_idempotent_requests(history: &History) -> Cases {
    let mut cases = Cases::default();
    let is_non_idempotent = |request_index: usize| history.requests[request_index].class == 1;
    let mut by_request: HashMap<usize, Vec<u64>> = HashMap::new();
    for attempt in history.attempts.iter().filter(|attempt| attempt.accepted) {
        if let Some(request_index) =
            history.request_index(attempt.txn).filter(|index| is_non_idempotent(*index))
        {
            by_request.entry(request_index).or_default().push(attempt.txn);
        }
    }
    for (request_index, txns) in &by_request {
        if txns.len() > 1 {
            cases.add(|| format!("request {request_index} ran as {txns:x?}"));
        }
    }
    for client_try in &history.tries {
        let accepted =
            || by_request.get(&client_try.request_index).is_some_and(|txns| txns.contains(&client_try.txn));
        if matches!(client_try.outcome, Some((_, TryOutcome::Refused(_))))
            && is_non_idempotent(client_try.request_index)
            && accepted()
        {
            cases.add(|| format!("{:016x} was refused, but may have run", client_try.txn));
        }
    }
    cases
}

/// Returns the maximum delay that the plan's link faults can add between gateways and servers, in s.
fn max_link_delay_s(plan: &Plan) -> f64 {
    let links = plan.step.iter().filter_map(|step: &Step| Some((step, step.link.as_ref()?)));
    let server_links =
        links.filter(|(_, fault)| [fault.from.kind, fault.to.kind].contains(&EndpointKind::Servers));
    server_links
        .map(|(step, fault)| match fault.action {
            LinkAction::Delay => {
                (fault.by + fault.spread + fault.grows * (step.end_s(plan) - step.at)) / 1000.0
            }
            // Held-back data is delivered when the fault ends.
            LinkAction::Cut | LinkAction::Loss | LinkAction::Throttle => step.end_s(plan) - step.at,
            _ => 0.0,
        })
        .sum()
}

/// Returns the attempts at a server after the gateway was notified that it is draining or gone.
fn find_drain_violations(plan: &Plan, history: &History) -> Cases {
    let mut cases = Cases::default();
    let mut notifications: HashMap<(usize, usize), Vec<(f64, bool)>> = HashMap::new();
    for (at, gateway, server, draining_or_gone) in &history.notifications {
        notifications.entry((*gateway, *server)).or_default().push((*at, *draining_or_gone));
    }
    let grace_s = plan.expectations.drain_grace_ms / 1000.0 + TIMING_SLACK_S + max_link_delay_s(plan);
    for attempt in &history.attempts {
        let Some(notifications) = notifications.get(&(attempt.gateway, attempt.server)) else { continue };
        let Some((at, true)) = notifications.iter().rev().find(|(at, _)| *at <= attempt.first_byte_at) else {
            continue;
        };
        // A gateway that was paused or not running at that time reads the notification once it runs.
        let resumed = history.gateway_events.iter().filter(|(_, gateway, event)| {
            *gateway == attempt.gateway
                && matches!(
                    event,
                    crate::history::GatewayEvent::Resumed | crate::history::GatewayEvent::Ready
                )
        });
        let at = resumed.map(|(at, _, _)| *at).filter(|at| *at <= attempt.first_byte_at).fold(*at, f64::max);
        if attempt.first_byte_at > at + grace_s {
            cases.add(|| {
                format!(
                    "{:016x} from gateway {} to server {} {:.0} ms after the notification",
                    attempt.txn,
                    attempt.gateway,
                    attempt.server,
                    (attempt.first_byte_at - at) * 1000.0
                )
            });
        }
    }
    cases
}

fn find_unknown_requests(history: &History) -> Cases {
    let mut cases = Cases::default();
    if history.unknown_requests > 0 {
        cases.add(|| format!("{} requests that no client sent", history.unknown_requests));
    }
    cases
}

fn find_crashes(history: &History) -> Cases {
    let mut cases = Cases::default();
    for (at, gateway, _) in
        history.gateway_events.iter().filter(|(_, _, event)| *event == crate::history::GatewayEvent::Crashed)
    {
        cases.add(|| format!("gateway {gateway} exited at {at:.3} s"));
    }
    cases
}

/// Token bucket of a customer's quota.
struct TokenBucket {
    tokens: f64,
    refilled_at: f64,
}

/// Returns the share of forwarded units that exceeded quotas, and the share of tries that were refused within the quota
/// while a server had an idle core.
fn quota_metrics(plan: &Plan, history: &History) -> (f64, f64) {
    enum Event {
        /// The estimated units are charged.
        Forwarded,
        /// The difference between the estimated and the actual units is refunded.
        Settled(f64),
        Refused,
    }
    let mut events: Vec<(f64, usize, Event)> = Vec::new();
    let (mut forwarded, mut settled) = (HashSet::new(), HashSet::new());
    for attempt in &history.attempts {
        let Some(request_index) = history.request_index(attempt.txn) else { continue };
        if forwarded.insert(attempt.txn) {
            events.push((attempt.received_at, request_index, Event::Forwarded));
        }
        if attempt.outcome.1 == AttemptOutcome::Done && settled.insert(attempt.txn) {
            let refund =
                history.requests[request_index].estimated_units - history.requests[request_index].units;
            events.push((attempt.outcome.0, request_index, Event::Settled(refund)));
        }
    }
    for client_try in &history.tries {
        if let Some((at, TryOutcome::Refused(_))) = client_try.outcome {
            events.push((at, client_try.request_index, Event::Refused));
        }
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut needless: Vec<f64> = history.needless_refusals.clone();
    needless.sort_by(f64::total_cmp);
    let mut buckets: HashMap<u32, TokenBucket> = HashMap::new();
    let (mut units, mut units_beyond_quota, mut needless_refusals) = (0.0, 0.0, 0usize);
    for (at, request_index, event) in events {
        let request = history.requests[request_index];
        let service_plan = request.service_plan() as usize;
        let rate = plan.traffic.rate[service_plan];
        let burst = rate * plan.traffic.burst_s[service_plan];
        let bucket =
            buckets.entry(request.customer).or_insert(TokenBucket { tokens: burst, refilled_at: at });
        bucket.tokens = (bucket.tokens + rate * (at - bucket.refilled_at).max(0.0)).min(burst);
        bucket.refilled_at = at;
        let within_quota = rate == 0.0 || bucket.tokens >= request.estimated_units;
        match event {
            Event::Forwarded => {
                units += request.estimated_units;
                if within_quota {
                    bucket.tokens -= request.estimated_units;
                } else {
                    units_beyond_quota += request.estimated_units;
                }
            }
            Event::Settled(refund) => bucket.tokens = (bucket.tokens + refund).min(burst),
            Event::Refused => {
                // The client records a needless refusal with the same time as the outcome of the try.
                let server_was_idle = needless.binary_search_by(|then| then.total_cmp(&at)).is_ok();
                needless_refusals += usize::from(within_quota && server_was_idle);
            }
        }
    }
    (
        if units > 0.0 { units_beyond_quota / units } else { 0.0 },
        needless_refusals as f64 / history.tries.len().max(1) as f64,
    )
}

/// Returns the share of requests that were served, for each second in which they were due. None if none was due.
fn served_per_second(history: &History) -> Vec<Option<f64>> {
    let seconds = history.load_end.floor() as usize;
    let mut counts = vec![(0usize, 0usize); seconds];
    for (request_index, served_at) in history.served_at().iter().enumerate() {
        if let Some((due, served)) = counts.get_mut(history.requests[request_index].due_at as usize) {
            *due += 1;
            *served += usize::from(served_at.is_some());
        }
    }
    counts.into_iter().map(|(due, served)| (due > 0).then(|| served as f64 / due as f64)).collect()
}

/// Returns the time from the end of the last step until the service recovers, in s.
fn recovery_time_s(plan: &Plan, history: &History) -> Option<f64> {
    let (start, end) = plan.fault_window()?;
    let served = served_per_second(history);
    let before: Vec<_> = served.iter().take(start.floor() as usize).skip(1).flatten().copied().collect();
    let before = before.iter().sum::<f64>() / before.len().max(1) as f64;
    let after: Vec<_> = served.iter().skip(end.ceil() as usize).map(|share| share.unwrap_or(1.0)).collect();
    let is_recovered = |shares: &[f64]| shares.iter().all(|share| *share >= RECOVERED_SHARE * before);
    let recovered = after.windows(RECOVERED_SECONDS).position(is_recovered)?;
    Some(end.ceil() - end + recovered as f64)
}

fn compute_metrics(plan: &Plan, history: &History) -> Metrics {
    let tries = history.tries.len().max(1) as f64;
    let requests = history.first_sent.iter().flatten().count().max(1) as f64;
    let share_of_tries = |matches: &dyn Fn(&TryOutcome) -> bool| {
        let ended = history.tries.iter().filter_map(|client_try| client_try.outcome);
        ended.filter(|(_, outcome)| matches(outcome)).count() as f64 / tries
    };
    let mut latency =
        Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid histogram bounds");
    let served_times = history.served_at();
    let mut in_time = 0;
    for (request, served_at) in history.requests.iter().zip(&served_times) {
        if let Some(at) = served_at {
            // Measured from the due time, so that delays of the client are included (coordinated omission).
            let latency_us = ((at - request.due_at).max(0.0) * 1e6) as u64;
            latency.saturating_record(latency_us.clamp(1, MAX_LATENCY_US));
            in_time += usize::from(latency_us as f64 <= TARGET_LATENCY_MS * 1000.0);
        }
    }
    let latency_ms_at = |quantile: f64| latency.value_at_quantile(quantile) as f64 / 1000.0;
    let (beyond_quota, refused_needlessly) = quota_metrics(plan, history);
    let (counter_calls, counter_calls_rejected) = history.counter_calls;
    Metrics {
        requests: history.first_sent.iter().flatten().count(),
        served: served_times.iter().flatten().count() as f64 / requests,
        in_time: in_time as f64 / requests,
        refused: share_of_tries(&|outcome| matches!(outcome, TryOutcome::Refused(_))),
        failed: share_of_tries(&|outcome| matches!(outcome, TryOutcome::Failed(_))),
        unreached: share_of_tries(&|outcome| *outcome == TryOutcome::Unreached),
        disconnected: share_of_tries(&|outcome| *outcome == TryOutcome::Disconnected),
        timed_out: share_of_tries(&|outcome| *outcome == TryOutcome::TimedOut),
        unanswered: 0.0, // set by the rule check
        tries: history.tries.len() as f64 / requests,
        attempts: history.attempts.len() as f64 / requests,
        latency_ms: [latency_ms_at(0.5), latency_ms_at(0.9), latency_ms_at(0.99), latency_ms_at(1.0)],
        beyond_quota,
        refused_needlessly,
        load_balance: load_balance::measure(plan, history),
        recovery_s: recovery_time_s(plan, history),
        connections: history.connections.len() as f64 / requests,
        probes: history.probes as f64 / requests,
        counter_calls: counter_calls as f64 / requests,
        counter_calls_rejected: counter_calls_rejected as f64 / counter_calls.max(1) as f64,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::history::{transaction_id, Attempt, GatewayEvent, ServerAvailability};
    use crate::model::workload::Request;

    fn plan(rest: &str) -> Plan {
        Plan::read(&format!(
            "name = \"a\"\nseconds = 10\n[fleet]\ngateways = 3\nservers = 2\n[traffic]\nrate = [4.0, 40.0]\n{rest}"
        ))
        .unwrap()
    }

    /// Ten seconds without faults: ten requests per second, each by a different customer and every second one
    /// non-idempotent.
    fn faultless_history() -> History {
        let mut history = History { load_end: 10.0, speeds: vec![1.0; 2], ..History::default() };
        history.server_availability =
            vec![(0.0, 0, ServerAvailability::Up), (0.0, 1, ServerAvailability::Up)];
        history.gateway_events = (0..3).map(|gateway| (-1.0, gateway, GatewayEvent::Ready)).collect();
        for request_index in 0..100 {
            let at = request_index as f64 / 10.0;
            let class = (request_index % 2) as u8;
            history.requests.push(Request {
                due_at: at,
                customer: request_index as u32,
                class,
                work_ms: 50.0,
                estimated_units: 2.0,
                units: 2.0,
                honors_retry_after: true,
            });
            history.first_sent.push(Some(at));
            let (txn, gateway) = (transaction_id(request_index, 0), request_index % 3);
            history.tries.push(Try {
                txn,
                request_index,
                gateway,
                sent_at: at,
                written: true,
                deadline: at + 2.0,
                outcome: Some((at + 0.06, TryOutcome::Served)),
                extra_responses: 0,
            });
            history.attempts.push(Attempt {
                txn,
                server: request_index / 2 % 2,
                gateway,
                first_byte_at: at + 0.001,
                received_at: at + 0.002,
                accepted: true,
                outcome: (at + 0.055, AttemptOutcome::Done),
            });
        }
        history
    }

    fn violated_rules(plan: &Plan, history: &History) -> Vec<&'static str> {
        check_run(plan, history).violations.iter().map(|violation| violation.rule).collect()
    }

    #[test]
    fn faultless_run_violates_no_rule() {
        let hold = "[hold]\nserved = 1.0\nbeyond_quota = 0.0\nrefused_needlessly = 0.0\nidle = 0.0\nmax_to_mean = 1.5";
        let verdict = check_run(&plan(hold), &faultless_history());
        assert!(verdict.passed(), "expected no violation: {verdict:?}");
        let metrics = verdict.metrics;
        assert_eq!(
            (metrics.requests, metrics.served, metrics.in_time, metrics.refused),
            (100, 1.0, 1.0, 0.0)
        );
        assert!(
            (59.0..61.0).contains(&metrics.latency_ms[0]),
            "expected a median latency of 60 ms: {metrics:?}"
        );
    }

    /// Guards against checks that miss a violation or attribute it to another rule.
    #[test]
    fn each_kind_of_violation_is_reported_under_its_rule_only() {
        const ANSWER: &str = "each request has one answer, the right one";
        const UNANSWERED: &str = "a request that a living gateway took has its answer";
        const TWICE: &str = "no unsafe request runs twice";
        const DRAIN: &str = "nothing new to a server that drains or is gone";
        type Damage = fn(&mut History);
        let cases: [(&str, Damage); 13] = [
            (ANSWER, |l| l.tries[4].extra_responses = 1),
            (ANSWER, |l| l.tries[4].outcome = Some((0.5, TryOutcome::WrongBody))),
            (ANSWER, |l| l.attempts.retain(|attempt| attempt.txn != transaction_id(4, 0))),
            (UNANSWERED, |l| l.tries[4].outcome = Some((2.5, TryOutcome::TimedOut))),
            (UNANSWERED, |l| l.tries[4].outcome = Some((0.5, TryOutcome::Disconnected))),
            (UNANSWERED, |l| l.tries[4].outcome = None),
            (TWICE, |l| l.attempts.push(Attempt { server: 1, ..l.attempts[5] })),
            (TWICE, |l| l.attempts.push(Attempt { txn: transaction_id(5, 1), ..l.attempts[5] })),
            (TWICE, |l| l.tries[5].outcome = Some((0.6, TryOutcome::Refused(None)))),
            (DRAIN, |l| l.notifications = vec![(5.0, 0, 0, true)]),
            ("servers get what clients sent", |l| l.unknown_requests = 1),
            ("a gateway does not end by itself", |l| l.gateway_events.push((9.9, 0, GatewayEvent::Crashed))),
            ("what the plan says must hold", |l| {
                l.tries
                    .iter_mut()
                    .take(9)
                    .for_each(|client_try| client_try.outcome = Some((0.1, TryOutcome::Failed(502))));
            }),
        ];
        let plan = plan("[hold]\nserved = 0.95");
        for (number, (rule, damage)) in cases.into_iter().enumerate() {
            let mut history = faultless_history();
            damage(&mut history);
            assert_eq!(violated_rules(&plan, &history), [rule], "case {number}");
        }
    }

    #[test]
    fn allowed_effects_of_faults_violate_no_rule() {
        // The gateway was killed before it could respond.
        let mut history = faultless_history();
        history.tries[4].outcome = Some((0.5, TryOutcome::Disconnected));
        history.gateway_events.push((0.45, 1, GatewayEvent::Killed));
        assert_eq!(violated_rules(&plan(""), &history), [""; 0]);
        // The link to the client was cut.
        history.gateway_events.pop();
        let cut =
            "[[step]]\nat = 0.1\nfor = 1\nlink = { from = \"clients\", to = \"gateways 1\", do = \"cut\" }";
        assert_eq!(violated_rules(&plan(cut), &history), [""; 0]);
        // An idempotent request may run twice, and a server may be used again once it is ready again.
        history = faultless_history();
        history.attempts.push(Attempt { server: 1, ..history.attempts[4] });
        history.notifications = vec![(5.0, 0, 0, true), (5.2, 0, 0, false)];
        assert_eq!(violated_rules(&plan(""), &history), [""; 0]);
    }

    #[test]
    fn units_beyond_a_quota_and_needless_refusals_are_counted() {
        let mut history = faultless_history();
        // A quota of 4 units per second with a burst of 20 against a demand of 20 units per second.
        history.requests.iter_mut().for_each(|request| request.customer = 0);
        let verdict = check_run(&plan("[hold]\nbeyond_quota = 0.5"), &history);
        assert!(
            (0.65..0.8).contains(&verdict.metrics.beyond_quota),
            "expected 65% to 80% of units beyond the quota: {:?}",
            verdict.metrics
        );
        assert_eq!(verdict.violations[0].rule, "what the plan says must hold");
        let mut history = faultless_history();
        for number in [10, 20, 30] {
            let at = history.tries[number].sent_at;
            history.tries[number].outcome = Some((at, TryOutcome::Refused(Some(100))));
            history.attempts.retain(|attempt| attempt.txn != transaction_id(number, 0));
        }
        assert_eq!(check_run(&plan(""), &history).metrics.refused_needlessly, 0.0);
        history.needless_refusals = vec![history.tries[10].sent_at, history.tries[30].sent_at];
        assert_eq!(check_run(&plan(""), &history).metrics.refused_needlessly, 0.02);
    }

    #[test]
    fn recovery_time_is_measured_from_the_end_of_the_last_step() {
        let step = "[[step]]\nat = 2\nfor = 2\ncounter = { do = \"out\" }\n[hold]\nrecovery_s = 1.5";
        let mut history = faultless_history();
        assert_eq!(check_run(&plan(step), &history).metrics.recovery_s, Some(0.0));
        for index in 20..60 {
            history.tries[index].outcome =
                Some((history.tries[index].sent_at + 0.1, TryOutcome::Failed(502)));
        }
        let verdict = check_run(&plan(step), &history);
        assert_eq!(verdict.metrics.recovery_s, Some(2.0));
        assert!(
            verdict.violations[0].cases[0].contains("recovery_s is 2"),
            "expected a recovery of 2 s: {verdict:?}"
        );
    }
}
