//! Operators that race: up to eight orders under way at once, on the same version and under the same number, whole ones
//! and changes of named items, invalid ones, on top of old versions and of ones to come; each is sent again until it has a clear answer, to any core
//! process and in other bytes, some once more after that. The judge's list of versions is what they are held against.

use super::callers::{configuration, read_back, Who};
use super::{Place, World};
use overland::agreement::{RaftMessage, RaftPayload, Save};
use overland::calls::Reply;
use overland::news::{Change, Kind, StateSnapshot, Word};
use prost::Message;
use std::collections::BTreeMap;

/// An order is sent again and again for so long, in ms.
const INSIST_MS: f64 = 12_000.0;
/// An earlier order that is sent once more is one of so many.
const LATELY: usize = 40;

/// What an operator wants of one order.
#[derive(Clone, Debug)]
pub struct Order {
    /// Its place in the judge's list; none for a read.
    pub mark: Option<usize>,
    pub edition: u64,
    pub based_on: u64,
    pub valid: bool,
    pub path: String,
    /// The same in several bytes.
    pub bodies: Vec<String>,
    /// Its place in the list of zones' orders.
    pub zone: Option<usize>,
}

/// An order that empties a zone or takes it back.
pub struct ZoneOrder {
    pub zone: usize,
    pub on: bool,
    pub sent: f64,
    /// When it was acknowledged.
    pub taken: Option<f64>,
}

/// An order under way.
pub struct Task {
    order: Order,
    first: f64,
    asked: f64,
    tries: u32,
}

/// A time from sending to a clear answer, and how many were under way then.
pub struct Took {
    pub ms: f64,
    pub under_way: usize,
}

/// A fault of the program, brought about by what surrounds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// An entry that reaches another member no longer tells what it builds on: it is taken there whatever stands.
    ComparedAtProposingAlone,
    /// A state on disk or on its way to another member holds nothing of orders.
    ForgottenAtASnapshot,
    /// Another order under a number that was taken is acknowledged.
    KnownByNumberAlone,
    /// An order is acknowledged as soon as one member has it.
    AnsweredBeforeForce,
    /// An order that is given up is refused.
    RefusedWhenGivenUp,
    /// A read is answered by whoever is asked.
    ReadAnywhere,
}

impl Mutant {
    /// What it makes of a state that is kept or sent.
    fn state(self, bytes: &mut Vec<u8>) {
        let Ok(mut whole) = StateSnapshot::decode(&bytes[..]) else { return };
        if self == Mutant::ForgottenAtASnapshot {
            (whole.update_outcomes, whole.legacy_call_digests) = (None, Vec::new());
            *bytes = whole.encode_to_vec();
        }
    }

    /// What it makes of a save.
    pub fn save(self, save: &mut Save) {
        if let Some(base) = &mut save.snapshot {
            self.state(&mut base.state);
        }
    }

    /// What it makes of a letter.
    pub fn letter(self, word: &mut Word) {
        let Word::Agreement(RaftMessage { payload: Some(say) }) = word else { return };
        match say {
            RaftPayload::InstallSnapshot(install) => self.state(&mut install.state),
            RaftPayload::AppendEntries(append) if self == Mutant::ComparedAtProposingAlone => {
                for entry in append.entries.iter_mut().filter(|entry| !entry.data.is_empty()) {
                    let Ok(mut change) = Change::decode(&entry.data[..]) else { continue };
                    if let Some(Kind::Config(config)) = &mut change.kind {
                        config.based_on = None;
                        entry.data = change.encode_to_vec();
                    }
                }
            }
            _ => {}
        }
    }
}

#[derive(Default)]
pub struct Racers {
    pub mutant: Option<Mutant>,
    pub slots: Vec<Option<Task>>,
    /// The newest version that any operator knows of.
    pub known: u64,
    /// All orders, by mark.
    pub orders: BTreeMap<usize, Order>,
    /// So many are still to be sent.
    pub left: usize,
    /// Which mark was in force at some core under each number.
    pub seen: BTreeMap<u64, usize>,
    /// Orders that are sent again are sent in the same bytes.
    pub same_bytes: bool,
    /// Parts of the kinds: fresh, changes of items, invalid, on top of another version, once more, zones; the rest reads.
    pub kinds: [f64; 6],
    /// Orders that empty zones or take them back.
    pub zones: Vec<ZoneOrder>,
    pub pause_ms: f64,
    pub took: Vec<Took>,
    /// Orders that had no clear answer in the end.
    pub unclear: usize,
}

impl Racers {
    pub fn new(slots: usize, orders: usize) -> Self {
        Racers {
            slots: (0..slots).map(|_| None).collect(),
            left: orders,
            kinds: [0.42, 0.16, 0.07, 0.05, 0.14, 0.1],
            pause_ms: 100.0,
            ..Racers::default()
        }
    }

    fn under_way(&self) -> usize {
        self.slots.iter().flatten().filter(|task| task.order.mark.is_some()).count()
    }
}

/// Sends all slots on their way.
pub fn begin(world: &mut World, slots: usize, orders: usize) {
    world.racers = Racers::new(slots, orders);
    for slot in 0..slots {
        let after = world.rng.f64() * 300.0;
        world.turn(after, Who::Racer(slot));
    }
}

fn other_bytes(body: &str) -> String {
    // The same members in another order, with blanks.
    let (first, rest) = body[1..body.len() - 1].split_once(',').expect("several members");
    format!("{{ {rest} ,\n {first} }}")
}

fn patch(edition: u64, based_on: u64, mark: usize) -> String {
    format!(
        r#"{{"edition":"r{edition}","deliver":{{"patrons":[{{"name":"t","stamps":["k{mark}"],"priority":0,"per_s":10,"burst":10,"home_regions":[]}}]}},"withdraw":{{"routes":["no-such-route"]}},"based_on":"r{based_on}"}}"#
    )
}

fn order(mark: usize, edition: u64, based_on: u64, path: &str, body: String) -> Order {
    let bodies = vec![other_bytes(&body), body];
    Order { mark: Some(mark), edition, based_on, valid: true, path: path.to_owned(), bodies, zone: None }
}

fn put(world: &mut World, edition: u64, based_on: u64) -> Order {
    let mark = world.judge.version(world.now, edition, based_on);
    order(mark, edition, based_on, "/api/Config.Put", configuration(edition, based_on, mark as u64))
}

fn read() -> Order {
    let (path, bodies) = ("/api/Config.Get".to_owned(), vec![String::new()]);
    Order { mark: None, edition: 0, based_on: 0, valid: true, path, bodies, zone: None }
}

/// What the next order is.
fn wish(world: &mut World) -> Order {
    let (chance, known) = (world.rng.f64(), world.racers.known);
    let step = world.rng.u64(1..3);
    let [fresh, items, invalid, old, again, zone] = world.racers.kinds;
    let mut upto = 0.0;
    let mut is = |part: f64| {
        upto += part;
        chance < upto
    };
    let first = known == 0 && fresh > 0.0 && (world.racers.orders.is_empty() || world.rng.bool());
    let order = if first || is(fresh) {
        put(world, known + step, known)
    } else if known > 0 && is(items) {
        let mark = world.judge.version(world.now, known + step, known);
        order(mark, known + step, known, "/api/Config.Patch", patch(known + step, known, mark))
    } else if is(invalid) {
        // Under a number that is free, or taken.
        let edition = if world.rng.bool() { known } else { known + step };
        let mut order = put(world, edition, known);
        for body in &mut order.bodies {
            *body = body.replace("\"service\":\"s\"", "\"service\":\"x\"");
        }
        Order { valid: false, ..order }
    } else if is(old) {
        // On top of one that was replaced, or of one that is not there yet and may come.
        let far = world.rng.u64(1..5);
        if world.rng.bool() {
            put(world, known + step, known.saturating_sub(far))
        } else {
            put(world, known + far + step, known + far)
        }
    } else if (known == 0 && fresh > 0.0) || is(again) {
        let marks: Vec<_> = world.racers.orders.keys().rev().take(LATELY).copied().collect();
        world.racers.orders[&marks[world.rng.usize(0..marks.len())]].clone()
    } else if is(zone) {
        let (zone, on) = (world.rng.usize(0..2), world.rng.bool());
        world.racers.zones.push(ZoneOrder { zone, on, sent: world.now, taken: None });
        let path = format!("/api/Evacuate.{}/z{zone}", if on { "Start" } else { "End" });
        Order { path, zone: Some(world.racers.zones.len() - 1), ..read() }
    } else {
        read()
    };
    if let Some(mark) = order.mark {
        world.racers.orders.entry(mark).or_insert_with(|| order.clone());
    }
    order
}

pub fn turn(world: &mut World, slot: usize) {
    let now = world.now;
    if world.racers.slots[slot].is_none() {
        if world.racers.left == 0 || !world.callers.wishes {
            return;
        }
        world.racers.left -= 1;
        let order = wish(world);
        world.racers.slots[slot] = Some(Task { order, first: now, asked: now, tries: 0 });
    }
    let core = world.rng.usize(0..world.cores.len());
    let which = if world.racers.same_bytes { 0 } else { world.rng.usize(0..2) };
    let Some(task) = &mut world.racers.slots[slot] else { return };
    (task.tries, task.asked) = (task.tries + 1, now);
    let body = task.order.bodies[which.min(task.order.bodies.len() - 1)].clone().into_bytes();
    let reads = task.order.mark.is_none() && task.order.zone.is_none();
    let (method, path) = (if reads { "GET" } else { "POST" }, task.order.path.clone());
    let token = super::callers::ask(world, Who::Racer(slot), core, method, path, body);
    if let (true, Some(Mutant::ReadAnywhere)) = (reads, world.racers.mutant) {
        let member = world.cores[core].running.as_ref();
        if let Some(config) = member.and_then(|member| member.state().config.clone()) {
            let reply = Reply { status: 200, body: config.text, retry_after_ms: None };
            world.answer_later(token, reply);
        }
    }
}

pub fn answered(world: &mut World, slot: usize, reply: Option<Reply>) {
    let now = world.now;
    let Some(task) = world.racers.slots[slot].take() else { return };
    let Task { order, first, asked, tries } = task;
    let status = match (world.racers.mutant, reply.as_ref().map_or(0, |reply| reply.status)) {
        (Some(Mutant::KnownByNumberAlone), 412) if world.racers.seen.contains_key(&order.edition) => 200,
        (Some(Mutant::RefusedWhenGivenUp), 503) if order.mark.is_some() && world.rng.u32(0..10) == 0 => 412,
        (_, status) => status,
    };
    let clear = match (status, order.mark) {
        (200, Some(mark)) => {
            assert!(order.valid, "mark {mark} is not valid, and was acknowledged");
            let edition = world.judge.taken(now, mark);
            world.racers.known = world.racers.known.max(edition);
            let under_way = world.racers.under_way() + 1;
            world.racers.took.push(Took { ms: now - first, under_way });
            true
        }
        (200, None) if order.zone.is_some() => {
            let zone = &mut world.racers.zones[order.zone.unwrap_or(0)];
            zone.taken.get_or_insert(now);
            true
        }
        (200, None) => {
            let read = reply.as_ref().and_then(|reply| read_back(&reply.body));
            let (edition, mark) = read.expect("a configuration");
            world.judge.read(asked, edition, mark);
            world.racers.known = world.racers.known.max(edition);
            true
        }
        (400..=499, Some(mark)) => {
            world.judge.refused(mark);
            true
        }
        _ => false,
    };
    if !clear && now - first < INSIST_MS {
        world.racers.slots[slot] = Some(Task { order, first, asked, tries });
        return world.turn(20.0 * f64::from(tries.min(10)), Who::Racer(slot));
    }
    world.racers.unclear += usize::from(!clear);
    // Who was refused finds out what is in place.
    if status >= 400 && world.judge.any_taken() {
        world.racers.slots[slot] = Some(Task { order: read(), first: now, asked: now, tries: 0 });
    }
    let pause = world.racers.pause_ms * world.rng.f64();
    world.turn(pause, Who::Racer(slot));
}

/// A core holds this configuration now.
pub fn seen(world: &mut World, edition: u64, text: &str) {
    let (read, mark) = read_back(text).expect("a configuration");
    if world.racers.mutant == Some(Mutant::AnsweredBeforeForce) {
        let under_way = world.racers.slots.iter().enumerate();
        let wants = |task: &Option<Task>| task.as_ref().is_some_and(|task| task.order.mark == Some(mark));
        let slots: Vec<_> = under_way.filter(|(_, task)| wants(task)).map(|(slot, _)| slot).collect();
        for slot in slots {
            if let Some(token) = world.callers.token(Who::Racer(slot)) {
                world.answer_later(token, Reply { status: 200, body: "{}".into(), retry_after_ms: None });
            }
        }
    }
    assert_eq!(read, edition);
    let was = *world.racers.seen.entry(edition).or_insert(mark);
    assert_eq!(was, mark, "r{edition} is mark {was} at one core and mark {mark} at another");
    assert!(!world.judge.versions[mark].refused, "r{edition} (mark {mark}) is in force, and was refused");
    assert!(world.racers.orders[&mark].valid, "r{edition} (mark {mark}) is in force, and not valid");
}

/// Calm has come: what was acknowledged is one list, each on top of the one before, and the end of it is in force.
pub fn finish(world: &World) {
    let leader = world.leader().expect("somebody leads");
    let state = world.cores[leader].running.as_ref().expect("it runs").state();
    let Some(config) = &state.config else { return };
    let (mut edition, mut mark) = read_back(&config.text).expect("a configuration");
    let mut list = std::collections::BTreeSet::new();
    while edition > 0 {
        list.insert(mark);
        edition = world.judge.versions[mark].based_on;
        let of = |mark: &usize| world.judge.versions[*mark].edition == edition;
        let acknowledged =
            (0..world.judge.versions.len()).filter(of).find(|m| world.judge.versions[*m].taken.is_some());
        match acknowledged.or(world.racers.seen.get(&edition).copied()) {
            Some(next) => mark = next,
            // Two were applied at one moment, and the first had no answer: what it was can't be told.
            None => break,
        }
    }
    for (mark, version) in world.judge.versions.iter().enumerate() {
        let gone = version.taken.is_some() && version.edition > edition && !list.contains(&mark);
        assert!(!gone, "r{} (mark {mark}) was acknowledged, and is not among the versions", version.edition);
    }
}

/// Calm has come: each zone is as an order left it that may have been the last, by when each was sent and acknowledged.
pub fn finish_zones(world: &World) {
    let leader = world.leader().expect("somebody leads");
    let state = world.cores[leader].running.as_ref().expect("it runs").state();
    for zone in 0..2 {
        let on = state.evacuated.contains(&format!("z{zone}"));
        let of_zone = || world.racers.zones.iter().filter(move |order| order.zone == zone);
        let ends = of_zone().filter(|order| order.on == on).map(|order| order.taken.unwrap_or(f64::INFINITY));
        // Nothing is emptied at first.
        let last = ends.fold(if on { f64::NEG_INFINITY } else { 0.0 }, f64::max);
        let undone = of_zone().find(|order| order.on != on && order.taken.is_some() && order.sent > last);
        if let Some(order) = undone {
            panic!(
                "zone {zone}: emptied is {on}, by {last:.0}; the other was sent at {:.0} and acknowledged",
                order.sent
            );
        }
    }
}

// ---- Histories ------------------------------------------------------------------------------------------------------

/// Leaders are cut off, killed, stand still and end, disks are slow, gateways come and go, letters are lost, until all
/// orders are sent; then calm comes.
pub fn trouble(world: &mut World, longest: f64, twice: f64) {
    let most = world.rng.f64();
    for _ in 0..400 {
        if world.racers.left == 0 {
            break;
        }
        world.luck.loss = if world.rng.bool() { 0.0 } else { world.rng.f64() * 0.6 * most };
        world.luck.twice = world.rng.f64() * twice * most;
        let leader = world.leader();
        match (world.rng.u32(0..12), leader) {
            (0, Some(leader)) => {
                let all = (0..world.cores.len()).map(Place::Core).collect::<Vec<_>>();
                match world.rng.u32(0..3) {
                    0 => world.cut_off(Place::Core(leader), all),
                    1 => world.cuts.extend(all.iter().map(|other| (Place::Core(leader), *other))),
                    _ => world.cuts.extend(all.iter().map(|other| (*other, Place::Core(leader)))),
                }
            }
            (1, Some(leader)) => {
                world.kill_core(leader);
                world.start_later(Place::Core(leader), 200.0);
            }
            (2, Some(leader)) => {
                let for_ms = world.rng.f64() * 2500.0;
                world.freeze_core(leader, for_ms);
            }
            (3, Some(leader)) => world.cores[leader].sync_ms = world.rng.f64() * 900.0,
            (4, Some(leader)) => world.input(leader, super::Input::End),
            (6, _) => {
                // A gateway that hears nobody goes by its keys for 8.1 s.
                let gateway = Place::Gateway(world.rng.usize(0..world.gateways.len()));
                let cores = (0..world.cores.len()).map(Place::Core).collect::<Vec<_>>();
                world.cut_off(gateway, cores);
                world.pass(world.now + 9_000.0);
            }
            (5, _) => {
                let gateway = world.rng.usize(0..world.gateways.len());
                world.kill_gateway(gateway);
                world.start_later(Place::Gateway(gateway), 300.0);
            }
            _ => {}
        }
        let for_ms = world.rng.f64() * longest;
        world.pass(world.now + for_ms);
        world.cuts.clear();
        world.cores.iter_mut().for_each(|core| core.sync_ms = 0.5);
    }
    world.settle(15_000.0);
    finish(world);
    finish_zones(world);
}

/// Orders race while all that goes on.
pub fn race(seed: u64, slots: usize, orders: usize, mutant: Option<Mutant>) -> World {
    let mut world = World::new(seed, [3, 5][seed as usize % 2], 0, 4, 0, 0);
    world.begin();
    begin(&mut world, slots, orders);
    world.racers.mutant = mutant;
    world.luck.ack_loss = world.rng.f64() * 0.5;
    trouble(&mut world, 2000.0, 0.2);
    world
}
