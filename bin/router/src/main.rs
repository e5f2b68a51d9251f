//! The `snipegate-router` daemon, which forwards callers' requests to upstreams.
//!
//! The main thread runs the control loop; the HTTP worker threads handle traffic.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use ntex::rt::spawn;
use ntex::time::sleep;
use slog::warn;
use snipegate_escrow::EscrowSettings;
use snipegate_escrow::RouterEscrow;
use snipegate_fleet::FleetView;
use snipegate_fleet::FollowerSettings;
use snipegate_fleet::MemberRecord;
use snipegate_fleet::ViewFollower;
use snipegate_fleet::ViewSubscription;
use snipegate_fleet::choose_incarnation;
use snipegate_platform::HttpStore;
use snipegate_platform::PlatformSettings;
use snipegate_router::caller_endpoints::RouterShared;
use snipegate_router::caller_endpoints::caller_routes;
use snipegate_router::command::ControlCommand;
use snipegate_router::command::ControlHandle;
use snipegate_router::control::RouterControl;
use snipegate_router::driver::ControlDriver;
use snipegate_router::driver::ControlEnd;
use snipegate_router::membership::MembershipHandle;
use snipegate_router::peer_endpoints::PeerState;
use snipegate_router::peer_endpoints::peer_routes;
use snipegate_router::poller::LoadPoller;
use snipegate_router::request_ids::RequestIdGenerator;
use snipegate_router::settings::RouterSettings;
use snipegate_router::settings::command;
use snipegate_router::shutdown::leave_gracefully;
use snipegate_routing::RoutePolicy;
use snipegate_routing::RouteTable;
use snipegate_service::DaemonContext;
use snipegate_service::GuardPort;
use snipegate_service::MetricRegistry;
use snipegate_service::ProcessState;
use snipegate_service::StopSignal;
use snipegate_service::build_logger;
use snipegate_service::start_server;
use snipegate_service::wait_for_stop_signal;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;
use snipegate_types::SystemClock;
use snipegate_types::TimeSource;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

#[ntex::main]
async fn main() -> io::Result<()> {
    let settings = RouterSettings::from_matches(&command().get_matches());
    let process = &settings.process;
    let _guard_port = GuardPort::bind(process.guard)?;
    let listener = TcpListener::bind(process.listen)?;
    let peer_listener = TcpListener::bind(settings.peer_listen)?;
    let logger = build_logger(process.log_format, process.log_level, "router");
    let metrics = MetricRegistry::new("router", process.metrics)?;
    let context = DaemonContext::new(logger, metrics);
    let clock: Arc<dyn TimeSource> = Arc::new(SystemClock);
    let store = HttpStore::new(platform_settings(&settings)).await;
    let store = Rc::new(store.map_err(io::Error::other)?);
    let role = ProcessRole::Router;
    let incarnation = choose_incarnation(&*store, &process.vm, role, &*clock).await;

    let member = MemberRecord {
        peer_address: Some(settings.peer_listen),
        ..MemberRecord::starting(process, incarnation.clone())
    };
    let membership = MembershipHandle::start(Rc::clone(&store), member, context.clone());
    let (follower, subscription) = ViewFollower::new(
        FollowerSettings {
            process: incarnation.clone(),
            data_centre: process.data_centre.clone(),
            keeper: settings.keeper,
            seeds: settings.seeds.clone(),
        },
        Rc::new(SystemClock),
    );
    spawn(follower.run());

    let (sender, commands) = mpsc::unbounded_channel();
    let control = ControlHandle::new(sender.clone());
    let (view_sender, views) = watch::channel(Arc::new(FleetView::default()));
    let router_control = build_control(&settings, &incarnation, &context, &clock);
    let driver = ControlDriver::new(
        router_control,
        incarnation.clone(),
        Arc::clone(&clock),
        context.clone(),
        sender,
        view_sender,
    );
    let (end_sender, end_receiver) = oneshot::channel();
    spawn(async move {
        let _ = end_sender.send(driver.run(commands).await);
    });
    spawn(forward_views(
        subscription.clone(),
        control.clone(),
        context.clone(),
    ));
    spawn(LoadPoller::new(control.clone(), views.clone()).run());

    let shared = RouterShared {
        context: context.clone(),
        control: control.clone(),
        views,
        request_ids: Arc::new(RequestIdGenerator::new(incarnation.clone())),
        clock: Arc::clone(&clock),
        max_body: settings.max_body,
        body_wait: settings.body_wait,
    };
    let peers = PeerState {
        incarnation,
        control: control.clone(),
    };
    let peer_server = start_server(peer_listener, 1, context.clone(), move |config| {
        peer_routes(config, &peers);
    })?;
    let server = start_server(listener, process.workers, context.clone(), move |config| {
        caller_routes(config, &shared);
    })?;

    let stop = async {
        if wait_for_stop_signal().await? == StopSignal::Immediate {
            return Ok(());
        }
        membership.leave();
        let is_announced = || membership.is_announced();
        leave_gracefully(&context, &control, &subscription, &*clock, is_announced).await;
        sleep(settings.release_wait).await;
        warn!(
            context.logger,
            "timed out waiting for the ledger to take back held tokens"
        );
        Ok::<(), io::Error>(())
    };
    let outcome = tokio::select! {
        result = stop => result,
        end = end_receiver => match end {
            Ok(ControlEnd::Released) => Ok(()),
            Ok(ControlEnd::Closed) | Err(_) => {
                Err(io::Error::other("this incarnation was declared dead"))
            }
        },
    };
    server.stop(true).await;
    peer_server.stop(true).await;
    outcome
}

fn platform_settings(settings: &RouterSettings) -> PlatformSettings {
    PlatformSettings {
        address: settings.platform,
        call_timeout: settings.platform_timeout,
        vm: settings.process.vm.clone(),
        data_centre: settings.process.data_centre.clone(),
    }
}

fn build_control(
    settings: &RouterSettings,
    incarnation: &IncarnationId,
    context: &DaemonContext,
    clock: &Arc<dyn TimeSource>,
) -> RouterControl {
    let data_centre = settings.process.data_centre.clone();
    let escrow_settings = EscrowSettings::for_policy(settings.policy);
    let escrow = RouterEscrow::new(
        incarnation.clone(),
        data_centre.clone(),
        escrow_settings,
        clock.now(),
    );
    let policy = RoutePolicy {
        own_data_centre: Some(data_centre),
        ..RoutePolicy::default()
    };
    let table = RouteTable::new(policy, incarnation.start);
    RouterControl::new(
        incarnation.clone(),
        escrow,
        table,
        Arc::clone(clock),
        context.metrics.clone(),
    )
}

/// Sends each new fleet view to the control thread.
///
/// Also marks the process as ready once a view is recent enough to serve requests.
async fn forward_views(
    subscription: ViewSubscription,
    control: ControlHandle,
    context: DaemonContext,
) {
    let mut views = subscription.views();
    while views.changed().await.is_ok() {
        let view = subscription.view();
        let is_usable = view.freshness(SystemClock.now()).refusal().is_none();
        if is_usable && context.state() == ProcessState::Starting {
            context.set_state(ProcessState::Ready);
        }
        control.send(ControlCommand::ViewChanged(view));
    }
}
