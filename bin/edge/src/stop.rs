//! Graceful stop and changes of the settings file.

use std::error::Error;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use slog::info;
use slog::warn;
use snipegate_gateway::Gateway;
use snipegate_gateway::VmStage;
use snipegate_gateway::close_budgets;
use snipegate_gateway::leave_membership;
use snipegate_site::SiteStore;
use snipegate_site::read_settings;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::sleep;
use tokio::time::timeout;

/// How long a stopping process goes on taking requests, so that callers learn to
/// use other addresses.
const LEAVING: Duration = Duration::from_millis(2600);

/// Part of the grace in which requests may go on.
const WORK_PART: f64 = 0.9;

/// Pause between two looks at the requests that are left.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

/// Longest time that the last calls to the store may take.
const CLOSE_WAIT: Duration = Duration::from_millis(500);

/// Serves until SIGTERM or SIGINT, then finishes what is open.
pub async fn serve_until_stopped(
    gateway: &Rc<Gateway>,
    store: &SiteStore,
    settings: &Path,
) -> Result<(), Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => note_reload(gateway, settings),
        }
    }
    finish(gateway, store, &mut interrupt).await;
    Ok(())
}

/// Reads the settings again; nothing in them can change while a process runs.
fn note_reload(gateway: &Gateway, settings: &Path) {
    match read_settings(settings) {
        Ok(_) => info!(gateway.log, "settings read again"),
        Err(error) => warn!(gateway.log, "settings not read again"; "error" => %error),
    }
}

async fn finish(gateway: &Rc<Gateway>, store: &SiteStore, interrupt: &mut Signal) {
    let began = gateway.now();
    let work_until = began + gateway.settings.grace.mul_f64(WORK_PART);
    gateway.set_stage(VmStage::Leaving);
    info!(gateway.log, "stopping"; "active" => gateway.active.get());
    let told = timeout(CLOSE_WAIT, leave_membership(gateway, store)).await;
    if told.is_err() {
        info!(gateway.log, "leaving not told in time");
    }
    tokio::select! {
        () = sleep(LEAVING) => {}
        _ = interrupt.recv() => return,
    }
    // A request that came later might not end within the grace.
    gateway.begin_closing();
    info!(gateway.log, "connections closed"; "active" => gateway.active.get());
    let is_idle = || gateway.active.get() == 0;
    tokio::select! {
        () = wait_until(gateway, work_until, is_idle) => {}
        _ = interrupt.recv() => return,
    }
    if timeout(CLOSE_WAIT, close_budgets(gateway, store))
        .await
        .is_err()
    {
        info!(gateway.log, "budgets not given back in time");
    }
    info!(gateway.log, "stopped"; "active" => gateway.active.get());
}

/// Waits until `is_done`, but no longer than until `end`.
async fn wait_until(gateway: &Gateway, end: Instant, is_done: impl Fn() -> bool) {
    while !is_done() && gateway.now() < end {
        sleep(LOOK_INTERVAL).await;
    }
}
