//! Operators' requests, checked against a list of versions: at most one is accepted per base edition, every
//! acknowledged version is in the list, no rejected one is, and reads return its end. `HISTORIES` sets the
//! number of histories, `SEED` the first seed.

mod simulated;

use oakfall_system::agent_state::{self, AgentStateMachine};
use oakfall_system::delta::Delta;
use oakfall_system::protocol::{
    Change, ChangeKind, ConfigRevision, FromProxy, HeartbeatReply, IndexedChange, StateSnapshot, ToAgent,
};
use oakfall_system::state::{State, Touched};
use prost::Message;
use simulated::{concurrent_updates, Endpoint, World};

/// Runs random histories, and reports the seed of the first that fails.
fn run_histories(default_count: u64, scenario: impl Fn(u64)) {
    let env_number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = env_number("SEED").unwrap_or(0);
    for seed in first..first + env_number("HISTORIES").unwrap_or(default_count) {
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| scenario(seed)));
        if let Err(payload) = result {
            eprintln!("seed {seed} fails");
            std::panic::resume_unwind(payload);
        }
    }
}

#[test]
fn editions_are_unique_and_retries_are_not_rejected() {
    run_histories(6, |seed| drop(concurrent_updates::run_concurrent_requests(seed, 8, 400, None)));
}

/// Guards against a retried evacuation request taking effect again after a later one was acknowledged.
#[test]
fn zones_stay_as_last_acknowledged() {
    run_histories(60, |seed| {
        let mut world = World::new(seed, 3, 0, 2, 0, 0);
        world.start();
        concurrent_updates::start(&mut world, 1, 12);
        world.concurrent_requests.request_mix = [0.0, 0.0, 0.0, 0.0, 0.0, 1.0];
        world.fault_rates.response_loss = world.rng.f64() * 0.5;
        world.run_until(3000.0);
        // No duplication: a request without an edition can't be distinguished from its duplicate.
        concurrent_updates::run_with_faults(&mut world, 4000.0, 0.0);
    });
}

/// The numbers of configurations in the leader's log that are differences and that are whole texts.
fn count_differences_and_texts(world: &World) -> (usize, usize) {
    let leader = world.leader().expect("a leader");
    let raft = world.cores[leader].running.as_ref().expect("the leader runs").raft();
    let first =
        (0..raft.last_index()).find(|index| raft.applied_entries_after(*index).is_some()).expect("a log");
    let entries = raft.applied_entries_after(first).into_iter().flatten();
    let configs = entries.filter_map(|entry| match Change::decode(&entry.data[..]).ok()?.kind? {
        ChangeKind::Config(config) => Some(config.difference.is_some()),
        _ => None,
    });
    let configs = configs.collect::<Vec<_>>();
    let differences = configs.iter().filter(|is_difference| **is_difference).count();
    (differences, configs.len() - differences)
}

/// Without faults every request is acknowledged within its client's timeout, alone or with seven others in
/// flight, and almost all configurations are replicated as differences.
#[test]
fn eight_concurrent_requests_are_answered_before_their_timeout() {
    run_histories(2, |seed| {
        for slots in [1, 8] {
            let mut world = World::new(seed, 3, 0, 8, 0, 0);
            world.start();
            world.run_until(3_000.0);
            concurrent_updates::start(&mut world, slots, 300);
            world.concurrent_requests.request_mix = [0.7, 0.3, 0.0, 0.0, 0.0, 0.0];
            world.run_until(world.now + 120_000.0);
            assert_eq!((world.concurrent_requests.remaining, world.concurrent_requests.unresolved), (0, 0));
            let concurrent = world
                .concurrent_requests
                .latencies
                .iter()
                .filter(|latency| latency.in_flight >= slots.min(4));
            let mut ms: Vec<f64> = concurrent.map(|latency| latency.ms).collect();
            ms.sort_by(f64::total_cmp);
            let (differences, texts) = count_differences_and_texts(&world);
            // Only what the log still holds at the end is counted.
            assert!(
                differences > 30 * texts.max(1) && texts <= 2,
                "{differences} differences, {texts} whole texts"
            );
            let (median, worst) = (ms[ms.len() / 2], ms[ms.len() - 1]);
            println!("{slots} in flight: {} requests, median {median:.0} ms, worst {worst:.0} ms", ms.len());
            assert!(worst < 1000.0, "a request took {worst:.0} ms");
        }
    });
}

/// A gateway is cut off as soon as it has a lease, and the leader is killed. The next leader must not
/// acknowledge a change while that gateway still uses older keys.
#[test]
fn a_new_leader_waits_for_a_gateway_that_has_just_joined() {
    run_histories(8, |seed| {
        let mut world = World::new(seed, 3, 0, 3, 0, 0);
        world.start();
        world.kill_gateway(2);
        concurrent_updates::start(&mut world, 2, 400);
        let delay_ms = world.rng.f64() * 1000.0;
        world.run_until(4000.0 + delay_ms);
        world.start_gateway(2);
        while !world.has_valid_lease(2) && world.now < 20_000.0 {
            world.run_until(world.now + 1.0);
        }
        let cores = (0..3).map(Endpoint::Core).collect::<Vec<_>>();
        world.cut_off(Endpoint::Gateway(2), cores);
        if let Some(leader) = world.leader() {
            world.kill_core(leader);
        }
        world.run_until(world.now + 12_000.0);
        world.settle(12_000.0);
        concurrent_updates::check_version_chain(&world);
    });
}

/// Guards against an agent dropping its link to a member that is not among its seeds.
#[test]
fn an_agent_keeps_connecting_to_members_that_are_not_seeds() {
    let seeds = vec![simulated::core_address(0)];
    let (member, mut out) = (simulated::core_address(4).to_string(), Vec::new());
    let mut agent =
        AgentStateMachine::new(&simulated::settings("g".into(), None, seeds.clone(), false), 0.0, &mut out);
    let seed = seeds[0].to_string();
    agent.handle(0.0, agent_state::Event::LinkOpened(seed.clone()), &mut out);
    let reply_with_members = |members: Vec<String>| {
        let reply = Some(HeartbeatReply { leads: true, term: 1, members, ..HeartbeatReply::default() });
        agent_state::Event::CoreMessage {
            core: seed.clone(),
            message: Box::new(ToAgent { heartbeat_reply: reply, ..ToAgent::default() }),
        }
    };
    agent.handle(0.0, reply_with_members(vec![seed.clone(), member.clone()]), &mut out);
    // An empty list means that the members have not changed.
    agent.handle(60_000.0, reply_with_members(Vec::new()), &mut out);
    agent.handle(60_000.0, agent_state::Event::LinkClosed(member.clone()), &mut out);
    assert!(agent.wants_link(60_000.0, &member));
    agent.handle(60_000.0, reply_with_members(vec![seed.clone()]), &mut out);
    assert!(!agent.wants_link(120_000.0, &member));
}

/// The link to the leader closes, and a late message from the leader of an earlier term arrives on another
/// link.
#[test]
fn an_agent_does_not_follow_a_leader_of_an_earlier_term() {
    let (old, new) = (simulated::core_address(0).to_string(), simulated::core_address(1).to_string());
    let seeds = vec![simulated::core_address(0), simulated::core_address(1)];
    let mut out = Vec::new();
    let mut agent =
        AgentStateMachine::new(&simulated::settings("g".into(), None, seeds, false), 0.0, &mut out);
    let report = agent_state::Event::ProxyMessage {
        link: 1,
        message: FromProxy { sent_at: Some(0.0), ..FromProxy::default() },
    };
    let setup = [
        agent_state::Event::LinkOpened(old.clone()),
        agent_state::Event::LinkOpened(new.clone()),
        agent_state::Event::ProxyConnected(1),
        report,
    ];
    setup.into_iter().for_each(|event| agent.handle(0.0, event, &mut out));
    let mut terms_sent_to_proxy = |event: agent_state::Event| {
        out.clear();
        agent.handle(10.0, event, &mut out);
        let terms = out.iter().filter_map(|action| match action {
            agent_state::Action::SendProxy(update) => Some(update.term),
            _ => None,
        });
        terms.collect::<Vec<_>>()
    };
    let leader_reply = |core: &String, term: u64| {
        let reply = Some(HeartbeatReply { leads: true, term, ..HeartbeatReply::default() });
        agent_state::Event::CoreMessage {
            core: core.clone(),
            message: Box::new(ToAgent { heartbeat_reply: reply, ..ToAgent::default() }),
        }
    };
    assert_eq!(terms_sent_to_proxy(leader_reply(&new, 6)), [6]);
    terms_sent_to_proxy(agent_state::Event::LinkClosed(new.clone()));
    assert!(terms_sent_to_proxy(leader_reply(&old, 5)).is_empty(), "the proxy was sent an earlier term");
    assert_eq!(terms_sent_to_proxy(leader_reply(&old, 7)), [7]);
}

fn config_revision(edition: u64, text: &str) -> ConfigRevision {
    ConfigRevision { edition, text: text.to_owned(), call_digest: edition, ..ConfigRevision::default() }
}

/// A change from one configuration text to another, as a difference.
fn difference_change(index: u64, edition: u64, old: &str, new: &str) -> IndexedChange {
    let difference = Some(Delta::between(old, new));
    let config = ConfigRevision { based_on: Some(edition - 1), difference, ..config_revision(edition, "") };
    IndexedChange {
        index,
        change: Some(Change { kind: Some(ChangeKind::Config(config)), ..Change::default() }),
    }
}

/// A replica whose text differs from the difference's base detects that by the digest, and keeps its text for
/// repair.
#[test]
fn a_difference_is_not_applied_to_another_base_text() {
    let mut state = State { config: Some(config_revision(1, r#"{"a":1}"#)), ..State::default() };
    let change = difference_change(2, 2, r#"{"a":1}"#, r#"{"a":2}"#);
    assert_eq!(state.clone().apply_all(0.0, std::slice::from_ref(&change)), [Touched::Config]);
    state.config = Some(config_revision(1, r#"{"b":1}"#));
    assert_eq!(state.apply_all(0.0, &[change]), [Touched::Unreadable]);
    assert_eq!(state.config, Some(config_revision(1, r#"{"b":1}"#)));
}

/// A proxy of an earlier release, which can't read differences, is sent the whole state instead.
#[test]
fn proxies_that_cannot_read_differences_are_sent_whole_texts() {
    let core = simulated::core_address(0).to_string();
    let (old, new) = (r#"{"a":1}"#, r#"{"a":2}"#);
    for readable_format in [0, oakfall_system::raft::MAX_ENTRY_VERSION] {
        let mut out = Vec::new();
        let settings = simulated::settings("g".into(), None, vec![simulated::core_address(0)], false);
        let mut agent = AgentStateMachine::new(&settings, 0.0, &mut out);
        agent.handle(0.0, agent_state::Event::LinkOpened(core.clone()), &mut out);
        agent.handle(0.0, agent_state::Event::ProxyConnected(1), &mut out);
        let report = FromProxy { readable_format, sent_at: Some(0.0), ..FromProxy::default() };
        agent.handle(0.0, agent_state::Event::ProxyMessage { link: 1, message: report }, &mut out);
        let snapshot =
            StateSnapshot { index: 1, config: Some(config_revision(1, old)), ..StateSnapshot::default() };
        let core_message =
            |message| agent_state::Event::CoreMessage { core: core.clone(), message: Box::new(message) };
        let with_snapshot = ToAgent { snapshot: Some(snapshot), ..ToAgent::default() };
        agent.handle(1.0, core_message(with_snapshot), &mut out);
        out.clear();
        let changes = vec![difference_change(2, 2, old, new)];
        agent.handle(2.0, core_message(ToAgent { changes, ..ToAgent::default() }), &mut out);
        let update = out.iter().find_map(|action| match action {
            agent_state::Action::SendProxy(update) => Some((update.changes.len(), update.snapshot.clone())),
            _ => None,
        });
        let (changes, snapshot) = update.expect("an update for the proxy");
        let text = snapshot.and_then(|snapshot| snapshot.config).map(|config| config.text);
        let expected = if readable_format == 0 { (0, Some(new.to_owned())) } else { (1, None) };
        assert_eq!((changes, text), expected);
    }
}

/// A backend's change must not make every gateway send a report, as a large deployment has thousands. A new
/// configuration is reported at once, to the leader alone, after the proxy has applied it.
#[test]
fn a_gateway_reports_at_once_only_applied_configurations() {
    let (leader, other) = (simulated::core_address(0).to_string(), simulated::core_address(1).to_string());
    let seeds = vec![simulated::core_address(0), simulated::core_address(1)];
    let mut out = Vec::new();
    let mut agent =
        AgentStateMachine::new(&simulated::settings("g".into(), None, seeds, false), 0.0, &mut out);
    let proxy_report = |applied_index| FromProxy {
        applied_index,
        sent_at: Some(0.0),
        readable_format: oakfall_system::raft::MAX_ENTRY_VERSION,
        ..FromProxy::default()
    };
    let leader_message =
        |message| agent_state::Event::CoreMessage { core: leader.clone(), message: Box::new(message) };
    let reply = Some(HeartbeatReply { leads: true, term: 1, ..HeartbeatReply::default() });
    let snapshot =
        Some(StateSnapshot { index: 1, config: Some(config_revision(1, "{}")), ..StateSnapshot::default() });
    let setup = [
        agent_state::Event::LinkOpened(leader.clone()),
        agent_state::Event::LinkOpened(other.clone()),
        agent_state::Event::ProxyConnected(1),
        leader_message(ToAgent { heartbeat_reply: reply, snapshot, ..ToAgent::default() }),
        agent_state::Event::ProxyMessage { link: 1, message: proxy_report(1) },
    ];
    setup.into_iter().for_each(|event| agent.handle(0.0, event, &mut out));
    let mut reports_sent = |event: agent_state::Event| {
        out.clear();
        agent.handle(10.0, event, &mut out);
        let reports = out.iter().filter_map(|action| match action {
            agent_state::Action::Send { core, message } => Some((core.clone(), message.proxy_applied_index)),
            _ => None,
        });
        reports.collect::<Vec<_>>()
    };
    let backend_gone = Change { kind: Some(ChangeKind::BackendGone("i".into())), ..Change::default() };
    let changes = vec![IndexedChange { index: 2, change: Some(backend_gone) }];
    assert_eq!(reports_sent(leader_message(ToAgent { changes, ..ToAgent::default() })), []);
    assert_eq!(reports_sent(agent_state::Event::ProxyMessage { link: 1, message: proxy_report(2) }), []);
    let changes = vec![difference_change(3, 2, "{}", "{ }")];
    assert_eq!(reports_sent(leader_message(ToAgent { changes, ..ToAgent::default() })), []);
    let applied = agent_state::Event::ProxyMessage { link: 1, message: proxy_report(3) };
    assert_eq!(reports_sent(applied), [(leader.clone(), 3)]);
}

/// Guards against an update without an acknowledgement while a proxy stands still beside a running agent: the agent's
/// reports say that the gateway is in contact, and the proxy never applies the update.
#[test]
fn an_update_is_acknowledged_while_a_proxy_stands_still() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 0, 3, 0, 0);
        world.start();
        world.run_until(4_000.0);
        world.pause_gateway(2, false, true, 30_000.0);
        world.run_until(5_000.0);
        let version = world.model.add_version(world.now, 1, 0);
        let body = simulated::callers::config_body(1, 0, version as u64);
        let sent_at = world.now;
        let acknowledged = loop {
            let token = world.call(0, "POST", "/api/Config.Put".into(), body.clone().into_bytes());
            world.run_until(world.now + 1_000.0);
            if world.replies.get(&token).is_some_and(|reply| reply.status == 200) {
                break world.now - sent_at;
            }
            assert!(world.now - sent_at < 20_000.0, "seed {seed}: no acknowledgement");
        };
        let ack_ms = simulated::bounds().ack_timeout.as_secs_f64() * 1000.0;
        assert!(acknowledged <= ack_ms, "seed {seed}: acknowledged after {acknowledged} ms");
        world.model.acknowledge(world.now, version);
    }
}
