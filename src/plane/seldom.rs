//! Warnings that may come with every request or line: one in ten seconds is written, with how many were not.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

const EVERY: Duration = Duration::from_secs(10);

/// One kind of warning.
#[derive(Default)]
pub struct Seldom {
    written: Cell<Option<Instant>>,
    held_back: Cell<u64>,
}

impl Seldom {
    /// Whether one is due now: how many like it were held back.
    pub fn due(&self) -> Option<u64> {
        if self.written.get().is_some_and(|at| at.elapsed() <= EVERY) {
            self.held_back.set(self.held_back.get() + 1);
            return None;
        }
        self.written.set(Some(Instant::now()));
        Some(self.held_back.take())
    }
}

/// Warns if it is due, as the part of the program where it stands.
#[macro_export]
macro_rules! seldom {
    ($seldom:expr, $what:expr, $why:expr) => {
        match $seldom.due() {
            None => {}
            Some(0) => tracing::warn!("{}: {}", $what, $why),
            Some(held_back) => tracing::warn!(held_back, "{}: {}", $what, $why),
        }
    };
}
pub use crate::seldom;

#[cfg(test)]
mod tests {
    use super::*;
    use std::io;
    use std::sync::{Arc, Mutex};

    #[derive(Clone, Default)]
    struct Written(Arc<Mutex<Vec<u8>>>);

    impl io::Write for Written {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().map_err(|_| io::Error::other("poisoned"))?.extend_from_slice(bytes);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[tokio::test(start_paused = true)]
    async fn repeated_warnings_are_held_back_and_told_by_their_number() {
        let written = Written::default();
        let to = written.clone();
        let lines = tracing_subscriber::fmt().with_writer(move || to.clone()).without_time().with_ansi(false);
        let _guard = tracing::subscriber::set_default(lines.finish());
        let seldom = Seldom::default();
        for number in 0..100 {
            seldom!(seldom, "accept", number);
        }
        tokio::time::advance(EVERY + Duration::from_millis(1)).await;
        seldom!(seldom, "accept", "again");
        tokio::time::advance(EVERY + Duration::from_millis(1)).await;
        seldom!(seldom, "accept", "once more");
        let text = String::from_utf8(written.0.lock().unwrap().clone()).unwrap();
        let lines: Vec<_> = text.lines().map(|line| line.split_once(": ").unwrap().1).collect();
        assert_eq!(lines, ["accept: 0", "accept: again held_back=99", "accept: once more"]);
    }
}
