//! State machine of one attempt on one connection, without I/O or a clock.
//!
//! The stage of the attempt and the state of its connection only move forward. Together they decide how a
//! failure is classified ([`Exchange::classify_failure`]) and whether the connection may be reused
//! ([`Exchange::is_reusable`]).

use crate::CallResult;
use std::time::Duration;

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing has been written.
    Unwritten,
    /// The head is partly written, so the backend cannot execute the request.
    PartialHead,
    /// The head is written, the body is not complete.
    PartialBody,
    /// The request is written. It may still be executed after the client has stopped waiting.
    Written,
    /// The head of its response was received.
    Responding,
    /// Its response was received completely.
    Complete,
    /// The attempt has ended.
    Ended,
}

/// State of the connection that carries an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Newly opened.
    New,
    /// Taken from the idle pool after complete exchanges.
    Reused,
    /// Not reusable: it carried unexpected bytes, or part of this exchange is outstanding.
    Unusable,
}

/// An event of an attempt. One that is late or out of order only makes the connection unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEvent {
    /// Bytes of the request were written.
    Wrote {
        /// The head is complete.
        head_complete: bool,
        /// The whole request is complete.
        request_complete: bool,
    },
    /// A response to another request was received.
    UnexpectedResponse,
    /// The head of its own response was received.
    ResponseHead {
        /// The connection stays open after the response.
        keep_alive: bool,
    },
    /// The last byte of the response was received.
    ResponseComplete {
        /// Further bytes follow it.
        trailing_bytes: bool,
    },
    /// The attempt ended at its current stage.
    Ended,
}

/// Why an attempt ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The connection was reset or closed, or an invalid response was received.
    ConnectionBroken,
    /// The attempt timed out.
    TimedOut,
}

/// One attempt on one connection.
#[derive(Debug)]
pub struct Exchange {
    stage: Stage,
    connection: ConnectionState,
}

impl Exchange {
    /// An attempt on a connection that is new, or `reused` if it comes from the idle pool.
    pub fn new(reused: bool) -> Self {
        Exchange {
            stage: Stage::Unwritten,
            connection: if reused { ConnectionState::Reused } else { ConnectionState::New },
        }
    }

    /// Current stage of the attempt.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Current state of the connection.
    pub fn connection(&self) -> ConnectionState {
        self.connection
    }

    /// Applies an event; the only function that changes the state.
    pub fn apply(&mut self, event: ExchangeEvent) {
        use Stage::*;
        let (stage, unusable) = match (self.stage, event) {
            (Unwritten | PartialHead | PartialBody, ExchangeEvent::Wrote { request_complete: true, .. }) => {
                (Written, false)
            }
            (Unwritten | PartialHead | PartialBody, ExchangeEvent::Wrote { head_complete: true, .. }) => {
                (PartialBody, false)
            }
            (Unwritten | PartialHead, ExchangeEvent::Wrote { .. }) => (PartialHead, false),
            // An early response: the rest of the request is never written.
            (Unwritten | PartialHead | PartialBody, ExchangeEvent::ResponseHead { .. }) => (Responding, true),
            (Written, ExchangeEvent::ResponseHead { keep_alive }) => (Responding, !keep_alive),
            (Responding, ExchangeEvent::ResponseComplete { trailing_bytes }) => (Complete, trailing_bytes),
            (at, ExchangeEvent::UnexpectedResponse) => (at, true),
            (at, ExchangeEvent::Ended) => (Ended, at != Complete),
            // A write after the response began, or a response out of order.
            (
                at,
                ExchangeEvent::Wrote { .. }
                | ExchangeEvent::ResponseHead { .. }
                | ExchangeEvent::ResponseComplete { .. },
            ) => (at, true),
        };
        self.stage = stage;
        if unusable {
            self.connection = ConnectionState::Unusable;
        }
    }

    /// Classifies a failure of the attempt. With `may_start_early`, backends may start on an incomplete body,
    /// so an unwritten rest does not prove that the request was not executed.
    pub fn classify_failure(&self, failure: AttemptFailure, may_start_early: bool) -> CallResult {
        match (self.stage, failure) {
            (Stage::Unwritten | Stage::PartialHead, _) => CallResult::ConnectFailed,
            (Stage::PartialBody, _) if !may_start_early => CallResult::ConnectFailed,
            (_, AttemptFailure::ConnectionBroken) => CallResult::Reset,
            (_, AttemptFailure::TimedOut) => CallResult::Timeout,
        }
    }

    /// Whether the connection may be reused: the request was fully written, its response fully received, and
    /// nothing else arrived.
    pub fn is_reusable(&self) -> bool {
        self.stage == Stage::Complete && self.connection != ConnectionState::Unusable
    }
}

/// Observations about an idle connection, checked before it is reused.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection {
    /// Unrequested bytes or an end of stream are pending on it.
    pub data_pending: bool,
    /// Time since its last use.
    pub idle_for: Duration,
    /// Maximum idle time.
    pub limit: Duration,
    /// The backend's address has changed since it was opened.
    pub address_changed: bool,
    /// Its last request had the same correlation id, so a duplicate response to that one could be mistaken
    /// for this one's.
    pub same_correlation_id: bool,
}

impl IdleConnection {
    /// Whether the connection may be reused.
    pub fn is_reusable(&self) -> bool {
        !self.data_pending && !self.address_changed && !self.same_correlation_id && self.idle_for < self.limit
    }
}
