//! State machine of one attempt on one connection, without I/O or a clock.
//!
//! The stage of the attempt and the state of its connection only move forward. Together they decide how a
//! failure is classified ([`Exchange::says`]) and whether the connection may be reused ([`Exchange::sound`]).

use crate::CallResult as Ended;
use std::time::Duration;

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing has been written.
    Unwritten,
    /// The head is partly written, so the backend cannot execute the request.
    Head,
    /// The head is written, the body is not complete.
    Body,
    /// The request is written. It may still be executed after the client has stopped waiting.
    Written,
    /// The head of its response was received.
    Answering,
    /// Its response was received completely.
    Answered,
    /// The attempt has ended.
    Over,
}

/// State of the connection that carries an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// Newly opened.
    Fresh,
    /// Taken from the idle pool after complete exchanges.
    Rested,
    /// Not reusable: it carried unexpected bytes, or part of this exchange is outstanding.
    Poisoned,
}

/// An event of an attempt. One that is late or out of order only makes the connection unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happened {
    /// Bytes of the request were written.
    Wrote {
        /// The head is complete.
        head: bool,
        /// The whole request is complete.
        all: bool,
    },
    /// A response to another request was received.
    Surplus,
    /// The head of its own response was received.
    Own {
        /// The connection stays open after the response.
        stays: bool,
    },
    /// The last byte of the response was received.
    Whole {
        /// Further bytes follow it.
        more: bool,
    },
    /// The attempt ended at its current stage.
    End,
}

/// Why an attempt ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The connection was reset or closed, or an invalid response was received.
    Broken,
    /// The attempt timed out.
    Silent,
}

/// One attempt on one connection.
#[derive(Debug)]
pub struct Exchange {
    stage: Stage,
    line: Line,
}

impl Exchange {
    /// An attempt on a connection that is new, or `rested` if it comes from the idle pool.
    pub fn new(rested: bool) -> Self {
        Exchange { stage: Stage::Unwritten, line: if rested { Line::Rested } else { Line::Fresh } }
    }

    /// Current stage of the attempt.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Current state of the connection.
    pub fn line(&self) -> Line {
        self.line
    }

    /// Applies an event; the only function that changes the state.
    pub fn step(&mut self, happened: Happened) {
        use Stage::*;
        let (stage, poisons) = match (self.stage, happened) {
            (Unwritten | Head | Body, Happened::Wrote { all: true, .. }) => (Written, false),
            (Unwritten | Head | Body, Happened::Wrote { head: true, .. }) => (Body, false),
            (Unwritten | Head, Happened::Wrote { .. }) => (Head, false),
            // An early response: the rest of the request is never written.
            (Unwritten | Head | Body, Happened::Own { .. }) => (Answering, true),
            (Written, Happened::Own { stays }) => (Answering, !stays),
            (Answering, Happened::Whole { more }) => (Answered, more),
            (at, Happened::Surplus) => (at, true),
            (at, Happened::End) => (Over, at != Answered),
            // A write after the response began, or a response out of order.
            (at, Happened::Wrote { .. } | Happened::Own { .. } | Happened::Whole { .. }) => (at, true),
        };
        self.stage = stage;
        if poisons {
            self.line = Line::Poisoned;
        }
    }

    /// Classifies a failure of the attempt. With `begins_early`, backends may start on an incomplete body, so
    /// an unwritten rest does not prove that the request was not executed.
    pub fn says(&self, end: End, begins_early: bool) -> Ended {
        match (self.stage, end) {
            (Stage::Unwritten | Stage::Head, _) => Ended::ConnectFailed,
            (Stage::Body, _) if !begins_early => Ended::ConnectFailed,
            (_, End::Broken) => Ended::Reset,
            (_, End::Silent) => Ended::Timeout,
        }
    }

    /// Whether the connection may be reused: the request was fully written, its response fully received, and
    /// nothing else arrived.
    pub fn sound(&self) -> bool {
        self.stage == Stage::Answered && self.line != Line::Poisoned
    }
}

/// Observations about an idle connection, checked before it is reused.
#[derive(Clone, Copy, Debug)]
pub struct Idle {
    /// Unrequested bytes or an end of stream are pending on it.
    pub stirred: bool,
    /// Time since its last use.
    pub rested: Duration,
    /// Maximum idle time.
    pub limit: Duration,
    /// The backend's address has changed since it was opened.
    pub moved: bool,
    /// Its last request had the same id, so a duplicate response to that one could be mistaken for this
    /// one's.
    pub twin: bool,
}

impl Idle {
    /// Whether the connection may be reused.
    pub fn sound(&self) -> bool {
        !self.stirred && !self.moved && !self.twin && self.rested < self.limit
    }
}
