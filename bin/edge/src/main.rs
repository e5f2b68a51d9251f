//! The only snipegate process on a VM of the users' platform. It proxies callers'
//! requests, serves the addresses that callers should use, and follows the
//! platform's configuration store.

mod command;
mod shutdown;

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
use snipegate_gateway::maintain_quarantine;
use snipegate_gateway::monitor_load;
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

use crate::command::EdgeArguments;
use crate::shutdown::serve_until_shutdown;

/// File descriptors reserved for upstream and store connections and for files.
const RESERVED_DESCRIPTORS: usize = 1200;

/// Maximum time that callers may cache an address response. The settings can lower it.
const MAX_ADDRESS_TTL: Duration = Duration::from_millis(2000);

fn main() -> ExitCode {
    let arguments = EdgeArguments::parse();
    let log = build_json_logger(arguments.log_level, "edge");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, run(&arguments, &log)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "process failed"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &EdgeArguments, log: &slog::Logger) -> Result<(), Box<dyn Error>> {
    let site = read_settings(&arguments.settings)?;
    let clock: Arc<dyn TimeSource> = Arc::new(SystemClock);
    let metrics = MetricRegistry::new("snipegate", None)?;
    // Fails if another process of this VM holds the address, so only one can run.
    let gossip_socket = UdpSocket::bind(site.gossip).await?;
    let gateway = Rc::new(Gateway::new(
        build_gateway_settings(&site, arguments.max_copy_age),
        Rc::new(SiteWireFormat),
        Arc::clone(&clock),
        log.clone(),
        metrics,
    ));
    let store = Rc::new(SiteStore::new(site.store, clock));
    info!(log, "process started"; "vm" => %site.vm, "data_centre" => %site.data_centre,
        "front" => %site.caller_listen, "store" => %site.store,
        "incarnation" => gateway.incarnation);
    start_servers(arguments, &site, &gateway).await?;
    start_store_tasks(&gateway, &store);
    spawn_local(exchange_gossip(Rc::clone(&gateway), gossip_socket));
    spawn_local(monitor_load(Rc::clone(&gateway)));
    serve_until_shutdown(&gateway, &store, &arguments.settings).await
}

async fn start_servers(
    arguments: &EdgeArguments,
    site: &SiteSettings,
    gateway: &Rc<Gateway>,
) -> Result<(), Box<dyn Error>> {
    let caller_listener = TcpListener::bind(site.caller_listen).await?;
    let address_listener = TcpListener::bind(site.directory).await?;
    let readiness_listener = TcpListener::bind(site.readiness).await?;
    spawn_local(serve_callers(Rc::clone(gateway), caller_listener));
    spawn_local(serve_addresses(Rc::clone(gateway), address_listener));
    spawn_local(serve_readiness(Rc::clone(gateway), readiness_listener));
    if let Some(address) = arguments.metrics {
        match TcpListener::bind(address).await {
            Ok(listener) => {
                spawn_local(serve_metrics(Rc::clone(gateway), listener));
            }
            Err(error) => {
                warn!(gateway.log, "failed to bind metrics listener"; "address" => %address,
                    "error" => %error);
            }
        }
    }
    Ok(())
}

fn start_store_tasks(gateway: &Rc<Gateway>, store: &Rc<SiteStore>) {
    spawn_local(follow_config(Rc::clone(gateway), Rc::clone(store)));
    spawn_local(follow_upstreams(Rc::clone(gateway), Rc::clone(store)));
    spawn_local(maintain_membership(Rc::clone(gateway), Rc::clone(store)));
    spawn_local(maintain_budgets(Rc::clone(gateway), Rc::clone(store)));
    spawn_local(maintain_quarantine(Rc::clone(gateway), Rc::clone(store)));
}

fn build_gateway_settings(site: &SiteSettings, max_copy_age: Duration) -> GatewaySettings {
    GatewaySettings {
        vm: site.vm.clone(),
        data_centre: site.data_centre.clone(),
        front: site.caller_listen,
        gossip: site.gossip,
        retry: RetryRule {
            ratio: site.retry_ratio,
            slack: site.min_retries,
            window: site.retry_window,
        },
        address_ttl: site.address_ttl.min(MAX_ADDRESS_TTL),
        grace: site.grace,
        caller_connections: site
            .capacity
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(64),
        memory: site.capacity.memory,
        contact_timeout: site.contact_timeout,
        capacity: site.capacity,
        cold_tolerance: site.cold_tolerance,
        regions: site.regions.clone(),
        max_copy_age,
    }
}
