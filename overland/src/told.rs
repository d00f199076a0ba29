//! Chooses the response to a client from the outcome of a request's attempts.

use cherrytally::plane::driver::{Answer, Course};
use cherrytally::plane::room::Short;

/// Statuses that promise the client that the request has not run and never will.
pub const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The response to the client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientResponse {
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
    /// 408: the request body was not received in time.
    Slow,
}

/// The response to the client. With `at_most_once` (at most one execution) a status that promises "not run"
/// is returned only if no attempt may have run.
pub fn client_response(at_most_once: bool, answer: &Answer, course: &Course) -> ClientResponse {
    match answer {
        // The backend's own status does not prove that the request did not run.
        Answer::Served { head, .. } if at_most_once && NOT_RUN_STATUSES.contains(&head.status) => {
            ClientResponse::MayHaveRun
        }
        Answer::Served { .. } => ClientResponse::Served,
        Answer::Refused { retry_after_ms, .. } if !course.ran => {
            ClientResponse::NotRun(Some(*retry_after_ms))
        }
        Answer::Failed if course.attempts == 0 => ClientResponse::NotRun(None),
        Answer::Refused { .. } | Answer::Failed => ClientResponse::MayHaveRun,
        Answer::Short(Short::TooLarge) => ClientResponse::TooLarge,
        Answer::Short(Short::Broken) => ClientResponse::Broken,
        // A backend received part of the body and may have started.
        Answer::Short(Short::Slow) if at_most_once && course.ran => ClientResponse::MayHaveRun,
        Answer::Short(Short::Slow) => ClientResponse::Slow,
    }
}
