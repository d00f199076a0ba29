//! Model checking of request takeover: an owner, other gateways and three replicas, on a network that loses,
//! duplicates and reorders messages, with crashes, restarts that lose memory, and pauses between any two
//! steps.
#![allow(missing_docs)]

use oakfall::custody::*;
use stateright::{Checker, Expectation, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

const ID: RequestId = 7;
const LIMITS: Limits = Limits { max_records: 4, max_response_bytes: 4096, lifetime_ms: 1000.0 };
/// Time doesn't advance in the model; expiry of records is covered by the replica's unit tests.
const NOW: f64 = 0.0;
/// Start time of a replica that already votes.
const VOTING_SINCE: f64 = NOW - LIMITS.lifetime_ms;

/// A fault injected into the protocol that the checker must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutant {
    None,
    /// Replicas accept the first owner's claims after a later read.
    PromiseIgnored,
    /// A restarted replica votes at once.
    VoteAfterRestart,
    /// One reachable replica is a quorum.
    QuorumOfOne,
    /// The read quorum doesn't overlap every write quorum.
    ReadQuorumTooSmall,
    /// Two gateways use the same term.
    EqualTerms,
    /// An attempt that may have run is reported as never run.
    ResentAfterMayHaveRun,
    /// An attempt is sent before a write quorum has accepted its claim.
    WriteQuorumTooSmall,
}

#[derive(Clone, Debug)]
struct ModelReplica(Replica);

impl ModelReplica {
    fn observable(&self) -> (Option<&Record>, bool) {
        (self.0.record(ID), self.0.can_vote(NOW))
    }
}

impl PartialEq for ModelReplica {
    fn eq(&self, other: &ModelReplica) -> bool {
        self.observable() == other.observable()
    }
}

impl Eq for ModelReplica {}

impl Hash for ModelReplica {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.observable().hash(state);
    }
}

/// Progress of an attempt whose claim was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum AttemptProgress {
    Accepted,
    Sent,
    Ran,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Gateway {
    coordinator: Option<Coordinator>,
    attempt: Option<(u8, AttemptProgress)>,
    /// What the client received.
    result: Option<ClientResult>,
    retries: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ClientResult {
    Served(Response),
    Failed(Failure),
}

/// A message in flight. `text` orders the messages of one gateway to one replica. A reply is received in the
/// step that delivers the message, or lost: a late reply is the same as a pause of the gateway after the
/// reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct InFlightMessage {
    gateway: u8,
    replica: u8,
    text: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    gateways: Vec<Gateway>,
    replicas: Vec<ModelReplica>,
    net: BTreeMap<InFlightMessage, Message>,
    runs: u8,
    refunds: u8,
    duplicates: u8,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver(InFlightMessage),
    /// The message is delivered and its reply is lost.
    DeliverAndLoseReply(InFlightMessage),
    Duplicate(InFlightMessage),
    Restart(u8),
    Crash(u8),
    TakeOver(u8),
    Attempt(u8),
    Cancel(u8),
    Retry(u8),
    ReachDeadline(u8),
    Send(u8),
    Run(u8),
    NeverRan(u8),
    ResponseReceived(u8),
    ResponseLost(u8),
}

#[derive(Clone)]
struct TakeoverModel {
    mutant: Mutant,
    /// Whether the first owner exists (it may crash at any step) or crashed before its first claim.
    owner: bool,
    successors: u8,
    retries: u8,
    duplicates: u8,
    restarts: u8,
    attempts: u8,
    refunds: bool,
    lossy: bool,
}

impl TakeoverModel {
    fn quorum(&self) -> Quorum {
        match self.mutant {
            Mutant::QuorumOfOne => Quorum { replicas: 3, write: 1, read: 1 },
            Mutant::ReadQuorumTooSmall => Quorum { replicas: 3, write: 2, read: 1 },
            Mutant::WriteQuorumTooSmall => Quorum { replicas: 3, write: 1, read: 2 },
            _ => Quorum::new(3, 2, 2).unwrap(),
        }
    }

    fn apply(&self, state: &mut ModelState, gateway: u8, actions: Vec<Action>) {
        for action in actions {
            let own_gateway = &mut state.gateways[usize::from(gateway)];
            match action {
                Action::Send { to, message } => {
                    let in_flight = InFlightMessage { gateway, replica: to, text: format!("{message:?}") };
                    state.net.insert(in_flight, message);
                }
                Action::SendAttempt { attempt } => {
                    own_gateway.attempt = Some((attempt, AttemptProgress::Accepted))
                }
                Action::Respond { response } => own_gateway.result = Some(ClientResult::Served(response)),
                Action::Refund => state.refunds += 1,
                Action::Fail(failure) => own_gateway.result = Some(ClientResult::Failed(failure)),
            }
        }
    }

    fn drive(
        &self, state: &mut ModelState, gateway: u8, update: impl FnOnce(&mut Coordinator, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        if let Some(coordinator) = &mut state.gateways[usize::from(gateway)].coordinator {
            update(coordinator, &mut actions);
        }
        self.apply(state, gateway, actions);
    }

    fn deliver(
        &self, state: &mut ModelState, in_flight: &InFlightMessage, duplicate: bool, reply_received: bool,
    ) {
        let message = if duplicate { state.net.get(in_flight).cloned() } else { state.net.remove(in_flight) };
        let Some(message) = message else { return };
        let replica = &mut state.replicas[usize::from(in_flight.replica)];
        let reply = match (self.mutant, &message) {
            (Mutant::PromiseIgnored, Message::Claim { term, claim }) if term.round == 0 => {
                Reply::Accepted { term: *term, claim: *claim }
            }
            _ => replica.0.handle(NOW, ID, message),
        };
        if reply_received {
            self.drive(state, in_flight.gateway, |coordinator, actions| {
                coordinator.handle_reply(in_flight.replica, reply, actions)
            });
        }
    }
}

impl Model for TakeoverModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let mut gateways = vec![Gateway::default(); 1 + usize::from(self.successors)];
        gateways[0].coordinator = self.owner.then(|| Coordinator::first_owner(self.quorum(), 0));
        let replicas = (0..3).map(|_| ModelReplica(Replica::new(LIMITS, VOTING_SINCE))).collect();
        let net = BTreeMap::new();
        vec![ModelState { gateways, replicas, net, runs: 0, refunds: 0, duplicates: 0, restarts: 0 }]
    }

    fn actions(&self, state: &ModelState, steps: &mut Vec<Step>) {
        for in_flight in state.net.keys() {
            steps.push(Step::Deliver(in_flight.clone()));
            if self.lossy {
                steps.push(Step::DeliverAndLoseReply(in_flight.clone()));
            }
            if state.duplicates < self.duplicates {
                steps.push(Step::Duplicate(in_flight.clone()));
            }
        }
        if state.restarts < self.restarts {
            steps.extend((0..3).map(Step::Restart));
        }
        for (index, gateway) in state.gateways.iter().enumerate() {
            let index = index as u8;
            match &gateway.coordinator {
                None if index > 0 && gateway.result.is_none() => steps.push(Step::TakeOver(index)),
                Some(coordinator) if !coordinator.is_finished() => {
                    if coordinator.can_claim() {
                        steps.push(Step::Attempt(index));
                        if self.refunds {
                            steps.push(Step::Cancel(index));
                        }
                    }
                    if gateway.retries < self.retries {
                        steps.push(Step::Retry(index));
                    }
                    steps.push(Step::ReachDeadline(index));
                    if index == 0 {
                        steps.push(Step::Crash(index));
                    }
                }
                _ => {}
            }
            // An accepted attempt may be sent at any later time, also after the client's deadline, and run
            // then.
            match gateway.attempt {
                Some((_, AttemptProgress::Accepted)) if gateway.coordinator.is_some() => {
                    steps.push(Step::Send(index))
                }
                Some((_, AttemptProgress::Sent)) => steps.extend([Step::Run(index), Step::NeverRan(index)]),
                Some((_, AttemptProgress::Ran)) => {
                    steps.extend([Step::ResponseReceived(index), Step::ResponseLost(index)])
                }
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &ModelState, step: Step) -> Option<ModelState> {
        let mut state = last.clone();
        match step {
            Step::Deliver(in_flight) => self.deliver(&mut state, &in_flight, false, true),
            Step::DeliverAndLoseReply(in_flight) => self.deliver(&mut state, &in_flight, false, false),
            Step::Duplicate(in_flight) => {
                state.duplicates += 1;
                self.deliver(&mut state, &in_flight, true, true);
            }
            Step::Restart(index) => {
                state.restarts += 1;
                // A restarted replica doesn't vote, and time doesn't advance until it does.
                let started = if self.mutant == Mutant::VoteAfterRestart { VOTING_SINCE } else { NOW };
                state.replicas[usize::from(index)] = ModelReplica(Replica::new(LIMITS, started));
            }
            Step::Crash(index) => state.gateways[usize::from(index)].coordinator = None,
            Step::TakeOver(index) => {
                let mut actions = Vec::new();
                let process = if self.mutant == Mutant::EqualTerms { 1 } else { u64::from(index) };
                let successor = Coordinator::take_over(self.quorum(), process, &mut actions);
                state.gateways[usize::from(index)].coordinator = Some(successor);
                self.apply(&mut state, index, actions);
            }
            Step::Attempt(index) => self.drive(&mut state, index, |coordinator, actions| {
                coordinator.claim_attempt(actions);
            }),
            Step::Cancel(index) => self.drive(&mut state, index, |coordinator, actions| {
                coordinator.claim_cancellation(actions);
            }),
            Step::Retry(index) => {
                state.gateways[usize::from(index)].retries += 1;
                self.drive(&mut state, index, Coordinator::retry);
            }
            Step::ReachDeadline(index) => self.drive(&mut state, index, Coordinator::reach_deadline),
            Step::Send(index) => {
                let (attempt, _) = state.gateways[usize::from(index)].attempt?;
                state.gateways[usize::from(index)].attempt = Some((attempt, AttemptProgress::Sent));
            }
            Step::Run(index) => {
                let (attempt, _) = state.gateways[usize::from(index)].attempt?;
                state.runs += 1;
                state.gateways[usize::from(index)].attempt = Some((attempt, AttemptProgress::Ran));
            }
            Step::NeverRan(index) => {
                let (attempt, _) = state.gateways[usize::from(index)].attempt.take()?;
                self.drive(&mut state, index, |coordinator, actions| {
                    coordinator.attempt_finished(attempt, Outcome::NeverRan, actions);
                });
            }
            Step::ResponseReceived(index) => {
                let (attempt, _) = state.gateways[usize::from(index)].attempt.take()?;
                // Each run makes a different response.
                let response: Response = vec![state.runs].into();
                self.drive(&mut state, index, |coordinator, actions| {
                    coordinator.attempt_finished(attempt, Outcome::Responded(response), actions);
                });
            }
            Step::ResponseLost(index) => {
                let (attempt, _) = state.gateways[usize::from(index)].attempt.take()?;
                let faulty = self.mutant == Mutant::ResentAfterMayHaveRun;
                let outcome = if faulty { Outcome::NeverRan } else { Outcome::MayHaveRun };
                self.drive(&mut state, index, |coordinator, actions| {
                    coordinator.attempt_finished(attempt, outcome, actions);
                });
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(RUNS_ONCE, |_: &TakeoverModel, state: &ModelState| state.runs <= 1),
            Property::always("all clients get the same response", |_: &TakeoverModel, state: &ModelState| {
                let results = state.gateways.iter().filter_map(|gateway| gateway.result.as_ref());
                let responses: Vec<_> =
                    results.filter(|result| matches!(result, ClientResult::Served(_))).collect();
                responses.windows(2).all(|pair| pair[0] == pair[1])
            }),
            Property::always(
                "units are refunded at most once, and only if the request never ran",
                |_, state: &ModelState| state.refunds <= 1 && (state.refunds == 0 || state.runs == 0),
            ),
            Property::sometimes(
                "a successor serves the response to the attempt of the owner",
                |_, state: &ModelState| {
                    state.gateways[0].coordinator.is_none()
                        && matches!(state.gateways[1].result, Some(ClientResult::Served(_)))
                        && state.gateways[1].attempt.is_none()
                },
            ),
            Property::sometimes(
                "a successor runs the request instead of the owner",
                |_, state: &ModelState| {
                    state.gateways[0].coordinator.is_none()
                        && matches!(state.gateways[1].attempt, Some((_, AttemptProgress::Ran)))
                },
            ),
            Property::sometimes(SECOND_ATTEMPT, |_, state: &ModelState| {
                state.gateways.iter().any(|gateway| gateway.attempt == Some((1, AttemptProgress::Ran)))
            }),
            Property::sometimes("a client is informed of an unknown outcome", |_, state: &ModelState| {
                state.gateways[1].result == Some(ClientResult::Failed(Failure::OutcomeUnknown))
            }),
        ]
    }

    fn within_boundary(&self, state: &ModelState) -> bool {
        let attempts =
            state.gateways.iter().filter_map(|gateway| gateway.attempt).map(|(attempt, _)| attempt);
        attempts.max().unwrap_or(0) < self.attempts
    }
}

fn small_model(mutant: Mutant) -> TakeoverModel {
    TakeoverModel {
        mutant,
        owner: true,
        successors: 1,
        retries: 0,
        duplicates: 0,
        restarts: 0,
        attempts: 1,
        refunds: false,
        lossy: false,
    }
}

/// Result of a search.
struct Checked {
    states: usize,
    /// Whether the search visited every reachable state.
    exhausted: bool,
    elapsed: Duration,
    violated: Option<(&'static str, usize)>,
    unreached: Vec<&'static str>,
}

fn check(model: TakeoverModel, states: usize) -> Checked {
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
    let mut violated = None;
    let mut unreached = Vec::new();
    for property in checker.model().properties() {
        match (&property.expectation, found.get(property.name)) {
            (Expectation::Sometimes, None) => unreached.push(property.name),
            (Expectation::Always, Some(path)) => {
                let steps: Vec<_> = path.clone().into_actions().iter().map(Step::describe).collect();
                println!("{}: {}", property.name, steps.join(", "));
                violated = Some((property.name, steps.len()));
            }
            _ => {}
        }
    }
    let exhausted = checker.state_count() < states;
    Checked { states: checker.unique_state_count(), exhausted, elapsed: start.elapsed(), violated, unreached }
}

impl Step {
    /// Formats a step of a trace.
    fn describe(&self) -> String {
        match self {
            Step::Deliver(InFlightMessage { gateway, replica, text }) => {
                format!("{gateway} to replica {replica}: {text}")
            }
            other => format!("{other:?}"),
        }
    }
}

const RUNS_ONCE: &str = "the request runs at most once";
const SECOND_ATTEMPT: &str = "a second attempt follows one that never ran";
/// Limits on the generated states, including repeated ones.
const MAX_STATES: usize = 3_000_000;
const MAX_STATES_LARGE: usize = 16_000_000;

/// Checks safety and reachability for an owner and one other gateway with one attempt each, breadth-first up
/// to a limit.
#[test]
fn the_protocol_is_safe_and_makes_progress() {
    let checked = check(small_model(Mutant::None), MAX_STATES);
    println!("{} states in {:?}", checked.states, checked.elapsed);
    assert_eq!((checked.violated, checked.unreached), (None, vec![SECOND_ATTEMPT]));
}

/// After random faults the network heals. Every remaining gateway then gets the response, unless an attempt
/// may have run: then the client receives an unknown outcome.
#[test]
fn every_request_ends_once_the_network_heals() {
    let model = TakeoverModel {
        successors: 2,
        retries: 2,
        duplicates: 3,
        restarts: 1,
        attempts: 3,
        lossy: true,
        ..small_model(Mutant::None)
    };
    let (mut served, mut unknown_outcomes) = (0, 0);
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut state = model.init_states().remove(0);
        for _ in 0..rng.usize(0..60) {
            let mut steps = Vec::new();
            model.actions(&state, &mut steps);
            steps.retain(|step| !matches!(step, Step::ReachDeadline(_)));
            let Some(step) = rng.choice(steps) else { break };
            state = model.next_state(&state, step).unwrap_or(state);
        }
        let is_waiting = |gateway: &Gateway| {
            gateway.coordinator.as_ref().is_some_and(|coordinator| !coordinator.is_finished())
        };
        let mut turns = 0;
        while state.gateways.iter().any(is_waiting) && turns < 600 {
            turns += 1;
            let mut steps = Vec::new();
            model.actions(&state, &mut steps);
            steps.retain(|step| {
                matches!(
                    step,
                    Step::Deliver(_)
                        | Step::Attempt(_)
                        | Step::Send(_)
                        | Step::Run(_)
                        | Step::ResponseReceived(_)
                )
            });
            match rng.choice(steps) {
                Some(step) => state = model.next_state(&state, step).unwrap_or(state),
                // No message is left: a waiting gateway retries.
                None => {
                    let index = rng.u8(0..state.gateways.len() as u8);
                    model.drive(&mut state, index, Coordinator::retry);
                }
            }
        }
        for index in 0..state.gateways.len() as u8 {
            let gateway = &state.gateways[usize::from(index)];
            if !is_waiting(gateway) {
                served += usize::from(matches!(gateway.result, Some(ClientResult::Served(_))));
                continue;
            }
            let coordinator = gateway.coordinator.clone();
            model.drive(&mut state, index, Coordinator::reach_deadline);
            let result = &state.gateways[usize::from(index)].result;
            assert!(
                matches!(result, Some(ClientResult::Failed(Failure::OutcomeUnknown))),
                "seed {seed}: {result:?} of {coordinator:?}"
            );
            let claimed = state
                .replicas
                .iter()
                .filter_map(|replica| replica.0.record(ID))
                .any(Record::has_claimed_attempt);
            assert!(
                claimed,
                "seed {seed}: no attempt was claimed, yet the request was not completed: {coordinator:?}"
            );
            unknown_outcomes += 1;
        }
        assert!(state.runs <= 1, "seed {seed}");
    }
    println!("{served} served, {unknown_outcomes} with unknown outcome");
    assert!(served > 1_000 && unknown_outcomes > 100);
}

/// Larger models: `cargo test --release --test custody -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn larger_models_are_safe() {
    for (what, model) in [
        (
            "two successors without an owner",
            TakeoverModel { owner: false, successors: 2, ..small_model(Mutant::None) },
        ),
        ("two attempts", TakeoverModel { attempts: 2, ..small_model(Mutant::None) }),
        ("refunds", TakeoverModel { refunds: true, ..small_model(Mutant::None) }),
        ("a replica restart", TakeoverModel { restarts: 1, ..small_model(Mutant::None) }),
        ("lost replies and retries", TakeoverModel { lossy: true, retries: 1, ..small_model(Mutant::None) }),
        ("duplicated messages", TakeoverModel { duplicates: 1, ..small_model(Mutant::None) }),
        ("an owner and two successors", TakeoverModel { successors: 2, ..small_model(Mutant::None) }),
        (
            "all faults",
            TakeoverModel {
                attempts: 2,
                refunds: true,
                restarts: 1,
                lossy: true,
                retries: 1,
                duplicates: 1,
                successors: 2,
                ..small_model(Mutant::None)
            },
        ),
    ] {
        let checked = check(model, MAX_STATES_LARGE);
        let Checked { states, exhausted, elapsed, unreached, .. } = &checked;
        println!(
            "{what}: {states} states (exhausted: {exhausted}) in {elapsed:?}, not reached: {unreached:?}"
        );
        assert_eq!(checked.violated, None, "{what}");
    }
}

#[test]
fn each_mutant_is_caught() {
    for (mutant, restarts) in [
        (Mutant::PromiseIgnored, 0),
        (Mutant::VoteAfterRestart, 1),
        (Mutant::QuorumOfOne, 0),
        (Mutant::ReadQuorumTooSmall, 0),
        (Mutant::EqualTerms, 0),
        (Mutant::ResentAfterMayHaveRun, 0),
        (Mutant::WriteQuorumTooSmall, 0),
    ] {
        // `EqualTerms` needs two other gateways; the owner would only make the search longer.
        let owner = mutant != Mutant::EqualTerms;
        let attempts = if mutant == Mutant::ResentAfterMayHaveRun { 2 } else { 1 };
        let successors = if owner { 1 } else { 2 };
        let model = TakeoverModel { restarts, owner, successors, attempts, ..small_model(mutant) };
        let checked = check(model, 4_000_000);
        println!("{mutant:?}: {} states in {:?}", checked.states, checked.elapsed);
        assert!(checked.violated.is_some_and(|(rule, steps)| rule == RUNS_ONCE && steps > 0), "{mutant:?}");
    }
}

/// Shares of requests that still have a quorum, by quorum size and failure: 300 gateways in three zones.
/// `cargo test --release --test custody quorums -- --ignored --nocapture`
#[test]
#[ignore = "measures; prints figures only"]
fn print_availability_of_quorums() {
    const GATEWAYS: u32 = 300;
    const REQUESTS: u128 = 20_000;
    let gateways: Vec<_> = (0..GATEWAYS).map(|gateway| Candidate { gateway, zone: gateway % 3 }).collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut killed: Vec<_> = (0..GATEWAYS).collect();
    rng.shuffle(&mut killed);
    killed.truncate(210);
    type IsLost<'a> = &'a dyn Fn(u32) -> bool;
    let losses: [(&str, IsLost); 4] = [
        ("one gateway", &|gateway| gateway == 0),
        ("one zone", &|gateway| gateway % 3 == 0),
        ("the larger side of a split", &|gateway| gateway % 3 > 0),
        ("210 of 300", &|gateway| killed.contains(&gateway)),
    ];
    println!(
        "replicas, write, read: shares of requests that can be claimed and that can be taken over, by failure"
    );
    for (count, write, read) in [(3, 2, 2), (3, 3, 1), (5, 3, 3), (5, 4, 2), (7, 4, 4)] {
        let quorum = Quorum::new(count, write, read);
        let shares: Vec<_> = losses
            .iter()
            .map(|(what, is_lost)| {
                let (mut claimed, mut taken_over) = (0, 0);
                for id in 0..REQUESTS {
                    let chosen = select_replicas(id, &gateways, usize::from(count));
                    let remaining = chosen.iter().filter(|gateway| !is_lost(**gateway)).count();
                    claimed += usize::from(remaining >= usize::from(write));
                    taken_over += usize::from(remaining >= usize::from(write.max(read)));
                }
                let share = |number: usize| 100.0 * number as f64 / REQUESTS as f64;
                format!("{what} {:.1}%, {:.1}%", share(claimed), share(taken_over))
            })
            .collect();
        println!("{count} {write} {read} ({}): {}", quorum.is_ok(), shares.join("; "));
    }
}
