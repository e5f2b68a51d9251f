//! Fencing of dead incarnations, and graceful shutdown.

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

/// Progress of fencing one incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct FenceProgress {
    /// For each shard, the queue position before which all operations need results.
    awaited: IndexMap<ShardId, u64>,
    /// Whether completion was reported since the keeper last asked.
    reported: bool,
}

impl RouterEscrow {
    /// Ignores further messages of `dead`, and posts the copies that depend on it.
    pub(crate) fn fence(&mut self, dead: IncarnationId, now: Instant) {
        if dead == self.own_id {
            self.close();
            return;
        }
        if let Some(progress) = self.fences.get_mut(&dead) {
            // The keeper asks again because it did not receive the report.
            progress.reported = false;
            return;
        }
        self.cancel_transfer(&dead);
        let keys: Vec<_> = self
            .held_copies
            .iter()
            .filter(|(_, held)| held.depends_on(&dead))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.post_copy(key, now);
        }
        let awaited = self
            .queues
            .iter()
            .filter_map(|(&shard, queue)| {
                let end = queue.position_after_last(|operation| involves(operation, &dead))?;
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

    /// Reports the fences whose operations all have ledger results.
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
            self.emit(EscrowEffect::FenceCompleted { dead });
        }
    }

    /// Begins the graceful shutdown.
    pub(crate) fn stop(&mut self, now: Instant) {
        if self.state != EscrowState::Open {
            return;
        }
        self.state = EscrowState::Stopping;
        self.refuse_all_waiting();
        self.post_all_copies(now);
        self.timers.set(now, EscrowTimer::HandOverDue);
    }

    /// Releases all holdings once no reservation, bill, copy or operation is pending.
    pub(crate) fn advance_stop(&mut self) {
        let busy = !self.reservations.is_empty()
            || !self.pending_bills.is_empty()
            || !self.held_copies.is_empty()
            || self.queues.values().any(|queue| !queue.is_empty());
        if self.state != EscrowState::Stopping || self.unreleased_shards.is_some() || busy {
            return;
        }
        self.budgets.clear();
        let shards: IndexSet<ShardId> = self.queues.keys().copied().collect();
        for &shard in &shards {
            self.enqueue(shard, LedgerOperation::Release);
        }
        self.unreleased_shards = Some(shards);
        self.check_all_released();
    }

    /// Records that a shard has processed the release.
    pub(crate) fn handle_release_result(&mut self, shard: ShardId) {
        if let Some(shards) = self.unreleased_shards.as_mut() {
            shards.swap_remove(&shard);
        }
        self.check_all_released();
    }

    /// Completes the shutdown if every shard has processed the release.
    fn check_all_released(&mut self) {
        let released = self
            .unreleased_shards
            .as_ref()
            .is_some_and(IndexSet::is_empty);
        if released && self.state == EscrowState::Stopping {
            self.state = EscrowState::Stopped;
            self.emit(EscrowEffect::Stopped);
        }
    }
}

/// Returns whether an operation is a transfer from or to `dead`, or a bill on its holding.
fn involves(operation: &LedgerOperation, dead: &IncarnationId) -> bool {
    match operation {
        LedgerOperation::NoteTransfer {
            giver, receiver, ..
        } => giver == dead || receiver == dead,
        LedgerOperation::Bill { holder, .. } => holder == dead,
        _ => false,
    }
}
