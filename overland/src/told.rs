//! Chooses the response to a client from the outcome of a request's attempts.

use cherrytally::plane::driver::{Answer, Course};
use cherrytally::plane::room::Short;

/// Statuses that promise the client that the request has not run and never will.
pub const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The response to the client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    /// The backend's response, unchanged.
    Served,
    /// 503: it has not run and never will. Holds the time until a retry in ms, if known.
    NotRun(Option<f64>),
    /// 502: it may have run.
    MayHaveRun,
    /// 413: the request body is too large.
    TooLarge,
    /// 400: the request body ended early.
    Broken,
    /// 408: the request body was not received in time, and none of it was forwarded.
    Slow,
}

/// The response to the client. With `once` (at most one execution) a status that promises "not run" is
/// returned only if no attempt may have run.
pub fn told(once: bool, answer: &Answer, course: &Course) -> Told {
    match answer {
        // The backend's own status does not prove that the request did not run.
        Answer::Served { head, .. } if once && PROMISES.contains(&head.status) => Told::MayHaveRun,
        Answer::Served { .. } => Told::Served,
        Answer::Refused { retry_after_ms, .. } if !course.ran => Told::NotRun(Some(*retry_after_ms)),
        Answer::Failed if course.attempts == 0 => Told::NotRun(None),
        Answer::Refused { .. } | Answer::Failed => Told::MayHaveRun,
        Answer::Short(Short::TooLarge) => Told::TooLarge,
        Answer::Short(Short::Broken) => Told::Broken,
        // A backend received part of the body and may have started.
        Answer::Short(Short::Slow) if once && course.ran => Told::MayHaveRun,
        Answer::Short(Short::Slow) => Told::Slow,
    }
}
