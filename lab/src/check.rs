//! Checkers: what the ledger of a run shows to be broken, and the figures it comes to.

use crate::ledger::{End, Fate, Ledger, Try};
use crate::load::{self, Even};
use crate::plan::{Kind, LinkAct, Plan, Step, AIM_MS};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{HashMap, HashSet};

/// Slack of all times on real sockets, in s, as on the platform.
pub const SLACK_S: f64 = 0.05;
/// A gateway has so long from SIGTERM to answer what it had taken; what comes later it need not take.
pub const LEAVE_S: f64 = 0.7;
/// Service is back once it is at this share of what it was before for so many seconds in a row.
const BACK: f64 = 0.95;
const BACK_WINDOWS: usize = 3;
/// Cases of a broken rule that are named.
const NAMED: usize = 5;
/// Longest latency that is told apart, in us.
const LATENCY_MOST_US: u64 = 60_000_000;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// The rule.
    pub rule: &'static str,
    /// How often.
    pub times: usize,
    /// The first cases.
    pub cases: Vec<String>,
}

/// What a run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Works that clients began.
    pub works: usize,
    /// Share whose client got a good answer in the end.
    pub served: f64,
    /// Share that got it within the aim.
    pub in_time: f64,
    /// Share of tries that were refused, failed, found no gateway, broke off, or had no answer in time.
    pub refused: f64,
    /// Failed.
    pub failed: f64,
    /// No gateway was reached.
    pub unreached: f64,
    /// The connection broke.
    pub broken: f64,
    /// No answer came in time.
    pub silent: f64,
    /// Share of tries that a living gateway took and left without an answer.
    pub unanswered: f64,
    /// Tries for each work, and attempts at servers for each work.
    pub tries: f64,
    /// Attempts.
    pub attempts: f64,
    /// Time to the good answer from when the work was due, in ms: median, 90th, 99th percentile and worst.
    pub latency_ms: [f64; 4],
    /// Share of the units sent on that were beyond quotas.
    pub beyond_quota: f64,
    /// Share of tries refused within the quota while a server had a core free.
    pub refused_needlessly: f64,
    /// How even the load was.
    pub even: Even,
    /// Seconds after the last step's end until the service was back; none if it never was, or was never away.
    pub recovery_s: Option<f64>,
    /// New connections to servers, for each work.
    pub connections: f64,
    /// Probes, for each work.
    pub probes: f64,
    /// Calls to the counter, for each work, and the share of them that was turned away.
    pub calls: f64,
    /// Turned away.
    pub calls_turned_away: f64,
}

/// What a run came to, and what was broken in it.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Figures.
    pub figures: Figures,
    /// Broken rules.
    pub broken: Vec<Broken>,
}

impl Verdict {
    /// Whether all held.
    pub fn held(&self) -> bool {
        self.broken.is_empty()
    }
}

/// Cases against one rule.
#[derive(Default)]
struct Cases {
    times: usize,
    named: Vec<String>,
}

impl Cases {
    fn add(&mut self, case: impl FnOnce() -> String) {
        self.times += 1;
        if self.named.len() < NAMED {
            self.named.push(case());
        }
    }
}

/// Judges a run.
pub fn judge(plan: &Plan, ledger: &Ledger) -> Verdict {
    let mut figures = figures(plan, ledger);
    let mut broken = Vec::new();
    let mut rule = |rule: &'static str, cases: Cases| {
        if cases.times > 0 {
            broken.push(Broken { rule, times: cases.times, cases: cases.named });
        }
    };
    let (answers, unanswered) = answers(plan, ledger);
    figures.unanswered = unanswered.times as f64 / ledger.tries.len().max(1) as f64;
    rule("each request has one answer, the right one", answers);
    if figures.unanswered > plan.hold.unanswered {
        rule("a request that a living gateway took has its answer", unanswered);
    }
    rule("no unsafe request runs twice", twice(ledger));
    rule("nothing new to a server that drains or is gone", drains(plan, ledger));
    rule("servers get what clients sent", strays(ledger));
    rule("a gateway does not end by itself", crashes(ledger));
    let mut holds = Cases::default();
    let mut most = |name: &str, value: f64, most: Option<f64>| {
        if let Some(most) = most.filter(|most| value > *most) {
            holds.add(|| format!("{name} is {value:.4}, over {most}"));
        }
    };
    most("beyond_quota", figures.beyond_quota, plan.hold.beyond_quota);
    most("refused_needlessly", figures.refused_needlessly, plan.hold.refused_needlessly);
    most("idle", figures.even.idle, plan.hold.idle);
    most("max_to_mean", figures.even.max_to_mean, plan.hold.max_to_mean);
    most("recovery_s", figures.recovery_s.unwrap_or(f64::INFINITY), plan.hold.recovery_s);
    if figures.served < plan.hold.served {
        holds.add(|| format!("served is {:.4}, under {}", figures.served, plan.hold.served));
    }
    rule("what the plan says must hold", holds);
    Verdict { figures, broken }
}

/// Whether a step does something to the link between clients and a gateway in that time.
fn client_link(plan: &Plan, gateway: usize, from: f64, until: f64) -> bool {
    plan.step.iter().enumerate().any(|(number, step)| {
        let Some(on) = step.link.as_ref().filter(|on| [on.from.kind, on.to.kind].contains(&Kind::Clients))
        else {
            return false;
        };
        let other = if on.from.kind == Kind::Clients { on.to } else { on.from };
        step.at <= until && step.ends(plan) >= from && plan.gateways(other.who, number).contains(&gateway)
    })
}

/// Answers that are wrong or too many; and requests that a living gateway took and left without one.
fn answers(plan: &Plan, ledger: &Ledger) -> (Cases, Cases) {
    let (mut wrong, mut without) = (Cases::default(), Cases::default());
    let ran: HashSet<u64> = ledger.runs.iter().filter(|run| run.began).map(|run| run.txn).collect();
    for one in &ledger.tries {
        let Try { txn, gateway, at, until, .. } = *one;
        let name = || format!("{txn:016x} at gateway {gateway}, asked at {at:.3} s");
        if one.extra > 0 {
            wrong.add(|| format!("{}: {} answers too many", name(), one.extra));
        }
        match one.end {
            Some((_, End::Wrong)) => wrong.add(|| format!("{}: 200 with another body", name())),
            Some((_, End::Served)) if !ran.contains(&txn) => {
                wrong.add(|| format!("{}: served, but no server had it", name()));
            }
            Some((ended, End::Broken | End::Silent)) => {
                let lived = ledger.lived(gateway, at, ended.max(until), LEAVE_S);
                if lived && !client_link(plan, gateway, at, ended) {
                    without.add(|| format!("{}: no answer by {ended:.3} s", name()));
                }
            }
            None => without.add(|| format!("{}: never ended", name())),
            _ => {}
        }
    }
    (wrong, without)
}

/// Unsafe requests that ran twice, under one number or under two, or were refused though they may have run.
fn twice(ledger: &Ledger) -> Cases {
    let mut cases = Cases::default();
    let unsafe_class = |work: usize| ledger.works[work].class == 1;
    let mut by_work: HashMap<usize, Vec<u64>> = HashMap::new();
    for run in ledger.runs.iter().filter(|run| run.began) {
        if let Some(work) = ledger.work_of(run.txn).filter(|work| unsafe_class(*work)) {
            by_work.entry(work).or_default().push(run.txn);
        }
    }
    for (work, txns) in &by_work {
        if txns.len() > 1 {
            cases.add(|| format!("work {work} ran as {txns:x?}"));
        }
    }
    for one in &ledger.tries {
        let ran = || by_work.get(&one.work).is_some_and(|txns| txns.contains(&one.txn));
        if matches!(one.end, Some((_, End::Refused(_)))) && unsafe_class(one.work) && ran() {
            cases.add(|| format!("{:016x} was refused, but may have run", one.txn));
        }
    }
    cases
}

/// What can be late on the way from gateways to servers by the plan, in s.
fn delayed(plan: &Plan) -> f64 {
    let links = plan.step.iter().filter_map(|step: &Step| Some((step, step.link.as_ref()?)));
    let late = links.filter(|(_, on)| [on.from.kind, on.to.kind].contains(&Kind::Servers));
    late.map(|(step, on)| match on.act {
        LinkAct::Delay => (on.by + on.spread + on.grows * (step.ends(plan) - step.at)) / 1000.0,
        // What was stopped passes when the link heals.
        LinkAct::Cut | LinkAct::Loss | LinkAct::Throttle => step.ends(plan) - step.at,
        _ => 0.0,
    })
    .sum()
}

fn drains(plan: &Plan, ledger: &Ledger) -> Cases {
    let mut cases = Cases::default();
    let mut told: HashMap<(usize, usize), Vec<(f64, bool)>> = HashMap::new();
    for (at, gateway, server, leaves) in &ledger.told {
        told.entry((*gateway, *server)).or_default().push((*at, *leaves));
    }
    let grace = plan.hold.drain_grace_ms / 1000.0 + SLACK_S + delayed(plan);
    for run in &ledger.runs {
        let Some(told) = told.get(&(run.gateway, run.server)) else { continue };
        let Some((at, true)) = told.iter().rev().find(|(at, _)| *at <= run.first) else { continue };
        // A gateway that stood still meanwhile, or has only just started, heard of it when it went on.
        let woke = ledger.lives.iter().filter(|(_, gateway, life)| {
            *gateway == run.gateway
                && matches!(life, crate::ledger::Life::Resumed | crate::ledger::Life::Ready)
        });
        let at = woke.map(|(woke, _, _)| *woke).filter(|woke| *woke <= run.first).fold(*at, f64::max);
        if run.first > at + grace {
            cases.add(|| {
                format!(
                    "{:016x} from gateway {} to server {} {:.0} ms after it was told",
                    run.txn,
                    run.gateway,
                    run.server,
                    (run.first - at) * 1000.0
                )
            });
        }
    }
    cases
}

fn strays(ledger: &Ledger) -> Cases {
    let mut cases = Cases::default();
    if ledger.strays > 0 {
        cases.add(|| format!("{} requests that no client sent", ledger.strays));
    }
    cases
}

fn crashes(ledger: &Ledger) -> Cases {
    let mut cases = Cases::default();
    for (at, gateway, _) in ledger.lives.iter().filter(|(_, _, life)| *life == crate::ledger::Life::Crashed) {
        cases.add(|| format!("gateway {gateway} ended at {at:.3} s"));
    }
    cases
}

/// A customer's store of units.
struct Store {
    units: f64,
    at: f64,
}

/// Units sent on beyond quotas as a share of all, and the share of tries that were refused within the quota while a
/// server had a core free.
fn quotas(plan: &Plan, ledger: &Ledger) -> (f64, f64) {
    enum Mark {
        Sent,
        Settled(f64),
        Refused,
    }
    let mut marks: Vec<(f64, usize, Mark)> = Vec::new();
    let (mut first, mut settled) = (HashSet::new(), HashSet::new());
    for run in &ledger.runs {
        let Some(work) = ledger.work_of(run.txn) else { continue };
        if first.insert(run.txn) {
            marks.push((run.came, work, Mark::Sent));
        }
        if run.end.1 == Fate::Done && settled.insert(run.txn) {
            marks.push((
                run.end.0,
                work,
                Mark::Settled(ledger.works[work].estimated_units - ledger.works[work].units),
            ));
        }
    }
    for one in &ledger.tries {
        if let Some((at, End::Refused(_))) = one.end {
            marks.push((at, one.work, Mark::Refused));
        }
    }
    marks.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut needless: Vec<f64> = ledger.needless.clone();
    needless.sort_by(f64::total_cmp);
    let mut stores: HashMap<u32, Store> = HashMap::new();
    let (mut sent, mut beyond, mut turned) = (0.0, 0.0, 0usize);
    for (at, work, mark) in marks {
        let arrival = ledger.works[work];
        let plan_of = arrival.plan() as usize;
        let (rate, burst) =
            (plan.traffic.rate[plan_of], plan.traffic.rate[plan_of] * plan.traffic.burst_s[plan_of]);
        let store = stores.entry(arrival.customer).or_insert(Store { units: burst, at });
        store.units = (store.units + rate * (at - store.at).max(0.0)).min(burst);
        store.at = at;
        let room = rate == 0.0 || store.units >= arrival.estimated_units;
        match mark {
            Mark::Sent => {
                sent += arrival.estimated_units;
                if room {
                    store.units -= arrival.estimated_units;
                } else {
                    beyond += arrival.estimated_units;
                }
            }
            Mark::Settled(back) => store.units = (store.units + back).min(burst),
            Mark::Refused => {
                let noted = needless.binary_search_by(|then| then.total_cmp(&at)).is_ok();
                turned += usize::from(room && noted);
            }
        }
    }
    (if sent > 0.0 { beyond / sent } else { 0.0 }, turned as f64 / ledger.tries.len().max(1) as f64)
}

/// Served works by the second in which they were due, as shares; none where none was due.
fn service(ledger: &Ledger) -> Vec<Option<f64>> {
    let seconds = ledger.ended.floor() as usize;
    let mut of = vec![(0usize, 0usize); seconds];
    for (work, served) in ledger.served().iter().enumerate() {
        if let Some((due, good)) = of.get_mut(ledger.works[work].at as usize) {
            *due += 1;
            *good += usize::from(served.is_some());
        }
    }
    of.into_iter().map(|(due, good)| (due > 0).then(|| good as f64 / due as f64)).collect()
}

/// Seconds after the last step's end until the service is back for good.
fn recovery(plan: &Plan, ledger: &Ledger) -> Option<f64> {
    let (begins, ends) = plan.trouble()?;
    let service = service(ledger);
    let before: Vec<_> = service.iter().take(begins.floor() as usize).skip(1).flatten().copied().collect();
    let before = before.iter().sum::<f64>() / before.len().max(1) as f64;
    let after: Vec<_> = service.iter().skip(ends.ceil() as usize).map(|share| share.unwrap_or(1.0)).collect();
    let back = after.windows(BACK_WINDOWS).position(|row| row.iter().all(|share| *share >= BACK * before))?;
    Some(ends.ceil() - ends + back as f64)
}

fn figures(plan: &Plan, ledger: &Ledger) -> Figures {
    let tries = ledger.tries.len().max(1) as f64;
    let works = ledger.began.iter().flatten().count().max(1) as f64;
    let share = |is: &dyn Fn(&End) -> bool| {
        ledger.tries.iter().filter(|one| one.end.is_some_and(|(_, end)| is(&end))).count() as f64 / tries
    };
    let mut latency =
        Histogram::<u64>::new_with_bounds(1, LATENCY_MOST_US, 3).expect("bounds of a histogram");
    let served = ledger.served();
    let mut in_time = 0;
    for (arrival, served) in ledger.works.iter().zip(&served) {
        if let Some(at) = served {
            // From when it was due: what a late client adds is not hidden.
            let took = ((at - arrival.at).max(0.0) * 1e6) as u64;
            latency.saturating_record(took.clamp(1, LATENCY_MOST_US));
            in_time += usize::from(took as f64 <= AIM_MS * 1000.0);
        }
    }
    let at = |quantile: f64| latency.value_at_quantile(quantile) as f64 / 1000.0;
    let (beyond_quota, refused_needlessly) = quotas(plan, ledger);
    let (calls, turned_away) = ledger.calls;
    Figures {
        works: ledger.began.iter().flatten().count(),
        served: served.iter().flatten().count() as f64 / works,
        in_time: in_time as f64 / works,
        refused: share(&|end| matches!(end, End::Refused(_))),
        failed: share(&|end| matches!(end, End::Failed(_))),
        unreached: share(&|end| *end == End::Unreached),
        broken: share(&|end| *end == End::Broken),
        silent: share(&|end| *end == End::Silent),
        unanswered: 0.0,
        tries: ledger.tries.len() as f64 / works,
        attempts: ledger.runs.len() as f64 / works,
        latency_ms: [at(0.5), at(0.9), at(0.99), at(1.0)],
        beyond_quota,
        refused_needlessly,
        even: load::even(plan, ledger),
        recovery_s: recovery(plan, ledger),
        connections: ledger.connections.len() as f64 / works,
        probes: ledger.probes as f64 / works,
        calls: calls as f64 / works,
        calls_turned_away: turned_away as f64 / calls.max(1) as f64,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ledger::{txn, Life, Run, Standing};
    use crate::model::front::Arrival;

    fn plan(rest: &str) -> Plan {
        Plan::read(&format!(
            "name = \"a\"\nseconds = 10\n[fleet]\ngateways = 3\nservers = 2\n[traffic]\nrate = [4.0, 40.0]\n{rest}"
        ))
        .unwrap()
    }

    /// Ten seconds in which all goes well: ten works a second, each of a customer of its own, every other one unsafe.
    fn good() -> Ledger {
        let mut ledger = Ledger { ended: 10.0, speeds: vec![1.0; 2], ..Ledger::default() };
        ledger.standings = vec![(0.0, 0, Standing::Up), (0.0, 1, Standing::Up)];
        ledger.lives = (0..3).map(|gateway| (-1.0, gateway, Life::Ready)).collect();
        for work in 0..100 {
            let at = work as f64 / 10.0;
            let class = (work % 2) as u8;
            ledger.works.push(Arrival {
                at,
                customer: work as u32,
                class,
                work_ms: 50.0,
                estimated_units: 2.0,
                units: 2.0,
                honors_retry_after: true,
            });
            ledger.began.push(Some(at));
            let (txn, gateway) = (txn(work, 0), work % 3);
            let end = Some((at + 0.06, End::Served));
            let (until, written) = (at + 2.0, true);
            ledger.tries.push(Try { txn, work, gateway, at, written, until, end, extra: 0 });
            let end = (at + 0.055, Fate::Done);
            let (first, came) = (at + 0.001, at + 0.002);
            ledger.runs.push(Run { txn, server: work / 2 % 2, gateway, first, came, began: true, end });
        }
        ledger
    }

    fn rules(plan: &Plan, ledger: &Ledger) -> Vec<&'static str> {
        judge(plan, ledger).broken.iter().map(|broken| broken.rule).collect()
    }

    #[test]
    fn a_good_run_breaks_nothing() {
        let hold = "[hold]\nserved = 1.0\nbeyond_quota = 0.0\nrefused_needlessly = 0.0\nidle = 0.0\nmax_to_mean = 1.5";
        let verdict = judge(&plan(hold), &good());
        assert!(verdict.held(), "{verdict:?}");
        let figures = verdict.figures;
        assert_eq!((figures.works, figures.served, figures.in_time, figures.refused), (100, 1.0, 1.0, 0.0));
        assert!((59.0..61.0).contains(&figures.latency_ms[0]), "{figures:?}");
    }

    /// Each checker catches a ledger that was broken in its way, and no other one does.
    #[test]
    fn each_broken_ledger_is_caught_by_its_checker() {
        const ANSWER: &str = "each request has one answer, the right one";
        const TAKEN: &str = "a request that a living gateway took has its answer";
        const TWICE: &str = "no unsafe request runs twice";
        const DRAIN: &str = "nothing new to a server that drains or is gone";
        type Breaks = fn(&mut Ledger);
        let cases: [(&str, Breaks); 13] = [
            (ANSWER, |l| l.tries[4].extra = 1),
            (ANSWER, |l| l.tries[4].end = Some((0.5, End::Wrong))),
            (ANSWER, |l| l.runs.retain(|run| run.txn != txn(4, 0))),
            (TAKEN, |l| l.tries[4].end = Some((2.5, End::Silent))),
            (TAKEN, |l| l.tries[4].end = Some((0.5, End::Broken))),
            (TAKEN, |l| l.tries[4].end = None),
            (TWICE, |l| l.runs.push(Run { server: 1, ..l.runs[5] })),
            (TWICE, |l| l.runs.push(Run { txn: txn(5, 1), ..l.runs[5] })),
            (TWICE, |l| l.tries[5].end = Some((0.6, End::Refused(None)))),
            (DRAIN, |l| l.told = vec![(5.0, 0, 0, true)]),
            ("servers get what clients sent", |l| l.strays = 1),
            ("a gateway does not end by itself", |l| l.lives.push((9.9, 0, Life::Crashed))),
            ("what the plan says must hold", |l| {
                l.tries.iter_mut().take(9).for_each(|one| one.end = Some((0.1, End::Failed(502))));
            }),
        ];
        let plan = plan("[hold]\nserved = 0.95");
        for (number, (rule, breaks)) in cases.into_iter().enumerate() {
            let mut ledger = good();
            breaks(&mut ledger);
            assert_eq!(rules(&plan, &ledger), [rule], "case {number}");
        }
    }

    #[test]
    fn what_died_with_its_gateway_or_its_link_is_not_held_against_a_living_one() {
        let mut ledger = good();
        ledger.tries[4].end = Some((0.5, End::Broken));
        ledger.lives.push((0.45, 1, Life::Killed));
        assert!(rules(&plan(""), &ledger).is_empty());
        ledger.lives.pop();
        let cut =
            "[[step]]\nat = 0.1\nfor = 1\nlink = { from = \"clients\", to = \"gateways 1\", do = \"cut\" }";
        assert!(rules(&plan(cut), &ledger).is_empty());
        // A safe one may run twice, and what is told again as ready takes work again.
        ledger = good();
        ledger.runs.push(Run { server: 1, ..ledger.runs[4] });
        ledger.told = vec![(5.0, 0, 0, true), (5.2, 0, 0, false)];
        assert!(rules(&plan(""), &ledger).is_empty());
    }

    #[test]
    fn units_beyond_a_quota_and_needless_refusals_are_counted() {
        let mut ledger = good();
        // One customer of 4 units a second that holds 20 asks for 20 a second: after the first 25 or so units,
        // four in five are beyond.
        ledger.works.iter_mut().for_each(|work| work.customer = 0);
        let verdict = judge(&plan("[hold]\nbeyond_quota = 0.5"), &ledger);
        assert!((0.65..0.8).contains(&verdict.figures.beyond_quota), "{:?}", verdict.figures);
        assert_eq!(verdict.broken[0].rule, "what the plan says must hold");
        let mut ledger = good();
        for number in [10, 20, 30] {
            let at = ledger.tries[number].at;
            ledger.tries[number].end = Some((at, End::Refused(Some(100))));
            ledger.runs.retain(|run| run.txn != txn(number, 0));
        }
        assert_eq!(judge(&plan(""), &ledger).figures.refused_needlessly, 0.0);
        ledger.needless = vec![ledger.tries[10].at, ledger.tries[30].at];
        assert_eq!(judge(&plan(""), &ledger).figures.refused_needlessly, 0.02);
    }

    #[test]
    fn the_time_until_the_service_is_back_is_told() {
        let step = "[[step]]\nat = 2\nfor = 2\ncounter = { do = \"out\" }\n[hold]\nrecovery_s = 1.5";
        let mut ledger = good();
        assert_eq!(judge(&plan(step), &ledger).figures.recovery_s, Some(0.0));
        for work in 20..60 {
            ledger.tries[work].end = Some((ledger.tries[work].at + 0.1, End::Failed(502)));
        }
        let verdict = judge(&plan(step), &ledger);
        assert_eq!(verdict.figures.recovery_s, Some(2.0));
        assert!(verdict.broken[0].cases[0].contains("recovery_s is 2"), "{verdict:?}");
    }
}
