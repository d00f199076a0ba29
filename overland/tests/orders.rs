//! Orders of operators against a plain list of versions: at most one is taken on each, every 200 is in the list, nothing
//! in it was refused, and what is read back is its end. `HISTORIES` plays more of them, from `SEED` on.

mod simulated;

use overland::difference::Difference;
use overland::follow::{self, AgentStateMachine};
use overland::news::{
    Change, ConfigRevision, FromProxy, HeartbeatReply, IndexedChange, Kind, StateSnapshot, ToAgent,
};
use overland::state::{State, Touched};
use prost::Message;
use simulated::{racers, Place, World};

/// Plays drawn histories, and tells the seed of one that fails.
fn histories(few: u64, play: impl Fn(u64)) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("SEED").unwrap_or(0);
    for seed in first..first + number("HISTORIES").unwrap_or(few) {
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(seed)));
        if let Err(why) = played {
            eprintln!("history {seed} fails");
            std::panic::resume_unwind(why);
        }
    }
}

#[test]
fn one_number_is_one_configuration_and_an_order_sent_again_is_not_refused() {
    histories(6, |seed| drop(racers::race(seed, 8, 400, None)));
}

/// A zone is emptied and taken back by turns: each order is sent again until it is acknowledged, and none takes effect
/// once more after the next one was acknowledged.
#[test]
fn zones_are_as_they_were_last_acknowledged() {
    histories(60, |seed| {
        let mut world = World::new(seed, 3, 0, 2, 0, 0);
        world.begin();
        racers::begin(&mut world, 1, 12);
        world.racers.kinds = [0.0, 0.0, 0.0, 0.0, 0.0, 1.0];
        world.luck.ack_loss = world.rng.f64() * 0.5;
        world.pass(3000.0);
        // Links lose what is on them, and double nothing: an order without a number can't be told from its double.
        racers::trouble(&mut world, 4000.0, 0.0);
    });
}

/// How many configurations the leader's log has as differences, and how many as whole texts.
fn travelled(world: &World) -> (usize, usize) {
    let leader = world.leader().expect("somebody leads");
    let agreement = world.cores[leader].running.as_ref().expect("it runs").agreement();
    let first = (0..agreement.last_index())
        .find(|index| agreement.applied_entries_after(*index).is_some())
        .expect("a log");
    let entries = agreement.applied_entries_after(first).into_iter().flatten();
    let configs = entries.filter_map(|entry| match Change::decode(&entry.data[..]).ok()?.kind? {
        Kind::Config(config) => Some(config.difference.is_some()),
        _ => None,
    });
    let configs = configs.collect::<Vec<_>>();
    let differences = configs.iter().filter(|differs| **differs).count();
    (differences, configs.len() - differences)
}

/// In calm each order has its clear answer within its caller's second, alone and with seven others under way, and the
/// first try gives it.
#[test]
fn in_calm_eight_orders_at_once_are_answered_within_their_second() {
    histories(2, |seed| {
        for slots in [1, 8] {
            let mut world = World::new(seed, 3, 0, 8, 0, 0);
            world.begin();
            world.pass(3_000.0);
            racers::begin(&mut world, slots, 300);
            world.racers.kinds = [0.7, 0.3, 0.0, 0.0, 0.0, 0.0];
            world.pass(world.now + 120_000.0);
            assert_eq!((world.racers.left, world.racers.unclear), (0, 0));
            let under_way = world.racers.took.iter().filter(|took| took.under_way >= slots.min(4));
            let mut ms: Vec<f64> = under_way.map(|took| took.ms).collect();
            ms.sort_by(f64::total_cmp);
            let (differences, texts) = travelled(&world);
            // The log begins anew now and then: what it holds at the end is counted.
            assert!(
                differences > 30 * texts.max(1) && texts <= 2,
                "{differences} differences, {texts} whole texts"
            );
            let (middle, worst) = (ms[ms.len() / 2], ms[ms.len() - 1]);
            println!("{slots} under way: {} orders, median {middle:.0} ms, worst {worst:.0} ms", ms.len());
            assert!(worst < 1000.0, "an order waited {worst:.0} ms");
        }
    });
}

/// A gateway that has just come is cut off as soon as it goes by keys, and the leader is killed: the next one doesn't
/// acknowledge a change while that gateway goes by older keys.
#[test]
fn a_gateway_that_has_just_come_is_waited_for() {
    histories(8, |seed| {
        let mut world = World::new(seed, 3, 0, 3, 0, 0);
        world.begin();
        world.kill_gateway(2);
        racers::begin(&mut world, 2, 400);
        let for_ms = world.rng.f64() * 1000.0;
        world.pass(4000.0 + for_ms);
        world.start_gateway(2);
        while !world.goes_by_keys(2) && world.now < 20_000.0 {
            world.pass(world.now + 1.0);
        }
        let cores = (0..3).map(Place::Core).collect::<Vec<_>>();
        world.cut_off(Place::Gateway(2), cores);
        if let Some(leader) = world.leader() {
            world.kill_core(leader);
        }
        world.pass(world.now + 12_000.0);
        world.settle(12_000.0);
        racers::finish(&world);
    });
}

/// History 1329 of the above: a core process that is no seed led, and a gateway had let go of it.
#[test]
fn a_member_that_is_no_seed_is_wanted_for_as_long_as_it_is_one() {
    let seeds = vec![simulated::core_address(0)];
    let (member, mut out) = (simulated::core_address(4).to_string(), Vec::new());
    let mut agent =
        AgentStateMachine::new(&simulated::settings("g".into(), None, seeds.clone(), false), 0.0, &mut out);
    let seed = seeds[0].to_string();
    agent.handle(0.0, follow::Event::LinkOpened(seed.clone()), &mut out);
    let told = |members: Vec<String>| {
        let pulse = Some(HeartbeatReply { leads: true, term: 1, members, ..HeartbeatReply::default() });
        follow::Event::CoreMessage {
            core: seed.clone(),
            message: Box::new(ToAgent { heartbeat_reply: pulse, ..ToAgent::default() }),
        }
    };
    agent.handle(0.0, told(vec![seed.clone(), member.clone()]), &mut out);
    // Members are told again only where they have changed.
    agent.handle(60_000.0, told(Vec::new()), &mut out);
    agent.handle(60_000.0, follow::Event::LinkClosed(member.clone()), &mut out);
    assert!(agent.wants_link(60_000.0, &member));
    agent.handle(60_000.0, told(vec![seed.clone()]), &mut out);
    assert!(!agent.wants_link(120_000.0, &member));
}

/// Replacement history 300944: the link to the leader ends, and the word of an earlier leader comes late on another.
#[test]
fn an_agent_follows_no_leader_of_an_earlier_term_though_the_later_one_is_gone() {
    let (old, new) = (simulated::core_address(0).to_string(), simulated::core_address(1).to_string());
    let seeds = vec![simulated::core_address(0), simulated::core_address(1)];
    let mut out = Vec::new();
    let mut agent =
        AgentStateMachine::new(&simulated::settings("g".into(), None, seeds, false), 0.0, &mut out);
    let word = follow::Event::ProxyMessage {
        link: 1,
        message: FromProxy { sent_at: Some(0.0), ..FromProxy::default() },
    };
    let opened = [
        follow::Event::LinkOpened(old.clone()),
        follow::Event::LinkOpened(new.clone()),
        follow::Event::ProxyConnected(1),
        word,
    ];
    opened.into_iter().for_each(|event| agent.handle(0.0, event, &mut out));
    let mut hears = |event: follow::Event| {
        out.clear();
        agent.handle(10.0, event, &mut out);
        let fed = out.iter().filter_map(|action| match action {
            follow::Action::SendProxy(news) => Some(news.term),
            _ => None,
        });
        fed.collect::<Vec<_>>()
    };
    let leads = |core: &String, term: u64| {
        let pulse = Some(HeartbeatReply { leads: true, term, ..HeartbeatReply::default() });
        follow::Event::CoreMessage {
            core: core.clone(),
            message: Box::new(ToAgent { heartbeat_reply: pulse, ..ToAgent::default() }),
        }
    };
    assert_eq!(hears(leads(&new, 6)), [6]);
    hears(follow::Event::LinkClosed(new.clone()));
    assert!(hears(leads(&old, 5)).is_empty(), "the proxy is told of an earlier term");
    assert_eq!(hears(leads(&old, 7)), [7]);
}

fn configured(edition: u64, text: &str) -> ConfigRevision {
    ConfigRevision { edition, text: text.to_owned(), call_digest: edition, ..ConfigRevision::default() }
}

/// The change from one text to another, as a difference.
fn as_difference(index: u64, edition: u64, old: &str, new: &str) -> IndexedChange {
    let difference = Some(Difference::between(old, new));
    let config = ConfigRevision { based_on: Some(edition - 1), difference, ..configured(edition, "") };
    IndexedChange { index, change: Some(Change { kind: Some(Kind::Config(config)), ..Change::default() }) }
}

/// A copy whose text is not the one that was built on takes nothing for the next one: its digest tells, and it is mended.
#[test]
fn a_difference_makes_no_other_text_than_the_one_that_was_taken() {
    let mut copy = State { config: Some(configured(1, r#"{"a":1}"#)), ..State::default() };
    let change = as_difference(2, 2, r#"{"a":1}"#, r#"{"a":2}"#);
    assert_eq!(copy.clone().apply_all(0.0, std::slice::from_ref(&change)), [Touched::Config]);
    copy.config = Some(configured(1, r#"{"b":1}"#));
    assert_eq!(copy.apply_all(0.0, &[change]), [Touched::Unreadable]);
    assert_eq!(copy.config, Some(configured(1, r#"{"b":1}"#)));
}

/// A proxy of an earlier program, which reads no differences, is fed the whole state in their place.
#[test]
fn who_reads_no_differences_is_sent_whole_texts() {
    let core = simulated::core_address(0).to_string();
    let (old, new) = (r#"{"a":1}"#, r#"{"a":2}"#);
    for reads in [0, overland::agreement::MAX_ENTRY_VERSION] {
        let mut out = Vec::new();
        let settings = simulated::settings("g".into(), None, vec![simulated::core_address(0)], false);
        let mut agent = AgentStateMachine::new(&settings, 0.0, &mut out);
        agent.handle(0.0, follow::Event::LinkOpened(core.clone()), &mut out);
        agent.handle(0.0, follow::Event::ProxyConnected(1), &mut out);
        let word = FromProxy { readable_format: reads, sent_at: Some(0.0), ..FromProxy::default() };
        agent.handle(0.0, follow::Event::ProxyMessage { link: 1, message: word }, &mut out);
        let whole = StateSnapshot { index: 1, config: Some(configured(1, old)), ..StateSnapshot::default() };
        let said = |news| follow::Event::CoreMessage { core: core.clone(), message: Box::new(news) };
        agent.handle(1.0, said(ToAgent { snapshot: Some(whole), ..ToAgent::default() }), &mut out);
        out.clear();
        let changes = vec![as_difference(2, 2, old, new)];
        agent.handle(2.0, said(ToAgent { changes, ..ToAgent::default() }), &mut out);
        let fed = out.iter().find_map(|action| match action {
            follow::Action::SendProxy(news) => Some((news.changes.len(), news.snapshot.clone())),
            _ => None,
        });
        let (changes, whole) = fed.expect("the proxy is fed");
        let text = whole.and_then(|whole| whole.config).map(|config| config.text);
        assert_eq!((changes, text), if reads == 0 { (0, Some(new.to_owned())) } else { (1, None) });
    }
}

/// A backend's change draws no word of a gateway: a fleet's start has thousands. An order does, to the leader alone and once
/// the proxy holds it.
#[test]
fn a_gateway_tells_at_once_only_what_somebody_waits_for() {
    let (leads, other) = (simulated::core_address(0).to_string(), simulated::core_address(1).to_string());
    let seeds = vec![simulated::core_address(0), simulated::core_address(1)];
    let mut out = Vec::new();
    let mut agent =
        AgentStateMachine::new(&simulated::settings("g".into(), None, seeds, false), 0.0, &mut out);
    let proxy = |held| FromProxy {
        applied_index: held,
        sent_at: Some(0.0),
        readable_format: overland::agreement::MAX_ENTRY_VERSION,
        ..FromProxy::default()
    };
    let said = |news| follow::Event::CoreMessage { core: leads.clone(), message: Box::new(news) };
    let pulse = Some(HeartbeatReply { leads: true, term: 1, ..HeartbeatReply::default() });
    let whole =
        Some(StateSnapshot { index: 1, config: Some(configured(1, "{}")), ..StateSnapshot::default() });
    let begin = [
        follow::Event::LinkOpened(leads.clone()),
        follow::Event::LinkOpened(other.clone()),
        follow::Event::ProxyConnected(1),
        said(ToAgent { heartbeat_reply: pulse, snapshot: whole, ..ToAgent::default() }),
        follow::Event::ProxyMessage { link: 1, message: proxy(1) },
    ];
    begin.into_iter().for_each(|event| agent.handle(0.0, event, &mut out));
    let mut told = |event: follow::Event| {
        out.clear();
        agent.handle(10.0, event, &mut out);
        let words = out.iter().filter_map(|action| match action {
            follow::Action::Send { core, message: word } => Some((core.clone(), word.proxy_applied_index)),
            _ => None,
        });
        words.collect::<Vec<_>>()
    };
    let backend = Change { kind: Some(Kind::BackendGone("i".into())), ..Change::default() };
    let changes = vec![IndexedChange { index: 2, change: Some(backend) }];
    assert_eq!(told(said(ToAgent { changes, ..ToAgent::default() })), []);
    assert_eq!(told(follow::Event::ProxyMessage { link: 1, message: proxy(2) }), []);
    let changes = vec![as_difference(3, 2, "{}", "{ }")];
    assert_eq!(told(said(ToAgent { changes, ..ToAgent::default() })), []);
    assert_eq!(told(follow::Event::ProxyMessage { link: 1, message: proxy(3) }), [(leads.clone(), 3)]);
}
