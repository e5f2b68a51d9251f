//! Settlement of reservations, and bills that the ledger has not yet confirmed.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationRefusal;
use snipegate_ledger::OperationResult;
use snipegate_types::BudgetId;
use snipegate_types::RequestId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

use crate::batch::RESULT_FORGOTTEN;
use crate::claim::ReservationId;
use crate::copy::CopyRequest;
use crate::counter::EscrowCounter;
use crate::effect::EscrowEffect;
use crate::escrow::EscrowState;
use crate::escrow::RouterEscrow;
use crate::message::EscrowMessage;
use crate::timer::EscrowTimer;

/// A bill without a ledger result.
#[derive(Clone, Debug)]
pub(crate) struct PendingBill {
    pub(crate) budget: BudgetId,
    pub(crate) shard: ShardId,
    /// Position of the bill among the operations sent to the shard.
    pub(crate) position: u64,
    pub(crate) amount: TokenCount,
    /// When the reservation was settled.
    pub(crate) settled_at: Instant,
    /// Settled reservations of the request whose outcome is not yet reported.
    pub(crate) waiters: Vec<ReservationId>,
    /// Whether enough other routers hold a copy.
    pub(crate) is_replicated: bool,
    /// Routers that were asked to hold a copy.
    pub(crate) copy_requests: Vec<CopyRequest>,
}

impl PendingBill {
    /// Returns whether the outcome was reported, as safe or unsafe, to every
    /// reservation.
    pub(crate) fn has_no_waiters(&self) -> bool {
        self.waiters.is_empty()
    }
}

/// Recently billed requests and their amounts.
#[derive(Debug, Default)]
pub(crate) struct BilledRequests {
    amounts: IndexMap<RequestId, TokenCount>,
    order: VecDeque<(Instant, RequestId)>,
}

impl BilledRequests {
    /// Records a billed request.
    fn insert(&mut self, request: RequestId, amount: TokenCount, now: Instant) {
        if self.amounts.insert(request, amount).is_none() {
            self.order.push_back((now, request));
        }
    }

    /// Returns the billed amount of a request.
    fn amount(&self, request: RequestId) -> Option<TokenCount> {
        self.amounts.get(&request).copied()
    }

    /// Removes entries older than `age`.
    pub(crate) fn prune(&mut self, age: Duration, now: Instant) {
        while let Some(&(time, request)) = self.order.front() {
            if now.saturating_duration_since(time) < age {
                return;
            }
            self.order.pop_front();
            self.amounts.swap_remove(&request);
        }
    }
}

impl RouterEscrow {
    /// Closes a reservation and bills its request for `used` tokens.
    ///
    /// The bill is capped at the reserved amount. `EscrowEffect::BillSafe` or
    /// `EscrowEffect::BillUnsafe` follows within the `bill_timeout` setting. Does
    /// nothing if the reservation is not open.
    pub fn settle(&mut self, reservation: ReservationId, used: TokenCount, now: Instant) {
        let Some(open) = self.reservations.swap_remove(&reservation) else {
            return;
        };
        let bill = used.min(open.amount);
        let window = self.settings.rate_window;
        let Some(holding) = self.budgets.get_mut(&open.budget) else {
            return;
        };
        let shard = holding.shard;
        holding.reserved = holding.reserved.saturating_sub(open.amount);
        holding.demand.record(bill, window, now);
        let unused = open.amount.saturating_sub(bill);
        let charged = match self.billed.amount(open.request) {
            None if !self.pending_bills.contains_key(&open.request) => {
                holding.billed = holding.billed.saturating_add(bill);
                true
            }
            _ => false,
        };
        holding.credit(if charged { unused } else { open.amount });
        if charged {
            self.post_bill(reservation, open.request, &open.budget, shard, bill, now);
        } else {
            self.join_bill(reservation, open.request, now);
        }
        self.admit_waiting(&open.budget, now);
        self.top_up(&open.budget, now);
    }

    /// Closes a reservation without billing its request. Does nothing if the
    /// reservation is not open.
    pub fn cancel(&mut self, reservation: ReservationId, now: Instant) {
        let Some(open) = self.reservations.swap_remove(&reservation) else {
            return;
        };
        if let Some(holding) = self.budgets.get_mut(&open.budget) {
            holding.reserved = holding.reserved.saturating_sub(open.amount);
            holding.credit(open.amount);
        }
        self.admit_waiting(&open.budget, now);
    }

    /// Queues a bill for the ledger and schedules its copies and its timeout.
    fn post_bill(
        &mut self,
        reservation: ReservationId,
        request: RequestId,
        budget: &BudgetId,
        shard: ShardId,
        amount: TokenCount,
        now: Instant,
    ) {
        let position = self.next_position(shard);
        let bill = LedgerOperation::Bill {
            request,
            budget: budget.clone(),
            amount,
            holder: self.own_id.clone(),
            position: Some(position),
        };
        let copy_pause = match self.is_reachable(shard, now) {
            true => self.settings.copy_after,
            false => Duration::ZERO,
        };
        self.enqueue(shard, bill);
        let pending = PendingBill {
            budget: budget.clone(),
            shard,
            position,
            amount,
            settled_at: now,
            waiters: vec![reservation],
            is_replicated: false,
            copy_requests: Vec::new(),
        };
        self.pending_bills.insert(request, pending);
        self.timers
            .set(now + copy_pause, EscrowTimer::CopyDue(request));
        self.set_bill_timeout(reservation, request, now);
        if self.state == EscrowState::Closed {
            self.fail_pending_bills();
        }
    }

    /// Sets the timer after which the bill is reported unsafe to `reservation`.
    fn set_bill_timeout(&mut self, reservation: ReservationId, request: RequestId, now: Instant) {
        self.timers.set(
            now + self.settings.bill_timeout,
            EscrowTimer::BillTimeout {
                request,
                reservation,
            },
        );
    }

    /// Attaches a reservation to the existing bill of its request.
    fn join_bill(&mut self, reservation: ReservationId, request: RequestId, now: Instant) {
        self.count(EscrowCounter::BillDuplicate);
        if let Some(amount) = self.billed.amount(request) {
            self.emit(EscrowEffect::BillSafe {
                reservation,
                request,
                amount,
            });
            return;
        }
        let Some(pending) = self.pending_bills.get_mut(&request) else {
            return;
        };
        if pending.is_replicated {
            let amount = pending.amount;
            self.emit(EscrowEffect::BillSafe {
                reservation,
                request,
                amount,
            });
            return;
        }
        pending.waiters.push(reservation);
        self.timers.set(now, EscrowTimer::CopyDue(request));
        self.set_bill_timeout(reservation, request, now);
    }

    /// Reports a safe bill to the settled reservations of its request.
    pub(crate) fn report_safe(
        &mut self,
        request: RequestId,
        waiters: Vec<ReservationId>,
        amount: TokenCount,
        counter: EscrowCounter,
    ) {
        for reservation in waiters {
            self.count(counter);
            self.emit(EscrowEffect::BillSafe {
                reservation,
                request,
                amount,
            });
        }
    }

    /// Handles the ledger's result for a bill of this router.
    pub(crate) fn handle_bill_result(
        &mut self,
        request: RequestId,
        result: OperationResult,
        now: Instant,
    ) {
        let (charged, own_charge) = match result {
            RESULT_FORGOTTEN => match self.pending_bills.get(&request) {
                Some(pending) => (pending.amount, true),
                None => return,
            },
            OperationResult::Billed { amount, first } => (amount, first),
            OperationResult::Refused(OperationRefusal::HolderClosed) => return self.close(),
            _ => return self.fail_bill(request),
        };
        let Some(pending) = self.pending_bills.swap_remove(&request) else {
            return;
        };
        if let Some(holding) = self.budgets.get_mut(&pending.budget) {
            holding.billed = holding.billed.saturating_sub(pending.amount);
            // A different amount means that another bill of the request was charged. If
            // this router posted that one, its tokens were deducted separately.
            if !own_charge || charged != pending.amount {
                holding.credit(pending.amount);
            }
        }
        if !own_charge {
            self.count(EscrowCounter::BillDuplicate);
        }
        self.billed.insert(request, charged, now);
        let counter = EscrowCounter::BillSafeLedger;
        self.report_safe(request, pending.waiters, charged, counter);
        for copy in pending.copy_requests {
            let holder = self.own_id.clone();
            self.send(copy.peer, EscrowMessage::DropBill { request, holder });
        }
        self.admit_waiting(&pending.budget, now);
    }

    /// Reports a bill that the ledger refused as unsafe. Its tokens stay deducted.
    fn fail_bill(&mut self, request: RequestId) {
        self.count(EscrowCounter::LedgerFault);
        if let Some(pending) = self.pending_bills.swap_remove(&request) {
            for reservation in pending.waiters {
                self.report_unsafe(reservation, request, false);
            }
        }
    }

    /// Reports a bill as unsafe to a reservation whose bill timeout expired.
    ///
    /// Withdraws the bill if it was never sent to any process and no other reservation
    /// waits for it.
    pub(crate) fn expire_bill_wait(
        &mut self,
        request: RequestId,
        reservation: ReservationId,
        now: Instant,
    ) {
        let Some(pending) = self.pending_bills.get_mut(&request) else {
            return;
        };
        let before = pending.waiters.len();
        pending.waiters.retain(|&waiter| waiter != reservation);
        if pending.waiters.len() == before {
            return;
        }
        let can_withdraw = pending.waiters.is_empty() && pending.copy_requests.is_empty();
        let withdrawn = can_withdraw && self.withdraw_bill(request, now);
        // Blocks admission only if operations are queued, since their results unblock
        // it. With empty queues no result would arrive to do so.
        self.admission_blocked = self.queues.values().any(|queue| !queue.is_empty());
        self.report_unsafe(reservation, request, withdrawn);
    }

    /// Removes a bill that was never sent and releases its tokens.
    ///
    /// Returns false if the bill may have been sent.
    fn withdraw_bill(&mut self, request: RequestId, now: Instant) -> bool {
        let Some(pending) = self.pending_bills.get(&request) else {
            return false;
        };
        let (budget, amount) = (pending.budget.clone(), pending.amount);
        let is_bill = |operation: &LedgerOperation| matches!(operation, LedgerOperation::Bill { request: other, .. } if *other == request);
        let withdrawn = self
            .queues
            .get_mut(&pending.shard)
            .is_some_and(|queue| queue.withdraw(is_bill));
        if !withdrawn {
            return false;
        }
        self.pending_bills.swap_remove(&request);
        if let Some(holding) = self.budgets.get_mut(&budget) {
            holding.billed = holding.billed.saturating_sub(amount);
            holding.credit(amount);
        }
        self.admit_waiting(&budget, now);
        true
    }

    /// Reports a bill as unsafe to one reservation.
    fn report_unsafe(&mut self, reservation: ReservationId, request: RequestId, withdrawn: bool) {
        self.count(match withdrawn {
            true => EscrowCounter::BillWithdrawn,
            false => EscrowCounter::BillUnconfirmed,
        });
        self.emit(EscrowEffect::BillUnsafe {
            reservation,
            request,
            withdrawn,
        });
    }

    /// Reports every unconfirmed bill as unsafe when the escrow closes.
    pub(crate) fn fail_pending_bills(&mut self) {
        let waiting: Vec<(RequestId, ReservationId)> = self
            .pending_bills
            .iter_mut()
            .flat_map(|(&request, pending)| {
                let waiting = std::mem::take(&mut pending.waiters);
                waiting.into_iter().map(move |waiter| (request, waiter))
            })
            .collect();
        for (request, reservation) in waiting {
            self.report_unsafe(reservation, request, false);
        }
    }
}
