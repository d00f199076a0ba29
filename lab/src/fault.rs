//! Faults of links, per direction and pair of nodes. The effects of overlapping faults combine.

use crate::plan::{Kind, LinkAction, OnLink, Plan};
use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::RwLock;

/// A node at one end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Node {
    /// The gateway with this index.
    Gateway(usize),
    /// The server with this index.
    Server(usize),
    /// The quota counter.
    Counter,
    /// The discovery agent of a gateway.
    Discovery,
    /// All clients.
    Client,
}

/// The combined effect of all faults on a link in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Effect {
    /// Whether all packets are dropped.
    pub cut: bool,
    /// Delay, in s.
    pub delay_s: f64,
    /// Maximum jitter on top of the delay, in s.
    pub spread_s: f64,
    /// Share of packets that are lost.
    pub loss: f64,
    /// Share of datagrams that are delivered twice.
    pub twice: f64,
    /// Share of datagrams that are delivered out of order.
    pub disorder: f64,
    /// Throughput limit of a connection, in bytes per second.
    pub throttle: f64,
    /// Number of bytes after which a connection is reset.
    pub reset_at: Option<u64>,
    /// Whether new connections are refused.
    pub refuse: bool,
    /// Whether new connections time out.
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

    /// Whether the link works normally.
    pub fn none(&self) -> bool {
        *self == Effect::NONE
    }
}

#[derive(Clone, Copy)]
struct LinkRule {
    act: LinkAction,
    by: f64,
    spread: f64,
    grows: f64,
    since: f64,
}

/// A rule with the senders and receivers that it applies to.
struct ActiveRule {
    id: u64,
    from: HashSet<Node>,
    to: HashSet<Node>,
    rule: LinkRule,
}

/// The active faults of all links.
#[derive(Default)]
pub struct Links {
    rules: RwLock<Vec<ActiveRule>>,
    next_id: AtomicU64,
}

/// Handle of an injected fault.
#[derive(Clone, Debug)]
pub struct Fault {
    rule_ids: Vec<u64>,
    /// The affected nodes, without gateways.
    pub touches: Vec<Node>,
}

impl Links {
    /// Injects the link fault of a plan's step.
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
        let rule = LinkRule { act: on.act, by: on.by, spread: on.spread, grows: on.grows, since: now };
        let mut rule_ids = vec![self.add_rule(&from, &to, rule)];
        if on.both {
            rule_ids.push(self.add_rule(&to, &from, rule));
        }
        Fault { rule_ids, touches }
    }

    /// Cuts the links between a node and all gateways in both directions.
    pub fn cut_off(&self, node: Node, gateways: usize, now: f64) -> Fault {
        let all: Vec<_> = (0..gateways).map(Node::Gateway).collect();
        let cut = LinkRule { act: LinkAction::Cut, by: 0.0, spread: 0.0, grows: 0.0, since: now };
        let rule_ids = vec![self.add_rule(&all, &[node], cut), self.add_rule(&[node], &all, cut)];
        Fault { rule_ids, touches: vec![node] }
    }

    fn add_rule(&self, from: &[Node], to: &[Node], rule: LinkRule) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (from, to) = (from.iter().copied().collect(), to.iter().copied().collect());
        self.rules.write().unwrap_or_else(|e| e.into_inner()).push(ActiveRule { id, from, to, rule });
        id
    }

    /// Removes a fault.
    pub fn heal(&self, fault: &Fault) {
        let mut rules = self.rules.write().unwrap_or_else(|e| e.into_inner());
        rules.retain(|rule| !fault.rule_ids.contains(&rule.id));
    }

    /// Returns the combined effect on traffic from one node to another at a time.
    pub fn on(&self, from: Node, to: Node, now: f64) -> Effect {
        let rules = self.rules.read().unwrap_or_else(|e| e.into_inner());
        let mut effect = Effect::NONE;
        let applies = |active: &&ActiveRule| active.from.contains(&from) && active.to.contains(&to);
        for ActiveRule { rule, .. } in rules.iter().filter(applies) {
            // Probability of at least one of two independent events.
            let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
            match rule.act {
                LinkAction::Cut => effect.cut = true,
                LinkAction::Delay => {
                    effect.delay_s += (rule.by + rule.grows * (now - rule.since).max(0.0)) / 1000.0;
                    effect.spread_s += rule.spread / 1000.0;
                }
                LinkAction::Loss => effect.loss = either(effect.loss, rule.by),
                LinkAction::Duplicate => effect.twice = either(effect.twice, rule.by),
                LinkAction::Reorder => effect.disorder = either(effect.disorder, rule.by),
                LinkAction::Throttle => effect.throttle = effect.throttle.min(rule.by),
                LinkAction::Reset => {
                    effect.reset_at = Some(effect.reset_at.unwrap_or(u64::MAX).min(rule.by as u64));
                }
                LinkAction::Refuse => effect.refuse = true,
                LinkAction::Hang => effect.hang = true,
            }
        }
        effect
    }

    /// Whether a new connection between two nodes can be established. The handshake needs both directions.
    pub fn comes_up(&self, one: Node, other: Node, now: f64) -> bool {
        let effects = [self.on(one, other, now), self.on(other, one, now)];
        !effects.iter().any(|effect| effect.cut || effect.hang)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn overlapping_faults_combine_and_are_removed_independently() {
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
        // A cut in one direction leaves connections half-open and prevents new ones.
        let (gateway, server) = (Node::Gateway(3), Node::Server(0));
        assert!(links.on(server, gateway, 3.0).cut && !links.on(gateway, server, 3.0).cut);
        assert!(!links.comes_up(gateway, server, 3.0) && links.comes_up(Node::Gateway(2), server, 3.0));
        faults.iter().for_each(|fault| links.heal(fault));
        assert!(links.comes_up(gateway, server, 3.0));
    }
}
