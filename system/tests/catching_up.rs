//! Members that lag behind, late messages after a change of leader, and damaged snapshots, in the simulated
//! system.

mod simulated;

use oakfall_system::member::{Action, Event, Member};
use oakfall_system::protocol::CorePayload;
use oakfall_system::raft::{HardState, InstallSnapshot, PersistentState, RaftMessage, RaftPayload, Snapshot};
use oakfall_system::state::RegisteredBackend;
use simulated::{Endpoint, SnapshotMutant, World};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Runs random histories, and reports the seed of the first that fails.
fn run_histories(default_count: u64, scenario: impl Fn(u64)) {
    let env_number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = env_number("SEED").unwrap_or(0);
    for seed in first..first + env_number("HISTORIES").unwrap_or(default_count) {
        if let Err(payload) = catch_unwind(AssertUnwindSafe(|| scenario(seed))) {
            eprintln!("seed {seed} fails");
            std::panic::resume_unwind(payload);
        }
    }
}

/// Whether any of this number of histories detects a deliberate fault.
fn is_detected(histories: u64, scenario: impl Fn(u64)) -> bool {
    (0..histories).any(|seed| catch_unwind(AssertUnwindSafe(|| scenario(seed))).is_err())
}

/// The calls of a single backend, sent to a given core process.
struct SingleBackend;

impl SingleBackend {
    fn send_heartbeat(world: &mut World, core: usize, state: &str, postmark: u64) {
        let body = format!(
            r#"{{"service":"s","address":"10.128.0.1:80","zone":"z1","edition":"v1","berths":2,"state":"{state}","cold_time":"0ms","postmark":{postmark}}}"#
        );
        world.call(core, "POST", "/api/Instances.Beat/i-1".into(), body.into_bytes());
        world.run_until(world.now + 600.0);
    }

    fn leave(world: &mut World, core: usize) {
        world.call(core, "POST", "/api/Instances.Leave/i-1".into(), Vec::new());
        world.run_until(world.now + 600.0);
    }

    /// The backend in this core process's state.
    fn registered(world: &World, core: usize) -> Option<&RegisteredBackend> {
        world.cores[core].running.as_ref().and_then(|member| member.state().backends.get("i-1"))
    }
}

fn leader(world: &World) -> usize {
    world.leader().expect("a leader")
}

/// Kills the leader, and returns the next one.
fn fail_over(world: &mut World) -> usize {
    let old_leader = leader(world);
    world.kill_core(old_leader);
    world.run_until(world.now + 4000.0);
    leader(world)
}

/// A heartbeat sent before an acknowledged closing arrives at the next leader.
#[test]
fn a_late_heartbeat_reopens_nothing_at_the_next_leader() {
    let mut world = World::new(1, 3, 0, 1, 0, 0);
    world.start();
    world.run_until(3000.0);
    let first = leader(&world);
    SingleBackend::send_heartbeat(&mut world, first, "open", 1);
    SingleBackend::send_heartbeat(&mut world, first, "open", 2);
    SingleBackend::send_heartbeat(&mut world, first, "closing", 4);
    assert!(SingleBackend::registered(&world, first).is_some_and(|known| known.backend.draining));
    let next = fail_over(&mut world);
    SingleBackend::send_heartbeat(&mut world, next, "open", 3);
    assert!(
        SingleBackend::registered(&world, next).is_some_and(|known| known.backend.draining),
        "a late heartbeat reopened the backend"
    );
    // A heartbeat sent after the closing is applied.
    SingleBackend::send_heartbeat(&mut world, next, "open", 5);
    assert!(SingleBackend::registered(&world, next).is_some_and(|known| !known.backend.draining));
}

/// A heartbeat sent before an acknowledged leaving arrives at the next leader.
#[test]
fn a_late_heartbeat_restores_no_backend_at_the_next_leader() {
    let mut world = World::new(2, 3, 0, 1, 0, 0);
    world.start();
    world.run_until(3000.0);
    let first = leader(&world);
    SingleBackend::send_heartbeat(&mut world, first, "closing", 1);
    SingleBackend::leave(&mut world, first);
    assert!(SingleBackend::registered(&world, first).is_none());
    let next = fail_over(&mut world);
    SingleBackend::send_heartbeat(&mut world, next, "open", 0);
    assert!(SingleBackend::registered(&world, next).is_none(), "a late heartbeat restored the backend");
    // Much later, the id may be reused.
    world.run_until(world.now + 31_000.0);
    SingleBackend::send_heartbeat(&mut world, next, "open", 1);
    assert!(SingleBackend::registered(&world, next).is_some());
}

/// Runs on while checking that the leader has no backend open whose closing or leaving was acknowledged.
fn run_checked(world: &mut World, duration_ms: f64) {
    let until = world.now + duration_ms;
    while world.now < until {
        world.run_until((world.now + 100.0).min(until));
        let Some(leader) = world.leader() else { continue };
        let Some(member) = &world.cores[leader].running else { continue };
        for id in world.model.draining.keys() {
            let open = member.state().backends.get(id).is_some_and(|known| !known.backend.draining);
            assert!(!open, "{id} is open at {:.0}, but its closing was acknowledged", world.now);
        }
    }
}

/// Heartbeats arrive after their backend's closing was acknowledged, while leaders are lost.
fn delay_heartbeats(seed: u64, look_newest: bool) {
    let mut world = World::new(seed, [3, 5][seed as usize % 2], 0, 3, 12, 0);
    (world.late_call_probability, world.late_calls_look_newest) = (0.15, look_newest);
    world.start();
    world.run_until(4000.0);
    for _ in 0..8 {
        let old_leader = leader(&world);
        world.kill_core(old_leader);
        let duration_ms = 2500.0 + world.rng.f64() * 1500.0;
        run_checked(&mut world, duration_ms);
        world.start_core(old_leader, false);
        let duration_ms = 500.0 + world.rng.f64() * 1500.0;
        run_checked(&mut world, duration_ms);
    }
    world.settle(12_000.0);
}

#[test]
fn late_heartbeats_undo_nothing_acknowledged() {
    run_histories(6, |seed| delay_heartbeats(seed, false));
}

#[test]
fn late_heartbeats_that_look_newest_are_detected() {
    assert!(is_detected(40, |seed| delay_heartbeats(seed, true)), "not detected");
}

/// A member started from a given disk, with the test in the role of its peers.
struct SingleMember {
    member: Member,
    now: f64,
}

impl SingleMember {
    fn start(disk: Option<PersistentState>) -> (Self, Option<oakfall_system::raft::Save>) {
        let seeds = (0..3).map(simulated::core_address).collect();
        let settings = simulated::settings("core-0".into(), Some(simulated::core_address(0)), seeds, true);
        let (member, first_save) = Member::start(settings, disk, 1, 0.0).expect("the member starts");
        (SingleMember { member, now: 0.0 }, first_save)
    }

    /// Handles an event and completes all resulting saves; returns all actions.
    fn handle(&mut self, event: Event) -> Vec<Action> {
        let (mut all, mut next) = (Vec::new(), Some(event));
        while let Some(event) = next.take() {
            let mut out = Vec::new();
            self.member.handle(self.now, event, &mut out);
            if matches!(out.last(), Some(Action::Save(_))) {
                next = Some(Event::Saved { took_ms: 1.0 });
            }
            all.extend(out);
        }
        all
    }

    fn receive(&mut self, payload: RaftPayload) -> Vec<Action> {
        let from = simulated::core_address(1).to_string();
        let message = CorePayload::Raft(RaftMessage { payload: Some(payload) });
        self.handle(Event::PeerMessage { from, message })
    }

    /// Runs the member without input for this time; returns the payloads that it sends.
    fn run_idle(&mut self, duration_ms: f64) -> Vec<RaftPayload> {
        let until = self.now + duration_ms;
        let mut sent = Vec::new();
        while self.now < until {
            self.now += 25.0;
            for action in self.handle(Event::Tick) {
                if let Action::SendPeer { message, .. } = action {
                    sent.extend(raft_payload(&message).cloned());
                }
            }
        }
        sent
    }
}

fn raft_payload(message: &CorePayload) -> Option<&RaftPayload> {
    match message {
        CorePayload::Raft(message) => message.payload.as_ref(),
        _ => None,
    }
}

fn members() -> Vec<String> {
    (0..3).map(|number| simulated::core_address(number).to_string()).collect()
}

/// Not a valid state: a length that points past the end.
const MALFORMED_STATE: &[u8] = &[0x12, 0x7f, 1, 2, 3];

#[test]
fn a_malformed_snapshot_is_neither_saved_nor_acknowledged() {
    let (mut node, _) = SingleMember::start(Some(PersistentState::default()));
    let install = InstallSnapshot {
        term: 3,
        index: 700,
        last_term: 2,
        members: members(),
        state: MALFORMED_STATE.to_vec(),
        sent_at: 1.0,
        digest: None,
    };
    let actions = node.receive(RaftPayload::InstallSnapshot(install.clone()));
    let saved = actions.iter().any(|action| matches!(action, Action::Save(save) if save.snapshot.is_some()));
    assert!(!saved, "the snapshot was saved");
    assert!(!actions.iter().any(|action| matches!(action, Action::Abort(_))), "the process aborts");
    let is_append_response =
        |message: &CorePayload| matches!(raft_payload(message), Some(RaftPayload::AppendResponse(_)));
    let acknowledged = actions
        .iter()
        .any(|action| matches!(action, Action::SendPeer { message, .. } if is_append_response(message)));
    assert!(!acknowledged && node.member.state().index == 0);
    // A valid snapshot is accepted.
    let actions =
        node.receive(RaftPayload::InstallSnapshot(InstallSnapshot { state: Vec::new(), ..install }));
    assert!(actions.iter().any(|action| matches!(action, Action::Save(save) if save.snapshot.is_some())));
    assert_eq!(node.member.state().index, 700);
}

#[test]
fn a_damaged_disk_is_treated_as_empty() {
    let hard_state = HardState { term: 4, vote: None, voting: true };
    let snapshot = Snapshot { index: 512, term: 3, members: members(), state: MALFORMED_STATE.to_vec() };
    let (mut node, first_save) =
        SingleMember::start(Some(PersistentState { hard_state, snapshot, entries: Vec::new() }));
    let first_save = first_save.expect("a save that clears the disk");
    assert_eq!((first_save.snapshot, first_save.entries), (Some(Snapshot::default()), Some((0, Vec::new()))));
    assert!(!first_save.hard_state.voting);
    // It requests no votes and bootstraps no cluster, although the settings say that this is a first start.
    let sent = node.run_idle(10_000.0);
    assert!(!sent.iter().any(|payload| matches!(payload, RaftPayload::VoteRequest(_))), "it requests votes");
    assert!(node.member.raft().members().is_empty());
}

/// Runs until this number of changes is committed, with 400 routes, backends that change with each heartbeat,
/// and core processes that are killed, wiped, paused, slow and cut off. A snapshot is sent in many chunks.
fn run_long_history(seed: u64, changes: u64, configure: impl Fn(&mut World)) -> World {
    let founders = [3, 5][seed as usize % 2];
    let mut world = World::new(seed, founders, 0, 2, 40, 2);
    (world.callers.routes, world.callers.changing_reports, world.callers.pause_ms) = (400, true, 6000.0);
    configure(&mut world);
    world.start();
    run_checked(&mut world, 4000.0);
    let mut rounds_without_progress = 0;
    while last_index(&world) < changes {
        let before = last_index(&world);
        inject_random_fault(&mut world);
        rounds_without_progress = if last_index(&world) > before { 0 } else { rounds_without_progress + 1 };
        assert!(rounds_without_progress < 40, "no progress any more at {:.0}", world.now);
    }
    (world.bytes_per_ms, world.callers.changing_reports) = (f64::INFINITY, false);
    world.settle(20_000.0);
    assert_members_equal(&world);
    world
}

/// The highest index that any core process has applied.
fn last_index(world: &World) -> u64 {
    let running = world.cores.iter().filter_map(|core| core.running.as_ref());
    running.map(|member| member.state().index).max().unwrap_or(0)
}

/// Whether all core processes run, vote and have nearly all changes, so that a disk may be wiped.
fn is_fully_replicated(world: &World) -> bool {
    let last_index = last_index(world);
    world.leader().is_some()
        && world.cores.iter().all(|core| {
            let is_current =
                core.running.as_ref().is_some_and(|member| member.state().index + 200 > last_index);
            is_current && core.disk.as_ref().is_some_and(|disk| disk.hard_state.voting)
        })
}

/// Applies one random fault to the core, and lets it recover.
fn inject_random_fault(world: &mut World) {
    let core = world.rng.usize(0..world.cores.len());
    let duration_ms = 200.0 + world.rng.f64() * 5000.0;
    match world.rng.u32(0..8) {
        0 => world.kill_core(core),
        1 => {
            if let Some(leader) = world.leader() {
                world.kill_core(leader);
            }
        }
        2 | 3 if is_fully_replicated(world) => {
            world.kill_core(core);
            world.cores[core].disk = None;
            world.start_core(core, false);
        }
        4 => {
            let all = (0..world.cores.len()).map(Endpoint::Core).collect::<Vec<_>>();
            world.cut_off(Endpoint::Core(core), all);
        }
        5 => world.cores[core].sync_ms = 20.0,
        6 => world.pause_core(core, duration_ms),
        _ => {}
    }
    run_checked(world, duration_ms);
    world.cuts.clear();
    world.cores.iter_mut().for_each(|core| core.sync_ms = 0.5);
    (0..world.cores.len()).for_each(|core| world.start_core(core, false));
    let recovery_ms = 500.0 + world.rng.f64() * 4000.0;
    run_checked(world, recovery_ms);
}

/// Checks that all members have the same state, including the postmarks of heartbeats and the outcomes of
/// updates.
fn assert_members_equal(world: &World) {
    let leader = world.cores[leader(world)].running.as_ref().expect("the leader runs");
    let comparable_snapshot = |member: &Member| {
        let mut snapshot = member.state().snapshot(0.0, true);
        // These are measured on each process's own clock, from its own start.
        snapshot.backends.iter_mut().for_each(|backend| backend.cold_ms = 0);
        snapshot.evacuation_ends.clear();
        snapshot
    };
    for name in leader.raft().members() {
        let number = simulated::core_number(name).expect("a core process");
        let member = world.cores[number].running.as_ref().expect("a running core");
        assert_eq!(member.state().index, leader.state().index, "core {number} did not catch up");
        assert!(
            comparable_snapshot(member) == comparable_snapshot(leader),
            "the state of core {number} differs"
        );
    }
}

#[test]
fn members_are_equal_after_thousands_of_changes() {
    let changes = if std::env::var("HISTORIES").is_ok() { 10_000 } else { 1200 };
    run_histories(2, |seed| {
        let bytes_per_ms = [250.0, 125_000.0][seed as usize / 2 % 2];
        let world = run_long_history(seed, changes, |world| world.bytes_per_ms = bytes_per_ms);
        assert!(world.snapshot_messages > 0);
    });
}

#[test]
fn corrupted_snapshots_are_never_installed() {
    run_histories(1, |seed| {
        let world = run_long_history(seed + 100, 1200, |world| world.corruption = 0.1);
        assert!(world.snapshot_messages > 0);
    });
}

#[test]
fn deliberate_faults_in_snapshots_are_detected() {
    for mutant in [SnapshotMutant::NoMembers, SnapshotMutant::StaleState] {
        let detected = is_detected(6, |seed| {
            drop(run_long_history(seed, 1200, |world| world.snapshot_mutant = Some(mutant)))
        });
        assert!(detected, "{mutant:?} is not detected");
    }
}

/// Changes are idempotent: each carries the resulting value, and one older than the current value is ignored.
#[test]
fn entries_applied_twice_change_nothing() {
    run_histories(2, |seed| {
        drop(run_long_history(seed, 1200, |world| {
            world.snapshot_mutant = Some(SnapshotMutant::EntriesAppliedTwice)
        }))
    });
}

/// Restarts a member with an empty disk at this bandwidth. Returns the time in ms until it has caught up, and
/// the number of terms begun meanwhile.
fn catch_up(routes: usize, bytes_per_ms: f64) -> (f64, u64) {
    let mut world = World::new(3, 3, 0, 1, 6, 1);
    (world.callers.routes, world.callers.changing_reports, world.callers.churn) = (routes, true, false);
    world.start();
    // Enough changes for the log to be compacted into a snapshot.
    while last_index(&world) < 600 {
        world.run_until(world.now + 1000.0);
    }
    world.callers.operators_active = false;
    world.run_until(world.now + 2000.0);
    let leader = leader(&world);
    let term = |world: &World| world.cores[leader].running.as_ref().expect("the leader runs").raft().term();
    let (wiped, term_before) = ((leader + 1) % 3, term(&world));
    world.bytes_per_ms = bytes_per_ms;
    world.kill_core(wiped);
    world.cores[wiped].disk = None;
    world.start_core(wiped, false);
    let started_at = world.now;
    loop {
        world.run_until(world.now + 10.0);
        assert!(world.now - started_at < 120_000.0, "the member did not catch up");
        let caught_up = world.cores[wiped].running.as_ref().is_some_and(|member| {
            member.state().index + 5 > last_index(&world) && member.state().config.is_some()
        });
        if caught_up && world.cores[wiped].disk.as_ref().is_some_and(|disk| disk.hard_state.voting) {
            return (world.now - started_at, term(&world) - term_before);
        }
    }
}

/// At 2 Mbit/s and 1,000 Mbit/s; with `HISTORIES` set, also at the largest supported size.
#[test]
fn a_wiped_member_catches_up_on_a_slow_link_without_an_election() {
    let routes = if std::env::var("HISTORIES").is_ok() { vec![400, 2000, 7600] } else { vec![400] };
    for routes in routes {
        for bytes_per_ms in [250.0, 125_000.0] {
            let (took_ms, elections) = catch_up(routes, bytes_per_ms);
            eprintln!("{routes} routes, {bytes_per_ms} bytes/ms: {took_ms:.0} ms");
            assert_eq!(elections, 0, "{routes} routes, {bytes_per_ms} bytes/ms");
        }
    }
}
