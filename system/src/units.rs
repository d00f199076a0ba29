//! Text formats of durations and configuration editions.

use std::time::Duration;

/// Longest accepted duration: one day.
const MAX_DURATION_MS: f64 = 86_400_000.0;

/// Parses a duration: a decimal number followed by `ms` or `s`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1000.0),
    };
    let is_decimal = number.bytes().all(|b| b.is_ascii_digit() || b == b'.') && !number.is_empty();
    let ms = number.parse::<f64>().ok().filter(|_| is_decimal)? * unit;
    (0.0..=MAX_DURATION_MS).contains(&ms).then(|| Duration::from_secs_f64(ms / 1000.0))
}

/// Parses a configuration edition: `r` followed by a number.
pub fn parse_edition(text: &str) -> Option<u64> {
    let number = text.strip_prefix('r')?;
    number.bytes().all(|b| b.is_ascii_digit()).then(|| number.parse().ok())?
}
