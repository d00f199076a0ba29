//! Members that are behind, and what a leader goes by that has just begun: on the simulated system, in virtual time.

mod simulated;

use overland::agreement::{HardState, InstallSnapshot, PersistentState, RaftMessage, RaftPayload, Snapshot};
use overland::member::{Action, Event, Member};
use overland::news::Word;
use overland::state::RegisteredBackend;
use simulated::{Place, SnapshotMutant, World};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Plays drawn histories, and tells the seed of one that fails.
fn histories(few: u64, play: impl Fn(u64)) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("SEED").unwrap_or(0);
    for seed in first..first + number("HISTORIES").unwrap_or(few) {
        if let Err(why) = catch_unwind(AssertUnwindSafe(|| play(seed))) {
            eprintln!("history {seed} fails");
            std::panic::resume_unwind(why);
        }
    }
}

/// Whether one of so many histories finds what is wrong on purpose.
fn found(histories: u64, play: impl Fn(u64)) -> bool {
    (0..histories).any(|seed| catch_unwind(AssertUnwindSafe(|| play(seed))).is_err())
}

/// One backend's beats and its end, said to whichever core process is named.
struct Lonely;

impl Lonely {
    fn beat(world: &mut World, core: usize, state: &str, postmark: u64) {
        let body = format!(
            r#"{{"service":"s","address":"10.128.0.1:80","zone":"z1","edition":"v1","berths":2,"state":"{state}","cold_time":"0ms","postmark":{postmark}}}"#
        );
        world.call(core, "POST", "/api/Instances.Beat/i-1".into(), body.into_bytes());
        world.pass(world.now + 600.0);
    }

    fn leave(world: &mut World, core: usize) {
        world.call(core, "POST", "/api/Instances.Leave/i-1".into(), Vec::new());
        world.pass(world.now + 600.0);
    }

    /// As the leader has it.
    fn known(world: &World, leader: usize) -> Option<&RegisteredBackend> {
        world.cores[leader].running.as_ref().and_then(|member| member.state().backends.get("i-1"))
    }
}

fn leader(world: &World) -> usize {
    world.leader().expect("somebody leads")
}

/// The leader is lost, and another leads.
fn next_leader(world: &mut World) -> usize {
    let lost = leader(world);
    world.kill_core(lost);
    world.pass(world.now + 4000.0);
    leader(world)
}

/// The closing of a backend is acknowledged, the leader is lost, and a beat that was sent before comes to the next.
#[test]
fn a_late_beat_opens_nothing_at_the_next_leader() {
    let mut world = World::new(1, 3, 0, 1, 0, 0);
    world.begin();
    world.pass(3000.0);
    let first = leader(&world);
    Lonely::beat(&mut world, first, "open", 1);
    Lonely::beat(&mut world, first, "open", 2);
    Lonely::beat(&mut world, first, "closing", 4);
    assert!(Lonely::known(&world, first).is_some_and(|known| known.backend.draining));
    let next = next_leader(&mut world);
    Lonely::beat(&mut world, next, "open", 3);
    assert!(Lonely::known(&world, next).is_some_and(|known| known.backend.draining), "a late beat opened it");
    // One that was sent later counts.
    Lonely::beat(&mut world, next, "open", 5);
    assert!(Lonely::known(&world, next).is_some_and(|known| !known.backend.draining));
}

/// A backend leaves, the leader is lost, and a beat that was sent before comes to the next.
#[test]
fn a_late_beat_brings_nothing_back_at_the_next_leader() {
    let mut world = World::new(2, 3, 0, 1, 0, 0);
    world.begin();
    world.pass(3000.0);
    let first = leader(&world);
    Lonely::beat(&mut world, first, "closing", 1);
    Lonely::leave(&mut world, first);
    assert!(Lonely::known(&world, first).is_none());
    let next = next_leader(&mut world);
    Lonely::beat(&mut world, next, "open", 0);
    assert!(Lonely::known(&world, next).is_none(), "a late beat brought it back");
    // Much later it is one that starts again under its old id.
    world.pass(world.now + 31_000.0);
    Lonely::beat(&mut world, next, "open", 1);
    assert!(Lonely::known(&world, next).is_some());
}

/// Plays on: whoever answers for all has nothing open whose closing or leaving was acknowledged.
fn watched(world: &mut World, for_ms: f64) {
    let until = world.now + for_ms;
    while world.now < until {
        world.pass((world.now + 100.0).min(until));
        let Some(leader) = world.leader() else { continue };
        let Some(member) = &world.cores[leader].running else { continue };
        for id in world.judge.closing.keys() {
            let open = member.state().backends.get(id).is_some_and(|known| !known.backend.draining);
            assert!(!open, "{id} is open at {:.0}, and its closing was acknowledged", world.now);
        }
    }
}

/// Beats that a link held up come after their backend's closing was acknowledged, while leaders are lost.
fn late_beats(seed: u64, late_counts: bool) {
    let mut world = World::new(seed, [3, 5][seed as usize % 2], 0, 3, 12, 0);
    (world.late, world.late_counts) = (0.15, late_counts);
    world.begin();
    world.pass(4000.0);
    for _ in 0..8 {
        let lost = leader(&world);
        world.kill_core(lost);
        let for_ms = 2500.0 + world.rng.f64() * 1500.0;
        watched(&mut world, for_ms);
        world.start_core(lost, false);
        let for_ms = 500.0 + world.rng.f64() * 1500.0;
        watched(&mut world, for_ms);
    }
    world.settle(12_000.0);
}

#[test]
fn no_late_beat_undoes_what_was_acknowledged() {
    histories(6, |seed| late_beats(seed, false));
}

#[test]
fn a_late_beat_that_counts_is_found() {
    assert!(found(40, |seed| late_beats(seed, true)), "no history finds it");
}

/// One member with this disk that was filled before, alone with a test that speaks for the others.
struct Alone {
    member: Member,
    now: f64,
}

impl Alone {
    fn start(disk: Option<PersistentState>) -> (Self, Option<overland::agreement::Save>) {
        let seeds = (0..3).map(simulated::core_address).collect();
        let settings = simulated::settings("core-0".into(), Some(simulated::core_address(0)), seeds, true);
        let (member, first) = Member::start(settings, disk, 1, 0.0).expect("it starts");
        (Alone { member, now: 0.0 }, first)
    }

    /// What it does at an event, and at all saves that it wants.
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

    fn hear(&mut self, say: RaftPayload) -> Vec<Action> {
        let from = simulated::core_address(1).to_string();
        self.handle(Event::PeerMessage { from, message: Word::Agreement(RaftMessage { payload: Some(say) }) })
    }

    /// It is left alone for so long: what it says to others.
    fn said(&mut self, for_ms: f64) -> Vec<RaftPayload> {
        let until = self.now + for_ms;
        let mut said = Vec::new();
        while self.now < until {
            self.now += 25.0;
            for action in self.handle(Event::Tick) {
                if let Action::SendPeer { message: word, .. } = action {
                    said.extend(say_of(&word).cloned());
                }
            }
        }
        said
    }
}

fn say_of(word: &Word) -> Option<&RaftPayload> {
    match word {
        Word::Agreement(letter) => letter.payload.as_ref(),
        _ => None,
    }
}

fn members() -> Vec<String> {
    (0..3).map(|number| simulated::core_address(number).to_string()).collect()
}

/// Not a state: a length that leads past the end.
const GARBAGE: &[u8] = &[0x12, 0x7f, 1, 2, 3];

#[test]
fn a_state_that_cant_be_read_is_neither_saved_nor_followed() {
    let (mut alone, _) = Alone::start(Some(PersistentState::default()));
    let (term, index, last_term, members, at) = (3, 700, 2, members(), 1.0);
    let install = InstallSnapshot {
        term,
        index,
        last_term,
        members,
        state: GARBAGE.to_vec(),
        sent_at: at,
        digest: None,
    };
    let actions = alone.hear(RaftPayload::InstallSnapshot(install.clone()));
    let kept = actions.iter().any(|action| matches!(action, Action::Save(save) if save.snapshot.is_some()));
    assert!(!kept, "it is on disk");
    assert!(!actions.iter().any(|action| matches!(action, Action::Abort(_))), "the process ends");
    let took = actions.iter().any(|action| {
        matches!(action, Action::SendPeer { message, .. } if matches!(say_of(message), Some(RaftPayload::AppendResponse(_))))
    });
    assert!(!took && alone.member.state().index == 0);
    // One that can be read is taken.
    let actions = alone.hear(RaftPayload::InstallSnapshot(InstallSnapshot { state: Vec::new(), ..install }));
    assert!(actions.iter().any(|action| matches!(action, Action::Save(save) if save.snapshot.is_some())));
    assert_eq!(alone.member.state().index, 700);
}

#[test]
fn a_start_from_a_damaged_disk_is_one_from_an_empty_disk() {
    let vow = HardState { term: 4, vote: None, voting: true };
    let base = Snapshot { index: 512, term: 3, members: members(), state: GARBAGE.to_vec() };
    let (mut alone, first) =
        Alone::start(Some(PersistentState { hard_state: vow, snapshot: base, entries: Vec::new() }));
    let first = first.expect("the disk is emptied");
    assert_eq!((first.snapshot, first.entries), (Some(Snapshot::default()), Some((0, Vec::new()))));
    assert!(!first.hard_state.voting);
    // It asks nobody for a vote, and founds nothing, though the settings name a first start.
    let said = alone.said(10_000.0);
    assert!(!said.iter().any(|say| matches!(say, RaftPayload::VoteRequest(_))), "it wants to lead");
    assert!(alone.member.agreement().members().is_empty());
}

/// A history of so many changes: 400 routes, backends that tell something new with each beat, and members that are
/// killed, wiped, frozen, slow and cut off, the leader among them. A state goes in many pieces.
fn long(seed: u64, changes: u64, with: impl Fn(&mut World)) -> World {
    let founders = [3, 5][seed as usize % 2];
    let mut world = World::new(seed, founders, 0, 2, 40, 2);
    (world.callers.routes, world.callers.restless, world.callers.pause_ms) = (400, true, 6000.0);
    with(&mut world);
    world.begin();
    watched(&mut world, 4000.0);
    let mut stuck = 0;
    while index(&world) < changes {
        let before = index(&world);
        trouble(&mut world);
        stuck = if index(&world) > before { 0 } else { stuck + 1 };
        assert!(stuck < 40, "nothing is agreed on any more at {:.0}", world.now);
    }
    (world.bytes_ms, world.callers.restless) = (f64::INFINITY, false);
    world.settle(20_000.0);
    alike(&world);
    world
}

/// The number of the last change that anybody has.
fn index(world: &World) -> u64 {
    let running = world.cores.iter().filter_map(|core| core.running.as_ref());
    running.map(|member| member.state().index).max().unwrap_or(0)
}

/// Whether all members are there and know all that is agreed on: another disk may be lost then.
fn whole(world: &World) -> bool {
    let agreed = index(world);
    world.leader().is_some()
        && world.cores.iter().all(|core| {
            let near = core.running.as_ref().is_some_and(|member| member.state().index + 200 > agreed);
            near && core.disk.as_ref().is_some_and(|disk| disk.hard_state.voting)
        })
}

fn trouble(world: &mut World) {
    let any = world.rng.usize(0..world.cores.len());
    let for_ms = 200.0 + world.rng.f64() * 5000.0;
    match world.rng.u32(0..8) {
        0 => world.kill_core(any),
        1 => {
            if let Some(leader) = world.leader() {
                world.kill_core(leader);
            }
        }
        2 | 3 if whole(world) => {
            world.kill_core(any);
            world.cores[any].disk = None;
            world.start_core(any, false);
        }
        4 => {
            let all = (0..world.cores.len()).map(Place::Core).collect::<Vec<_>>();
            world.cut_off(Place::Core(any), all);
        }
        5 => world.cores[any].sync_ms = 20.0,
        6 => world.freeze_core(any, for_ms),
        _ => {}
    }
    watched(world, for_ms);
    world.cuts.clear();
    world.cores.iter_mut().for_each(|core| core.sync_ms = 0.5);
    (0..world.cores.len()).for_each(|core| world.start_core(core, false));
    let calm_ms = 500.0 + world.rng.f64() * 4000.0;
    watched(world, calm_ms);
}

/// All members hold the same, what orders beats and orders of operators with it.
fn alike(world: &World) {
    let lead = world.cores[leader(world)].running.as_ref().expect("it runs");
    let whole = |member: &Member| {
        let mut whole = member.state().snapshot(0.0, true);
        // By each copy's own clock, and of each start: how long a backend stays cold, and how long ago a zone was taken back.
        whole.backends.iter_mut().for_each(|backend| backend.cold_ms = 0);
        whole.evacuation_ends.clear();
        whole
    };
    for name in lead.agreement().members() {
        let number = simulated::core_number(name).expect("a core process");
        let member = world.cores[number].running.as_ref().expect("it runs");
        assert_eq!(member.state().index, lead.state().index, "core {number} never caught up");
        assert!(whole(member) == whole(lead), "the copy of core {number} differs");
    }
}

#[test]
fn after_thousands_of_changes_all_copies_are_one() {
    let changes = if std::env::var("HISTORIES").is_ok() { 10_000 } else { 1200 };
    histories(2, |seed| {
        let world = long(seed, changes, |world| world.bytes_ms = [250.0, 125_000.0][seed as usize / 2 % 2]);
        assert!(world.pieces > 0);
    });
}

#[test]
fn states_that_are_damaged_on_the_way_are_never_taken() {
    histories(1, |seed| {
        let world = long(seed + 100, 1200, |world| world.damage = 0.1);
        assert!(world.pieces > 0);
    });
}

#[test]
fn what_is_wrong_with_snapshots_on_purpose_is_found() {
    for mutant in [SnapshotMutant::NoMembers, SnapshotMutant::OldState] {
        let found = found(6, |seed| drop(long(seed, 1200, |world| world.snapshot_mutant = Some(mutant))));
        assert!(found, "no history finds {mutant:?}");
    }
}

/// Not a fault: each change tells what stands after it, and one that is older than what stands changes nothing.
#[test]
fn entries_that_are_applied_twice_change_nothing() {
    histories(2, |seed| {
        drop(long(seed, 1200, |world| world.snapshot_mutant = Some(SnapshotMutant::AppliedTwice)))
    });
}

/// One member is started with an empty disk while its links carry so much. How long until it has all that is agreed on,
/// and how often a leader was elected meanwhile.
fn catch_up(routes: usize, bytes_ms: f64) -> (f64, u64) {
    let mut world = World::new(3, 3, 0, 1, 6, 1);
    (world.callers.routes, world.callers.restless, world.callers.churn) = (routes, true, false);
    world.begin();
    // A state takes the place of the log.
    while index(&world) < 600 {
        world.pass(world.now + 1000.0);
    }
    world.callers.wishes = false;
    world.pass(world.now + 2000.0);
    let first = leader(&world);
    let term = |world: &World| world.cores[first].running.as_ref().expect("it runs").agreement().term();
    let (lost, before) = ((first + 1) % 3, term(&world));
    world.bytes_ms = bytes_ms;
    world.kill_core(lost);
    world.cores[lost].disk = None;
    world.start_core(lost, false);
    let started = world.now;
    loop {
        world.pass(world.now + 10.0);
        assert!(world.now - started < 120_000.0, "it never caught up");
        let caught_up = world.cores[lost].running.as_ref().is_some_and(|member| {
            member.state().index + 5 > index(&world) && member.state().config.is_some()
        });
        if caught_up && world.cores[lost].disk.as_ref().is_some_and(|disk| disk.hard_state.voting) {
            return (world.now - started, term(&world) - before);
        }
    }
}

/// 2 Mbit/s and 1,000 Mbit/s. `HISTORIES` plays the size that is designed for, too, and tells the times.
#[test]
fn a_wiped_member_catches_up_on_a_slow_link_and_nobody_else_is_elected() {
    let routes = if std::env::var("HISTORIES").is_ok() { vec![400, 2000, 7600] } else { vec![400] };
    for routes in routes {
        for bytes_ms in [250.0, 125_000.0] {
            let (took_ms, elected) = catch_up(routes, bytes_ms);
            eprintln!("{routes} routes, {bytes_ms} bytes a ms: {took_ms:.0} ms");
            assert_eq!(elected, 0, "{routes} routes, {bytes_ms} bytes a ms");
        }
    }
}
