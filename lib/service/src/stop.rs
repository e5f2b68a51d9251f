//! Signals that stop a daemon.

use std::io;

use strum::Display;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The way in which a daemon is asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum StopSignal {
    /// Finish open requests, then exit.
    Graceful,
    /// Exit immediately.
    Immediate,
}

/// Waits for a signal to stop: SIGTERM for a graceful stop, SIGINT for an immediate
/// one.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be registered.
pub async fn wait_for_stop_signal() -> io::Result<StopSignal> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok(StopSignal::Graceful),
        _ = interrupt.recv() => Ok(StopSignal::Immediate),
    }
}
