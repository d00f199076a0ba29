//! A simulated network of cluster members: deterministic by seed, in virtual time, without sockets.
#![allow(dead_code, missing_docs)]

use oakfall::membership::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddrV4};

pub const PERIOD_MS: f64 = 1000.0;
pub const TIMEOUT_MS: f64 = 250.0;

/// Datagrams buffered for a paused process, as by its socket; further ones are lost.
const MAX_BUFFERED_DATAGRAMS: usize = 200;

/// A running process, and what it reported with the time of each report.
pub struct Node {
    pub member: Membership,
    pub name: String,
    /// Its index in the network, which determines its address.
    pub index: usize,
    paused: bool,
    buffered: Vec<Vec<u8>>,
    due: f64,
    /// Members' names with their former and new states.
    pub changes: Vec<(f64, String, Option<State>, State)>,
    pub warnings: Vec<String>,
    /// Numbers of members present, and whether they are a majority.
    pub present: Vec<(f64, u32, Option<bool>)>,
    /// Whether the process reported that it is no longer a member.
    pub removed: bool,
}

enum Scheduled {
    /// A timer of a node, ignored if the node has rescheduled it.
    Due(usize, f64),
    /// A datagram arrives at a node.
    Datagram(usize, Vec<u8>),
}

/// The network, with its nodes by index; `None` where no process runs.
pub struct Network {
    pub now: f64,
    pub nodes: Vec<Option<Node>>,
    pub rng: fastrand::Rng,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Share of datagrams duplicated.
    pub duplication: f64,
    /// Minimum and maximum.
    pub latency_ms: (f64, f64),
    /// Whether datagrams pass from one node to another.
    pub connected: Box<dyn Fn(usize, usize) -> bool>,
    pub seeds: Vec<usize>,
    pub expected: Option<u32>,
    /// Unix time at the start of the simulation.
    pub unix_start_ms: f64,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    pub max_datagram_bytes: usize,
    /// Scheduled events, by time in microseconds and number.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: std::collections::HashMap<u64, Scheduled>,
    last_number: u64,
}

pub fn address_of(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (index >> 8) as u8, index as u8), 7000)
}

fn index_of(addr: SocketAddrV4) -> usize {
    let [.., high, low] = addr.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

impl Network {
    pub fn new(size: usize, seed: u64) -> Network {
        Network {
            now: 0.0,
            nodes: (0..size).map(|_| None).collect(),
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            duplication: 0.0,
            latency_ms: (0.2, 5.0),
            connected: Box::new(|_, _| true),
            seeds: (0..size.min(3)).collect(),
            expected: Some(size as u32),
            unix_start_ms: 1.7e12,
            datagrams_sent: 0,
            bytes_sent: 0,
            max_datagram_bytes: 0,
            queue: BinaryHeap::new(),
            scheduled: Default::default(),
            last_number: 0,
        }
    }

    /// A network with a process at each address, run until all of them know each other.
    pub fn converged(size: usize, seed: u64) -> Network {
        let mut network = Network::new(size, seed);
        (0..size).for_each(|index| network.start(index));
        assert!(
            network.run_until(60.0, |network| network.is_converged()).is_some(),
            "{size} members did not converge"
        );
        network
    }

    pub fn settings(&self, name: &str, index: usize) -> Settings {
        Settings {
            cluster: "granite".to_owned(),
            name: name.to_owned(),
            advertise: address_of(index),
            start: (self.unix_start_ms + self.now) as u64,
            seeds: self.seeds.iter().map(|index| address_of(*index)).collect(),
            period_ms: PERIOD_MS,
            timeout_ms: TIMEOUT_MS,
            expected: self.expected,
        }
    }

    pub fn start(&mut self, index: usize) {
        self.start_as(index, &format!("n{index}"));
    }

    pub fn start_as(&mut self, index: usize, name: &str) {
        let member = Membership::new(self.settings(name, index), self.rng.u64(..), self.now);
        let (name, due) = (name.to_owned(), f64::INFINITY);
        self.nodes[index] = Some(Node {
            member,
            name,
            index,
            paused: false,
            buffered: Vec::new(),
            due,
            changes: Vec::new(),
            warnings: Vec::new(),
            present: Vec::new(),
            removed: false,
        });
        self.schedule_timer(index);
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    pub fn pause(&mut self, index: usize) {
        self.node_mut(index).paused = true;
    }

    /// Delivers the buffered datagrams before the timer, like a process that reads its socket first.
    pub fn resume(&mut self, index: usize) {
        self.node_mut(index).paused = false;
        for bytes in std::mem::take(&mut self.node_mut(index).buffered) {
            self.deliver(index, Event::Datagram(bytes));
        }
        let due = self.node(index).due;
        self.schedule(due, Scheduled::Due(index, due));
    }

    pub fn node(&self, index: usize) -> &Node {
        self.nodes[index].as_ref().expect("a running process")
    }

    fn node_mut(&mut self, index: usize) -> &mut Node {
        self.nodes[index].as_mut().expect("a running process")
    }

    pub fn view(&self, index: usize) -> View {
        self.node(index).member.view(self.now)
    }

    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].is_some()).collect()
    }

    /// The state of a member in a node's view, if it is known there.
    pub fn state_of(&self, index: usize, name: &str) -> Option<State> {
        self.view(index).members.iter().find(|m| &*m.name == name).map(|m| m.state)
    }

    /// Whether each live process sees exactly the live ones as alive.
    pub fn is_converged(&self) -> bool {
        let live: Vec<_> = self.live();
        live.iter().all(|index| self.node(*index).member.present() as usize == live.len())
            && live.iter().all(|index| {
                let members = self.view(*index).members;
                let present: std::collections::BTreeSet<_> =
                    members.iter().filter(|m| m.state == State::Alive).map(|m| m.addr).collect();
                live.iter().filter(|other| *other != index).all(|other| present.contains(&address_of(*other)))
            })
    }

    /// Number of changes of a member to this state that a node has reported since a time.
    pub fn changes_to(&self, index: usize, name: &str, state: State, since: f64) -> usize {
        let changes = &self.node(index).changes;
        changes
            .iter()
            .filter(|(when, member, _, new)| *when >= since && member == name && *new == state)
            .count()
    }

    /// Passes an event to a node's member and carries out the resulting actions.
    pub fn deliver(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.now;
        let Some(node) = self.nodes[index].as_mut() else { return };
        node.member.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(index, to, bytes),
                Action::Changed { identity, previous, state, .. } => {
                    self.node_mut(index).changes.push((now, identity.name.to_string(), previous, state));
                }
                Action::Present { count, majority } => {
                    self.node_mut(index).present.push((now, count, majority))
                }
                Action::NotMember => self.node_mut(index).removed = true,
                Action::Warn(line) => self.node_mut(index).warnings.push(line),
            }
        }
        self.schedule_timer(index);
    }

    fn schedule_timer(&mut self, index: usize) {
        let due = self.node(index).member.due();
        if due != self.node(index).due && due.is_finite() {
            self.schedule(due, Scheduled::Due(index, due));
        }
        self.node_mut(index).due = due;
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, bytes: Vec<u8>) {
        self.datagrams_sent += 1;
        self.bytes_sent += bytes.len() as u64;
        self.max_datagram_bytes = self.max_datagram_bytes.max(bytes.len());
        let to = index_of(to);
        if to >= self.nodes.len() || !(self.connected)(from, to) || self.rng.f64() < self.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.duplication);
        for _ in 0..copies {
            let when =
                self.now + self.latency_ms.0 + self.rng.f64() * (self.latency_ms.1 - self.latency_ms.0);
            self.schedule(when, Scheduled::Datagram(to, bytes.clone()));
        }
    }

    fn schedule(&mut self, when: f64, event: Scheduled) {
        self.last_number += 1;
        self.scheduled.insert(self.last_number, event);
        self.queue.push(Reverse(((when.max(self.now) * 1000.0) as u64, self.last_number)));
    }

    /// Processes the next scheduled event.
    fn step(&mut self) {
        let Some(Reverse((when, number))) = self.queue.pop() else { return };
        self.now = self.now.max(when as f64 / 1000.0);
        match self.scheduled.remove(&number) {
            Some(Scheduled::Due(index, due)) => {
                let valid = self.nodes[index].as_ref().is_some_and(|node| !node.paused && node.due == due);
                if valid {
                    // The queue truncates times to whole microseconds.
                    self.now = self.now.max(due);
                    self.deliver(index, Event::Due);
                }
            }
            Some(Scheduled::Datagram(index, bytes)) => match self.nodes[index].as_mut() {
                Some(node) if node.paused && node.buffered.len() < MAX_BUFFERED_DATAGRAMS => {
                    node.buffered.push(bytes)
                }
                Some(node) if node.paused => {}
                Some(_) => self.deliver(index, Event::Datagram(bytes)),
                None => {}
            },
            None => {}
        }
    }

    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds * 1000.0;
        while self.queue.peek().is_some_and(|Reverse((when, _))| (*when as f64) < end * 1000.0) {
            self.step();
        }
        self.now = self.now.max(end);
    }

    /// Runs until the condition holds, and returns after how many seconds, or `None` at the limit.
    pub fn run_until(&mut self, seconds: f64, mut condition: impl FnMut(&Network) -> bool) -> Option<f64> {
        let start = self.now;
        loop {
            if condition(self) {
                return Some((self.now - start) / 1000.0);
            }
            if self.now - start > seconds * 1000.0 {
                return None;
            }
            self.run(0.1);
        }
    }
}
