//! Settlement, and bills on their way to the ledger.

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

use crate::batch::FORGOTTEN;
use crate::claim::ReservationId;
use crate::copy::CopyAsk;
use crate::counter::EscrowCounter;
use crate::effect::EscrowEffect;
use crate::escrow::EscrowState;
use crate::escrow::RouterEscrow;
use crate::message::EscrowMessage;
use crate::timer::EscrowTimer;

/// A bill that the ledger has not answered.
#[derive(Clone, Debug)]
pub(crate) struct PendingBill {
    pub(crate) budget: BudgetId,
    pub(crate) shard: ShardId,
    /// Position of the bill among what is sent to the shard.
    pub(crate) position: u64,
    pub(crate) amount: TokenCount,
    pub(crate) settled: Instant,
    /// Settled reservations of the request that have not been told the result.
    pub(crate) waiting: Vec<ReservationId>,
    /// Whether enough copies are held elsewhere.
    pub(crate) copied: bool,
    /// Routers asked to hold a copy.
    pub(crate) copies: Vec<CopyAsk>,
}

impl PendingBill {
    /// Tells whether nobody waits for it and it can't be lost with this
    /// process, or was reported as not safe.
    pub(crate) fn is_settled(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// The requests billed lately, with what they were billed.
#[derive(Debug, Default)]
pub(crate) struct BilledRequests {
    amounts: IndexMap<RequestId, TokenCount>,
    order: VecDeque<(Instant, RequestId)>,
}

impl BilledRequests {
    fn insert(&mut self, request: RequestId, amount: TokenCount, now: Instant) {
        if self.amounts.insert(request, amount).is_none() {
            self.order.push_back((now, request));
        }
    }

    fn amount(&self, request: RequestId) -> Option<TokenCount> {
        self.amounts.get(&request).copied()
    }

    /// Forgets what is older than `age`.
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
    /// Ends a reservation whose request used `used` tokens, and bills it.
    ///
    /// The bill is `used`, but at most what was reserved.
    /// `EscrowEffect::BillSafe` or `EscrowEffect::BillUnsafe` follows within
    /// the setting `bill_limit`. Does nothing if the reservation is not open.
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
        let rest = open.amount.saturating_sub(bill);
        let charged = match self.billed.amount(open.request) {
            None if !self.pending.contains_key(&open.request) => {
                holding.billed = holding.billed.saturating_add(bill);
                true
            }
            _ => false,
        };
        holding.credit(if charged { rest } else { open.amount });
        if charged {
            self.post_bill(reservation, open.request, &open.budget, shard, bill, now);
        } else {
            self.join_bill(reservation, open.request, now);
        }
        self.admit_waiting(&open.budget, now);
        self.top_up(&open.budget, now);
    }

    /// Ends a reservation whose request is not billed. Does nothing if the
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
            holder: self.own.clone(),
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
            settled: now,
            waiting: vec![reservation],
            copied: false,
            copies: Vec::new(),
        };
        self.pending.insert(request, pending);
        self.timers
            .set(now + copy_pause, EscrowTimer::CopyDue(request));
        self.limit_bill(reservation, request, now);
        if self.state == EscrowState::Closed {
            self.give_up_pending();
        }
    }

    fn limit_bill(&mut self, reservation: ReservationId, request: RequestId, now: Instant) {
        self.timers.set(
            now + self.settings.bill_limit,
            EscrowTimer::BillLimit {
                request,
                reservation,
            },
        );
    }

    /// Joins a reservation to the bill that its request has already.
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
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        if pending.copied {
            let amount = pending.amount;
            self.emit(EscrowEffect::BillSafe {
                reservation,
                request,
                amount,
            });
            return;
        }
        pending.waiting.push(reservation);
        self.timers.set(now, EscrowTimer::CopyDue(request));
        self.limit_bill(reservation, request, now);
    }

    /// Tells the settled reservations of a request that its bill is safe.
    pub(crate) fn report_safe(
        &mut self,
        request: RequestId,
        waiting: Vec<ReservationId>,
        amount: TokenCount,
        counter: EscrowCounter,
    ) {
        for reservation in waiting {
            self.count(counter);
            self.emit(EscrowEffect::BillSafe {
                reservation,
                request,
                amount,
            });
        }
    }

    /// Takes in the ledger's answer to an own bill.
    pub(crate) fn end_bill(&mut self, request: RequestId, result: OperationResult, now: Instant) {
        let (charged, own_charge) = match result {
            FORGOTTEN => match self.pending.get(&request) {
                Some(pending) => (pending.amount, true),
                None => return,
            },
            OperationResult::Billed { amount, first } => (amount, first),
            OperationResult::Refused(OperationRefusal::HolderClosed) => return self.close(),
            _ => return self.fail_bill(request),
        };
        let Some(pending) = self.pending.swap_remove(&request) else {
            return;
        };
        if let Some(holding) = self.budgets.get_mut(&pending.budget) {
            holding.billed = holding.billed.saturating_sub(pending.amount);
            // Another amount means another bill of the request, which was
            // deducted on its own if it was this router's.
            if !own_charge || charged != pending.amount {
                holding.credit(pending.amount);
            }
        }
        if !own_charge {
            self.count(EscrowCounter::BillDuplicate);
        }
        self.billed.insert(request, charged, now);
        let counter = EscrowCounter::BillSafeLedger;
        self.report_safe(request, pending.waiting, charged, counter);
        for copy in pending.copies {
            let holder = self.own.clone();
            self.send(copy.peer, EscrowMessage::DropBill { request, holder });
        }
        self.admit_waiting(&pending.budget, now);
    }

    /// Reports a bill that the ledger refused; its tokens stay deducted.
    fn fail_bill(&mut self, request: RequestId) {
        self.count(EscrowCounter::LedgerFault);
        if let Some(pending) = self.pending.swap_remove(&request) {
            for reservation in pending.waiting {
                self.report_unsafe(reservation, request, false);
            }
        }
    }

    /// Ends the wait of one settled reservation for its bill to be safe.
    pub(crate) fn end_bill_wait(
        &mut self,
        request: RequestId,
        reservation: ReservationId,
        now: Instant,
    ) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let before = pending.waiting.len();
        pending.waiting.retain(|&waiting| waiting != reservation);
        if pending.waiting.len() == before {
            return;
        }
        let alone = pending.waiting.is_empty() && pending.copies.is_empty();
        let withdrawn = alone && self.withdraw_bill(request, now);
        // Without anything on its way nothing would tell when to go on.
        self.unconfirmable = self.queues.values().any(|queue| !queue.is_empty());
        self.report_unsafe(reservation, request, withdrawn);
    }

    /// Takes back a bill that nobody else has ever seen.
    fn withdraw_bill(&mut self, request: RequestId, now: Instant) -> bool {
        let Some(pending) = self.pending.get(&request) else {
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
        self.pending.swap_remove(&request);
        if let Some(holding) = self.budgets.get_mut(&budget) {
            holding.billed = holding.billed.saturating_sub(amount);
            holding.credit(amount);
        }
        self.admit_waiting(&budget, now);
        true
    }

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

    /// Reports every bill that is not safe yet as not safe: the escrow closed.
    pub(crate) fn give_up_pending(&mut self) {
        let waiting: Vec<(RequestId, ReservationId)> = self
            .pending
            .iter_mut()
            .flat_map(|(&request, pending)| {
                let waiting = std::mem::take(&mut pending.waiting);
                waiting.into_iter().map(move |waiter| (request, waiter))
            })
            .collect();
        for (request, reservation) in waiting {
            self.report_unsafe(reservation, request, false);
        }
    }
}
