//! Moves grants between the budget records in the store and this VM, and returns tokens
//! that this VM does not need to the keeper of the budget.
//!
//! Correctness does not depend on which VM is the keeper: each write is conditional on
//! the revision that it replaces.

mod era_entry;
mod missed_end;
mod run_end;
mod shard_access;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use slog::debug;
use slog::info;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_types::TokenCount;
use snipegate_types::WorkspaceId;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

pub use self::missed_end::ShardEnd;
pub use self::missed_end::handle_shard_end;
pub use self::run_end::close_budgets;
use self::run_end::close_earlier_runs;
use crate::budget_exchange::SHARDS;
use crate::budget_exchange::is_scarce;
use crate::budget_exchange::prepaid_by_hash;
use crate::budget_exchange::remote_keeper;
use crate::budget_exchange::shard_of;
use crate::budget_exchange::update_prepaid;
use crate::budget_exchange::workspace_name;
use crate::budget_record::GrantRequest;
use crate::budget_shard::BudgetShard;
use crate::budget_shard::ClosedTotals;
use crate::gateway::Gateway;
use crate::holding::BudgetHolding;
use crate::holding::HoldingRole;
use crate::holding::PlanTime;
use crate::local_response::jitter;
use crate::promise_keeper::make_promises;
use crate::shard_writer::RegistrationAge;
use crate::store_task::StoreCallKind;
use crate::token_request::answer_queue;
use crate::token_request::queued_tokens;
use crate::token_request::report_use;
use crate::transfer::TransferTarget;
use crate::transfer::resend_transfers;
use crate::transfer::send_tokens;
use crate::writer_absence::WriterAbsences;

/// Maximum interval between two checks of the grants.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two checks while token requests of other VMs are queued for a
/// grant.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time to batch grant requests before a write while a request is waiting.
const URGENT_BATCH_DELAY: Duration = Duration::from_millis(5);

/// Minimum interval between two writes while a request is waiting.
const URGENT_WRITE_INTERVAL: Duration = Duration::from_millis(30);

/// Time to batch grant requests before a write while no request is waiting.
const IDLE_BATCH_DELAY: Duration = Duration::from_millis(400);

/// How long after it started serving a process does not yet act as a full keeper,
/// because it may not have heard of the actual one. The same applies after an outage of
/// the store, during which it could not tell which other VMs reach the store.
const NEW_KEEPER_PERIOD: Duration = Duration::from_millis(1500);

/// Minimum interval between two checks for tokens that a member should return.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Delay after a write conflict or a store call that was not answered.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Reads and writes one shard of the budget records for this VM.
struct ShardWorker {
    number: u64,
    shard: BudgetShard,
    revision: StoreRevision,
    /// Whether the shard has been read, so that it can be written.
    is_loaded: bool,
    last_write: Option<Instant>,
    last_rebalance: Option<Instant>,
    /// How long this VM has been registered in the shard.
    registration: RegistrationAge,
    /// When this process first saw, in the present era, that VMs have yet to report.
    unsettled_since: Option<Instant>,
    /// Other VMs in the shard whose processes have ended or that are absent.
    absences: WriterAbsences,
    /// Registered VMs that were not heard when the shard was last read for that.
    silent_writers: Vec<u64>,
    /// Kind of the next write, for the count of store calls.
    write_kind: StoreCallKind,
    /// Whether this process's last write of the shard is under way.
    is_ending: bool,
}

/// Maintains the grants of all workspaces until the process ends.
pub async fn maintain_budgets<S: ConfigStore + 'static>(gateway: Rc<Gateway>, store: Rc<S>) {
    spawn_local(resend_transfers(Rc::clone(&gateway)));
    spawn_local(make_promises(Rc::clone(&gateway)));
    spawn_local(close_earlier_runs(Rc::clone(&gateway), Rc::clone(&store)));
    for number in 0..SHARDS {
        let gateway = Rc::clone(&gateway);
        spawn_local(maintain_shard(gateway, Rc::clone(&store), number));
    }
    loop {
        let pause = match gateway.queued_token_requests.borrow().is_empty() {
            true => POLL_INTERVAL,
            false => QUEUE_POLL_INTERVAL,
        };
        let _ = timeout(pause, gateway.grant_notify.notified()).await;
        update_prepaid(&gateway);
        answer_queue(&gateway);
        gateway.shard_notify.notify_waiters();
        gateway.promise_notify.notify_one();
    }
}

async fn maintain_shard<S: ConfigStore>(gateway: Rc<Gateway>, store: Rc<S>, number: u64) {
    let mut worker = ShardWorker::new(&gateway, number);
    loop {
        match worker.run_pass(&gateway, &*store).await {
            Ok(PassOutcome::Idle) => {
                let _ = timeout(POLL_INTERVAL, gateway.shard_notify.notified()).await;
            }
            Ok(PassOutcome::Acted) => {}
            Err(error) => {
                debug!(gateway.log, "failed to update budget records";
                    "shard" => number, "error" => %error);
                sleep(jitter(RETRY_DELAY)).await;
            }
        }
    }
}

/// Result of one pass over the budgets of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PassOutcome {
    /// No change was needed.
    Idle,
    /// A grant request was waiting or was written.
    Acted,
}

impl ShardWorker {
    /// Creates a worker that has not read its shard.
    fn new(gateway: &Gateway, number: u64) -> Self {
        Self {
            number,
            shard: BudgetShard::default(),
            revision: StoreRevision::default(),
            is_loaded: false,
            last_write: None,
            last_rebalance: None,
            registration: RegistrationAge::new(gateway.settings.max_copy_age),
            unsettled_since: None,
            absences: WriterAbsences::default(),
            silent_writers: Vec::new(),
            write_kind: StoreCallKind::IdleSwap,
            is_ending: false,
        }
    }

    /// Checks once what the budgets of the shard need and acts on it.
    async fn run_pass<S: ConfigStore>(
        &mut self,
        gateway: &Gateway,
        store: &S,
    ) -> Result<PassOutcome, StoreError> {
        self.set_max_copy_age(gateway, store);
        self.enter_era(gateway);
        let keeper = remote_keeper(gateway, self.number, gateway.now());
        if let Some(keeper) = keeper {
            self.rebalance(gateway, keeper);
        }
        if self.needs_load(gateway, keeper.is_none()) {
            self.load(gateway, store).await?;
        }
        self.read_missed_ends(gateway, store).await?;
        answer_queue(gateway);
        if !gateway.earlier_runs_known.get() {
            // A write would close the earlier runs without what their witnesses tell.
            return Ok(PassOutcome::Idle);
        }
        if gateway.is_closing.get() {
            // Returned grants must not be requested again.
            return Ok(PassOutcome::Idle);
        }
        self.watch_absences(gateway);
        let Some(urgent) = self.grant_urgency(gateway, gateway.now()) else {
            return Ok(PassOutcome::Idle);
        };
        if !self.wait_for_batch(gateway, urgent).await {
            return Ok(PassOutcome::Acted);
        }
        if gateway.store_contact.get().is_failing() {
            // Other tasks detect when the store is reachable again.
            sleep(RETRY_DELAY).await;
            return Ok(PassOutcome::Idle);
        }
        if !self.is_loaded {
            self.load(gateway, store).await?;
        }
        let time = plan_time(gateway);
        self.last_write = Some(time.now);
        self.write_kind = match urgent {
            true => StoreCallKind::UrgentSwap,
            false => StoreCallKind::IdleSwap,
        };
        let requests = self.plan_grant_requests(gateway, time);
        self.write_grant_requests(gateway, store, &requests).await?;
        answer_queue(gateway);
        Ok(PassOutcome::Acted)
    }

    /// Returns surplus tokens to the keeper and reports use of scarce budgets.
    fn rebalance(&mut self, gateway: &Gateway, keeper: TransferTarget) {
        let now = gateway.now();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REBALANCE_INTERVAL;
        if self.last_rebalance.is_some_and(is_recent) {
            return;
        }
        self.last_rebalance = Some(now);
        for workspace in self.workspaces(gateway) {
            let scarce = is_scarce(gateway, &workspace, now);
            let (hash, surplus, has_unreported_use) = {
                let holdings = gateway.holdings.borrow();
                let holding = &holdings[&workspace];
                (
                    holding.workspace(),
                    holding.surplus(scarce, now),
                    holding.has_unreported_use(),
                )
            };
            if !surplus.is_zero() {
                send_tokens(gateway, keeper, hash, surplus);
            }
            if scarce && has_unreported_use {
                report_use(gateway, keeper.address, &workspace);
            }
        }
    }

    /// Waits so that grant requests are batched; returns whether to write now. If no
    /// request is waiting for a grant, the wait is longer and ends early when the shard
    /// is due for a check.
    async fn wait_for_batch(&self, gateway: &Gateway, urgent: bool) -> bool {
        let now = gateway.now();
        let since = self
            .last_write
            .map_or(IDLE_BATCH_DELAY, |at| now.saturating_duration_since(at));
        if urgent {
            sleep(
                URGENT_WRITE_INTERVAL
                    .saturating_sub(since)
                    .max(URGENT_BATCH_DELAY),
            )
            .await;
            return true;
        }
        let left = IDLE_BATCH_DELAY.saturating_sub(since);
        if left.is_zero() {
            return true;
        }
        let _ = timeout(left, gateway.shard_notify.notified()).await;
        false
    }

    /// Returns whether a request is waiting for a grant; `None` if no write is due.
    fn grant_urgency(&mut self, gateway: &Gateway, now: Instant) -> Option<bool> {
        let is_era_work_due = self.is_era_work_due(gateway, now);
        let needs = self.filter_map_holdings(gateway, now, |holding, role, queued, scarce| {
            holding.need(role, queued, scarce, now)
        });
        let urgencies = needs.into_iter().map(|need| need.urgent);
        urgencies
            .chain(is_era_work_due.then_some(false))
            .reduce(|one, other| one || other)
    }

    /// Plans the grant requests of all budgets. If at least one of them is written, the
    /// paces of all others are renewed with the same write.
    fn plan_grant_requests(&self, gateway: &Gateway, time: PlanTime) -> Vec<GrantRequest> {
        self.filter_map_holdings(gateway, time.now, |holding, role, queued, scarce| {
            holding
                .plan_request(role, queued, scarce, time)
                .or_else(|| holding.plan_pace(time))
        })
    }

    /// Calls `plan` on each holding of the shard, with this VM's role, the number of
    /// tokens that other VMs are waiting for, and whether the budget is scarce at
    /// another VM.
    fn filter_map_holdings<T>(
        &self,
        gateway: &Gateway,
        now: Instant,
        plan: impl Fn(&mut BudgetHolding, HoldingRole, TokenCount, bool) -> Option<T>,
    ) -> Vec<T> {
        let role = self.role(gateway, now);
        let mut holdings = gateway.holdings.borrow_mut();
        let own = holdings
            .iter_mut()
            .filter(|(id, _)| shard_of(id) == self.number);
        own.filter_map(|(id, holding)| {
            let queued = queued_tokens(gateway, holding.workspace());
            plan(holding, role, queued, is_scarce(gateway, id, now))
        })
        .collect()
    }

    /// Returns this VM's role for the budgets of the shard.
    fn role(&self, gateway: &Gateway, now: Instant) -> HoldingRole {
        if remote_keeper(gateway, self.number, now).is_some() {
            return HoldingRole::Member;
        }
        let is_new = |since: Instant| now.saturating_duration_since(since) < NEW_KEEPER_PERIOD;
        let has_started = gateway.serving_since.get().is_none_or(is_new);
        match has_started || gateway.store_contact.get().is_regained(now) {
            true => HoldingRole::NewKeeper,
            false => HoldingRole::Keeper,
        }
    }

    /// Returns the workspaces whose records are in the shard.
    fn workspaces(&self, gateway: &Gateway) -> Vec<WorkspaceId> {
        let holdings = gateway.holdings.borrow();
        let ids = holdings.keys();
        ids.filter(|id| shard_of(id) == self.number)
            .cloned()
            .collect()
    }

    /// Returns whether the shard has to be read: by its keeper for new budgets too, and by a VM
    /// that may be registered in it or has a grant to claim.
    fn needs_load(&self, gateway: &Gateway, is_keeper: bool) -> bool {
        match self.is_loaded {
            true => is_keeper && !self.all_loaded(gateway),
            false => is_keeper || self.has_era_duty(gateway),
        }
    }

    fn all_loaded(&self, gateway: &Gateway) -> bool {
        let holdings = gateway.holdings.borrow();
        holdings
            .iter()
            .filter(|(workspace, _)| shard_of(workspace) == self.number)
            .all(|(_, holding)| holding.is_loaded())
    }

    /// Applies grant requests of this VM to the shard, which has been read, reports and registers
    /// this VM if that is due, and writes the shard if it changed.
    async fn write_grant_requests<S: ConfigStore>(
        &mut self,
        gateway: &Gateway,
        store: &S,
        requests: &[GrantRequest],
    ) -> Result<(), StoreError> {
        let era = self.revision.era;
        if requests.iter().any(|request| request.era != era) {
            return Err(StoreError::EraChanged);
        }
        let mut shard = self.shard.clone();
        let mut changed = self.begin_era(gateway, &mut shard);
        let mut prepaid = prepaid_by_hash(gateway);
        prepaid.retain(|workspace, _| workspace % SHARDS == self.number);
        for request in requests {
            let prepaid = prepaid.get(&request.workspace).copied().unwrap_or_default();
            let before = shard.totals_closed(request.workspace);
            let is_applied = shard.apply(request, prepaid);
            changed |= is_applied;
            if is_applied && !request.claimed.is_zero() {
                self.log_claim(gateway, request);
            }
            self.log_closed(gateway, request.workspace, before, &shard);
        }
        changed |= self.report_and_settle(gateway, &mut shard, requests, &prepaid);
        changed |= self.end_or_withdraw(gateway, &mut shard);
        match changed {
            true => self.swap(gateway, store, shard).await,
            false => Ok(()),
        }
    }

    /// Logs grants of an ended process that a grant request counted as used.
    fn log_closed(
        &self,
        gateway: &Gateway,
        workspace: u64,
        before: ClosedTotals,
        shard: &BudgetShard,
    ) {
        let after = shard.totals_closed(workspace);
        let newly_closed = after.closed.saturating_sub(before.closed);
        if newly_closed.is_zero() {
            return;
        }
        info!(gateway.log, "grants of an ended run count as used";
            "vm" => %gateway.settings.vm, "workspace" => workspace_name(gateway, workspace),
            "tokens" => newly_closed.0, "told_used" => before.used.0,
            "revision" => %self.revision);
    }
}

/// Returns the time at which to plan grant requests. The boot clock is read first,
/// because [`PlanTime::boot`] must not be later than [`PlanTime::now`].
pub fn plan_time(gateway: &Gateway) -> PlanTime {
    let boot = gateway.boot_timestamp();
    let now = gateway.now();
    PlanTime { now, boot }
}
