//! Signal handling: graceful shutdown and validation of a changed settings file.

use std::error::Error;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use slog::info;
use slog::warn;
use snipegate_gateway::Gateway;
use snipegate_gateway::close_budgets;
use snipegate_gateway::leave_membership;
use snipegate_site::SiteStore;
use snipegate_site::read_settings;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::sleep;
use tokio::time::timeout;

/// How long the answers of requests that are given up may take to be written.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which the number of open requests is checked.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Timeout for writing the leaving VM record, and again for returning budgets.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves until SIGTERM, which shuts down gracefully, or SIGINT, which returns at once.
/// SIGHUP validates the settings file.
pub async fn serve_until_shutdown(
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
            _ = hangup.recv() => validate_settings(gateway, settings),
        }
    }
    shut_down(gateway, store, &mut interrupt).await;
    Ok(())
}

/// Reads the settings file again and logs whether it is valid. Changes are not applied
/// while the process runs.
fn validate_settings(gateway: &Gateway, settings: &Path) {
    match read_settings(settings) {
        Ok(_) => info!(gateway.log, "settings read again"),
        Err(error) => warn!(gateway.log, "failed to read settings again"; "error" => %error),
    }
}

/// Announces that this VM leaves, drains open requests and returns unused budget.
/// SIGINT during the leave wait or the drain ends the shutdown early.
async fn shut_down(gateway: &Rc<Gateway>, store: &SiteStore, interrupt: &mut Signal) {
    let plan = gateway.begin_stop();
    info!(gateway.log, "stopping"; "active" => gateway.active.get());
    let announced = timeout(STORE_TIMEOUT, leave_membership(gateway, store)).await;
    if announced.is_err() {
        info!(gateway.log, "timed out while writing leaving vm record");
    }
    tokio::select! {
        () = sleep(plan.closing_at.saturating_duration_since(gateway.now())) => {}
        _ = interrupt.recv() => return,
    }
    gateway.begin_closing();
    info!(gateway.log, "connections closed"; "active" => gateway.active.get());
    let is_idle = || gateway.active.get() == 0;
    tokio::select! {
        () = wait_until(gateway, plan.drained_at, is_idle) => {}
        _ = interrupt.recv() => return,
    }
    gateway.end_drain();
    wait_until(gateway, plan.drained_at + LAST_ANSWERS_TIMEOUT, is_idle).await;
    if timeout(STORE_TIMEOUT, close_budgets(gateway, store))
        .await
        .is_err()
    {
        info!(gateway.log, "timed out while returning budgets");
    }
    info!(gateway.log, "stopped"; "active" => gateway.active.get());
}

/// Waits until `is_done` returns true, but not past `deadline`.
async fn wait_until(gateway: &Gateway, deadline: Instant, is_done: impl Fn() -> bool) {
    while !is_done() && gateway.now() < deadline {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}
