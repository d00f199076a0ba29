//! The whole control side against a plain model, in drawn histories. `HISTORIES` plays more of them, from `SEED` on; of
//! those that fail the shortest is told.

mod finds;
mod simulated;

use overland::agreement::{AppendEntries, InstallSnapshot, RaftMessage, RaftPayload};
use overland::news::{FromAgent, Gateway, Repair, StateSnapshot, Word};
use simulated::troubles::{Trouble, ALL};
use simulated::{Input, Place, World};

/// Failing histories of which the shortest is told.
const FINDS: usize = 5;

/// Plays drawn histories, and tells the shortest that fails: its seed and how many things happened in it.
fn histories(few: u64, draw: impl Fn(u64) -> World, play: impl Fn(&mut World)) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("SEED").unwrap_or(0);
    let seeds = first..first + number("HISTORIES").unwrap_or(few);
    if let Some(find) = finds::shortest(seeds, FINDS, draw, play, |world| world.events) {
        eprintln!("history {} fails after {} events", find.seed, find.events);
        std::panic::resume_unwind(find.why);
    }
}

fn members(seed: u64) -> usize {
    [3, 5][seed as usize % 2]
}

#[test]
fn a_calm_day_is_one_story_to_all() {
    let draw = |seed| World::new(seed, members(seed), 0, 8, 6, 2);
    histories(4, draw, |world| {
        world.begin();
        world.pass(20_000.0);
        assert!(world.judge.any_taken(), "no configuration was taken in calm");
        world.settle(12_000.0);
    });
}

/// Plays these troubles, two in each history, one after the other.
fn troubles(few: u64, of: &[Trouble], hasty: bool) {
    let draw = |seed| World::new(seed, members(seed), 0, 8, 6, 4);
    histories(few, draw, |world| {
        world.later = world.rng.usize(0..2);
        world.callers.hasty = hasty;
        world.two_troubles(of);
    });
}

/// The leader is cut off from its peers, and not from agents, backends and operators, which go on calling it; then joined
/// again, with its old links still open or not.
#[test]
fn a_leader_that_is_cut_off_says_nothing_for_all() {
    let of = [Trouble::LeaderFromPeers, Trouble::LeaderFromAgents, Trouble::LeaderFromAll, Trouble::Split];
    troubles(10, &of, false);
}

/// Backends come and go while leaders are cut off, frozen and woken: what is acknowledged of them holds at who leads next.
#[test]
fn what_backends_are_told_outlives_who_told_it() {
    troubles(10, &[Trouble::LeaderFromPeers, Trouble::LeaderFrozen, Trouble::MemberFrozen], true);
}

/// A leader that stood still answers nothing on a clock that it read before, and writes no answer that it decided before.
#[test]
fn a_woken_leader_finds_out_first() {
    troubles(10, &[Trouble::LeaderFrozen, Trouble::Pauses, Trouble::DiskHangs], false);
}

/// Gateways that are cut off for long, frozen, or started anew go by no keys that were taken away, and find back.
#[test]
fn gateways_stop_by_themselves_and_find_back() {
    troubles(10, &[Trouble::GatewaysAlone, Trouble::GatewayFrozen, Trouble::GatewayAnew], false);
}

/// A member that is cut off tells callers at once that another must be asked.
#[test]
fn a_member_that_is_cut_off_keeps_no_call() {
    troubles(6, &[Trouble::MemberFromPeers], false);
}

#[test]
fn all_troubles_in_any_order() {
    troubles(6, &ALL, false);
}

/// A leader that comes after a while without any knows of no backend that turned cold meanwhile: until it has heard them all
/// no gateway takes one for warm.
#[test]
fn a_new_leader_grants_no_full_rate_before_it_has_heard_every_backend() {
    let draw = |seed| World::new(seed, members(seed), 0, 8, 6, 0);
    histories(10, draw, World::core_is_off_and_hears_no_backend);
}

/// Words of no member, and in names that are no addresses, are counted, and change nothing.
#[test]
fn words_of_no_member_change_nothing() {
    let draw = |seed| World::new(seed, members(seed), 0, 4, 4, 2);
    histories(4, draw, |world| {
        world.begin();
        world.pass(6_000.0);
        let (leader, term) = (world.leader().expect("a leader"), world.term());
        let mut sent = 0;
        for _ in 0..200 {
            let core = world.rng.usize(0..world.cores.len());
            let names = ["", "nobody", "10.9.9.9", "10.0.0.1:99999", "10.9.9.9:8080", "[::1]:1"];
            let name = names[world.rng.usize(0..names.len())].to_owned();
            let term = world.rng.u64(..);
            let say = match world.rng.u32(0..3) {
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
            let index = world.cores[core].running.as_ref().expect("it runs").state().index;
            let mend = Repair { index, names: vec!["cell z1".into()], parts: Some(StateSnapshot::default()) };
            let word = if world.rng.bool() {
                Word::Agreement(RaftMessage { payload: Some(say) })
            } else {
                Word::Repair(mend)
            };
            world.input(core, Input::Heard(name, Box::new(word)));
            sent += 1;
            world.pass(world.now + 20.0);
        }
        assert_eq!((world.leader(), world.term()), (Some(leader), term), "somebody believed it");
        let strange =
            |core: &simulated::Core| core.running.as_ref().map_or(0, |member| member.rejected_messages());
        assert_eq!(world.cores.iter().map(strange).sum::<u64>(), sent);
        world.settle(12_000.0);
    });
}

/// History 2101222: a gateway is silent for over a minute on a link that stands, and is left out. Its next word on that link
/// tells no more who it is, as it did so once; it is known again all the same.
#[test]
fn a_gateway_that_was_long_unheard_is_known_again() {
    let mut world = World::new(1, 3, 0, 2, 4, 2);
    world.begin();
    world.pass(8_000.0);
    let leader = world.leader().expect("a leader");
    let gateway = Gateway { node: "late".into(), zone: "z0".into(), client_addr: "10.1.0.99:80".into() };
    let word = FromAgent { gateway: Some(gateway), ready: true, ..FromAgent::default() };
    let knows = |world: &World| {
        let member = world.cores[leader].running.as_ref().expect("it runs");
        member.state().gateways.contains_key("late")
    };
    world.input(leader, Input::Agent(9_999, word.clone()));
    world.pass(world.now + 500.0);
    assert!(knows(&world));
    world.pass(world.now + 62_000.0);
    assert!(!knows(&world));
    world.input(leader, Input::Agent(9_999, FromAgent { gateway: None, ..word }));
    world.pass(world.now + 500.0);
    assert!(knows(&world), "its words are nobody's");
}

/// A leader that no agent reaches keeps its peers, and hands over to a member that agents reach: gateways go by an old
/// configuration, and none is counted, for as long as it leads.
#[test]
fn a_leader_that_agents_do_not_reach_has_another_lead() {
    histories(
        8,
        |seed| World::new(seed, members(seed), 0, 8, 4, 4),
        |world| {
            world.begin();
            world.pass(8_000.0);
            let (leader, cut) = (world.leader().expect("a leader"), world.now);
            let agents = (0..world.gateways.len()).map(Place::Gateway).collect::<Vec<_>>();
            world.cut_off(Place::Core(leader), agents);
            while world.leader().is_none_or(|leads| leads == leader) {
                assert!(world.now < cut + 6_000.0, "core {leader} still leads, and no agent hears of it");
                world.pass(world.now + 25.0);
            }
            world.pass(cut + 12_000.0);
            assert!(world.leader().is_some_and(|leads| leads != leader), "the lead goes back");
            world.cuts.clear();
            world.settle(15_000.0);
        },
    );
}

/// A member that hears its leader, and is not heard by it, keeps no call for the time that passing it on may take.
#[test]
fn a_member_that_its_leader_does_not_hear_keeps_no_call() {
    histories(
        12,
        |seed| World::new(seed, members(seed), 0, 4, 4, 2),
        |world| {
            world.begin();
            world.pass(8_000.0);
            let leader = world.leader().expect("a leader");
            let deaf = (leader + 1 + world.rng.usize(0..world.cores.len() - 1)) % world.cores.len();
            world.cuts.insert((Place::Core(deaf), Place::Core(leader)));
            world.pass(world.now + 1_000.0);
            assert_eq!(world.leader(), Some(leader));
            let call = world.call(deaf, "GET", "/api/Config.Get".into(), Vec::new());
            world.pass(world.now + 400.0);
            assert!(!world.waits(call), "core {deaf} keeps what nobody hears");
            world.cuts.clear();
            world.settle(15_000.0);
        },
    );
}

/// From the moment at which a leader is cut off from its peers alone until another takes the first order, in ms: operators
/// call any member, the cut one too.
#[test]
fn another_takes_orders_soon_after_a_cut() {
    let mut times = Vec::new();
    let number = std::env::var("HISTORIES").ok().and_then(|text| text.parse::<u64>().ok());
    for seed in 0..number.map_or(8, |number| number.min(40)) {
        let mut world = World::new(seed, members(seed), 0, 4, 4, 6);
        world.callers.pause_ms = 100.0;
        world.begin();
        world.pass(8_000.0);
        let (leader, cut) = (world.leader().expect("a leader"), world.now);
        let peers = (0..world.cores.len()).map(Place::Core).collect::<Vec<_>>();
        world.cut_off(Place::Core(leader), peers);
        world.pass(cut + 10_000.0);
        // What the others took before they lost it stands aside.
        let taken = world.taken.iter().find(|(at, by)| *at > cut + 500.0 && *by != leader);
        times.push(taken.expect("orders are taken").0 - cut);
    }
    times.sort_by(f64::total_cmp);
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!("from a cut to the first order taken elsewhere: median {median:.0} ms, worst {worst:.0} ms");
    assert!(worst < 4_000.0, "{worst:.0} ms");
}

/// A fleet that starts is sent one message, made once: its copies are whole all the same, with what came since.
#[test]
fn gateways_that_come_together_are_sent_one_whole_state() {
    let mut world = World::new(1, 3, 0, 8, 12, 2);
    world.begin();
    world.pass(8_000.0);
    (0..8).for_each(|gateway| world.kill_gateway(gateway));
    world.pass(world.now + 3_000.0);
    world.wholes.clear();
    for gateway in 0..8 {
        world.start_gateway(gateway);
        world.pass(world.now + 20.0);
    }
    world.pass(world.now + 300.0);
    let made: std::collections::BTreeSet<_> = world.wholes.iter().map(|whole| whole.as_ptr()).collect();
    assert!(world.wholes.len() >= 8 && made.len() <= 2, "{} made, {} sent", made.len(), world.wholes.len());
    world.settle(12_000.0);
}
