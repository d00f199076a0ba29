//! A request's time: what its client says of it, and the one moment at which it ends. Whatever waits on a request's
//! way waits until that moment at the longest.

use hyper::HeaderMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Longest wait that a client may state.
const MOST: Duration = Duration::from_secs(3600);
/// A final answer leaves so long before the client's time is up: it has a way to go, and the request had one.
const MARGIN: Duration = Duration::from_millis(10);

/// What a client says of its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stated {
    /// It waits so long, from when it sent the request's last byte.
    remaining: Option<Duration>,
    /// It waits until then, whatever came before.
    until: Option<Instant>,
}

/// When a request's answer has to leave, on the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline(Instant);

impl Stated {
    /// A client that waits so long, from when it sent the request's last byte.
    pub fn remaining(wait: Duration) -> Self {
        Stated { remaining: Some(wait.min(MOST)), until: None }
    }

    /// Reads `X-Remaining-Ms` and `X-Deadline-Unix-Ms`; one of them is needed. The clock that all machines read is
    /// looked at here, once: what it does later moves no deadline.
    pub fn read(headers: &HeaderMap, unix: SystemTime, now: Instant) -> Result<Self, &'static str> {
        let remaining = number(headers, "x-remaining-ms")
            .and_then(|ms| ms.map(wait).transpose())
            .map_err(|()| "X-Remaining-Ms is no whole number up to an hour, or stands twice\n")?;
        let unix = unix.duration_since(UNIX_EPOCH).unwrap_or_default();
        let absolute = |ms: u64| {
            // In the past it has no time left. A moment too far ahead is a clock that is wrong.
            let left = Duration::from_millis(ms).saturating_sub(unix);
            if left <= MOST {
                Ok(now + left)
            } else {
                Err(())
            }
        };
        let until =
            number(headers, "x-deadline-unix-ms").and_then(|ms| ms.map(absolute).transpose()).map_err(
                |()| "X-Deadline-Unix-Ms is no Unix time in ms up to an hour ahead, or stands twice\n",
            )?;
        if remaining.is_none() && until.is_none() {
            return Err("X-Remaining-Ms is missing\n");
        }
        Ok(Stated { remaining, until })
    }

    /// The end of a request whose last byte came now; the earlier one where both are stated.
    pub fn from(&self, now: Instant) -> Deadline {
        let ends = self.remaining.map(|remaining| now + remaining);
        let ends = ends.into_iter().chain(self.until).min().unwrap_or(now);
        Deadline(ends.checked_sub(MARGIN).map_or(now, |ends| ends.max(now)))
    }

    /// The moment that the client stated, less the answer's way.
    pub fn until(&self) -> Option<Instant> {
        self.until.and_then(|until| until.checked_sub(MARGIN))
    }

    /// Until when something may be waited for before the last byte came: so long, and not beyond a stated moment.
    pub fn within(&self, limit: Instant) -> Instant {
        self.until().map_or(limit, |until| until.min(limit))
    }

    /// Whether a stated moment is over before the last byte came.
    pub fn over(&self, now: Instant) -> bool {
        self.until().is_some_and(|until| until <= now)
    }
}

impl Deadline {
    /// The moment.
    pub fn at(self) -> Instant {
        self.0
    }

    /// The time left.
    pub fn left(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// Whether it is over: less is left than any answer takes. The module gives up some milliseconds before the end.
    pub fn over(self, now: Instant) -> bool {
        self.left(now) < MARGIN
    }
}

fn wait(ms: u64) -> Result<Duration, ()> {
    let wait = Duration::from_millis(ms);
    if wait <= MOST {
        Ok(wait)
    } else {
        Err(())
    }
}

/// A whole number in a header, if it is there. Given twice it is none: who is right can't be known.
fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, ()> {
    let mut values = headers.get_all(name).into_iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(());
    }
    let digits = value.to_str().map_err(|_| ())?.trim();
    // A sign is no digit.
    let whole = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    if whole {
        digits.parse().map(Some).map_err(|_| ())
    } else {
        Err(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const UNIX_MS: u64 = 1_800_000_000_000;

    fn read(lines: &[(&'static str, &str)], now: Instant) -> Result<Stated, &'static str> {
        let mut headers = HeaderMap::new();
        for (name, value) in lines {
            headers.append(*name, value.parse().unwrap());
        }
        Stated::read(&headers, UNIX_EPOCH + Duration::from_millis(UNIX_MS), now)
    }

    fn left(lines: &[(&'static str, &str)]) -> Option<u128> {
        let now = Instant::now();
        read(lines, now).ok().map(|stated| stated.from(now).left(now).as_millis())
    }

    const REMAINING: &str = "x-remaining-ms";
    const DEADLINE: &str = "x-deadline-unix-ms";

    #[test]
    fn remaining_time_is_a_whole_number_up_to_an_hour() {
        for (value, wanted) in [
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
            assert_eq!(left(&[(REMAINING, value)]), wanted, "{value:?}");
        }
        assert_eq!(left(&[(REMAINING, "480"), (REMAINING, "480")]), None);
        assert_eq!(left(&[]), None);
    }

    #[test]
    fn an_absolute_moment_is_taken_by_the_common_clock_and_the_earlier_of_both_holds() {
        let at = |ms: i64| (UNIX_MS as i64 + ms).to_string();
        assert_eq!(left(&[(DEADLINE, &at(500))]), Some(490));
        assert_eq!(left(&[(DEADLINE, &at(-5000))]), Some(0));
        assert_eq!(left(&[(DEADLINE, "0")]), Some(0));
        assert_eq!(left(&[(DEADLINE, &at(3_600_001))]), None, "a clock that is wrong");
        assert_eq!(left(&[(DEADLINE, &u64::MAX.to_string())]), None);
        assert_eq!(left(&[(DEADLINE, "-5")]), None);
        assert_eq!(left(&[(DEADLINE, &at(500)), (DEADLINE, &at(600))]), None);
        assert_eq!(left(&[(DEADLINE, &at(500)), (REMAINING, "300")]), Some(290));
        assert_eq!(left(&[(DEADLINE, &at(200)), (REMAINING, "300")]), Some(190));
        assert_eq!(left(&[(DEADLINE, "x"), (REMAINING, "300")]), None);
    }

    #[test]
    fn a_body_that_takes_its_time_moves_what_remains_but_not_a_moment() {
        let now = Instant::now();
        let at = (UNIX_MS + 1000).to_string();
        let stated = read(&[(DEADLINE, &at), (REMAINING, "800")], now).unwrap();
        let later = now + Duration::from_millis(600);
        assert_eq!(stated.from(later).left(later), Duration::from_millis(390));
        assert_eq!(stated.within(now + Duration::from_secs(5)), now + Duration::from_millis(990));
        assert!(!stated.over(later) && stated.over(now + Duration::from_millis(995)));
        let after = now + Duration::from_secs(9);
        assert!(stated.from(after).over(after));
        assert_eq!(stated.from(after).left(after), Duration::ZERO);
    }
}
