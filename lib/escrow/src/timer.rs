//! Timers of the escrow.

use std::collections::BTreeMap;
use std::time::Instant;

use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::RequestId;

use crate::claim::ReservationId;

/// The action of a timer. It has no effect if it is no longer applicable when due.
#[derive(Clone, Debug)]
pub(crate) enum EscrowTimer {
    /// A waiting claim reached its wait timeout.
    WaitTimeout {
        budget: BudgetId,
        reservation: ReservationId,
    },
    /// A refused grant may be requested again.
    TopUpDue(BudgetId),
    /// The ledger did not answer in time; peers are asked for tokens.
    AskPeersDue(BudgetId),
    /// Peers did not answer a request for tokens in time.
    PeerAskTimeout(BudgetId),
    /// An unacknowledged transfer is to be sent again.
    TransferResendDue(IncarnationId),
    /// Copies of a bill are to be sent, for the first time or again.
    CopyDue(RequestId),
    /// The time for a bill to become safe has expired.
    BillTimeout {
        request: RequestId,
        reservation: ReservationId,
    },
    /// A copy held for another router is to be posted.
    CopyPostDue {
        holder: IncarnationId,
        request: RequestId,
    },
    /// Held copies are to be handed over while stopping.
    HandOverDue,
    /// The next sweep is due.
    SweepDue,
}

/// A queue of timers, ordered by due time.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    timers: BTreeMap<(Instant, u64), EscrowTimer>,
    next: u64,
}

impl TimerQueue {
    /// Adds a timer that is due at `time`.
    pub(crate) fn set(&mut self, time: Instant, timer: EscrowTimer) {
        self.timers.insert((time, self.next), timer);
        self.next += 1;
    }

    /// Removes and returns the earliest timer that is due.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<EscrowTimer> {
        let entry = self.timers.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}
