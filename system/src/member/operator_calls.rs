//! Operators' calls: configuration updates, starts and ends of evacuations, and reads of the configuration.
//!
//! A configuration update passes through five stages:
//! 1. queued, until the edition it is based on is applied, or until fewer proposals are pending;
//! 2. proposed as a log entry, which an identical update joins;
//! 3. committed: applying the entry accepts or rejects the update, with the same result at every member, and
//!    the replicated state records that result;
//! 4. enforced: with `fail_closed`, every gateway has applied it or has been out of contact for `ack_wait`;
//! 5. answered.
//!
//! The caller may get an inconclusive answer in any stage. To learn the result, it sends the identical update
//! again.

use super::{Action, CallResult, Caller, Member, RaftInput, Stage, Wait};
use crate::api::{
    Answers, ConfigUpdate, Done, EndEvacuation, Get, JsonText, Outcome, Patch, Put, Refusal, StartEvacuation,
};
use crate::config::{full_config_digest, ConfigDocument};
use crate::delta::Delta;
use crate::protocol::{ChangeKind, ConfigRevision, RejectedUpdate};
use crate::state::UpdateCheck;
use crate::update_outcomes::UpdateId;
use oakfall::Millis;
use prost::Message;
use std::collections::VecDeque;

/// Maximum number of concurrent proposals: twice the supported number of concurrent updates, as callers may
/// have given up on some.
const MAX_PROPOSED: usize = 16;
/// Maximum number of queued updates; each may hold a whole configuration of several megabytes.
const MAX_QUEUED: usize = 32;

/// Configuration updates in progress.
#[derive(Default)]
pub(super) struct Updates {
    /// Callers of queued updates, in order of arrival.
    queued: VecDeque<Caller>,
    /// Updates proposed in this term and not applied yet.
    proposed: Vec<Proposed>,
}

/// A proposed update.
struct Proposed {
    /// Digest of the update's content.
    digest: u64,
    /// Edition that the update sets.
    edition: u64,
    /// Index of its log entry.
    index: u64,
    /// Term of its log entry.
    term: u64,
}

impl Updates {
    /// Removes a caller's update from the queue. A proposed update stays proposed.
    pub(super) fn dequeue(&mut self, caller: &Caller) {
        self.queued.retain(|queued| queued != caller);
    }

    /// Records that an update is proposed as the entry with this index and term.
    pub(super) fn add_proposed(&mut self, config: &ConfigRevision, index: u64, term: u64) {
        let digest = config.digests.first().copied().unwrap_or(config.call_digest);
        self.proposed.push(Proposed { digest, edition: config.edition, index, term });
    }

    /// Removes proposals up to an applied index.
    pub(super) fn remove_applied(&mut self, index: u64) {
        self.proposed.retain(|proposed| proposed.index > index);
    }

    /// Removes all proposals, as leadership changed.
    pub(super) fn clear_proposed(&mut self) {
        self.proposed.clear();
    }
}

impl Answers<Put> for Member {
    fn answer(&mut self, _: Millis, Put(update): Put) -> CallResult<Done> {
        Ok(Outcome::Pending(Done {}, Wait::Update(update)))
    }
}

impl Answers<Patch> for Member {
    fn answer(&mut self, _: Millis, Patch(update): Patch) -> CallResult<Done> {
        Ok(Outcome::Pending(Done {}, Wait::Update(update)))
    }
}

impl Answers<Get> for Member {
    fn answer(&mut self, now: Millis, _: Get) -> CallResult<JsonText> {
        let authoritative = self.is_authoritative(now);
        let config = self.state.config.as_ref().filter(|_| authoritative).ok_or(Refusal::Unavailable)?;
        Ok(Outcome::Ready(JsonText(config.text.clone())))
    }
}

impl Answers<StartEvacuation> for Member {
    fn answer(&mut self, _: Millis, StartEvacuation(zone): StartEvacuation) -> CallResult<Done> {
        Ok(Outcome::Pending(Done {}, Wait::Committed(ChangeKind::Evacuated(zone))))
    }
}

impl Answers<EndEvacuation> for Member {
    fn answer(&mut self, _: Millis, EndEvacuation(zone): EndEvacuation) -> CallResult<Done> {
        Ok(Outcome::Pending(Done {}, Wait::Committed(ChangeKind::Evacuated(zone))))
    }
}

/// Next step of a queued update.
enum Step {
    /// Stay queued.
    Wait,
    /// Wait for an identical update that is already proposed as the entry with this index and term.
    Join { index: u64, term: u64 },
    /// Propose it.
    Propose(ChangeKind),
    /// It was accepted by the entry with this index.
    Accepted(u64),
    /// Refuse it, or answer that its result is unknown.
    Refuse(Refusal),
}

impl Member {
    /// Queues a caller's update, or refuses it if the queue is full.
    pub(super) fn queue_update(&mut self, caller: Caller, out: &mut Vec<Action>) {
        if self.updates.queued.len() >= MAX_QUEUED {
            return self.refuse(&caller, &Refusal::Unavailable, out);
        }
        self.updates.queued.push_back(caller);
    }

    /// Advances the queued updates, in order, until one is to be proposed.
    pub(super) fn advance_queued_updates(&mut self, now: Millis, out: &mut Vec<Action>) {
        for caller in self.updates.queued.clone() {
            let step = match self.calls.get(&caller).map(|call| &call.stage) {
                Some(Stage::Queued(update)) => self.next_step(now, update),
                _ => Step::Refuse(Refusal::Unavailable),
            };
            let update_id = self.queued_update_id(&caller);
            if !matches!(step, Step::Wait) {
                self.updates.dequeue(&caller);
            }
            match step {
                Step::Wait => {}
                Step::Join { index, term } => {
                    self.set_stage(&caller, Stage::Proposed { index, term, update_id });
                }
                Step::Propose(kind) => {
                    self.set_stage(&caller, Stage::Proposing(update_id));
                    self.inputs.push_back(RaftInput::Propose(kind, Some(caller)));
                    return;
                }
                Step::Accepted(index) => {
                    self.set_stage(&caller, Stage::Enforcing { index });
                    self.answer_enforced(now, out);
                }
                Step::Refuse(refusal) => self.refuse(&caller, &refusal, out),
            }
        }
    }

    fn queued_update_id(&self, caller: &Caller) -> Option<UpdateId> {
        match &self.calls.get(caller)?.stage {
            Stage::Queued(update) => update.id,
            _ => None,
        }
    }

    fn next_step(&self, now: Millis, update: &ConfigUpdate) -> Step {
        if !self.is_authoritative(now) {
            return Step::Refuse(Refusal::Unavailable);
        }
        let (document, update_id) = match (&update.document, &update.id) {
            (Ok(document), Some(update_id)) => (document, update_id),
            (Err(invalid), _) => return Step::Refuse(invalid.clone().into()),
            (Ok(_), None) => return Step::Refuse(Refusal::Unavailable),
        };
        let proposed = &self.updates.proposed;
        if let Some(same) = proposed.iter().find(|proposed| proposed.digest == update_id.content_digest) {
            return Step::Join { index: same.index, term: same.term };
        }
        match self.state.check_update(update_id) {
            UpdateCheck::Accepted(index) => Step::Accepted(index),
            // Pending proposals are applied shortly.
            UpdateCheck::Applicable | UpdateCheck::Ahead if proposed.len() >= MAX_PROPOSED => Step::Wait,
            UpdateCheck::Ahead if proposed.iter().any(|proposed| proposed.edition == update_id.based_on) => {
                Step::Wait
            }
            // The rejection is replicated, so that a delayed duplicate of the update is not accepted later.
            UpdateCheck::Ahead => {
                let UpdateId { edition, based_on, content_digest, .. } = *update_id;
                Step::Propose(ChangeKind::Rejected(RejectedUpdate { edition, based_on, content_digest }))
            }
            UpdateCheck::Applicable => match self.change_for(document, update_id, update.patch) {
                Ok(kind) => Step::Propose(kind),
                Err(refusal) => Step::Refuse(refusal),
            },
            check => Step::Refuse(self.refusal_for(check, update_id)),
        }
    }

    /// The change that an update based on the current configuration proposes.
    fn change_for(
        &self, document: &ConfigDocument, update_id: &UpdateId, patch: bool,
    ) -> Result<ChangeKind, Refusal> {
        let current = self.state.config.as_ref().map_or("", |config| config.text.as_str());
        let document = document.clone();
        let (_, text) = if patch { document.apply_to(current) } else { document.into_full_config() }?;
        let UpdateId { edition, based_on, content_digest, call_digest } = *update_id;
        log::info!("core: proposing configuration r{edition} based on r{based_on}");
        let digests = vec![content_digest, full_config_digest(based_on, &text)];
        let based_on = Some(based_on);
        Ok(ChangeKind::Config(ConfigRevision {
            edition,
            text,
            call_digest,
            based_on,
            digests,
            difference: None,
        }))
    }

    /// Replaces the text of a proposed configuration by its difference from the current one, if that is much
    /// shorter and every receiver of the log can read differences. The entry is only accepted on top of that
    /// edition.
    pub(super) fn with_difference(&self, config: ConfigRevision) -> ConfigRevision {
        let current = self.state.config.as_ref().filter(|current| config.based_on == Some(current.edition));
        let Some(current) = current.filter(|_| self.raft.all_read_entry_version()) else {
            return config;
        };
        let difference = Delta::between(&current.text, &config.text);
        if difference.encoded_len() >= config.text.len() / 2 {
            return config;
        }
        ConfigRevision { text: String::new(), difference: Some(difference), ..config }
    }

    fn refusal_for(&self, check: UpdateCheck, update_id: &UpdateId) -> Refusal {
        let current = self.state.edition();
        match check {
            UpdateCheck::Stale => Refusal::Conflict(format!("r{current} is in place")),
            UpdateCheck::NotIncreasing => Refusal::BadRequest(format!(
                "edition r{} is not above r{}",
                update_id.edition, update_id.based_on
            )),
            UpdateCheck::Unrecorded => {
                Refusal::OutcomeUnknown(format!("r{} lies too far back to tell", update_id.edition))
            }
            // The update is neither accepted nor rejected, as the applied entry was another update.
            UpdateCheck::Accepted(_) | UpdateCheck::Applicable | UpdateCheck::Ahead => Refusal::Unavailable,
        }
    }

    /// Logs the result of applying an update, if this process leads.
    pub(super) fn log_update(&self, config: &ConfigRevision, accepted: bool) {
        if !self.is_leader() {
            return;
        }
        let (edition, current) = (config.edition, self.state.edition());
        if accepted {
            log::info!("core: configuration r{edition} committed");
        } else {
            log::info!("core: configuration r{edition} refused: r{current} is current");
        }
    }

    /// Continues with an update whose entry is applied.
    pub(super) fn update_applied(
        &mut self, now: Millis, caller: &Caller, update_id: &UpdateId, out: &mut Vec<Action>,
    ) {
        match self.state.check_update(update_id) {
            UpdateCheck::Accepted(index) => {
                self.set_stage(caller, Stage::Enforcing { index });
                self.answer_enforced(now, out);
            }
            check => self.refuse(caller, &self.refusal_for(check, update_id), out),
        }
    }

    /// Answers the updates that are enforced.
    pub(super) fn answer_enforced(&mut self, now: Millis, out: &mut Vec<Action>) {
        let index_to_enforce = |stage: &Stage| match stage {
            Stage::Enforcing { index } => Some(*index),
            _ => None,
        };
        let calls = &self.calls;
        let waiting =
            calls.iter().filter_map(|(caller, call)| Some((caller.clone(), index_to_enforce(&call.stage)?)));
        for (caller, index) in waiting.collect::<Vec<_>>() {
            if self.is_enforced(now, index) {
                self.reply_success(&caller, out);
            }
        }
    }

    /// Whether every gateway has applied this change or has been out of contact for `ack_wait`, after which
    /// its keys expire within `revocation_timeout`. Always true unless `fail_closed`.
    fn is_enforced(&self, now: Millis, index: u64) -> bool {
        if !self.settings.bounds.fail_closed {
            return true;
        }
        let ack_wait_ms = self.settings.bounds.ack_wait().as_secs_f64() * 1000.0;
        self.state.gateways.keys().all(|node| {
            let (contact_at, applied_index) = self.presence.gateway_contact(node);
            applied_index >= index || now - contact_at > ack_wait_ms
        })
    }
}
