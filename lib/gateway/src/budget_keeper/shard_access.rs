//! Reads and writes a shard of the budget records.

use slog::info;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;

use super::ShardWorker;
use crate::budget_exchange::shard_of;
use crate::budget_shard::BudgetShard;
use crate::era_marker::mark_era;
use crate::gateway::Gateway;
use crate::gateway::stable_hash;
use crate::shard_writer::WriterLevel;
use crate::store_task::StoreCallKind;
use crate::store_task::StoreTask;

impl ShardWorker {
    /// Reads the shard.
    pub(super) async fn load<S: ConfigStore>(
        &mut self,
        gateway: &Gateway,
        store: &S,
    ) -> Result<(), StoreError> {
        let key = self.key(gateway);
        let call = store.list(&key, None);
        let listing = gateway
            .call_store(StoreTask::Budgets, StoreCallKind::List, call)
            .await?;
        self.set_max_copy_age(gateway, store);
        let era = listing.revision.era;
        gateway.observe_era(era, StoreTask::Budgets)?;
        let entry = listing.entries.into_iter().find(|(name, _)| *name == key);
        self.apply_stored(gateway, era, entry.map(|(_, stored)| stored))
    }

    /// Writes the shard if the stored one is that which this process has read.
    pub(super) async fn swap<S: ConfigStore>(
        &mut self,
        gateway: &Gateway,
        store: &S,
        mut shard: BudgetShard,
    ) -> Result<(), StoreError> {
        if self.revision.era == StoreEra::default() {
            shard.merge_ended();
        }
        let bytes = shard.encode().map_err(|error| {
            info!(gateway.log, "failed to encode budget records"; "error" => %error);
            StoreError::InvalidReply
        })?;
        let expected = match self.revision.number {
            0 => ExpectedVersion::Absent,
            _ => ExpectedVersion::At(self.revision),
        };
        let key = self.key(gateway);
        let conditions = mark_era(gateway, store, self.revision.era).await?;
        let call = store.swap_if(&key, expected, bytes, &conditions);
        let result = gateway
            .call_store(StoreTask::Budgets, self.write_kind, call)
            .await;
        self.last_write = Some(gateway.now());
        let outcome = match &result {
            Ok(SwapOutcome::Swapped(at)) if at.era != self.revision.era => "other_era",
            Ok(SwapOutcome::Swapped(_)) => "written",
            Ok(SwapOutcome::Conflict(_)) => "conflict",
            Err(error) if error.may_have_applied() => "unknown",
            Err(_) => "not_written",
        };
        gateway.metrics.count_tagged("budget.write", outcome);
        info!(gateway.log, "budgets written"; "shard" => self.number, "outcome" => outcome,
            "replaces" => %self.revision);
        match result? {
            SwapOutcome::Swapped(revision) => {
                self.check_era(gateway, revision.era)?;
                self.shard = shard;
                self.revision = revision;
                self.update_holdings(gateway);
                Ok(())
            }
            SwapOutcome::Conflict(Some(stored)) => {
                let era = stored.revision.era;
                gateway.era_marker.set(None);
                self.check_era(gateway, era)?;
                self.apply_stored(gateway, era, Some(stored))?;
                Err(StoreError::Unreachable)
            }
            SwapOutcome::Conflict(None) => {
                // The answer does not tell its era, nor which condition failed.
                self.is_loaded = false;
                gateway.era_marker.set(None);
                gateway.observe_era(store.latest_era().unwrap_or_default(), StoreTask::Budgets)?;
                Err(StoreError::Unreachable)
            }
        }
    }

    /// Replaces the local copy of the shard with the stored one.
    pub(super) fn apply_stored(
        &mut self,
        gateway: &Gateway,
        era: StoreEra,
        stored: Option<StoredValue>,
    ) -> Result<(), StoreError> {
        let (shard, revision) = match stored {
            None => (BudgetShard::default(), StoreRevision::in_era(era, 0)),
            Some(stored) => match BudgetShard::decode(&stored.value) {
                Ok(shard) => (shard, stored.revision),
                Err(error) => {
                    // If the records cannot be decoded, no further grants are made.
                    info!(gateway.log, "failed to decode budget records"; "shard" => self.number,
                        "revision" => %stored.revision, "error" => %error);
                    return Err(StoreError::InvalidReply);
                }
            },
        };
        if self.revision.era < era {
            self.leave_era(gateway);
        }
        self.shard = shard;
        self.revision = revision;
        self.is_loaded = true;
        self.move_holdings(gateway, era);
        self.update_holdings(gateway);
        Ok(())
    }

    /// Updates this VM's holdings from the records, unless the store has lost writes that
    /// the records would show.
    fn update_holdings(&mut self, gateway: &Gateway) {
        let era = self.revision.era;
        if self.is_ending || (self.shard.era != era && !self.shard.writers.is_empty()) {
            return;
        }
        let vm = stable_hash(gateway.settings.vm.as_str());
        let now = gateway.now();
        let own = self.shard.writer(vm);
        let own = own.filter(|writer| writer.is_running(gateway.incarnation));
        let announced = own.map_or(WriterLevel::None, |writer| writer.announced);
        self.registration.record(era, announced, now);
        self.unsettled_since = match self.shard.is_unsettled() {
            true => self.unsettled_since.or(Some(now)),
            false => None,
        };
        self.remember(gateway);
        self.note_restriction(gateway, own.map(|writer| writer.mature));
        // What the next write can grant.
        let mut view_of = self.shard.clone();
        self.register(gateway, &mut view_of, now);
        let mut holdings = gateway.holdings.borrow_mut();
        let own = holdings
            .iter_mut()
            .filter(|(workspace, _)| shard_of(workspace) == self.number);
        for (_, holding) in own {
            let workspace = holding.workspace();
            let incarnation = gateway.incarnation;
            let prepaid = holding.prepaid();
            let view = view_of.view(workspace, self.revision, vm, incarnation, prepaid);
            holding.set_view(view, now);
        }
        drop(holdings);
        gateway.grant_changed.notify_waiters();
    }

    fn key(&self, gateway: &Gateway) -> String {
        let prefix = gateway.wire_format.layout().budget_prefix;
        format!("{prefix}{}", self.number)
    }
}
