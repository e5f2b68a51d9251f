//! `snipegate-keeper`: writes the budget ledger and watches the platform.
//!
//! The main thread is the control thread, which owns the shard keepers and the
//! fleet service. The worker threads of the HTTP server send messages to it.

mod control_handle;
mod ledger_control;
mod ledger_route;
mod notice;
mod routers;
mod settings;

use std::io;
use std::net::TcpListener;
use std::rc::Rc;

use ntex::rt::spawn;
use ntex::time::timeout;
use slog::error;
use snipegate_fleet::FleetHandle;
use snipegate_fleet::FleetService;
use snipegate_fleet::FleetServiceSettings;
use snipegate_fleet::MemberRecord;
use snipegate_fleet::choose_incarnation;
use snipegate_platform::HttpStore;
use snipegate_platform::HttpVmList;
use snipegate_service::DaemonContext;
use snipegate_service::GuardPort;
use snipegate_service::MetricRegistry;
use snipegate_service::ProcessState;
use snipegate_service::StopSignal;
use snipegate_service::build_logger;
use snipegate_service::start_server;
use snipegate_service::wait_for_stop_signal;
use snipegate_types::ProcessRole;
use snipegate_types::SystemClock;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::control_handle::ControlHandle;
use crate::control_handle::ControlMessage;
use crate::ledger_control::LedgerControl;
use crate::ledger_control::forward_views;
use crate::ledger_route::ledger_routes;
use crate::settings::DaemonSettings;

#[ntex::main]
async fn main() -> io::Result<()> {
    let matches = settings::command().get_matches();
    let settings = DaemonSettings::from_matches(&matches);
    let process = &settings.process;
    let _guard = GuardPort::bind(process.guard)?;
    let listener = TcpListener::bind(process.listen)?;
    let logger = build_logger(process.log_format, process.log_level, "keeper");
    let metrics = MetricRegistry::new("keeper", process.metrics)?;
    let context = DaemonContext::new(logger, metrics);
    let store = HttpStore::new(settings.platform.clone()).await;
    let store = Rc::new(store.map_err(io::Error::other)?);
    let vms = HttpVmList::new(settings.platform.clone()).await;
    let vms = Rc::new(vms.map_err(io::Error::other)?);

    let own_id = choose_incarnation(&*store, &process.vm, ProcessRole::Keeper, &SystemClock).await;
    let member = MemberRecord::starting(process, own_id.clone());
    let seeds = settings.seeds.clone();
    let fleet = FleetServiceSettings { member, seeds };
    let clock = Rc::new(SystemClock);
    let (service, fleet) = FleetService::new(fleet, Rc::clone(&store), vms, clock, context.clone());
    spawn(service.run());

    let (sender, receiver) = mpsc::unbounded_channel();
    let control = ControlHandle::new(sender.clone());
    let keeper = settings.keeper.clone();
    let handle = fleet.clone();
    let ledger = LedgerControl::new(own_id, keeper, context.clone(), store, handle, sender);
    spawn(ledger.run(receiver));
    spawn(forward_views(fleet.clone(), control.clone()));

    let routes_control = control.clone();
    let routes_fleet = fleet.clone();
    let server = start_server(listener, process.workers, context.clone(), move |config| {
        ledger_routes(config, routes_control.clone());
        routes_fleet.routes(config);
    })?;
    context.set_state(ProcessState::Ready);
    if wait_for_stop_signal().await? == StopSignal::Graceful {
        stop_gracefully(&settings, &context, &fleet, &control).await;
    }
    server.stop(true).await;
    Ok(())
}

/// Hands the shards over to other keepers, then waits for commits in flight.
async fn stop_gracefully(
    settings: &DaemonSettings,
    context: &DaemonContext,
    fleet: &FleetHandle,
    control: &ControlHandle,
) {
    context.set_state(ProcessState::Leaving);
    fleet.announce_leaving();
    let handed_over = request_and_wait_idle(control, ControlMessage::Leave);
    // If no other keeper is up, this process keeps the shards until it stops.
    let _ = timeout(settings.leave_within, handed_over).await;
    context.set_state(ProcessState::Stopping);
    let stopped = request_and_wait_idle(control, ControlMessage::Stop);
    if timeout(settings.stop_within, stopped).await.is_err() {
        error!(context.logger, "timed out waiting for commits in flight");
    }
}

/// Sends a stop or leave message and waits until no shard is kept here any more.
async fn request_and_wait_idle(
    control: &ControlHandle,
    message: impl FnOnce(oneshot::Sender<()>) -> ControlMessage,
) {
    let (sender, idle) = oneshot::channel();
    control.send(message(sender));
    let _ = idle.await;
}
