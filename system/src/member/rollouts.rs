//! Roll-outs of new versions: operators' orders and reads, and the steps that the leader's controller proposes.

use super::{CallResult, Member, RaftInput, Wait};
use crate::api::{Answers, Done, GetRollout, Outcome, Refusal, RolloutProgress, StartRollout};
use crate::protocol::{Backend, ChangeKind};
use crate::rollout::controller::{GatewayView, ServiceView};
use crate::rollout::messages::{RolloutOrder, VersionCounts};
use crate::rollout::schedule::Schedule;
use crate::rollout::Rollout;
use oakfall::Millis;
use std::collections::BTreeSet;

/// Interval at which the controller decides, in ticks.
pub(super) const CONTROLLER_INTERVAL_TICKS: u32 = 8;
/// An order that equals the last one and arrives within this many times `ack` is taken for its repetition.
const REPEATED_ORDER_ACKS: f64 = 2.0;

impl Answers<StartRollout> for Member {
    fn answer(&mut self, now: Millis, order: StartRollout) -> CallResult<Done> {
        let StartRollout { service, to_edition, term } = order;
        if self.state.config.is_none() {
            return Err(Refusal::Unavailable);
        }
        if !self.services.contains(&service) {
            return Err(Refusal::BadRequest(format!("the configuration holds no service {service}")));
        }
        if let Some(last) = self.state.versions.rollouts.get(&service) {
            self.check_against_last(now, last, &to_edition)?;
        }
        let from_editions = self.editions_in_service(&service, &to_edition);
        if from_editions.is_empty() {
            return Err(Refusal::BadRequest(format!("{service} has no other version than {to_edition}")));
        }
        let term_ms = term.as_millis() as u64;
        let schedule = Schedule::new(term_ms as f64, self.settings.bounds.expose_share);
        let canary_share_ppm = schedule.canary_share_ppm();
        let order = RolloutOrder { service, to_edition, from_editions, term_ms, canary_share_ppm };
        Ok(Outcome::Pending(Done {}, Wait::Committed(ChangeKind::Rollout(order))))
    }
}

impl Answers<GetRollout> for Member {
    fn answer(&mut self, now: Millis, GetRollout { service }: GetRollout) -> CallResult<RolloutProgress> {
        if !self.is_authoritative(now) {
            return Err(Refusal::Unavailable);
        }
        let Some(rollout) = self.state.versions.rollouts.get(&service) else {
            return Err(Refusal::Unknown(format!("no roll-out of {service} was ordered")));
        };
        Ok(Outcome::Ready(RolloutProgress {
            state: rollout.state_name().to_owned(),
            to_edition: rollout.order.to_edition.clone(),
            phase: rollout.phase.name().to_owned(),
            share: rollout.share(),
            reason: rollout.reason.clone(),
        }))
    }
}

impl Member {
    /// Refuses an order while the service's last roll-out is under way, or if it repeats that one.
    fn check_against_last(&self, now: Millis, last: &Rollout, to_edition: &str) -> Result<(), Refusal> {
        let (service, state) = (&last.order.service, last.state_name());
        if !last.phase.is_final() {
            return Err(Refusal::UnderWay(format!(
                "{service} is moving to {} ({})",
                last.order.to_edition,
                last.phase.name()
            )));
        }
        let ordered_at = last.ends_at - last.order.term_ms as f64;
        let repetition_ms = self.settings.bounds.ack_timeout.as_secs_f64() * 1000.0 * REPEATED_ORDER_ACKS;
        if last.order.to_edition == to_edition && now - ordered_at < repetition_ms {
            return Err(Refusal::UnderWay(format!("the roll-out of {service} to {to_edition} is {state}")));
        }
        Ok(())
    }

    /// The versions that get a service's requests now, apart from `to_edition`.
    fn editions_in_service(&self, service: &str, to_edition: &str) -> Vec<String> {
        let versions = &self.state.versions;
        let backends = self.state.backends.values().map(|known| &known.backend);
        let backends = backends.filter(|backend| backend.service == service);
        let admits_all = !self.settings.closes_unordered_versions && !versions.rollouts.contains_key(service);
        let registered =
            backends.filter(|backend| admits_all || versions.is_admitted(service, &backend.edition));
        let admitted = versions.admitted.get(service).into_iter().flatten();
        let all: BTreeSet<&String> = registered.map(|backend| &backend.edition).chain(admitted).collect();
        all.into_iter().filter(|edition| *edition != to_edition).cloned().collect()
    }

    /// The refusal of an order whose entry is applied; none if that entry began the roll-out.
    pub(super) fn rollout_refusal(&self, kind: Option<&ChangeKind>, index: u64) -> Option<Refusal> {
        let Some(ChangeKind::Rollout(order)) = kind else { return None };
        let last = self.state.versions.rollouts.get(&order.service);
        if last.is_some_and(|last| last.generation == index) {
            return None;
        }
        Some(Refusal::UnderWay(format!("another roll-out of {} was ordered first", order.service)))
    }

    /// Takes in what a gateway's proxy has seen of versions.
    pub(super) fn record_version_counts(&mut self, now: Millis, node: &str, counts: Vec<VersionCounts>) {
        for counts in counts {
            self.rollout_controller.record(now, &self.state.versions, node, counts);
        }
    }

    /// Proposes the steps of roll-outs that are due.
    pub(super) fn advance_rollouts(&mut self, now: Millis) {
        self.rollout_controller.forget_ended(&self.state.versions);
        if !self.is_authoritative(now) || self.state.versions.all_under_way().next().is_none() {
            return;
        }
        let presence = &self.presence;
        let view = |node| {
            let (contact_at, applied_index) = presence.gateway_contact(node);
            GatewayView { node, contact_age_ms: now - contact_at, applied_index }
        };
        let gateways: Vec<_> = self.state.gateways.keys().map(|node| view(node.as_str())).collect();
        for rollout in self.state.versions.all_under_way() {
            let service = self.service_view(rollout);
            let Some(step) = self.rollout_controller.next_step(now, rollout, &service, &gateways) else {
                continue;
            };
            let level = if step.phase() == rollout.phase { log::Level::Debug } else { log::Level::Info };
            log::log!(
                level,
                "core: roll-out of {} to {}: {} to {} at a share of {:.2}: {}",
                step.service,
                rollout.order.to_edition,
                rollout.phase.name(),
                step.phase().name(),
                f64::from(step.share_ppm) / crate::rollout::PPM,
                step.reason
            );
            self.inputs.push_back(RaftInput::Propose(ChangeKind::RolloutStep(step), None));
        }
    }

    fn service_view(&self, rollout: &Rollout) -> ServiceView {
        let order = &rollout.order;
        let backends = self.state.backends.values().map(|known| &known.backend);
        let open = backends.filter(|backend| {
            backend.service == order.service
                && !backend.draining
                && !self.state.evacuated.contains(&backend.zone)
        });
        let (mut old_capacity, mut new_capacity) = (0, 0);
        for Backend { edition, max_concurrency, .. } in open {
            let capacity = u64::from((*max_concurrency).max(1));
            if *edition == order.to_edition {
                new_capacity += capacity;
            } else if order.from_editions.contains(edition) {
                old_capacity += capacity;
            }
        }
        let is_configured = self.services.contains(&order.service);
        ServiceView { is_configured, old_capacity, new_capacity }
    }
}
