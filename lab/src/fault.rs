//! Faults of links, per direction and pair of nodes. The effects of overlapping faults combine.

use crate::plan::{EndpointKind, LinkAction, LinkFault, Plan};
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
    pub jitter_s: f64,
    /// Share of packets that are lost.
    pub loss: f64,
    /// Share of datagrams that are delivered twice.
    pub duplicate: f64,
    /// Share of datagrams that are delivered out of order.
    pub reorder: f64,
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
        jitter_s: 0.0,
        loss: 0.0,
        duplicate: 0.0,
        reorder: 0.0,
        throttle: f64::INFINITY,
        reset_at: None,
        refuse: false,
        hang: false,
    };

    /// Whether the link works normally.
    pub fn is_none(&self) -> bool {
        *self == Effect::NONE
    }
}

#[derive(Clone, Copy)]
struct LinkRule {
    action: LinkAction,
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
pub struct FaultHandle {
    rule_ids: Vec<u64>,
    /// The affected nodes, without gateways.
    pub affected: Vec<Node>,
}

impl Links {
    /// Injects the link fault of a plan's step.
    pub fn inject(&self, plan: &Plan, step: usize, fault: &LinkFault, now: f64) -> FaultHandle {
        let nodes = |endpoint: &crate::plan::Endpoint| match endpoint.kind {
            EndpointKind::Gateways => {
                plan.gateways(endpoint.who, step).into_iter().map(Node::Gateway).collect()
            }
            EndpointKind::Servers => plan.servers(endpoint.who, step).into_iter().map(Node::Server).collect(),
            EndpointKind::Counter => vec![Node::Counter],
            EndpointKind::Discovery => vec![Node::Discovery],
            EndpointKind::Clients => vec![Node::Client],
        };
        let (from, to): (Vec<Node>, Vec<Node>) = (nodes(&fault.from), nodes(&fault.to));
        let others = from.iter().chain(&to).filter(|node| !matches!(node, Node::Gateway(_)));
        let affected = others.copied().collect();
        let rule = LinkRule {
            action: fault.action,
            by: fault.by,
            spread: fault.spread,
            grows: fault.grows,
            since: now,
        };
        let mut rule_ids = vec![self.add_rule(&from, &to, rule)];
        if fault.both {
            rule_ids.push(self.add_rule(&to, &from, rule));
        }
        FaultHandle { rule_ids, affected }
    }

    /// Cuts the links between a node and all gateways in both directions.
    pub fn isolate(&self, node: Node, gateways: usize, now: f64) -> FaultHandle {
        let all: Vec<_> = (0..gateways).map(Node::Gateway).collect();
        let cut = LinkRule { action: LinkAction::Cut, by: 0.0, spread: 0.0, grows: 0.0, since: now };
        let rule_ids = vec![self.add_rule(&all, &[node], cut), self.add_rule(&[node], &all, cut)];
        FaultHandle { rule_ids, affected: vec![node] }
    }

    fn add_rule(&self, from: &[Node], to: &[Node], rule: LinkRule) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (from, to) = (from.iter().copied().collect(), to.iter().copied().collect());
        self.rules.write().unwrap_or_else(|e| e.into_inner()).push(ActiveRule { id, from, to, rule });
        id
    }

    /// Removes a fault.
    pub fn heal(&self, fault: &FaultHandle) {
        let mut rules = self.rules.write().unwrap_or_else(|e| e.into_inner());
        rules.retain(|rule| !fault.rule_ids.contains(&rule.id));
    }

    /// Returns the combined effect on traffic from one node to another at a time.
    pub fn effect(&self, from: Node, to: Node, now: f64) -> Effect {
        let rules = self.rules.read().unwrap_or_else(|e| e.into_inner());
        let mut effect = Effect::NONE;
        let applies = |active: &&ActiveRule| active.from.contains(&from) && active.to.contains(&to);
        for ActiveRule { rule, .. } in rules.iter().filter(applies) {
            // Probability of at least one of two independent events.
            let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
            match rule.action {
                LinkAction::Cut => effect.cut = true,
                LinkAction::Delay => {
                    effect.delay_s += (rule.by + rule.grows * (now - rule.since).max(0.0)) / 1000.0;
                    effect.jitter_s += rule.spread / 1000.0;
                }
                LinkAction::Loss => effect.loss = either(effect.loss, rule.by),
                LinkAction::Duplicate => effect.duplicate = either(effect.duplicate, rule.by),
                LinkAction::Reorder => effect.reorder = either(effect.reorder, rule.by),
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
    pub fn can_connect(&self, one: Node, other: Node, now: f64) -> bool {
        let effects = [self.effect(one, other, now), self.effect(other, one, now)];
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
            .map(|(number, step)| links.inject(&plan, number, step.link.as_ref().unwrap(), 1.0))
            .collect();
        let (gateway, server) = (Node::Gateway(0), Node::Server(1));
        let effect = links.effect(gateway, server, 3.0);
        assert_eq!((effect.delay_s, effect.loss), (0.07, 0.75));
        assert_eq!(links.effect(server, gateway, 3.0).loss, 0.5);
        links.heal(&faults[1]);
        assert_eq!(links.effect(gateway, server, 3.0).loss, 0.5);
        assert!(links.effect(server, gateway, 3.0).is_none());
        // A cut in one direction leaves connections half-open and prevents new ones.
        let (gateway, server) = (Node::Gateway(3), Node::Server(0));
        assert!(links.effect(server, gateway, 3.0).cut && !links.effect(gateway, server, 3.0).cut);
        assert!(!links.can_connect(gateway, server, 3.0) && links.can_connect(Node::Gateway(2), server, 3.0));
        faults.iter().for_each(|fault| links.heal(fault));
        assert!(links.can_connect(gateway, server, 3.0));
    }
}
