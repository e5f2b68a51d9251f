//! Limits retries to a store that does not answer.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::local_response::jitter;

/// Shortest pause before a failed call is retried.
const MIN_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause before a failed call is retried, without the part that each VM adds.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// Addition to `MAX_PAUSE` for each VM. In a large fleet some VM detects early that the
/// store is back, and notifies the others.
const PAUSE_PER_VM: Duration = Duration::from_millis(8);

/// Longest pause of a VM that other VMs tell when the store is back.
const MAX_TOLD_PAUSE: Duration = Duration::from_secs(2);

/// Next pause as a fraction of the time for which calls have been failing.
const PAUSE_FRACTION: f64 = 0.5;

/// Longest wait for the retrying task, whose call may take as long as a watch.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Which VMs retry while the store does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRole {
    /// Each VM finds out by itself that the store is back, and all retry alike.
    Each,
    /// This VM is one of the few that find out for the others.
    Prober,
    /// Other VMs tell this one. It retries seldom, in case that only it was cut off.
    Told,
}

/// Returns the longest pause before a failed call is retried, in a fleet of `vms` VMs.
pub fn longest_pause(vms: usize, role: RetryRole) -> Duration {
    match role {
        RetryRole::Each => MAX_PAUSE + PAUSE_PER_VM * vms as u32,
        RetryRole::Prober => MAX_PAUSE,
        RetryRole::Told => MAX_TOLD_PAUSE,
    }
}

/// Lets one task retry while the store does not answer. The others wait until it answers,
/// but no longer than `MAX_WAIT`.
#[derive(Debug, Default)]
pub struct StoreGate {
    is_retrying: Cell<bool>,
    answered: Notify,
    hinted: Notify,
}

impl StoreGate {
    /// Waits until the caller should retry its call, in a fleet in which all VMs retry.
    ///
    /// `failing` is the time for which calls have been failing, `vms` the number of VMs.
    pub async fn wait(&self, failing: Duration, vms: usize) {
        self.wait_as(failing, longest_pause(vms, RetryRole::Each))
            .await;
    }

    /// Waits until the caller should retry its call, at most about `longest` or `MAX_WAIT`.
    ///
    /// `failing` is the time for which calls have been failing.
    pub async fn wait_as(&self, failing: Duration, longest: Duration) {
        if self.is_retrying.replace(true) {
            let _ = timeout(MAX_WAIT.max(longest), self.answered.notified()).await;
            return;
        }
        let _guard = RetryGuard(&self.is_retrying);
        let pause = jitter(failing.mul_f64(PAUSE_FRACTION).clamp(MIN_PAUSE, longest));
        // Hints arrive constantly if the store answers only some VMs, so they cannot
        // shorten this pause.
        sleep(MIN_PAUSE).await;
        let _ = timeout(pause.saturating_sub(MIN_PAUSE), self.hinted.notified()).await;
    }

    /// Lets the retrying task proceed early because another VM has found the store to
    /// answer again.
    pub fn hint(&self) {
        self.hinted.notify_waiters();
    }

    /// Lets all waiting tasks proceed.
    pub fn open(&self) {
        self.answered.notify_waiters();
    }
}

/// Lets another task become the retrying one once this one's pause has ended or was
/// cancelled.
struct RetryGuard<'a>(&'a Cell<bool>);

impl Drop for RetryGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
