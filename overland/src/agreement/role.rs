//! What a member is to the others, and what a leader knows of each.

use super::snapshot::Sending;
use super::Name;
use cherrytally::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// A member's role.
pub(super) enum Role {
    Follower(Follow),
    Candidate(Stand),
    Leader(Lead),
}

/// It follows, perhaps a leader it knows.
pub(super) struct Follow {
    pub(super) leader: Option<Name>,
}

/// It wants to lead.
pub(super) struct Stand {
    /// It only asks whether it would be voted for.
    pub(super) pre: bool,
    pub(super) votes: BTreeSet<Name>,
    /// The leader named it.
    pub(super) named: bool,
    /// When it last asked.
    pub(super) asked: Millis,
}

/// It leads.
pub(super) struct Lead {
    /// The first entry of its term.
    pub(super) first: u64,
    /// Since when.
    pub(super) since: Millis,
    pub(super) peers: BTreeMap<Name, Progress>,
    /// Those that are sent the log and want to be members.
    pub(super) joining: BTreeMap<Name, Progress>,
    /// A successor is named: it answers for nobody any more.
    pub(super) resigned: Option<Millis>,
}

impl Lead {
    pub(super) fn progress(&mut self, name: &Name) -> Option<&mut Progress> {
        self.peers.get_mut(name).or_else(|| self.joining.get_mut(name))
    }

    /// When a member was last heard.
    pub(super) fn heard(&self, name: &Name, me: &Name, now: Millis) -> Option<Millis> {
        if name == me {
            return Some(now);
        }
        self.peers.get(name).map(|p| p.heard)
    }

    /// When the last letter that a member has answered was sent.
    pub(super) fn asked(&self, name: &Name, me: &Name, now: Millis) -> Option<Millis> {
        if self.resigned.is_some() {
            return None;
        }
        if name == me {
            return Some(now);
        }
        self.peers.get(name).filter(|p| p.counts).map(|p| p.asked)
    }
}

/// What a leader knows of another member.
pub(super) struct Progress {
    /// The next entry to be sent to it.
    pub(super) next: u64,
    /// It holds the log up to this entry, on disk.
    pub(super) matched: u64,
    /// Its copies count: it has not forgotten.
    pub(super) counts: bool,
    /// It has all that was agreed on, so its word may count.
    pub(super) welcome: bool,
    /// The state that it is sent, where the log no longer reaches back to it.
    pub(super) sending: Option<Sending>,
    /// Bytes of entries that were sent since it last had answered for all.
    pub(super) flight: usize,
    /// Since when something is out that it has not answered.
    pub(super) out_since: Option<Millis>,
    pub(super) sent: Millis,
    pub(super) heard: Millis,
    /// When the last letter that it answered was sent.
    pub(super) asked: Millis,
    /// When it last said that its disk is new. What it answered to earlier letters was of its old disk.
    pub(super) emptied: Millis,
    /// It is told to end.
    pub(super) leaving: bool,
    /// It was told that it may: its copies count no more.
    pub(super) released: bool,
    /// How many agents it hears.
    pub(super) reach: u32,
    /// What it reads in entries.
    pub(super) reads: u32,
}

impl Progress {
    pub(super) fn new(next: u64, now: Millis) -> Self {
        let never = f64::NEG_INFINITY;
        Progress {
            next,
            matched: 0,
            counts: false,
            welcome: false,
            sending: None,
            flight: 0,
            out_since: None,
            sent: never,
            heard: now,
            asked: never,
            emptied: never,
            leaving: false,
            released: false,
            reach: 0,
            reads: 0,
        }
    }

    /// It could lead at once: it lacks nothing, and is there.
    pub(super) fn able(&self, last: u64, now: Millis) -> bool {
        // Who is told to end, too, would hand over again.
        self.counts && !self.leaving && self.matched == last && now - self.heard < super::LEASE_MS
    }

    /// It answered what was sent then, and said whether it leaves, or nothing of that. False where that is of no use: it is
    /// of a disk that it has lost since.
    pub(super) fn answered(&mut self, now: Millis, at: Millis, counts: bool, leaving: Option<bool>) -> bool {
        if !counts {
            self.emptied = now;
        } else if at < self.emptied {
            return false;
        }
        if let Some(leaving) = leaving.filter(|_| at >= self.asked) {
            (self.leaving, self.released) = (leaving, self.released && leaving);
        }
        (self.heard, self.asked) = (now, self.asked.max(at));
        if self.counts && !counts {
            // Its disk is new: what it held is gone.
            (self.matched, self.welcome) = (0, false);
        }
        self.counts = counts;
        true
    }
}
