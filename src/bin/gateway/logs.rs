//! The log: text or JSON lines on standard error, written by a separate thread.

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

/// Maximum number of queued lines; further ones are dropped and counted, so that a blocked standard error does
/// not block the gateway.
const MAX_QUEUED_LINES: usize = 1024;

/// Targets of log events. The names are part of the log format and of the level settings.
pub mod targets {
    pub const DESCRIPTOR_SHARE: &str = "heronstage::beside";
    pub const CLUSTER: &str = "heronstage::cluster";
    pub const COUNTER: &str = "heronstage::counter";
    pub const DISCOVERY: &str = "heronstage::discovery";
    pub const METRICS: &str = "heronstage::figures";
    pub const GATEWAY: &str = "heronstage::gateway";
    pub const OPERATOR: &str = "heronstage::operator";
    pub const SERVER: &str = "heronstage::server";
    /// Log lines about single requests.
    pub const REQUEST: &str = "request";
}

/// The log of this process.
pub struct Log {
    levels: Handle<Targets, Registry>,
    dropped: ErrorCounter,
    /// Flushes the queued lines when it is dropped.
    guard: Option<WorkerGuard>,
}

impl Log {
    /// Starts the log. A process can start only one.
    pub fn start(logs: &Logs) -> Result<Self, String> {
        let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_QUEUED_LINES).thread_name("log");
        let (writer, guard) = builder.finish(io::stderr());
        let dropped = writer.error_counter();
        let (levels, handle) = reload::Layer::new(level_filter(logs));
        let layer = format_layer(logs, writer).with_filter(levels);
        tracing_subscriber::registry()
            .with(layer)
            .try_init()
            .map_err(|e| format!("starting the log: {e}"))?;
        Ok(Log { levels: handle, dropped, guard: Some(guard) })
    }

    /// Replaces the log levels.
    pub fn set_levels(&self, levels: Targets) {
        // Fails only after the subscriber was dropped; it lives as long as the process.
        let _ = self.levels.reload(levels);
    }

    /// Number of lines dropped because the queue was full.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped.dropped_lines() as u64
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        // Lines were dropped as standard error is not read: a flush could block forever.
        if self.dropped_lines() > 0 {
            std::mem::forget(self.guard.take());
        }
    }
}

fn format_layer(logs: &Logs, writer: NonBlocking) -> Box<dyn Layer<Registry> + Send + Sync> {
    let layer = fmt::layer().with_writer(writer).with_ansi(false);
    match (logs.format, logs.times) {
        (LogFormat::Json, _) => layer.json().flatten_event(true).with_span_list(false).boxed(),
        (LogFormat::Text, true) => layer.boxed(),
        (LogFormat::Text, false) => layer.without_time().boxed(),
    }
}

/// The configured levels: a default, and levels of single targets.
pub fn level_filter(logs: &Logs) -> Targets {
    let targets = logs.levels.iter().map(|(target, level)| (target.clone(), to_tracing(*level)));
    Targets::new().with_targets(targets).with_default(to_tracing(logs.level))
}

fn to_tracing(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::OFF,
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}

/// Formats customer numbers for log lines. By default they are hashed with a key of this process, so that lines of
/// one customer can be correlated without identifying the customer.
pub struct CustomerNames {
    key: RandomState,
    customers: CustomerIdFormat,
}

impl CustomerNames {
    pub fn new(customers: CustomerIdFormat) -> Self {
        CustomerNames { key: RandomState::new(), customers }
    }

    /// Formats a customer number.
    pub fn customer(&self, number: u64) -> String {
        match self.customers {
            CustomerIdFormat::Hash => format!("{:016x}", self.key.hash_one(number)),
            CustomerIdFormat::Plain => format!("{number:016x}"),
        }
    }
}
