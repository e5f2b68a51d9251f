//! `snipegate-directory`: tells callers which router addresses to use.

mod address_route;
mod settings;

use std::io;
use std::net::TcpListener;
use std::rc::Rc;

use ntex::rt::spawn;
use slog::error;
use snipegate_fleet::FollowerSettings;
use snipegate_fleet::MemberRecord;
use snipegate_fleet::Registration;
use snipegate_fleet::ViewFollower;
use snipegate_fleet::ViewSubscription;
use snipegate_fleet::choose_incarnation;
use snipegate_fleet::register_member;
use snipegate_platform::HttpStore;
use snipegate_service::DaemonContext;
use snipegate_service::GuardPort;
use snipegate_service::MetricRegistry;
use snipegate_service::ProcessState;
use snipegate_service::build_logger;
use snipegate_service::start_server;
use snipegate_service::wait_for_stop_signal;
use snipegate_types::ProcessRole;
use snipegate_types::SystemClock;

use crate::address_route::address_routes;
use crate::settings::DaemonSettings;

#[ntex::main]
async fn main() -> io::Result<()> {
    let matches = settings::command().get_matches();
    let settings = DaemonSettings::from_matches(&matches);
    let process = &settings.process;
    let _guard = GuardPort::bind(process.guard)?;
    let listener = TcpListener::bind(process.listen)?;
    let logger = build_logger(process.log_format, process.log_level, "directory");
    let metrics = MetricRegistry::new("directory", process.metrics)?;
    let context = DaemonContext::new(logger, metrics);
    let store = HttpStore::new(settings.platform.clone())
        .await
        .map_err(io::Error::other)?;
    let role = ProcessRole::Directory;
    let own_id = choose_incarnation(&store, &process.vm, role, &SystemClock).await;

    let follower_settings = FollowerSettings {
        process: own_id.clone(),
        data_centre: process.data_centre.clone(),
        keeper: settings.keeper,
        seeds: settings.seeds.clone(),
    };
    let (follower, subscription) = ViewFollower::new(follower_settings, Rc::new(SystemClock));
    spawn(follower.members_only().run());
    spawn(set_ready_when_configured(
        context.clone(),
        subscription.clone(),
    ));
    spawn(register(
        context.clone(),
        store,
        MemberRecord::starting(process, own_id),
    ));

    let routes = subscription.clone();
    let server = start_server(listener, process.workers, context.clone(), move |config| {
        address_routes(config, routes.clone());
    })?;
    wait_for_stop_signal().await?;
    // Requests complete quickly and callers can use another directory, so there is
    // no leaving phase.
    context.set_state(ProcessState::Stopping);
    server.stop(true).await;
    Ok(())
}

/// Registers the directory in the store, which makes it visible to operators.
async fn register(context: DaemonContext, store: HttpStore, member: MemberRecord) {
    let mut registration = Registration::new(member);
    if let Err(by) = register_member(&store, &mut registration).await {
        error!(context.logger, "superseded"; "by" => by.to_string());
        context.set_state(ProcessState::Stopping);
    }
}

/// Marks the process as ready once the fleet settings are known.
async fn set_ready_when_configured(context: DaemonContext, subscription: ViewSubscription) {
    let mut views = subscription.views();
    let configured = views.wait_for(|view| view.settings().is_some()).await;
    if configured.is_ok() && context.state() == ProcessState::Starting {
        context.set_state(ProcessState::Ready);
    }
}
