//! What a proxy speaks with backends.

use cherrytally::plane::driver::Speech;
use cherrytally::plane::http::Head;
use cherrytally::Result as Ended;
use std::io::Write;
use std::time::Duration;

/// The wire of the system's backends.
pub struct Wire;

impl Speech for Wire {
    fn terms(&self, message: &mut Vec<u8>, backend: &str, left: Duration) {
        // A Vec takes every write.
        let _ = write!(message, "Deadline-Ms: {}\r\nExpect-Instance: {backend}\r\n", left.as_millis());
    }

    fn judge(&self, head: &Head) -> Ended {
        let (mut stamped, mut not_run, mut encoded, mut chunked) = (false, false, false, false);
        head.each(|name, value| {
            let is = |of: &str| name.eq_ignore_ascii_case(of);
            stamped |= is("stamp") && !value.is_empty();
            not_run |= is("not-run");
            encoded |= is("content-encoding");
            chunked |= is("transfer-encoding");
        });
        let framed = head.length.is_some() || chunked;
        match head.status {
            200..=299 if stamped && !encoded && framed => Ended::Ok,
            // A success that lacks its stamp, or whose end can't be told from a break, is none; it may have run.
            200..=299 => Ended::Reset,
            421 => Ended::Full,
            400 | 429 | 503 if not_run => Ended::Full,
            _ => Ended::Error,
        }
    }

    fn own(&self, head: &Head, name: &[u8]) -> bool {
        let mut id = None;
        head.each(|header, value| {
            if header.eq_ignore_ascii_case("request-id") {
                id = Some(value == name);
            }
        });
        // A failure may come without: nobody could take it for a success.
        id.unwrap_or(head.status >= 400) || name.is_empty()
    }

    fn passes_failures(&self) -> bool {
        true
    }
}
