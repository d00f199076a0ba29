//! Tests of request routing: deadlines, retries, draining, ejection, warm-up, subsets and hard limits.

mod common;
use common::*;
use oakfall::*;

/// Settings without a counter and quota.
fn settings_without_quota() -> Settings {
    let mut s = settings();
    s.counter = None;
    s.plans[0].rate = 0.0;
    s
}

const DEADLINE_MS: f64 = 2000.0;

#[test]
fn every_request_is_answered_by_its_deadline() {
    let mut rig = Rig::new(settings_without_quota());
    let backend = sent(&rig.request(1, 2, 1.0)).unwrap();
    rig.now += DEADLINE_MS;
    let actions = rig.outcome(1, 0, backend, CallResult::Timeout, None);
    assert!(
        failed(&actions),
        "an unsafe request that may have executed must fail, not be refused: {actions:?}"
    );
    let actions = rig.outcome(1, 0, backend, CallResult::Ok, None);
    assert!(actions.is_empty(), "no action after the final answer: {actions:?}");
}

#[test]
fn requests_stop_waiting_for_a_silent_counter() {
    let mut rig = Rig::new(settings());
    let actions = rig.request(1, 0, 1.0);
    let timer = actions.iter().find_map(|a| match a {
        Action::Timer { token, after_ms } if *token != 0 => Some((*token, *after_ms)),
        _ => None,
    });
    let (token, after_ms) = timer.expect("timer for the wait");
    assert!(after_ms <= 50.0);
    rig.now += after_ms;
    assert!(sent(&rig.event(Event::Timer { token })).is_some());
}

#[test]
fn unsafe_requests_are_retried_only_if_never_executed() {
    for (result, retried) in
        [(CallResult::Rejected, true), (CallResult::ConnectFailed, true), (CallResult::Reset, false)]
    {
        let mut rig = Rig::new(settings_without_quota());
        let backend = sent(&rig.request(1, 2, 1.0)).unwrap();
        let actions = rig.outcome(1, 0, backend, result, None);
        assert_eq!(sent(&actions).is_some(), retried, "{result:?}");
        assert_eq!(failed(&actions), !retried, "{result:?}");
    }
}

/// Guards against an unsafe request that runs twice because its class became idempotent while it was in flight.
#[test]
fn requests_in_flight_keep_the_class_of_their_arrival() {
    for (class, retried) in [(2, false), (0, true)] {
        let mut rig = Rig::new(settings_without_quota());
        let backend = sent(&rig.request(1, class, 1.0)).unwrap();
        let mut changed = settings_without_quota();
        changed.classes.swap(0, 2);
        rig.event(Event::Settings(changed));
        let actions = rig.outcome(1, 0, backend, CallResult::Reset, None);
        assert_eq!(sent(&actions).is_some(), retried, "class {class}");
        assert_eq!(failed(&actions), !retried, "class {class}");
    }
}

/// Guards against a panic when classes are removed and come back while a request of theirs is in flight.
#[test]
fn requests_in_flight_outlive_their_class() {
    let mut rig = Rig::new(settings_without_quota());
    let backend = sent(&rig.request(1, 2, 1.0)).unwrap();
    let mut fewer = settings_without_quota();
    fewer.classes.truncate(1);
    rig.event(Event::Settings(fewer));
    assert!(failed(&rig.outcome(1, 0, backend, CallResult::Reset, None)));
    rig.event(Event::Settings(settings_without_quota()));
    assert!(sent(&rig.request(2, 2, 1.0)).is_some());
}

#[test]
fn keyed_requests_are_retried_only_in_their_group_and_window() {
    for (after_ms, retried) in [(10.0, true), (1600.0, false)] {
        let mut rig = Rig::new(settings_without_quota());
        let first = sent(&rig.request(1, 1, 1.0)).unwrap();
        rig.now += after_ms;
        let actions = rig.outcome(1, 0, first, CallResult::Reset, None);
        let zone = |id| if id == 3 { 1 } else { 0 };
        assert_eq!(sent(&actions).map(zone), retried.then_some(zone(first)));
        assert!(retried || failed(&actions), "not safe to retry, so not refused: {actions:?}");
    }
}

#[test]
fn draining_and_removed_backends_get_no_requests() {
    let mut rig = Rig::new(settings_without_quota());
    let entries = vec![backend_entry(1, 0, BackendState::Draining), backend_entry(2, 0, BackendState::Gone)];
    rig.event(Event::List { full: false, entries });
    for id in 1..20 {
        let backend = sent(&rig.request(id, 0, 1.0));
        assert!(backend.is_none() || backend == Some(3));
    }
    rig.event(Event::List { full: true, entries: vec![] });
    assert!(refused(&rig.request(99, 0, 1.0)).is_some(), "no backend left");
}

#[test]
fn cold_backends_get_only_their_warm_share() {
    let mut rig = Rig::new(settings_without_quota());
    rig.now += 60_000.0;
    let mut fresh = backend_entry(4, 0, BackendState::Ready);
    fresh.started = rig.now;
    rig.event(Event::List { full: false, entries: vec![fresh] });
    let mut to_cold = 0;
    // 100 requests in one second, each answered at once; a warm backend gets about 25.
    for id in 1..=100 {
        rig.now += 10.0;
        if let Some(backend) = sent(&rig.request(id, 0, 1.0)) {
            to_cold += usize::from(backend == 4);
            rig.outcome(id, 0, backend, CallResult::Ok, None);
        }
    }
    assert!(to_cold <= 9, "{to_cold} of 100 requests to a backend at a quarter of its capacity");
}

/// Of 100 unsafe requests in 400 ms, the number sent to backend 1, which serves ten, resets the next `resets`
/// and serves the rest.
fn sends_to_backend_with_resets(resets: usize) -> usize {
    let mut rig = Rig::new(settings_without_quota());
    let mut to_backend = 0;
    for id in 1..=100 {
        rig.now += 4.0;
        let backend = sent(&rig.request(id, 2, 1.0)).unwrap();
        to_backend += usize::from(backend == 1);
        let reset = backend == 1 && (11..=10 + resets).contains(&to_backend);
        rig.outcome(id, 0, backend, if reset { CallResult::Reset } else { CallResult::Ok }, None);
    }
    to_backend
}

#[test]
fn backends_are_ejected_after_several_resets_but_not_two() {
    let without = sends_to_backend_with_resets(0);
    let with_two = sends_to_backend_with_resets(2);
    assert!(with_two * 2 >= without, "{with_two} requests, {without} without resets");
    assert!(sends_to_backend_with_resets(100) <= 15);
}

#[test]
fn backends_with_alternating_errors_get_few_unsafe_requests() {
    let mut rig = Rig::new(settings_without_quota());
    let (mut to_failing, mut failures) = (0, [0, 0]);
    for id in 1..=400 {
        rig.now += 25.0;
        let is_unsafe = id % 2 == 0;
        let class = if is_unsafe { 2 } else { 0 };
        let mut next = sent(&rig.request(id, class, 1.0));
        let mut attempt = 0;
        while let Some(backend) = next {
            to_failing += usize::from(backend == 1);
            let fails = backend == 1 && to_failing % 2 == 0;
            failures[usize::from(is_unsafe)] += usize::from(fails);
            let result = if fails { CallResult::Error } else { CallResult::Ok };
            next = sent(&rig.outcome(id, attempt, backend, result, None));
            attempt += 1;
        }
    }
    assert!(failures[1] <= 8, "{failures:?} failures of 200 safe and 200 unsafe requests");
}

fn ceiling_settings() -> Settings {
    let mut s = settings_without_quota();
    s.plans[0].ceiling_rate = 4.0;
    s.plans[0].ceiling_burst = 40.0;
    s.plans[0].ceiling_slack = 4.0;
    s
}

/// Units admitted of one request of two units per 10 ms, far more than the ceiling allows.
fn send_excess_load(rig: &mut Rig, ids: std::ops::Range<u64>) -> f64 {
    let mut units = 0.0;
    for id in ids {
        rig.now += 10.0;
        if let Some(backend) = sent(&rig.request(id, 0, 2.0)) {
            units += 2.0;
            rig.outcome(id, 0, backend, CallResult::Ok, None);
        }
    }
    units
}

#[test]
fn ceilings_hold_per_gateway_share_and_after_a_restart() {
    let mut rig = Rig::new(ceiling_settings());
    rig.now += 60_000.0;
    // The customer uses two gateways, so this one's share is half of the ceiling: 20 units and 2 per second.
    let before = send_excess_load(&mut rig, 1..1000);
    assert!(before > 36.0 && before <= 42.0, "{before}");
    let mut restarted = Rig::new(ceiling_settings());
    let after = send_excess_load(&mut restarted, 1..1000);
    assert!(after <= 20.0, "the ceiling's balance must start at 0: {after}");
}

#[test]
fn balance_requests_do_not_raise_the_share_of_a_ceiling() {
    let mut s = ceiling_settings();
    (s.gateways, s.limits.peers) = (10, true);
    let mut rig = Rig::new(s);
    rig.now += 60_000.0;
    let ask = [vec![1], 5u64.to_le_bytes().to_vec(), 7u64.to_le_bytes().to_vec(), vec![0; 5]].concat();
    let mut units = 0.0;
    // Between any two requests a peer asks for the balance of the same customer, with 0 units.
    for id in (1..1000).step_by(2) {
        units += send_excess_load(&mut rig, id..id + 1);
        rig.now += 10.0;
        let actions = rig.event(Event::Message { from: 3, body: ask.clone() });
        assert!(actions.iter().any(|a| matches!(a, Action::SendMessage { to: 3, .. })));
    }
    assert!(units <= 42.0, "more than half of 40 units and of 4 per second for 10 s: {units}");
}

#[test]
fn hung_attempts_do_not_block_the_gateway() {
    // Guards against an expected latency that grows without bound, so that all requests are refused.
    let mut rig = Rig::new(settings_without_quota());
    for id in 1..=200 {
        let actions = rig.request(id, 0, 1.0);
        let backend = sent(&actions).unwrap_or_else(|| panic!("request {id} was refused: {actions:?}"));
        rig.now += 1900.0;
        let slow = Outcome {
            id,
            attempt: 0,
            backend,
            result: CallResult::Ok,
            is_final: true,
            units: None,
            took_ms: 1900.0,
            load: Load::default(),
        };
        rig.event(Event::Outcome(slow));
    }
    for id in 300..305 {
        sent(&rig.request(id, 0, 1.0)).expect("the minimum is always admitted");
    }
    assert!(refused(&rig.request(305, 0, 1.0)).is_some(), "responses are late: refused beyond the minimum");
}

#[test]
fn one_hung_attempt_does_not_make_an_idle_gateway_refuse() {
    // Guards against a single hung attempt dominating the average over time at two requests per second.
    let mut rig = Rig::new(Settings { gateways: 200, ..settings_without_quota() });
    for id in 1..=20 {
        let backend = sent(&rig.request(id, 0, 1.0)).unwrap();
        rig.now += 50.0;
        rig.outcome(id, 0, backend, CallResult::Ok, None);
        rig.now += 350.0;
    }
    sent(&rig.request(21, 0, 1.0)).unwrap();
    rig.now += 1500.0;
    assert!(sent(&rig.request(22, 0, 1.0)).is_some());
}

#[test]
fn slow_attempts_are_neither_duplicated_nor_cancelled() {
    // Guards against duplicates of attempts overloading rarely used backends, which all seem to hang.
    for second_copies in [false, true] {
        let mut s = settings_without_quota();
        s.limits.hedging = second_copies;
        let mut rig = Rig::new(s);
        let actions = rig.request(1, 0, 1.0);
        for action in actions {
            if let Action::Timer { token, after_ms } = action {
                rig.now += after_ms;
                let after = rig.event(Event::Timer { token });
                assert!(sent(&after).is_none());
                assert!(!after.iter().any(|a| matches!(a, Action::Cancel { .. })));
            }
        }
    }
}

#[test]
fn backends_full_for_one_plan_serve_other_plans() {
    // Guards against a rejection of one plan excluding the backend for all plans, and only for 200 ms.
    let mut s = settings_without_quota();
    s.plans.push(s.plans[0]);
    let mut rig = Rig::new(s);
    rig.event(Event::List { full: false, entries: vec![backend_entry(3, 1, BackendState::Gone)] });
    let send = |rig: &mut Rig, id, plan| {
        sent(&rig.event(Event::Request(Request { plan, ..request(id, id) }))).expect("sent")
    };
    let full = send(&mut rig, 1, 0);
    let other =
        sent(&rig.outcome(1, 0, full, CallResult::Rejected, None)).expect("retried at another backend");
    assert_ne!(full, other);
    rig.outcome(1, 1, other, CallResult::Ok, None);
    let mut used = Vec::new();
    for id in 2..=12 {
        rig.now += 400.0;
        let backends = [0, 1].map(|plan: u32| send(&mut rig, id * 10 + u64::from(plan), plan));
        assert_eq!(backends[0], other, "plan 0 was sent to the full backend");
        used.push(backends[1]);
        for (plan, backend) in backends.into_iter().enumerate() {
            rig.outcome(id * 10 + plan as u64, 0, backend, CallResult::Ok, None);
        }
    }
    assert!(used.contains(&full), "backend {full} has capacity for plan 1");
}

/// Attempts of 100 gateways, with two requests per second each, at each of 40 backends in 15 s. Backend 1 may
/// start cold.
fn sends_per_backend(cold: bool) -> Vec<usize> {
    let mut sends = vec![0; 41];
    for position in 0..100u32 {
        let settings = Settings { gateways: 100, position, ..settings_without_quota() };
        let mut rig = Rig { gateway: Gateway::new(settings, u64::from(position), 0.0), now: 0.0 };
        let mut entries: Vec<_> = (1..=40).map(|id| backend_entry(id, id % 2, BackendState::Ready)).collect();
        rig.event(Event::List { full: true, entries: entries.clone() });
        for id in 0..50 {
            rig.now += 500.0;
            if cold && id == 20 {
                entries[0].started = rig.now;
                rig.event(Event::List { full: false, entries: vec![entries[0].clone()] });
            }
            let backend = sent(&rig.event(Event::Request(request(id, id)))).expect("sent");
            sends[backend as usize] += usize::from(id >= 20);
            rig.outcome(id, 0, backend, CallResult::Ok, None);
        }
    }
    sends
}

#[test]
fn many_gateways_spread_over_all_backends() {
    let sends = sends_per_backend(false);
    assert!(sends[1..].iter().all(|n| (10..=200).contains(n)), "75 each on average: {sends:?}");
}

/// Times of attempts at backend 1 after 10 s, when it turns cold for `cold_ms` and is limited for 3 s. Each
/// gateway sends five requests per second to two backends.
fn send_times_to_limited_backend(gateways: u32, cold_ms: f64, limit: u32) -> Vec<f64> {
    let mut times = Vec::new();
    for position in 0..gateways {
        let settings = Settings { gateways, position, ..settings_without_quota() };
        let mut rig = Rig { gateway: Gateway::new(settings, u64::from(position), 0.0), now: 0.0 };
        let entries = [1, 2].map(|id| backend_entry(id, 0, BackendState::Ready)).to_vec();
        rig.event(Event::List { full: true, entries: entries.clone() });
        for id in 0..65 {
            rig.now = (id * 200) as f64 + f64::from(position);
            if id == 50 {
                let cold = BackendEntry {
                    cold_until: rig.now + cold_ms,
                    cold_per_s: 3.6 / f64::from(gateways),
                    limited_until: rig.now + 3000.0,
                    limit,
                    ..entries[0].clone()
                };
                rig.event(Event::List { full: false, entries: vec![cold] });
            }
            let backend = sent(&rig.event(Event::Request(request(id, id)))).expect("sent");
            if backend == 1 && id >= 50 {
                times.push(rig.now);
            }
            rig.outcome(id, 0, backend, CallResult::Ok, None);
        }
    }
    times
}

#[test]
fn newly_cold_backends_get_their_share_at_once() {
    let first_second =
        send_times_to_limited_backend(30, 3000.0, 1).into_iter().filter(|at| *at < 11_000.0).count();
    // The limit is 3.6 per second, of which gateways use 0.6. Requests sent while it was warm don't count.
    assert!((1..=5).contains(&first_second), "{first_second} in the first second after the update");
}

#[test]
fn rate_limits_hold_in_every_second() {
    assert!(send_times_to_limited_backend(1, 0.0, 0).is_empty(), "a limit of 0 allows no attempt");
    for limit in [1, 2] {
        let sent = send_times_to_limited_backend(1, 0.0, limit);
        let counts =
            sent.iter().map(|at| sent.iter().filter(|other| (*at..=at + 1000.0).contains(*other)).count());
        assert_eq!(counts.max(), Some(limit as usize), "{sent:?}");
    }
}

#[test]
fn many_gateways_do_not_overload_a_cold_backend() {
    let sends = sends_per_backend(true);
    // A warm backend gets about 75; the cold one starts at a quarter of its capacity and is warm after 10 s.
    assert!(sends[1] <= 90, "{} requests to the cold backend: {sends:?}", sends[1]);
    assert!(sends[1] >= 3, "the cold backend must be used: {sends:?}");
}

/// Attempts of each gateway at each backend in 10 s of five requests per second. Backends up to `dead` refuse
/// connections.
fn sends_by_gateway(gateways: u32, backends: u32, dead: u32) -> Vec<Vec<usize>> {
    let run = |position| {
        let settings = Settings { gateways, position, ..settings_without_quota() };
        let mut rig = Rig { gateway: Gateway::new(settings, u64::from(position), 0.0), now: 0.0 };
        let entries: Vec<_> =
            (1..=backends).map(|id| backend_entry(id * 7919, id % 3, BackendState::Ready)).collect();
        rig.event(Event::List { full: true, entries });
        let mut sends = vec![0; backends as usize + 1];
        for id in 0..50 {
            rig.now += 200.0;
            let mut next = sent(&rig.event(Event::Request(request(id, id))));
            let mut attempt = 0;
            while let Some(backend) = next {
                let number = backend / 7919;
                sends[number as usize] += 1;
                let result = if number <= dead { CallResult::ConnectFailed } else { CallResult::Ok };
                let took_ms = 20.0 + (id * 37 % 100) as f64;
                next = sent(&rig.outcome_after(took_ms, id, attempt, backend, result, None));
                attempt += 1;
            }
        }
        sends
    };
    (0..gateways).map(run).collect()
}

#[test]
fn many_gateways_use_subsets_and_load_backends_evenly() {
    let sends = sends_by_gateway(100, 60, 0);
    let pairs = sends.iter().flatten().filter(|n| **n > 0).count();
    assert!(pairs <= 1500, "{pairs} of 6000 possible connections");
    for backend in 1..=60 {
        let by_gateway = || sends.iter().map(|to| to[backend]);
        let total = by_gateway().sum::<usize>();
        assert!((40..=135).contains(&total), "{total} to backend {backend}, 83 on average");
        assert!(by_gateway().max() <= Some(total / 2), "backend {backend} depends on one gateway");
    }
}

#[test]
fn few_gateways_use_all_backends() {
    let sends = sends_by_gateway(3, 30, 0);
    let used = (1..=30).filter(|backend| sends.iter().any(|to| to[*backend] > 0)).count();
    assert!(used >= 25, "{used} of 30");
}

#[test]
fn failed_backends_of_a_subset_are_replaced() {
    let sends = sends_by_gateway(100, 60, 20);
    let sum = |range: std::ops::RangeInclusive<usize>| {
        sends.iter().map(|to| to[range.clone()].iter().sum::<usize>()).sum::<usize>()
    };
    let (failed, served) = (sum(1..=20), sum(21..=60));
    assert!(served >= 4950, "{served} of 5000 requests are served by other backends");
    assert!(failed <= 2000, "{failed} attempts at dead backends");
}

/// Times of attempts per backend in the 10 s after the first `cold` of 60 backends restart, with 100 gateways
/// that send five requests per second each.
fn send_times_after_restart(cold: u32) -> Vec<Vec<f64>> {
    let mut times = vec![Vec::new(); 61];
    for position in 0..100 {
        let settings = Settings { gateways: 100, position, ..settings_without_quota() };
        let mut rig = Rig { gateway: Gateway::new(settings, u64::from(position), 0.0), now: 0.0 };
        let mut entries: Vec<_> =
            (1..=60).map(|id| backend_entry(id * 7919, id % 3, BackendState::Ready)).collect();
        rig.event(Event::List { full: true, entries: entries.clone() });
        for id in 0..75 {
            rig.now = f64::from(position) * 2.0 + id as f64 * 200.0;
            if id == 25 {
                entries.truncate(cold as usize);
                entries.iter_mut().for_each(|entry| entry.started = 5000.0);
                rig.event(Event::List { full: false, entries: entries.clone() });
            }
            if let Some(backend) = sent(&rig.event(Event::Request(request(id, id)))) {
                if id >= 25 {
                    times[backend as usize / 7919].push(rig.now);
                }
                let took_ms = 20.0 + (id * 37 % 100) as f64;
                rig.outcome_after(took_ms, id, 0, backend, CallResult::Ok, None);
            }
        }
    }
    times.iter_mut().for_each(|times| times.sort_by(f64::total_cmp));
    times
}

/// The most attempts at one backend in any second that starts before `until`.
fn max_sends_per_second(times: &[Vec<f64>], until: f64) -> usize {
    let within =
        |times: &Vec<f64>, from: f64| times.iter().filter(|at| (from..from + 1000.0).contains(*at)).count();
    let max = |times: &Vec<f64>| times.iter().filter(|at| **at < until).map(|at| within(times, *at)).max();
    times.iter().filter_map(max).max().unwrap_or(0)
}

#[test]
fn backends_that_restart_together_are_not_overloaded() {
    // Each gets eight per second, half of its capacity. At a quarter of its capacity the limit is twelve.
    let times = send_times_after_restart(60);
    let max = max_sends_per_second(&times[1..], 6000.0);
    assert!(max <= 12, "{max} attempts at a cold backend in one second");
}

#[test]
fn requests_are_served_if_gateways_and_backends_start_together() {
    for (gateways, backends) in [(3, 10), (100, 60)] {
        let settings = Settings { gateways, ..settings_without_quota() };
        let mut rig = Rig { gateway: Gateway::new(settings, 1, 1000.0), now: 1000.0 };
        let mut entries: Vec<_> =
            (1..=backends).map(|id| backend_entry(id * 7919, id % 3, BackendState::Ready)).collect();
        entries.iter_mut().for_each(|entry| entry.started = 900.0);
        rig.event(Event::List { full: true, entries });
        let mut served = 0;
        for id in 0..25 {
            rig.now += 200.0;
            if let Some(backend) = sent(&rig.event(Event::Request(request(id, id)))) {
                served += 1;
                rig.outcome(id, 0, backend, CallResult::Ok, None);
            }
        }
        assert!((5..25).contains(&served), "{served} of 25 served in the first 5 s with {gateways} gateways");
    }
}

#[test]
fn mostly_cold_pools_use_the_warm_share_of_cold_backends() {
    let times = send_times_after_restart(36);
    let (cold, warm): (usize, usize) =
        (times[1..=36].iter().map(Vec::len).sum(), times[37..].iter().map(Vec::len).sum());
    // Their capacity rises from a quarter to the whole in these 10 s: an even share is 0.48.
    let share = cold as f64 / (cold + warm) as f64;
    assert!((0.38..0.55).contains(&share), "share {share} to the 36 of 60 backends that start cold");
    let max = max_sends_per_second(&times[1..=36], 6000.0);
    assert!(max <= 12, "{max} attempts at a cold backend in one second");
}

#[test]
fn attempts_in_flight_are_capped() {
    let mut s = settings_without_quota();
    s.plans[0].max_in_flight = 2;
    let mut rig = Rig::new(s);
    assert!(sent(&rig.request(1, 0, 1.0)).is_some());
    assert!(sent(&rig.request(2, 0, 1.0)).is_some());
    assert!(refused(&rig.request(3, 0, 1.0)).is_some());
}

#[test]
fn unexpected_events_are_ignored() {
    let mut rig = Rig::new(settings());
    assert!(rig.outcome(9, 3, 77, CallResult::Ok, Some(2.0)).is_empty());
    assert!(rig.counted(12345, CallResult::Ok, f64::NAN).is_empty());
    assert!(rig.event(Event::ClientGone { id: 4 }).is_empty());
    rig.event(Event::List { full: false, entries: vec![backend_entry(500, 3, BackendState::Gone)] });
    rig.event(Event::Timer { token: u64::MAX });
    let (key, _) = count(&rig.request(1, 0, 0.0)).unwrap();
    assert!(sent(&rig.counted(key, CallResult::Ok, 0.0)).is_some(), "zero units are valid");
    assert!(refused(&rig.request(2, 9, 1.0)).is_some(), "an unknown class is refused");
    let actions = rig.request(3, 0, f64::NAN);
    assert!(count(&actions).is_none_or(|(_, amount)| amount.is_finite()));
}

#[test]
fn contradictory_settings_never_stall_a_request() {
    let cases: [fn(&mut Settings); 5] = [
        |s| (s.position, s.limits.peers) = (50, true),
        |s| s.plans[0].burst = 1.0,
        |s| s.plans[0].rate = 0.0,
        |s| s.classes[0].target_ms = 9000.0,
        |s| s.gateways = 0,
    ];
    for (case, change) in cases.iter().enumerate() {
        let mut s = settings();
        change(&mut s);
        let mut rig = Rig::new(s);
        let mut actions = rig.request(1, 0, 3.0);
        if let Some((key, amount)) = count(&actions) {
            actions.extend(rig.counted(key, CallResult::Ok, amount));
        }
        assert!(sent(&actions).is_some() || refused(&actions).is_some(), "case {case}: {actions:?}");
    }
}

#[test]
fn one_or_no_backend_and_invalid_spreads_are_handled() {
    for left in [1, 0] {
        let mut rig = Rig::new(settings_without_quota());
        let entries = [backend_entry(1, 0, BackendState::Ready)];
        rig.event(Event::List { full: true, entries: entries[..left].to_vec() });
        for (id, spread) in [(1, 1e12), (2, 0.0), (3, f64::NAN)] {
            let actions = rig.event(Event::Request(Request { customer_gateways: spread, ..request(id, id) }));
            assert_eq!(sent(&actions), (left == 1).then_some(1));
            assert_eq!(refused(&actions).is_some(), left == 0);
        }
    }
}

#[test]
fn empty_lists_and_duplicate_entries_are_applied() {
    let mut rig = Rig::new(Settings { gateways: 100, ..settings_without_quota() });
    rig.event(Event::List { full: true, entries: vec![] });
    assert!(refused(&rig.request(1, 0, 1.0)).is_some(), "refused at once");
    let twice = vec![
        backend_entry(2, 0, BackendState::Ready),
        backend_entry(3, 1, BackendState::Ready),
        backend_entry(2, 0, BackendState::Draining),
    ];
    rig.event(Event::List { full: true, entries: twice });
    // Backends that return to the list start cold; wait until they are warm.
    rig.now += 20_000.0;
    for id in 2..10 {
        assert_eq!(sent(&rig.request(id, 0, 1.0)), Some(3), "the last entry of 2 says draining");
        rig.outcome(id, 0, 3, CallResult::Ok, None);
    }
    rig.event(Event::List { full: true, entries: vec![backend_entry(1, 0, BackendState::Ready)] });
    rig.now += 20_000.0;
    assert_eq!(sent(&rig.request(20, 0, 1.0)), Some(1), "1 returned with the full list");
}

#[test]
fn backends_draining_in_waves_get_no_requests() {
    let mut rig = Rig::new(settings_without_quota());
    let entries: Vec<_> = (1..=9).map(|id| backend_entry(id, id % 2, BackendState::Ready)).collect();
    rig.event(Event::List { full: true, entries });
    let mut id = 0;
    for wave in 0..4u32 {
        let draining = [wave * 2 + 1, wave * 2 + 2];
        rig.event(Event::List {
            full: false,
            entries: draining.map(|id| backend_entry(id, id % 2, BackendState::Draining)).into(),
        });
        for _ in 0..30 {
            id += 1;
            rig.now += 20.0;
            let backend = sent(&rig.request(id, 0, 1.0)).expect("other backends are ready");
            assert!(backend > draining[1], "{backend} is draining");
            rig.outcome(id, 0, backend, CallResult::Ok, None);
        }
    }
}

/// One of 100 gateways with 60 backends that take the whole latency target for each response, so that only
/// the minimum is admitted.
fn overloaded() -> Rig {
    let mut rig = Rig::new(Settings { gateways: 100, ..settings_without_quota() });
    let entries = (1..=60).map(|id| backend_entry(id, 0, BackendState::Ready)).collect();
    rig.event(Event::List { full: true, entries });
    for id in 1..=40 {
        let backend = sent(&rig.request(id, 0, 1.0)).expect("admitted before any response");
        rig.now += 500.0;
        rig.outcome_after(500.0, id, 0, backend, CallResult::Ok, None);
    }
    rig.now += 20_000.0;
    rig
}

/// Number of requests admitted at once; ends all of them.
fn admitted(rig: &mut Rig, from: u64) -> u64 {
    let mut backends = Vec::new();
    while let Some(backend) = sent(&rig.request(from + backends.len() as u64, 0, 1.0)) {
        backends.push(backend);
        assert!(backends.len() < 1000, "no limit");
    }
    for (id, backend) in (from..).zip(&backends) {
        rig.outcome_after(1.0, id, 0, *backend, CallResult::NotSent, None);
    }
    backends.len() as u64
}

#[test]
fn admission_minimum_follows_the_gateways_present_without_jumps() {
    let mut rig = overloaded();
    // 60 backends times 3 requests over 100 gateways: 1.8, rounded up.
    assert_eq!(admitted(&mut rig, 1000), 2);
    let report = |rig: &mut Rig, present, majority| drop(rig.event(Event::Gateways { present, majority }));
    // 40 of 100 gateways disappear: the minimum grows step by step.
    report(&mut rig, 60, true);
    assert_eq!(admitted(&mut rig, 2000), 2, "unchanged at first");
    let mut minimums = Vec::new();
    for step in 0..60 {
        rig.now += 1000.0;
        minimums.push(admitted(&mut rig, 3000 + 100 * step));
    }
    assert!(minimums.windows(2).all(|two| two[1] >= two[0] && two[1] - two[0] <= 1), "{minimums:?}");
    assert_eq!(minimums.last(), Some(&3));
    // The gateways return: the minimum falls at once. Flapping reports do not change it.
    report(&mut rig, 100, true);
    assert_eq!(admitted(&mut rig, 10_000), 2);
    for round in 0..100 {
        report(&mut rig, if round % 2 == 0 { 51 } else { 100 }, true);
        rig.now += 100.0;
        assert_eq!(admitted(&mut rig, 11_000 + 100 * round), 2, "round {round}");
    }
    // A minority report is not trusted. With any number of gateways one request is admitted.
    for present in [0, 1, 49] {
        report(&mut rig, present, false);
        rig.now += 100_000.0;
        assert_eq!(admitted(&mut rig, 30_000 + 100 * u64::from(present)), 2, "minority of {present}");
    }
    report(&mut rig, u32::MAX, true);
    assert_eq!(admitted(&mut rig, 40_000), 1);
}

#[test]
fn fewer_gateways_use_larger_subsets() {
    let backends_used = |present: Option<u32>| {
        let mut rig = Rig::new(Settings { gateways: 100, ..settings_without_quota() });
        let entries = (1..=200).map(|id| backend_entry(id, 0, BackendState::Ready)).collect();
        rig.event(Event::List { full: true, entries });
        if let Some(present) = present {
            rig.event(Event::Gateways { present, majority: true });
            rig.now += 100_000.0;
        }
        // Without responses the backends of the subset are used first, twice each.
        let send = |id| sent(&rig.request(id, 0, 1.0)).expect("admitted");
        (1..=36).map(send).collect::<std::collections::BTreeSet<_>>().len()
    };
    let (before, all, half) = (backends_used(None), backends_used(Some(100)), backends_used(Some(51)));
    // Ten gateways per backend: of 200 backends, 100 gateways use 20 each and 51 use 39.
    assert_eq!(before, all);
    assert!((15..=25).contains(&all) && (30..=36).contains(&half), "{all} and {half}");
}

/// A gateway with backends 1 to 3 in pool 0, and canaries 11 to 14 in pool 1; 14 is in another region.
fn rig_with_canaries() -> Rig {
    let mut rig = Rig::new(settings_without_quota());
    let canary = |id: u32| {
        let distance_cost = if id == 14 { 6.0 } else { 0.0 };
        BackendEntry { pool: 1, size: 2.0, distance_cost, ..backend_entry(id, 0, BackendState::Ready) }
    };
    rig.event(Event::List { full: false, entries: (11..15).map(canary).collect() });
    rig
}

/// The backends of a request with a canary pool: of its first attempt, and of the next after an error.
fn canary_request(rig: &mut Rig, id: u64) -> (u32, Option<u32>) {
    let request = Request { canary_pool: Some(1), ..request(id, 7) };
    let first = sent(&rig.event(Event::Request(request))).expect("a first attempt");
    (first, sent(&rig.outcome(id, 0, first, CallResult::Error, None)))
}

/// Guards against all gateways sending their canary requests to the same one of several idle backends.
#[test]
fn canary_requests_spread_over_the_nearest_canaries() {
    let mut used = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let mut rig = rig_with_canaries();
        (0..seed).for_each(|id| drop(rig.request(1000 + id, 0, 1.0)));
        used.insert(canary_request(&mut rig, 1).0);
    }
    assert_eq!(used.into_iter().collect::<Vec<_>>(), [11, 12, 13]);
}

#[test]
fn a_failed_canary_request_is_retried_in_its_own_pool() {
    let (first, retry) = canary_request(&mut rig_with_canaries(), 1);
    assert!(first > 10 && retry.is_some_and(|backend| backend < 10), "{first}, then {retry:?}");
}

#[test]
fn a_request_without_a_free_canary_goes_to_its_own_pool() {
    let mut rig = rig_with_canaries();
    let mut in_canaries = 0;
    for id in 1..20 {
        let request = Request { canary_pool: Some(1), ..request(id, 7) };
        in_canaries += u32::from(sent(&rig.event(Event::Request(request))).expect("an attempt") > 10);
    }
    assert_eq!(in_canaries, 6, "three near canaries with two places each");
}
