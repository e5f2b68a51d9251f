//! What other VMs know that this one does not know yet.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

/// How long a watch may take to bring a change that another VM knows.
const HINT_PATIENCE: Duration = Duration::from_millis(400);

/// The newest change that another VM knows, as its version or revision.
#[derive(Debug, Default)]
pub struct ChangeHint {
    newest: Cell<u64>,
    changed: Notify,
}

impl ChangeHint {
    /// Takes what another VM knows, where this one knows only `known`.
    pub fn note(&self, newest: u64, known: u64) {
        if newest > known {
            self.newest.set(self.newest.get().max(newest));
            self.changed.notify_one();
        }
    }

    /// Returns once another VM has known more than this one for some time.
    pub async fn missed(&self, known: impl Fn() -> u64) {
        loop {
            self.changed.notified().await;
            sleep(HINT_PATIENCE).await;
            if self.newest.get() > known() {
                return;
            }
        }
    }
}
