//! Settings: each is a flag and an environment variable, checked at start.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use snipegate_types::DataCentre;
use snipegate_types::RegionName;
use snipegate_types::VmId;

use crate::logs::LogFormat;
use crate::logs::LogLevel;

/// The settings that every daemon has.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// The data centre's region.
    pub region: RegionName,
    /// Where the process listens, and where others reach it.
    pub listen: SocketAddr,
    /// Port bound for the process's whole life, which keeps a second process
    /// of the same role off the VM until this one has ended.
    pub guard: SocketAddr,
    /// Number of traffic threads.
    pub workers: usize,
    /// Where to send metrics over UDP; nowhere if unset.
    pub metrics: Option<SocketAddr>,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
}

fn variable(name: &str) -> String {
    format!("SNIPEGATE_{}", name.replace('-', "_").to_uppercase())
}

fn base<T>(name: &'static str, accepted: &'static str, help: &'static str) -> Arg
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: Display,
{
    Arg::new(name)
        .long(name)
        .env(variable(name))
        .help(help)
        .value_name(accepted)
        .value_parser(move |text: &str| {
            text.parse::<T>()
                .map_err(|error| format!("{error}; accepted: {accepted}"))
        })
}

/// Declares a setting of type `T` with a default; without one it must be given.
///
/// The environment variable is `SNIPEGATE_` and the name in capitals.
/// `accepted` is shown where the value is refused.
pub fn setting<T>(
    name: &'static str,
    default: Option<&'static str>,
    accepted: &'static str,
    help: &'static str,
) -> Arg
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: Display,
{
    let arg = base::<T>(name, accepted, help);
    match default {
        Some(value) => arg.default_value(value),
        None => arg.required(true),
    }
}

/// Declares a setting of type `T` that may be left out.
pub fn optional_setting<T>(name: &'static str, accepted: &'static str, help: &'static str) -> Arg
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: Display,
{
    base::<T>(name, accepted, help)
}

/// Declares a setting that is either on or off.
pub fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(variable(name))
        .help(help)
        .action(ArgAction::SetTrue)
}

/// A span of time as text: a whole number and `ms`, `s` or `min`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SpanText(Duration);

impl FromStr for SpanText {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let end = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (digits, unit) = text.split_at(end);
        let number: u64 = digits.parse().map_err(|_| "expected a whole number")?;
        let millis = match unit {
            "ms" => Some(number),
            "s" => number.checked_mul(1_000),
            "min" => number.checked_mul(60_000),
            _ => return Err("expected a unit"),
        };
        let millis = millis.ok_or("number is too large")?;
        Ok(Self(Duration::from_millis(millis)))
    }
}

/// Declares a setting that is a span of time, such as `250ms`, `8s` or `2min`.
pub fn duration_setting(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    const ACCEPTED: &str = "number followed by ms, s or min";
    Arg::new(name)
        .long(name)
        .env(variable(name))
        .help(help)
        .value_name("SPAN")
        .default_value(default)
        .value_parser(move |text: &str| {
            text.parse::<SpanText>()
                .map(|span| span.0)
                .map_err(|error| format!("{error}; accepted: {ACCEPTED}"))
        })
}

/// Adds the settings that every daemon has to its command.
pub fn process_settings(command: Command, listen: &'static str, guard: &'static str) -> Command {
    const NAME: &str = "letters, digits, '.', '_' or '-'";
    const ADDRESS: &str = "IP:PORT";
    command
        .arg(setting::<VmId>("vm", None, NAME, "Id of this VM"))
        .arg(setting::<DataCentre>(
            "data-centre",
            None,
            NAME,
            "Data centre of this VM",
        ))
        .arg(setting::<RegionName>(
            "region",
            None,
            NAME,
            "Region of the data centre",
        ))
        .arg(setting::<SocketAddr>(
            "listen",
            Some(listen),
            ADDRESS,
            "Address to listen on",
        ))
        .arg(setting::<SocketAddr>(
            "guard",
            Some(guard),
            ADDRESS,
            "Address held for the process's whole life; one process of a role on a VM",
        ))
        .arg(setting::<usize>(
            "workers",
            Some("2"),
            "NUMBER",
            "Number of traffic threads",
        ))
        .arg(optional_setting::<SocketAddr>(
            "metrics",
            ADDRESS,
            "StatsD address for metrics",
        ))
        .arg(setting::<LogFormat>(
            "log-format",
            Some("text"),
            "text|json",
            "Format of log lines",
        ))
        .arg(setting::<LogLevel>(
            "log-level",
            Some("info"),
            "debug|info|warning|error",
            "Least severe level that is logged",
        ))
}

impl ProcessSettings {
    /// Takes the settings out of a command line that [`process_settings`] declared.
    ///
    /// # Panics
    ///
    /// Panics if the command line was not declared so.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        Self {
            vm: value(matches, "vm"),
            data_centre: value(matches, "data-centre"),
            region: value(matches, "region"),
            listen: value(matches, "listen"),
            guard: value(matches, "guard"),
            workers: value::<usize>(matches, "workers").max(1),
            metrics: matches.get_one::<SocketAddr>("metrics").copied(),
            log_format: value(matches, "log-format"),
            log_level: value(matches, "log-level"),
        }
    }
}

fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .unwrap_or_else(|| panic!("setting {name} is declared with a value"))
}
