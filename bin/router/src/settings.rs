//! The router's settings.

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

/// The router's settings.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The settings that every daemon has.
    pub process: ProcessSettings,
    /// Where other processes of the fleet reach the router; not for callers.
    pub peer_listen: SocketAddr,
    /// The platform's service.
    pub platform: SocketAddr,
    /// The keeper of this VM.
    pub keeper: Option<SocketAddr>,
    /// Keepers to ask while none is known.
    pub seeds: Vec<SocketAddr>,
    /// Largest body of a caller's request.
    pub max_body: ByteCount,
    /// How long a caller's body may take to arrive.
    pub body_wait: Duration,
    /// How long a call to the platform may take.
    pub platform_timeout: Duration,
    /// Which cost the deployment weighs more.
    pub policy: EscrowPolicy,
    /// How long a stop waits for the ledger to take back what is held.
    pub release_wait: Duration,
}

/// Declares the router's command line.
pub fn command() -> Command {
    const ADDRESS: &str = "IP:PORT";
    let command = Command::new("snipegate-router")
        .about("Carries callers' requests to upstreams under prepaid budgets")
        .version(env!("CARGO_PKG_VERSION"));
    add_process_settings(command, "127.0.0.1:8080", "127.0.0.1:8089")
        .arg(setting::<SocketAddr>(
            "peer-listen",
            Some("127.0.0.1:8081"),
            ADDRESS,
            "Address for the fleet's own processes; keep it from callers",
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
                "Address of a keeper to ask while none is known; may be repeated",
            )
            .action(ArgAction::Append)
            .value_delimiter(','),
        )
        .arg(setting::<ByteCount>(
            "max-body",
            Some("8M"),
            "BYTES, with k, M or G",
            "Largest body of a request",
        ))
        .arg(duration_setting(
            "body-wait",
            "10s",
            "How long a request's body may take to arrive",
        ))
        .arg(duration_setting(
            "platform-timeout",
            "1s",
            "Longest wait for an answer of the platform",
        ))
        .arg(setting::<EscrowPolicy>(
            "policy",
            Some("avoid_refusals"),
            "avoid_refusals|avoid_overspend",
            "Which cost the deployment weighs more",
        ))
        .arg(duration_setting(
            "release-wait",
            "30s",
            "How long a stop waits for the ledger to take back what is held",
        ))
}

impl RouterSettings {
    /// Takes the settings out of the command line.
    ///
    /// # Panics
    ///
    /// Panics if the command line is not that of [`command`].
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let address = |name| matches.get_one::<SocketAddr>(name).copied();
        let span = |name| matches.get_one::<Duration>(name).copied();
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
            body_wait: span("body-wait").expect("has a default"),
            platform_timeout: span("platform-timeout").expect("has a default"),
            policy: *matches.get_one("policy").expect("has a default"),
            release_wait: span("release-wait").expect("has a default"),
        }
    }
}
