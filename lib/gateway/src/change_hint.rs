//! Hints from other VMs that this one is behind on changes in the store.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

/// Highest version or revision announced by another VM.
#[derive(Debug, Default)]
pub struct ChangeHint<T: Copy> {
    highest: Cell<T>,
    changed: Notify,
}

impl<T: Copy + Ord> ChangeHint<T> {
    /// Records the version `highest` announced by another VM if it is higher than `known`,
    /// the one of this VM.
    pub fn record(&self, highest: T, known: T) {
        if highest > known {
            self.highest.set(self.highest.get().max(highest));
            self.changed.notify_one();
        }
    }

    /// Waits until another VM has been ahead of this one for `allowance`.
    pub async fn wait_until_behind(&self, allowance: Duration, known: impl Fn() -> T) {
        loop {
            self.changed.notified().await;
            sleep(allowance).await;
            if self.highest.get() > known() {
                return;
            }
        }
    }
}
