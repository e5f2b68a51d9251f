//! `snipegate-keeper`: writes the budget ledger and watches the platform.
//!
//! The main thread is the control thread: it owns the shard keepers and the
//! fleet service. The server's threads pass messages to it.

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
use crate::ledger_control::follow_fleet;
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

    let own = choose_incarnation(&*store, &process.vm, ProcessRole::Keeper, &SystemClock).await;
    let member = MemberRecord::starting(process, own.clone());
    let seeds = settings.seeds.clone();
    let fleet = FleetServiceSettings { member, seeds };
    let clock = Rc::new(SystemClock);
    let (service, fleet) = FleetService::new(fleet, Rc::clone(&store), vms, clock, context.clone());
    spawn(service.run());

    let (sender, receiver) = mpsc::unbounded_channel();
    let control = ControlHandle::new(sender.clone());
    let keeper = settings.keeper.clone();
    let handle = fleet.clone();
    let ledger = LedgerControl::new(own, keeper, context.clone(), store, handle, sender);
    spawn(ledger.run(receiver));
    spawn(follow_fleet(fleet.clone(), control.clone()));

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

/// Hands the shards over, then waits until commits in flight have ended.
async fn stop_gracefully(
    settings: &DaemonSettings,
    context: &DaemonContext,
    fleet: &FleetHandle,
    control: &ControlHandle,
) {
    context.set_state(ProcessState::Leaving);
    fleet.announce_leaving();
    let handed_over = ask_control(control, ControlMessage::Leave);
    // Without another keeper the shards stay until the end.
    let _ = timeout(settings.leave_within, handed_over).await;
    context.set_state(ProcessState::Stopping);
    let stopped = ask_control(control, ControlMessage::Stop);
    if timeout(settings.stop_within, stopped).await.is_err() {
        error!(context.logger, "commits in flight did not end in time");
    }
}

/// Sends an order and waits until no shard is kept any more.
async fn ask_control(
    control: &ControlHandle,
    order: impl FnOnce(oneshot::Sender<()>) -> ControlMessage,
) {
    let (sender, idle) = oneshot::channel();
    control.send(order(sender));
    let _ = idle.await;
}
