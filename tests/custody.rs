//! The custody protocol itself under a model checker: an owner, takers, three keepers, a network that loses, doubles and
//! reorders, crashes, restarts with memory lost, and pauses of any length between any two steps.
#![allow(missing_docs)]

use cherrytally::custody::*;
use stateright::{Checker, Expectation, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

const ID: WorkId = 7;
const LIMITS: Limits = Limits { records: 4, bytes: 4096, life_ms: 1000.0 };
/// The model's time stands still: what a keeper forgets by age is shown by its own tests.
const NOW: f64 = 0.0;
/// A keeper that started so long ago has a vote.
const LONG_AGO: f64 = NOW - LIMITS.life_ms;

/// What is deliberately wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutant {
    None,
    /// Keepers forget what they promised to a reader, and accept the claims of those before it.
    PromiseForgotten,
    /// A restarted keeper votes at once.
    NoQuarantine,
    /// Any one keeper that is reached is enough.
    QuorumOfTheReachable,
    /// Fewer are read than would overlap with those who accept.
    ReadingTooFew,
    /// Both gateways act under equal terms.
    EqualTerms,
    /// An attempt that may have run is told as one that never did.
    ResentAfterMayHaveRun,
    /// What was accepted by fewer than a quorum is written.
    WrittenTooEarly,
}

#[derive(Clone, Debug)]
struct Kept(Keeper);

impl Kept {
    fn seen(&self) -> (Option<&Record>, bool) {
        (self.0.record(ID), self.0.votes(NOW))
    }
}

impl PartialEq for Kept {
    fn eq(&self, other: &Kept) -> bool {
        self.seen() == other.seen()
    }
}

impl Eq for Kept {}

impl Hash for Kept {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.seen().hash(state);
    }
}

/// An attempt that was written, or may be at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Out {
    Allowed,
    Written,
    Ran,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Gateway {
    custodian: Option<Custodian>,
    out: Option<(u8, Out)>,
    /// What its client was told.
    told: Option<Told>,
    again: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Told {
    Served(Answer),
    Ended(End),
}

/// A message under way: its sender, its keeper, and a text of it, which orders the network. What a keeper answers is
/// heard in the same step or never: a reply that is late is as one that is heard at once by a gateway that then stands
/// still, and gateways may stand still between any two steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Wire {
    gateway: u8,
    keeper: u8,
    text: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    gateways: Vec<Gateway>,
    keepers: Vec<Kept>,
    net: BTreeMap<Wire, Message>,
    runs: u8,
    refunds: u8,
    doubled: u8,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver(Wire),
    /// The reply is lost.
    Unheard(Wire),
    Double(Wire),
    Restart(u8),
    Crash(u8),
    TakeOver(u8),
    Attempt(u8),
    GiveUp(u8),
    Again(u8),
    Expire(u8),
    Write(u8),
    Run(u8),
    NeverRan(u8),
    Heard(u8),
    Lost(u8),
}

#[derive(Clone)]
struct Custody {
    mutant: Mutant,
    /// The first owner is there, and may die at any step; else it died before its first claim.
    owner: bool,
    takers: u8,
    again: u8,
    doubled: u8,
    restarts: u8,
    attempts: u8,
    refunds: bool,
    lossy: bool,
}

impl Custody {
    fn quorum(&self) -> Quorum {
        match self.mutant {
            Mutant::QuorumOfTheReachable => Quorum { keepers: 3, write: 1, read: 1 },
            Mutant::ReadingTooFew => Quorum { keepers: 3, write: 2, read: 1 },
            Mutant::WrittenTooEarly => Quorum { keepers: 3, write: 1, read: 2 },
            _ => Quorum::new(3, 2, 2).unwrap(),
        }
    }

    fn act(&self, world: &mut World, gateway: u8, actions: Vec<Action>) {
        for action in actions {
            let own = &mut world.gateways[usize::from(gateway)];
            match action {
                Action::Send { to, message } => {
                    let wire = Wire { gateway, keeper: to, text: format!("{message:?}") };
                    world.net.insert(wire, message);
                }
                Action::Write { attempt } => own.out = Some((attempt, Out::Allowed)),
                Action::Deliver { answer } => own.told = Some(Told::Served(answer)),
                Action::Refund => world.refunds += 1,
                Action::End(end) => own.told = Some(Told::Ended(end)),
            }
        }
    }

    fn with(&self, world: &mut World, gateway: u8, does: impl FnOnce(&mut Custodian, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        if let Some(custodian) = &mut world.gateways[usize::from(gateway)].custodian {
            does(custodian, &mut actions);
        }
        self.act(world, gateway, actions);
    }

    fn deliver(&self, world: &mut World, wire: &Wire, keeps: bool, heard: bool) {
        let message = if keeps { world.net.get(wire).cloned() } else { world.net.remove(wire) };
        let Some(message) = message else { return };
        let kept = &mut world.keepers[usize::from(wire.keeper)];
        let reply = match (self.mutant, &message) {
            (Mutant::PromiseForgotten, Message::Claim { term, claim }) if term.round == 0 => {
                Reply::Accepted { term: *term, claim: *claim }
            }
            _ => kept.0.handle(NOW, ID, message),
        };
        if heard {
            self.with(world, wire.gateway, |custodian, actions| custodian.reply(wire.keeper, reply, actions));
        }
    }
}

impl Model for Custody {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut gateways = vec![Gateway::default(); 1 + usize::from(self.takers)];
        gateways[0].custodian = self.owner.then(|| Custodian::owner(self.quorum(), 0));
        let keepers = (0..3).map(|_| Kept(Keeper::new(LIMITS, LONG_AGO))).collect();
        let net = BTreeMap::new();
        vec![World { gateways, keepers, net, runs: 0, refunds: 0, doubled: 0, restarts: 0 }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for wire in world.net.keys() {
            steps.push(Step::Deliver(wire.clone()));
            if self.lossy {
                steps.push(Step::Unheard(wire.clone()));
            }
            if world.doubled < self.doubled {
                steps.push(Step::Double(wire.clone()));
            }
        }
        if world.restarts < self.restarts {
            steps.extend((0..3).map(Step::Restart));
        }
        for (place, gateway) in world.gateways.iter().enumerate() {
            let place = place as u8;
            match &gateway.custodian {
                None if place > 0 && gateway.told.is_none() => steps.push(Step::TakeOver(place)),
                Some(custodian) if !custodian.over() => {
                    if custodian.holds() {
                        steps.push(Step::Attempt(place));
                        if self.refunds {
                            steps.push(Step::GiveUp(place));
                        }
                    }
                    if gateway.again < self.again {
                        steps.push(Step::Again(place));
                    }
                    steps.push(Step::Expire(place));
                    if place == 0 {
                        steps.push(Step::Crash(place));
                    }
                }
                _ => {}
            }
            // What was allowed may be written at any time later, also past the client's time, and it may run then.
            match gateway.out {
                Some((_, Out::Allowed)) if gateway.custodian.is_some() => steps.push(Step::Write(place)),
                Some((_, Out::Written)) => steps.extend([Step::Run(place), Step::NeverRan(place)]),
                Some((_, Out::Ran)) => steps.extend([Step::Heard(place), Step::Lost(place)]),
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Deliver(wire) => self.deliver(&mut world, &wire, false, true),
            Step::Unheard(wire) => self.deliver(&mut world, &wire, false, false),
            Step::Double(wire) => {
                world.doubled += 1;
                self.deliver(&mut world, &wire, true, true);
            }
            Step::Restart(place) => {
                world.restarts += 1;
                // One that has just started has no vote, and the model's time does not bring it back.
                let started = if self.mutant == Mutant::NoQuarantine { LONG_AGO } else { NOW };
                world.keepers[usize::from(place)] = Kept(Keeper::new(LIMITS, started));
            }
            Step::Crash(place) => world.gateways[usize::from(place)].custodian = None,
            Step::TakeOver(place) => {
                let mut actions = Vec::new();
                let holder = if self.mutant == Mutant::EqualTerms { 1 } else { u64::from(place) };
                let taker = Custodian::taker(self.quorum(), holder, &mut actions);
                world.gateways[usize::from(place)].custodian = Some(taker);
                self.act(&mut world, place, actions);
            }
            Step::Attempt(place) => self.with(&mut world, place, |custodian, actions| {
                custodian.attempt(actions);
            }),
            Step::GiveUp(place) => self.with(&mut world, place, |custodian, actions| {
                custodian.give_up(actions);
            }),
            Step::Again(place) => {
                world.gateways[usize::from(place)].again += 1;
                self.with(&mut world, place, Custodian::again);
            }
            Step::Expire(place) => self.with(&mut world, place, Custodian::expire),
            Step::Write(place) => {
                let (attempt, _) = world.gateways[usize::from(place)].out?;
                world.gateways[usize::from(place)].out = Some((attempt, Out::Written));
            }
            Step::Run(place) => {
                let (attempt, _) = world.gateways[usize::from(place)].out?;
                world.runs += 1;
                world.gateways[usize::from(place)].out = Some((attempt, Out::Ran));
            }
            Step::NeverRan(place) => {
                let (attempt, _) = world.gateways[usize::from(place)].out.take()?;
                self.with(&mut world, place, |custodian, actions| {
                    custodian.outcome(attempt, Outcome::NeverRan, actions);
                });
            }
            Step::Heard(place) => {
                let (attempt, _) = world.gateways[usize::from(place)].out.take()?;
                // Each run makes an answer of its own.
                let answer: Answer = vec![world.runs].into();
                self.with(&mut world, place, |custodian, actions| {
                    custodian.outcome(attempt, Outcome::Answered(answer), actions);
                });
            }
            Step::Lost(place) => {
                let (attempt, _) = world.gateways[usize::from(place)].out.take()?;
                let wrong = self.mutant == Mutant::ResentAfterMayHaveRun;
                let outcome = if wrong { Outcome::NeverRan } else { Outcome::MayHaveRun };
                self.with(&mut world, place, |custodian, actions| {
                    custodian.outcome(attempt, outcome, actions);
                });
            }
        }
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(RUNS_ONCE, |_: &Custody, world: &World| world.runs <= 1),
            Property::always("one answer", |_: &Custody, world: &World| {
                let told = world.gateways.iter().filter_map(|gateway| gateway.told.as_ref());
                let answers: Vec<_> = told.filter(|told| matches!(told, Told::Served(_))).collect();
                answers.windows(2).all(|pair| pair[0] == pair[1])
            }),
            Property::always(
                "units are given back once at most, and only of what never ran",
                |_, world: &World| world.refunds <= 1 && (world.refunds == 0 || world.runs == 0),
            ),
            Property::sometimes("a taker serves what the owner ran", |_, world: &World| {
                world.gateways[0].custodian.is_none()
                    && matches!(world.gateways[1].told, Some(Told::Served(_)))
                    && world.gateways[1].out.is_none()
            }),
            Property::sometimes("a taker runs what the owner did not", |_, world: &World| {
                world.gateways[0].custodian.is_none() && matches!(world.gateways[1].out, Some((_, Out::Ran)))
            }),
            Property::sometimes(SECOND, |_, world: &World| {
                world.gateways.iter().any(|gateway| gateway.out == Some((1, Out::Ran)))
            }),
            Property::sometimes("it is told that nothing is known", |_, world: &World| {
                world.gateways[1].told == Some(Told::Ended(End::NotKnown))
            }),
        ]
    }

    fn within_boundary(&self, world: &World) -> bool {
        let attempts = world.gateways.iter().filter_map(|gateway| gateway.out).map(|(attempt, _)| attempt);
        attempts.max().unwrap_or(0) < self.attempts
    }
}

fn small(mutant: Mutant) -> Custody {
    Custody {
        mutant,
        owner: true,
        takers: 1,
        again: 0,
        doubled: 0,
        restarts: 0,
        attempts: 1,
        refunds: false,
        lossy: false,
    }
}

/// What must never be, and what must be seen to happen.
struct Checked {
    states: usize,
    /// There are no more.
    all: bool,
    took: Duration,
    broken: Option<(&'static str, usize)>,
    unseen: Vec<&'static str>,
}

fn check(model: Custody, states: usize) -> Checked {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let start = Instant::now();
    let checker = model
        .checker()
        .threads(threads)
        .finish_when(HasDiscoveries::AnyFailures)
        .target_state_count(states)
        .spawn_bfs()
        .join();
    let found = checker.discoveries();
    let mut broken = None;
    let mut unseen = Vec::new();
    for property in checker.model().properties() {
        match (&property.expectation, found.get(property.name)) {
            (Expectation::Sometimes, None) => unseen.push(property.name),
            (Expectation::Always, Some(path)) => {
                let steps: Vec<_> = path.clone().into_actions().iter().map(Step::told).collect();
                println!("{}: {}", property.name, steps.join(", "));
                broken = Some((property.name, steps.len()));
            }
            _ => {}
        }
    }
    let all = checker.state_count() < states;
    Checked { states: checker.unique_state_count(), all, took: start.elapsed(), broken, unseen }
}

impl Step {
    /// A step of a trace, in a few words.
    fn told(&self) -> String {
        match self {
            Step::Deliver(Wire { gateway, keeper, text }) => format!("{gateway} to keeper {keeper}: {text}"),
            other => format!("{other:?}"),
        }
    }
}

const RUNS_ONCE: &str = "it runs once at most";
const SECOND: &str = "after an attempt that never ran another is made";
/// States that a search goes on to, repeated ones counted.
const MANY: usize = 3_000_000;
const LONG: usize = 16_000_000;

/// The states of an owner and a taker that make one attempt each, the nearest first, as far as a test has time.
#[test]
fn the_protocol_keeps_its_promises_and_gets_somewhere() {
    let checked = check(small(Mutant::None), MANY);
    println!("{} states in {:?}", checked.states, checked.took);
    assert_eq!((checked.broken, checked.unseen), (None, vec![SECOND]));
}

/// After any row of faults the network heals: whoever is left and never heard of an attempt that may be out gets its
/// answer, with two takers that began at once as well; the others are told that nothing is known.
#[test]
fn once_the_network_heals_each_request_ends() {
    let model = Custody {
        takers: 2,
        again: 2,
        doubled: 3,
        restarts: 1,
        attempts: 3,
        lossy: true,
        ..small(Mutant::None)
    };
    let (mut served, mut not_known) = (0, 0);
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = model.init_states().remove(0);
        for _ in 0..rng.usize(0..60) {
            let mut steps = Vec::new();
            model.actions(&world, &mut steps);
            steps.retain(|step| !matches!(step, Step::Expire(_)));
            let Some(step) = rng.choice(steps) else { break };
            world = model.next_state(&world, step).unwrap_or(world);
        }
        let waits = |gateway: &Gateway| gateway.custodian.as_ref().is_some_and(|custodian| !custodian.over());
        let mut turns = 0;
        while world.gateways.iter().any(waits) && turns < 600 {
            turns += 1;
            let mut steps = Vec::new();
            model.actions(&world, &mut steps);
            steps.retain(|step| {
                matches!(
                    step,
                    Step::Deliver(_) | Step::Attempt(_) | Step::Write(_) | Step::Run(_) | Step::Heard(_)
                )
            });
            match rng.choice(steps) {
                Some(step) => world = model.next_state(&world, step).unwrap_or(world),
                // All is quiet: whoever still waits says again what it waits for.
                None => {
                    let place = rng.u8(0..world.gateways.len() as u8);
                    model.with(&mut world, place, Custodian::again);
                }
            }
        }
        for place in 0..world.gateways.len() as u8 {
            let gateway = &world.gateways[usize::from(place)];
            if !waits(gateway) {
                served += usize::from(matches!(gateway.told, Some(Told::Served(_))));
                continue;
            }
            let custodian = gateway.custodian.clone();
            model.with(&mut world, place, Custodian::expire);
            let told = &world.gateways[usize::from(place)].told;
            assert!(
                matches!(told, Some(Told::Ended(End::NotKnown))),
                "seed {seed}: {told:?} of {custodian:?}"
            );
            let claimed = world.keepers.iter().filter_map(|kept| kept.0.record(ID)).any(Record::claimed);
            assert!(claimed, "seed {seed}: nothing stood in its way, {custodian:?}");
            not_known += 1;
        }
        assert!(world.runs <= 1, "seed {seed}");
    }
    println!("{served} served, {not_known} not known");
    assert!(served > 1_000 && not_known > 100);
}

/// Larger ones: `cargo test --release --test custody -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn long() {
    for (what, model) in [
        ("two takers without an owner", Custody { owner: false, takers: 2, ..small(Mutant::None) }),
        ("two attempts", Custody { attempts: 2, ..small(Mutant::None) }),
        ("refunds", Custody { refunds: true, ..small(Mutant::None) }),
        ("a restart", Custody { restarts: 1, ..small(Mutant::None) }),
        ("replies lost and said again", Custody { lossy: true, again: 1, ..small(Mutant::None) }),
        ("doubled", Custody { doubled: 1, ..small(Mutant::None) }),
        ("owner and two takers", Custody { takers: 2, ..small(Mutant::None) }),
        (
            "all of it",
            Custody {
                attempts: 2,
                refunds: true,
                restarts: 1,
                lossy: true,
                again: 1,
                doubled: 1,
                takers: 2,
                ..small(Mutant::None)
            },
        ),
    ] {
        let checked = check(model, LONG);
        let Checked { states, all, took, unseen, .. } = &checked;
        println!("{what}: {states} states (all: {all}) in {took:?}, not seen: {unseen:?}");
        assert_eq!(checked.broken, None, "{what}");
    }
}

#[test]
fn each_mutant_is_caught() {
    for (mutant, restarts) in [
        (Mutant::PromiseForgotten, 0),
        (Mutant::NoQuarantine, 1),
        (Mutant::QuorumOfTheReachable, 0),
        (Mutant::ReadingTooFew, 0),
        (Mutant::EqualTerms, 0),
        (Mutant::ResentAfterMayHaveRun, 0),
        (Mutant::WrittenTooEarly, 0),
    ] {
        // Two takers, where the owner would only make the search longer.
        let owner = mutant != Mutant::EqualTerms;
        let attempts = if mutant == Mutant::ResentAfterMayHaveRun { 2 } else { 1 };
        let takers = if owner { 1 } else { 2 };
        let model = Custody { restarts, owner, takers, attempts, ..small(mutant) };
        let checked = check(model, 4_000_000);
        println!("{mutant:?}: {} states in {:?}", checked.states, checked.took);
        assert!(checked.broken.is_some_and(|(rule, steps)| rule == RUNS_ONCE && steps > 0), "{mutant:?}");
    }
}

/// Shares of requests whose keepers can still agree, for sizes of quorums and losses: 300 gateways in three zones.
/// `cargo test --release --test custody quorums -- --ignored --nocapture`
#[test]
#[ignore = "measures; it asserts nothing that the others do not"]
fn quorums() {
    const GATEWAYS: u32 = 300;
    const REQUESTS: u128 = 20_000;
    let fleet: Vec<_> = (0..GATEWAYS).map(|member| Candidate { member, zone: member % 3 }).collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut killed: Vec<_> = (0..GATEWAYS).collect();
    rng.shuffle(&mut killed);
    killed.truncate(210);
    type Lost<'a> = &'a dyn Fn(u32) -> bool;
    let losses: [(&str, Lost); 4] = [
        ("one gateway", &|member| member == 0),
        ("one zone", &|member| member % 3 == 0),
        ("the larger side of a split", &|member| member % 3 > 0),
        ("210 of 300", &|member| killed.contains(&member)),
    ];
    println!(
        "keepers write read: share that can be claimed, and share that can be taken over, by what is lost"
    );
    for (count, write, read) in [(3, 2, 2), (3, 3, 1), (5, 3, 3), (5, 4, 2), (7, 4, 4)] {
        let quorum = Quorum::new(count, write, read);
        let shares: Vec<_> = losses
            .iter()
            .map(|(what, lost)| {
                let (mut claimed, mut taken) = (0, 0);
                for id in 0..REQUESTS {
                    let chosen = keepers(id, &fleet, usize::from(count));
                    let left = chosen.iter().filter(|member| !lost(**member)).count();
                    claimed += usize::from(left >= usize::from(write));
                    taken += usize::from(left >= usize::from(write.max(read)));
                }
                let share = |number: usize| 100.0 * number as f64 / REQUESTS as f64;
                format!("{what} {:.1}%, {:.1}%", share(claimed), share(taken))
            })
            .collect();
        println!("{count} {write} {read} ({}): {}", quorum.is_ok(), shares.join("; "));
    }
}
