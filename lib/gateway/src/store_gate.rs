//! Keeps tasks from asking a store that does not answer all at once.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::own_answer::spread;

/// Shortest pause before a call that failed is made again.
const MIN_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause before a call that failed is made again, in a fleet of one VM.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// What each VM adds to it. In a large fleet some VM finds out early that the store
/// is back, and tells the others.
const PAUSE_PER_VM: Duration = Duration::from_millis(8);

/// Part of the time for which calls have failed that the next pause takes.
const PAUSE_PART: f64 = 0.5;

/// Longest wait for the task that asks: its call may take as long as a watch.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// While the store does not answer, one task goes on asking it; the others wait
/// until it answers, but not for long.
#[derive(Debug, Default)]
pub struct StoreGate {
    is_asked: Cell<bool>,
    answered: Notify,
    hinted: Notify,
}

impl StoreGate {
    /// Returns when the caller should make its call again.
    ///
    /// `failing` tells for how long calls have failed, `vms` how many VMs there are.
    pub async fn wait(&self, failing: Duration, vms: usize) {
        if self.is_asked.replace(true) {
            let _ = timeout(MAX_WAIT, self.answered.notified()).await;
            return;
        }
        let _asking = AskingGuard(&self.is_asked);
        let longest = MAX_PAUSE + PAUSE_PER_VM * vms as u32;
        let pause = spread(failing.mul_f64(PAUSE_PART).clamp(MIN_PAUSE, longest));
        // Hints come all the time where the store serves only some VMs.
        sleep(MIN_PAUSE).await;
        let _ = timeout(pause.saturating_sub(MIN_PAUSE), self.hinted.notified()).await;
    }

    /// Lets the task that asks do so at once, for another VM has found the store
    /// back.
    pub fn hint(&self) {
        self.hinted.notify_waiters();
    }

    /// Lets all tasks ask again.
    pub fn open(&self) {
        self.answered.notify_waiters();
    }
}

/// Lets another task ask when this one is done, or is dropped.
struct AskingGuard<'a>(&'a Cell<bool>);

impl Drop for AskingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
