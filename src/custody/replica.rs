//! A replica: stores what it accepted and promised for each request.

use super::{
    Attempt, AttemptStatus, Claim, Message, Record, Reply, RequestId, Term, MAX_ATTEMPTS, MAX_RESPONSE_BYTES,
};
use std::collections::{HashMap, VecDeque};

/// Bounds on what a replica stores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of records.
    pub max_records: usize,
    /// Maximum total size of stored responses.
    pub max_response_bytes: usize,
    /// Lifetime of a record, longer than any client may take to retry. A restarted replica has lost its
    /// promises and doesn't vote for this long.
    pub lifetime_ms: f64,
}

/// The records at one gateway, bounded in number, size and age. Times are in ms on any monotonic clock.
#[derive(Clone, Debug)]
pub struct Replica {
    limits: Limits,
    /// Time from which this replica votes.
    votes_from_ms: f64,
    records: HashMap<RequestId, Record>,
    /// Creation times, oldest first; all records have the same lifetime.
    created: VecDeque<(f64, RequestId)>,
    response_bytes: usize,
    rejected: u64,
}

impl Replica {
    /// Creates an empty replica. It doesn't vote until any promise made before `now` has expired.
    pub fn new(limits: Limits, now: f64) -> Replica {
        Replica {
            limits,
            votes_from_ms: now + limits.lifetime_ms,
            records: HashMap::new(),
            created: VecDeque::new(),
            response_bytes: 0,
            rejected: 0,
        }
    }

    /// Whether this replica votes.
    pub fn can_vote(&self, now: f64) -> bool {
        now >= self.votes_from_ms
    }

    /// Returns the record of a request.
    pub fn record(&self, id: RequestId) -> Option<&Record> {
        self.records.get(&id)
    }

    /// Number of records.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Total size of the stored responses in bytes.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// How many records or responses were rejected for lack of room.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Handles a message about a request and returns the reply.
    pub fn handle(&mut self, now: f64, id: RequestId, message: Message) -> Reply {
        if !self.can_vote(now) {
            return Reply::NoVote;
        }
        self.remove_expired(now);
        if !self.records.contains_key(&id) && !self.create_record(now, id, &message) {
            return Reply::NoVote;
        }
        let (response_bytes, max_response_bytes) = (self.response_bytes, self.limits.max_response_bytes);
        let Some(record) = self.records.get_mut(&id) else { return Reply::NoVote };
        match message {
            Message::Claim { term, claim } => accept_claim(record, term, claim),
            Message::Read { term } if term > record.promised => {
                record.promised = term;
                Reply::Record { term: Some(term), record: record.clone() }
            }
            Message::Read { term } if term == record.promised && term.round > 0 => {
                // A repeated read whose reply was lost.
                Reply::Record { term: Some(term), record: record.clone() }
            }
            Message::Read { .. } => Reply::Superseded { by: record.promised },
            Message::Lookup => Reply::Record { term: None, record: record.clone() },
            Message::NeverRan { term, number } => {
                if record.attempts.iter().any(|attempt| attempt.has_id(term, number)) {
                    record.update_attempt(Attempt { term, number, status: AttemptStatus::NeverRan });
                }
                Reply::Record { term: None, record: record.clone() }
            }
            Message::KeepResponse { response } => match &record.response {
                Some(_) => Reply::ResponseKept,
                None if response.len() > MAX_RESPONSE_BYTES
                    || response_bytes + response.len() > max_response_bytes =>
                {
                    self.rejected += 1;
                    Reply::NoVote
                }
                None => {
                    self.response_bytes += response.len();
                    record.response = Some(response);
                    Reply::ResponseKept
                }
            },
        }
    }

    /// Creates a record. Returns false if the message needs none or there is no room; a record is never
    /// evicted to make room, since that would drop its promise.
    fn create_record(&mut self, now: f64, id: RequestId, message: &Message) -> bool {
        // Without a record there is nothing to return, and the attempt was never claimed here.
        if matches!(message, Message::Lookup | Message::NeverRan { .. }) {
            return false;
        }
        if self.records.len() >= self.limits.max_records {
            self.rejected += 1;
            return false;
        }
        self.records.insert(id, Record::default());
        self.created.push_back((now, id));
        true
    }

    /// Removes expired records.
    fn remove_expired(&mut self, now: f64) {
        while self.created.front().is_some_and(|(created, _)| *created + self.limits.lifetime_ms <= now) {
            let Some((_, id)) = self.created.pop_front() else { return };
            let record = self.records.remove(&id);
            self.response_bytes -=
                record.and_then(|record| record.response).map_or(0, |response| response.len());
        }
    }
}

/// Accepts a claim under the promised term, or of the first owner if the record is still empty.
fn accept_claim(record: &mut Record, term: Term, claim: Claim) -> Reply {
    let is_new = *record == Record::default();
    if !(term == record.promised && !is_new || term.round == 0 && is_new) {
        return Reply::Superseded { by: record.promised };
    }
    match claim {
        Claim::Attempt(number) => {
            let known = record.attempts.iter().any(|attempt| attempt.has_id(term, number));
            if record.cancelled.is_some() || !known && record.attempts.len() >= MAX_ATTEMPTS {
                return Reply::Superseded { by: record.promised };
            }
            record.update_attempt(Attempt { term, number, status: AttemptStatus::Claimed });
        }
        Claim::Cancel => record.cancelled = record.cancelled.or(Some(term)),
    }
    record.promised = term;
    Reply::Accepted { term, claim }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: Limits = Limits { max_records: 2, max_response_bytes: 100, lifetime_ms: 1000.0 };

    fn term(round: u32, process: u64) -> Term {
        Term { round, process }
    }

    fn claim(term: Term, attempt: u8) -> Message {
        Message::Claim { term, claim: Claim::Attempt(attempt) }
    }

    fn is_accepted(reply: Reply) -> bool {
        matches!(reply, Reply::Accepted { .. })
    }

    /// A replica that votes from time 0.
    fn replica() -> Replica {
        Replica::new(LIMITS, -1000.0)
    }

    #[test]
    fn only_the_first_owner_claims_without_a_read_and_a_later_read_supersedes_it() {
        let mut replica = replica();
        assert!(is_accepted(replica.handle(0.0, 1, claim(term(0, 7), 0))));
        assert!(is_accepted(replica.handle(0.0, 1, claim(term(0, 7), 0))), "a repeated claim is accepted");
        assert_eq!(replica.handle(0.0, 1, claim(term(0, 8), 0)), Reply::Superseded { by: term(0, 7) });
        assert_eq!(
            replica.handle(0.0, 1, claim(term(5, 8), 1)),
            Reply::Superseded { by: term(0, 7) },
            "unread"
        );
        let Reply::Record { record, .. } = replica.handle(0.0, 1, Message::Read { term: term(1, 8) }) else {
            panic!("expected the record")
        };
        assert!(record.has_claimed_attempt());
        assert_eq!(replica.handle(0.0, 1, claim(term(0, 7), 1)), Reply::Superseded { by: term(1, 8) });
        assert!(is_accepted(replica.handle(0.0, 1, claim(term(1, 8), 1))));
        assert_eq!(
            replica.handle(0.0, 1, Message::Read { term: term(1, 2) }),
            Reply::Superseded { by: term(1, 8) }
        );
    }

    #[test]
    fn reported_facts_are_stored_and_a_cancelled_request_accepts_no_attempt() {
        let mut replica = replica();
        replica.handle(0.0, 1, claim(term(0, 7), 0));
        replica.handle(0.0, 1, Message::Read { term: term(1, 8) });
        replica.handle(0.0, 1, Message::NeverRan { term: term(0, 7), number: 0 });
        // A report about an attempt that was never claimed here changes nothing.
        replica.handle(0.0, 1, Message::NeverRan { term: term(1, 8), number: 0 });
        let response: super::super::Response = (&b"done"[..]).into();
        assert_eq!(
            replica.handle(0.0, 1, Message::KeepResponse { response: response.clone() }),
            Reply::ResponseKept
        );
        let Reply::Record { record, .. } = replica.handle(0.0, 1, Message::Lookup) else {
            panic!("expected the record")
        };
        let attempts = vec![Attempt { term: term(0, 7), number: 0, status: AttemptStatus::NeverRan }];
        assert_eq!((record.attempts, record.response), (attempts, Some(response)));
        let cancel = Message::Claim { term: term(1, 8), claim: Claim::Cancel };
        assert!(is_accepted(replica.handle(0.0, 1, cancel)));
        assert!(!is_accepted(replica.handle(0.0, 1, claim(term(1, 8), 1))));
    }

    #[test]
    fn a_restarted_replica_does_not_vote_and_a_full_one_keeps_its_promises() {
        let mut replica = Replica::new(LIMITS, 0.0);
        assert_eq!(replica.handle(999.0, 1, claim(term(0, 7), 0)), Reply::NoVote);
        assert!(is_accepted(replica.handle(1000.0, 1, claim(term(0, 7), 0))));
        assert!(is_accepted(replica.handle(1500.0, 2, claim(term(0, 7), 0))));
        assert_eq!(replica.handle(1500.0, 3, claim(term(0, 7), 0)), Reply::NoVote);
        assert_eq!((replica.record_count(), replica.rejected()), (2, 1));
        let oversized: super::super::Response = vec![0; 101].into();
        assert_eq!(replica.handle(1500.0, 1, Message::KeepResponse { response: oversized }), Reply::NoVote);
        let fitting: super::super::Response = vec![0; 100].into();
        assert_eq!(
            replica.handle(1500.0, 1, Message::KeepResponse { response: fitting }),
            Reply::ResponseKept
        );
        assert_eq!(replica.response_bytes(), 100);
        // The oldest record has expired, and its room is available again.
        assert!(is_accepted(replica.handle(2000.0, 3, claim(term(0, 7), 0))));
        assert_eq!((replica.record_count(), replica.response_bytes()), (2, 0));
        assert_eq!(replica.handle(2000.0, 1, Message::Lookup), Reply::NoVote);
    }
}
