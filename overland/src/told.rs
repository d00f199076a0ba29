//! Chooses the response to a client from the outcome of a request's attempts.

use cherrytally::plane::driver::{AttemptSummary, FinalResponse};
use cherrytally::plane::room::BodyError;

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
pub fn client_response(
    at_most_once: bool, answer: &FinalResponse, course: &AttemptSummary,
) -> ClientResponse {
    match answer {
        // The backend's own status does not prove that the request did not run.
        FinalResponse::Served { head, .. } if at_most_once && NOT_RUN_STATUSES.contains(&head.status) => {
            ClientResponse::MayHaveRun
        }
        FinalResponse::Served { .. } => ClientResponse::Served,
        FinalResponse::Refused { retry_after_ms, .. } if !course.may_have_run => {
            ClientResponse::NotRun(Some(*retry_after_ms))
        }
        FinalResponse::Failed if course.attempts == 0 => ClientResponse::NotRun(None),
        FinalResponse::Refused { .. } | FinalResponse::Failed => ClientResponse::MayHaveRun,
        FinalResponse::IncompleteBody(BodyError::TooLarge) => ClientResponse::TooLarge,
        FinalResponse::IncompleteBody(BodyError::Broken) => ClientResponse::Broken,
        // A backend received part of the body and may have started.
        FinalResponse::IncompleteBody(BodyError::Slow) if at_most_once && course.may_have_run => {
            ClientResponse::MayHaveRun
        }
        FinalResponse::IncompleteBody(BodyError::Slow) => ClientResponse::Slow,
    }
}
