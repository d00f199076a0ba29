//! One unsafe request at a gateway that has it: its first owner, or one that takes it over.

use super::{Answer, Attempt, Claim, Fate, Holder, Message, Quorum, Record, Reply, Term, ATTEMPTS_MOST};
use std::collections::BTreeMap;

/// What it asks of the gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send this to the keeper at this place.
    Send {
        /// The keeper.
        to: u8,
        /// What.
        message: Message,
    },
    /// The attempt may be written to a server now: nobody else makes one.
    Write {
        /// Its number.
        attempt: u8,
    },
    /// The client's answer; enough keepers have it.
    Deliver {
        /// The answer.
        answer: Answer,
    },
    /// Its units are to be given back, by this gateway and no other.
    Refund,
    /// It is over without an answer.
    End(End),
}

/// How it ends without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// It may have run, and nobody has its answer: that, and not a refusal, is the truth.
    NotKnown,
    /// It never ran and was given up: trying again is harmless.
    GivenUp,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Its outcome proves that it never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
    /// A server answered.
    Answered(Answer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// It waits for what keepers hold.
    Reading,
    /// It has the request, and no attempt is out.
    Holding,
    /// It waits until enough keepers accept.
    Claiming { claim: Claim, accepted: u64 },
    /// An attempt of its own is out.
    Out { attempt: u8 },
    /// It waits until enough keepers have the answer.
    Keeping { answer: Answer, kept: u64 },
    /// Somebody else has it, or an attempt may be out: it looks for an answer.
    Waiting,
    /// It is over here.
    Over,
}

/// One unsafe request at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Custodian {
    quorum: Quorum,
    term: Term,
    /// All that was heard of it.
    known: Record,
    /// What keepers held that were read under the present term.
    read: BTreeMap<u8, Vec<Attempt>>,
    /// Attempts claimed under the present term.
    made: u8,
    stage: Stage,
}

impl Custodian {
    /// A request that a client asks this gateway for the first time.
    pub fn owner(quorum: Quorum, holder: Holder) -> Custodian {
        let term = Term { round: 0, holder };
        Custodian {
            quorum,
            term,
            known: Record::default(),
            read: BTreeMap::new(),
            made: 0,
            stage: Stage::Holding,
        }
    }

    /// A request that was another gateway's: its keepers are read first.
    pub fn taker(quorum: Quorum, holder: Holder, actions: &mut Vec<Action>) -> Custodian {
        let term = Term { round: 1, holder };
        let mut taker = Custodian { term, ..Custodian::owner(quorum, holder) };
        taker.begin_reading(actions);
        taker
    }

    /// The term under which it acts.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether it is over here.
    pub fn over(&self) -> bool {
        self.stage == Stage::Over
    }

    /// Whether an attempt could be claimed now.
    pub fn holds(&self) -> bool {
        self.stage == Stage::Holding && self.free()
    }

    /// Whether no attempt may be out and nobody gave it up.
    fn free(&self) -> bool {
        self.known.settled.is_none() && !self.known.attempts.iter().any(|attempt| self.may_have_run(attempt))
    }

    /// An attempt may have run unless it is known that it did not, or so few have accepted its claim that no quorum
    /// ever can: whoever was read under this term accepts nothing earlier.
    fn may_have_run(&self, attempt: &Attempt) -> bool {
        if attempt.fate == Fate::NeverRan {
            return false;
        }
        let unread = usize::from(self.quorum.keepers) - self.read.len();
        let accepted = |held: &&Vec<Attempt>| held.iter().any(|one| one.is(attempt.term, attempt.number));
        let accepted = self.read.values().filter(accepted).count();
        attempt.term >= self.term || unread + accepted >= usize::from(self.quorum.write)
    }

    fn tell(&self, message: &Message, actions: &mut Vec<Action>) {
        actions.extend((0..self.quorum.keepers).map(|to| Action::Send { to, message: message.clone() }));
    }

    fn begin_reading(&mut self, actions: &mut Vec<Action>) {
        self.stage = Stage::Reading;
        (self.made, self.read) = (0, BTreeMap::new());
        self.tell(&Message::Read { term: self.term }, actions);
    }

    /// Asks for the right to make the next attempt. False if it has no such right to ask for.
    pub fn attempt(&mut self, actions: &mut Vec<Action>) -> bool {
        if !self.holds() || self.known.attempts.len() >= ATTEMPTS_MOST {
            return false;
        }
        self.claim(Claim::Attempt(self.made), actions);
        true
    }

    /// Asks for the right to give it up. False if it has no such right to ask for.
    pub fn give_up(&mut self, actions: &mut Vec<Action>) -> bool {
        if !self.holds() {
            return false;
        }
        self.claim(Claim::Settle, actions);
        true
    }

    fn claim(&mut self, claim: Claim, actions: &mut Vec<Action>) {
        self.stage = Stage::Claiming { claim, accepted: 0 };
        self.tell(&Message::Claim { term: self.term, claim }, actions);
    }

    /// An attempt of its own has ended.
    pub fn outcome(&mut self, attempt: u8, outcome: Outcome, actions: &mut Vec<Action>) {
        if self.stage != (Stage::Out { attempt }) {
            return;
        }
        match outcome {
            Outcome::NeverRan => {
                self.known.note(Attempt { term: self.term, number: attempt, fate: Fate::NeverRan });
                self.stage = Stage::Holding;
                self.tell(&Message::NeverRan { term: self.term, number: attempt }, actions);
            }
            Outcome::MayHaveRun => {
                self.stage = Stage::Over;
                actions.push(Action::End(End::NotKnown));
            }
            Outcome::Answered(answer) => {
                self.stage = Stage::Keeping { answer: answer.clone(), kept: 0 };
                self.tell(&Message::Keep { answer }, actions);
            }
        }
    }

    /// Time has passed with no end: what is still owed is said again, and whoever waits looks, or takes over what
    /// nobody has claimed. The caller spreads these by chance.
    pub fn again(&mut self, actions: &mut Vec<Action>) {
        match &self.stage {
            Stage::Reading => self.tell(&Message::Read { term: self.term }, actions),
            Stage::Claiming { claim, .. } => {
                self.tell(&Message::Claim { term: self.term, claim: *claim }, actions);
            }
            Stage::Keeping { answer, .. } => self.tell(&Message::Keep { answer: answer.clone() }, actions),
            Stage::Waiting if self.known.settled.is_some() => self.tell(&Message::Look, actions),
            Stage::Waiting if self.known.promised > self.term => {
                self.term.round = self.known.promised.round + 1;
                self.begin_reading(actions);
            }
            // Those that have not been read may show that what was claimed was never written.
            Stage::Waiting => {
                for to in 0..self.quorum.keepers {
                    let term = self.term;
                    let message =
                        if self.read.contains_key(&to) { Message::Look } else { Message::Read { term } };
                    actions.push(Action::Send { to, message });
                }
            }
            Stage::Holding | Stage::Out { .. } | Stage::Over => {}
        }
    }

    /// The client's time is over. What the client is told is the truth as far as it is known here.
    pub fn expire(&mut self, actions: &mut Vec<Action>) {
        let end = match &self.stage {
            Stage::Over => return,
            // Its first owner never wrote it, and nobody else had it as far as was heard. A client that has this
            // answer asks nobody to go on with it.
            Stage::Claiming { claim: Claim::Attempt(_), .. } | Stage::Holding
                if self.term.round == 0 && !self.known.claimed() =>
            {
                End::GivenUp
            }
            Stage::Keeping { answer, .. } => {
                // Few keepers have it; the client still gets it, in time.
                actions.push(Action::Deliver { answer: answer.clone() });
                self.stage = Stage::Over;
                return;
            }
            _ => End::NotKnown,
        };
        self.stage = Stage::Over;
        actions.push(Action::End(end));
    }

    /// A keeper's word.
    pub fn reply(&mut self, from: u8, reply: Reply, actions: &mut Vec<Action>) {
        if from >= self.quorum.keepers || self.stage == Stage::Over {
            return;
        }
        match reply {
            Reply::Accepted { term, claim } => self.accepted(from, term, claim, actions),
            Reply::Held { term, record } => self.held(from, term, record, actions),
            Reply::Kept => self.kept(from, actions),
            Reply::Superseded { by } => self.superseded(by),
            // As if it were not there; others may make the quorum.
            Reply::Absent => {}
        }
    }

    fn accepted(&mut self, from: u8, term: Term, claim: Claim, actions: &mut Vec<Action>) {
        let (own, write) = (self.term, self.quorum.write);
        let Stage::Claiming { claim: asked, accepted } = &mut self.stage else { return };
        if term != own || claim != *asked {
            return;
        }
        *accepted |= 1 << from;
        if accepted.count_ones() < u32::from(write) {
            return;
        }
        match claim {
            Claim::Attempt(attempt) => {
                self.known.note(Attempt { term: own, number: attempt, fate: Fate::Claimed });
                self.made = attempt + 1;
                self.stage = Stage::Out { attempt };
                actions.push(Action::Write { attempt });
            }
            Claim::Settle => {
                self.known.settled = Some(own);
                self.stage = Stage::Over;
                actions.extend([Action::Refund, Action::End(End::GivenUp)]);
            }
        }
    }

    fn held(&mut self, from: u8, term: Option<Term>, record: Record, actions: &mut Vec<Action>) {
        if !matches!(self.stage, Stage::Reading | Stage::Waiting) {
            return;
        }
        if term == Some(self.term) {
            self.read.insert(from, record.attempts.clone());
        }
        self.known.merge(&record);
        let enough = self.read.len() >= usize::from(self.quorum.read);
        if self.found(actions) || !enough {
            return;
        }
        // It is its own again for as long as nobody reads it under a later term.
        self.stage =
            if self.free() && self.known.promised <= self.term { Stage::Holding } else { Stage::Waiting };
    }

    /// A server's answer is with a keeper: whoever asks gets it.
    fn found(&mut self, actions: &mut Vec<Action>) -> bool {
        let Some(answer) = self.known.answer.clone() else { return false };
        self.stage = Stage::Over;
        actions.push(Action::Deliver { answer });
        true
    }

    fn kept(&mut self, from: u8, actions: &mut Vec<Action>) {
        let write = self.quorum.write;
        let Stage::Keeping { answer, kept } = &mut self.stage else { return };
        *kept |= 1 << from;
        if kept.count_ones() >= u32::from(write) {
            let answer = answer.clone();
            self.stage = Stage::Over;
            actions.push(Action::Deliver { answer });
        }
    }

    fn superseded(&mut self, by: Term) {
        self.known.promised = self.known.promised.max(by);
        match self.stage {
            // Whoever has a later term has the request.
            Stage::Claiming { .. } | Stage::Reading if by > self.term => self.stage = Stage::Waiting,
            // Of equal rounds that nobody has read the first claim stands; it is read before another is made.
            Stage::Claiming { .. } if by != self.term => self.stage = Stage::Waiting,
            _ => {}
        }
    }
}
