//! Command line and settings of the router.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use snipegate_escrow::EscrowPolicy;
use snipegate_service::ProcessSettings;
use snipegate_service::add_process_settings;
use snipegate_service::duration_setting;
use snipegate_service::optional_setting;
use snipegate_service::setting;
use snipegate_types::ByteCount;

/// Settings of a router process.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Settings shared by all daemons.
    pub process: ProcessSettings,
    /// Address for other processes of the fleet; callers must not reach it.
    pub peer_listen: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Address of this VM's keeper, if it runs one.
    pub keeper: Option<SocketAddr>,
    /// Keepers to contact until the fleet view names one.
    pub seeds: Vec<SocketAddr>,
    /// Maximum size of a request body.
    pub max_body: ByteCount,
    /// Maximum time for a request body to arrive.
    pub body_wait: Duration,
    /// Maximum time for a call to the platform.
    pub platform_timeout: Duration,
    /// Whether the deployment would rather avoid refusals or overspend.
    pub policy: EscrowPolicy,
    /// Maximum time that a shutdown waits for the ledger to take back held tokens.
    pub release_wait: Duration,
}

/// Returns the router's command-line interface.
pub fn command() -> Command {
    const ADDRESS: &str = "IP:PORT";
    let command = Command::new("snipegate-router")
        .about("Forwards callers' requests to upstreams and charges them to prepaid budgets")
        .version(env!("CARGO_PKG_VERSION"));
    add_process_settings(command, "127.0.0.1:8080", "127.0.0.1:8089")
        .arg(setting::<SocketAddr>(
            "peer-listen",
            Some("127.0.0.1:8081"),
            ADDRESS,
            "Address for other processes of the fleet; must not be reachable by callers",
        ))
        .arg(setting::<SocketAddr>(
            "platform",
            None,
            ADDRESS,
            "Address of the platform's service",
        ))
        .arg(optional_setting::<SocketAddr>(
            "keeper",
            ADDRESS,
            "Address of this VM's keeper",
        ))
        .arg(
            optional_setting::<SocketAddr>(
                "seed",
                ADDRESS,
                "Address of a keeper to contact until the fleet view names one; may be repeated",
            )
            .action(ArgAction::Append)
            .value_delimiter(','),
        )
        .arg(setting::<ByteCount>(
            "max-body",
            Some("8M"),
            "BYTES, with k, M or G",
            "Maximum size of a request body",
        ))
        .arg(duration_setting(
            "body-wait",
            "10s",
            "Maximum time for a request body to arrive",
        ))
        .arg(duration_setting(
            "platform-timeout",
            "1s",
            "Maximum time for a call to the platform",
        ))
        .arg(setting::<EscrowPolicy>(
            "policy",
            Some("avoid_refusals"),
            "avoid_refusals|avoid_overspend",
            "Whether to prefer avoiding refusals or avoiding overspend",
        ))
        .arg(duration_setting(
            "release-wait",
            "30s",
            "Maximum time that a shutdown waits for the ledger to take back held tokens",
        ))
}

impl RouterSettings {
    /// Reads the settings from the parsed command line.
    ///
    /// # Panics
    ///
    /// Panics if `matches` does not come from [`command`].
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let address = |name| matches.get_one::<SocketAddr>(name).copied();
        let duration = |name| matches.get_one::<Duration>(name).copied();
        Self {
            process: ProcessSettings::from_matches(matches),
            peer_listen: address("peer-listen").expect("has a default"),
            platform: address("platform").expect("is required"),
            keeper: address("keeper"),
            seeds: matches
                .get_many::<SocketAddr>("seed")
                .map(|seeds| seeds.copied().collect())
                .unwrap_or_default(),
            max_body: *matches.get_one("max-body").expect("has a default"),
            body_wait: duration("body-wait").expect("has a default"),
            platform_timeout: duration("platform-timeout").expect("has a default"),
            policy: *matches.get_one("policy").expect("has a default"),
            release_wait: duration("release-wait").expect("has a default"),
        }
    }
}
