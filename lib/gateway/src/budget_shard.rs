//! Several budget records that are stored under one key, and what becomes of them when the
//! store comes back from an older copy.
//!
//! Each VM that was registered before the copy was made reports in the new era: it claims what
//! it holds, whether or not the copy shows it. Nothing else is granted until all have reported.
//! What a VM that can't tell may hold, at most, counts as taken.

use indexmap::IndexMap;
use rmp_serde::decode;
use rmp_serde::encode;
use serde::Deserialize;
use serde::Serialize;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreRevision;
use snipegate_types::BootTimestamp;
use snipegate_types::TokenCount;

use crate::budget_record::BudgetHolder;
use crate::budget_record::BudgetRecord;
use crate::budget_record::BudgetView;
use crate::budget_record::GrantLimit;
use crate::budget_record::GrantRequest;
use crate::budget_record::UnclaimedTokens;
use crate::shard_memory::EndedByWorkspace;
use crate::shard_writer::ShardWriter;
use crate::shard_writer::WriterLevel;
use crate::shard_writer::WriterState;
use crate::spending_witness::SpendingTestimony;

/// Maximum number of withdrawn registrations that are kept, for reports in later eras.
const MAX_WITHDRAWN_WRITERS: usize = 64;

/// Whether a process knows all grants that its VM had when the store came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportState {
    /// No process of the VM has reported.
    Missing,
    /// An earlier process of the VM may have been granted tokens that the store lost.
    Incomplete,
    /// No process of the VM had reported when the wait for reports ended. What it may hold
    /// counts as taken until one does.
    Late,
}

/// A VM that may hold tokens that the records don't show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnsettledVm {
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// First era that began without the grants that it has to report.
    pub since: StoreEra,
    /// Most that it may have been granted.
    pub level: WriterLevel,
    /// What it has reported.
    pub state: ReportState,
    /// Changes of its registration that the copy shows from which the store came back.
    #[serde(default)]
    pub changes: u64,
}

/// Adds a VM to those that have to report; `since` is the first era that began without its
/// grants.
fn await_report(unsettled: &mut Vec<UnsettledVm>, writer: &ShardWriter, since: StoreEra) {
    let known = unsettled.iter_mut().find(|other| other.vm == writer.vm);
    match known {
        Some(known) => {
            known.level = known.level.max(writer.announced);
            known.changes = writer.changes;
        }
        None => unsettled.push(UnsettledVm {
            vm: writer.vm,
            since,
            level: writer.announced,
            state: ReportState::Missing,
            changes: writer.changes,
        }),
    }
}

/// What a process knows of the grants of its VM that the store may have lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantKnowledge {
    /// It knows all of them: those that it holds it claims.
    Complete {
        /// What earlier processes of the VM may have used; `None` if the records show it.
        ended: Option<EndedByWorkspace>,
    },
    /// An earlier process may have been granted tokens that this one does not know.
    Incomplete,
}

impl GrantKnowledge {
    /// Returns the knowledge of a process that remembers nothing of the records. `is_old` tells
    /// that it was there before the oldest copy from which the store can have come back.
    pub fn of_age(is_old: bool) -> Self {
        match is_old {
            true => Self::Complete { ended: None },
            false => Self::Incomplete,
        }
    }
}

/// Report of a process in a new era of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EraReport {
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Start time of the process.
    pub began: Option<BootTimestamp>,
    /// What the process knows of the grants of its VM that the store may have lost.
    pub knowledge: GrantKnowledge,
}

/// Tokens of a budget, as part of a change to its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkspaceTokens {
    /// The workspace, as a hash of its id.
    pub workspace: u64,
    /// Number of tokens.
    pub tokens: TokenCount,
}

/// Tokens of a budget that are known to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedTotals {
    /// Those of processes that have ended.
    pub closed: TokenCount,
    /// Those of all processes.
    pub used: TokenCount,
}

/// The records of several budgets, stored under one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetShard {
    /// Budget records, keyed by the hash of the workspace id.
    pub records: IndexMap<u64, BudgetRecord>,
    /// Era of the store whose writes the records include; if the store is in another one, it
    /// may have lost writes.
    #[serde(default)]
    pub era: StoreEra,
    /// VMs that may be granted tokens.
    #[serde(default)]
    pub writers: Vec<ShardWriter>,
    /// VMs that may hold tokens that the records don't show.
    #[serde(default)]
    pub unsettled: Vec<UnsettledVm>,
}

impl BudgetShard {
    /// Decodes the records from MessagePack.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not valid budget records.
    pub fn decode(bytes: &[u8]) -> Result<Self, decode::Error> {
        rmp_serde::from_slice(bytes)
    }

    /// Encodes the records as MessagePack.
    ///
    /// # Errors
    ///
    /// Fails only if memory cannot be allocated.
    pub fn encode(&self) -> Result<Vec<u8>, encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Prepares the records for an era of the store other than the one that wrote them;
    /// returns whether it is another one.
    pub fn enter_era(&mut self, era: StoreEra) -> bool {
        if self.era == era {
            return false;
        }
        let has_no_eras = self.era == StoreEra::default() && self.writers.is_empty();
        // Writes of all eras in between are lost.
        let since = StoreEra(self.era.0 + 1);
        self.era = era;
        if has_no_eras {
            return true;
        }
        // What an earlier return of the store left open stays so, and has to be told again.
        for known in &mut self.unsettled {
            known.state = ReportState::Missing;
        }
        for writer in &self.writers {
            if writer.announced > WriterLevel::None {
                await_report(&mut self.unsettled, writer, since);
            }
        }
        for record in self.records.values_mut() {
            record.enter_era();
        }
        true
    }

    /// Returns whether VMs may hold tokens that the records don't show, so that nothing is
    /// granted.
    pub fn is_unsettled(&self) -> bool {
        self.awaited().next().is_some()
    }

    /// Returns whether the records may lack what some VM holds, though grants may go on.
    pub fn has_unsettled(&self) -> bool {
        !self.unsettled.is_empty()
    }

    /// Returns the VMs whose reports or whose settlement grants wait for.
    pub fn awaited(&self) -> impl Iterator<Item = &UnsettledVm> {
        let unsettled = self.unsettled.iter();
        unsettled.filter(|other| other.state != ReportState::Late)
    }

    /// Returns whether a VM may hold tokens that the records don't show.
    pub fn is_vm_unsettled(&self, vm: u64) -> bool {
        self.unsettled.iter().any(|other| other.vm == vm)
    }

    /// Returns the first era that began without the grants that a VM has to report; `None` if it
    /// does not have to.
    pub fn awaits_report(&self, vm: u64) -> Option<StoreEra> {
        let mut unsettled = self.unsettled.iter();
        let own = unsettled.find(|other| other.vm == vm)?;
        (own.state != ReportState::Incomplete).then_some(own.since)
    }

    /// Returns whether every VM has reported, though some can't tell all that they may hold.
    pub fn has_all_reports(&self) -> bool {
        let is_incomplete = |other: &UnsettledVm| other.state == ReportState::Incomplete;
        self.is_unsettled() && self.awaited().all(is_incomplete)
    }

    /// Applies all claims of a process and records its report. Returns the grants of earlier
    /// eras that were removed because it did not claim them.
    ///
    /// `claims` has to include every grant that the process holds and that the records of this
    /// era do not show yet.
    pub fn report(&mut self, report: &EraReport, claims: &[GrantRequest]) -> Vec<WorkspaceTokens> {
        for claim in claims {
            self.apply(claim, TokenCount::ZERO);
        }
        self.close_reporter(report);
        let is_complete = report.knowledge != GrantKnowledge::Incomplete;
        match is_complete {
            true => self.unsettled.retain(|other| other.vm != report.vm),
            false => self.await_settlement(report.vm),
        }
        if !is_complete {
            return Vec::new();
        }
        let forget = |(&workspace, record): (&u64, &mut BudgetRecord)| WorkspaceTokens {
            workspace,
            tokens: record.forget_former(report.vm),
        };
        let forgotten = self.records.iter_mut().map(forget);
        forgotten.filter(|grant| !grant.tokens.is_zero()).collect()
    }

    /// Leaves what a VM may hold, and none of its processes can tell, to the settlement. If that
    /// has been, it counts as used.
    fn await_settlement(&mut self, vm: u64) {
        let mut unsettled = self.unsettled.iter_mut();
        let Some(own) = unsettled.find(|other| other.vm == vm) else {
            return;
        };
        if own.state == ReportState::Late {
            self.unsettled.retain(|other| other.vm != vm);
            let records = self.records.values_mut();
            records.for_each(|record| record.end_unclaimed(vm));
        } else {
            own.state = ReportState::Incomplete;
        }
    }

    /// Counts what earlier processes of the reporter's VM may have used, and removes their
    /// grants.
    fn close_reporter(&mut self, report: &EraReport) {
        if let GrantKnowledge::Complete { ended: Some(ended) } = &report.knowledge {
            for workspace in ended.keys() {
                self.records.entry(*workspace).or_default();
            }
            for (workspace, record) in &mut self.records {
                let tokens = ended.get(workspace).copied().unwrap_or_default();
                record.replace_earlier_runs(report.vm, report.incarnation, tokens);
            }
        } else {
            for record in self.records.values_mut() {
                record.close_earlier_runs(report.vm, report.incarnation, report.began);
            }
        }
        let mut writers = self.writers.iter_mut();
        let own = writers.find(|writer| writer.vm == report.vm);
        if let Some(own) = own.filter(|own| own.incarnation != report.incarnation) {
            own.take_over(report.incarnation);
        }
    }

    /// Counts what earlier processes of a VM may have used, and lets a process take over its
    /// registration, so that no write of theirs takes effect any more; returns whether that
    /// changes the shard. A VM that has to report does both in its report.
    pub fn take_over(&mut self, vm: u64, incarnation: u64, began: Option<BootTimestamp>) -> bool {
        if self.is_vm_unsettled(vm) {
            return false;
        }
        let mut changed = false;
        for record in self.records.values_mut() {
            changed |= record.close_earlier_runs(vm, incarnation, began);
        }
        let mut writers = self.writers.iter_mut();
        let own = writers.find(|writer| writer.vm == vm);
        let Some(own) = own.filter(|own| own.incarnation != incarnation) else {
            return changed;
        };
        own.take_over(incarnation);
        true
    }

    /// Ends a process of a VM as planned: what it was granted and has not returned counts as
    /// used; returns whether that changes the shard.
    pub fn end_process(&mut self, vm: u64, incarnation: u64) -> bool {
        let mut changed = false;
        for record in self.records.values_mut() {
            changed |= record.end_process(vm, incarnation);
        }
        let mut writers = self.writers.iter_mut();
        let own = writers.find(|writer| writer.vm == vm && writer.is_running(incarnation));
        let Some(own) = own else {
            return changed;
        };
        own.end();
        true
    }

    /// Withdraws the registration of a VM whose process has ended or is absent; returns whether
    /// that changes the shard.
    pub fn withdraw(&mut self, vm: u64) -> bool {
        let mut writers = self.writers.iter_mut();
        let writer = writers.find(|writer| writer.vm == vm);
        let Some(writer) = writer.filter(|writer| writer.mature > WriterLevel::None) else {
            return false;
        };
        writer.withdraw();
        true
    }

    /// Returns whether [`BudgetShard::lower_announced`] would change the shard.
    pub fn can_lower_announced(&self) -> bool {
        self.writers.iter().any(ShardWriter::can_lower_announced)
    }

    /// Lowers the announced levels of VMs whose processes have ended or are absent, in a shard as
    /// the store shows it; returns whether that changes the shard.
    pub fn lower_announced(&mut self) -> bool {
        let mut changed = false;
        for writer in &mut self.writers {
            changed |= writer.lower_announced();
        }
        let is_withdrawn = |writer: &ShardWriter| {
            writer.announced == WriterLevel::None && writer.state != WriterState::Running
        };
        let withdrawn = self.writers.iter().filter(|writer| is_withdrawn(writer));
        let mut excess = withdrawn.count().saturating_sub(MAX_WITHDRAWN_WRITERS);
        self.writers.retain(|writer| {
            let is_kept = excess == 0 || !is_withdrawn(writer);
            excess -= usize::from(!is_kept);
            is_kept
        });
        changed
    }

    /// Returns the VMs whose grants an earlier state of the shard tells: `former` is the last
    /// known state of the era before, it shows that the VM's process had ended or was absent,
    /// and this era began with an older state or the same.
    pub fn known_from(&self, former: &BudgetShard) -> Vec<UnsettledVm> {
        if former.era.0 + 1 != self.era.0 {
            return Vec::new();
        }
        let is_known = |other: &&UnsettledVm| {
            former.writer(other.vm).is_some_and(|writer| {
                writer.state != WriterState::Running
                    && writer.changes >= other.changes
                    && writer.mature < other.level
            }) && !former.is_vm_unsettled(other.vm)
        };
        self.unsettled.iter().filter(is_known).copied().collect()
    }

    /// Replaces what the records show of a VM by what an earlier state of the shard shows, see
    /// [`BudgetShard::known_from`]. `prepaid` is the size of each budget, by workspace.
    pub fn adopt(
        &mut self,
        former: &BudgetShard,
        known: &UnsettledVm,
        prepaid: &IndexMap<u64, TokenCount>,
    ) {
        let vm = known.vm;
        let Some(writer) = former.writer(vm).copied() else {
            return;
        };
        for workspace in former.records.keys() {
            self.records.entry(*workspace).or_default();
        }
        for (workspace, record) in &mut self.records {
            let shown = former.records.get(workspace).cloned().unwrap_or_default();
            let prepaid = prepaid.get(workspace).copied();
            let most = writer
                .mature
                .max_granted(prepaid.unwrap_or(TokenCount(u64::MAX)));
            record.adopt(vm, &shown, most, known.state == ReportState::Incomplete);
        }
        if let Some(own) = self.writers.iter_mut().find(|own| own.vm == vm)
            && known.state != ReportState::Incomplete
        {
            *own = writer;
        }
        match writer.mature {
            WriterLevel::None => self.unsettled.retain(|other| other.vm != vm),
            level => {
                let mut unsettled = self.unsettled.iter_mut();
                if let Some(other) = unsettled.find(|other| other.vm == vm) {
                    other.level = level;
                }
            }
        }
    }

    /// Lowers the grants of an ended process of a VM to what it can have spent by its promises.
    pub fn apply_testimony(
        &mut self,
        vm: u64,
        testimony: &SpendingTestimony,
        end: Option<BootTimestamp>,
    ) {
        for (workspace, promised) in &testimony.paces {
            if let Some(record) = self.records.get_mut(workspace) {
                record.apply_testimony(vm, testimony, promised, end);
            }
        }
    }

    /// Returns the grants of earlier processes of a VM.
    pub fn earlier_holders(
        &self,
        vm: u64,
        incarnation: u64,
    ) -> impl Iterator<Item = &BudgetHolder> {
        let records = self.records.values();
        let holders = records.flat_map(|record| &record.holders);
        holders.filter(move |holder| holder.vm == vm && holder.incarnation != incarnation)
    }

    /// Drops which VMs' ended processes used tokens, for a store that never comes back from a
    /// copy.
    pub fn merge_ended(&mut self) {
        self.records
            .values_mut()
            .for_each(BudgetRecord::merge_ended);
    }

    /// Returns what the ended processes of a VM may have used.
    pub fn ended_of(&self, vm: u64) -> EndedByWorkspace {
        let all = self.records.iter();
        all.map(|(workspace, record)| (*workspace, record.ended_of(vm)))
            .filter(|(_, tokens)| !tokens.is_zero())
            .collect()
    }

    /// Ends the wait for reports: what unsettled VMs may hold counts as taken, and what their
    /// ended processes may have held as used. `prepaid` is the
    /// size of each budget of the shard, by workspace. Returns the tokens that count so.
    pub fn settle(&mut self, prepaid: &IndexMap<u64, TokenCount>) -> Vec<WorkspaceTokens> {
        let unsettled: Vec<UnsettledVm> = self.awaited().copied().collect();
        // The copy may be older than a budget's first grant.
        for workspace in prepaid.keys() {
            self.records.entry(*workspace).or_default();
        }
        let mut counted = Vec::new();
        for (workspace, record) in &mut self.records {
            let taken_before = record.taken();
            let prepaid = prepaid
                .get(workspace)
                .copied()
                .unwrap_or(TokenCount(u64::MAX));
            // Each VM's tokens count by themselves, since those of another may come back.
            let left = prepaid.saturating_sub(taken_before);
            for other in &unsettled {
                let tokens = other.level.max_granted(prepaid).min(left);
                let vm = other.vm;
                match other.state {
                    ReportState::Missing | ReportState::Late => {
                        record.unclaimed.push(UnclaimedTokens { vm, tokens });
                    }
                    ReportState::Incomplete => record.add_ended(vm, tokens),
                }
            }
            counted.push(WorkspaceTokens {
                workspace: *workspace,
                tokens: record.taken().saturating_sub(taken_before),
            });
        }
        self.unsettled
            .retain(|other| other.state != ReportState::Incomplete);
        for other in &mut self.unsettled {
            other.state = ReportState::Late;
        }
        counted
    }

    /// Returns the registration of a VM.
    pub fn writer(&self, vm: u64) -> Option<&ShardWriter> {
        self.writers.iter().find(|writer| writer.vm == vm)
    }

    /// Registers a VM with at least a level, where its registration was at `mature` for the age
    /// of the oldest copy; returns whether that changes the shard. `incarnation` is that of the
    /// process, which has taken over any earlier registration.
    ///
    /// A level is not lowered while the process runs.
    pub fn register(
        &mut self,
        vm: u64,
        incarnation: u64,
        level: WriterLevel,
        mature: WriterLevel,
    ) -> bool {
        let before = self.writer(vm).copied();
        let new = ShardWriter {
            vm,
            announced: level,
            mature: WriterLevel::None,
            incarnation,
            state: WriterState::Running,
            changes: 0,
        };
        let mut registered = before.unwrap_or(new);
        registered.register(level, mature);
        if before == Some(registered) || registered.announced == WriterLevel::None {
            return false;
        }
        self.writers.retain(|writer| writer.vm != vm);
        self.writers.push(registered);
        true
    }

    /// Returns the limits on grants to a VM, of a budget of `prepaid` tokens.
    pub fn grant_limit(&self, vm: u64, prepaid: TokenCount) -> GrantLimit {
        let level = self.writer(vm).map_or(WriterLevel::None, |own| own.mature);
        match self.is_unsettled() {
            true => GrantLimit::whole(TokenCount::ZERO),
            false => GrantLimit {
                total: prepaid,
                own: level.max_granted(prepaid),
            },
        }
    }

    /// Applies a grant request to its record, for a budget of `prepaid` tokens; returns whether
    /// the record changed. A request for another era is ignored.
    pub fn apply(&mut self, request: &GrantRequest, prepaid: TokenCount) -> bool {
        if request.era != self.era {
            return false;
        }
        let limit = self.grant_limit(request.vm, prepaid);
        let record = self.records.entry(request.workspace).or_default();
        record.apply(request, limit)
    }

    /// Returns the tokens of a budget that are known to be used, in all and by processes that
    /// have ended.
    pub fn totals_closed(&self, workspace: u64) -> ClosedTotals {
        let record = self.records.get(&workspace);
        ClosedTotals {
            closed: record.map_or(TokenCount::ZERO, BudgetRecord::closed_total),
            used: record.map_or(TokenCount::ZERO, BudgetRecord::used),
        }
    }

    /// Returns the view of a budget of `prepaid` tokens for one process.
    pub fn view(
        &self,
        workspace: u64,
        revision: StoreRevision,
        vm: u64,
        incarnation: u64,
        prepaid: TokenCount,
    ) -> BudgetView {
        let mut view = match self.records.get(&workspace) {
            Some(record) => record.view(workspace, revision, vm, incarnation),
            None => BudgetRecord::default().view(workspace, revision, vm, incarnation),
        };
        let level = self.writer(vm).map_or(WriterLevel::None, |own| own.mature);
        if level < WriterLevel::Full || self.is_unsettled() {
            let limit = self.grant_limit(vm, prepaid);
            let taken = view.totals.taken;
            view.totals.limit = taken.saturating_add(limit.grantable(taken, view.own_granted));
        }
        view
    }
}
