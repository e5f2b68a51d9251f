//! Reservation, and grants from the ledger.

use std::time::Duration;
use std::time::Instant;

use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationRefusal;
use snipegate_ledger::OperationResult;
use snipegate_types::BudgetId;
use snipegate_types::OperationId;
use snipegate_types::ResultCode;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

use crate::claim::BudgetClaim;
use crate::claim::BudgetRefusal;
use crate::claim::ReservationId;
use crate::claim::ReserveOutcome;
use crate::counter::EscrowCounter;
use crate::effect::EscrowEffect;
use crate::escrow::EscrowState;
use crate::escrow::OpenReservation;
use crate::escrow::RouterEscrow;
use crate::holding::BudgetHolding;
use crate::holding::OpenGrant;
use crate::holding::ShortNotice;
use crate::holding::WaitingClaim;
use crate::timer::EscrowTimer;

/// Time to come back given with a refusal while the escrow stops.
const STOPPING_RETRY: Duration = Duration::from_secs(1);

/// Longest time to come back given when a budget is used up.
const EXHAUSTED_RETRY: Duration = Duration::from_secs(5);

/// Time for which a holding should last beyond the arrival of the next grant.
const TOP_UP_LEAD: Duration = Duration::from_secs(2);

impl RouterEscrow {
    /// Reserves the worst case of a request, or begins to fetch tokens for it.
    pub fn reserve(&mut self, claim: BudgetClaim, now: Instant) -> ReserveOutcome {
        if self.state != EscrowState::Open {
            self.count(EscrowCounter::RefusedStopping);
            return ReserveOutcome::Refused(BudgetRefusal {
                code: ResultCode::Stopping,
                retry_after: STOPPING_RETRY,
            });
        }
        if self.unconfirmable {
            let code = ResultCode::BudgetUnreachable;
            let retry_after = self.settings.short_memory;
            return ReserveOutcome::Refused(self.refusal(code, retry_after));
        }
        let holding = self
            .budgets
            .entry(claim.budget.clone())
            .or_insert_with(|| BudgetHolding::new(claim.shard, now));
        holding.demand.touch(now);
        holding.see_claim(claim.worst_case);
        if holding.take(claim.worst_case) {
            let reservation = self.next_reservation();
            self.open_reservation(reservation, &claim);
            self.count(EscrowCounter::ReserveImmediate);
            self.top_up(&claim.budget, now);
            return ReserveOutcome::Admitted(reservation);
        }
        if let Some(notice) = holding.short.filter(|notice| now < notice.until) {
            let retry_after = notice.until.saturating_duration_since(now);
            return ReserveOutcome::Refused(self.refusal(notice.code, retry_after));
        }
        ReserveOutcome::Waiting(self.wait(claim, now))
    }

    /// Gives up a waiting attempt, or does nothing if it is not waiting.
    pub(crate) fn abandon(&mut self, reservation: ReservationId) {
        let found = self.budgets.values_mut().find_map(|holding| {
            let place = holding
                .waiting
                .iter()
                .position(|claim| claim.reservation == reservation)?;
            Some(holding.waiting.remove(place))
        });
        if found.is_some() {
            self.count(EscrowCounter::WaitAbandoned);
        }
    }

    fn open_reservation(&mut self, reservation: ReservationId, claim: &BudgetClaim) {
        self.reservations.insert(
            reservation,
            OpenReservation {
                request: claim.request,
                budget: claim.budget.clone(),
                amount: claim.worst_case,
            },
        );
    }

    fn wait(&mut self, claim: BudgetClaim, now: Instant) -> ReservationId {
        let reservation = self.next_reservation();
        let BudgetClaim {
            request,
            budget,
            shard,
            worst_case,
        } = claim;
        if let Some(holding) = self.budgets.get_mut(&budget) {
            holding.waiting.push(WaitingClaim {
                reservation,
                request,
                worst_case,
            });
        }
        self.timers.set(
            now + self.settings.wait_limit,
            EscrowTimer::WaitLimit {
                budget: budget.clone(),
                reservation,
            },
        );
        self.top_up(&budget, now);
        let pause = self
            .budgets
            .get(&budget)
            .and_then(|holding| holding.grant_not_before)
            .filter(|&time| now < time);
        if let Some(time) = pause {
            self.timers.set(time, EscrowTimer::TopUpDue(budget.clone()));
        }
        if self.is_reachable(shard, now) {
            let due = now + self.settings.transfer_after;
            self.timers.set(due, EscrowTimer::TransferDue(budget));
        } else {
            self.ask_peers(&budget, now);
        }
        reservation
    }

    /// Asks peers for the waiting attempts of a shard that does not answer.
    pub(crate) fn seek_elsewhere(&mut self, shard: ShardId, now: Instant) {
        let short: Vec<BudgetId> = self
            .budgets
            .iter()
            .filter(|(_, holding)| holding.shard == shard && !holding.waiting.is_empty())
            .map(|(budget, _)| budget.clone())
            .collect();
        for budget in short {
            self.ask_peers(&budget, now);
        }
    }

    /// Asks the ledger for a grant if the holding is low and none is asked for.
    pub(crate) fn top_up(&mut self, budget: &BudgetId, now: Instant) {
        if self.state != EscrowState::Open {
            return;
        }
        let settings = &self.settings;
        let share = settings.share_percent as f64 / 100.0 / (self.peers.len() as f64 + 1.0);
        let (horizon, window) = (settings.grant_horizon, settings.rate_window);
        let Some(holding) = self.budgets.get(budget) else {
            return;
        };
        if holding.grant.is_some() || holding.grant_not_before.is_some_and(|time| now < time) {
            return;
        }
        let target = holding.target(horizon, window, share, now);
        let lead = holding.demand.rate(window, now).tokens_in(TOP_UP_LEAD);
        // Kept nearly full, as a fault that cuts off the ledger may come at
        // any moment.
        let nearly_full = TokenCount(target.0 / 4 * 3);
        let low = nearly_full.max(lead.min(target));
        let least = holding.least_lack();
        if least.is_none() && holding.free >= low {
            return;
        }
        let lack = holding.waiting_need().saturating_sub(holding.free);
        let wanted = target.saturating_sub(holding.free).max(lack);
        self.ask_grant(budget, wanted, least.unwrap_or(TokenCount(1)));
    }

    fn ask_grant(&mut self, budget: &BudgetId, wanted: TokenCount, least: TokenCount) {
        let least = least.max(TokenCount(1));
        let operation = self.next_operation();
        let last_claim = self.last_reservation();
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        holding.grant = Some(OpenGrant {
            operation,
            last_claim,
        });
        let shard = holding.shard;
        let grant = LedgerOperation::Grant {
            operation,
            budget: budget.clone(),
            wanted: wanted.max(least),
            least,
        };
        self.enqueue(shard, grant);
        self.count(EscrowCounter::GrantAsked);
    }

    /// Takes in the ledger's answer to a grant.
    pub(crate) fn end_grant(
        &mut self,
        operation: OperationId,
        budget: &BudgetId,
        result: OperationResult,
        now: Instant,
    ) {
        let pause = now + self.settings.grant_pause;
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let grant = holding.grant.take_if(|grant| grant.operation == operation);
        let last_claim = grant.map_or(ReservationId(0), |grant| grant.last_claim);
        match result {
            OperationResult::Granted { amount, unassigned } => {
                holding.unassigned = Some(unassigned);
                holding.shortage = ResultCode::BudgetUnreachable;
                holding.grant_not_before = None;
                holding.supplied = now;
                holding.credit(amount);
                self.admit_waiting(budget, now);
                if self.has_waiting(budget) {
                    self.top_up(budget, now);
                }
            }
            OperationResult::Refused(refusal) => {
                holding.grant_not_before = Some(pause);
                self.count(EscrowCounter::GrantRefused);
                if self.has_waiting(budget) {
                    let timer = EscrowTimer::TopUpDue(budget.clone());
                    self.timers.set(pause, timer);
                }
                self.end_refused_grant(budget, refusal, last_claim, now);
            }
            _ => self.count(EscrowCounter::LedgerFault),
        }
    }

    fn end_refused_grant(
        &mut self,
        budget: &BudgetId,
        refusal: OperationRefusal,
        last_claim: ReservationId,
        now: Instant,
    ) {
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        match refusal {
            OperationRefusal::HolderClosed => self.close(),
            OperationRefusal::BudgetUnknown => {
                self.refuse_waiting(budget, ResultCode::BudgetUnknown, now);
            }
            OperationRefusal::BudgetShort { held_elsewhere } => {
                holding.unassigned = Some(TokenCount::ZERO);
                holding.shortage = refusal.result_code();
                let in_use = !holding.reserved.is_zero() || !holding.billed.is_zero();
                if held_elsewhere.is_zero() && !in_use {
                    self.refuse_exhausted(budget, last_claim);
                } else if !held_elsewhere.is_zero() {
                    self.ask_peers(budget, now);
                }
            }
            // What was granted is stranded until the release.
            OperationRefusal::ResultForgotten => {}
            OperationRefusal::HoldingShort
            | OperationRefusal::IdReused
            | OperationRefusal::AmountTooLarge
            | OperationRefusal::IntentUnknown => self.count(EscrowCounter::LedgerFault),
        }
    }

    pub(crate) fn has_waiting(&self, budget: &BudgetId) -> bool {
        self.budgets
            .get(budget)
            .is_some_and(|holding| !holding.waiting.is_empty())
    }

    /// Admits the waiting attempts that the free tokens cover, oldest first.
    pub(crate) fn admit_waiting(&mut self, budget: &BudgetId, now: Instant) {
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let waiting = std::mem::take(&mut holding.waiting);
        let (admitted, waiting): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|claim| holding.take(claim.worst_case));
        holding.waiting = waiting;
        if holding.waiting.is_empty() {
            holding.asking = None;
        }
        let any_admitted = !admitted.is_empty();
        for claim in admitted {
            self.reservations.insert(
                claim.reservation,
                OpenReservation {
                    request: claim.request,
                    budget: budget.clone(),
                    amount: claim.worst_case,
                },
            );
            self.count(EscrowCounter::ReserveWaited);
            self.emit(EscrowEffect::Admitted {
                reservation: claim.reservation,
            });
        }
        if any_admitted {
            self.top_up(budget, now);
        }
    }

    /// Refuses an attempt whose time to wait is over.
    pub(crate) fn end_wait(&mut self, budget: &BudgetId, reservation: ReservationId, now: Instant) {
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let place = holding
            .waiting
            .iter()
            .position(|claim| claim.reservation == reservation);
        let Some(place) = place else {
            return;
        };
        holding.waiting.remove(place);
        if holding.waiting.is_empty() {
            holding.asking = None;
        }
        let code = holding.shortage;
        let until = now + self.settings.short_memory;
        holding.short = Some(ShortNotice { until, code });
        self.refuse(reservation, code);
    }

    /// Refuses all waiting attempts of a budget and remembers why for a while.
    pub(crate) fn refuse_waiting(&mut self, budget: &BudgetId, code: ResultCode, now: Instant) {
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let waiting = std::mem::take(&mut holding.waiting);
        holding.asking = None;
        let until = now + self.settings.short_memory;
        holding.short = Some(ShortNotice { until, code });
        for claim in waiting {
            self.refuse(claim.reservation, code);
        }
    }

    /// Refuses the attempts that had come when the ledger was asked.
    ///
    /// Nothing is remembered and later attempts wait for the next answer, as
    /// the budget may have been topped up since.
    fn refuse_exhausted(&mut self, budget: &BudgetId, last_claim: ReservationId) {
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let refused: Vec<WaitingClaim> = holding
            .waiting
            .extract_if(.., |claim| claim.reservation <= last_claim)
            .collect();
        if holding.waiting.is_empty() {
            holding.asking = None;
        }
        for claim in refused {
            self.refuse(claim.reservation, ResultCode::BudgetExhausted);
        }
    }

    /// Refuses every waiting attempt: the escrow stops.
    pub(crate) fn refuse_all_waiting(&mut self) {
        let waiting: Vec<WaitingClaim> = self
            .budgets
            .values_mut()
            .flat_map(|holding| std::mem::take(&mut holding.waiting))
            .collect();
        for claim in waiting {
            self.refuse(claim.reservation, ResultCode::Stopping);
        }
    }

    fn refuse(&mut self, reservation: ReservationId, code: ResultCode) {
        let refusal = self.refusal(code, self.settings.short_memory);
        self.emit(EscrowEffect::Refused {
            reservation,
            code,
            retry_after: refusal.retry_after,
        });
    }

    fn refusal(&mut self, code: ResultCode, retry_after: Duration) -> BudgetRefusal {
        let (counter, retry_after) = match code {
            ResultCode::BudgetExhausted => (EscrowCounter::RefusedExhausted, EXHAUSTED_RETRY),
            ResultCode::BudgetUnknown => (EscrowCounter::RefusedUnknown, EXHAUSTED_RETRY),
            ResultCode::Stopping => (EscrowCounter::RefusedStopping, STOPPING_RETRY),
            _ => (EscrowCounter::RefusedUnreachable, retry_after),
        };
        self.count(counter);
        BudgetRefusal { code, retry_after }
    }
}
