//! Registrations of VMs in a shard: how they begin, pass to later processes and end, and what is
//! known of VMs that have ended.

use indexmap::IndexMap;
use snipegate_types::BootTimestamp;
use snipegate_types::TokenCount;

use super::BudgetShard;
use crate::era_report::ReportState;
use crate::era_report::UnsettledVm;
use crate::shard_writer::ShardWriter;
use crate::shard_writer::WriterLevel;
use crate::shard_writer::WriterState;

/// Maximum number of withdrawn registrations that are kept, for reports in later eras.
const MAX_WITHDRAWN_WRITERS: usize = 64;

impl BudgetShard {
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
}
