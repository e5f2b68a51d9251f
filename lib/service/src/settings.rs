//! Declaration and parsing of settings.
//!
//! Each setting is a command-line flag and an environment variable, and is validated
//! at startup.

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

/// The settings common to all daemons.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// The data centre's region.
    pub region: RegionName,
    /// Address that the process listens on and that others connect to.
    pub listen: SocketAddr,
    /// Address of the [`GuardPort`](crate::GuardPort), bound for the process's
    /// lifetime, which prevents a second process of the same role from running on the
    /// VM until this one has exited.
    pub guard: SocketAddr,
    /// Number of worker threads that serve requests.
    pub workers: usize,
    /// Address of the StatsD server, or `None` to send no metrics.
    pub metrics: Option<SocketAddr>,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The minimum severity of logged records.
    pub log_level: LogLevel,
}

/// Returns the name of the environment variable for a setting.
fn env_variable(name: &str) -> String {
    format!("SNIPEGATE_{}", name.replace('-', "_").to_uppercase())
}

/// Declares a setting of type `T` with neither a default nor a requirement.
fn setting_arg<T>(name: &'static str, accepted: &'static str, help: &'static str) -> Arg
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: Display,
{
    Arg::new(name)
        .long(name)
        .env(env_variable(name))
        .help(help)
        .value_name(accepted)
        .value_parser(move |text: &str| {
            text.parse::<T>()
                .map_err(|error| format!("{error}; accepted: {accepted}"))
        })
}

/// Declares a setting of type `T`, which is required if it has no default.
///
/// The environment variable is `SNIPEGATE_` followed by the name in upper case.
/// `accepted` describes the accepted values in the help and in error messages.
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
    let arg = setting_arg::<T>(name, accepted, help);
    match default {
        Some(value) => arg.default_value(value),
        None => arg.required(true),
    }
}

/// Declares an optional setting of type `T`.
pub fn optional_setting<T>(name: &'static str, accepted: &'static str, help: &'static str) -> Arg
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: Display,
{
    setting_arg::<T>(name, accepted, help)
}

/// Declares a boolean setting, which is off by default.
pub fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env_variable(name))
        .help(help)
        .action(ArgAction::SetTrue)
}

/// A duration parsed from a whole number followed by `ms`, `s` or `min`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DurationArg(Duration);

impl FromStr for DurationArg {
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
            _ => return Err("missing or unknown unit"),
        };
        let millis = millis.ok_or("number is too large")?;
        Ok(Self(Duration::from_millis(millis)))
    }
}

/// Declares a setting that is a duration, such as `250ms`, `8s` or `2min`.
pub fn duration_setting(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    const ACCEPTED: &str = "number followed by ms, s or min";
    Arg::new(name)
        .long(name)
        .env(env_variable(name))
        .help(help)
        .value_name("SPAN")
        .default_value(default)
        .value_parser(move |text: &str| {
            text.parse::<DurationArg>()
                .map(|span| span.0)
                .map_err(|error| format!("{error}; accepted: {ACCEPTED}"))
        })
}

/// Adds the settings common to all daemons to `command`.
///
/// `listen` and `guard` are the default addresses.
pub fn add_process_settings(
    command: Command,
    listen: &'static str,
    guard: &'static str,
) -> Command {
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
            "Address bound for the process lifetime, to allow one process of a role per VM",
        ))
        .arg(setting::<usize>(
            "workers",
            Some("2"),
            "NUMBER",
            "Number of worker threads that serve requests",
        ))
        .arg(optional_setting::<SocketAddr>(
            "metrics",
            ADDRESS,
            "Address of the StatsD server for metrics",
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
            "Minimum severity of logged records",
        ))
}

impl ProcessSettings {
    /// Extracts the settings from the matches of a command declared with
    /// [`add_process_settings`].
    ///
    /// # Panics
    ///
    /// Panics if the command does not declare these settings.
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
        .unwrap_or_else(|| panic!("setting {name} should be required or have a default"))
}
