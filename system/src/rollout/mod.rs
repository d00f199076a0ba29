//! Roll-outs of new versions of services. [`Versions`] is the part of the replicated state that holds them: every
//! replica applies the same orders and steps. The leader alone decides on steps ([`controller`]), by what the
//! gateways report ([`evidence`]) and by a budget of exposure ([`schedule`]); each gateway derives from its replica
//! which backends may get requests ([`placement`]).

pub mod controller;
pub mod evidence;
pub mod messages;
pub mod placement;
pub mod schedule;

use crate::protocol::Backend;
use crate::status::RolloutStatus;
use messages::{AdmittedEditions, Phase, RolloutOrder, RolloutRecord, RolloutStep, VersionsRecord};
use oakfall::Millis;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of admitted versions of a service; further ones stay closed until a roll-out.
const MAX_ADMITTED: usize = 16;
/// Shares are counted in millionths.
pub const PPM: f64 = 1_000_000.0;

/// The latest roll-out of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// What was ordered.
    pub order: RolloutOrder,
    /// The index of the entry that began it.
    pub generation: u64,
    /// The index of the entry of its latest step.
    pub step: u64,
    /// Its phase.
    pub phase: Phase,
    /// The new version's share of the requests, in millionths.
    pub share_ppm: u32,
    /// Why it is in this phase.
    pub reason: String,
    /// The end of its term, on the clock of the replica's owner.
    pub ends_at: Millis,
}

impl Rollout {
    /// The new version's share of the requests.
    pub fn share(&self) -> f64 {
        f64::from(self.share_ppm) / PPM
    }

    /// Its state as operators read it.
    pub fn state_name(&self) -> &'static str {
        match self.phase {
            Phase::Delivered => "delivered",
            Phase::Returned => "returned",
            _ => "in_transit",
        }
    }

    /// Time left of its term, in ms; zero after it.
    pub fn remaining_ms(&self, now: Millis) -> u64 {
        (self.ends_at - now).max(0.0) as u64
    }

    /// Its status for operators.
    pub fn status(&self, now: Millis) -> RolloutStatus {
        RolloutStatus {
            service: self.order.service.clone(),
            to_edition: self.order.to_edition.clone(),
            phase: self.phase.name().to_owned(),
            share: self.share(),
            remaining_ms: self.remaining_ms(now),
            reason: self.reason.clone(),
        }
    }

    fn record(&self, now: Millis) -> RolloutRecord {
        RolloutRecord {
            order: Some(self.order.clone()),
            generation: self.generation,
            step: self.step,
            phase: self.phase as i32,
            share_ppm: self.share_ppm,
            reason: self.reason.clone(),
            remaining_ms: self.remaining_ms(now),
        }
    }

    fn from_record(now: Millis, record: RolloutRecord) -> Option<(String, Rollout)> {
        let phase = record.phase();
        let order = record.order?;
        let rollout = Rollout {
            generation: record.generation,
            step: record.step,
            phase,
            share_ppm: record.share_ppm,
            reason: record.reason,
            ends_at: now + record.remaining_ms as f64,
            order,
        };
        Some((rollout.order.service.clone(), rollout))
    }
}

/// The roll-outs and the admitted versions of all services.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Versions {
    /// The latest roll-out of each service that ever had one.
    pub rollouts: BTreeMap<String, Rollout>,
    /// The versions of each service that may get requests outside a roll-out.
    pub admitted: BTreeMap<String, BTreeSet<String>>,
}

impl Versions {
    /// The roll-out of a service that is under way.
    pub fn under_way(&self, service: &str) -> Option<&Rollout> {
        self.rollouts.get(service).filter(|rollout| !rollout.phase.is_final())
    }

    /// All roll-outs under way.
    pub fn all_under_way(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.values().filter(|rollout| !rollout.phase.is_final())
    }

    /// Whether a version may get requests outside a roll-out.
    pub fn is_admitted(&self, service: &str, edition: &str) -> bool {
        self.admitted.get(service).is_some_and(|editions| editions.contains(edition))
    }

    /// Admits a registered backend's version, unless it must be ordered: a version that appears beside an
    /// admitted one, or after the first order, waits for a roll-out. `former` is the backend's registration so
    /// far, `others` are the service's other registrations, and `may_route` tells whether there is a
    /// configuration yet.
    pub fn backend_registered<'a>(
        &mut self, backend: &Backend, former: Option<&Backend>,
        mut others: impl Iterator<Item = &'a Backend>, may_route: bool,
    ) {
        let Backend { service, edition, .. } = backend;
        if self.rollouts.contains_key(service) || self.is_admitted(service, edition) {
            return;
        }
        // Releases without versions registered backends without one.
        let was_unversioned = former.is_some_and(|former| former.edition.is_empty());
        let has_admitted = others.any(|other| self.is_admitted(service, &other.edition));
        let editions = self.admitted.entry(service.clone()).or_default();
        if (!may_route || was_unversioned || !has_admitted) && editions.len() < MAX_ADMITTED {
            editions.insert(edition.clone());
        }
    }

    /// Begins the roll-out that the entry at `index` orders. False if one of the service is under way.
    pub fn start(&mut self, now: Millis, index: u64, order: &RolloutOrder) -> bool {
        let is_valid = !order.from_editions.contains(&order.to_edition) && order.term_ms > 0;
        if !is_valid || self.under_way(&order.service).is_some() {
            return false;
        }
        self.admitted.insert(order.service.clone(), order.from_editions.iter().cloned().collect());
        let rollout = Rollout {
            order: order.clone(),
            generation: index,
            step: index,
            phase: Phase::Canary,
            share_ppm: order.canary_share_ppm,
            reason: "ordered".to_owned(),
            ends_at: now + order.term_ms as f64,
        };
        self.rollouts.insert(order.service.clone(), rollout);
        true
    }

    /// Applies the step of the entry at `index`. False if it does not follow the roll-out's latest step.
    pub fn advance(&mut self, now: Millis, index: u64, step: &RolloutStep) -> bool {
        let Some(rollout) = self.rollouts.get_mut(&step.service) else { return false };
        let follows = step.generation == rollout.generation && step.follows == rollout.step;
        if !follows || !rollout.phase.may_precede(step.phase()) {
            return false;
        }
        rollout.step = index;
        rollout.phase = step.phase();
        rollout.share_ppm = step.share_ppm;
        rollout.reason = step.reason.clone();
        // Processes that start again count the rest of the term from the latest step.
        rollout.ends_at = now + step.remaining_ms as f64;
        if rollout.phase == Phase::Delivered {
            let delivered = BTreeSet::from([rollout.order.to_edition.clone()]);
            self.admitted.insert(step.service.clone(), delivered);
        }
        true
    }

    /// The versions as a snapshot holds them.
    pub fn record(&self, now: Millis) -> VersionsRecord {
        let admitted = |(service, editions): (&String, &BTreeSet<String>)| AdmittedEditions {
            service: service.clone(),
            editions: editions.iter().cloned().collect(),
        };
        VersionsRecord {
            rollouts: self.rollouts.values().map(|rollout| rollout.record(now)).collect(),
            admitted: self.admitted.iter().map(admitted).collect(),
        }
    }

    /// The versions that a snapshot holds.
    pub fn from_record(now: Millis, record: VersionsRecord) -> Self {
        let rollouts = record.rollouts.into_iter();
        let admitted = record.admitted.into_iter();
        Versions {
            rollouts: rollouts.filter_map(|record| Rollout::from_record(now, record)).collect(),
            admitted: admitted
                .map(|admitted| (admitted.service, admitted.editions.into_iter().collect()))
                .collect(),
        }
    }

    /// What replicas at the same index have in common: all but the time that is left of a term.
    pub fn comparable_bytes(&self) -> Vec<u8> {
        let mut record = self.record(0.0);
        record.rollouts.iter_mut().for_each(|rollout| rollout.remaining_ms = 0);
        record.encode_to_vec()
    }

    /// Whether there is nothing to compare.
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty() && self.admitted.is_empty()
    }
}
