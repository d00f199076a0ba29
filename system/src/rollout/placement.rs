//! Which backends of a service a gateway may send requests to, by their versions.

use super::messages::Phase;
use super::{Rollout, Versions};
use crate::protocol::Backend;
use crate::state::digest;
use std::collections::{BTreeMap, BTreeSet};

/// What a backend may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Its service's requests.
    InService,
    /// The requests drawn for the new version.
    Canary,
    /// Nothing.
    Closed,
}

/// The placements of all backends by one replica of the state.
pub struct Placements<'a> {
    versions: &'a Versions,
    /// Whether versions that were never ordered are closed.
    closes_unordered: bool,
    /// The backends of new versions that take part in a canary.
    canaries: BTreeSet<&'a str>,
}

impl<'a> Placements<'a> {
    /// The placements for these registered backends. `region` gives the region of a zone; backends in zones that
    /// `is_evacuated` are no canaries.
    pub fn new(
        versions: &'a Versions, closes_unordered: bool, backends: impl Iterator<Item = &'a Backend> + Clone,
        region: impl Fn(&str) -> Option<&'a str>, is_evacuated: impl Fn(&str) -> bool,
    ) -> Self {
        let mut canaries = BTreeSet::new();
        for rollout in versions.all_under_way().filter(|rollout| rollout.phase.has_canaries()) {
            let open = backends.clone().filter(|backend| {
                backend.service == rollout.order.service && !backend.draining && !is_evacuated(&backend.zone)
            });
            canaries.extend(select_canaries(rollout, open, &region));
        }
        Placements { versions, closes_unordered, canaries }
    }

    /// What a backend may get.
    pub fn of(&self, backend: &Backend) -> Placement {
        let Backend { service, edition, .. } = backend;
        let Some(rollout) = self.versions.rollouts.get(service) else {
            let is_open = !self.closes_unordered || self.versions.is_admitted(service, edition);
            return if is_open { Placement::InService } else { Placement::Closed };
        };
        let is_new = *edition == rollout.order.to_edition;
        let is_old = rollout.order.from_editions.contains(edition);
        let in_service = match rollout.phase {
            Phase::OldClosed => is_new,
            Phase::Delivered | Phase::Returned => self.versions.is_admitted(service, edition),
            _ => is_old,
        };
        match (in_service, self.canaries.contains(backend.id.as_str())) {
            (true, _) => Placement::InService,
            (false, true) => Placement::Canary,
            (false, false) => Placement::Closed,
        }
    }
}

/// The load of a canary, as part of a usual backend's: it may be one of the slower ones, and gateways don't know of each
/// other's requests.
const CANARY_LOAD: f64 = 0.6;

/// The backends of the new version that share its requests. In each region there are so few of them that each bears
/// [`CANARY_LOAD`], and a usual backend's load once the share rises. All gateways choose the same ones.
fn select_canaries<'a>(
    rollout: &Rollout, open: impl Iterator<Item = &'a Backend>, region: impl Fn(&str) -> Option<&'a str>,
) -> Vec<&'a str> {
    let mut old_counts: BTreeMap<Option<&str>, usize> = BTreeMap::new();
    let mut new_backends: BTreeMap<Option<&str>, Vec<(u64, &str)>> = BTreeMap::new();
    for backend in open {
        let region = region(&backend.zone);
        if backend.edition == rollout.order.to_edition {
            let rank = digest(format!("{} {}", rollout.generation, backend.id).as_bytes());
            new_backends.entry(region).or_default().push((rank, backend.id.as_str()));
        } else if rollout.order.from_editions.contains(&backend.edition) {
            *old_counts.entry(region).or_default() += 1;
        }
    }
    let mut selected = Vec::new();
    for (region, mut candidates) in new_backends {
        candidates.sort_unstable();
        let old_count = old_counts.get(&region).copied().unwrap_or(0) as f64;
        let load = if rollout.phase == Phase::Canary { CANARY_LOAD } else { 1.0 };
        let wanted = (old_count * rollout.share() / load).ceil().max(1.0) as usize;
        selected.extend(candidates.into_iter().take(wanted).map(|(_, id)| id));
    }
    selected
}
