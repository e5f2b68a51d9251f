//! Structured logging as text or JSON lines.
//!
//! Only state changes are logged.

use std::io;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;
use strum::Display;
use strum::EnumString;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
    Json,
}

/// The minimum severity of logged records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// Details for debugging.
    Debug,
    /// State changes.
    Info,
    /// State changes that need an operator's attention.
    Warning,
    /// Errors.
    Error,
}

impl LogLevel {
    fn level(self) -> Level {
        match self {
            LogLevel::Debug => Level::Debug,
            LogLevel::Info => Level::Info,
            LogLevel::Warning => Level::Warning,
            LogLevel::Error => Level::Error,
        }
    }
}

/// Builds a logger that writes to standard error. Every record contains `process`.
pub fn build_logger(format: LogFormat, level: LogLevel, process: &str) -> Logger {
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(io::stderr());
            Box::new(slog_term::FullFormat::new(decorator).build().fuse())
        }
        LogFormat::Json => Box::new(slog_json::Json::default(io::stderr()).fuse()),
    };
    let filter = slog::LevelFilter::new(drain, level.level()).fuse();
    let drain = slog_async::Async::new(filter).build().fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}

/// Capacity of the queue of unwritten records. Further ones are dropped and counted.
const QUEUE_CAPACITY: usize = 2048;

/// Builds a logger that writes JSON lines to standard output without blocking.
///
/// Every record contains `process`.
pub fn build_json_logger(level: LogLevel, process: &str) -> Logger {
    let drain = slog_json::Json::default(io::stdout()).fuse();
    let filter = slog::LevelFilter::new(drain, level.level()).fuse();
    let drain = slog_async::Async::new(filter)
        .chan_size(QUEUE_CAPACITY)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}
