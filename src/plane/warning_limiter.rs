//! Rate limit for repeated warnings: one in ten seconds is logged, with the number of suppressed ones.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// Rate limiter of one kind of warning.
#[derive(Default)]
pub struct WarningLimiter {
    last_logged: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl WarningLimiter {
    /// Returns the number suppressed since the last one if a warning may be logged now.
    pub fn due(&self) -> Option<u64> {
        if self.last_logged.get().is_some_and(|at| at.elapsed() <= MIN_INTERVAL) {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.last_logged.set(Some(Instant::now()));
        Some(self.suppressed.take())
    }
}

/// Logs a warning if its rate limiter allows it. A macro, as the target of an event must be a constant.
#[macro_export]
macro_rules! warn_limited {
    ($target:expr, $limiter:expr, $what:expr, $why:expr) => {
        match $limiter.due() {
            None => {}
            Some(0) => tracing::warn!(target: $target, "{}: {}", $what, $why),
            Some(held_back) => tracing::warn!(target: $target, held_back, "{}: {}", $what, $why),
        }
    };
}
pub use crate::warn_limited;

#[cfg(test)]
mod tests {
    use super::*;
    use std::io;
    use std::sync::{Arc, Mutex};

    #[derive(Clone, Default)]
    struct LogBuffer(Arc<Mutex<Vec<u8>>>);

    impl io::Write for LogBuffer {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().map_err(|_| io::Error::other("poisoned"))?.extend_from_slice(bytes);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[tokio::test(start_paused = true)]
    async fn repeated_warnings_are_suppressed_and_counted() {
        let written = LogBuffer::default();
        let buffer = written.clone();
        let lines =
            tracing_subscriber::fmt().with_writer(move || buffer.clone()).without_time().with_ansi(false);
        let _guard = tracing::subscriber::set_default(lines.finish());
        let limiter = WarningLimiter::default();
        for number in 0..100 {
            warn_limited!("test", limiter, "accept", number);
        }
        tokio::time::advance(MIN_INTERVAL + Duration::from_millis(1)).await;
        warn_limited!("test", limiter, "accept", "again");
        tokio::time::advance(MIN_INTERVAL + Duration::from_millis(1)).await;
        warn_limited!("test", limiter, "accept", "once more");
        let text = String::from_utf8(written.0.lock().unwrap().clone()).unwrap();
        let lines: Vec<_> = text.lines().map(|line| line.split_once(": ").unwrap().1).collect();
        assert_eq!(lines, ["accept: 0", "accept: again held_back=99", "accept: once more"]);
    }
}
