//! Command-line settings of the directory.

use std::net::SocketAddr;

use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use snipegate_platform::PlatformSettings;
use snipegate_service::ProcessSettings;
use snipegate_service::add_process_settings;
use snipegate_service::duration_setting;
use snipegate_service::optional_setting;
use snipegate_service::setting;

/// Settings of the directory.
#[derive(Clone, Debug)]
pub(crate) struct DaemonSettings {
    /// Settings common to all daemons.
    pub(crate) process: ProcessSettings,
    /// Settings of the platform client.
    pub(crate) platform: PlatformSettings,
    /// Address of the keeper on this VM.
    pub(crate) keeper: Option<SocketAddr>,
    /// Other keepers to request the fleet view from while none is known.
    pub(crate) seeds: Vec<SocketAddr>,
}

/// Declares the command-line arguments.
pub(crate) fn command() -> Command {
    const ADDRESS: &str = "IP:PORT";
    let command = Command::new("snipegate-directory")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Tells callers which router addresses to use and for how long");
    add_process_settings(command, "127.0.0.1:7300", "127.0.0.1:7399")
        .arg(setting::<SocketAddr>(
            "platform",
            None,
            ADDRESS,
            "Address of the platform service",
        ))
        .arg(duration_setting(
            "platform-timeout",
            "1s",
            "Timeout of a call to the platform",
        ))
        .arg(optional_setting::<SocketAddr>(
            "keeper",
            ADDRESS,
            "Address of the keeper on this VM",
        ))
        .arg(
            optional_setting::<SocketAddr>(
                "seed",
                ADDRESS,
                "Keeper to request the fleet view from while none is known; may be repeated",
            )
            .action(ArgAction::Append)
            .value_delimiter(','),
        )
}

impl DaemonSettings {
    /// Extracts the settings from matches of [`command`].
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let process = ProcessSettings::from_matches(matches);
        let platform = PlatformSettings {
            address: required_value(matches, "platform"),
            call_timeout: required_value(matches, "platform-timeout"),
            vm: process.vm.clone(),
            data_centre: process.data_centre.clone(),
        };
        Self {
            process,
            platform,
            keeper: matches.get_one::<SocketAddr>("keeper").copied(),
            seeds: matches
                .get_many::<SocketAddr>("seed")
                .map_or_else(Vec::new, |seeds| seeds.copied().collect()),
        }
    }
}

fn required_value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .unwrap_or_else(|| panic!("setting {name} has neither a default nor a value"))
}
