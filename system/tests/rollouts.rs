//! Roll-outs of new versions of services: the operator's orders, the replicated progress, and which backends get
//! requests.

mod simulated;

use oakfall_system::api::Reply;
use oakfall_system::protocol::{Backend, Change, ChangeKind, ConfigRevision, IndexedChange, StateSnapshot};
use oakfall_system::rollout::messages::{Phase, RolloutOrder, RolloutStep};
use oakfall_system::rollout::placement::{Placement, Placements};
use oakfall_system::rollout::schedule::Schedule;
use oakfall_system::state::{State, Touched};
use prost::Message;
use simulated::callers::config_body;
use simulated::World;

const ORDER: &str = r#"{"service":"s","to_edition":"v2","by_time":"12s"}"#;

/// A started system whose configuration holds the service `s`.
fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 0, 2, 4, 0);
    world.callers.churn = false;
    world.start();
    world.run_until(3_000.0);
    let version = world.model.add_version(world.now, 1, 0);
    let reply = call(&mut world, 0, "POST", "/api/Config.Put", &config_body(1, 0, version as u64));
    assert_eq!(reply.status, 200, "{}", reply.body);
    world.model.acknowledge(world.now, version);
    world
}

/// The reply to a call at a core process; one with status 0 if none came.
fn call(world: &mut World, core: usize, method: &'static str, path: &str, body: &str) -> Reply {
    let token = world.call(core, method, path.to_owned(), body.as_bytes().to_vec());
    world.run_until(world.now + 1_200.0);
    let no_reply = Reply { status: 0, body: String::new(), retry_after_ms: None };
    world.replies.remove(&token).unwrap_or(no_reply)
}

fn order(world: &mut World, core: usize, body: &str) -> u16 {
    call(world, core, "POST", "/api/Rollouts.Start", body).status
}

fn progress(world: &mut World, core: usize) -> Reply {
    call(world, core, "GET", "/api/Rollouts.Get/s", "")
}

/// Guards against a valid order that is answered 404 and never acknowledged.
#[test]
fn an_order_to_roll_out_a_version_is_acknowledged() {
    let mut world = started_world(1);
    assert_eq!(order(&mut world, 0, ORDER), 200);
    let progress = progress(&mut world, 1);
    assert_eq!(progress.status, 200, "{}", progress.body);
    assert!(progress.body.starts_with(r#"{"state":"in_transit","to_edition":"v2""#), "{}", progress.body);
}

#[test]
fn a_service_has_one_rollout_at_a_time() {
    let mut world = started_world(2);
    let tokens: Vec<_> = (0..3)
        .map(|core| world.call(core, "POST", "/api/Rollouts.Start".into(), ORDER.as_bytes().to_vec()))
        .collect();
    world.run_until(world.now + 1_200.0);
    let mut statuses: Vec<_> = tokens.iter().map(|token| world.replies[token].status).collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409, 409]);
    assert_eq!(order(&mut world, 1, &ORDER.replace("v2", "v3")), 409);
}

#[test]
fn invalid_orders_are_refused_and_change_nothing() {
    let mut world = started_world(3);
    for body in [
        &ORDER.replace("\"s\"", "\"unknown\""),
        &ORDER.replace("12s", "0s"),
        &ORDER.replace("12s", "12"),
        &ORDER.replace("12s", "100000s"),
        &ORDER.replace("v2", ""),
        &ORDER.replace("v2", "v1"),
        r#"{"service":"s"}"#,
        "",
    ] {
        assert_eq!(order(&mut world, 0, body), 400, "{body}");
    }
    let long = format!("{ORDER}{}", " ".repeat(5000));
    assert_eq!(order(&mut world, 0, &long), 413);
    assert_eq!(progress(&mut world, 0).status, 404);
}

/// Without proof the new version returns, and the outcome stays readable. A repetition of the order within the
/// time in which operators repeat it is no second roll-out.
#[test]
fn a_version_without_backends_returns_by_its_term() {
    let mut world = started_world(4);
    assert_eq!(order(&mut world, 0, ORDER), 200);
    world.run_until(world.now + 12_000.0);
    let ended = progress(&mut world, 2);
    assert!(ended.body.starts_with(r#"{"state":"returned","to_edition":"v2""#), "{}", ended.body);
    assert!(ended.body.contains("too few backends"), "{}", ended.body);
    assert_eq!(order(&mut world, 0, ORDER), 409);
    world.run_until(world.now + 10_000.0);
    assert_eq!(order(&mut world, 0, ORDER), 200);
}

#[test]
fn an_acknowledged_rollout_survives_the_loss_of_all_processes() {
    for seed in 0..6 {
        let mut world = started_world(10 + seed);
        assert_eq!(order(&mut world, 0, ORDER), 200);
        world.run_until(world.now + 900.0 * seed as f64);
        (0..3).for_each(|core| world.kill_core(core));
        (0..3).for_each(|core| world.start_core(core, false));
        world.run_until(world.now + 6_000.0);
        let kept = progress(&mut world, 0);
        assert_eq!(kept.status, 200, "seed {seed}: {}", kept.body);
        world.run_until(world.now + 14_000.0);
        let ended = progress(&mut world, 1);
        assert!(ended.body.contains("returned"), "seed {seed}: {}", ended.body);
    }
}

#[test]
fn a_new_leader_goes_on_with_a_rollout() {
    for seed in 0..6 {
        let mut world = started_world(20 + seed);
        assert_eq!(order(&mut world, 0, ORDER), 200);
        world.run_until(world.now + 1_500.0 * seed as f64);
        let leader = world.leader().expect("a leader");
        world.kill_core(leader);
        world.run_until(world.now + 13_000.0);
        let ended = progress(&mut world, (leader + 1) % 3);
        assert!(ended.body.contains("returned"), "seed {seed}: {}", ended.body);
    }
}

/// A configuration without the service ends its roll-out.
#[test]
fn a_rollout_of_a_removed_service_returns() {
    let mut world = started_world(31);
    assert_eq!(order(&mut world, 0, ORDER), 200);
    let version = world.model.add_version(world.now, 2, 1);
    let removed = config_body(2, 1, version as u64).replace("\"s\"", "\"other\"");
    assert_eq!(call(&mut world, 0, "POST", "/api/Config.Put", &removed).status, 200);
    world.model.acknowledge(world.now, version);
    world.run_until(world.now + 4_000.0);
    let ended = progress(&mut world, 1);
    assert!(ended.body.starts_with(r#"{"state":"returned""#), "{}", ended.body);
    assert!(ended.body.contains("no longer holds the service"), "{}", ended.body);
    let status = call(&mut world, 2, "GET", "/api/Status", "");
    assert!(status.body.contains(r#""to_edition":"v2","phase":"returned""#), "{}", status.body);
}

#[test]
fn orders_are_refused_without_a_majority() {
    let mut world = started_world(30);
    world.kill_core(1);
    world.kill_core(2);
    world.run_until(world.now + 2_000.0);
    assert_eq!(order(&mut world, 0, ORDER), 503);
}

// ---- The replicated state ---------------------------------------------------------------------------------

fn backend(id: &str, edition: &str) -> Backend {
    Backend {
        id: id.into(),
        service: "s".into(),
        address: format!("10.0.0.{}:80", id.len() + id.bytes().map(usize::from).sum::<usize>() % 200),
        zone: "z1".into(),
        max_concurrency: 2,
        edition: edition.into(),
        ..Backend::default()
    }
}

fn change(kind: ChangeKind) -> Change {
    Change { kind: Some(kind), ..Change::default() }
}

/// A configuration and four backends of `v1`, up to index 5.
fn state_with_backends() -> State {
    let mut state = State::default();
    let config = ConfigRevision { edition: 1, text: "{}".into(), ..ConfigRevision::default() };
    state.apply(0.0, 1, Some(&change(ChangeKind::Config(config))));
    for number in 0..4 {
        let backend = backend(&format!("i-{number}"), "v1");
        state.apply(0.0, 2 + number, Some(&change(ChangeKind::Backend(backend))));
    }
    state
}

fn rollout_order(to_edition: &str) -> ChangeKind {
    ChangeKind::Rollout(RolloutOrder {
        service: "s".into(),
        to_edition: to_edition.into(),
        from_editions: vec!["v1".into()],
        term_ms: 16_000,
        canary_share_ppm: 40_000,
    })
}

fn step(generation: u64, follows: u64, phase: Phase, share_ppm: u32) -> ChangeKind {
    ChangeKind::RolloutStep(RolloutStep {
        service: "s".into(),
        generation,
        follows,
        phase: phase as i32,
        share_ppm,
        reason: "test".into(),
        remaining_ms: 9_000,
    })
}

/// The placements of the backends with these ids.
fn placements(state: &State, ids: &[&str]) -> Vec<Placement> {
    let registered = state.backends.values().map(|known| &known.backend);
    let placements = Placements::new(&state.versions, true, registered, |_| Some("r"), |_| false);
    ids.iter().map(|id| placements.of(&state.backends[*id].backend)).collect()
}

#[test]
fn each_step_is_applied_once_and_final_phases_stay() {
    let mut state = state_with_backends();
    assert_eq!(state.apply(100.0, 6, Some(&change(rollout_order("v2")))), Touched::Backends);
    let refused = [
        rollout_order("v3"),
        step(5, 6, Phase::Shifting, 1),
        step(6, 5, Phase::Shifting, 1),
        step(6, 6, Phase::Delivered, 1),
        step(6, 6, Phase::Returned, 1),
        step(6, 6, Phase::None, 1),
    ];
    for kind in refused {
        assert_eq!(state.apply(200.0, 7, Some(&change(kind.clone()))), Touched::Nothing, "{kind:?}");
    }
    let steps = [Phase::Canary, Phase::Shifting, Phase::Shifting, Phase::OldClosed, Phase::Delivered];
    let mut follows = 6;
    for (offset, phase) in steps.into_iter().enumerate() {
        let index = 8 + 2 * offset as u64;
        let next = change(step(6, follows, phase, 100_000));
        assert_eq!(state.apply(300.0, index, Some(&next)), Touched::Backends, "{phase:?}");
        // A second controller's step after the same one.
        assert_eq!(state.apply(300.0, index + 1, Some(&next)), Touched::Nothing, "{phase:?}");
        follows = index;
    }
    for phase in [Phase::Returning, Phase::Returned, Phase::Canary] {
        let late = change(step(6, follows, phase, 0));
        assert_eq!(state.apply(400.0, 30, Some(&late)), Touched::Nothing, "{phase:?}");
    }
    assert!(state.versions.is_admitted("s", "v2") && !state.versions.is_admitted("s", "v1"));
}

#[test]
fn versions_are_part_of_snapshots_digests_and_repairs() {
    let mut state = state_with_backends();
    state.apply(1_000.0, 6, Some(&change(rollout_order("v2"))));
    state.apply(2_000.0, 7, Some(&change(step(6, 6, Phase::Shifting, 100_000))));
    let encoded = state.snapshot(5_000.0, true).encode_to_vec();
    let decoded = StateSnapshot::decode(&encoded[..]).expect("a snapshot");
    let restored = State::from_snapshot(100.0, decoded);
    let rollout = &restored.versions.rollouts["s"];
    assert_eq!((rollout.phase, rollout.step, rollout.generation), (Phase::Shifting, 7, 6));
    assert_eq!(rollout.ends_at, 6_100.0);
    assert_eq!(restored.range_digests(), state.range_digests());
    let mut behind = state_with_backends();
    behind.apply(0.0, 7, None);
    let repair = state.repair_for(5_000.0, &behind.range_digests()).expect("a difference");
    assert_eq!(repair.names, ["versions"]);
    assert!(behind.repair(100.0, repair));
    assert_eq!(behind.range_digests(), state.range_digests());
}

#[test]
fn versions_are_closed_until_they_are_ordered() {
    let mut state = state_with_backends();
    state.apply(0.0, 6, Some(&change(ChangeKind::Backend(backend("i-new", "v2")))));
    assert_eq!(placements(&state, &["i-0", "i-new"]), [Placement::InService, Placement::Closed]);
    state.apply(0.0, 7, Some(&change(rollout_order("v2"))));
    assert_eq!(placements(&state, &["i-0", "i-new"]), [Placement::InService, Placement::Canary]);
    // Another version that nobody ordered.
    state.apply(0.0, 8, Some(&change(ChangeKind::Backend(backend("i-other", "v3")))));
    assert_eq!(placements(&state, &["i-other"]), [Placement::Closed]);
    state.apply(0.0, 9, Some(&change(step(7, 7, Phase::Shifting, 300_000))));
    state.apply(0.0, 10, Some(&change(step(7, 9, Phase::OldClosed, 1_000_000))));
    assert_eq!(placements(&state, &["i-0", "i-new"]), [Placement::Closed, Placement::InService]);
    state.apply(0.0, 11, Some(&change(step(7, 10, Phase::Returning, 0))));
    assert_eq!(placements(&state, &["i-0", "i-new"]), [Placement::InService, Placement::Closed]);
    state.apply(0.0, 12, Some(&change(step(7, 11, Phase::Returned, 0))));
    assert_eq!(placements(&state, &["i-0", "i-new"]), [Placement::InService, Placement::Closed]);
    // The same version may be ordered again.
    assert_eq!(state.apply(0.0, 13, Some(&change(rollout_order("v2")))), Touched::Backends);
    assert_eq!(placements(&state, &["i-0", "i-new"]), [Placement::InService, Placement::Canary]);
}

/// Backends of an earlier release have no version; their next heartbeat names it.
#[test]
fn a_known_backend_that_names_its_version_stays_in_service() {
    let mut state = State::default();
    let config = ConfigRevision { edition: 1, text: "{}".into(), ..ConfigRevision::default() };
    state.apply(0.0, 1, Some(&change(ChangeKind::Config(config))));
    for (index, edition) in [(2, ""), (3, ""), (4, "v1")] {
        let id = if index == 3 { "i-1" } else { "i-0" };
        state.apply(0.0, index, Some(&change(ChangeKind::Backend(backend(id, edition)))));
    }
    assert_eq!(placements(&state, &["i-0", "i-1"]), [Placement::InService; 2]);
}

#[test]
fn canaries_are_few_and_the_same_for_all_gateways() {
    let mut state = state_with_backends();
    for number in 0..100 {
        let mut old = backend(&format!("o-{number}"), "v1");
        old.address = format!("10.1.0.{number}:80");
        let mut new = backend(&format!("n-{number}"), "v2");
        new.address = format!("10.2.0.{number}:80");
        state.apply(0.0, 10 + 2 * number, Some(&change(ChangeKind::Backend(old))));
        state.apply(0.0, 11 + 2 * number, Some(&change(ChangeKind::Backend(new))));
    }
    state.apply(0.0, 300, Some(&change(rollout_order("v2"))));
    let canaries = |state: &State| {
        let ids: Vec<_> = state.backends.keys().map(String::as_str).collect();
        let found = placements(state, &ids);
        found.iter().filter(|placement| **placement == Placement::Canary).count()
    };
    assert_eq!(canaries(&state), 7, "104 backends at a share of 0.04 and 0.6 of their load");
    state.apply(0.0, 301, Some(&change(step(300, 300, Phase::Shifting, 300_000))));
    assert_eq!(canaries(&state), 32);
}

/// A version that turns bad at any step is taken back within the budget, with the delay of 0.9 s that the loop has.
#[test]
fn the_schedule_keeps_the_exposure_within_its_budget() {
    for term_ms in [14_000.0, 15_000.0, 16_000.0, 60_000.0, 3_600_000.0] {
        let schedule = Schedule::new(term_ms, 0.1);
        let mut share_ppm = schedule.canary_share_ppm();
        loop {
            let exposed = schedule.exposure_ms(term_ms, f64::from(share_ppm) / 1e6, 900.0);
            assert!(exposed <= 0.1 * term_ms, "{exposed:.0} ms at {share_ppm} of {term_ms}");
            let Some(next) = schedule.next_share_ppm(share_ppm) else { break };
            share_ppm = next;
        }
        assert!(schedule.shift_before_end_ms < term_ms && schedule.last_close_ms > 0.0);
    }
}

/// Changes reach gateways as they are committed; one that a gateway misses is in its next snapshot.
#[test]
fn indexed_changes_carry_orders_and_steps() {
    let mut leader = state_with_backends();
    let mut gateway = State::from_snapshot(0.0, leader.snapshot(0.0, false));
    let kinds = [(6, rollout_order("v2")), (7, step(6, 6, Phase::Returning, 0))];
    let changes: Vec<_> =
        kinds.into_iter().map(|(index, kind)| IndexedChange { index, change: Some(change(kind)) }).collect();
    leader.apply_all(0.0, &changes);
    gateway.apply_all(50.0, &changes);
    assert_eq!(gateway.range_digests(), leader.range_digests());
}
