//! A network in virtual time for members of a cluster: seeded, without sockets.
#![allow(dead_code, missing_docs)]

use cherrytally::membership::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddrV4};

pub const PERIOD: f64 = 1000.0;
pub const TIMEOUT: f64 = 250.0;

/// Datagrams that wait for a paused process, as in the buffer of its socket.
const WAITING: usize = 200;

pub struct Node {
    pub member: Membership,
    pub name: String,
    /// Its place in the network.
    pub at: usize,
    paused: bool,
    waiting: Vec<Vec<u8>>,
    due: f64,
    pub changes: Vec<(f64, String, Option<State>, State)>,
    pub warnings: Vec<String>,
    pub present: Vec<(f64, u32, Option<bool>)>,
    pub out: bool,
}

enum What {
    Due(usize, f64),
    Arrives(usize, Vec<u8>),
}

/// The network. Each process has a place, which is its address; a process may be at a place, or none.
pub struct World {
    pub now: f64,
    pub nodes: Vec<Option<Node>>,
    pub rng: fastrand::Rng,
    /// Share of datagrams lost, and of those that come twice.
    pub loss: f64,
    pub twice: f64,
    /// Least and most time on the way, in ms.
    pub delay: (f64, f64),
    /// Whether datagrams pass from one place to another.
    pub passes: Box<dyn Fn(usize, usize) -> bool>,
    pub seeds: Vec<usize>,
    pub expected: Option<u32>,
    /// What the wall clock shows beside the time since the beginning.
    pub clock: f64,
    pub sent: u64,
    pub bytes: u64,
    pub longest: usize,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    what: std::collections::HashMap<u64, What>,
    next: u64,
}

pub fn place(at: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (at >> 8) as u8, at as u8), 7000)
}

fn at(addr: SocketAddrV4) -> usize {
    let [.., high, low] = addr.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

impl World {
    pub fn new(places: usize, seed: u64) -> World {
        World {
            now: 0.0,
            nodes: (0..places).map(|_| None).collect(),
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            twice: 0.0,
            delay: (0.2, 5.0),
            passes: Box::new(|_, _| true),
            seeds: (0..places.min(3)).collect(),
            expected: Some(places as u32),
            clock: 1.7e12,
            sent: 0,
            bytes: 0,
            longest: 0,
            queue: BinaryHeap::new(),
            what: Default::default(),
            next: 0,
        }
    }

    /// All places taken, each by a process of a name of its own, and as many seconds passed as it takes until
    /// all know all.
    pub fn whole(places: usize, seed: u64) -> World {
        let mut world = World::new(places, seed);
        (0..places).for_each(|at| world.start(at));
        assert!(world.until(60.0, |world| world.agreed()).is_some(), "{places} members never met");
        world
    }

    pub fn settings(&self, name: &str, at: usize) -> Settings {
        Settings {
            cluster: "granite".to_owned(),
            name: name.to_owned(),
            advertise: place(at),
            start: (self.clock + self.now) as u64,
            seeds: self.seeds.iter().map(|at| place(*at)).collect(),
            period_ms: PERIOD,
            timeout_ms: TIMEOUT,
            expected: self.expected,
        }
    }

    pub fn start(&mut self, at: usize) {
        self.start_as(at, &format!("n{at}"));
    }

    pub fn start_as(&mut self, at: usize, name: &str) {
        let member = Membership::new(self.settings(name, at), self.rng.u64(..), self.now);
        let (name, due) = (name.to_owned(), f64::INFINITY);
        self.nodes[at] = Some(Node {
            member,
            name,
            at,
            paused: false,
            waiting: Vec::new(),
            due,
            changes: Vec::new(),
            warnings: Vec::new(),
            present: Vec::new(),
            out: false,
        });
        self.plan(at);
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at] = None;
    }

    pub fn pause(&mut self, at: usize) {
        self.node_mut(at).paused = true;
    }

    /// What came meanwhile is read first, as by a process that looks at its socket before its timers.
    pub fn resume(&mut self, at: usize) {
        self.node_mut(at).paused = false;
        for bytes in std::mem::take(&mut self.node_mut(at).waiting) {
            self.give(at, Event::Datagram(bytes));
        }
        let due = self.node(at).due;
        self.later(due, What::Due(at, due));
    }

    pub fn node(&self, at: usize) -> &Node {
        self.nodes[at].as_ref().expect("it runs")
    }

    fn node_mut(&mut self, at: usize) -> &mut Node {
        self.nodes[at].as_mut().expect("it runs")
    }

    pub fn view(&self, at: usize) -> View {
        self.node(at).member.view(self.now)
    }

    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|at| self.nodes[*at].is_some()).collect()
    }

    /// What one sees of a name, if it knows it.
    pub fn sees(&self, at: usize, name: &str) -> Option<State> {
        self.view(at).members.iter().find(|m| &*m.name == name).map(|m| m.state)
    }

    /// All live processes see exactly the live ones as present, none of them as suspected.
    pub fn agreed(&self) -> bool {
        let live: Vec<_> = self.live();
        live.iter().all(|at| self.node(*at).member.present() as usize == live.len())
            && live.iter().all(|at| {
                let members = self.view(*at).members;
                let present: std::collections::BTreeSet<_> =
                    members.iter().filter(|m| m.state == State::Alive).map(|m| m.addr).collect();
                live.iter().filter(|other| *other != at).all(|other| present.contains(&place(*other)))
            })
    }

    /// Changes to this state that one saw of a name since then.
    pub fn saw(&self, at: usize, name: &str, state: State, since: f64) -> usize {
        let changes = &self.node(at).changes;
        changes.iter().filter(|(when, of, _, is)| *when >= since && of == name && *is == state).count()
    }

    pub fn give(&mut self, at: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.now;
        let Some(node) = self.nodes[at].as_mut() else { return };
        node.member.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.carry(at, to, bytes),
                Action::Changed { who, was, state, .. } => {
                    self.node_mut(at).changes.push((now, who.name.to_string(), was, state));
                }
                Action::Present { count, majority } => self.node_mut(at).present.push((now, count, majority)),
                Action::Out => self.node_mut(at).out = true,
                Action::Warn(line) => self.node_mut(at).warnings.push(line),
            }
        }
        self.plan(at);
    }

    fn plan(&mut self, at: usize) {
        let due = self.node(at).member.due();
        if due != self.node(at).due && due.is_finite() {
            self.later(due, What::Due(at, due));
        }
        self.node_mut(at).due = due;
    }

    fn carry(&mut self, from: usize, to: SocketAddrV4, bytes: Vec<u8>) {
        self.sent += 1;
        self.bytes += bytes.len() as u64;
        self.longest = self.longest.max(bytes.len());
        let to = at(to);
        if to >= self.nodes.len() || !(self.passes)(from, to) || self.rng.f64() < self.loss {
            return;
        }
        let times = 1 + usize::from(self.rng.f64() < self.twice);
        for _ in 0..times {
            let when = self.now + self.delay.0 + self.rng.f64() * (self.delay.1 - self.delay.0);
            self.later(when, What::Arrives(to, bytes.clone()));
        }
    }

    fn later(&mut self, when: f64, what: What) {
        self.next += 1;
        self.what.insert(self.next, what);
        self.queue.push(Reverse(((when.max(self.now) * 1000.0) as u64, self.next)));
    }

    /// Lets the next thing happen.
    fn step(&mut self) {
        let Some(Reverse((when, number))) = self.queue.pop() else { return };
        self.now = self.now.max(when as f64 / 1000.0);
        match self.what.remove(&number) {
            Some(What::Due(at, due)) => {
                let ready = self.nodes[at].as_ref().is_some_and(|node| !node.paused && node.due == due);
                if ready {
                    // The queue counts whole microseconds.
                    self.now = self.now.max(due);
                    self.give(at, Event::Due);
                }
            }
            Some(What::Arrives(at, bytes)) => match self.nodes[at].as_mut() {
                Some(node) if node.paused && node.waiting.len() < WAITING => node.waiting.push(bytes),
                Some(node) if node.paused => {}
                Some(_) => self.give(at, Event::Datagram(bytes)),
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

    /// Runs until it is so, and tells after how many seconds; none if it never is within the limit.
    pub fn until(&mut self, seconds: f64, mut is: impl FnMut(&World) -> bool) -> Option<f64> {
        let start = self.now;
        loop {
            if is(self) {
                return Some((self.now - start) / 1000.0);
            }
            if self.now - start > seconds * 1000.0 {
                return None;
            }
            self.run(0.1);
        }
    }
}
