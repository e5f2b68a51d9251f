//! What happens to a shard of the budget records when the store comes back from an older
//! copy.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use slog::info;
use slog::warn;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreError;
use snipegate_types::TokenCount;
use snipegate_types::VmId;

use super::ShardWorker;
use super::plan_time;
use crate::budget_exchange::remote_duty_holder;
use crate::budget_exchange::shard_of;
use crate::budget_exchange::workspace_name;
use crate::budget_record::GrantRequest;
use crate::budget_shard::BudgetShard;
use crate::era_report::EraReport;
use crate::era_report::GrantKnowledge;
use crate::era_report::UnsettledVm;
use crate::gateway::Gateway;
use crate::gateway::duty_rendezvous_weight;
use crate::gateway::stable_hash;
use crate::shard_memory::ShardMemory;
use crate::shard_writer::WriterLevel;
use crate::stage::VmStage;
use crate::store_task::StoreTask;
use crate::writer_absence::WriterAbsences;

/// Number of VMs of a shard that may be granted whole budgets: the keeper, and the VM that
/// takes over.
const FULL_WRITERS: usize = 2;

/// Number of VMs of a shard that may be granted tokens.
const LIMITED_WRITERS: usize = 6;

/// How long after it started serving a process does not register, because it may not have heard
/// the other VMs.
const REGISTER_DELAY: Duration = Duration::from_millis(600);

/// How long the reports of VMs are awaited in a new era. A VM may be cut off for some seconds.
const REPORT_TIMEOUT: Duration = Duration::from_secs(6);

impl ShardWorker {
    /// Sets the age of the oldest copy from which the store may come back.
    pub(super) fn set_max_copy_age<S: ConfigStore>(&mut self, gateway: &Gateway, store: &S) {
        let age = match store.latest_era() {
            Some(_) => gateway.settings.max_copy_age,
            None => Duration::ZERO,
        };
        self.registration.set_max_copy_age(age);
    }

    /// Lets the holdings of the shard enter the store's era, if it is a new one.
    pub(super) fn enter_era(&mut self, gateway: &Gateway) {
        let era = gateway.known_era();
        if self.is_loaded && self.revision.era == era {
            return;
        }
        self.is_loaded = false;
        self.unsettled_since = None;
        self.move_holdings(gateway, era);
    }

    /// Lets the holdings of the shard enter an era, if it is later than theirs.
    pub(super) fn move_holdings(&self, gateway: &Gateway, era: StoreEra) {
        let mut holdings = gateway.holdings.borrow_mut();
        let own = holdings
            .iter_mut()
            .filter(|(workspace, _)| shard_of(workspace) == self.number);
        for (_, holding) in own {
            holding.enter_era(era);
        }
    }

    /// Checks that an answer is from the era in which the shard was read. If not, the shard
    /// has to be read again.
    ///
    /// # Errors
    ///
    /// Fails if the answer is from another era.
    pub(super) fn check_era(&mut self, gateway: &Gateway, era: StoreEra) -> Result<(), StoreError> {
        gateway.observe_era(era, StoreTask::Budgets)?;
        if era != self.revision.era {
            self.is_loaded = false;
            return Err(StoreError::EraChanged);
        }
        Ok(())
    }

    /// Returns whether this VM has to know the shard to report or register in it.
    pub(super) fn has_era_duty(&self, gateway: &Gateway) -> bool {
        let holdings = gateway.holdings.borrow();
        let mut own = holdings
            .iter()
            .filter(|(workspace, _)| shard_of(workspace) == self.number);
        own.any(|(_, holding)| holding.has_claim())
            || self.registration.is_registered()
            || (!self.registration.is_immediate()
                && self.wanted_level(gateway, gateway.now()) > WriterLevel::None)
    }

    /// Returns whether this VM should report in the shard, register in it, or end the wait for
    /// reports.
    pub(super) fn is_era_work_due(&self, gateway: &Gateway, now: Instant) -> bool {
        if !self.is_loaded {
            return self.has_era_duty(gateway);
        }
        let vm = stable_hash(gateway.settings.vm.as_str());
        self.shard.era != self.revision.era
            || self.shard.awaits_report(vm).is_some()
            || self.is_settling_due(gateway, &self.shard, now)
            || !self.known_from_former(gateway, &self.shard).is_empty()
            || self.is_withdrawal_due(gateway, now)
            || (!self.registration.is_immediate()
                && self.register(gateway, &mut self.shard.clone(), now))
    }

    /// Lets the shard enter the era in which it was read, and registers this process in place of
    /// earlier ones; returns whether that changes the shard.
    pub(super) fn begin_era(&self, gateway: &Gateway, shard: &mut BudgetShard) -> bool {
        let has_entered = shard.enter_era(self.revision.era);
        if has_entered {
            info!(gateway.log, "budget records enter era"; "shard" => self.number,
                "before" => self.shard.era.0, "era" => shard.era.0,
                "reports_awaited" => shard.awaited().count(), "revision" => %self.revision);
        }
        shard.lower_announced();
        let has_taken_over = self.take_over(gateway, shard);
        has_entered | has_taken_over | self.register(gateway, shard, gateway.now())
    }

    /// Returns the claims of all holdings of the shard, except those in `requests`, which claim
    /// what they hold themselves.
    fn plan_claims(&self, gateway: &Gateway, requests: &[GrantRequest]) -> Vec<GrantRequest> {
        let time = plan_time(gateway);
        let is_requested = |workspace| requests.iter().any(|other| other.workspace == workspace);
        let mut holdings = gateway.holdings.borrow_mut();
        holdings
            .iter_mut()
            .filter(|(id, _)| shard_of(id) == self.number)
            .filter(|(_, holding)| !is_requested(holding.workspace()))
            .filter_map(|(_, holding)| holding.plan_claim(time))
            .collect()
    }

    /// Reports what this VM holds, if the shard awaits it, and ends the wait for the reports of
    /// others if it is due; returns whether that changes the shard. `requests` are the grant
    /// requests that are in the same write.
    pub(super) fn report_and_settle(
        &self,
        gateway: &Gateway,
        shard: &mut BudgetShard,
        requests: &[GrantRequest],
        prepaid: &IndexMap<u64, TokenCount>,
    ) -> bool {
        let vm = stable_hash(gateway.settings.vm.as_str());
        let now = gateway.now();
        let missing_since = shard.awaits_report(vm);
        if let Some(since) = missing_since {
            let report = EraReport {
                vm,
                incarnation: gateway.incarnation,
                began: gateway.started_at,
                knowledge: self.knowledge(gateway, since),
            };
            let claims = self.plan_claims(gateway, requests);
            let forgotten = shard.report(&report, &claims);
            for claim in &claims {
                self.log_claim(gateway, claim);
            }
            let is_complete = report.knowledge != GrantKnowledge::Incomplete;
            info!(gateway.log, "grants reported"; "shard" => self.number, "era" => shard.era.0,
                "complete" => is_complete, "reports_awaited" => shard.awaited().count(),
                "since" => since.0, "closing" => gateway.is_closing.get());
            for grant in forgotten {
                gateway.metrics.count("budget.unclaimed_grant_removed");
                info!(gateway.log, "grant of an earlier era removed"; "shard" => self.number,
                    "workspace" => workspace_name(gateway, grant.workspace),
                    "tokens" => grant.tokens.0, "replaces" => %self.revision);
            }
        }
        let has_adopted = self.adopt_known(gateway, shard, prepaid);
        let settles = self.is_settling_due(gateway, shard, now);
        if settles {
            for vm in shard.awaited() {
                warn!(gateway.log, "grants of a vm unknown"; "shard" => self.number,
                    "era" => shard.era.0, "vm" => vm.vm, "level" => ?vm.level,
                    "state" => ?vm.state);
            }
            gateway.metrics.count("budget.unknown_grants");
            for counted in shard.settle(prepaid) {
                info!(gateway.log, "unknown grants count as taken"; "shard" => self.number,
                    "workspace" => workspace_name(gateway, counted.workspace),
                    "tokens" => counted.tokens.0, "replaces" => %self.revision);
            }
        }
        missing_since.is_some() || has_adopted || settles
    }

    /// Returns the VMs whose grants this process knows from the era before.
    fn known_from_former(&self, gateway: &Gateway, shard: &BudgetShard) -> Vec<UnsettledVm> {
        if !shard.has_unsettled() {
            return Vec::new();
        }
        let memories = gateway.shard_memories.borrow();
        let former = memories.get(&self.number).and_then(ShardMemory::former);
        former.map_or_else(Vec::new, |former| shard.known_from(former))
    }

    /// Tells what this process knows from the era before of VMs whose processes had ended or
    /// that were absent; returns whether that changes the shard.
    fn adopt_known(
        &self,
        gateway: &Gateway,
        shard: &mut BudgetShard,
        prepaid: &IndexMap<u64, TokenCount>,
    ) -> bool {
        let known = self.known_from_former(gateway, shard);
        let memories = gateway.shard_memories.borrow();
        let former = memories.get(&self.number).and_then(ShardMemory::former);
        let Some(former) = former else {
            return false;
        };
        for vm in &known {
            shard.adopt(former, vm, prepaid);
            info!(gateway.log, "grants of an ended vm reported"; "shard" => self.number,
                "era" => shard.era.0, "vm" => vm.vm, "level_before" => ?vm.level,
                "still_awaited" => shard.is_vm_unsettled(vm.vm),
                "reports_awaited" => shard.awaited().count());
        }
        !known.is_empty()
    }

    /// Tracks which registered VMs are gone, as the keeper of the shard.
    pub(super) fn watch_absences(&mut self, gateway: &Gateway) {
        let now = gateway.now();
        let is_duty = self.is_loaded
            && !self.registration.is_immediate()
            && self.shard.era == self.revision.era
            && !self.shard.is_unsettled()
            && !gateway.store_contact.get().is_failing()
            && remote_duty_holder(gateway, self.number, now).is_none();
        if !is_duty {
            self.absences = WriterAbsences::default();
            return;
        }
        let own = stable_hash(gateway.settings.vm.as_str());
        let peers = gateway.peers.borrow();
        let listed: Vec<u64> = peers.vms().map(|vm| stable_hash(vm.as_str())).collect();
        let is_listed = |vm| vm == own || listed.contains(&vm);
        self.absences.record(&self.shard.writers, is_listed, now);
    }

    /// Returns whether this VM, as the keeper, should withdraw the registration of another one.
    fn is_withdrawal_due(&self, gateway: &Gateway, now: Instant) -> bool {
        let is_keeper = remote_duty_holder(gateway, self.number, now).is_none();
        self.absences.due(now).next().is_some() || (is_keeper && self.shard.can_lower_announced())
    }

    /// Ends this process in the shard, if this is its last write, or withdraws the registrations
    /// of VMs that are gone; returns whether that changes the shard.
    pub(super) fn end_or_withdraw(&self, gateway: &Gateway, shard: &mut BudgetShard) -> bool {
        if self.registration.is_immediate() {
            return false;
        }
        if self.is_ending {
            let vm = stable_hash(gateway.settings.vm.as_str());
            return shard.end_process(vm, gateway.incarnation);
        }
        let mut changed = false;
        for vm in self.absences.due(gateway.now()) {
            if shard.withdraw(vm) {
                changed = true;
                info!(gateway.log, "registration of an absent vm withdrawn";
                    "shard" => self.number, "vm" => vm, "replaces" => %self.revision);
            }
        }
        changed
    }

    /// Returns what this process knows of the grants of its VM that the store had lost when the
    /// era `since` began.
    fn knowledge(&self, gateway: &Gateway, since: StoreEra) -> GrantKnowledge {
        let is_old = gateway.knows_grants_before(since);
        let memories = gateway.shard_memories.borrow();
        let memory = memories.get(&self.number);
        memory.map_or(GrantKnowledge::of_age(is_old), |memory| {
            memory.knowledge(is_old)
        })
    }

    /// Notes whether this VM, which is registered at the `mature` level, may be granted all of a
    /// budget of the shard. As long as it may not, another VM should be the keeper.
    pub(super) fn note_restriction(&self, gateway: &Gateway, mature: Option<WriterLevel>) {
        let is_restricted = !self.registration.is_immediate() && mature != Some(WriterLevel::Full);
        let mut restricted = gateway.restricted_shards.borrow_mut();
        let changed = match is_restricted {
            true => restricted.insert(self.number),
            false => restricted.swap_remove(&self.number),
        };
        if changed {
            info!(gateway.log, "grants of the shard restricted"; "shard" => self.number,
                "restricted" => is_restricted, "level" => ?mature, "revision" => %self.revision);
        }
    }

    /// Remembers the present state of the shard for reports in later eras.
    pub(super) fn remember(&self, gateway: &Gateway) {
        self.with_memory(gateway, |memory| memory.observe(&self.shard));
    }

    /// Keeps the last known state of the shard in the era that has ended.
    pub(super) fn leave_era(&self, gateway: &Gateway) {
        self.with_memory(gateway, |memory| memory.leave_era(self.shard.clone()));
    }

    /// Updates the memory of the shard, unless its present state may lack writes or the store
    /// never comes back from a copy.
    fn with_memory(&self, gateway: &Gateway, update: impl FnOnce(&mut ShardMemory)) {
        let era = self.revision.era;
        let is_unread = era == StoreEra::default();
        if is_unread || self.shard.era != era || self.registration.is_immediate() {
            return;
        }
        let vm = stable_hash(gateway.settings.vm.as_str());
        let mut memories = gateway.shard_memories.borrow_mut();
        let memory = memories
            .entry(self.number)
            .or_insert_with(|| ShardMemory::new(vm, gateway.incarnation));
        update(memory);
    }

    /// Logs that a grant of an earlier era is claimed.
    pub(super) fn log_claim(&self, gateway: &Gateway, claim: &GrantRequest) {
        info!(gateway.log, "grant claimed"; "shard" => self.number,
            "workspace" => workspace_name(gateway, claim.workspace),
            "tokens" => claim.claimed.0, "era" => claim.era.0, "replaces" => %self.revision);
    }

    /// Returns whether the wait for reports should end though some VMs can't tell what they may
    /// hold.
    fn is_settling_due(&self, gateway: &Gateway, shard: &BudgetShard, now: Instant) -> bool {
        let has_waited = |since: Instant| now.saturating_duration_since(since) >= REPORT_TIMEOUT;
        shard.is_unsettled()
            && remote_duty_holder(gateway, self.number, now).is_none()
            && (shard.has_all_reports() || self.unsettled_since.is_some_and(has_waited))
    }

    /// Lets this process take over from the earlier ones of its VM; returns whether that changes
    /// the shard.
    pub(super) fn take_over(&self, gateway: &Gateway, shard: &mut BudgetShard) -> bool {
        let vm = stable_hash(gateway.settings.vm.as_str());
        let runs = gateway.earlier_runs.borrow();
        for testimony in runs.iter().filter_map(|run| run.testimony.as_ref()) {
            shard.apply_testimony(vm, testimony, gateway.started_at);
        }
        shard.take_over(vm, gateway.incarnation, gateway.started_at)
    }

    /// Registers this VM in the shard with the level that it should have; returns whether that
    /// changes the shard.
    pub(super) fn register(
        &self,
        gateway: &Gateway,
        shard: &mut BudgetShard,
        now: Instant,
    ) -> bool {
        let vm = stable_hash(gateway.settings.vm.as_str());
        let wanted = self.wanted_level(gateway, now);
        let mature = self.registration.mature(shard.era, now);
        shard.register(vm, gateway.incarnation, wanted, mature)
    }

    /// Returns the level that this VM should have: the full one for the VMs that are the keeper
    /// or would be after it, and a limited one for some more.
    fn wanted_level(&self, gateway: &Gateway, now: Instant) -> WriterLevel {
        if self.registration.is_immediate() {
            return WriterLevel::Full;
        }
        let is_new = |since: Instant| now.saturating_duration_since(since) < REGISTER_DELAY;
        let is_leaving = gateway.stage.get() == VmStage::Leaving;
        if is_leaving || gateway.serving_since.get().is_none_or(is_new) {
            return WriterLevel::None;
        }
        let weight = |vm: &VmId| duty_rendezvous_weight(vm, self.number);
        let own = weight(&gateway.settings.vm);
        let peers = gateway.peers.borrow();
        let others = peers.reaching_store(now);
        let heavier = others.filter(|peer| weight(&peer.vm) > own).count();
        if heavier < FULL_WRITERS {
            WriterLevel::Full
        } else if heavier < LIMITED_WRITERS {
            WriterLevel::Limited
        } else {
            WriterLevel::None
        }
    }
}
