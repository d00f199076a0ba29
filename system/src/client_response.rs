//! Chooses the response to a client from the outcome of a request's attempts.

use oakfall::plane::body::BodyError;
use oakfall::plane::driver::{AttemptSummary, FinalResponse};

/// On a route with at most one execution, a response with one of these statuses means that the request has
/// not run and never will.
pub const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The response to the client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientResponse {
    /// The backend's response, with its status and body.
    Served,
    /// 503: the request has not run and never will. Holds the suggested retry delay in ms; 0 or `None` if
    /// there is none.
    NotRun(Option<f64>),
    /// 502: the request may have run.
    MayHaveRun,
    /// 413: the request body is too large.
    BodyTooLarge,
    /// 400: the connection closed before the end of the request body, or the body's framing is invalid.
    BodyBroken,
    /// 408: the request body was not received in time.
    BodySlow,
}

/// The response to the client. With `at_most_once` (at most one execution) a status that promises "not run"
/// is returned only if no attempt may have run.
pub fn client_response(
    at_most_once: bool, response: &FinalResponse, summary: &AttemptSummary,
) -> ClientResponse {
    match response {
        // The backend's own status does not prove that the request did not run.
        FinalResponse::Served { head, .. } if at_most_once && NOT_RUN_STATUSES.contains(&head.status) => {
            ClientResponse::MayHaveRun
        }
        FinalResponse::Served { .. } => ClientResponse::Served,
        FinalResponse::Refused { retry_after_ms, .. } if !summary.may_have_run => {
            ClientResponse::NotRun(Some(*retry_after_ms))
        }
        FinalResponse::Failed if summary.attempts == 0 => ClientResponse::NotRun(None),
        FinalResponse::Refused { .. } | FinalResponse::Failed => ClientResponse::MayHaveRun,
        FinalResponse::IncompleteBody(BodyError::TooLarge) => ClientResponse::BodyTooLarge,
        FinalResponse::IncompleteBody(BodyError::Broken) => ClientResponse::BodyBroken,
        // A backend received part of the body and may have started.
        FinalResponse::IncompleteBody(BodyError::Slow) if at_most_once && summary.may_have_run => {
            ClientResponse::MayHaveRun
        }
        FinalResponse::IncompleteBody(BodyError::Slow) => ClientResponse::BodySlow,
    }
}
