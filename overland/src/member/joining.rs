//! Other core processes: what they say, those that want to be members, calls that are passed on to who leads, and
//! copies that are compared.

use super::{Action, Caller, Member, Next, Stage, Waiting, CALL_MS};
use crate::agreement::{Event, Name, RaftMessage};
use crate::calls::{Called, Refusal, Reply};
use crate::news::{Forwarded, Range, Ranges, Word};
use cherrytally::Millis;
use std::net::SocketAddr;

/// A call that was passed on: to whom, under which number.
pub(super) struct Passed {
    to: Name,
    number: u64,
}

/// A call that was passed on is refused when it may have been on its way for so long, in ms. It is counted from a word of the
/// leader that comes each 100 ms and takes 55 between regions; callers wait a second before they send it again.
pub(super) const ON_ITS_WAY_MS: Millis = 700.0;
impl Passed {
    /// To whom.
    pub(super) fn to(&self) -> &Name {
        &self.to
    }
}

/// A leader that said nothing for so long, in ms, is asked nothing: it speaks up each 100 ms, and its letters may be sent
/// again once. Others want to lead after 700.
const SILENT_MS: Millis = 400.0;
/// Processes that are sent the log at once, as they want to be members: a system has nine core machines at most.
const JOINING_MOST: usize = 9;
/// A leader that had not heard this process for so long, in ms, does not hear what is passed to it either: it is answered
/// each 100 ms, a way between regions takes up to 100, and one answer may be late.
const UNHEARD_MS: Millis = 500.0;
/// When a caller may come back whom the leader refused, in ms.
const LATER_MS: u64 = 200;

impl Member {
    /// Another core process said something.
    pub(super) fn heard(&mut self, now: Millis, from: Name, word: Word, out: &mut Vec<Action>) {
        let seed = self.seeds.iter().any(|seed| seed.to_string() == from);
        let known = seed || self.agreement.accepts_messages_from(&from);
        let (joins, named) = (matches!(word, Word::Join(_)), from.parse::<SocketAddr>().is_ok());
        let room = !joins || known || self.agreement.learner_count() < JOINING_MOST;
        if !named || !(known || joins) || !room {
            self.strange += 1;
            if self.strange.is_power_of_two() {
                log::warn!("core: {} words of no member", self.strange);
            }
            return;
        }
        match word {
            Word::Agreement(RaftMessage { payload: Some(say) }) => {
                self.next.push_back(Next::Event(Event::Received { from, payload: say }));
            }
            Word::Agreement(_) => {}
            Word::Call(call) => self.passed_on(now, from, &call, out),
            Word::Answer(answer) => self.answered(&from, answer, out),
            Word::Compare(theirs) => self.compared(&from, &theirs, out),
            Word::Differs(theirs) => {
                let mend = self.state.mend_for(now, &theirs);
                if let Some(mend) = mend.filter(|_| self.leads()) {
                    self.tell(&from, Word::Mend(mend), out);
                }
            }
            Word::Mend(_) if self.agreement.leader() != Some(&from) => {}
            Word::Mend(mend) => {
                let names = mend.names.join(", ");
                if !self.leads() && self.state.mend(now, mend) {
                    log::warn!("core: mended: {names}");
                    self.digest.forget();
                    self.whole = None;
                    self.unread = false;
                }
            }
            Word::Join(_) => {
                if let Some(leader) = self.agreement.leader().filter(|leader| **leader != self.me).cloned() {
                    out.push(Action::Pass { to: leader, from: from.clone() });
                }
                self.next.push_back(Next::Event(Event::Join(from)));
            }
        }
    }

    pub(super) fn tell(&self, to: &Name, word: Word, out: &mut Vec<Action>) {
        if *to != self.me {
            out.push(Action::Tell { to: to.clone(), word: Box::new(word) });
        }
    }

    /// Asks the core processes that it knows to let it be a member, where it is none.
    pub(super) fn ask_to_join(&self, out: &mut Vec<Action>) {
        if self.agreement.needs_to_join() {
            let seeds = self.seeds.iter().map(SocketAddr::to_string);
            for core in seeds.chain(self.agreement.members().iter().cloned()) {
                self.tell(&core, Word::Join(true), out);
            }
        }
    }

    // ---- Calls that are passed on ---------------------------------------------------------------------------

    /// Has a call answered by who leads.
    pub(super) fn pass_on(&mut self, now: Millis, caller: Caller, called: &Called, out: &mut Vec<Action>) {
        let leader = self.agreement.leader().filter(|leader| self.hears_leader(now, leader));
        let leader = leader.cloned().filter(|_| matches!(caller, Caller::Outside(_)));
        // Whoever was passed a call and does not lead either passes it to nobody.
        let Some(to) = leader else { return self.refuse(&caller, &Refusal::Later, out) };
        let number = self.number;
        self.number = number.wrapping_add(1);
        let path = format!("{} {}", called.method, called.path);
        let (term, said) = (self.agreement.term(), self.agreement.leader_sent_at());
        let call = Forwarded { number, path, body: called.body.to_vec(), status: 0, term, said };
        self.tell(&to, Word::Call(call), out);
        let (granted, until) = (Refusal::Later.reply(), now + CALL_MS);
        let stage = Stage::Passed(Passed { to, number });
        self.calls.insert(caller, Waiting { granted, until, stage });
    }

    /// Whether it follows this one, hears it, and is heard by it.
    pub(super) fn hears_leader(&self, now: Millis, leader: &Name) -> bool {
        let (heard, unheard) =
            (now - self.agreement.leader_heard_at(), self.agreement.since_heard_by_leader(now));
        self.agreement.leader() == Some(leader) && heard < SILENT_MS && unheard < UNHEARD_MS
    }

    /// A call that another core process passed on.
    fn passed_on(&mut self, now: Millis, from: Name, call: &Forwarded, out: &mut Vec<Action>) {
        let Some((method, path)) = call.path.split_once(' ') else { return };
        let caller = Caller::Member(from, call.number);
        // What a caller has given up and sent again must not take effect once more, over what came after it.
        let late = call.term != self.agreement.term() || now - call.said > ON_ITS_WAY_MS;
        if call.term > 0 && late {
            return self.refuse(&caller, &Refusal::Later, out);
        }
        // A double does nothing: what it wants was done, and its opposite may have been acknowledged since.
        let Caller::Member(from, number) = &caller else { return };
        if self.passed.insert((from.clone(), *number), now).is_some() {
            return;
        }
        self.called(now, caller, &Called { method, path, body: &call.body }, out);
    }

    /// The answer to a call that was passed on.
    fn answered(&mut self, from: &Name, answer: Forwarded, out: &mut Vec<Action>) {
        let Forwarded { number, body, status, .. } = answer;
        let mine = |stage: &Stage| matches!(stage, Stage::Passed(p) if p.number == number && p.to == *from);
        let caller = self.calls.iter().find(|(_, w)| mine(&w.stage)).map(|(caller, _)| caller.clone());
        let (Some(caller), Ok(status)) = (caller, u16::try_from(status)) else { return };
        let body = String::from_utf8(body).unwrap_or_default();
        let after_ms = (status == 503).then_some(LATER_MS);
        self.reply(&caller, Reply { status, body, after_ms }, out);
    }

    // ---- Copies that are compared ---------------------------------------------------------------------------

    /// The leader told the digest of its copy: where one's own differs its ranges are told.
    fn compared(&self, leader: &Name, theirs: &Ranges, out: &mut Vec<Action>) {
        let digest = theirs.ranges.first().map(|whole| whole.digest);
        let same = theirs.index != self.state.index || digest == Some(self.digest.of(&self.state));
        if !same && self.agreement.leader() == Some(leader) {
            log::warn!("core: the copy of change {} differs from the leader's", self.state.index);
            self.tell(leader, Word::Differs(self.state.ranges()), out);
        }
    }

    /// Tells the other members the digest of one's copy.
    pub(super) fn compare(&self, out: &mut Vec<Action>) {
        let whole = Range { name: String::new(), digest: self.digest.of(&self.state) };
        let ranges = Ranges { index: self.state.index, ranges: vec![whole] };
        for member in self.agreement.members() {
            self.tell(member, Word::Compare(ranges.clone()), out);
        }
    }
}
