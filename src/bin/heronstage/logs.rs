//! The log: lines on standard error, as text or as JSON, written by a thread of their own.

use crate::config::{CustomerIdFormat, Level, LogFormat, Logs};
use std::hash::{BuildHasher, RandomState};
use std::io;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload::{self, Handle};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, Layer, Registry};

/// Lines that may wait to be written; further ones are dropped and counted. A reader that stops reading stalls
/// nothing but the log.
const WAITING_MOST: usize = 1024;
/// Lines on single requests.
pub const REQUEST: &str = "request";

/// The log of this process.
pub struct Log {
    levels: Handle<Targets, Registry>,
    lost: ErrorCounter,
    /// Writes what waits when it is dropped.
    guard: Option<WorkerGuard>,
}

impl Log {
    /// Starts the log; there is one in a process.
    pub fn start(logs: &Logs) -> Result<Self, String> {
        let builder = NonBlockingBuilder::default().buffered_lines_limit(WAITING_MOST).thread_name("log");
        let (writer, guard) = builder.finish(io::stderr());
        let lost = writer.error_counter();
        let (levels, handle) = reload::Layer::new(targets(logs));
        let lines = lines(logs, writer).with_filter(levels);
        tracing_subscriber::registry().with(lines).try_init().map_err(|e| format!("the log: {e}"))?;
        Ok(Log { levels: handle, lost, guard: Some(guard) })
    }

    /// Other levels from now on.
    pub fn set(&self, levels: Targets) {
        // The log lives as long as the program.
        let _ = self.levels.reload(levels);
    }

    /// Lines that were dropped for want of room.
    pub fn lost(&self) -> u64 {
        self.lost.dropped_lines() as u64
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        // Nobody reads: there is nothing to wait for.
        if self.lost() > 0 {
            std::mem::forget(self.guard.take());
        }
    }
}

fn lines(logs: &Logs, writer: NonBlocking) -> Box<dyn Layer<Registry> + Send + Sync> {
    let lines = fmt::layer().with_writer(writer).with_ansi(false);
    match (logs.format, logs.times) {
        (LogFormat::Json, _) => lines.json().flatten_event(true).with_span_list(false).boxed(),
        (LogFormat::Text, true) => lines.boxed(),
        (LogFormat::Text, false) => lines.without_time().boxed(),
    }
}

/// The levels that a configuration states.
pub fn targets(logs: &Logs) -> Targets {
    let parts = logs.levels.iter().map(|(part, level)| (part.clone(), filter(*level)));
    Targets::new().with_targets(parts).with_default(filter(logs.level))
}

fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::OFF,
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}

/// Writes customers' numbers so that their lines belong together, and nobody is named unless it was asked for.
pub struct Names {
    key: RandomState,
    customers: CustomerIdFormat,
}

impl Names {
    pub fn new(customers: CustomerIdFormat) -> Self {
        Names { key: RandomState::new(), customers }
    }

    pub fn customer(&self, number: u64) -> String {
        match self.customers {
            CustomerIdFormat::Hash => format!("{:016x}", self.key.hash_one(number)),
            CustomerIdFormat::Plain => format!("{number:016x}"),
        }
    }
}
