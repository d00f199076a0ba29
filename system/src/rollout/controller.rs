//! The controller of roll-outs, which runs at the leader: from a roll-out's replicated progress, the gateways'
//! reports and the time it decides the next step. It may lose its memory at any time: a new leader's controller
//! starts from the replicated progress and one round of reports.

use super::evidence::{Evidence, RouteTally, Verdict};
use super::messages::{Phase, RolloutStep, VersionCounts};
use super::schedule::Schedule;
use super::{Rollout, Versions};
use oakfall::Millis;
use std::collections::BTreeMap;

/// A gateway without a leader's answer for this long sends nothing to a new version that is not in service.
pub const LEASE_MS: Millis = 2000.0;
/// A gateway without contact for this long has no lease any more, whatever the clocks' drift.
const LAPSED_MS: Millis = LEASE_MS + 1000.0;
/// Responses of the new version without which its share does not rise: at the start of the shift, and since the
/// latest step.
const MIN_RESPONSES: u64 = 30;
const MIN_RESPONSES_OF_STEP: u64 = 15;
/// Routes with at least this part of the requests need some responses of their own.
const ROUTE_PART: f64 = 0.1;
const MIN_RESPONSES_OF_ROUTE: u64 = 6;
/// Capacity of the new version's backends that is needed, as part of the old one's.
const MIN_CAPACITY: f64 = 0.8;
/// A return is complete after this time even if a gateway in contact has not confirmed it.
const MAX_RETURNING_MS: Millis = 3000.0;
/// The time left of the term is replicated again after this part of the term, within these limits: a process that
/// starts anew counts from there.
const ANCHOR_OF_TERM: f64 = 1.0 / 16.0;
const MIN_ANCHOR_MS: Millis = 1000.0;
const MAX_ANCHOR_MS: Millis = 60_000.0;
/// A step that was proposed and not applied is proposed again after this time.
const REPEAT_MS: Millis = 1000.0;

/// What the leader knows of one gateway.
pub struct GatewayView<'a> {
    /// Its machine.
    pub node: &'a str,
    /// Time since the latest contact.
    pub contact_age_ms: Millis,
    /// The index that its proxy had applied by then.
    pub applied_index: u64,
}

/// What the controller needs to know of a service.
pub struct ServiceView {
    /// The configuration holds the service.
    pub is_configured: bool,
    /// Requests that the open backends of the old versions process at once.
    pub old_capacity: u64,
    /// The same of the new version.
    pub new_capacity: u64,
}

/// The controller's memory of one roll-out.
struct Watched {
    generation: u64,
    /// The latest step, and when it was first seen.
    step: u64,
    step_at: Millis,
    /// Responses of the new version when that step was first seen.
    responses_at_step: u64,
    /// When a step after that one was last proposed.
    proposed_at: Option<Millis>,
    evidence: Evidence,
}

impl Watched {
    fn new(now: Millis, rollout: &Rollout) -> Self {
        Watched {
            generation: rollout.generation,
            step: rollout.step,
            step_at: now,
            responses_at_step: 0,
            proposed_at: None,
            evidence: Evidence::default(),
        }
    }
}

/// The controller of all roll-outs.
pub struct Controller {
    watched: BTreeMap<String, Watched>,
    expose_share: f64,
}

impl Controller {
    /// A controller that lets bad versions have this share of the requests.
    pub fn new(expose_share: f64) -> Self {
        Controller { watched: BTreeMap::new(), expose_share }
    }

    /// Takes in a gateway's report on a roll-out under way.
    pub fn record(&mut self, now: Millis, versions: &Versions, node: &str, counts: VersionCounts) {
        let Some(rollout) = versions.under_way(&counts.service) else { return };
        if rollout.generation == counts.generation {
            self.watch(now, rollout).evidence.record(node, counts);
        }
    }

    fn watch(&mut self, now: Millis, rollout: &Rollout) -> &mut Watched {
        let watched =
            self.watched.entry(rollout.order.service.clone()).or_insert_with(|| Watched::new(now, rollout));
        if watched.generation != rollout.generation {
            *watched = Watched::new(now, rollout);
        }
        watched
    }

    /// Drops what is known of roll-outs that have ended.
    pub fn forget_ended(&mut self, versions: &Versions) {
        self.watched.retain(|service, _| versions.under_way(service).is_some());
    }

    /// The next step of a roll-out, if one is due.
    pub fn next_step(
        &mut self, now: Millis, rollout: &Rollout, service: &ServiceView, gateways: &[GatewayView],
    ) -> Option<RolloutStep> {
        let schedule = Schedule::new(rollout.order.term_ms as f64, self.expose_share);
        let watched = self.watch(now, rollout);
        let (verdict, totals) = watched.evidence.judge(rollout.phase == Phase::Canary);
        if watched.step != rollout.step {
            (watched.step, watched.step_at, watched.proposed_at) = (rollout.step, now, None);
            watched.responses_at_step = totals.new.answered();
        }
        if watched.proposed_at.is_some_and(|at| now - at < REPEAT_MS) {
            return None;
        }
        let (verdict, totals) = (&verdict, &totals);
        let decision = Decision { now, rollout, schedule, service, gateways, watched, verdict, totals };
        let (phase, share_ppm, reason) = decision.decide()?;
        watched.proposed_at = Some(now);
        Some(RolloutStep {
            service: rollout.order.service.clone(),
            generation: rollout.generation,
            follows: rollout.step,
            phase: phase as i32,
            share_ppm,
            reason,
            remaining_ms: rollout.remaining_ms(now),
        })
    }
}

/// All that a decision depends on.
struct Decision<'a> {
    now: Millis,
    rollout: &'a Rollout,
    schedule: Schedule,
    service: &'a ServiceView,
    gateways: &'a [GatewayView<'a>],
    watched: &'a Watched,
    verdict: &'a Verdict,
    totals: &'a RouteTally,
}

/// A step's phase, share and reason.
type Step = (Phase, u32, String);

impl Decision<'_> {
    fn decide(&self) -> Option<Step> {
        if self.rollout.phase == Phase::Returning {
            let returned = self.is_confirmed() || self.step_age() >= MAX_RETURNING_MS;
            return returned.then(|| (Phase::Returned, 0, self.rollout.reason.clone()));
        }
        if let Some(reason) = self.reason_to_return() {
            return Some((Phase::Returning, 0, reason));
        }
        let schedule = &self.schedule;
        match self.rollout.phase {
            Phase::Canary if self.remaining() <= schedule.shift_before_end_ms && self.is_proven() => {
                schedule.next_share_ppm(self.rollout.share_ppm).map(|share| self.shift_to(share))
            }
            Phase::Canary if self.step_age() >= self.anchor_interval() => {
                Some((Phase::Canary, self.rollout.share_ppm, self.describe("canary")))
            }
            Phase::Shifting if self.step_age() >= schedule.hold_ms && self.is_step_proven() => {
                let close =
                    || (Phase::OldClosed, super::PPM as u32, self.describe("closing the old version"));
                Some(
                    schedule
                        .next_share_ppm(self.rollout.share_ppm)
                        .map_or_else(close, |share| self.shift_to(share)),
                )
            }
            Phase::OldClosed if self.is_confirmed() && self.is_old_idle() => {
                Some((Phase::Delivered, super::PPM as u32, self.describe("delivered")))
            }
            _ => None,
        }
    }

    fn remaining(&self) -> Millis {
        self.rollout.ends_at - self.now
    }

    fn anchor_interval(&self) -> Millis {
        (self.rollout.order.term_ms as f64 * ANCHOR_OF_TERM).clamp(MIN_ANCHOR_MS, MAX_ANCHOR_MS)
    }

    fn step_age(&self) -> Millis {
        self.now - self.watched.step_at
    }

    fn shift_to(&self, share_ppm: u32) -> Step {
        (Phase::Shifting, share_ppm, self.describe("shifting"))
    }

    fn describe(&self, what: &str) -> String {
        format!("{what}: {}", self.totals.describe())
    }

    fn reason_to_return(&self) -> Option<String> {
        if !self.service.is_configured {
            return Some("the configuration no longer holds the service".to_owned());
        }
        if let Verdict::Bad(reason) = self.verdict {
            return Some(reason.clone());
        }
        let is_late = match self.rollout.phase {
            Phase::OldClosed => self.remaining() <= 0.0,
            _ => self.remaining() <= self.schedule.last_close_ms,
        };
        is_late.then(|| {
            let missing = match self.rollout.phase {
                Phase::OldClosed => "requests at the old version have not ended",
                _ if !self.has_capacity() => "too few backends of the new version",
                _ if *self.verdict != Verdict::Clean => "the evidence is mixed",
                _ => "too few responses of the new version",
            };
            self.describe(&format!("not proven by its term ({missing})"))
        })
    }

    fn has_capacity(&self) -> bool {
        self.service.new_capacity as f64 >= MIN_CAPACITY * self.service.old_capacity as f64
            && self.service.new_capacity > 0
    }

    /// Whether the canary allows the share to rise.
    fn is_proven(&self) -> bool {
        *self.verdict == Verdict::Clean
            && self.has_capacity()
            && self.totals.new.answered() >= MIN_RESPONSES
            && self.watched.evidence.covers_routes(ROUTE_PART, MIN_RESPONSES_OF_ROUTE)
    }

    /// Whether the latest step allows the next one.
    fn is_step_proven(&self) -> bool {
        let responses = self.totals.new.answered().saturating_sub(self.watched.responses_at_step);
        *self.verdict == Verdict::Clean && self.has_capacity() && responses >= MIN_RESPONSES_OF_STEP
    }

    /// Whether each gateway has applied the latest step, or can't have a lease any more.
    fn is_confirmed(&self) -> bool {
        self.gateways
            .iter()
            .all(|gateway| gateway.applied_index >= self.rollout.step || gateway.contact_age_ms > LAPSED_MS)
    }

    /// Whether no gateway in contact has requests in flight at the old versions. A gateway's report is at least as
    /// new as the index that it has applied.
    fn is_old_idle(&self) -> bool {
        self.gateways.iter().all(|gateway| {
            let in_flight = self.watched.evidence.report(gateway.node).map(|counts| counts.old_in_flight);
            in_flight == Some(0) || gateway.contact_age_ms > LAPSED_MS
        })
    }
}
