//! Random histories of a Raft cluster, checked against a plain model: message loss, duplication and
//! reordering, one-way partitions, crashes between any two actions, slow processes and wiped disks. A history
//! may run with a deliberate fault.
#![allow(dead_code)] // Each test program uses only a part.

#[path = "../store_model/mod.rs"]
mod store_model;

use oakfall_system::raft::{Action, Entry, Event, LogLimits, PersistentState, RaftNode, RaftPayload};
use std::collections::{BTreeMap, BTreeSet};
use store_model::{apply_save, InvariantCheck};

/// The committed log as seen by all nodes together.
#[derive(Default)]
pub struct Model {
    pub committed: BTreeMap<u64, Vec<u8>>,
    /// The highest index whose commit was acknowledged to a proposer.
    acked_index: u64,
    /// By term.
    leaders: BTreeMap<u64, String>,
}

impl Model {
    /// Checks that nodes never apply different entries at the same index.
    fn check_applied(&mut self, index: u64, data: &[u8]) {
        let known = self.committed.entry(index).or_insert_with(|| data.to_vec());
        assert_eq!(known, data, "two entries were committed at index {index}");
    }
}

/// A core process and its disk, which survives restarts.
pub struct Node {
    disk: Option<PersistentState>,
    is_founder: bool,
    pub running: Option<RaftNode>,
    /// It and its disk are lost for good.
    lost: bool,
    /// Entries that it has applied, by index.
    state: BTreeMap<u64, Vec<u8>>,
}

fn encode(state: &BTreeMap<u64, Vec<u8>>) -> Vec<u8> {
    state
        .iter()
        .flat_map(|(index, data)| [&index.to_le_bytes()[..], &[data.len() as u8], data].concat())
        .collect()
}

fn decode(mut bytes: &[u8]) -> BTreeMap<u64, Vec<u8>> {
    let mut state = BTreeMap::new();
    while let Some((index, rest)) = bytes.split_first_chunk::<8>() {
        let (length, rest) = rest.split_first().expect("a length byte");
        let (data, rest) = rest.split_at(*length as usize);
        state.insert(u64::from_le_bytes(*index), data.to_vec());
        bytes = rest;
    }
    state
}

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Votes are sent before they are on disk.
    VoteBeforeSync,
    /// Entries are acknowledged before they are on disk.
    EntriesBeforeSync,
    /// The vote is lost in a restart.
    VoteForgotten,
    /// A node with an empty disk votes and counts toward quorums.
    EmptyDiskVotes,
    /// A node with an empty disk bootstraps the cluster again.
    EmptyDiskBootstraps,
    /// Entries from leaders of earlier terms are accepted.
    TermUnchecked,
    /// A leader acknowledges proposals before they are replicated.
    AckedBeforeCommit,
    /// A leader serves reads without a lease.
    ReadsWithoutLease,
    /// A leader's clock stands still while its process is paused.
    ClockStopsInPause,
    /// Members change in one entry, without joint consensus.
    NoJointConsensus,
    /// A node that shuts down stops without being released.
    StopsUnreleased,
    /// A learner acknowledges entries before it holds them, and becomes a member without the log.
    LearnerLacksLog,
}

fn skip_joint_consensus(entry: &mut Entry) {
    if !entry.incoming_members.is_empty() {
        entry.final_members = std::mem::take(&mut entry.incoming_members);
    }
}

struct Message {
    arrives_at: f64,
    from: usize,
    to: usize,
    payload: RaftPayload,
}

pub struct World {
    rng: fastrand::Rng,
    now: f64,
    pub nodes: Vec<Node>,
    messages: Vec<Message>,
    /// Pairs of which the first can't reach the second.
    blocked: BTreeSet<(usize, usize)>,
    pub model: Model,
    proposed: u64,
    loss: f64,
    compacts_log: bool,
    /// Indexes into the snapshot chunk sizes and the numbers of retained entries that are tried.
    limit_choice: (usize, usize),
    mutant: Option<Mutant>,
    /// Nodes sometimes crash right after granting a vote and restart at once.
    pub crashes_after_voting: bool,
    in_fault_phase: bool,
    /// Number of events processed by nodes.
    pub events: u64,
    invariants: InvariantCheck,
}

fn name(number: usize) -> String {
    format!("core{number}")
}

fn number(name: &str) -> usize {
    name.trim_start_matches("core").parse().expect("a number")
}

impl World {
    pub fn new(seed: u64, founders: usize, extra_nodes: usize, mutant: Option<Mutant>) -> Self {
        let node = |number| Node {
            disk: None,
            is_founder: number < founders,
            running: None,
            lost: false,
            state: BTreeMap::new(),
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        let (loss, compacts_log, crashes_after_voting) = (rng.f64() * 0.2, rng.bool(), rng.f64() < 0.3);
        World {
            rng,
            now: 0.0,
            nodes: (0..founders + extra_nodes).map(node).collect(),
            messages: Vec::new(),
            blocked: BTreeSet::new(),
            model: Model::default(),
            proposed: 0,
            loss,
            compacts_log,
            limit_choice: (seed as usize % 3, seed as usize / 3 % 2),
            mutant,
            crashes_after_voting,
            in_fault_phase: false,
            events: 0,
            invariants: InvariantCheck::start(),
        }
    }

    fn founders(&self) -> Vec<String> {
        (0..self.nodes.len()).filter(|number| self.nodes[*number].is_founder).map(name).collect()
    }

    pub fn start(&mut self, number: usize, first: bool) {
        let founders = self.founders();
        let node = &mut self.nodes[number];
        if node.running.is_some() || node.lost {
            return;
        }
        if first && node.is_founder && node.disk.is_none() {
            node.disk = Some(RaftNode::bootstrap(founders));
        }
        let mut saved = node.disk.clone().unwrap_or_default();
        match self.mutant {
            Some(Mutant::VoteForgotten) => saved.hard_state.vote = None,
            Some(Mutant::EmptyDiskVotes) => saved.hard_state.voting = true,
            Some(Mutant::EmptyDiskBootstraps) if node.disk.is_none() => {
                saved = RaftNode::bootstrap(self.founders())
            }
            _ => {}
        }
        let node = &mut self.nodes[number];
        node.state = decode(&saved.snapshot.state);
        let raft = RaftNode::new(name(number), saved, self.rng.u64(..), self.now);
        // Some histories retain no entries after compaction, and some need many chunks for a snapshot.
        let limits = LogLimits {
            chunk_bytes: [1000, 3000, 1 << 15][self.limit_choice.0],
            trailing_entries: [0, 30][self.limit_choice.1],
            trailing_bytes: 1 << 16,
        };
        node.running = Some(raft.with_limits(limits));
    }

    fn crash(&mut self, number: usize) {
        self.nodes[number].running = None;
    }

    /// Processes one event. With `may_crash`, the node may crash before any of the resulting actions.
    fn step(&mut self, number: usize, event: Event, may_crash: bool) {
        let Some(raft) = &mut self.nodes[number].running else { return };
        self.events += 1;
        let mut event = event;
        if let (
            Some(Mutant::TermUnchecked),
            Event::Received { payload: RaftPayload::AppendEntries(append), .. },
        ) = (self.mutant, &mut event)
        {
            append.term = append.term.max(raft.term());
        }
        if let (
            Some(Mutant::NoJointConsensus),
            Event::Received { payload: RaftPayload::AppendEntries(append), .. },
        ) = (self.mutant, &mut event)
        {
            append.entries.iter_mut().for_each(skip_joint_consensus);
        }
        let mut actions = Vec::new();
        raft.handle(self.now, event, &mut actions);
        if self.mutant == Some(Mutant::LearnerLacksLog) && number + 1 == self.nodes.len() {
            for action in &mut actions {
                if let Action::Send { payload: RaftPayload::AppendResponse(response), .. } = action {
                    (response.success, response.voting) = (true, true);
                    response.match_index = self.model.acked_index.max(response.match_index);
                }
            }
        }
        let crash_at = if may_crash { self.rng.usize(0..=actions.len()) } else { usize::MAX };
        for (position, action) in actions.into_iter().enumerate() {
            if position >= crash_at {
                return self.crash(number);
            }
            let voted = matches!(
                &action,
                Action::Send { payload: RaftPayload::VoteResponse(vote), .. }
                    if vote.granted && !vote.pre_vote
            );
            self.carry_out(number, action);
            if voted
                && self.crashes_after_voting
                && (self.in_fault_phase || self.mutant.is_some())
                && self.rng.bool()
            {
                self.crash(number);
                return self.start(number, false);
            }
        }
        let node = &mut self.nodes[number];
        let Some(raft) = &mut node.running else { return };
        if self.mutant == Some(Mutant::NoJointConsensus) && raft.in_joint_consensus() {
            // The leader's own list can be changed from outside only by a restart.
            node.disk.iter_mut().flat_map(|disk| &mut disk.entries).for_each(skip_joint_consensus);
            self.crash(number);
            return self.start(number, false);
        }
        let serves_reads = match self.mutant {
            Some(Mutant::ReadsWithoutLease) => raft.is_leader(),
            Some(Mutant::ClockStopsInPause) => raft.holds_lease(self.now - 1500.0),
            _ => raft.holds_lease(self.now),
        };
        if serves_reads {
            assert!(
                raft.applied_index() >= self.model.acked_index,
                "a leader serves reads without all acknowledged entries"
            );
        }
        if self.compacts_log && raft.log_length() > 80 {
            let mut actions = Vec::new();
            raft.compact(raft.applied_index(), encode(&node.state), &mut actions);
            for action in actions {
                self.carry_out(number, action);
            }
        }
    }

    fn carry_out(&mut self, number: usize, action: Action) {
        match action {
            Action::Save(mut save) => {
                let node = &mut self.nodes[number];
                let leads = node.running.as_ref().is_some_and(RaftNode::is_leader);
                match self.mutant {
                    Some(Mutant::VoteBeforeSync) if save.entries.is_none() && save.snapshot.is_none() => {
                        return
                    }
                    Some(Mutant::EntriesBeforeSync) if !leads && self.rng.bool() => save.entries = None,
                    _ => {}
                }
                if let (Some(Mutant::AckedBeforeCommit), true, Some((first, _))) =
                    (self.mutant, leads, &save.entries)
                {
                    self.model.acked_index = self.model.acked_index.max(*first);
                }
                apply_save(&mut node.disk, save);
            }
            Action::Send { to, payload } => {
                for _ in 0..if self.rng.f64() < 0.05 { 2 } else { 1 } {
                    let arrives_at = self.now + 1.0 + self.rng.f64().powi(6) * 400.0;
                    if self.rng.f64() >= self.loss {
                        self.messages.push(Message {
                            arrives_at,
                            from: number,
                            to: self::number(&to),
                            payload: payload.clone(),
                        });
                    }
                }
            }
            Action::Apply(entry) => {
                self.model.check_applied(entry.index, &entry.data);
                let node = &mut self.nodes[number];
                node.state.insert(entry.index, entry.data);
                let raft = node.running.as_ref().expect("the node runs");
                if raft.is_leader() && entry.term == raft.term() {
                    self.model.acked_index = self.model.acked_index.max(entry.index);
                }
            }
            Action::Restore { index, state } => {
                let state = decode(&state);
                state.iter().for_each(|(index, data)| self.model.check_applied(*index, data));
                assert!(state.keys().all(|applied| *applied <= index));
                self.nodes[number].state = state;
            }
            Action::LeadershipChanged(true) => {
                let term = self.nodes[number].running.as_ref().expect("the node runs").term();
                let known = self.model.leaders.entry(term).or_insert_with(|| name(number)).clone();
                assert_eq!(known, name(number), "two leaders in term {term}");
            }
            Action::LeadershipChanged(false) => {}
        }
    }

    /// Runs the cluster until this time. Each event may crash its node with this probability.
    pub fn run_until(&mut self, until: f64, crash_probability: f64) {
        while self.now < until {
            self.now += 1.0 + self.rng.f64() * 15.0;
            for number in 0..self.nodes.len() {
                // A slow process misses ticks.
                if self.rng.f64() < 0.7 {
                    let may_crash = self.rng.f64() < crash_probability;
                    self.step(number, Event::Tick, may_crash);
                }
                let needs_to_join = self.nodes[number].running.as_ref().is_some_and(RaftNode::needs_to_join);
                if needs_to_join && self.rng.f64() < 0.1 {
                    let to = self.rng.usize(0..self.nodes.len());
                    if !self.blocked.contains(&(number, to)) {
                        self.step(to, Event::Join(name(number)), false);
                    }
                }
                if self.nodes[number].running.as_ref().is_some_and(RaftNode::is_leader)
                    && self.rng.f64() < 0.1
                {
                    self.proposed += 1;
                    let data = self.proposed.to_string().into_bytes();
                    let may_crash = self.rng.f64() < crash_probability;
                    self.step(number, Event::Propose(data), may_crash);
                }
            }
            let now = self.now;
            let due: Vec<_> = {
                let (due, later) = std::mem::take(&mut self.messages)
                    .into_iter()
                    .partition(|message| message.arrives_at <= now);
                self.messages = later;
                due
            };
            for message in due {
                if !self.blocked.contains(&(message.from, message.to)) {
                    let may_crash = self.rng.f64() < crash_probability;
                    self.step(
                        message.to,
                        Event::Received { from: name(message.from), payload: message.payload },
                        may_crash,
                    );
                }
            }
        }
        self.invariants.assert_none_violated();
    }

    /// Loses a node and its disk for good.
    pub fn lose(&mut self, number: usize) {
        self.crash(number);
        (self.nodes[number].lost, self.nodes[number].disk) = (true, None);
    }

    /// The leader that holds a lease.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|number| {
            self.nodes[*number].running.as_ref().is_some_and(|raft| raft.holds_lease(self.now))
        })
    }

    /// The members as each running node knows them.
    pub fn members(&self) -> Vec<Vec<String>> {
        let running = self.nodes.iter().filter_map(|node| node.running.as_ref());
        running.map(|raft| raft.members().to_vec()).collect()
    }

    /// Runs until there is a leader with a lease. Returns the time until then in ms; none if it exceeds
    /// `max_ms`.
    pub fn time_to_leader(&mut self, max_ms: f64) -> Option<f64> {
        let since = self.now;
        while self.now - since <= max_ms {
            if self.leader().is_some() {
                return Some(self.now - since);
            }
            let until = self.now + 1.0;
            self.run_until(until, 0.0);
        }
        None
    }

    fn running_count(&self) -> usize {
        self.nodes.iter().filter(|node| node.running.is_some()).count()
    }
}

/// Partitions, crashes, leadership transfers and wipes of at most `max_wiped` disks at a time. Nothing
/// acknowledged is lost.
pub fn run_random_faults(world: &mut World, max_wiped: usize) {
    let founders = world.nodes.iter().filter(|node| node.is_founder).count();
    let extra_nodes = world.nodes.len() - founders;
    for number in 0..founders {
        world.start(number, true);
    }
    world.run_until(2500.0, 0.0);
    assert!(world.model.acked_index > 0, "nothing was committed without faults");
    for number in founders..founders + extra_nodes {
        world.start(number, false);
    }
    for _ in 0..world.rng.usize(3..8) {
        let target = world.rng.usize(0..world.nodes.len());
        let duration = 100.0 + world.rng.f64() * 3000.0;
        match world.rng.u32(0..8) {
            // A one-way partition, or a full one.
            0 => drop(world.blocked.insert((target, world.rng.usize(0..world.nodes.len())))),
            1 => (0..world.nodes.len()).for_each(|other| {
                world.blocked.insert((target, other));
                world.blocked.insert((other, target));
            }),
            2 => world.crash(target),
            3 => (0..world.nodes.len()).for_each(|number| world.crash(number)),
            // All nodes crash, and some disks are wiped.
            4 => {
                (0..world.nodes.len()).for_each(|number| world.crash(number));
                for _ in 0..max_wiped {
                    let target = world.rng.usize(0..world.nodes.len());
                    world.nodes[target].disk = None;
                }
            }
            5 if max_wiped > 0 => {
                world.crash(target);
                world.nodes[target].disk = None;
            }
            6 => {
                let leader = (0..world.nodes.len())
                    .find(|number| world.nodes[*number].running.as_ref().is_some_and(RaftNode::is_leader));
                if let Some(leader) = leader {
                    world.step(leader, Event::TransferLeadership, false);
                }
            }
            _ => {}
        }
        let until = world.now + duration;
        world.in_fault_phase = true;
        world.run_until(until, 0.002);
        world.in_fault_phase = false;
        // Everything recovers, and wiped nodes catch up before the next fault.
        world.blocked.clear();
        (0..world.nodes.len()).for_each(|number| world.start(number, false));
        let until = world.now + 9000.0;
        world.run_until(until, 0.0);
    }
    world.loss = 0.0;
    let (acked_index, until) = (world.model.acked_index, world.now + 6000.0);
    world.run_until(until, 0.0);
    assert_eq!(world.running_count(), founders + extra_nodes);
    assert!(world.model.acked_index > acked_index, "nothing is committed any more");
    for (number, node) in world.nodes.iter().enumerate() {
        let applied = node.state.range(..=acked_index);
        assert!(
            applied.eq(world.model.committed.range(..=acked_index)),
            "core{number} lacks acknowledged entries"
        );
    }
}

/// Loses a member for good, starts a replacement, and after `recovery_ms` loses another node. Returns the
/// time without a leader after the second loss, in ms.
pub fn lose_second_after_replacement(world: &mut World, recovery_ms: f64) -> f64 {
    let members = world.nodes.len() - 1;
    for number in 0..members {
        world.start(number, true);
    }
    world.run_until(2500.0, 0.0);
    let first = world.rng.usize(0..members);
    // The replacement starts up to 1 s before or 2 s after the loss.
    let start_delay = world.rng.f64() * 3000.0 - 1000.0;
    let until = world.now + (-start_delay).max(0.0);
    if start_delay < 0.0 {
        world.start(members, false);
    }
    world.run_until(until, 0.0);
    world.lose(first);
    let until = world.now + start_delay.max(0.0);
    world.run_until(until, 0.0);
    world.start(members, false);
    let until = world.now + recovery_ms;
    world.run_until(until, 0.0);
    let mut second = world.rng.usize(0..members);
    while second == first {
        second = world.rng.usize(0..=members);
    }
    world.lose(second);
    let members = world.members();
    let leaderless_ms = world.time_to_leader(15_000.0).unwrap_or_else(|| {
        panic!("no leader 15 s after core{second} was lost, after core{first}; members {members:?}")
    });
    let acked_index = world.model.acked_index;
    let until = world.now + 2000.0;
    world.run_until(until, 0.0);
    assert!(world.model.acked_index > acked_index, "nothing is committed any more");
    leaderless_ms
}

/// Members leave one after the other, each time during a partition, and sometimes all nodes crash as well.
pub fn replace_members_during_partitions(world: &mut World) {
    let members = world.nodes.len() - 1;
    for number in 0..members {
        world.start(number, true);
    }
    world.run_until(2500.0, 0.0);
    world.start(members, false);
    for _ in 0..world.rng.usize(3..7) {
        let until = world.now + 3000.0;
        world.run_until(until, 0.0);
        let leaving = world.rng.usize(0..world.nodes.len());
        world.step(leaving, Event::Leave, false);
        let until = world.now + world.rng.f64() * 300.0;
        world.run_until(until, 0.0);
        let side: Vec<bool> = (0..world.nodes.len()).map(|_| world.rng.bool()).collect();
        for from in 0..world.nodes.len() {
            for to in (0..world.nodes.len()).filter(|to| side[from] != side[*to]) {
                world.blocked.insert((from, to));
            }
        }
        if world.rng.f64() < 0.3 {
            for number in 0..world.nodes.len() {
                world.crash(number);
                world.start(number, false);
            }
        }
        let until = world.now + world.rng.f64() * 4000.0;
        world.run_until(until, 0.0);
        world.blocked.clear();
        world.crash(leaving);
        let until = world.now + 300.0;
        world.run_until(until, 0.0);
        world.start(leaving, false);
    }
    world.loss = 0.0;
    let (acked_index, until) = (world.model.acked_index, world.now + 8000.0);
    world.run_until(until, 0.0);
    assert!(world.model.acked_index > acked_index, "nothing is committed any more");
    let leader = world.leader().expect("there is a leader");
    let members = world.nodes[leader].running.as_ref().expect("the node runs").members().to_vec();
    assert!(members.len() % 2 == 1, "an even number of members without faults: {members:?}");
    for (number, node) in world.nodes.iter().enumerate() {
        let applied = node.state.range(..=acked_index);
        assert!(
            applied.eq(world.model.committed.range(..=acked_index)),
            "core{number} lacks acknowledged entries"
        );
    }
}

/// With a learner present, a member shuts down gracefully, and another node is lost as soon as it has left.
pub fn lose_one_after_leave(world: &mut World) {
    let members = world.nodes.len() - 1;
    for number in 0..members {
        world.start(number, true);
    }
    world.run_until(2500.0, 0.0);
    world.start(members, false);
    let until = world.now + 5000.0;
    world.run_until(until, 0.0);
    let leaving = world.rng.usize(0..members);
    world.step(leaving, Event::Leave, false);
    // Longer than a process waits in production, as messages are lost here.
    let deadline = world.now + 6000.0;
    let may_stop = |world: &World| {
        world.nodes[leaving].running.as_ref().is_some_and(|raft| raft.leave_outcome().is_some())
    };
    while world.mutant != Some(Mutant::StopsUnreleased) && world.now < deadline && !may_stop(world) {
        let until = world.now + 10.0;
        world.run_until(until, 0.0);
    }
    world.lose(leaving);
    let other = (leaving + world.rng.usize(1..=members)) % (members + 1);
    world.lose(other);
    let leader_after = world.time_to_leader(4000.0);
    assert!(leader_after.is_some(), "no leader 4 s after core{leaving} left and core{other} was lost");
    let acked_index = world.model.acked_index;
    let until = world.now + 2000.0;
    world.run_until(until, 0.0);
    assert!(world.model.acked_index > acked_index, "nothing is committed any more");
}
