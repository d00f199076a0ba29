//! A keeper: what it has accepted, told and promised for the requests that are in its care.

use super::{Attempt, Claim, Fate, Message, Record, Reply, Term, WorkId, ANSWER_MOST, ATTEMPTS_MOST};
use std::collections::{HashMap, VecDeque};

/// What a keeper may hold, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Records at most.
    pub records: usize,
    /// Bytes of answers at most.
    pub bytes: usize,
    /// A record lives so long after it was made, in ms: longer than any client may come back. A keeper that starts has
    /// no vote for as long, since it has forgotten what it promised.
    pub life_ms: f64,
}

/// The records of one gateway, bounded in number, bytes and age. Times are in ms on any clock that only goes forward.
#[derive(Clone, Debug)]
pub struct Keeper {
    limits: Limits,
    /// It has a vote from then on.
    votes_from: f64,
    records: HashMap<WorkId, Record>,
    /// By age, the oldest first. All live equally long.
    born: VecDeque<(f64, WorkId)>,
    bytes: usize,
    declined: u64,
}

impl Keeper {
    /// One that may have made promises before `now` and forgotten them.
    pub fn new(limits: Limits, now: f64) -> Keeper {
        Keeper {
            limits,
            votes_from: now + limits.life_ms,
            records: HashMap::new(),
            born: VecDeque::new(),
            bytes: 0,
            declined: 0,
        }
    }

    /// Whether it has a vote yet.
    pub fn votes(&self, now: f64) -> bool {
        now >= self.votes_from
    }

    /// What is held of a request.
    pub fn record(&self, id: WorkId) -> Option<&Record> {
        self.records.get(&id)
    }

    /// Records held.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Bytes of answers held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How often it had no room.
    pub fn declined(&self) -> u64 {
        self.declined
    }

    /// Answers one message on a request.
    pub fn handle(&mut self, now: f64, id: WorkId, message: Message) -> Reply {
        if !self.votes(now) {
            return Reply::Absent;
        }
        self.expire(now);
        if !self.records.contains_key(&id) && !self.begin(now, id, &message) {
            return Reply::Absent;
        }
        let (bytes, most) = (self.bytes, self.limits.bytes);
        let Some(record) = self.records.get_mut(&id) else { return Reply::Absent };
        match message {
            Message::Claim { term, claim } => accept(record, term, claim),
            Message::Read { term } if term > record.promised => {
                record.promised = term;
                Reply::Held { term: Some(term), record: record.clone() }
            }
            Message::Read { term } if term == record.promised && term.round > 0 => {
                // The same reading again, its answer was lost: but a claim under it shows that it was heard.
                Reply::Held { term: Some(term), record: record.clone() }
            }
            Message::Read { .. } => Reply::Superseded { by: record.promised },
            Message::Look => Reply::Held { term: None, record: record.clone() },
            Message::NeverRan { term, number } => {
                if record.attempts.iter().any(|attempt| attempt.is(term, number)) {
                    record.note(Attempt { term, number, fate: Fate::NeverRan });
                }
                Reply::Held { term: None, record: record.clone() }
            }
            Message::Keep { answer } => match &record.answer {
                Some(_) => Reply::Kept,
                None if answer.len() > ANSWER_MOST || bytes + answer.len() > most => {
                    self.declined += 1;
                    Reply::Absent
                }
                None => {
                    self.bytes += answer.len();
                    record.answer = Some(answer);
                    Reply::Kept
                }
            },
        }
    }

    /// Makes a record; false where there is none to make or no room. A promise is never dropped for another.
    fn begin(&mut self, now: f64, id: WorkId, message: &Message) -> bool {
        // There is nothing to look at, and what never ran here was never claimed here.
        if matches!(message, Message::Look | Message::NeverRan { .. }) {
            return false;
        }
        if self.records.len() >= self.limits.records {
            self.declined += 1;
            return false;
        }
        self.records.insert(id, Record::default());
        self.born.push_back((now, id));
        true
    }

    /// Forgets what nobody may come back for.
    fn expire(&mut self, now: f64) {
        while self.born.front().is_some_and(|(born, _)| *born + self.limits.life_ms <= now) {
            let Some((_, id)) = self.born.pop_front() else { return };
            let record = self.records.remove(&id);
            self.bytes -= record.and_then(|record| record.answer).map_or(0, |answer| answer.len());
        }
    }
}

/// Accepts a claim of whoever has the request: who read it last, or its first owner where nobody else has come.
fn accept(record: &mut Record, term: Term, claim: Claim) -> Reply {
    let untouched = *record == Record::default();
    if !(term == record.promised && !untouched || term.round == 0 && untouched) {
        return Reply::Superseded { by: record.promised };
    }
    match claim {
        Claim::Attempt(number) => {
            let known = record.attempts.iter().any(|attempt| attempt.is(term, number));
            if record.settled.is_some() || !known && record.attempts.len() >= ATTEMPTS_MOST {
                return Reply::Superseded { by: record.promised };
            }
            record.note(Attempt { term, number, fate: Fate::Claimed });
        }
        Claim::Settle => record.settled = record.settled.or(Some(term)),
    }
    record.promised = term;
    Reply::Accepted { term, claim }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: Limits = Limits { records: 2, bytes: 100, life_ms: 1000.0 };

    fn term(round: u32, holder: u64) -> Term {
        Term { round, holder }
    }

    fn claim(term: Term, attempt: u8) -> Message {
        Message::Claim { term, claim: Claim::Attempt(attempt) }
    }

    fn accepted(reply: Reply) -> bool {
        matches!(reply, Reply::Accepted { .. })
    }

    /// One that has a vote at 0.
    fn keeper() -> Keeper {
        Keeper::new(LIMITS, -1000.0)
    }

    #[test]
    fn the_first_owner_alone_claims_unread_and_a_reading_ends_its_right() {
        let mut keeper = keeper();
        assert!(accepted(keeper.handle(0.0, 1, claim(term(0, 7), 0))));
        assert!(accepted(keeper.handle(0.0, 1, claim(term(0, 7), 0))), "told twice");
        assert_eq!(keeper.handle(0.0, 1, claim(term(0, 8), 0)), Reply::Superseded { by: term(0, 7) });
        assert_eq!(
            keeper.handle(0.0, 1, claim(term(5, 8), 1)),
            Reply::Superseded { by: term(0, 7) },
            "unread"
        );
        let Reply::Held { record, .. } = keeper.handle(0.0, 1, Message::Read { term: term(1, 8) }) else {
            panic!("it is read")
        };
        assert!(record.claimed());
        assert_eq!(keeper.handle(0.0, 1, claim(term(0, 7), 1)), Reply::Superseded { by: term(1, 8) });
        assert!(accepted(keeper.handle(0.0, 1, claim(term(1, 8), 1))));
        assert_eq!(
            keeper.handle(0.0, 1, Message::Read { term: term(1, 2) }),
            Reply::Superseded { by: term(1, 8) }
        );
    }

    #[test]
    fn facts_hold_whoever_tells_them_and_a_settled_request_is_not_sent() {
        let mut keeper = keeper();
        keeper.handle(0.0, 1, claim(term(0, 7), 0));
        keeper.handle(0.0, 1, Message::Read { term: term(1, 8) });
        keeper.handle(0.0, 1, Message::NeverRan { term: term(0, 7), number: 0 });
        // What is told of an attempt that was never claimed here is not taken for another one.
        keeper.handle(0.0, 1, Message::NeverRan { term: term(1, 8), number: 0 });
        let answer: super::super::Answer = (&b"done"[..]).into();
        assert_eq!(keeper.handle(0.0, 1, Message::Keep { answer: answer.clone() }), Reply::Kept);
        let Reply::Held { record, .. } = keeper.handle(0.0, 1, Message::Look) else { panic!("it is there") };
        let attempts = vec![Attempt { term: term(0, 7), number: 0, fate: Fate::NeverRan }];
        assert_eq!((record.attempts, record.answer), (attempts, Some(answer)));
        let settle = Message::Claim { term: term(1, 8), claim: Claim::Settle };
        assert!(accepted(keeper.handle(0.0, 1, settle)));
        assert!(!accepted(keeper.handle(0.0, 1, claim(term(1, 8), 1))));
    }

    #[test]
    fn one_that_has_just_started_has_no_vote_and_a_full_one_drops_no_promise() {
        let mut keeper = Keeper::new(LIMITS, 0.0);
        assert_eq!(keeper.handle(999.0, 1, claim(term(0, 7), 0)), Reply::Absent);
        assert!(accepted(keeper.handle(1000.0, 1, claim(term(0, 7), 0))));
        assert!(accepted(keeper.handle(1500.0, 2, claim(term(0, 7), 0))));
        assert_eq!(keeper.handle(1500.0, 3, claim(term(0, 7), 0)), Reply::Absent);
        assert_eq!((keeper.records(), keeper.declined()), (2, 1));
        let long: super::super::Answer = vec![0; 101].into();
        assert_eq!(keeper.handle(1500.0, 1, Message::Keep { answer: long }), Reply::Absent);
        let fits: super::super::Answer = vec![0; 100].into();
        assert_eq!(keeper.handle(1500.0, 1, Message::Keep { answer: fits }), Reply::Kept);
        assert_eq!(keeper.bytes(), 100);
        // The oldest is over: there is room again, and all of it.
        assert!(accepted(keeper.handle(2000.0, 3, claim(term(0, 7), 0))));
        assert_eq!((keeper.records(), keeper.bytes()), (2, 0));
        assert_eq!(keeper.handle(2000.0, 1, Message::Look), Reply::Absent);
    }
}
