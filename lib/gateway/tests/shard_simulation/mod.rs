//! A simulated store that comes back from older copies, and processes that hold grants of the
//! budgets of one shard.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use indexmap::IndexMap;
use snipegate_gateway::BudgetHolding;
use snipegate_gateway::BudgetShard;
use snipegate_gateway::EraContacts;
use snipegate_gateway::EraReport;
use snipegate_gateway::GrantKnowledge;
use snipegate_gateway::GrantRequest;
use snipegate_gateway::HoldingRole;
use snipegate_gateway::PlanTime;
use snipegate_gateway::RegistrationAge;
use snipegate_gateway::ShardMemory;
use snipegate_gateway::WriterLevel;
use snipegate_gateway::later_eras;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreRevision;
use snipegate_types::TokenCount;

/// Size of each budget, in tokens.
pub const PREPAID: TokenCount = TokenCount(1000);

/// Number of budgets in the shard.
pub const BUDGETS: usize = 3;

/// Age of the oldest copy from which the store comes back.
pub const MAX_COPY_AGE: Duration = Duration::from_secs(8);

const REPORT_TIMEOUT: Duration = Duration::from_secs(6);

/// A fault planted in the simulated VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    None,
    /// Registrations count at once.
    NoRegistrationAge,
    /// Late writes are not prevented by markers of eras.
    NoMarker,
    /// A restarted process reports as if it knew all grants.
    FalseReport,
    /// Nothing is counted for VMs that have not reported.
    FreeSettlement,
    /// The holders of the copy are taken to be all holders.
    NoEraEntry,
    /// A stopping process reports though it claims only the budgets that it returns tokens of.
    ReportWithoutClaims,
    /// The announced level is lowered in the same write as the mature one.
    EarlyLowering,
}

/// Content of the store.
#[derive(Clone)]
pub struct StoreState {
    pub shard: BudgetShard,
    pub shard_revision: u64,
    number: u64,
    /// Revision of the marker of each era.
    markers: BTreeMap<StoreEra, u64>,
}

/// A write of a process that knows `era`.
#[derive(Clone)]
pub struct ShardWrite {
    pub expected: u64,
    era: StoreEra,
    marker: u64,
    shard: BudgetShard,
}

/// The store, with the copies from which it may come back and the writes that may be late.
pub struct TestStore {
    pub state: StoreState,
    pub era: StoreEra,
    pub copies: Vec<(Instant, StoreState)>,
    pub late: Vec<ShardWrite>,
    pub fault: PlantedFault,
}

impl TestStore {
    pub fn new(fault: PlantedFault) -> Self {
        Self {
            state: StoreState {
                shard: BudgetShard::default(),
                shard_revision: 0,
                number: 0,
                markers: BTreeMap::new(),
            },
            era: StoreEra(1),
            copies: Vec::new(),
            late: Vec::new(),
            fault,
        }
    }

    /// Ensures that there is a marker of the present era; returns its revision.
    fn mark_era(&mut self) -> u64 {
        if let Some(marker) = self.state.markers.get(&self.era) {
            return *marker;
        }
        self.state.number += 1;
        self.state.markers.insert(self.era, self.state.number);
        self.state.number
    }

    /// Executes a write; returns its revision if the conditions hold.
    pub fn swap(&mut self, write: &ShardWrite) -> Option<StoreRevision> {
        let markers = &self.state.markers;
        let is_marked = markers.get(&write.era) == Some(&write.marker);
        let is_late = later_eras(write.era).any(|later| markers.contains_key(&later));
        let may_write = (is_marked && !is_late) || self.fault == PlantedFault::NoMarker;
        if self.state.shard_revision != write.expected || !may_write {
            return None;
        }
        self.state.number += 1;
        self.state.shard = write.shard.clone();
        self.state.shard_revision = self.state.number;
        Some(StoreRevision::in_era(self.era, self.state.number))
    }

    /// Makes a copy from which the store may come back.
    pub fn keep_copy(&mut self, now: Instant) {
        self.copies.push((now, self.state.clone()));
    }

    /// Comes back from the copy with the given index; later copies are gone.
    pub fn come_back_from(&mut self, chosen: usize) {
        self.state = self.copies[chosen].1.clone();
        self.copies.truncate(chosen + 1);
        self.era.0 += 1;
    }

    /// Comes back from some copy that is not too old, if there is one.
    pub fn come_back(&mut self, u: &mut Unstructured<'_>, now: Instant) -> Result<()> {
        self.copies.retain(|(at, _)| now - *at <= MAX_COPY_AGE);
        if self.copies.is_empty() {
            self.era.0 += 1;
            return Ok(());
        }
        let chosen = u.choose_index(self.copies.len())?;
        self.come_back_from(chosen);
        Ok(())
    }
}

/// Returns the size of each budget, by workspace.
fn prepaid_by_workspace() -> IndexMap<u64, TokenCount> {
    let budgets = 0..BUDGETS as u64;
    budgets.map(|id| (id, PREPAID)).collect()
}

/// One process of a VM.
pub struct TestVm {
    pub vm: u64,
    incarnation: u64,
    pub holdings: Vec<BudgetHolding>,
    registration: RegistrationAge,
    memory: ShardMemory,
    /// Last state of the shard that was read or written.
    shard: Option<BudgetShard>,
    created_at: Instant,
    era: StoreEra,
    contacts: EraContacts,
    unsettled_since: Option<Instant>,
    waiting: [u64; BUDGETS],
}

impl TestVm {
    pub fn new(
        vm: u64,
        incarnation: u64,
        era: StoreEra,
        now: Instant,
        fault: PlantedFault,
    ) -> Self {
        let age = match fault {
            PlantedFault::NoRegistrationAge => Duration::ZERO,
            _ => MAX_COPY_AGE,
        };
        let budgets = 0..BUDGETS as u64;
        Self {
            vm,
            incarnation,
            holdings: budgets
                .map(|workspace| BudgetHolding::new(workspace, vm, incarnation, PREPAID, now))
                .collect(),
            registration: RegistrationAge::new(age),
            memory: ShardMemory::new(vm, incarnation),
            shard: None,
            created_at: now,
            era,
            contacts: EraContacts::default(),
            unsettled_since: None,
            waiting: [0; BUDGETS],
        }
    }

    /// Learns the era of an answer.
    fn observe(&mut self, era: StoreEra, now: Instant) {
        if era != self.era {
            self.era = era;
            self.unsettled_since = None;
            if let Some(shard) = self.shard.take() {
                self.memory.leave_era(shard);
            }
        }
        self.contacts.record(era, now);
        self.holdings
            .iter_mut()
            .for_each(|holding| holding.enter_era(era));
    }

    fn apply_shard(&mut self, shard: &BudgetShard, revision: StoreRevision, now: Instant) {
        if shard.era != revision.era {
            return;
        }
        let own = shard.writer(self.vm);
        let own = own.filter(|writer| writer.is_running(self.incarnation));
        let announced = own.map_or(WriterLevel::None, |writer| writer.announced);
        self.registration.record(revision.era, announced, now);
        self.unsettled_since = match shard.is_unsettled() {
            true => self.unsettled_since.or(Some(now)),
            false => None,
        };
        self.memory.observe(shard);
        self.shard = Some(shard.clone());
        for holding in &mut self.holdings {
            let workspace = holding.workspace();
            let view = shard.view(workspace, revision, self.vm, self.incarnation, PREPAID);
            holding.set_view(view, now);
        }
    }

    /// Reads the shard and prepares it for writing, with the requests, the report and the
    /// registration that are due.
    pub fn plan(&mut self, store: &mut TestStore, level: WriterLevel, now: Instant) -> ShardWrite {
        let mut write = self.enter_shard(store, level, now);
        let time = PlanTime { now, boot: None };
        let mut requests = Vec::new();
        for (holding, waiting) in self.holdings.iter_mut().zip(&mut self.waiting) {
            let queued = TokenCount(std::mem::take(waiting));
            requests.extend(holding.plan_request(HoldingRole::Keeper, queued, false, time));
        }
        self.finish(&mut write, &requests, store.fault, now);
        write
    }

    /// Reads the shard and prepares the write with which a stopping process returns what it does
    /// not need.
    pub fn plan_return(&mut self, store: &mut TestStore, now: Instant) -> ShardWrite {
        let mut write = self.enter_shard(store, WriterLevel::None, now);
        let time = PlanTime { now, boot: None };
        let holdings = self.holdings.iter_mut();
        let spare = holdings.filter(|holding| holding.has_spare_grant());
        let requests: Vec<GrantRequest> = spare.map(|holding| holding.plan_return(time)).collect();
        self.finish(&mut write, &requests, store.fault, now);
        write.shard.end_process(self.vm, self.incarnation);
        write
    }

    /// Reads the shard and prepares a write that also withdraws the registration of another VM.
    pub fn plan_withdrawal(
        &mut self,
        store: &mut TestStore,
        other: u64,
        now: Instant,
    ) -> ShardWrite {
        let mut write = self.plan(store, WriterLevel::Full, now);
        write.shard.withdraw(other);
        if store.fault == PlantedFault::EarlyLowering {
            write.shard.lower_announced();
        }
        write
    }

    /// Reads the shard and lets it enter the present era, with this VM registered.
    fn enter_shard(
        &mut self,
        store: &mut TestStore,
        level: WriterLevel,
        now: Instant,
    ) -> ShardWrite {
        self.observe(store.era, now);
        let read = StoreRevision::in_era(store.era, store.state.shard_revision);
        let mut shard = store.state.shard.clone();
        self.apply_shard(&shard, read, now);
        let marker = store.mark_era();
        match store.fault {
            PlantedFault::NoEraEntry => shard.era = self.era,
            _ => {
                shard.enter_era(self.era);
            }
        }
        shard.lower_announced();
        shard.take_over(self.vm, self.incarnation, None);
        let mature = self.registration.mature(shard.era, now);
        shard.register(self.vm, self.incarnation, level, mature);
        ShardWrite {
            expected: read.number,
            era: self.era,
            marker,
            shard,
        }
    }

    /// Applies requests, the report and the settlement that are due.
    fn finish(
        &mut self,
        write: &mut ShardWrite,
        requests: &[GrantRequest],
        fault: PlantedFault,
        now: Instant,
    ) {
        for request in requests {
            write.shard.apply(request, PREPAID);
        }
        self.report(&mut write.shard, requests, fault, now);
        self.adopt(&mut write.shard);
        self.settle(&mut write.shard, fault, now);
    }

    fn report(
        &mut self,
        shard: &mut BudgetShard,
        requests: &[GrantRequest],
        fault: PlantedFault,
        now: Instant,
    ) {
        let Some(since) = shard.awaits_report(self.vm) else {
            return;
        };
        let is_old = self
            .contacts
            .knows_grants_before(since, self.created_at, MAX_COPY_AGE);
        let time = PlanTime { now, boot: None };
        let is_requested = |workspace| requests.iter().any(|other| other.workspace == workspace);
        let holdings = self.holdings.iter_mut();
        let claims: Vec<GrantRequest> = holdings
            .filter(|holding| !is_requested(holding.workspace()))
            .filter_map(|holding| holding.plan_claim(time))
            .collect();
        let report = EraReport {
            vm: self.vm,
            incarnation: self.incarnation,
            began: None,
            knowledge: match fault {
                PlantedFault::FalseReport => GrantKnowledge::Complete { ended: None },
                _ => self.memory.knowledge(is_old),
            },
        };
        match fault {
            PlantedFault::ReportWithoutClaims => shard.report(&report, &[]),
            _ => shard.report(&report, &claims),
        };
    }

    /// Tells what this process knows of other VMs from the era before.
    fn adopt(&self, shard: &mut BudgetShard) {
        let Some(former) = self.memory.former() else {
            return;
        };
        for known in shard.known_from(former) {
            shard.adopt(former, &known, &prepaid_by_workspace());
        }
    }

    fn settle(&self, shard: &mut BudgetShard, fault: PlantedFault, now: Instant) {
        let has_waited = |since: Instant| now - since >= REPORT_TIMEOUT;
        let is_over = shard.has_all_reports() || self.unsettled_since.is_some_and(has_waited);
        if !shard.is_unsettled() || !is_over {
            return;
        }
        match fault {
            PlantedFault::FreeSettlement => shard.unsettled.clear(),
            _ => {
                shard.settle(&prepaid_by_workspace());
            }
        }
    }

    /// Writes the shard; the answer arrives.
    pub fn write(&mut self, store: &mut TestStore, level: WriterLevel, now: Instant) {
        let write = self.plan(store, level, now);
        if let Some(revision) = store.swap(&write) {
            self.apply_shard(&write.shard, revision, now);
        }
    }

    /// Writes the shard and withdraws the registration of another VM; the answer arrives.
    pub fn withdraw(&mut self, store: &mut TestStore, other: u64, now: Instant) {
        let write = self.plan_withdrawal(store, other, now);
        if let Some(revision) = store.swap(&write) {
            self.apply_shard(&write.shard, revision, now);
        }
    }

    /// Returns what this process does not need, as the last thing that it does.
    pub fn stop(&mut self, store: &mut TestStore, now: Instant) {
        let write = self.plan_return(store, now);
        store.swap(&write);
    }

    /// Writes the shard with one of the faults that may befall a write.
    pub fn write_with_fault(
        &mut self,
        store: &mut TestStore,
        now: Instant,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        let level = *u.choose(&[WriterLevel::Full, WriterLevel::Full, WriterLevel::Limited])?;
        let write = match u.int_in_range(0..=7)? {
            0 => self.plan_withdrawal(store, 1 - self.vm, now),
            _ => self.plan(store, level, now),
        };
        match u.int_in_range(0..=2)? {
            0 => store.late.push(write),
            1 => {
                // The answer is lost.
                store.swap(&write);
            }
            _ => {
                // The store comes back between the reading and the writing.
                store.come_back(u, now)?;
                store.swap(&write);
            }
        }
        Ok(())
    }

    /// Serves a request, if the tokens are there; returns the tokens spent.
    pub fn serve(&mut self, budget: usize, cost: u64, now: Instant) -> u64 {
        let cost = TokenCount(cost);
        let holding = &mut self.holdings[budget];
        holding.record_request(cost, now);
        if holding.reserve(cost, now).is_err() {
            self.waiting[budget] += cost.0;
            return 0;
        }
        holding.settle(cost, cost);
        cost.0
    }
}
