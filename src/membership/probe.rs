//! Failure detection: direct probes in round-robin order, and indirect probes through other members.

use super::wire::{Body, DropReason};
use super::*;

/// Maximum probes under way on behalf of others.
const MAX_RELAYS: usize = 64;
/// Share of the probe timeout after which an indirect probe without an ack is answered by a nack.
const NACK_TIMEOUT_SHARE: f64 = 0.8;

/// The probe under way.
pub(super) struct Probe {
    target: Name,
    seq: u32,
    /// When the indirect probe starts; infinite once it has.
    indirect_at: Millis,
    deadline: Millis,
    helpers: Vec<Name>,
    nacks: usize,
}

impl Probe {
    pub(super) fn due(&self) -> Millis {
        self.indirect_at.min(self.deadline)
    }
}

/// A probe on behalf of another member.
pub(super) struct Relay {
    seq: u32,
    target: Name,
    origin: SocketAddrV4,
    origin_seq: u32,
    /// When the nack is sent; infinite once it was.
    nack_at: Millis,
    deadline: Millis,
}

impl Relay {
    pub(super) fn due(&self) -> Millis {
        self.nack_at.min(self.deadline)
    }
}

impl Membership {
    pub(super) fn probe_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if let Some(probe) = self.probe.take_if(|probe| probe.deadline <= now) {
            // Without an answer from any helper either, this process itself may be at fault.
            if probe.helpers.is_empty() || probe.nacks == 0 {
                self.degrade_health();
            }
            self.suspect(now, &probe.target, actions);
        }
        self.start_indirect_probe(now, actions);
        if now < self.probe_at {
            return;
        }
        let period = self.settings.period_ms * self.health_factor();
        self.probe_at = now + period * (1.0 + PERIOD_JITTER * (2.0 * self.rng.f64() - 1.0));
        if self.probe_order.is_empty() {
            return;
        }
        if self.next_probe >= self.probe_order.len() {
            // Each round probes every member once, in a new random order.
            self.next_probe = 0;
            self.rng.shuffle(&mut self.probe_order);
        }
        let target = self.probe_order[self.next_probe].clone();
        self.next_probe += 1;
        let seq = self.next_seq();
        let indirect_at = now + (self.settings.timeout_ms * self.health_factor()).min(period * 0.5);
        let (deadline, helpers) = (self.probe_at, Vec::new());
        self.ping(&target, seq, actions);
        self.probe = Some(Probe { target, seq, indirect_at, deadline, helpers, nacks: 0 });
    }

    /// Asks helpers to probe the target, and pings it once more in case the first ping was lost.
    fn start_indirect_probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.indirect_at <= now) else { return };
        probe.indirect_at = Millis::INFINITY;
        let (target, seq) = (probe.target.clone(), probe.seq);
        self.ping(&target, seq, actions);
        let helpers = self.random_members(INDIRECT_PROBES, Some(&target));
        for name in &helpers {
            let Some(to) = self.members.get(name).map(|m| m.record.identity.addr) else { continue };
            self.send(to, seq, Body::PingReq { target: target.clone() }, None, actions);
        }
        if let Some(probe) = &mut self.probe {
            probe.helpers = helpers;
        }
    }

    /// Pings a member, with its own record if it is suspected, so that it can refute that.
    fn ping(&mut self, target: &Name, seq: u32, actions: &mut Vec<Action>) {
        let Some(to) = self.members.get(target).map(|m| m.record.identity.addr) else { return };
        let about = Some(target).filter(|name| self.suspects.contains(*name));
        self.send(to, seq, Body::Ping, about, actions);
    }

    /// Probes a member on behalf of another one.
    pub(super) fn relay_probe(
        &mut self, now: Millis, origin_seq: u32, from: &Identity, target: &Name, actions: &mut Vec<Action>,
    ) {
        if *target == self.local.name {
            return self.send(from.addr, origin_seq, Body::Ack, None, actions);
        }
        if !self.members.contains_key(target) {
            return;
        }
        if self.relays.len() >= MAX_RELAYS {
            self.relays.pop_front();
        }
        let seq = self.next_seq();
        let timeout = self.settings.timeout_ms;
        self.relays.push_back(Relay {
            seq,
            target: target.clone(),
            origin: from.addr,
            origin_seq,
            nack_at: now + timeout * NACK_TIMEOUT_SHARE,
            deadline: now + self.settings.period_ms,
        });
        self.ping(target, seq, actions);
    }

    pub(super) fn relay_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.relays.retain(|relay| relay.deadline > now);
        let mut unanswered = Vec::new();
        for relay in self.relays.iter_mut().filter(|relay| relay.nack_at <= now) {
            relay.nack_at = Millis::INFINITY;
            unanswered.push((relay.origin, relay.origin_seq));
        }
        for (to, seq) in unanswered {
            self.send(to, seq, Body::Nack, None, actions);
        }
    }

    /// Handles an ack: from the probed member or a helper, or from a member probed on behalf of another.
    pub(super) fn on_ack(
        &mut self, now: Millis, seq: u32, from: &Identity, actions: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        let matches = |probe: &mut Probe| {
            probe.seq == seq && (probe.target == from.name || probe.helpers.contains(&from.name))
        };
        if self.probe.take_if(matches).is_some() {
            self.health = self.health.saturating_sub(1);
            return Ok(());
        }
        if seq == NO_SEQ {
            // Answers a ping sent after a suspicion timed out; the sender's record has already been applied.
            return Ok(());
        }
        let relayed = self.relays.iter().position(|relay| relay.seq == seq && relay.target == from.name);
        let Some(relay) = relayed.and_then(|index| self.relays.remove(index)).filter(|r| r.deadline > now)
        else {
            return Err(DropReason::Unsolicited);
        };
        self.send(relay.origin, relay.origin_seq, Body::Ack, Some(&relay.target), actions);
        Ok(())
    }

    /// Handles a nack: the helper is reachable, but has no ack from the probed member yet.
    pub(super) fn on_nack(&mut self, seq: u32, from: &Name) -> Result<(), DropReason> {
        match self.probe.as_mut().filter(|probe| probe.seq == seq && probe.helpers.contains(from)) {
            Some(probe) => {
                probe.nacks += 1;
                Ok(())
            }
            None => Err(DropReason::Unsolicited),
        }
    }
}
