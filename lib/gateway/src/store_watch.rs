//! Watches for changes in the configuration store.

use std::time::Duration;
use std::time::Instant;

use slog::info;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreChange;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::WatchBatch;
use strum::Display;
use strum::IntoStaticStr;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::short_watch::uses_short_watch;
use crate::store_task::ShortWatchers;
use crate::store_task::StoreCallKind;
use crate::store_task::StoreTask;

/// Longest wait of a short watch.
const SHORT_WATCH_WAIT: Duration = Duration::from_secs(1);

/// Age at which a VM that has become a short watcher abandons a long watch that it started
/// earlier. Together with the time until the other VMs hear of a change, it stays within
/// the 3 s after an outage in which a VM may be behind.
const LONG_WATCH_MAX_AGE: Duration = Duration::from_secs(2);

/// Interval between checks whether this VM has become a short watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Reason for which a watch ended without a failure and without a batch of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WatchEnd {
    /// The store has compacted the requested changes away.
    Compacted,
    /// Another VM knows a change that the watch has not delivered.
    PeerAhead,
    /// This VM has become a short watcher, and the watch is older than
    /// `LONG_WATCH_MAX_AGE`.
    Overdue,
    /// An outage ended, during which the store may have lost the watch.
    StoreRegained,
    /// The store came back from an older copy, so that its changes don't follow those known.
    EraChanged,
}

/// Result of waiting for changes.
pub enum WatchOutcome {
    /// Changes since the last wait, in order; may be empty.
    Changes(Vec<StoreChange>),
    /// The follower has to list the prefix again.
    Relist,
}

/// A follower's position in the changes under one prefix.
pub struct StoreWatch<'a, S> {
    gateway: &'a Gateway,
    store: &'a S,
    task: StoreTask,
    prefix: &'a str,
    after: StoreRevision,
}

impl<'a, S: ConfigStore> StoreWatch<'a, S> {
    /// Creates a watch that continues after a listing read at revision `after`.
    pub fn new(
        gateway: &'a Gateway,
        store: &'a S,
        task: StoreTask,
        prefix: &'a str,
        after: StoreRevision,
    ) -> Self {
        Self {
            gateway,
            store,
            task,
            prefix,
            after,
        }
    }

    /// Returns the revision up to which all changes have been returned.
    pub fn after(&self) -> StoreRevision {
        self.after
    }

    /// Waits for changes for up to `wait`, or until `peer_ahead` completes.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer the watch in time.
    pub async fn next_changes(
        &mut self,
        wait: Duration,
        peer_ahead: impl Future<Output = ()>,
    ) -> Result<WatchOutcome, StoreError> {
        let began = self.gateway.now();
        if self.gateway.known_era() != self.after.era {
            self.log_end(WatchEnd::EraChanged, began);
            return Ok(WatchOutcome::Relist);
        }
        let wait = match self.is_short_watcher() {
            true => SHORT_WATCH_WAIT.min(wait),
            false => wait,
        };
        let watch = self.store.watch(self.prefix, self.after, wait);
        let end = tokio::select! {
            batch = self.gateway.call_store(self.task, StoreCallKind::Watch, watch) => {
                match batch.inspect_err(|error| self.log_failure(error, began))? {
                    WatchBatch::Changes { revision, changes } => {
                        self.gateway.observe_era(revision.era, self.task)?;
                        if revision.era != self.after.era {
                            self.log_end(WatchEnd::EraChanged, began);
                            return Ok(WatchOutcome::Relist);
                        }
                        self.after = self.after.max(revision);
                        return Ok(WatchOutcome::Changes(changes));
                    }
                    WatchBatch::Compacted => WatchEnd::Compacted,
                }
            }
            () = peer_ahead => WatchEnd::PeerAhead,
            () = self.wait_until_overdue() => WatchEnd::Overdue,
            () = self.gateway.store_regained.notified() => WatchEnd::StoreRegained,
            () = self.gateway.era_changed.notified() => WatchEnd::EraChanged,
        };
        self.log_end(end, began);
        Ok(match end {
            WatchEnd::Compacted | WatchEnd::PeerAhead | WatchEnd::EraChanged => {
                WatchOutcome::Relist
            }
            WatchEnd::Overdue | WatchEnd::StoreRegained => WatchOutcome::Changes(Vec::new()),
        })
    }

    /// Waits until this VM is a short watcher and the watch is older than
    /// `LONG_WATCH_MAX_AGE`.
    async fn wait_until_overdue(&self) {
        sleep(LONG_WATCH_MAX_AGE).await;
        while !self.is_short_watcher() {
            sleep(ROLE_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether this VM is one of the short watchers of the task.
    fn is_short_watcher(&self) -> bool {
        let gateway = self.gateway;
        let peers = gateway.peers.borrow();
        let mut others = peers.reaching_store(gateway.now()).map(|record| &record.vm);
        match self.task.short_watchers() {
            ShortWatchers::None => false,
            ShortWatchers::IfAlone => others.next().is_none(),
            ShortWatchers::Two => uses_short_watch(&gateway.settings.vm, others, self.task),
        }
    }

    fn log_end(&self, end: WatchEnd, began: Instant) {
        let gateway = self.gateway;
        let reason: &'static str = end.into();
        gateway.metrics.count_tagged("store.watch_ended", reason);
        info!(gateway.log, "store watch ended"; "task" => %self.task, "reason" => %end,
            "waited_ms" => self.waited_ms(began), "after" => %self.after);
    }

    fn log_failure(&self, error: &StoreError, began: Instant) {
        let gateway = self.gateway;
        gateway.metrics.count_tagged("store.watch_ended", "failed");
        info!(gateway.log, "store watch failed"; "task" => %self.task, "error" => %error,
            "waited_ms" => self.waited_ms(began), "after" => %self.after);
    }

    fn waited_ms(&self, began: Instant) -> u64 {
        let now = self.gateway.now();
        now.saturating_duration_since(began).as_millis() as u64
    }
}
