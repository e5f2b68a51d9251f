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

use crate::budget_record::BudgetRecord;
use crate::budget_record::BudgetView;
use crate::budget_record::GrantLimit;
use crate::budget_record::GrantRequest;
use crate::budget_record::UnclaimedTokens;
use crate::shard_writer::ShardWriter;
use crate::shard_writer::WriterLevel;

/// Whether a process knows all grants that its VM had when the store came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportState {
    /// No process of the VM has reported.
    Missing,
    /// An earlier process of the VM may have been granted tokens that the store lost.
    Incomplete,
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
}

/// Report of a process in a new era of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraReport {
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Start time of the process.
    pub began: Option<BootTimestamp>,
    /// Whether the process knows all grants of its VM that the store may have lost.
    pub is_complete: bool,
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
        for writer in &self.writers {
            let level = writer.announced;
            // What an earlier return of the store left open stays so.
            match self
                .unsettled
                .iter_mut()
                .find(|other| other.vm == writer.vm)
            {
                Some(known) => known.level = known.level.max(level),
                None => self.unsettled.push(UnsettledVm {
                    vm: writer.vm,
                    since,
                    level,
                    state: ReportState::Missing,
                }),
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
        !self.unsettled.is_empty()
    }

    /// Returns the first era that began without the grants that a VM has to report; `None` if it
    /// does not have to.
    pub fn awaits_report(&self, vm: u64) -> Option<StoreEra> {
        let mut unsettled = self.unsettled.iter();
        let own = unsettled.find(|other| other.vm == vm)?;
        (own.state == ReportState::Missing).then_some(own.since)
    }

    /// Returns whether every VM has reported, though some can't tell all that they may hold.
    pub fn has_all_reports(&self) -> bool {
        let mut unsettled = self.unsettled.iter();
        self.is_unsettled() && unsettled.all(|other| other.state == ReportState::Incomplete)
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
        let mut forgotten = Vec::new();
        for (&workspace, record) in &mut self.records {
            record.close_earlier_runs(report.vm, report.incarnation, report.began);
            if !report.is_complete {
                continue;
            }
            let tokens = record.forget_former(report.vm);
            if !tokens.is_zero() {
                forgotten.push(WorkspaceTokens { workspace, tokens });
            }
        }
        match report.is_complete {
            true => self.unsettled.retain(|other| other.vm != report.vm),
            false => {
                let own = self
                    .unsettled
                    .iter_mut()
                    .find(|other| other.vm == report.vm);
                if let Some(own) = own {
                    own.state = ReportState::Incomplete;
                }
            }
        }
        forgotten
    }

    /// Ends the wait for reports: what unsettled VMs may hold counts as taken, and what their
    /// ended processes may have held as used. `prepaid` is the
    /// size of each budget, by workspace. Returns the tokens that count so.
    pub fn settle(&mut self, prepaid: &IndexMap<u64, TokenCount>) -> Vec<WorkspaceTokens> {
        let unsettled = std::mem::take(&mut self.unsettled);
        let mut counted = Vec::new();
        for (workspace, record) in &mut self.records {
            let taken_before = record.taken();
            let prepaid = prepaid
                .get(workspace)
                .copied()
                .unwrap_or(TokenCount(u64::MAX));
            for other in &unsettled {
                let left = prepaid.saturating_sub(record.taken());
                let tokens = other.level.max_granted(prepaid).min(left);
                let vm = other.vm;
                match other.state {
                    ReportState::Missing => record.unclaimed.push(UnclaimedTokens { vm, tokens }),
                    ReportState::Incomplete => record.closed = record.closed.saturating_add(tokens),
                }
            }
            counted.push(WorkspaceTokens {
                workspace: *workspace,
                tokens: record.taken().saturating_sub(taken_before),
            });
        }
        counted
    }

    /// Returns the registration of a VM.
    pub fn writer(&self, vm: u64) -> Option<&ShardWriter> {
        self.writers.iter().find(|writer| writer.vm == vm)
    }

    /// Registers a VM with at least a level, where its registration was at `mature` for the age
    /// of the oldest copy; returns whether that changes the shard.
    ///
    /// A level is never lowered: a late write could lower it in a copy, from before the VM was
    /// granted tokens.
    pub fn register(&mut self, vm: u64, level: WriterLevel, mature: WriterLevel) -> bool {
        let before = self.writer(vm).copied();
        let announced = before.map_or(level, |before| before.announced.max(level));
        let known = before.map_or(WriterLevel::None, |before| before.mature);
        let registered = ShardWriter {
            vm,
            announced,
            mature: known.max(mature.min(announced)),
        };
        if before == Some(registered) || announced == WriterLevel::None {
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
            closed: record.map_or(TokenCount::ZERO, |record| record.closed),
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
