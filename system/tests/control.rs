//! The whole control plane under random faults, checked against a reference model. `HISTORIES` sets the
//! number of histories, `SEED` the first seed; the shortest history that fails is reported.

mod failures;
mod simulated;

use oakfall_system::protocol::{CorePayload, FromAgent, Gateway, Repair};
use oakfall_system::raft::{AppendEntries, InstallSnapshot, RaftMessage, RaftPayload};
use simulated::faults::{Fault, ALL_FAULTS};
use simulated::{Endpoint, Input, World};

/// Failing histories to collect; the shortest is reported.
const MAX_FAILURES: usize = 5;

/// Runs random histories, and reports the seed and the number of events of the shortest that fails.
fn run_histories(default_count: u64, new_world: impl Fn(u64) -> World, scenario: impl Fn(&mut World)) {
    let env_number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = env_number("SEED").unwrap_or(0);
    let seeds = first..first + env_number("HISTORIES").unwrap_or(default_count);
    let failure = failures::shortest_failure(seeds, MAX_FAILURES, new_world, scenario, |world| world.events);
    if let Some(failure) = failure {
        eprintln!("seed {} fails after {} events", failure.seed, failure.events);
        std::panic::resume_unwind(failure.panic_payload);
    }
}

fn founders(seed: u64) -> usize {
    [3, 5][seed as usize % 2]
}

#[test]
fn replicas_converge_without_faults() {
    let new_world = |seed| World::new(seed, founders(seed), 0, 8, 6, 2);
    run_histories(4, new_world, |world| {
        world.start();
        world.run_until(20_000.0);
        assert!(world.model.has_acknowledged(), "no configuration was acknowledged without faults");
        world.settle(12_000.0);
    });
}

/// Runs histories with two of these faults each, one after the other.
fn run_fault_histories(default_count: u64, faults: &[Fault], rapid_churn: bool) {
    let new_world = |seed| World::new(seed, founders(seed), 0, 8, 6, 4);
    run_histories(default_count, new_world, |world| {
        world.delayed_gateways = world.rng.usize(0..2);
        world.callers.rapid_churn = rapid_churn;
        world.run_two_faults(faults);
    });
}

/// Guards against a leader that keeps acting for the cluster while it is cut off, or after it is back.
#[test]
fn a_partitioned_leader_stops_acting_as_leader() {
    let faults =
        [Fault::LeaderCutFromPeers, Fault::LeaderCutFromAgents, Fault::LeaderIsolated, Fault::Partition];
    run_fault_histories(10, &faults, false);
}

/// Guards against backends' acknowledged state being lost at a change of leader.
#[test]
fn acknowledged_backend_state_survives_leader_changes() {
    let faults = [Fault::LeaderCutFromPeers, Fault::LeaderPaused, Fault::MemberPaused];
    run_fault_histories(10, &faults, true);
}

/// Guards against responses based on a clock that was read before a pause, or decided before it.
#[test]
fn a_resumed_leader_checks_its_lease_before_answering() {
    run_fault_histories(10, &[Fault::LeaderPaused, Fault::RandomPauses, Fault::SlowDisk], false);
}

/// Guards against gateways that use revoked keys after a disconnection, a pause or a restart, or don't
/// recover.
#[test]
fn disconnected_gateways_stop_using_revoked_keys_and_recover() {
    let faults = [Fault::GatewaysCutOff, Fault::GatewayPaused, Fault::GatewayRestarted];
    run_fault_histories(10, &faults, false);
}

/// Guards against an isolated member holding calls instead of rejecting them at once.
#[test]
fn an_isolated_member_rejects_calls_at_once() {
    run_fault_histories(6, &[Fault::MemberCutFromPeers], false);
}

#[test]
fn any_two_faults_are_survived() {
    run_fault_histories(6, &ALL_FAULTS, false);
}

/// A backend may have turned cold while there was no leader.
#[test]
fn a_new_leader_grants_no_full_rate_before_it_has_heard_every_backend() {
    let new_world = |seed| World::new(seed, founders(seed), 0, 8, 6, 0);
    run_histories(10, new_world, World::restart_core_without_heartbeats);
}

/// Messages from non-members, or under names that are no addresses, are counted and ignored.
#[test]
fn messages_from_non_members_change_nothing() {
    let new_world = |seed| World::new(seed, founders(seed), 0, 4, 4, 2);
    run_histories(4, new_world, |world| {
        world.start();
        world.run_until(6_000.0);
        let (leader, term) = (world.leader().expect("a leader"), world.term());
        let mut sent = 0;
        for _ in 0..200 {
            let core = world.rng.usize(0..world.cores.len());
            let names = ["", "nobody", "10.9.9.9", "10.0.0.1:99999", "10.9.9.9:8080", "[::1]:1"];
            let name = names[world.rng.usize(0..names.len())].to_owned();
            let term = world.rng.u64(..);
            let payload = match world.rng.u32(0..3) {
                0 => RaftPayload::AppendEntries(AppendEntries {
                    term,
                    commit: term,
                    ..AppendEntries::default()
                }),
                1 => RaftPayload::InstallSnapshot(InstallSnapshot {
                    term,
                    index: term,
                    state: vec![0xff; 40],
                    ..InstallSnapshot::default()
                }),
                _ => RaftPayload::TimeoutNow(term),
            };
            let index = world.cores[core].running.as_ref().expect("a running core").state().index;
            let repair = Repair { index, names: vec!["cell z1".into()], parts: Some(Box::default()) };
            let message = if world.rng.bool() {
                CorePayload::Raft(RaftMessage { payload: Some(payload) })
            } else {
                CorePayload::Repair(repair)
            };
            world.input(core, Input::PeerMessage(name, Box::new(message)));
            sent += 1;
            world.run_until(world.now + 20.0);
        }
        assert_eq!((world.leader(), world.term()), (Some(leader), term), "a message was accepted");
        let rejected =
            |core: &simulated::Core| core.running.as_ref().map_or(0, |member| member.rejected_messages());
        assert_eq!(world.cores.iter().map(rejected).sum::<u64>(), sent);
        world.settle(12_000.0);
    });
}

/// A gateway identifies itself only in its first message on a link. After a minute of silence it is removed,
/// and a later message on the same link must restore it.
#[test]
fn a_gateway_silent_for_a_minute_is_registered_again() {
    let mut world = World::new(1, 3, 0, 2, 4, 2);
    world.start();
    world.run_until(8_000.0);
    let leader = world.leader().expect("a leader");
    let gateway = Gateway { node: "late".into(), zone: "z0".into(), client_addr: "10.1.0.99:80".into() };
    let message = FromAgent { gateway: Some(gateway), ready: true, ..FromAgent::default() };
    let is_registered = |world: &World| {
        let member = world.cores[leader].running.as_ref().expect("a running core");
        member.state().gateways.contains_key("late")
    };
    world.input(leader, Input::AgentMessage(9_999, message.clone()));
    world.run_until(world.now + 500.0);
    assert!(is_registered(&world));
    world.run_until(world.now + 62_000.0);
    assert!(!is_registered(&world));
    world.input(leader, Input::AgentMessage(9_999, FromAgent { gateway: None, ..message }));
    world.run_until(world.now + 500.0);
    assert!(is_registered(&world), "the gateway is not registered again");
}

/// Guards against a leader that only its peers reach: gateways would keep an old configuration as long as it
/// leads.
#[test]
fn a_leader_cut_off_from_agents_transfers_leadership() {
    run_histories(
        8,
        |seed| World::new(seed, founders(seed), 0, 8, 4, 4),
        |world| {
            world.start();
            world.run_until(8_000.0);
            let (leader, cut_at) = (world.leader().expect("a leader"), world.now);
            let agents = (0..world.gateways.len()).map(Endpoint::Gateway).collect::<Vec<_>>();
            world.cut_off(Endpoint::Core(leader), agents);
            while world.leader().is_none_or(|current| current == leader) {
                assert!(world.now < cut_at + 6_000.0, "core {leader} still leads without any agent");
                world.run_until(world.now + 25.0);
            }
            world.run_until(cut_at + 12_000.0);
            assert!(world.leader().is_some_and(|current| current != leader), "leadership went back");
            world.cuts.clear();
            world.settle(15_000.0);
        },
    );
}

/// A member receives its leader's messages but can't reach it: calls must not wait for the forwarding
/// timeout.
#[test]
fn a_member_that_cannot_reach_its_leader_rejects_calls() {
    run_histories(
        12,
        |seed| World::new(seed, founders(seed), 0, 4, 4, 2),
        |world| {
            world.start();
            world.run_until(8_000.0);
            let leader = world.leader().expect("a leader");
            let member = (leader + 1 + world.rng.usize(0..world.cores.len() - 1)) % world.cores.len();
            world.cuts.insert((Endpoint::Core(member), Endpoint::Core(leader)));
            world.run_until(world.now + 1_000.0);
            assert_eq!(world.leader(), Some(leader));
            let call = world.call(member, "GET", "/api/Config.Get".into(), Vec::new());
            world.run_until(world.now + 400.0);
            assert!(!world.is_pending(call), "core {member} holds a call that it can't forward");
            world.cuts.clear();
            world.settle(15_000.0);
        },
    );
}

/// Bounds the time from cutting a leader off from its peers to the first update acknowledged by another
/// member, while operators call any member.
#[test]
fn another_member_takes_updates_soon_after_a_cut() {
    let mut times = Vec::new();
    let env_count = std::env::var("HISTORIES").ok().and_then(|text| text.parse::<u64>().ok());
    for seed in 0..env_count.map_or(8, |count| count.min(40)) {
        let mut world = World::new(seed, founders(seed), 0, 4, 4, 6);
        world.callers.pause_ms = 100.0;
        world.start();
        world.run_until(8_000.0);
        let (leader, cut_at) = (world.leader().expect("a leader"), world.now);
        let peers = (0..world.cores.len()).map(Endpoint::Core).collect::<Vec<_>>();
        world.cut_off(Endpoint::Core(leader), peers);
        world.run_until(cut_at + 10_000.0);
        // Others may still relay responses of the old leader right after the cut.
        let first_update =
            world.acked_updates.iter().find(|(at, core)| *at > cut_at + 500.0 && *core != leader);
        times.push(first_update.expect("an acknowledged update").0 - cut_at);
    }
    times.sort_by(f64::total_cmp);
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!("from a cut to the first update at another member: median {median:.0} ms, worst {worst:.0} ms");
    assert!(worst < 4_000.0, "{worst:.0} ms");
}

/// Gateways that start together share one encoded snapshot, and must still receive all later changes.
#[test]
fn gateways_that_start_together_share_one_snapshot() {
    let mut world = World::new(1, 3, 0, 8, 12, 2);
    world.start();
    world.run_until(8_000.0);
    (0..8).for_each(|gateway| world.kill_gateway(gateway));
    world.run_until(world.now + 3_000.0);
    world.sent_snapshots.clear();
    for gateway in 0..8 {
        world.start_gateway(gateway);
        world.run_until(world.now + 20.0);
    }
    world.run_until(world.now + 300.0);
    let encoded: std::collections::BTreeSet<_> =
        world.sent_snapshots.iter().map(|frame| frame.as_ptr()).collect();
    assert!(
        world.sent_snapshots.len() >= 8 && encoded.len() <= 2,
        "{} encoded, {} sent",
        encoded.len(),
        world.sent_snapshots.len()
    );
    world.settle(12_000.0);
}
