//! State machine of one non-idempotent request at a gateway: its first owner, or one that takes it over.

use super::{
    Attempt, AttemptStatus, Claim, Message, ProcessId, Quorum, Record, Reply, Response, Term, MAX_ATTEMPTS,
};
use std::collections::BTreeMap;

/// An action for the gateway to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a message to a replica.
    Send {
        /// Index of the replica.
        to: u8,
        /// The message.
        message: Message,
    },
    /// Send the attempt to a backend; its claim is accepted by a write quorum.
    SendAttempt {
        /// Number of the attempt within the term.
        attempt: u8,
    },
    /// Send this response to the client.
    Respond {
        /// The response.
        response: Response,
    },
    /// Refund the request's units. No other gateway does so.
    Refund,
    /// The request ended without a response.
    Fail(Failure),
}

/// Why a request ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// It may have run, but no response is available. It must not be reported as rejected.
    OutcomeUnknown,
    /// It never ran and is safe to retry.
    NeverRan,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It is proven never to have run.
    NeverRan,
    /// It may have run.
    MayHaveRun,
    /// The backend responded.
    Responded(Response),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// Waits for a read quorum.
    Reading,
    /// Owns the request and has no attempt in flight.
    Owning,
    /// Waits for a write quorum to accept the claim.
    Claiming { claim: Claim, accepted_by: u64 },
    /// An attempt of this gateway is in flight.
    InFlight { attempt: u8 },
    /// Waits for a write quorum to store the response.
    StoringResponse { response: Response, stored_at: u64 },
    /// Another gateway owns the request, or an attempt may have run: polls for a response.
    Waiting,
    /// Nothing is left to do at this gateway.
    Finished,
}

/// State machine of one non-idempotent request at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    quorum: Quorum,
    term: Term,
    /// Merge of all records received.
    known: Record,
    /// Attempts at each replica read under the current term.
    replicas_read: BTreeMap<u8, Vec<Attempt>>,
    /// Number of the next attempt under the current term.
    next_attempt: u8,
    state: State,
}

impl Coordinator {
    /// Starts a request received from a client, as its first owner.
    pub fn first_owner(quorum: Quorum, process: ProcessId) -> Coordinator {
        let term = Term { round: 0, process };
        Coordinator {
            quorum,
            term,
            known: Record::default(),
            replicas_read: BTreeMap::new(),
            next_attempt: 0,
            state: State::Owning,
        }
    }

    /// Takes over a request of another gateway, starting with a read of the request's replicas.
    pub fn take_over(quorum: Quorum, process: ProcessId, actions: &mut Vec<Action>) -> Coordinator {
        let term = Term { round: 1, process };
        let mut coordinator = Coordinator { term, ..Coordinator::first_owner(quorum, process) };
        coordinator.start_read(actions);
        coordinator
    }

    /// Current term of this gateway.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether the request is finished at this gateway.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Whether this gateway may claim an attempt or a cancellation now.
    pub fn can_claim(&self) -> bool {
        self.state == State::Owning && self.is_unclaimed()
    }

    /// Whether no attempt may have run and the request isn't cancelled.
    fn is_unclaimed(&self) -> bool {
        self.known.cancelled.is_none()
            && !self.known.attempts.iter().any(|attempt| self.attempt_may_have_run(attempt))
    }

    /// Whether an attempt may have run. It can't have if it is known not to, or if its claim can no longer
    /// reach a write quorum: replicas read under the current term accept no earlier claim.
    fn attempt_may_have_run(&self, attempt: &Attempt) -> bool {
        if attempt.status == AttemptStatus::NeverRan {
            return false;
        }
        let unread = usize::from(self.quorum.replicas) - self.replicas_read.len();
        let has_claim = |attempts: &&Vec<Attempt>| {
            attempts.iter().any(|other| other.has_id(attempt.term, attempt.number))
        };
        let accepted = self.replicas_read.values().filter(has_claim).count();
        attempt.term >= self.term || unread + accepted >= usize::from(self.quorum.write)
    }

    fn send_to_all(&self, message: &Message, actions: &mut Vec<Action>) {
        actions.extend((0..self.quorum.replicas).map(|to| Action::Send { to, message: message.clone() }));
    }

    fn start_read(&mut self, actions: &mut Vec<Action>) {
        self.state = State::Reading;
        (self.next_attempt, self.replicas_read) = (0, BTreeMap::new());
        self.send_to_all(&Message::Read { term: self.term }, actions);
    }

    /// Claims the next attempt. Returns false if this gateway may not claim one now.
    pub fn claim_attempt(&mut self, actions: &mut Vec<Action>) -> bool {
        if !self.can_claim() || self.known.attempts.len() >= MAX_ATTEMPTS {
            return false;
        }
        self.send_claim(Claim::Attempt(self.next_attempt), actions);
        true
    }

    /// Claims the cancellation of the request. Returns false if this gateway may not claim it now.
    pub fn claim_cancellation(&mut self, actions: &mut Vec<Action>) -> bool {
        if !self.can_claim() {
            return false;
        }
        self.send_claim(Claim::Cancel, actions);
        true
    }

    fn send_claim(&mut self, claim: Claim, actions: &mut Vec<Action>) {
        self.state = State::Claiming { claim, accepted_by: 0 };
        self.send_to_all(&Message::Claim { term: self.term, claim }, actions);
    }

    /// Handles the result of an attempt made by this gateway.
    pub fn attempt_finished(&mut self, attempt: u8, outcome: Outcome, actions: &mut Vec<Action>) {
        if self.state != (State::InFlight { attempt }) {
            return;
        }
        match outcome {
            Outcome::NeverRan => {
                self.known.update_attempt(Attempt {
                    term: self.term,
                    number: attempt,
                    status: AttemptStatus::NeverRan,
                });
                self.state = State::Owning;
                self.send_to_all(&Message::NeverRan { term: self.term, number: attempt }, actions);
            }
            Outcome::MayHaveRun => {
                self.state = State::Finished;
                actions.push(Action::Fail(Failure::OutcomeUnknown));
            }
            Outcome::Responded(response) => {
                self.state = State::StoringResponse { response: response.clone(), stored_at: 0 };
                self.send_to_all(&Message::KeepResponse { response }, actions);
            }
        }
    }

    /// Resends unanswered messages. While waiting, polls for a response or takes the request over under a
    /// higher term. The caller schedules this with jitter.
    pub fn retry(&mut self, actions: &mut Vec<Action>) {
        match &self.state {
            State::Reading => self.send_to_all(&Message::Read { term: self.term }, actions),
            State::Claiming { claim, .. } => {
                self.send_to_all(&Message::Claim { term: self.term, claim: *claim }, actions);
            }
            State::StoringResponse { response, .. } => {
                self.send_to_all(&Message::KeepResponse { response: response.clone() }, actions)
            }
            State::Waiting if self.known.cancelled.is_some() => self.send_to_all(&Message::Lookup, actions),
            State::Waiting if self.known.promised > self.term => {
                self.term.round = self.known.promised.round + 1;
                self.start_read(actions);
            }
            // The replicas not read yet may show that the claim never reached a write quorum.
            State::Waiting => {
                for to in 0..self.quorum.replicas {
                    let term = self.term;
                    let message = if self.replicas_read.contains_key(&to) {
                        Message::Lookup
                    } else {
                        Message::Read { term }
                    };
                    actions.push(Action::Send { to, message });
                }
            }
            State::Owning | State::InFlight { .. } | State::Finished => {}
        }
    }

    /// Ends the request at the client's deadline, with what is known at this gateway.
    pub fn reach_deadline(&mut self, actions: &mut Vec<Action>) {
        let failure = match &self.state {
            State::Finished => return,
            // The first owner sent nothing and has seen no other owner. A client that gets this result
            // doesn't ask any other gateway to continue the request.
            State::Claiming { claim: Claim::Attempt(_), .. } | State::Owning
                if self.term.round == 0 && !self.known.has_claimed_attempt() =>
            {
                Failure::NeverRan
            }
            State::StoringResponse { response, .. } => {
                // Too few replicas confirmed the response, but the client still gets it in time.
                actions.push(Action::Respond { response: response.clone() });
                self.state = State::Finished;
                return;
            }
            _ => Failure::OutcomeUnknown,
        };
        self.state = State::Finished;
        actions.push(Action::Fail(failure));
    }

    /// Handles a reply of the replica with index `from`.
    pub fn handle_reply(&mut self, from: u8, reply: Reply, actions: &mut Vec<Action>) {
        if from >= self.quorum.replicas || self.state == State::Finished {
            return;
        }
        match reply {
            Reply::Accepted { term, claim } => self.handle_accepted(from, term, claim, actions),
            Reply::Record { term, record } => self.handle_record(from, term, record, actions),
            Reply::ResponseKept => self.handle_response_kept(from, actions),
            Reply::Superseded { by } => self.handle_superseded(by),
            // Other replicas may still form a quorum.
            Reply::NoVote => {}
        }
    }

    fn handle_accepted(&mut self, from: u8, term: Term, claim: Claim, actions: &mut Vec<Action>) {
        let (current_term, write) = (self.term, self.quorum.write);
        let State::Claiming { claim: requested, accepted_by } = &mut self.state else { return };
        if term != current_term || claim != *requested {
            return;
        }
        *accepted_by |= 1 << from;
        if accepted_by.count_ones() < u32::from(write) {
            return;
        }
        match claim {
            Claim::Attempt(attempt) => {
                self.known.update_attempt(Attempt {
                    term: current_term,
                    number: attempt,
                    status: AttemptStatus::Claimed,
                });
                self.next_attempt = attempt + 1;
                self.state = State::InFlight { attempt };
                actions.push(Action::SendAttempt { attempt });
            }
            Claim::Cancel => {
                self.known.cancelled = Some(current_term);
                self.state = State::Finished;
                actions.extend([Action::Refund, Action::Fail(Failure::NeverRan)]);
            }
        }
    }

    fn handle_record(&mut self, from: u8, term: Option<Term>, record: Record, actions: &mut Vec<Action>) {
        if !matches!(self.state, State::Reading | State::Waiting) {
            return;
        }
        if term == Some(self.term) {
            self.replicas_read.insert(from, record.attempts.clone());
        }
        self.known.merge(&record);
        let quorum_reached = self.replicas_read.len() >= usize::from(self.quorum.read);
        if self.respond_if_known(actions) || !quorum_reached {
            return;
        }
        // This gateway owns the request until another one reads it under a later term.
        self.state = if self.is_unclaimed() && self.known.promised <= self.term {
            State::Owning
        } else {
            State::Waiting
        };
    }

    /// Sends the response to the client if any replica had it.
    fn respond_if_known(&mut self, actions: &mut Vec<Action>) -> bool {
        let Some(response) = self.known.response.clone() else { return false };
        self.state = State::Finished;
        actions.push(Action::Respond { response });
        true
    }

    fn handle_response_kept(&mut self, from: u8, actions: &mut Vec<Action>) {
        let write = self.quorum.write;
        let State::StoringResponse { response, stored_at } = &mut self.state else { return };
        *stored_at |= 1 << from;
        if stored_at.count_ones() >= u32::from(write) {
            let response = response.clone();
            self.state = State::Finished;
            actions.push(Action::Respond { response });
        }
    }

    fn handle_superseded(&mut self, by: Term) {
        self.known.promised = self.known.promised.max(by);
        match self.state {
            // The process with the later term owns the request.
            State::Claiming { .. } | State::Reading if by > self.term => self.state = State::Waiting,
            // Among unread claims of equal rounds the first accepted one wins; read before claiming again.
            State::Claiming { .. } if by != self.term => self.state = State::Waiting,
            _ => {}
        }
    }
}
