//! The one process of a VM on the users' platform: takes callers' requests,
//! answers which addresses to use, and follows the platform's store.

mod command;
mod stop;

use std::error::Error;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::error;
use slog::info;
use slog::warn;
use snipegate_gateway::Gateway;
use snipegate_gateway::GatewaySettings;
use snipegate_gateway::RetryRule;
use snipegate_gateway::exchange_gossip;
use snipegate_gateway::follow_config;
use snipegate_gateway::follow_upstreams;
use snipegate_gateway::maintain_budgets;
use snipegate_gateway::maintain_membership;
use snipegate_gateway::serve_addresses;
use snipegate_gateway::serve_callers;
use snipegate_gateway::serve_metrics;
use snipegate_gateway::serve_readiness;
use snipegate_service::MetricRegistry;
use snipegate_service::build_json_logger;
use snipegate_site::SiteSettings;
use snipegate_site::SiteStore;
use snipegate_site::SiteWireFormat;
use snipegate_site::read_settings;
use snipegate_types::SystemClock;
use snipegate_types::TimeSource;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use crate::command::EdgeCommand;
use crate::stop::serve_until_stopped;

/// Descriptors that are kept free for upstreams, the store and files.
const RESERVED_DESCRIPTORS: usize = 1200;

/// How long callers keep an address answer, where they may keep it that long.
const ADDRESS_LIFE: Duration = Duration::from_millis(2000);

fn main() -> ExitCode {
    let command = EdgeCommand::parse();
    let log = build_json_logger(command.log_level, "edge");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, run(&command, &log)),
        Err(failure) => Err(failure.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(log, "process failed"; "error" => %failure);
            ExitCode::FAILURE
        }
    }
}

async fn run(command: &EdgeCommand, log: &slog::Logger) -> Result<(), Box<dyn Error>> {
    let site = read_settings(&command.settings)?;
    let clock: Arc<dyn TimeSource> = Arc::new(SystemClock);
    let metrics = MetricRegistry::new("snipegate", None)?;
    // While it is bound, no other process of this VM runs.
    let gossip = UdpSocket::bind(site.gossip).await?;
    let gateway = Rc::new(Gateway::new(
        gateway_settings(&site),
        Rc::new(SiteWireFormat),
        Arc::clone(&clock),
        log.clone(),
        metrics,
    ));
    let store = Rc::new(SiteStore::new(site.store, clock));
    info!(log, "process started"; "vm" => %site.vm, "data_centre" => %site.data_centre,
        "front" => %site.client_listen, "store" => %site.store,
        "incarnation" => gateway.incarnation);
    start_servers(command, &site, &gateway).await?;
    start_followers(&gateway, &store);
    spawn_local(exchange_gossip(Rc::clone(&gateway), gossip));
    serve_until_stopped(&gateway, &store, &command.settings).await
}

async fn start_servers(
    command: &EdgeCommand,
    site: &SiteSettings,
    gateway: &Rc<Gateway>,
) -> Result<(), Box<dyn Error>> {
    let clients = TcpListener::bind(site.client_listen).await?;
    let directory = TcpListener::bind(site.directory).await?;
    let readiness = TcpListener::bind(site.readiness).await?;
    spawn_local(serve_callers(Rc::clone(gateway), clients));
    spawn_local(serve_addresses(Rc::clone(gateway), directory));
    spawn_local(serve_readiness(Rc::clone(gateway), readiness));
    if let Some(address) = command.metrics {
        match TcpListener::bind(address).await {
            Ok(listener) => {
                spawn_local(serve_metrics(Rc::clone(gateway), listener));
            }
            Err(failure) => warn!(gateway.log, "metrics not served"; "address" => %address,
                "error" => %failure),
        }
    }
    Ok(())
}

fn start_followers(gateway: &Rc<Gateway>, store: &Rc<SiteStore>) {
    spawn_local(follow_config(Rc::clone(gateway), Rc::clone(store)));
    spawn_local(follow_upstreams(Rc::clone(gateway), Rc::clone(store)));
    spawn_local(maintain_membership(Rc::clone(gateway), Rc::clone(store)));
    spawn_local(maintain_budgets(Rc::clone(gateway), Rc::clone(store)));
}

fn gateway_settings(site: &SiteSettings) -> GatewaySettings {
    GatewaySettings {
        vm: site.vm.clone(),
        data_centre: site.data_centre.clone(),
        front: site.client_listen,
        gossip: site.gossip,
        retry: RetryRule {
            ratio: site.retry_ratio,
            slack: site.min_retries,
            window: site.retry_window,
        },
        address_ttl: site.address_ttl.min(ADDRESS_LIFE),
        grace: site.grace,
        caller_connections: site
            .max_descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(64),
        memory: site.memory,
    }
}
