//! What falls due later.

use std::collections::BTreeMap;
use std::time::Instant;

use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::RequestId;

use crate::claim::ReservationId;

/// Something to look at when its time comes. It may be of no interest by then.
#[derive(Clone, Debug)]
pub(crate) enum EscrowTimer {
    /// An attempt has waited long enough.
    WaitLimit {
        budget: BudgetId,
        reservation: ReservationId,
    },
    /// The ledger may be asked for a grant again.
    TopUpDue(BudgetId),
    /// The ledger has had its time; ask peers for tokens.
    TransferDue(BudgetId),
    /// Peers asked for tokens have had their time.
    AskDue(BudgetId),
    /// An unacknowledged transfer is sent again.
    GiveDue(IncarnationId),
    /// Copies of a bill are sent, perhaps again.
    CopyDue(RequestId),
    /// A bill has to be safe by now.
    BillLimit {
        request: RequestId,
        reservation: ReservationId,
    },
    /// A copy held for another router is posted.
    PostDue {
        holder: IncarnationId,
        request: RequestId,
    },
    /// Copies held are handed over while stopping.
    HandOverDue,
    /// The next budgets are looked over.
    SweepDue,
}

/// Timers in order of time.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    timers: BTreeMap<(Instant, u64), EscrowTimer>,
    next: u64,
}

impl TimerQueue {
    pub(crate) fn set(&mut self, time: Instant, timer: EscrowTimer) {
        self.timers.insert((time, self.next), timer);
        self.next += 1;
    }

    /// Takes out the earliest timer that is due.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<EscrowTimer> {
        let entry = self.timers.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}
