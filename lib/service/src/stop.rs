//! Signals that ask a daemon to stop.

use std::io;

use strum::Display;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// How a daemon is asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum StopSignal {
    /// Finish what is open, then end.
    Graceful,
    /// End now.
    Immediate,
}

/// Waits until the process is asked to stop: SIGTERM gracefully, SIGINT at once.
///
/// # Errors
///
/// Fails if the signals can't be waited for.
pub async fn wait_for_stop_signal() -> io::Result<StopSignal> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok(StopSignal::Graceful),
        _ = interrupt.recv() => Ok(StopSignal::Immediate),
    }
}
