//! Tests of quotas, the shared counter and admission, event by event.

mod common;
use common::*;
use oakfall::*;

#[test]
fn request_is_sent_after_its_units_are_charged() {
    let mut rig = Rig::new(settings());
    let actions = rig.request(1, 0, 3.0);
    let (key, amount) = count(&actions).expect("a charge");
    assert!(amount > 0.0);
    assert_eq!(sent(&actions), None, "waits for the counter");
    assert!(sent(&rig.counted(key, CallResult::Ok, amount)).is_some());
}

#[test]
fn request_beyond_the_quota_is_refused_and_its_charge_returned() {
    let mut rig = Rig::new(settings());
    let (key, amount) = count(&rig.request(1, 0, 3.0)).unwrap();
    let actions = rig.counted(key, CallResult::Ok, amount / 3.0 * 14.0);
    let retry_after = refused(&actions).expect("others used 11 units of the limit of 10 and a quarter more");
    assert!(
        retry_after > 200.0 && retry_after <= 1000.0,
        "1.5 units short at 2 units a second: {retry_after}"
    );
    // The refused charge is returned at once, so that other gateways may use the units.
    assert_eq!(count(&actions), Some((key, -amount)));
    // The gateway knows that the quota is used up: it refuses without a call until tokens have been refilled.
    let actions = rig.request(2, 0, 3.0);
    assert!(refused(&actions).is_some() && count(&actions).is_none());
    rig.now += 3000.0;
    assert!(count(&rig.request(3, 0, 3.0)).is_some(), "units have been refilled");
}

#[test]
fn refusal_states_its_reason() {
    let reason = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Refuse { reason, .. } => Some(*reason),
            _ => None,
        })
    };
    let mut rig = Rig::new(settings());
    let (key, amount) = count(&rig.request(1, 0, 3.0)).unwrap();
    assert_eq!(reason(&rig.counted(key, CallResult::Ok, amount / 3.0 * 14.0)), Some(Reason::Quota));
    let late = Request { budget_ms: 0.0, ..request(2, 8) };
    assert_eq!(reason(&rig.event(Event::Request(late))), Some(Reason::DeadlineExceeded));
    let mut rig = Rig::new(Settings { counter: None, ..settings() });
    let mut actions = rig.event(Event::Request(request(3, 9)));
    for attempt in 0..3 {
        let backend = sent(&actions).expect("an attempt is left");
        rig.now += 1.0;
        actions = rig.outcome(3, attempt, backend, CallResult::Rejected, None);
    }
    assert_eq!(reason(&actions), Some(Reason::AttemptsExhausted), "no attempt is left");
    rig.event(Event::List { full: true, entries: vec![] });
    assert_eq!(
        reason(&rig.event(Event::Request(request(4, 9)))),
        Some(Reason::NoCapacity),
        "no backend is listed"
    );
}

#[test]
fn refusals_are_summarised_in_the_log() {
    let mut rig = Rig::new(settings());
    rig.event(Event::List { full: true, entries: vec![] });
    let mut lines = Vec::new();
    for id in 1..=25 {
        rig.now += 1000.0;
        let mut actions = rig.request(id, 0, 1.0);
        actions.extend(rig.event(Event::Timer { token: 0 }));
        lines.extend(actions.into_iter().filter_map(|a| match a {
            Action::Log { line } => Some(line),
            _ => None,
        }));
    }
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines.iter().all(|l| l.starts_with("10 requests: 10 found no room, 0 were beyond")), "{lines:?}");
}

/// How many of 20 simultaneous requests are admitted after a number of evenly spaced ones.
fn admitted_from_a_burst_after(requests: u32) -> usize {
    let mut settings = settings();
    settings.counter = None;
    settings.classes[0].target_ms = 200.0;
    settings.plans[0] = Plan { rate: 1e6, burst: 1e6, worth_factor: 1.0, ..Plan::default() };
    let mut rig = Rig::new(settings);
    // 100 requests a second of 50 ms each, a quarter of the latency target: five in flight on average.
    let mut in_flight = std::collections::VecDeque::new();
    let mut id = 0;
    for _ in 0..requests {
        rig.now += 10.0;
        id += 1;
        if let Some(backend) = sent(&rig.event(Event::Request(request(id, id)))) {
            in_flight.push_back((id, backend));
        }
        if in_flight.len() > 4 {
            let (id, backend) = in_flight.pop_front().unwrap();
            rig.outcome(id, 0, backend, CallResult::Ok, None);
        }
    }
    let admitted =
        (id + 1..=id + 20).filter(|id| sent(&rig.event(Event::Request(request(*id, *id)))).is_some());
    admitted.count()
}

#[test]
fn random_variation_of_requests_in_flight_is_not_a_queue() {
    // Six more requests are within random variation, twenty are a queue.
    let admitted = admitted_from_a_burst_after(400);
    assert!((6..=15).contains(&admitted), "{admitted} of 20 admitted");
}

#[test]
fn random_variation_is_not_a_queue_after_a_start() {
    for requests in [50, 80, 120, 160] {
        let admitted = admitted_from_a_burst_after(requests);
        assert!((6..=15).contains(&admitted), "{admitted} of 20 admitted after {requests}");
    }
}

#[test]
fn first_total_sets_the_token_bucket() {
    // Guards against taking an earlier lack of traffic for units that are still available.
    let mut shared = SharedCounter::default();
    let (mut first, mut second) = (Rig::new(settings()), Rig::new(settings()));
    (first.now, second.now) = (31_000.0, 31_000.0);
    for id in 1..=5 {
        let actions = first.request(id, 0, 2.0);
        assert!(sent(&shared.answer(&mut first, actions)).is_some(), "10 units in the token bucket");
    }
    let actions = second.request(1, 0, 3.0);
    assert!(refused(&shared.answer(&mut second, actions)).is_some(), "the first gateway used them");
    let mut third = Rig::new(settings());
    third.now = 36_000.0;
    let actions = third.request(1, 0, 3.0);
    assert!(sent(&shared.answer(&mut third, actions)).is_some(), "10 units were refilled since");
}

#[test]
fn unit_correction_is_added_to_the_next_charge() {
    let mut rig = Rig::new(settings());
    let (key, first) = count(&rig.request(1, 0, 3.0)).unwrap();
    let backend = sent(&rig.counted(key, CallResult::Ok, first)).unwrap();
    rig.outcome(1, 0, backend, CallResult::Ok, Some(5.0));
    let (_, amount) = count(&rig.request(2, 0, 1.0)).unwrap();
    assert!((amount / first - 1.0).abs() < 1e-6, "1 unit and the 2 that were underestimated");
}

#[test]
fn pending_correction_decays_with_time() {
    let mut rig = Rig::new(settings());
    let (key, first) = count(&rig.request(1, 0, 1.0)).unwrap();
    let backend = sent(&rig.counted(key, CallResult::Ok, first)).unwrap();
    rig.outcome(1, 0, backend, CallResult::Ok, Some(5.0));
    rig.now += 40_000.0;
    let (_, corrected) = count(&rig.request(2, 0, 1.0)).unwrap();
    let mut fresh = Rig::new(settings());
    fresh.now = rig.now;
    let (_, uncorrected) = count(&fresh.request(1, 0, 1.0)).unwrap();
    assert!(
        corrected < uncorrected * 1.05,
        "units used 40 s ago have been refilled: {corrected} {uncorrected}"
    );
}

#[test]
fn silent_counter_limits_requests_to_the_gateways_own_use() {
    let mut rig = Rig::new(settings());
    let mut admitted = 0;
    for id in 1..=10 {
        let mut actions = rig.request(id, 0, 2.0);
        actions.extend(rig.event(Event::Timer { token: (1 << 60) | id }));
        admitted += usize::from(sent(&actions).is_some());
    }
    assert_eq!(admitted, 5, "10 units in the token bucket, 2 per request");
}

#[test]
fn rejected_charge_is_added_to_the_next() {
    let mut rig = Rig::new(settings());
    let (key, first) = count(&rig.request(1, 0, 2.0)).unwrap();
    assert!(sent(&rig.counted(key, CallResult::Rejected, 0.0)).is_some());
    let (_, amount) = count(&rig.request(2, 0, 1.0)).unwrap();
    assert!((amount / first - 1.5).abs() < 1e-6);
}

#[test]
fn counter_reset_does_not_refill_the_quota() {
    let mut rig = Rig::new(settings());
    let mut total = 0.0;
    for id in 1..=3 {
        let (key, amount) = count(&rig.request(id, 0, 3.0)).unwrap();
        total += amount;
        let backend = sent(&rig.counted(key, CallResult::Ok, total)).unwrap();
        rig.outcome(id, 0, backend, CallResult::Ok, Some(3.0));
    }
    // 9 of 10 units are used, then the count is reset to 0: 3 more units exceed the quota.
    assert!(refused(&rig.request(4, 0, 3.0)).is_some());
    rig.now += 1100.0;
    let (key, amount) = count(&rig.request(5, 0, 3.0)).unwrap();
    assert!(sent(&rig.counted(key, CallResult::Ok, amount)).is_some());
    assert!(refused(&rig.request(6, 0, 1.0)).is_some());
}

/// Sends 100 requests of different customers in one second, and answers each counter call with the result.
/// Returns the number of calls.
fn calls_in_a_second(rig: &mut Rig, first: u64, result: CallResult) -> usize {
    let mut calls = 0;
    for id in first..first + 100 {
        rig.now += 10.0;
        let actions = rig.event(Event::Request(request(id, id)));
        if let Some((key, amount)) = count(&actions) {
            calls += 1;
            rig.counted(key, result, amount);
        }
    }
    calls
}

#[test]
fn overloaded_counter_is_called_less_until_it_recovers() {
    // Guards against limiting the calls by customer alone, where each customer sends a single request.
    let mut rig = Rig::new(settings());
    let normal = calls_in_a_second(&mut rig, 1, CallResult::Ok);
    calls_in_a_second(&mut rig, 1000, CallResult::Rejected);
    let reduced = calls_in_a_second(&mut rig, 2000, CallResult::Rejected);
    assert!(reduced * 10 <= normal, "{reduced} calls of {normal}");
    assert!(reduced >= 1, "it is still called");
    for second in 3..13 {
        calls_in_a_second(&mut rig, second * 1000, CallResult::Ok);
    }
    let recovered = calls_in_a_second(&mut rig, 20_000, CallResult::Ok);
    assert!(recovered * 2 >= normal, "{recovered} calls of {normal}");
}

#[test]
fn first_calls_are_few_and_prefer_plans_that_lose_beyond_the_quota() {
    let mut settings = Settings { gateways: 100, ..settings() };
    settings.plans.push(Plan { excess_worth: 0.3, excess_cost: 0.0, ..settings.plans[0] });
    let mut rig = Rig::new(settings);
    let mut calls = [0, 0];
    // Eight requests a second for 5 s, half of each plan; no call is answered.
    for id in 0..40 {
        rig.now += 125.0;
        let plan = id as u32 % 2;
        let actions = rig.event(Event::Request(Request { plan, ..request(id, id) }));
        calls[plan as usize] += usize::from(count(&actions).is_some());
    }
    assert!((10..=20).contains(&(calls[0] + calls[1])), "{calls:?} calls, of about 3 a second per gateway");
    assert!(calls[1] <= 4, "{calls:?} calls by plan");
}

/// As [`calls_in_a_second`], with successful calls that take `took_ms`.
fn calls_in_a_second_taking(rig: &mut Rig, first: u64, took_ms: f64) -> usize {
    let mut calls = 0;
    for id in first..first + 100 {
        rig.now += 10.0;
        let actions = rig.event(Event::Request(request(id, id)));
        if let Some((key, total)) = count(&actions) {
            calls += 1;
            rig.event(Event::Counted { key, result: CallResult::Ok, total, took_ms });
        }
    }
    calls
}

#[test]
fn distant_counter_is_waited_for_but_a_slowed_one_is_not() {
    // A round trip of 8% of the latency target must not stop the calls.
    let mut distant = Rig::new(settings());
    let calls = (1..=8).map(|second| calls_in_a_second_taking(&mut distant, second * 1000, 40.0)).last();
    assert!(calls >= Some(90), "{calls:?} calls of 100");
    let actions = distant.request(20_000, 0, 1.0);
    let wait = actions.iter().find_map(|a| match a {
        Action::Timer { token, after_ms } if *token != 0 => Some(*after_ms),
        _ => None,
    });
    assert!(wait.is_some_and(|wait| wait > 40.0 && wait <= 60.0), "{wait:?}");
    let mut slowed = Rig::new(settings());
    calls_in_a_second_taking(&mut slowed, 1000, 2.0);
    let calls = (2..=4).map(|second| calls_in_a_second_taking(&mut slowed, second * 1000, 40.0)).last();
    assert!(calls <= Some(10), "{calls:?} calls of 100");
}

#[test]
fn one_slow_response_in_ten_does_not_reduce_the_calls() {
    let mut rig = Rig::new(settings());
    let mut calls = 0;
    for second in 1..=8 {
        calls = 0;
        for id in second * 1000..second * 1000 + 100 {
            rig.now += 10.0;
            let actions = rig.event(Event::Request(request(id, id)));
            if let Some((key, total)) = count(&actions) {
                calls += 1;
                let took_ms = if id % 10 == 0 { 40.0 } else { 2.0 };
                rig.event(Event::Counted { key, result: CallResult::Ok, total, took_ms });
            }
        }
    }
    assert!(calls >= 90, "{calls} calls of 100");
}

#[test]
fn connection_resets_do_not_reduce_the_calls() {
    let mut rig = Rig::new(settings());
    calls_in_a_second(&mut rig, 1000, CallResult::Ok);
    let normal = calls_in_a_second(&mut rig, 2000, CallResult::Ok);
    // One call in eight fails with a connection reset, the others succeed quickly.
    let mut last = 0;
    for second in 0..8 {
        last = 0;
        for id in 3000 + second * 100..3100 + second * 100 {
            rig.now += 10.0;
            let actions = rig.event(Event::Request(request(id, id)));
            if let Some((key, amount)) = count(&actions) {
                last += 1;
                rig.counted(key, if id % 8 == 0 { CallResult::Reset } else { CallResult::Ok }, amount);
            }
        }
    }
    assert!(last * 10 >= normal * 9, "{last} calls of {normal}");
}

#[test]
fn no_request_beyond_the_quota_while_one_inside_it_is_refused() {
    let mut settings = settings();
    // A quota of two units, beyond which a request still earns something; and one that is never used up.
    settings.counter = None;
    settings.plans[0] =
        Plan { rate: 0.1, burst: 2.0, worth_factor: 1.0, excess_worth: 0.3, ..Plan::default() };
    settings.plans.push(Plan { rate: 1000.0, burst: 1000.0, worth_factor: 1.0, ..Plan::default() });
    let mut rig = Rig::new(settings);
    let inside = |id| Event::Request(Request { plan: 1, ..request(id, 8) });
    let beyond = |id| Event::Request(Request { units: 3.0, ..request(id, 7) });
    let mut in_flight = Vec::new();
    for id in 1..=8 {
        in_flight.push((id, sent(&rig.event(inside(id))).expect("capacity is free")));
    }
    assert!(sent(&rig.event(beyond(100))).is_some(), "capacity is free for it as well");
    // A response takes nearly the whole latency target: the next request inside its quota is refused.
    rig.now += 450.0;
    let complete = |rig: &mut Rig, (id, backend), took_ms| {
        let (result, units, load) = (CallResult::Ok, None, Load::default());
        let outcome = Outcome { id, attempt: 0, backend, result, is_final: true, units, took_ms, load };
        rig.event(Event::Outcome(outcome));
    };
    complete(&mut rig, in_flight.remove(0), 450.0);
    assert!(refused(&rig.event(inside(9))).is_some(), "no capacity");
    // Quick responses free capacity, but requests inside their quotas have priority.
    for id in 10..40 {
        rig.now += 1.0;
        if let Some(backend) = sent(&rig.event(inside(id))) {
            rig.now += 1.0;
            complete(&mut rig, (id, backend), 1.0);
        } else {
            complete(&mut rig, in_flight.pop().unwrap(), 1.0);
        }
    }
    assert!(sent(&rig.event(inside(50))).is_some());
    assert!(refused(&rig.event(beyond(101))).is_some());
    rig.now += 2000.0;
    assert!(sent(&rig.event(beyond(102))).is_some(), "capacity is free again");
}

/// Whether one of a hundred gateways admits a request beyond the quota, given the interval and the duration
/// of requests inside their quotas. The latency target is 500 ms.
fn admitted_beyond_quota(interval_ms: f64, took_ms: f64) -> bool {
    let mut settings = Settings { gateways: 100, counter: None, ..settings() };
    settings.plans[0] =
        Plan { rate: 0.1, burst: 2.0, worth_factor: 1.0, excess_worth: 0.3, ..Plan::default() };
    settings.plans.push(Plan { rate: 1000.0, burst: 1000.0, worth_factor: 1.0, ..Plan::default() });
    let mut rig = Rig::new(settings);
    let mut in_flight = std::collections::VecDeque::<(u64, u32, f64)>::new();
    for id in 1..=400 {
        let next = rig.now + interval_ms;
        while in_flight.front().is_some_and(|(.., end)| *end <= next) {
            let (id, backend, end) = in_flight.pop_front().unwrap();
            rig.now = end;
            rig.outcome_after(took_ms, id, 0, backend, CallResult::Ok, None);
        }
        rig.now = next;
        let inside = Event::Request(Request { plan: 1, ..request(id, 8) });
        in_flight.extend(sent(&rig.event(inside)).map(|backend| (id, backend, rig.now + took_ms)));
    }
    // Two more at once, so that some are in flight.
    for id in 401..=402 {
        rig.event(Event::Request(Request { plan: 1, ..request(id, 8) }));
    }
    sent(&rig.event(Event::Request(Request { units: 3.0, ..request(1000, 7) }))).is_some()
}

#[test]
fn requests_beyond_the_quota_need_more_spare_capacity_with_few_responses() {
    // Responses within a quarter of the latency target: a hundred a second suffice, five do not.
    assert!(admitted_beyond_quota(10.0, 120.0));
    assert!(!admitted_beyond_quota(200.0, 80.0));
    assert!(admitted_beyond_quota(200.0, 50.0), "quicker responses suffice");
}

/// A gateway of a hundred with an overloaded counter, and its query to the gateway that owns a customer's
/// quota: the request's id, the owner and the message.
fn query_to_owner() -> (Rig, u64, u32, Vec<u8>) {
    let mut settings = settings();
    (settings.gateways, settings.limits.peers) = (100, true);
    let mut rig = Rig::new(settings);
    calls_in_a_second(&mut rig, 1000, CallResult::Rejected);
    for id in 5000..5100 {
        let actions = rig.event(Event::Request(request(id, id)));
        let query = actions.iter().find_map(|a| match a {
            Action::SendMessage { to, body } => Some((*to, body.clone())),
            _ => None,
        });
        if let Some((to, body)) = query {
            assert_eq!(sent(&actions), None, "waits for the owner");
            return (rig, id, to, body);
        }
    }
    panic!("no owner was asked");
}

#[test]
fn owner_gateway_is_asked_when_the_counter_is_overloaded() {
    let (mut rig, id, to, query) = query_to_owner();
    let mut settings = settings();
    (settings.gateways, settings.position, settings.limits.peers) = (100, to, true);
    let mut owner = Rig::new(settings);
    owner.now = rig.now;
    let mut added = 0.0;
    let mut reply = |owner: &mut Rig| {
        let actions = owner.event(Event::Message { from: 0, body: query.clone() });
        added += count(&actions).map_or(0.0, |(_, amount)| amount);
        actions.into_iter().find_map(|a| match a {
            Action::SendMessage { to: 0, body } => Some(body),
            _ => None,
        })
    };
    let first = reply(&mut owner).expect("a reply");
    assert!(sent(&rig.event(Event::Message { from: to, body: first })).is_some(), "the owner has units left");
    for _ in 0..9 {
        reply(&mut owner);
    }
    let last = reply(&mut owner).expect("a reply");
    assert!(added > 0.0, "the owner adds to the shared count");
    let (mut rig, same_id, ..) = query_to_owner();
    assert_eq!(id, same_id);
    assert!(refused(&rig.event(Event::Message { from: to, body: last })).is_some(), "ten units are used");
}

#[test]
fn silent_or_invalid_owner_lets_the_request_through() {
    let (mut rig, id, to, query) = query_to_owner();
    let mut unknown_version = query.clone();
    unknown_version[0] = 9;
    let not_a_number = [vec![1], id.to_le_bytes().to_vec(), f32::NAN.to_le_bytes().to_vec()].concat();
    let no_units = [vec![1], id.to_le_bytes().to_vec(), (-5f32).to_le_bytes().to_vec()].concat();
    for body in
        [vec![], query[..5].to_vec(), [query.clone(), vec![0; 400]].concat(), unknown_version, not_a_number]
    {
        assert!(rig.event(Event::Message { from: to, body }).is_empty());
    }
    assert!(rig.event(Event::Message { from: 100, body: no_units }).is_empty(), "the sender is unknown");
    assert!(sent(&rig.event(Event::Timer { token: (1 << 60) | id })).is_some());
}

#[test]
fn new_settings_keep_quotas_health_and_open_requests() {
    let mut rig = Rig::new(settings());
    let mut shared = SharedCounter::default();
    // Nine of ten units are used by a request that stays open.
    let first = rig.request(1, 2, 9.0);
    let backend = sent(&shared.answer(&mut rig, first)).expect("inside the quota");
    // One backend fails until it is ejected.
    let failing = backend % 3 + 1;
    for id in 100..200 {
        let actions = rig.event(Event::Request(request(id, id)));
        if let Some(target) = sent(&shared.answer(&mut rig, actions)) {
            rig.outcome(
                id,
                0,
                target,
                if target == failing { CallResult::Error } else { CallResult::Ok },
                None,
            );
        }
        if rig.gateway.out_of_rotation(rig.now) > 0 {
            break;
        }
    }
    let avoided = rig.gateway.out_of_rotation(rig.now);
    assert!(avoided > 0, "a backend is ejected");
    let mut new_settings = settings();
    new_settings.limits.max_attempts = 1;
    new_settings.classes.push(Class { idempotency: Idempotency::Idempotent, ..new_settings.classes[2] });
    rig.event(Event::Settings(new_settings));
    assert_eq!(rig.gateway.out_of_rotation(rig.now), avoided, "health is kept");
    // The open request keeps its class: it may have been executed, so it fails.
    assert!(failed(&rig.outcome(1, 0, backend, CallResult::Reset, None)));
    // The new class is served, with the one attempt that is now allowed.
    let mut request = request(9000, 9000);
    request.class = 3;
    let actions = rig.event(Event::Request(request));
    let backend = sent(&shared.answer(&mut rig, actions)).expect("the class is known now");
    assert!(
        refused(&rig.outcome(9000, 0, backend, CallResult::Rejected, None)).is_some(),
        "no second attempt"
    );
    // The customer's units are still used.
    let actions = rig.request(9001, 0, 9.0);
    assert!(refused(&shared.answer(&mut rig, actions)).is_some(), "its token bucket is kept");
}

/// A request of a separate customer whose body is still being received.
fn streaming_request(id: u64) -> Request {
    Request { class: 2, body_streams: true, ..request(id, id) }
}

#[test]
fn streaming_bodies_and_responses_do_not_count_as_load() {
    let mut rig = Rig::new(settings());
    let mut shared = SharedCounter::default();
    let mut admit = |rig: &mut Rig, request: Request| {
        let id = request.id;
        let actions = rig.event(Event::Request(request));
        sent(&shared.answer(rig, actions)).unwrap_or_else(|| panic!("request {id} was refused"))
    };
    // Each request takes 20 ms. Many more have bodies still being sent, or responses being streamed.
    for id in 1..400 {
        admit(&mut rig, streaming_request(id));
        admit(&mut rig, request(1000 + id, 1000 + id));
        rig.event(Event::ResponseStarted { id: 1000 + id, attempt: 0 });
        let backend = admit(&mut rig, request(2000 + id, 2000 + id));
        rig.now += 20.0;
        rig.outcome(2000 + id, 0, backend, CallResult::Ok, None);
    }
}

#[test]
fn time_budget_of_a_streaming_body_starts_at_its_end() {
    let mut rig = Rig::new(settings());
    let mut shared = SharedCounter::default();
    let actions = rig.event(Event::Request(Request { class: 0, ..streaming_request(1) }));
    let backend = sent(&shared.answer(&mut rig, actions)).expect("sent");
    // The body takes longer than the whole time budget.
    rig.now += 5000.0;
    rig.event(Event::BodySent { id: 1, attempt: 0 });
    rig.now += 50.0;
    // Rejected with its time budget left: another attempt is made.
    assert!(sent(&rig.outcome(1, 0, backend, CallResult::Rejected, None)).is_some());
}
