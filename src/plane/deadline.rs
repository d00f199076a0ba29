//! Request deadlines: parsing the client's timeout headers and computing the time by which the response must
//! be sent. No wait on behalf of a request goes beyond it.

use hyper::HeaderMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Maximum timeout that a client may request.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// Time reserved before the client's deadline for the network latency of request and response.
const NETWORK_MARGIN: Duration = Duration::from_millis(10);

/// The timeout and the absolute deadline given by a client; at least one is present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientDeadline {
    /// Timeout that starts when the last byte of the request is received.
    timeout: Option<Duration>,
    /// Absolute deadline, independent of when the request was received.
    absolute: Option<Instant>,
}

/// When the response to a request must be sent, on the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline(Instant);

impl ClientDeadline {
    /// A timeout that starts when the last byte of the request is received, capped at the maximum.
    pub fn from_timeout(timeout: Duration) -> Self {
        ClientDeadline { timeout: Some(timeout.min(MAX_TIMEOUT)), absolute: None }
    }

    /// Parses `X-Remaining-Ms` and `X-Deadline-Unix-Ms`, of which at least one is required. The wall clock is
    /// used only here, so that later changes of it do not move a deadline.
    pub fn from_headers(headers: &HeaderMap, unix: SystemTime, now: Instant) -> Result<Self, &'static str> {
        let timeout = number(headers, "x-remaining-ms")
            .and_then(|ms| ms.map(timeout_from_ms).transpose())
            .map_err(|()| "X-Remaining-Ms is no whole number up to an hour, or stands twice\n")?;
        let unix = unix.duration_since(UNIX_EPOCH).unwrap_or_default();
        let absolute_from_ms = |ms: u64| {
            // A deadline in the past leaves no time; one too far ahead indicates a wrong clock.
            let left = Duration::from_millis(ms).saturating_sub(unix);
            if left <= MAX_TIMEOUT {
                Ok(now + left)
            } else {
                Err(())
            }
        };
        let absolute = number(headers, "x-deadline-unix-ms")
            .and_then(|ms| ms.map(absolute_from_ms).transpose())
            .map_err(|()| {
                "X-Deadline-Unix-Ms is no Unix time in ms up to an hour ahead, or stands twice\n"
            })?;
        if timeout.is_none() && absolute.is_none() {
            return Err("X-Remaining-Ms is missing\n");
        }
        Ok(ClientDeadline { timeout, absolute })
    }

    /// The deadline of a request whose last byte was received at `now`; the earlier one if both headers are
    /// present.
    pub fn deadline(&self, now: Instant) -> Deadline {
        let timeout_at = self.timeout.map(|timeout| now + timeout);
        let client_deadline = timeout_at.into_iter().chain(self.absolute).min().unwrap_or(now);
        Deadline(client_deadline.checked_sub(NETWORK_MARGIN).map_or(now, |at| at.max(now)))
    }

    /// The absolute deadline, if any, less the network margin.
    pub fn absolute(&self) -> Option<Instant> {
        self.absolute.and_then(|absolute| absolute.checked_sub(NETWORK_MARGIN))
    }

    /// The earlier of `limit` and the absolute deadline; bounds waits before the last byte is received.
    pub fn cap(&self, limit: Instant) -> Instant {
        self.absolute().map_or(limit, |absolute| absolute.min(limit))
    }

    /// Whether the absolute deadline has passed.
    pub fn expired(&self, now: Instant) -> bool {
        self.absolute().is_some_and(|absolute| absolute <= now)
    }
}

impl Deadline {
    /// The deadline as an instant.
    pub fn at(self) -> Instant {
        self.0
    }

    /// Time left at `now`.
    pub fn remaining(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// Whether less than the network margin is left, too little for any response.
    pub fn expired(self, now: Instant) -> bool {
        self.remaining(now) < NETWORK_MARGIN
    }
}

fn timeout_from_ms(ms: u64) -> Result<Duration, ()> {
    let timeout = Duration::from_millis(ms);
    if timeout <= MAX_TIMEOUT {
        Ok(timeout)
    } else {
        Err(())
    }
}

/// Parses a header as an unsigned integer, if present. A repeated header is an error.
fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, ()> {
    let mut values = headers.get_all(name).into_iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(());
    }
    let digits = value.to_str().map_err(|_| ())?.trim();
    // `parse` alone would accept a leading plus sign.
    let is_number = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    if is_number {
        digits.parse().map(Some).map_err(|_| ())
    } else {
        Err(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const UNIX_MS: u64 = 1_800_000_000_000;

    fn read(lines: &[(&'static str, &str)], now: Instant) -> Result<ClientDeadline, &'static str> {
        let mut headers = HeaderMap::new();
        for (name, value) in lines {
            headers.append(*name, value.parse().unwrap());
        }
        ClientDeadline::from_headers(&headers, UNIX_EPOCH + Duration::from_millis(UNIX_MS), now)
    }

    fn left(lines: &[(&'static str, &str)]) -> Option<u128> {
        let now = Instant::now();
        read(lines, now).ok().map(|client| client.deadline(now).remaining(now).as_millis())
    }

    const REMAINING: &str = "x-remaining-ms";
    const DEADLINE: &str = "x-deadline-unix-ms";

    #[test]
    fn remaining_time_is_a_whole_number_up_to_an_hour() {
        for (value, expected) in [
            ("480", Some(470)),
            (" 480 ", Some(470)),
            ("0", Some(0)),
            ("1", Some(0)),
            ("3600000", Some(3_599_990)),
            ("3600001", None),
            ("99999999999999999999999", None),
            ("-1", None),
            ("+5", None),
            ("1.5", None),
            ("soon", None),
            ("", None),
        ] {
            assert_eq!(left(&[(REMAINING, value)]), expected, "{value:?}");
        }
        assert_eq!(left(&[(REMAINING, "480"), (REMAINING, "480")]), None);
        assert_eq!(left(&[]), None);
    }

    #[test]
    fn the_earlier_of_timeout_and_absolute_deadline_applies() {
        let at = |ms: i64| (UNIX_MS as i64 + ms).to_string();
        assert_eq!(left(&[(DEADLINE, &at(500))]), Some(490));
        assert_eq!(left(&[(DEADLINE, &at(-5000))]), Some(0));
        assert_eq!(left(&[(DEADLINE, "0")]), Some(0));
        assert_eq!(left(&[(DEADLINE, &at(3_600_001))]), None, "too far ahead");
        assert_eq!(left(&[(DEADLINE, &u64::MAX.to_string())]), None);
        assert_eq!(left(&[(DEADLINE, "-5")]), None);
        assert_eq!(left(&[(DEADLINE, &at(500)), (DEADLINE, &at(600))]), None);
        assert_eq!(left(&[(DEADLINE, &at(500)), (REMAINING, "300")]), Some(290));
        assert_eq!(left(&[(DEADLINE, &at(200)), (REMAINING, "300")]), Some(190));
        assert_eq!(left(&[(DEADLINE, "x"), (REMAINING, "300")]), None);
    }

    #[test]
    fn a_slow_body_extends_the_timeout_but_not_the_absolute_deadline() {
        let now = Instant::now();
        let at = (UNIX_MS + 1000).to_string();
        let client = read(&[(DEADLINE, &at), (REMAINING, "800")], now).unwrap();
        let later = now + Duration::from_millis(600);
        assert_eq!(client.deadline(later).remaining(later), Duration::from_millis(390));
        assert_eq!(client.cap(now + Duration::from_secs(5)), now + Duration::from_millis(990));
        assert!(!client.expired(later) && client.expired(now + Duration::from_millis(995)));
        let after = now + Duration::from_secs(9);
        assert!(client.deadline(after).expired(after));
        assert_eq!(client.deadline(after).remaining(after), Duration::ZERO);
    }
}
