//! Settings of the keeper.

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
    /// What every daemon has.
    pub(crate) process: ProcessSettings,
    /// How the platform is reached.
    pub(crate) platform: PlatformSettings,
    /// How shards are kept.
    pub(crate) keeper: KeeperSettings,
    /// Keepers to ask for the fleet view before any is known from the store.
    pub(crate) seeds: Vec<SocketAddr>,
    /// How long a graceful stop waits for other keepers to take the shards over.
    pub(crate) leave_within: Duration,
    /// How long a graceful stop waits for commits in flight.
    pub(crate) stop_within: Duration,
}

/// Declares the command line.
pub(crate) fn command() -> Command {
    let command = Command::new("snipegate-keeper")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Writes the budget ledger and watches the platform");
    add_process_settings(command, "127.0.0.1:7200", "127.0.0.1:7299")
        .arg(setting::<SocketAddr>(
            "platform",
            None,
            "IP:PORT",
            "Address of the platform's service",
        ))
        .arg(
            optional_setting::<SocketAddr>(
                "seed",
                "IP:PORT",
                "Keeper to ask for the fleet view before any is known; may be repeated",
            )
            .action(ArgAction::Append)
            .value_delimiter(','),
        )
        .arg(duration_setting(
            "platform-timeout",
            "1s",
            "Longest wait for an answer of the platform",
        ))
        .arg(duration_setting(
            "answer-within",
            "1s",
            "Longest wait of a ledger batch before it is answered as undecided",
        ))
        .arg(duration_setting(
            "commit-interval",
            "50ms",
            "Shortest time between two segments of a shard, which bounds the store's writes",
        ))
        .arg(duration_setting(
            "store-retry",
            "250ms",
            "Pause before the store is tried again after it failed",
        ))
        .arg(duration_setting(
            "takeover-pause",
            "500ms",
            "Pause before a shard is taken over again after another keeper took it",
        ))
        .arg(setting::<u64>(
            "snapshot-every",
            Some("2000"),
            "NUMBER",
            "Segments between two snapshots of a shard",
        ))
        .arg(duration_setting(
            "leave-within",
            "8s",
            "Longest wait for other keepers to take the shards over at a graceful stop",
        ))
        .arg(duration_setting(
            "stop-within",
            "5s",
            "Longest wait for commits in flight at a graceful stop",
        ))
}

impl DaemonSettings {
    /// Takes the settings out of a command line that [`command`] declared.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let process = ProcessSettings::from_matches(matches);
        let platform = PlatformSettings {
            address: value(matches, "platform"),
            call_timeout: value(matches, "platform-timeout"),
            vm: process.vm.clone(),
            data_centre: process.data_centre.clone(),
        };
        let keeper = KeeperSettings {
            answer_within: value(matches, "answer-within"),
            commit_interval: value(matches, "commit-interval"),
            store_retry: value(matches, "store-retry"),
            takeover_pause: value(matches, "takeover-pause"),
            snapshot_every: value::<u64>(matches, "snapshot-every").max(1),
            ..KeeperSettings::default()
        };
        Self {
            process,
            platform,
            keeper,
            seeds: matches
                .get_many::<SocketAddr>("seed")
                .map_or_else(Vec::new, |seeds| seeds.copied().collect()),
            leave_within: value(matches, "leave-within"),
            stop_within: value(matches, "stop-within"),
        }
    }
}

fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .unwrap_or_else(|| panic!("setting {name} is declared with a value"))
}
