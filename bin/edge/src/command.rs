//! Command line of the edge process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::Command;
use clap::builder::PathBufValueParser;
use clap::value_parser;
use snipegate_service::LogLevel;

/// Arguments from the command line or the environment.
#[derive(Clone, Debug)]
pub struct EdgeArguments {
    /// Path of the platform's settings file.
    pub settings: PathBuf,
    /// Address of the metrics listener; `None` disables it.
    pub metrics: Option<SocketAddr>,
    /// Minimum level of logged records.
    pub log_level: LogLevel,
    /// Age of the oldest copy from which the configuration store may come back.
    pub max_copy_age: Duration,
}

/// Default of [`EdgeArguments::max_copy_age`], in milliseconds.
const DEFAULT_MAX_COPY_AGE_MS: u64 = 8000;

/// Highest accepted value of [`EdgeArguments::max_copy_age`], in milliseconds. New budgets can't
/// be spent before that age.
const MAX_COPY_AGE_LIMIT_MS: u64 = 600_000;

impl EdgeArguments {
    /// Parses the command line, and exits the process if it is invalid.
    pub fn parse() -> Self {
        let matches = build_command().get_matches();
        let settings = matches.get_one::<PathBuf>("settings").cloned();
        let log_level = matches.get_one::<LogLevel>("log-level").copied();
        let max_copy_age = matches.get_one::<u64>("max-copy-age-ms").copied();
        Self {
            settings: settings.unwrap_or_default(),
            metrics: matches.get_one::<SocketAddr>("metrics").copied(),
            log_level: log_level.unwrap_or(LogLevel::Info),
            max_copy_age: Duration::from_millis(max_copy_age.unwrap_or(DEFAULT_MAX_COPY_AGE_MS)),
        }
    }
}

fn build_command() -> Command {
    Command::new("snipegate-edge")
        .about("Serves requests and address lookups on one VM, and follows the configuration store")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .env("SNIPEGATE_CONFIG")
                .value_parser(PathBufValueParser::new())
                .required(true)
                .help("Settings file written by the platform"),
        )
        .arg(
            Arg::new("metrics")
                .long("metrics")
                .env("SNIPEGATE_METRICS")
                .value_parser(value_parser!(SocketAddr))
                .help("Address on which metrics are served"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .env("SNIPEGATE_LOG_LEVEL")
                .value_parser(|text: &str| text.parse::<LogLevel>())
                .default_value("info")
                .help("Minimum level of logged records"),
        )
        .arg(
            Arg::new("max-copy-age-ms")
                .long("max-copy-age-ms")
                .env("SNIPEGATE_MAX_COPY_AGE_MS")
                .value_parser(value_parser!(u64).range(..=MAX_COPY_AGE_LIMIT_MS))
                .default_value(DEFAULT_MAX_COPY_AGE_MS.to_string())
                .help("Age of the oldest copy from which the configuration store may come back"),
        )
}
