//! Waits for changes in the configuration store.

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
use crate::store_task::StoreTask;
use crate::watch_duty::watches_briefly;

/// How long a brief watch waits for changes.
const BRIEF_WAIT: Duration = Duration::from_secs(1);

/// Age at which a VM that has come to watch briefly gives up a watch that it made
/// before. With the time until others have heard of a change, it stays within the 3 s
/// after an outage in which a VM may be behind.
const BRIEF_PATIENCE: Duration = Duration::from_secs(2);

/// Pause between two looks whether a VM has come to watch briefly.
const PATIENCE_LOOK: Duration = Duration::from_millis(250);

/// Why a watch ends that neither failed nor brought changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WatchEnd {
    /// The store no longer knows the changes asked for.
    Compacted,
    /// Another VM knows a change that the watch did not bring.
    PeerAhead,
    /// This VM has come to watch briefly.
    Overdue,
    /// An outage ended, in which the store may have forgotten the watch.
    StoreRegained,
}

/// What came of waiting for changes.
pub enum WatchOutcome {
    /// The changes since the last wait, in order; may be empty.
    Changes(Vec<StoreChange>),
    /// The follower has to list again.
    ListAgain,
}

/// A follower's place in the changes under one prefix.
pub struct StoreWatch<'a, S> {
    gateway: &'a Gateway,
    store: &'a S,
    task: StoreTask,
    prefix: &'a str,
    after: StoreRevision,
}

impl<'a, S: ConfigStore> StoreWatch<'a, S> {
    /// Begins after a listing that was read at revision `after`.
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

    /// Returns the revision up to which all changes were returned.
    pub fn after(&self) -> StoreRevision {
        self.after
    }

    /// Waits for changes for up to `wait`, or until `peer_ahead` returns.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer the watch in time.
    pub async fn changes(
        &mut self,
        wait: Duration,
        peer_ahead: impl Future<Output = ()>,
    ) -> Result<WatchOutcome, StoreError> {
        let began = self.gateway.now();
        let wait = match self.is_brief() {
            true => BRIEF_WAIT.min(wait),
            false => wait,
        };
        let watch = self.store.watch(self.prefix, self.after, wait);
        let end = tokio::select! {
            batch = self.gateway.ask_store(self.task, watch) => {
                match batch.inspect_err(|error| self.log_failure(error, began))? {
                    WatchBatch::Changes { revision, changes } => {
                        self.after = self.after.max(revision);
                        return Ok(WatchOutcome::Changes(changes));
                    }
                    WatchBatch::Compacted => WatchEnd::Compacted,
                }
            }
            () = peer_ahead => WatchEnd::PeerAhead,
            () = self.overdue() => WatchEnd::Overdue,
            () = self.gateway.store_regained.notified() => WatchEnd::StoreRegained,
        };
        self.log_end(end, began);
        Ok(match end {
            WatchEnd::Compacted | WatchEnd::PeerAhead => WatchOutcome::ListAgain,
            WatchEnd::Overdue | WatchEnd::StoreRegained => WatchOutcome::Changes(Vec::new()),
        })
    }

    /// Returns when a VM that has come to watch briefly should give up a longer watch.
    async fn overdue(&self) {
        sleep(BRIEF_PATIENCE).await;
        while !self.is_brief() {
            sleep(PATIENCE_LOOK).await;
        }
    }

    /// Tells whether this VM is one of those that watch briefly for the task.
    fn is_brief(&self) -> bool {
        if !self.task.is_told_to_peers() {
            return false;
        }
        let gateway = self.gateway;
        let peers = gateway.peers.borrow();
        let others = peers.reaching_store(gateway.now());
        watches_briefly(
            &gateway.settings.vm,
            others.map(|record| &record.vm),
            self.task,
        )
    }

    fn log_end(&self, end: WatchEnd, began: Instant) {
        let gateway = self.gateway;
        let reason: &'static str = end.into();
        gateway.metrics.count_reason("store.watch_ended", reason);
        info!(gateway.log, "store watch ended"; "task" => %self.task, "reason" => %end,
            "waited_ms" => self.waited_ms(began), "after" => self.after.0);
    }

    fn log_failure(&self, error: &StoreError, began: Instant) {
        let gateway = self.gateway;
        gateway.metrics.count_reason("store.watch_ended", "failed");
        info!(gateway.log, "store watch failed"; "task" => %self.task, "error" => %error,
            "waited_ms" => self.waited_ms(began), "after" => self.after.0);
    }

    fn waited_ms(&self, began: Instant) -> u64 {
        let now = self.gateway.now();
        now.saturating_duration_since(began).as_millis() as u64
    }
}
