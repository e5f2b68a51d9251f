//! Logs: lines for changes of state only, as text or JSON lines on standard error.

use std::io;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;
use strum::Display;
use strum::EnumString;

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// Details for developers.
    Debug,
    /// Changes of state.
    Info,
    /// Changes of state that an operator should look at.
    Warning,
    /// Faults.
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

/// Builds the process's logger; `process` is on every line.
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

/// Lines that wait to be written; more are dropped and counted.
const LINE_BUFFER: usize = 2048;

/// Builds a logger that writes JSON lines to standard output and never blocks.
pub fn build_line_logger(level: LogLevel, process: &str) -> Logger {
    let drain = slog_json::Json::default(io::stdout()).fuse();
    let filter = slog::LevelFilter::new(drain, level.level()).fuse();
    let drain = slog_async::Async::new(filter)
        .chan_size(LINE_BUFFER)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}
