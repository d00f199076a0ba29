//! What a client is told at a request's end, by what is known of its tries. No socket, no clock.

use cherrytally::plane::driver::{AttemptSummary, FinalResponse};
use cherrytally::plane::room::BodyError;

/// Statuses that promise: not run, and never will be.
pub const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What the client is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    /// The backend's answer as it came.
    Served,
    /// It has not run and never will: 503, with the time to come back in ms where that is known.
    NotRun(Option<f64>),
    /// It may have run: 502.
    MayHaveRun,
    /// The body is too large: 413.
    TooLarge,
    /// The body is not whole: 400.
    Broken,
    /// The body did not come in time, and nothing of it was sent on: 408.
    Slow,
}

/// What the client of a request is told. `once`: the request may run at most once a try. A status that promises goes to
/// such a one only where no try of it may have run.
pub fn told(once: bool, answer: &FinalResponse, course: &AttemptSummary) -> Told {
    match answer {
        // Without a word that it did not run, a backend's own may have.
        FinalResponse::Served { head, .. } if once && PROMISES.contains(&head.status) => Told::MayHaveRun,
        FinalResponse::Served { .. } => Told::Served,
        FinalResponse::Refused { retry_after_ms, .. } if !course.may_have_run => {
            Told::NotRun(Some(*retry_after_ms))
        }
        FinalResponse::Failed if course.attempts == 0 => Told::NotRun(None),
        FinalResponse::Refused { .. } | FinalResponse::Failed => Told::MayHaveRun,
        FinalResponse::IncompleteBody(BodyError::TooLarge) => Told::TooLarge,
        FinalResponse::IncompleteBody(BodyError::Broken) => Told::Broken,
        // A part of it is at a backend, which may have begun.
        FinalResponse::IncompleteBody(BodyError::Slow) if once && course.may_have_run => Told::MayHaveRun,
        FinalResponse::IncompleteBody(BodyError::Slow) => Told::Slow,
    }
}
