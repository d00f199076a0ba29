//! Where the log begins: the state that takes the place of its first entries, the entries of it that are kept for those
//! a little behind, and how a member that is farther behind gets the state: in pieces, each answered before the next, so
//! that signs of life stand behind one piece at most, and with a digest over the whole.

use super::letter::{Appended, Entry, Install, Piece, Say, Took};
use super::role::Role;
use super::{Action, Agreement, Append, Base, Name, Save, AGAIN_BYTES_MS, AGAIN_MS, HEARTBEAT_MS, READS};
use crate::state::hasher;
use cherrytally::Millis;
use std::collections::VecDeque;
use std::hash::Hasher;
use std::sync::Arc;

/// How much of a log is kept and sent at a time.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Bytes of a state in one letter.
    pub piece: usize,
    /// Entries that are kept though the state holds them.
    pub tail: usize,
    /// Bytes of their changes.
    pub tail_bytes: usize,
}

impl Default for Sizes {
    fn default() -> Self {
        Sizes { piece: PIECE, tail: TAIL.0, tail_bytes: TAIL.1 }
    }
}

/// Bytes of a state in one letter: an eighth of a second at 2 Mbit/s, well below the least time after which a member
/// without a word of the leader asks for votes, and 640 KiB a second at 50 ms there and back.
const PIECE: usize = 32 * 1024;
/// Bytes of a state that are taken at most: the largest message of a link.
const STATE_MOST: u64 = 32 << 20;
/// Entries that are kept though the state holds them, and the bytes of their changes: some minutes at ten changes a second
/// with beats, and a few configurations of the size that is designed for. What lacks more takes the state.
const TAIL: (usize, usize) = (512, 1 << 20);
/// And while a state is on its way, all behind it up to so many entries and bytes: with less a slow member would be sent
/// one state after the other and never be done. The state remembers 4,096 orders, more than that and the log.
const SENT_TAIL: (usize, usize) = (3072, 8 << 20);
/// A state that a member could not read is offered to it again after so long, in ms.
const REFUSED_MS: f64 = 5000.0;

/// A state that a member is being sent.
pub(super) struct Sending {
    base: Arc<Base>,
    digest: u64,
    /// Where the next piece begins.
    offset: usize,
    /// When the piece that is out was sent, and until when it is waited for.
    out: Option<(Millis, Millis)>,
}

impl Sending {
    fn new(base: Arc<Base>) -> Self {
        let digest = digest(base.index, base.term, &base.members, &base.state);
        Sending { base, digest, offset: 0, out: None }
    }

    /// The number of the last entry in the state.
    pub(super) fn index(&self) -> u64 {
        self.base.index
    }
}

/// What came of a state so far.
pub(super) struct Partial {
    pub(super) index: u64,
    last_term: u64,
    members: Vec<Name>,
    total: u64,
    digest: u64,
    bytes: Vec<u8>,
    /// The whole came and could not be read.
    refused: bool,
}

/// What came of a piece.
enum Came {
    /// More is wanted, from here on.
    More(u64),
    /// The whole can't be read.
    Refused,
    /// The whole is there.
    Whole,
}

/// Of a state and all that belongs to it.
fn digest(index: u64, term: u64, members: &[Name], state: &[u8]) -> u64 {
    let mut hasher = hasher();
    hasher.write_u64(index);
    hasher.write_u64(term);
    hasher.write_usize(members.len());
    for name in members {
        hasher.write_usize(name.len());
        hasher.write(name.as_bytes());
    }
    hasher.write(state);
    hasher.finish()
}

impl Agreement {
    // ---- The tail of the log ------------------------------------------------------------------------------

    /// Entries behind this number are there to be sent, and its term is known.
    pub(super) fn floor(&self) -> u64 {
        self.tail.front().map_or(self.base.index, |entry| entry.index)
    }

    /// All entries behind this number, in the tail and in the log; none if they are not all there.
    pub(super) fn kept(&self, index: u64) -> Option<impl Iterator<Item = &Entry>> {
        let first = self.tail.front().map_or(self.base.index + 1, |entry| entry.index);
        let skip = (index + 1).checked_sub(first)? as usize;
        let tail = self.tail.iter().skip(skip);
        Some(tail.chain(self.log.iter().skip(skip.saturating_sub(self.tail.len()))))
    }

    /// Applied entries behind this number; none if the log no longer holds them all.
    pub fn since(&self, index: u64) -> Option<impl Iterator<Item = &Entry>> {
        let applied = self.applied;
        Some(self.kept(index)?.take_while(move |entry| entry.index <= applied))
    }

    /// Bytes of the changes in the log up to this number.
    pub fn log_bytes(&self, index: u64) -> usize {
        self.log.iter().take_while(|entry| entry.index <= index).map(|entry| entry.data.len()).sum()
    }

    /// The log begins anew behind this number, at which the state was this. Nothing where it does already, or where that
    /// number is not applied.
    pub fn compact(&mut self, index: u64, state: Vec<u8>, actions: &mut Vec<Action>) {
        if index <= self.base.index || index > self.applied {
            return;
        }
        let term = self.term_at(index).unwrap_or(self.base.term);
        let applied = (index - self.base.index) as usize;
        // While members change the log keeps where that began: a state names one list.
        let Some(members) = self.members_at(index) else { return };
        self.tail.extend(self.log.drain(..applied));
        let mut bytes = self.tail.iter().map(|entry| entry.data.len()).sum::<usize>();
        let needed = self.needed();
        loop {
            let most = |entries: usize, most: usize| self.tail.len() > entries || bytes > most;
            let unneeded = self.tail.front().is_some_and(|entry| entry.index < needed);
            if !(most(SENT_TAIL.0, SENT_TAIL.1) || unneeded && most(self.sizes.tail, self.sizes.tail_bytes)) {
                break;
            }
            bytes -= self.tail.pop_front().map_or(0, |entry| entry.data.len());
        }
        self.become_base(Base { index, term, members, state }, None, actions);
    }

    /// From the end of the oldest state on that a member is being sent, the log is needed.
    fn needed(&self) -> u64 {
        let Role::Leader(lead) = &self.role else { return u64::MAX };
        let sent = lead.peers.values().chain(lead.joining.values());
        sent.filter_map(|progress| progress.sending.as_ref()).map(Sending::index).min().unwrap_or(u64::MAX)
    }

    /// The log begins behind another state; the one place where that changes.
    fn become_base(&mut self, base: Base, entries: Option<(u64, Vec<Entry>)>, actions: &mut Vec<Action>) {
        actions.push(Action::Save(Save { vow: self.vow.clone(), entries, base: Some(base.clone()) }));
        self.base = Arc::new(base);
    }

    // ---- The state, sent ----------------------------------------------------------------------------------

    /// Sends one member the next piece of the state, or a sign of life while one is out.
    pub(super) fn send_state(&mut self, now: Millis, to: &Name, actions: &mut Vec<Action>) {
        let (term, commit, floor, base) = (self.vow.term, self.commit, self.floor(), self.base.clone());
        let piece = self.sizes.piece;
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(progress) = lead.progress(to) else { return };
        // A state that is on its way stays the one that is sent as long as the log goes on from it.
        progress.sending.take_if(|sending| sending.base.index < floor);
        let sending = progress.sending.get_or_insert_with(|| Sending::new(base));
        if sending.out.is_some_and(|(_, until)| now < until) {
            if now - progress.sent >= HEARTBEAT_MS {
                progress.sent = now;
                let (prev, prev_term) = (sending.base.index, sending.base.term);
                let unheard_ms = now - progress.heard;
                let append =
                    Append { term, prev, prev_term, commit, at: now, unheard_ms, ..Append::default() };
                actions.push(Action::Send { to: to.clone(), say: Say::Append(append) });
            }
            return;
        }
        progress.sent = now;
        let Base { index, term: last_term, members, state } = &*sending.base;
        let until = (sending.offset + piece).min(state.len());
        let bytes = state.get(sending.offset..until).unwrap_or_default().to_vec();
        sending.out = Some((now, now + AGAIN_MS + bytes.len() as f64 / AGAIN_BYTES_MS));
        let first = sending.offset == 0;
        let say = if first && until == state.len() {
            let (members, state) = (members.clone(), bytes);
            let (index, last_term, digest) = (*index, *last_term, Some(sending.digest));
            Say::Install(Install { term, index, last_term, members, state, at: now, digest })
        } else {
            Say::Piece(Piece {
                term,
                index: *index,
                last_term: *last_term,
                members: if first { members.clone() } else { Vec::new() },
                total: state.len() as u64,
                digest: sending.digest,
                offset: sending.offset as u64,
                bytes,
                at: now,
            })
        };
        actions.push(Action::Send { to: to.clone(), say });
    }

    /// A member answered a piece.
    pub(super) fn took(&mut self, now: Millis, from: Name, took: &Took, actions: &mut Vec<Action>) {
        if took.term > self.vow.term {
            return self.follow(now, took.term, None, actions);
        }
        let Role::Leader(lead) = &mut self.role else { return };
        if took.term < self.vow.term {
            return;
        }
        let Some(progress) = lead.progress(&from) else { return };
        if !progress.answered(now, took.at, took.counts, None) {
            return;
        }
        let Some(sending) = &mut progress.sending else { return };
        // An answer that was doubled or came late sends nothing more.
        let mine = (sending.base.index, sending.digest) == (took.index, took.digest);
        if !mine || sending.out.is_none_or(|(at, _)| at != took.at) {
            return;
        }
        sending.offset = (took.wanted as usize).min(sending.base.state.len());
        sending.out = took.refused.then_some((now, now + REFUSED_MS));
        self.speak(now, &from, actions);
    }

    /// How far it is with a state that it is sent: the number, bytes that came, bytes of the whole, and whether the whole
    /// came and could not be read.
    pub fn filling(&self) -> Option<(u64, u64, u64, bool)> {
        self.partial.as_ref().map(|p| (p.index, p.bytes.len() as u64, p.total, p.refused))
    }

    // ---- The state, taken ---------------------------------------------------------------------------------

    /// A whole state came in one letter.
    pub(super) fn install(&mut self, now: Millis, from: Name, install: Install, actions: &mut Vec<Action>) {
        let Install { term, index, last_term, members, state, at, digest } = install;
        let digest = digest.unwrap_or_else(|| self::digest(index, last_term, &members, &state));
        let total = state.len() as u64;
        let bytes = state;
        let piece = Piece { term, index, last_term, members, total, digest, offset: 0, bytes, at };
        self.piece(now, from, piece, actions);
    }

    /// A piece of a state came.
    pub(super) fn piece(&mut self, now: Millis, from: Name, piece: Piece, actions: &mut Vec<Action>) {
        let Piece { term, index, digest, at, .. } = piece;
        let counts = self.vow.counts;
        let mut answer = Took { term: self.vow.term, index, digest, wanted: 0, refused: false, counts, at };
        if term < self.vow.term {
            return actions.push(Action::Send { to: from, say: Say::Took(answer) });
        }
        self.alone_in_term(&from, term);
        self.follow(now, term, Some(from.clone()), actions);
        self.said = at;
        answer.term = self.vow.term;
        if index > self.commit && self.term_at(index) == Some(piece.last_term) {
            // It has all that is in the state. What it holds behind that it may have answered for.
            self.commit = index;
            self.apply(actions);
        }
        if index > self.commit {
            match self.collect(piece) {
                Came::Whole => self.restore(actions),
                came => {
                    match came {
                        Came::More(wanted) => answer.wanted = wanted,
                        _ => answer.refused = true,
                    }
                    return actions.push(Action::Send { to: from, say: Say::Took(answer) });
                }
            }
        }
        // All that is agreed on up to the one that it holds is the same everywhere.
        let ok = index <= self.commit;
        let matched = if ok { index } else { self.last() };
        let (term, leaving, reach) = (self.vow.term, self.leaving, self.reach);
        let answer = Appended { term, ok, matched, counts, at, leaving, reach, reads: READS };
        actions.push(Action::Send { to: from, say: Say::Appended(answer) });
    }

    /// Puts a piece to those that came before it, if it is the next.
    fn collect(&mut self, piece: Piece) -> Came {
        let Piece { index, last_term, members, total, digest, offset, bytes, .. } = piece;
        self.partial.take_if(|known| (known.index, known.digest, known.total) != (index, digest, total));
        let reads = self.reads;
        let partial = self.partial.get_or_insert(Partial {
            index,
            last_term,
            members: Vec::new(),
            total,
            digest,
            bytes: Vec::new(),
            refused: total > STATE_MOST,
        });
        let held = partial.bytes.len() as u64;
        if partial.refused {
            return Came::Refused;
        }
        if offset != held || bytes.len() as u64 > total - held {
            return Came::More(held);
        }
        if offset == 0 {
            partial.members = members;
        }
        partial.bytes.extend_from_slice(&bytes);
        let held = partial.bytes.len() as u64;
        if held < total {
            return Came::More(held);
        }
        if self::digest(index, partial.last_term, &partial.members, &partial.bytes) != digest {
            log::error!("agreement: the state of {index} came otherwise than it was sent");
            partial.bytes = Vec::new();
            return Came::More(0);
        }
        if !reads(&partial.bytes) {
            log::error!("agreement: the state of {index} that was sent can't be read: it is not taken");
            (partial.refused, partial.bytes) = (true, Vec::new());
            return Came::Refused;
        }
        Came::Whole
    }

    /// The state that came whole takes the place of the log.
    fn restore(&mut self, actions: &mut Vec<Action>) {
        let Some(partial) = self.partial.take() else { return };
        let Partial { index, last_term: term, members, bytes: state, .. } = partial;
        self.log.clear();
        self.tail = VecDeque::new();
        (self.commit, self.applied) = (index, index);
        let base = Base { index, term, members, state: state.clone() };
        self.become_base(base, Some((index + 1, Vec::new())), actions);
        self.read_members();
        actions.push(Action::Restore { index, state });
    }
}
