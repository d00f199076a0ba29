//! What a proxy speaks with backends.

use cherrytally::plane::driver::BackendProtocol;
use cherrytally::plane::http::Head;
use cherrytally::CallResult as Ended;
use std::io::Write;
use std::time::Duration;

/// The wire of the system's backends.
pub struct Wire;

impl BackendProtocol for Wire {
    fn write_attempt_headers(&self, message: &mut Vec<u8>, backend: &str, left: Duration) {
        // A Vec takes every write.
        let _ = write!(message, "Deadline-Ms: {}\r\nExpect-Instance: {backend}\r\n", left.as_millis());
    }

    fn classify_response(&self, head: &Head) -> Ended {
        let (mut stamped, mut not_run, mut encoded, mut chunked, mut sized) =
            (false, false, false, false, false);
        head.for_each_header(|name, value| {
            let is = |of: &str| name.eq_ignore_ascii_case(of);
            stamped |= is("stamp") && !value.is_empty();
            not_run |= is("not-run");
            encoded |= is("content-encoding");
            chunked |= is("transfer-encoding");
            sized |= is("content-length");
        });
        // Of an answer to a HEAD the head is all, and one without content has an end that is known.
        let framed = sized || chunked || head.status == 204;
        match head.status {
            200..=299 if stamped && !encoded && framed => Ended::Ok,
            // A success that lacks its stamp, or whose end can't be told from a break, is none; it may have run.
            200..=299 => Ended::Reset,
            421 => Ended::Rejected,
            400 | 429 | 503 if not_run => Ended::Rejected,
            _ => Ended::Error,
        }
    }

    fn matches_request(&self, head: &Head, name: &[u8]) -> bool {
        let (mut named, mut same) = (false, true);
        head.for_each_header(|header, value| {
            if header.eq_ignore_ascii_case("request-id") {
                (named, same) = (true, same && value == name);
            }
        });
        // One without a name may be anybody's: taken for this request's, it could say that this did not run.
        same && (named || name.is_empty())
    }

    fn forwards_errors(&self) -> bool {
        true
    }

    fn may_start_early(&self) -> bool {
        // Nothing says that backends wait for the whole body.
        true
    }
}
