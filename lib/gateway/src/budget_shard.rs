//! Several budget records that are stored under one key, and what becomes of them when the
//! store comes back from an older copy.
//!
//! Each VM that was registered before the copy was made reports in the new era: it claims what
//! it holds, whether or not the copy shows it. Nothing else is granted until all have reported.
//! What a VM that can't tell may hold, at most, counts as taken.

mod registrations;

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
use crate::era_report::EraReport;
use crate::era_report::GrantKnowledge;
use crate::era_report::ReportState;
use crate::era_report::UnsettledVm;
use crate::shard_memory::EndedByWorkspace;
use crate::shard_writer::ShardWriter;
use crate::shard_writer::WriterLevel;
use crate::spending_witness::SpendingTestimony;

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
