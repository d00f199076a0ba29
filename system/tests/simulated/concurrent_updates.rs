//! Concurrent operators' requests: up to one per slot in flight at once, with the same base and the same
//! edition; whole configurations and patches, invalid ones, and ones on top of older or future editions. Each
//! is retried until its outcome is known, at any core process and with different bytes, and some are sent
//! again later. The reference model's list of versions is the expected result.

use super::callers::{config_body, parse_config, Caller};
use super::{Endpoint, World};
use oakfall_system::api::Reply;
use oakfall_system::protocol::{Change, ChangeKind, CorePayload, StateSnapshot};
use oakfall_system::raft::{RaftMessage, RaftPayload, Save};
use prost::Message;
use std::collections::BTreeMap;

/// How long a request is retried.
const REQUEST_TIMEOUT_MS: f64 = 12_000.0;
/// Requests that are sent again later are drawn from this many of the latest.
const MAX_RESEND_CANDIDATES: usize = 40;

/// A request, and what is expected of it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The version that it puts; none for a read or an evacuation.
    pub version_id: Option<usize>,
    pub edition: u64,
    pub based_on: u64,
    pub valid: bool,
    pub path: String,
    /// Equivalent bodies of different bytes.
    pub bodies: Vec<String>,
    /// Its index in [`ConcurrentRequests::zone_requests`].
    pub zone_request: Option<usize>,
}

/// A request to start or end the evacuation of a zone.
pub struct ZoneRequest {
    pub zone: usize,
    pub start: bool,
    pub sent_at: f64,
    pub acknowledged_at: Option<f64>,
}

/// A request in flight.
pub struct Task {
    request: Request,
    first_sent_at: f64,
    last_sent_at: f64,
    attempts: u32,
}

/// How long a request took to be acknowledged, and how many were in flight then.
pub struct Latency {
    pub ms: f64,
    pub in_flight: usize,
}

/// A deliberate fault, simulated by altering messages, saves and responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Followers apply a configuration without checking the edition that it is based on.
    BaseCheckedOnlyAtProposal,
    /// Snapshots lack the outcomes of earlier requests.
    OutcomesMissingFromSnapshot,
    /// A different configuration with an edition that exists is acknowledged as a retry.
    RetryRecognizedByEditionOnly,
    /// A request is acknowledged as soon as one member has applied it.
    AcknowledgedByOneMember,
    /// A request that timed out is reported as rejected.
    TimeoutReportedAsRejection,
    /// Any member answers reads, without a lease.
    ReadWithoutLease,
}

impl Mutant {
    fn alter_state(self, bytes: &mut Vec<u8>) {
        let Ok(mut snapshot) = StateSnapshot::decode(&bytes[..]) else { return };
        if self == Mutant::OutcomesMissingFromSnapshot {
            (snapshot.update_outcomes, snapshot.legacy_call_digests) = (None, Vec::new());
            *bytes = snapshot.encode_to_vec();
        }
    }

    pub fn alter_save(self, save: &mut Save) {
        if let Some(snapshot) = &mut save.snapshot {
            self.alter_state(&mut snapshot.state);
        }
    }

    pub fn alter_message(self, message: &mut CorePayload) {
        let CorePayload::Raft(RaftMessage { payload: Some(payload) }) = message else { return };
        match payload {
            RaftPayload::InstallSnapshot(install) => self.alter_state(&mut install.state),
            RaftPayload::AppendEntries(append) if self == Mutant::BaseCheckedOnlyAtProposal => {
                for entry in append.entries.iter_mut().filter(|entry| !entry.data.is_empty()) {
                    let Ok(mut change) = Change::decode(&entry.data[..]) else { continue };
                    if let Some(ChangeKind::Config(config)) = &mut change.kind {
                        config.based_on = None;
                        entry.data = change.encode_to_vec();
                    }
                }
            }
            _ => {}
        }
    }
}

/// The concurrent requests, and what is known of them.
#[derive(Default)]
pub struct ConcurrentRequests {
    pub mutant: Option<Mutant>,
    pub slots: Vec<Option<Task>>,
    /// The newest edition that any operator knows.
    pub known_edition: u64,
    /// All updates of the configuration, by version id.
    pub requests: BTreeMap<usize, Request>,
    /// Number of requests still to be sent.
    pub remaining: usize,
    /// The version that some core process applied for each edition.
    pub applied: BTreeMap<u64, usize>,
    /// Whether retries are sent with the same bytes.
    pub same_bytes: bool,
    /// Fractions of new configurations, patches, invalid ones, ones based on another edition, requests sent
    /// again, and evacuations; the rest are reads.
    pub request_mix: [f64; 6],
    pub zone_requests: Vec<ZoneRequest>,
    pub pause_ms: f64,
    pub latencies: Vec<Latency>,
    /// Number of requests whose outcome remained unknown.
    pub unresolved: usize,
}

impl ConcurrentRequests {
    pub fn new(slots: usize, requests: usize) -> Self {
        ConcurrentRequests {
            slots: (0..slots).map(|_| None).collect(),
            remaining: requests,
            request_mix: [0.42, 0.16, 0.07, 0.05, 0.14, 0.1],
            pause_ms: 100.0,
            ..ConcurrentRequests::default()
        }
    }

    fn in_flight(&self) -> usize {
        self.slots.iter().flatten().filter(|task| task.request.version_id.is_some()).count()
    }
}

/// Starts sending this number of requests in these slots.
pub fn start(world: &mut World, slots: usize, requests: usize) {
    world.concurrent_requests = ConcurrentRequests::new(slots, requests);
    for slot in 0..slots {
        let after = world.rng.f64() * 300.0;
        world.schedule_turn(after, Caller::RequestSlot(slot));
    }
}

/// The same JSON object with its members in another order, and with white space.
fn reorder_members(body: &str) -> String {
    let (first, rest) = body[1..body.len() - 1].split_once(',').expect("several members");
    format!("{{ {rest} ,\n {first} }}")
}

fn patch_body(edition: u64, based_on: u64, version_id: usize) -> String {
    format!(
        r#"{{"edition":"r{edition}","deliver":{{"patrons":[{{"name":"t","stamps":["k{version_id}"],"priority":0,"per_s":10,"burst":10,"home_regions":[]}}]}},"withdraw":{{"routes":["no-such-route"]}},"based_on":"r{based_on}"}}"#
    )
}

fn update(version_id: usize, edition: u64, based_on: u64, path: &str, body: String) -> Request {
    let bodies = vec![reorder_members(&body), body];
    Request {
        version_id: Some(version_id),
        edition,
        based_on,
        valid: true,
        path: path.to_owned(),
        bodies,
        zone_request: None,
    }
}

fn put(world: &mut World, edition: u64, based_on: u64) -> Request {
    let version_id = world.model.add_version(world.now, edition, based_on);
    let body = config_body(edition, based_on, version_id as u64);
    update(version_id, edition, based_on, "/api/Config.Put", body)
}

fn read() -> Request {
    let (path, bodies) = ("/api/Config.Get".to_owned(), vec![String::new()]);
    Request { version_id: None, edition: 0, based_on: 0, valid: true, path, bodies, zone_request: None }
}

fn random_request(world: &mut World) -> Request {
    let (chance, known) = (world.rng.f64(), world.concurrent_requests.known_edition);
    let step = world.rng.u64(1..3);
    let [new, patch, invalid, other_base, resend, zone] = world.concurrent_requests.request_mix;
    let mut upper_bound = 0.0;
    let mut is = |fraction: f64| {
        upper_bound += fraction;
        chance < upper_bound
    };
    let first =
        known == 0 && new > 0.0 && (world.concurrent_requests.requests.is_empty() || world.rng.bool());
    let request = if first || is(new) {
        put(world, known + step, known)
    } else if known > 0 && is(patch) {
        let version_id = world.model.add_version(world.now, known + step, known);
        let body = patch_body(known + step, known, version_id);
        update(version_id, known + step, known, "/api/Config.Patch", body)
    } else if is(invalid) {
        // With an edition that is free or taken.
        let edition = if world.rng.bool() { known } else { known + step };
        let mut request = put(world, edition, known);
        for body in &mut request.bodies {
            *body = body.replace("\"service\":\"s\"", "\"service\":\"x\"");
        }
        Request { valid: false, ..request }
    } else if is(other_base) {
        // Based on an edition that was replaced, or that may exist later.
        let distance = world.rng.u64(1..5);
        if world.rng.bool() {
            put(world, known + step, known.saturating_sub(distance))
        } else {
            put(world, known + distance + step, known + distance)
        }
    } else if (known == 0 && new > 0.0) || is(resend) {
        let candidates: Vec<_> =
            world.concurrent_requests.requests.keys().rev().take(MAX_RESEND_CANDIDATES).copied().collect();
        world.concurrent_requests.requests[&candidates[world.rng.usize(0..candidates.len())]].clone()
    } else if is(zone) {
        let (zone, start) = (world.rng.usize(0..2), world.rng.bool());
        world.concurrent_requests.zone_requests.push(ZoneRequest {
            zone,
            start,
            sent_at: world.now,
            acknowledged_at: None,
        });
        let path = format!("/api/Evacuate.{}/z{zone}", if start { "Start" } else { "End" });
        Request { path, zone_request: Some(world.concurrent_requests.zone_requests.len() - 1), ..read() }
    } else {
        read()
    };
    if let Some(version_id) = request.version_id {
        world.concurrent_requests.requests.entry(version_id).or_insert_with(|| request.clone());
    }
    request
}

/// Sends or retries a slot's request.
pub fn take_turn(world: &mut World, slot: usize) {
    let now = world.now;
    if world.concurrent_requests.slots[slot].is_none() {
        if world.concurrent_requests.remaining == 0 || !world.callers.operators_active {
            return;
        }
        world.concurrent_requests.remaining -= 1;
        let request = random_request(world);
        world.concurrent_requests.slots[slot] =
            Some(Task { request, first_sent_at: now, last_sent_at: now, attempts: 0 });
    }
    let core = world.rng.usize(0..world.cores.len());
    let body_index = if world.concurrent_requests.same_bytes { 0 } else { world.rng.usize(0..2) };
    let Some(task) = &mut world.concurrent_requests.slots[slot] else { return };
    (task.attempts, task.last_sent_at) = (task.attempts + 1, now);
    let body = task.request.bodies[body_index.min(task.request.bodies.len() - 1)].clone().into_bytes();
    let reads = task.request.version_id.is_none() && task.request.zone_request.is_none();
    let (method, path) = (if reads { "GET" } else { "POST" }, task.request.path.clone());
    let token = super::callers::send_call(world, Caller::RequestSlot(slot), core, method, path, body);
    if let (true, Some(Mutant::ReadWithoutLease)) = (reads, world.concurrent_requests.mutant) {
        let member = world.cores[core].running.as_ref();
        if let Some(config) = member.and_then(|member| member.state().config.clone()) {
            let reply = Reply { status: 200, body: config.text, retry_after_ms: None };
            world.answer_later(token, reply);
        }
    }
}

/// Checks a response against the reference model, and schedules a retry or the slot's next request.
pub fn call_ended(world: &mut World, slot: usize, reply: Option<Reply>) {
    let now = world.now;
    let Some(task) = world.concurrent_requests.slots[slot].take() else { return };
    let Task { request, first_sent_at, last_sent_at, attempts } = task;
    let status = match (world.concurrent_requests.mutant, reply.as_ref().map_or(0, |reply| reply.status)) {
        (Some(Mutant::RetryRecognizedByEditionOnly), 412)
            if world.concurrent_requests.applied.contains_key(&request.edition) =>
        {
            200
        }
        (Some(Mutant::TimeoutReportedAsRejection), 503)
            if request.version_id.is_some() && world.rng.u32(0..10) == 0 =>
        {
            412
        }
        (_, status) => status,
    };
    let resolved = match (status, request.version_id) {
        (200, Some(version_id)) => {
            assert!(request.valid, "version {version_id} is not valid, and was acknowledged");
            let edition = world.model.acknowledge(now, version_id);
            world.concurrent_requests.known_edition = world.concurrent_requests.known_edition.max(edition);
            let in_flight = world.concurrent_requests.in_flight() + 1;
            world.concurrent_requests.latencies.push(Latency { ms: now - first_sent_at, in_flight });
            true
        }
        (200, None) if request.zone_request.is_some() => {
            let zone_request =
                &mut world.concurrent_requests.zone_requests[request.zone_request.unwrap_or(0)];
            zone_request.acknowledged_at.get_or_insert(now);
            true
        }
        (200, None) => {
            let config = reply.as_ref().and_then(|reply| parse_config(&reply.body));
            let (edition, version_id) = config.expect("a configuration");
            world.model.check_read(last_sent_at, edition, version_id);
            world.concurrent_requests.known_edition = world.concurrent_requests.known_edition.max(edition);
            true
        }
        (400..=499, Some(version_id)) => {
            world.model.reject(version_id);
            true
        }
        _ => false,
    };
    if !resolved && now - first_sent_at < REQUEST_TIMEOUT_MS {
        world.concurrent_requests.slots[slot] = Some(Task { request, first_sent_at, last_sent_at, attempts });
        return world.schedule_turn(20.0 * f64::from(attempts.min(10)), Caller::RequestSlot(slot));
    }
    world.concurrent_requests.unresolved += usize::from(!resolved);
    // After a rejection, reads the current configuration.
    if status >= 400 && world.model.has_acknowledged() {
        world.concurrent_requests.slots[slot] =
            Some(Task { request: read(), first_sent_at: now, last_sent_at: now, attempts: 0 });
    }
    let pause = world.concurrent_requests.pause_ms * world.rng.f64();
    world.schedule_turn(pause, Caller::RequestSlot(slot));
}

/// Checks a configuration that a core process has just applied.
pub fn check_applied_config(world: &mut World, edition: u64, text: &str) {
    let (text_edition, version_id) = parse_config(text).expect("a configuration");
    if world.concurrent_requests.mutant == Some(Mutant::AcknowledgedByOneMember) {
        let slots = world.concurrent_requests.slots.iter().enumerate();
        let puts_version = |task: &Option<Task>| {
            task.as_ref().is_some_and(|task| task.request.version_id == Some(version_id))
        };
        let slots: Vec<_> = slots.filter(|(_, task)| puts_version(task)).map(|(slot, _)| slot).collect();
        for slot in slots {
            if let Some(token) = world.callers.token(Caller::RequestSlot(slot)) {
                world.answer_later(token, Reply { status: 200, body: "{}".into(), retry_after_ms: None });
            }
        }
    }
    assert_eq!(text_edition, edition);
    let applied = *world.concurrent_requests.applied.entry(edition).or_insert(version_id);
    assert_eq!(
        applied, version_id,
        "r{edition} is version {applied} at one core and version {version_id} at another"
    );
    assert!(
        !world.model.versions[version_id].rejected,
        "r{edition} (version {version_id}) was rejected, but is applied"
    );
    assert!(
        world.concurrent_requests.requests[&version_id].valid,
        "r{edition} (version {version_id}) is applied, but not valid"
    );
}

/// Checks, once all faults have ended, that the acknowledged versions form one chain, each based on the one
/// before, which ends in the current configuration.
pub fn check_version_chain(world: &World) {
    let leader = world.leader().expect("a leader");
    let state = world.cores[leader].running.as_ref().expect("the leader runs").state();
    let Some(config) = &state.config else { return };
    let (mut edition, mut version_id) = parse_config(&config.text).expect("a configuration");
    let mut chain = std::collections::BTreeSet::new();
    while edition > 0 {
        chain.insert(version_id);
        edition = world.model.versions[version_id].based_on;
        let has_edition = |version_id: &usize| world.model.versions[*version_id].edition == edition;
        let acknowledged = (0..world.model.versions.len())
            .filter(has_edition)
            .find(|version_id| world.model.versions[*version_id].acknowledged_at.is_some());
        match acknowledged.or(world.concurrent_requests.applied.get(&edition).copied()) {
            Some(next) => version_id = next,
            // Two were applied in one step, and the first was not acknowledged: its id is unknown.
            None => break,
        }
    }
    for (version_id, version) in world.model.versions.iter().enumerate() {
        let lost =
            version.acknowledged_at.is_some() && version.edition > edition && !chain.contains(&version_id);
        assert!(
            !lost,
            "r{} (version {version_id}) was acknowledged, but is not in the chain",
            version.edition
        );
    }
}

/// Checks, once all faults have ended, that each zone's state is that of a request that may have been the
/// last one, by when each was sent and acknowledged.
pub fn check_zones(world: &World) {
    let leader = world.leader().expect("a leader");
    let state = world.cores[leader].running.as_ref().expect("the leader runs").state();
    for zone in 0..2 {
        let evacuated = state.evacuated.contains(&format!("z{zone}"));
        let of_zone =
            || world.concurrent_requests.zone_requests.iter().filter(move |request| request.zone == zone);
        let ends = of_zone()
            .filter(|request| request.start == evacuated)
            .map(|request| request.acknowledged_at.unwrap_or(f64::INFINITY));
        // Initially no zone is evacuated.
        let last = ends.fold(if evacuated { f64::NEG_INFINITY } else { 0.0 }, f64::max);
        let undone = of_zone().find(|request| {
            request.start != evacuated && request.acknowledged_at.is_some() && request.sent_at > last
        });
        if let Some(request) = undone {
            panic!(
                "zone {zone}: evacuated is {evacuated} as of {last:.0}, but the opposite was sent at {:.0} and \
                 acknowledged",
                request.sent_at
            );
        }
    }
}

// ---- Scenarios --------------------------------------------------------------------------------------------

/// Injects random faults until all requests have been sent; then lets the system recover and checks the
/// result.
pub fn run_with_faults(world: &mut World, max_step_ms: f64, max_duplication: f64) {
    let severity = world.rng.f64();
    for _ in 0..400 {
        if world.concurrent_requests.remaining == 0 {
            break;
        }
        world.fault_rates.loss = if world.rng.bool() { 0.0 } else { world.rng.f64() * 0.6 * severity };
        world.fault_rates.duplication = world.rng.f64() * max_duplication * severity;
        let leader = world.leader();
        match (world.rng.u32(0..12), leader) {
            (0, Some(leader)) => {
                let all = (0..world.cores.len()).map(Endpoint::Core).collect::<Vec<_>>();
                match world.rng.u32(0..3) {
                    0 => world.cut_off(Endpoint::Core(leader), all),
                    1 => world.cuts.extend(all.iter().map(|other| (Endpoint::Core(leader), *other))),
                    _ => world.cuts.extend(all.iter().map(|other| (*other, Endpoint::Core(leader)))),
                }
            }
            (1, Some(leader)) => {
                world.kill_core(leader);
                world.start_later(Endpoint::Core(leader), 200.0);
            }
            (2, Some(leader)) => {
                let duration_ms = world.rng.f64() * 2500.0;
                world.pause_core(leader, duration_ms);
            }
            (3, Some(leader)) => world.cores[leader].sync_ms = world.rng.f64() * 900.0,
            (4, Some(leader)) => world.input(leader, super::Input::Shutdown),
            (6, _) => {
                // Longer than the gateway's lease.
                let gateway = Endpoint::Gateway(world.rng.usize(0..world.gateways.len()));
                let cores = (0..world.cores.len()).map(Endpoint::Core).collect::<Vec<_>>();
                world.cut_off(gateway, cores);
                world.run_until(world.now + 9_000.0);
            }
            (5, _) => {
                let gateway = world.rng.usize(0..world.gateways.len());
                world.kill_gateway(gateway);
                world.start_later(Endpoint::Gateway(gateway), 300.0);
            }
            _ => {}
        }
        let step_ms = world.rng.f64() * max_step_ms;
        world.run_until(world.now + step_ms);
        world.cuts.clear();
        world.cores.iter_mut().for_each(|core| core.sync_ms = 0.5);
    }
    world.settle(15_000.0);
    check_version_chain(world);
    check_zones(world);
}

/// Runs concurrent requests under random faults.
pub fn run_concurrent_requests(seed: u64, slots: usize, requests: usize, mutant: Option<Mutant>) -> World {
    let mut world = World::new(seed, [3, 5][seed as usize % 2], 0, 4, 0, 0);
    world.start();
    start(&mut world, slots, requests);
    world.concurrent_requests.mutant = mutant;
    world.fault_rates.response_loss = world.rng.f64() * 0.5;
    run_with_faults(&mut world, 2000.0, 0.2);
    world
}
