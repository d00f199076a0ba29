//! What a client is told at a request's end, by what is known of its tries. No socket, no clock.

use cherrytally::plane::driver::{Answer, Course};
use cherrytally::plane::room::Short;

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
pub fn told(once: bool, answer: &Answer, course: &Course) -> Told {
    match answer {
        // Without a word that it did not run, a backend's own may have.
        Answer::Served { head, .. } if once && PROMISES.contains(&head.status) => Told::MayHaveRun,
        Answer::Served { .. } => Told::Served,
        Answer::Refused { retry_after_ms, .. } if !course.ran => Told::NotRun(Some(*retry_after_ms)),
        Answer::Failed if course.attempts == 0 => Told::NotRun(None),
        Answer::Refused { .. } | Answer::Failed => Told::MayHaveRun,
        Answer::Short(Short::TooLarge) => Told::TooLarge,
        Answer::Short(Short::Broken) => Told::Broken,
        // A part of it is at a backend, which may have begun.
        Answer::Short(Short::Slow) if once && course.ran => Told::MayHaveRun,
        Answer::Short(Short::Slow) => Told::Slow,
    }
}
