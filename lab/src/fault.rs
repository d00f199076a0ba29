//! What is wrong with links, by direction and by pair. Faults that overlap add up.

use crate::plan::{Kind, LinkAct, OnLink, Plan};
use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::RwLock;

/// A party at one end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Node {
    /// The gateway at this place.
    Gateway(usize),
    /// The server at this place.
    Server(usize),
    /// The counter.
    Counter,
    /// A gateway's agent of discovery.
    Discovery,
    /// Clients.
    Client,
}

/// All that is wrong with a link in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Effect {
    /// Nothing passes.
    pub cut: bool,
    /// All comes so much later, in s ...
    pub delay_s: f64,
    /// ... and up to so much on top.
    pub spread_s: f64,
    /// Share that is lost.
    pub loss: f64,
    /// Share that comes twice.
    pub twice: f64,
    /// Share that comes after later ones.
    pub disorder: f64,
    /// Bytes a second.
    pub throttle: f64,
    /// A connection is reset after so many bytes.
    pub reset_at: Option<u64>,
    /// New connections are reset as they come up.
    pub refuse: bool,
    /// New connections never come up.
    pub hang: bool,
}

impl Effect {
    const NONE: Effect = Effect {
        cut: false,
        delay_s: 0.0,
        spread_s: 0.0,
        loss: 0.0,
        twice: 0.0,
        disorder: 0.0,
        throttle: f64::INFINITY,
        reset_at: None,
        refuse: false,
        hang: false,
    };

    /// Whether there is nothing wrong.
    pub fn none(&self) -> bool {
        *self == Effect::NONE
    }
}

#[derive(Clone, Copy)]
struct Rule {
    act: LinkAct,
    by: f64,
    spread: f64,
    grows: f64,
    since: f64,
}

/// A rule and the links on which it holds.
struct Placed {
    key: u64,
    from: HashSet<Node>,
    to: HashSet<Node>,
    rule: Rule,
}

/// What is wrong with links now.
#[derive(Default)]
pub struct Links {
    rules: RwLock<Vec<Placed>>,
    keys: AtomicU64,
}

/// A fault that was put in.
#[derive(Clone, Debug)]
pub struct Fault {
    keys: Vec<u64>,
    /// Whom it touches beside gateways.
    pub touches: Vec<Node>,
}

impl Links {
    /// Puts in a fault of a plan's step.
    pub fn put(&self, plan: &Plan, step: usize, on: &OnLink, now: f64) -> Fault {
        let nodes = |end: &crate::plan::End| match end.kind {
            Kind::Gateways => plan.gateways(end.who, step).into_iter().map(Node::Gateway).collect(),
            Kind::Servers => plan.servers(end.who, step).into_iter().map(Node::Server).collect(),
            Kind::Counter => vec![Node::Counter],
            Kind::Discovery => vec![Node::Discovery],
            Kind::Clients => vec![Node::Client],
        };
        let (from, to): (Vec<Node>, Vec<Node>) = (nodes(&on.from), nodes(&on.to));
        let others = from.iter().chain(&to).filter(|node| !matches!(node, Node::Gateway(_)));
        let touches = others.copied().collect();
        let rule = Rule { act: on.act, by: on.by, spread: on.spread, grows: on.grows, since: now };
        let mut keys = vec![self.rule(&from, &to, rule)];
        if on.both {
            keys.push(self.rule(&to, &from, rule));
        }
        Fault { keys, touches }
    }

    /// Nothing passes between one and all gateways, either way.
    pub fn cut_off(&self, node: Node, gateways: usize, now: f64) -> Fault {
        let all: Vec<_> = (0..gateways).map(Node::Gateway).collect();
        let cut = Rule { act: LinkAct::Cut, by: 0.0, spread: 0.0, grows: 0.0, since: now };
        let keys = vec![self.rule(&all, &[node], cut), self.rule(&[node], &all, cut)];
        Fault { keys, touches: vec![node] }
    }

    fn rule(&self, from: &[Node], to: &[Node], rule: Rule) -> u64 {
        let key = self.keys.fetch_add(1, Ordering::Relaxed);
        let (from, to) = (from.iter().copied().collect(), to.iter().copied().collect());
        self.rules.write().unwrap_or_else(|e| e.into_inner()).push(Placed { key, from, to, rule });
        key
    }

    /// Heals a fault.
    pub fn heal(&self, fault: &Fault) {
        let mut rules = self.rules.write().unwrap_or_else(|e| e.into_inner());
        rules.retain(|rule| !fault.keys.contains(&rule.key));
    }

    /// What is wrong from one to the other.
    pub fn on(&self, from: Node, to: Node, now: f64) -> Effect {
        let rules = self.rules.read().unwrap_or_else(|e| e.into_inner());
        let mut effect = Effect::NONE;
        let holds = |placed: &&Placed| placed.from.contains(&from) && placed.to.contains(&to);
        for Placed { rule, .. } in rules.iter().filter(holds) {
            let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
            match rule.act {
                LinkAct::Cut => effect.cut = true,
                LinkAct::Delay => {
                    effect.delay_s += (rule.by + rule.grows * (now - rule.since).max(0.0)) / 1000.0;
                    effect.spread_s += rule.spread / 1000.0;
                }
                LinkAct::Loss => effect.loss = either(effect.loss, rule.by),
                LinkAct::Duplicate => effect.twice = either(effect.twice, rule.by),
                LinkAct::Reorder => effect.disorder = either(effect.disorder, rule.by),
                LinkAct::Throttle => effect.throttle = effect.throttle.min(rule.by),
                LinkAct::Reset => {
                    effect.reset_at = Some(effect.reset_at.unwrap_or(u64::MAX).min(rule.by as u64));
                }
                LinkAct::Refuse => effect.refuse = true,
                LinkAct::Hang => effect.hang = true,
            }
        }
        effect
    }

    /// Whether a new connection between the two comes up: a handshake needs both directions.
    pub fn comes_up(&self, one: Node, other: Node, now: f64) -> bool {
        let effects = [self.on(one, other, now), self.on(other, one, now)];
        !effects.iter().any(|effect| effect.cut || effect.hang)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_that_overlap_add_up_and_each_heals_alone() {
        let plan = Plan::read(
            "name = \"a\"\nseconds = 9\n[fleet]\ngateways = 4\nservers = 2\nzones = 2\n[traffic]\n\
             [[step]]\nat = 1\nlink = { from = \"gateways 0-1\", to = \"servers\", do = \"delay\", by = 50, grows = 10 }\n\
             [[step]]\nat = 1\nlink = { from = \"gateways zone 0\", to = \"servers 1\", do = \"loss\", by = 0.5, both = true }\n\
             [[step]]\nat = 1\nlink = { from = \"gateways\", to = \"servers\", do = \"loss\", by = 0.5 }\n\
             [[step]]\nat = 1\nlink = { from = \"servers 0\", to = \"gateways 3\", do = \"cut\" }",
        )
        .unwrap();
        let links = Links::default();
        let faults: Vec<_> = plan
            .step
            .iter()
            .enumerate()
            .map(|(number, step)| links.put(&plan, number, step.link.as_ref().unwrap(), 1.0))
            .collect();
        let (gateway, server) = (Node::Gateway(0), Node::Server(1));
        let effect = links.on(gateway, server, 3.0);
        assert_eq!((effect.delay_s, effect.loss), (0.07, 0.75));
        assert_eq!(links.on(server, gateway, 3.0).loss, 0.5);
        links.heal(&faults[1]);
        assert_eq!(links.on(gateway, server, 3.0).loss, 0.5);
        assert!(links.on(server, gateway, 3.0).none());
        // One direction is cut: what was up is half open, and nothing new comes up.
        let (gateway, server) = (Node::Gateway(3), Node::Server(0));
        assert!(links.on(server, gateway, 3.0).cut && !links.on(gateway, server, 3.0).cut);
        assert!(!links.comes_up(gateway, server, 3.0) && links.comes_up(Node::Gateway(2), server, 3.0));
        faults.iter().for_each(|fault| links.heal(fault));
        assert!(links.comes_up(gateway, server, 3.0));
    }
}
