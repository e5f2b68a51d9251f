//! What a process remembers of a shard of the budget records, for reports in later eras of the
//! store.

use indexmap::IndexMap;
use snipegate_types::TokenCount;

use crate::budget_shard::BudgetShard;
use crate::era_report::GrantKnowledge;

/// Tokens that a VM's ended processes may have used, keyed by the hash of the workspace id.
pub type EndedByWorkspace = IndexMap<u64, TokenCount>;

/// Memory of one process about one shard.
#[derive(Clone, Debug)]
pub struct ShardMemory {
    /// The process's VM, as a hash of its id.
    vm: u64,
    incarnation: u64,
    /// What the earlier processes of the VM may have used, once this process has taken over its
    /// registration. No write of theirs can take effect any more, so it is final.
    ended: Option<EndedByWorkspace>,
    /// Last known state of the shard in the era before the present one.
    former: Option<BudgetShard>,
}

impl ShardMemory {
    /// Creates the memory of a process that has not read the shard.
    pub fn new(vm: u64, incarnation: u64) -> Self {
        Self {
            vm,
            incarnation,
            ended: None,
            former: None,
        }
    }

    /// Keeps the last known state of an era that has ended.
    pub fn leave_era(&mut self, shard: BudgetShard) {
        self.former = Some(shard);
    }

    /// Returns the last known state of the shard in the era before the present one.
    pub fn former(&self) -> Option<&BudgetShard> {
        self.former.as_ref()
    }

    /// Records a state of the shard that shows all writes of its era up to then.
    pub fn observe(&mut self, shard: &BudgetShard) {
        let is_own = |incarnation| incarnation == self.incarnation;
        let has_taken_over = shard
            .writer(self.vm)
            .is_some_and(|writer| is_own(writer.incarnation));
        if self.ended.is_none() && has_taken_over && !shard.is_vm_unsettled(self.vm) {
            self.ended = Some(shard.ended_of(self.vm));
        }
    }

    /// Returns what the process knows of the grants of its VM that the store may have lost.
    /// `is_old` tells that it was there before the oldest copy from which the store can have
    /// come back.
    pub fn knowledge(&self, is_old: bool) -> GrantKnowledge {
        match (&self.ended, is_old) {
            (Some(ended), _) => GrantKnowledge::Complete {
                ended: Some(ended.clone()),
            },
            (None, _) => GrantKnowledge::of_age(is_old),
        }
    }
}
