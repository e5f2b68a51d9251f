//! Recovers grants when a process ends. On shutdown, unused tokens go to other VMs or
//! back to the store. After a kill, the VM's next process returns what the killed one
//! cannot have spent.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreError;
use tokio::time::sleep;
use tokio::time::timeout;

use super::RETRY_DELAY;
use super::ShardWorker;
use super::plan_time;
use crate::budget_exchange::SHARDS;
use crate::budget_exchange::remote_keeper;
use crate::budget_exchange::shard_of;
use crate::budget_exchange::workspace_name;
use crate::budget_record::GrantRequest;
use crate::gateway::Gateway;
use crate::gateway::stable_hash;
use crate::local_response::jitter;
use crate::promise_keeper::EarlierRun;
use crate::promise_keeper::collect_testimonies;
use crate::store_task::StoreCallKind;
use crate::store_task::StoreTask;
use crate::token_request::report_use;
use crate::transfer::TransferTarget;
use crate::transfer::send_tokens;

/// Maximum wait on shutdown for other VMs to acknowledge transfers.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between two checks for these acknowledgements.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of writes attempted to return a shard's grants.
const MAX_CLOSE_ATTEMPTS: u32 = 8;

/// Counts tokens that earlier processes of this VM may have spent as used, so that the
/// rest of their grants can be granted again. Retries until it succeeds.
pub async fn close_earlier_runs<S: ConfigStore>(gateway: Rc<Gateway>, store: Rc<S>) {
    while let Err(error) = try_close_earlier_runs(&gateway, &*store).await {
        info!(gateway.log, "failed to close grants of earlier processes, retrying"; "error" => %error);
        sleep(jitter(RETRY_DELAY)).await;
        if gateway.store_contact.get().is_failing() {
            gateway.wait_for_store().await;
        }
    }
}

async fn try_close_earlier_runs<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
) -> Result<(), StoreError> {
    let prefix = gateway.wire_format.layout().budget_prefix;
    let call = store.list(prefix, None);
    let listing = gateway
        .call_store(StoreTask::Budgets, StoreCallKind::StartList, call)
        .await?;
    let era = listing.revision.era;
    gateway.observe_era(era, StoreTask::Budgets)?;
    let mut workers = Vec::new();
    for (key, stored) in listing.entries {
        let number = key.strip_prefix(prefix).and_then(|text| text.parse().ok());
        let Some(number) = number else {
            info!(gateway.log, "ignoring unrecognized budget key"; "key" => key);
            continue;
        };
        let mut worker = ShardWorker::new(gateway, number);
        worker.set_max_copy_age(gateway, store);
        worker.apply_stored(gateway, era, Some(stored))?;
        workers.push(worker);
    }
    if !gateway.earlier_runs_known.get() {
        collect_testimonies(gateway, witnessed_runs(gateway, &workers)).await;
        gateway.earlier_runs_known.set(true);
        gateway.shard_notify.notify_waiters();
    }
    for mut worker in workers {
        worker.close_earlier_runs(gateway, store).await?;
    }
    Ok(())
}

/// Returns the earlier processes of this VM whose spending has a witness, each once.
fn witnessed_runs(gateway: &Gateway, workers: &[ShardWorker]) -> Vec<EarlierRun> {
    let vm = stable_hash(gateway.settings.vm.as_str());
    let shards = workers.iter().map(|worker| &worker.shard);
    let mut runs: Vec<EarlierRun> = Vec::new();
    for holder in shards.flat_map(|shard| shard.earlier_holders(vm, gateway.incarnation)) {
        let is_known = |run: &EarlierRun| {
            run.incarnation == holder.incarnation && Some(run.witness) == holder.witness()
        };
        if let Some(witness) = holder.witness()
            && !runs.iter().any(is_known)
        {
            runs.push(EarlierRun {
                incarnation: holder.incarnation,
                witness,
                testimony: None,
            });
        }
    }
    runs
}

/// Transfers unused tokens to other VMs when the process ends, and returns the rest to
/// the store.
pub async fn close_budgets<S: ConfigStore>(gateway: &Gateway, store: &S) {
    for number in 0..SHARDS {
        let mut worker = ShardWorker::new(gateway, number);
        if let Some(other) = remote_keeper(gateway, number, gateway.now()) {
            worker.send_free_tokens(gateway, other);
        }
        // Tokens that the pace does not release yet, or all tokens if no other VM is
        // reachable.
        worker.return_grants(gateway, store).await;
    }
    let all_arrived = async {
        // The notices of the ends are sent meanwhile.
        sleep(HANDOVER_POLL_INTERVAL).await;
        while !gateway.transfers.borrow().is_settled() {
            sleep(HANDOVER_POLL_INTERVAL).await;
        }
    };
    if timeout(HANDOVER_TIMEOUT, all_arrived).await.is_err() {
        info!(gateway.log, "transfers not acknowledged before shutdown");
    }
    log_balances(gateway);
}

/// Logs the token totals of each budget for this process.
fn log_balances(gateway: &Gateway) {
    for (workspace, holding) in gateway.holdings.borrow().iter() {
        let balance = holding.balance();
        info!(gateway.log, "budget closed"; "workspace" => %workspace,
            "granted" => balance.granted.0, "received" => balance.received.0,
            "given" => balance.given.0, "used" => balance.used.0,
            "reserved" => balance.reserved.0, "left" => holding.held().0,
            "revision" => %holding.revision());
    }
}

impl ShardWorker {
    async fn close_earlier_runs<S: ConfigStore>(
        &mut self,
        gateway: &Gateway,
        store: &S,
    ) -> Result<(), StoreError> {
        if self.shard.era != self.revision.era {
            // The records don't show all grants; entering the era removes them.
            return Ok(());
        }
        let before = self.shard.clone();
        let mut shard = before.clone();
        let changed = self.take_over(gateway, &mut shard);
        let has_closed = shard.records != before.records;
        // Without eras, a registration alone is not worth a write.
        if !has_closed && (!changed || self.revision.era == StoreEra::default()) {
            return Ok(());
        }
        self.write_kind = StoreCallKind::StartSwap;
        self.swap(gateway, store, shard).await?;
        for (workspace, record) in &self.shard.records {
            let earlier = &before.records[workspace];
            if record == earlier {
                continue;
            }
            let returned = earlier.taken().saturating_sub(record.taken());
            info!(gateway.log, "grants of an earlier run closed";
                "workspace" => workspace_name(gateway, *workspace),
                "returned" => returned.0, "revision" => %self.revision);
        }
        Ok(())
    }

    fn send_free_tokens(&self, gateway: &Gateway, other: TransferTarget) {
        for workspace in self.workspaces(gateway) {
            report_use(gateway, other.address, &workspace);
            let (hash, free) = {
                let holdings = gateway.holdings.borrow();
                let holding = &holdings[&workspace];
                (holding.workspace(), holding.free(gateway.now()))
            };
            send_tokens(gateway, other, hash, free);
        }
    }

    /// Returns unused grants to the store. What this process holds of an earlier era is claimed
    /// with the same write.
    async fn return_grants<S: ConfigStore>(&mut self, gateway: &Gateway, store: &S) {
        for _ in 0..MAX_CLOSE_ATTEMPTS {
            if gateway.store_contact.get().is_failing() {
                break;
            }
            match self.try_return_grants(gateway, store).await {
                Ok(()) => {
                    self.announce_end(gateway);
                    break;
                }
                Err(error) => info!(gateway.log, "failed to return grants";
                    "shard" => self.number, "error" => %error),
            }
        }
    }

    async fn try_return_grants<S: ConfigStore>(
        &mut self,
        gateway: &Gateway,
        store: &S,
    ) -> Result<(), StoreError> {
        let names_eras = store.latest_era().is_some();
        if !names_eras && !self.has_grants_to_return(gateway) {
            return Ok(());
        }
        if !self.is_loaded {
            self.load(gateway, store).await?;
        }
        let vm = stable_hash(gateway.settings.vm.as_str());
        let own = self.shard.writer(vm);
        if own.is_some_and(|own| own.has_ended(gateway.incarnation)) {
            // An earlier attempt was applied.
            return Ok(());
        }
        let requests = self.plan_returns(gateway);
        self.is_ending = true;
        self.write_kind = StoreCallKind::EndSwap;
        let result = self.write_grant_requests(gateway, store, &requests).await;
        self.is_ending = false;
        result
    }

    fn has_grants_to_return(&self, gateway: &Gateway) -> bool {
        let holdings = gateway.holdings.borrow();
        holdings
            .iter()
            .any(|(id, holding)| shard_of(id) == self.number && holding.has_spare_grant())
    }

    fn plan_returns(&self, gateway: &Gateway) -> Vec<GrantRequest> {
        let time = plan_time(gateway);
        let mut holdings = gateway.holdings.borrow_mut();
        holdings
            .iter_mut()
            .filter(|(id, holding)| shard_of(id) == self.number && holding.has_spare_grant())
            .map(|(_, holding)| holding.plan_return(time))
            .collect()
    }
}
