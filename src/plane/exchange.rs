//! One try of a request on one connection: where both stand, and what that says of another try. No socket, no clock.
//!
//! A try goes forward alone; so does what is known of its connection. What a break, a silence or an answer means is
//! read off the pair by [`Exchange::says`], and whether the connection may carry another request by
//! [`Exchange::sound`]. `docs/system/exchange.md` has the same as a table.

use crate::CallResult as Ended;
use std::time::Duration;

/// Where a try stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing is written.
    Unwritten,
    /// A part of its head is written: nobody can know what it asks.
    Head,
    /// Its head is written, a part of its body is not.
    Body,
    /// All of it is written. It may lie in a buffer, and run when nobody waits for it any more.
    Written,
    /// The head of its own answer has come.
    Answering,
    /// Its own answer has come whole.
    Answered,
    /// It is over.
    Over,
}

/// What is known of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// Nothing was sent on it before.
    Fresh,
    /// It has carried requests, each with its answer, and stood idle.
    Rested,
    /// Something came on it that this try did not ask for, or something of this try is still to come: it carries no
    /// other one.
    Poisoned,
}

/// What happens to a try. One that is late or out of order changes nothing but the connection, which it poisons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happened {
    /// Bytes were written; whether its head is whole by that, and all of it.
    Wrote {
        /// Its head is whole.
        head: bool,
        /// All is.
        all: bool,
    },
    /// An answer came that is not its own.
    Surplus,
    /// The head of its own answer came, and whether the connection stays open after it.
    Own {
        /// It stays.
        stays: bool,
    },
    /// The answer's last byte came, and whether more follows it.
    Whole {
        /// More does.
        more: bool,
    },
    /// It ends where it stands.
    End,
}

/// How a try ends without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The connection was reset or closed, or what came on it is no answer.
    Broken,
    /// Its time is up.
    Silent,
}

/// One try on one connection.
#[derive(Debug)]
pub struct Exchange {
    stage: Stage,
    line: Line,
}

impl Exchange {
    /// A try that has a connection now.
    pub fn new(rested: bool) -> Self {
        Exchange { stage: Stage::Unwritten, line: if rested { Line::Rested } else { Line::Fresh } }
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// What is known of its connection.
    pub fn line(&self) -> Line {
        self.line
    }

    /// The one function that changes it.
    pub fn step(&mut self, happened: Happened) {
        use Stage::*;
        let (stage, poisons) = match (self.stage, happened) {
            (Unwritten | Head | Body, Happened::Wrote { all: true, .. }) => (Written, false),
            (Unwritten | Head | Body, Happened::Wrote { head: true, .. }) => (Body, false),
            (Unwritten | Head, Happened::Wrote { .. }) => (Head, false),
            // An answer that did not wait for the whole request: what is unwritten stays so.
            (Unwritten | Head | Body, Happened::Own { .. }) => (Answering, true),
            (Written, Happened::Own { stays }) => (Answering, !stays),
            (Answering, Happened::Whole { more }) => (Answered, more),
            (at, Happened::Surplus) => (at, true),
            (at, Happened::End) => (Over, at != Answered),
            // Written after an answer began, or an answer out of turn.
            (at, Happened::Wrote { .. } | Happened::Own { .. } | Happened::Whole { .. }) => (at, true),
        };
        self.stage = stage;
        if poisons {
            self.line = Line::Poisoned;
        }
    }

    /// What an end without a whole answer says of the try. Where backends may begin with the head alone, a part of the
    /// body unwritten proves nothing.
    pub fn says(&self, end: End, begins_early: bool) -> Ended {
        match (self.stage, end) {
            (Stage::Unwritten | Stage::Head, _) => Ended::ConnectFailed,
            (Stage::Body, _) if !begins_early => Ended::ConnectFailed,
            (_, End::Broken) => Ended::Reset,
            (_, End::Silent) => Ended::Timeout,
        }
    }

    /// Whether the connection may carry another request: all of this one was written, its own answer came whole, and
    /// nothing besides.
    pub fn sound(&self) -> bool {
        self.stage == Stage::Answered && self.line != Line::Poisoned
    }
}

/// A connection that stands idle, as it is looked at before it is used again.
#[derive(Clone, Copy, Debug)]
pub struct Idle {
    /// Bytes lie on it, or its end: nobody asked for either.
    pub stirred: bool,
    /// It has rested for so long.
    pub rested: Duration,
    /// And may for so long.
    pub limit: Duration,
    /// Its backend has another address now.
    pub moved: bool,
    /// The last request on it had the same name: a second answer to that one would pass for this one's.
    pub twin: bool,
}

impl Idle {
    /// Whether it may be used.
    pub fn sound(&self) -> bool {
        !self.stirred && !self.moved && !self.twin && self.rested < self.limit
    }
}
