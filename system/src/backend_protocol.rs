//! Protocol between the proxy and its backends: request headers and classification of responses.

use oakfall::plane::driver::BackendProtocol;
use oakfall::plane::http::Head;
use oakfall::CallResult;
use std::io::Write;
use std::time::Duration;

/// The backends' HTTP protocol.
pub struct HttpBackendProtocol;

impl BackendProtocol for HttpBackendProtocol {
    fn write_attempt_headers(&self, message: &mut Vec<u8>, backend: &str, left: Duration) {
        // Writing to a `Vec` cannot fail.
        let _ = write!(message, "Deadline-Ms: {}\r\nExpect-Instance: {backend}\r\n", left.as_millis());
    }

    fn classify_response(&self, head: &Head) -> CallResult {
        let (mut stamped, mut not_run, mut encoded, mut chunked, mut sized) =
            (false, false, false, false, false);
        head.for_each_header(|header, value| {
            let is_field = |field: &str| header.eq_ignore_ascii_case(field);
            stamped |= is_field("stamp") && !value.is_empty();
            not_run |= is_field("not-run");
            encoded |= is_field("content-encoding");
            chunked |= is_field("transfer-encoding");
            sized |= is_field("content-length");
        });
        // The end of the body is known: a length, chunks, or no body at all.
        let framed = sized || chunked || head.status == 204;
        match head.status {
            200..=299 if stamped && !encoded && framed => CallResult::Ok,
            // Without a stamp or a known end, a truncated response would look like success; the request may
            // have run.
            200..=299 => CallResult::Reset,
            421 => CallResult::Rejected,
            400 | 429 | 503 if not_run => CallResult::Rejected,
            _ => CallResult::Error,
        }
    }

    fn matches_request(&self, head: &Head, id: &[u8]) -> bool {
        let (mut has_id, mut matches) = (false, true);
        head.for_each_header(|header, value| {
            if header.eq_ignore_ascii_case("request-id") {
                (has_id, matches) = (true, matches && value == id);
            }
        });
        // A response without an id may belong to another request, and its `not-run` would be taken for this
        // one's.
        matches && (has_id || id.is_empty())
    }

    fn forwards_errors(&self) -> bool {
        true
    }

    fn may_start_early(&self) -> bool {
        // A backend may start a request before it has read the whole body.
        true
    }
}
