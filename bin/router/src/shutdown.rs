//! Graceful shutdown of a router, which interrupts no open request.

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

/// Interval between checks of the shutdown's progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// How long addresses are kept if the configuration is not available.
const DEFAULT_ADDRESS_KEEP: Duration = Duration::from_secs(30);

/// Leaves the fleet in phases. Returns once no request is open and the release of held
/// tokens has been requested.
///
/// `is_announced` returns whether the store has accepted the announcement.
pub async fn leave_gracefully(
    context: &DaemonContext,
    control: &ControlHandle,
    subscription: &ViewSubscription,
    clock: &dyn TimeSource,
    is_announced: impl Fn() -> bool,
) {
    context.set_state(ProcessState::Leaving);
    subscription.announce_leaving();
    let mut plan = LeavePlan::new(address_keep_time(&subscription.view()));
    let mut phase = None;
    loop {
        if is_announced() || subscription.is_leaving_acknowledged() {
            plan.announced(clock.now());
        }
        let open = control
            .request(ControlCommand::CountOpen)
            .await
            .unwrap_or(0);
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
        sleep(PROGRESS_INTERVAL).await;
    }
    context.set_state(ProcessState::Stopping);
    control.send(ControlCommand::Stop);
}

fn address_keep_time(view: &FleetView) -> Duration {
    view.settings().map_or(DEFAULT_ADDRESS_KEEP, |settings| {
        settings.address_cache_time()
    })
}
