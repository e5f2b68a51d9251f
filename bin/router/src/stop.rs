//! The planned stop of a router: it cuts off nothing.

use std::time::Duration;

use ntex::time::sleep;
use slog::info;
use snipegate_fleet::FleetView;
use snipegate_fleet::LeavePhase;
use snipegate_fleet::LeavePlan;
use snipegate_fleet::ViewSubscription;
use snipegate_service::DaemonContext;
use snipegate_service::ProcessState;
use snipegate_types::TimeSource;

use crate::command::ControlCommand;
use crate::command::ControlHandle;

/// How often the stop looks how far it has come.
const STOP_PERIOD: Duration = Duration::from_millis(50);

/// How long addresses are kept where the configuration is not known.
const DEFAULT_KEEP: Duration = Duration::from_secs(30);

/// Leaves the fleet step by step; returns when nothing is open and the release
/// of what is held has been asked for.
///
/// `announced` tells whether the store has taken the announcement.
pub async fn leave_fleet(
    context: &DaemonContext,
    control: &ControlHandle,
    subscription: &ViewSubscription,
    clock: &dyn TimeSource,
    announced: impl Fn() -> bool,
) {
    context.set_state(ProcessState::Leaving);
    subscription.announce_leaving();
    let mut plan = LeavePlan::new(keep_time(&subscription.view()));
    let mut phase = None;
    loop {
        if announced() || subscription.is_leaving_acknowledged() {
            plan.announced(clock.now());
        }
        let open = control.ask(ControlCommand::CountOpen).await.unwrap_or(0);
        let next = plan.phase(open, clock.now());
        if phase != Some(next) {
            info!(context.logger, "leaving"; "phase" => next.to_string(), "open" => open);
            phase = Some(next);
        }
        match next {
            LeavePhase::Announce | LeavePhase::Serve => {}
            LeavePhase::Drain => context.set_state(ProcessState::Stopping),
            LeavePhase::Release | LeavePhase::End => break,
        }
        sleep(STOP_PERIOD).await;
    }
    context.set_state(ProcessState::Stopping);
    control.send(ControlCommand::Stop);
}

fn keep_time(view: &FleetView) -> Duration {
    view.settings()
        .map_or(DEFAULT_KEEP, |settings| settings.address_cache_time())
}
