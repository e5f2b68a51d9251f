//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::Command;
use clap::builder::PathBufValueParser;
use clap::value_parser;
use snipegate_service::LogLevel;

/// What the process is told on its command line or in its environment.
#[derive(Clone, Debug)]
pub struct EdgeCommand {
    /// The settings file of the platform.
    pub settings: PathBuf,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
}

impl EdgeCommand {
    /// Parses the command line; ends the process if it is wrong.
    pub fn parse() -> Self {
        let matches = build_command().get_matches();
        let settings = matches.get_one::<PathBuf>("settings").cloned();
        let log_level = matches.get_one::<LogLevel>("log-level").copied();
        Self {
            settings: settings.unwrap_or_default(),
            metrics: matches.get_one::<SocketAddr>("metrics").copied(),
            log_level: log_level.unwrap_or(LogLevel::Info),
        }
    }
}

fn build_command() -> Command {
    Command::new("snipegate-edge")
        .about("Front, address answers and store follower of one VM")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .env("SNIPEGATE_CONFIG")
                .value_parser(PathBufValueParser::new())
                .required(true)
                .help("Settings file that the platform writes"),
        )
        .arg(
            Arg::new("metrics")
                .long("metrics")
                .env("SNIPEGATE_METRICS")
                .value_parser(value_parser!(SocketAddr))
                .help("Address that metrics are served on"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .env("SNIPEGATE_LOG_LEVEL")
                .value_parser(|text: &str| text.parse::<LogLevel>())
                .default_value("info")
                .help("Least severe level that is logged"),
        )
}
