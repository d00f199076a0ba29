//! Quantities as the wire writes them.

use std::time::Duration;

/// Longest time that is taken, in ms: a day.
const TIME_MOST_MS: f64 = 86_400_000.0;

/// A time: a number, then `ms` or `s`.
pub fn time(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1000.0),
    };
    let digits = number.bytes().all(|b| b.is_ascii_digit() || b == b'.') && !number.is_empty();
    let ms = number.parse::<f64>().ok().filter(|_| digits)? * unit;
    (0.0..=TIME_MOST_MS).contains(&ms).then(|| Duration::from_secs_f64(ms / 1000.0))
}

/// A configuration's version: `r` and a number.
pub fn edition(text: &str) -> Option<u64> {
    let number = text.strip_prefix('r')?;
    number.bytes().all(|b| b.is_ascii_digit()).then(|| number.parse().ok())?
}
