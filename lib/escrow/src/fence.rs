//! Fences against dead incarnations, and the graceful stop.

use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use snipegate_ledger::LedgerOperation;
use snipegate_types::IncarnationId;
use snipegate_types::ShardId;

use crate::effect::EscrowEffect;
use crate::escrow::EscrowState;
use crate::escrow::RouterEscrow;
use crate::timer::EscrowTimer;

/// How far the fence against one incarnation has come.
#[derive(Clone, Debug, Default)]
pub(crate) struct FenceProgress {
    /// For each shard, the queue position up to which results are awaited.
    awaited: IndexMap<ShardId, u64>,
    reported: bool,
}

impl RouterEscrow {
    /// Takes nothing more from `dead` and posts what is held from it.
    pub(crate) fn fence(&mut self, dead: IncarnationId, now: Instant) {
        if dead == self.own {
            self.close();
            return;
        }
        if let Some(progress) = self.fences.get_mut(&dead) {
            // The keeper asks again as it has not heard the report.
            progress.reported = false;
            return;
        }
        self.drop_give(&dead);
        let keys: Vec<_> = self
            .held
            .iter()
            .filter(|(_, held)| held.rests_on(&dead))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.post_copy(key, now);
        }
        let awaited = self
            .queues
            .iter()
            .filter_map(|(&shard, queue)| {
                let end = queue.end_of(|operation| concerns(operation, &dead))?;
                Some((shard, end))
            })
            .collect();
        self.fences.insert(
            dead,
            FenceProgress {
                awaited,
                reported: false,
            },
        );
    }

    /// Reports the fences whose operations the ledger has answered.
    pub(crate) fn advance_fences(&mut self) {
        let mut done = Vec::new();
        for (dead, progress) in &mut self.fences {
            let queues = &self.queues;
            progress
                .awaited
                .retain(|shard, end| queues.get(shard).is_some_and(|queue| queue.front() < *end));
            if progress.awaited.is_empty() && !progress.reported {
                progress.reported = true;
                done.push(dead.clone());
            }
        }
        for dead in done {
            self.emit(EscrowEffect::FenceDone { dead });
        }
    }

    /// Begins the graceful stop.
    pub(crate) fn stop(&mut self, now: Instant) {
        if self.state != EscrowState::Open {
            return;
        }
        self.state = EscrowState::Stopping;
        self.refuse_all_waiting();
        self.post_all_copies(now);
        self.timers.set(now, EscrowTimer::HandOverDue);
    }

    /// Releases everything once nothing is open any more.
    pub(crate) fn advance_stop(&mut self) {
        let busy = !self.reservations.is_empty()
            || !self.pending.is_empty()
            || !self.held.is_empty()
            || self.queues.values().any(|queue| !queue.is_empty());
        if self.state != EscrowState::Stopping || self.releasing.is_some() || busy {
            return;
        }
        self.budgets.clear();
        let shards: IndexSet<ShardId> = self.queues.keys().copied().collect();
        for &shard in &shards {
            self.enqueue(shard, LedgerOperation::Release);
        }
        self.releasing = Some(shards);
        self.check_released();
    }

    /// Notes that a shard has taken back what was held there.
    pub(crate) fn end_release(&mut self, shard: ShardId) {
        if let Some(shards) = self.releasing.as_mut() {
            shards.swap_remove(&shard);
        }
        self.check_released();
    }

    fn check_released(&mut self) {
        let released = self.releasing.as_ref().is_some_and(IndexSet::is_empty);
        if released && self.state == EscrowState::Stopping {
            self.state = EscrowState::Stopped;
            self.emit(EscrowEffect::Stopped);
        }
    }
}

/// Tells whether an operation rests on what came from `dead`, or goes to it.
fn concerns(operation: &LedgerOperation, dead: &IncarnationId) -> bool {
    match operation {
        LedgerOperation::NoteTransfer {
            giver, receiver, ..
        } => giver == dead || receiver == dead,
        LedgerOperation::Bill { holder, .. } => holder == dead,
        _ => false,
    }
}
