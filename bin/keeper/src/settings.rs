//! Command-line settings of the keeper.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use snipegate_ledger::KeeperSettings;
use snipegate_platform::PlatformSettings;
use snipegate_service::ProcessSettings;
use snipegate_service::add_process_settings;
use snipegate_service::duration_setting;
use snipegate_service::optional_setting;
use snipegate_service::setting;

/// Settings of the keeper.
#[derive(Clone, Debug)]
pub(crate) struct DaemonSettings {
    /// Settings common to all daemons.
    pub(crate) process: ProcessSettings,
    /// Settings of the platform client.
    pub(crate) platform: PlatformSettings,
    /// Settings of the shard keepers.
    pub(crate) keeper: KeeperSettings,
    /// Keepers to request the fleet view from before any is known from the store.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Maximum time that a graceful stop waits for other keepers to take the shards
    /// over.
    pub(crate) leave_within: Duration,
    /// Maximum time that a graceful stop waits for commits in flight.
    pub(crate) stop_within: Duration,
}

/// Declares the command-line arguments.
pub(crate) fn command() -> Command {
    let command = Command::new("snipegate-keeper")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Writes the budget ledger and watches the platform");
    add_process_settings(command, "127.0.0.1:7200", "127.0.0.1:7299")
        .arg(setting::<SocketAddr>(
            "platform",
            None,
            "IP:PORT",
            "Address of the platform service",
        ))
        .arg(
            optional_setting::<SocketAddr>(
                "seed",
                "IP:PORT",
                "Keeper to request the fleet view from before any is known; may be repeated",
            )
            .action(ArgAction::Append)
            .value_delimiter(','),
        )
        .arg(duration_setting(
            "platform-timeout",
            "1s",
            "Timeout of a call to the platform",
        ))
        .arg(duration_setting(
            "answer-within",
            "1s",
            "Maximum time that a ledger batch waits before it is answered as undecided",
        ))
        .arg(duration_setting(
            "commit-interval",
            "50ms",
            "Minimum time between two segments of a shard, which limits the store write rate",
        ))
        .arg(duration_setting(
            "store-retry",
            "250ms",
            "Delay before a failed call to the store is retried",
        ))
        .arg(duration_setting(
            "takeover-pause",
            "500ms",
            "Delay before a shard that another keeper took is taken over again",
        ))
        .arg(setting::<u64>(
            "snapshot-every",
            Some("2000"),
            "NUMBER",
            "Number of segments between two snapshots of a shard",
        ))
        .arg(duration_setting(
            "leave-within",
            "8s",
            "Maximum time that a graceful stop waits for other keepers to take the shards over",
        ))
        .arg(duration_setting(
            "stop-within",
            "5s",
            "Maximum time that a graceful stop waits for commits in flight",
        ))
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
        let keeper = KeeperSettings {
            answer_within: required_value(matches, "answer-within"),
            commit_interval: required_value(matches, "commit-interval"),
            store_retry: required_value(matches, "store-retry"),
            takeover_pause: required_value(matches, "takeover-pause"),
            snapshot_every: required_value::<u64>(matches, "snapshot-every").max(1),
            ..KeeperSettings::default()
        };
        Self {
            process,
            platform,
            keeper,
            seeds: matches
                .get_many::<SocketAddr>("seed")
                .map_or_else(Vec::new, |seeds| seeds.copied().collect()),
            leave_within: required_value(matches, "leave-within"),
            stop_within: required_value(matches, "stop-within"),
        }
    }
}

fn required_value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .unwrap_or_else(|| panic!("setting {name} has neither a default nor a value"))
}
