//! Reservations, and grants from the ledger.

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
use crate::holding::RecentRefusal;
use crate::holding::WaitingClaim;
use crate::timer::EscrowTimer;

/// Retry delay given with refusals while the escrow is stopping.
const STOPPING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay given with refusals for an exhausted or unknown budget.
const EXHAUSTED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time for which a holding should last at the current demand, beyond the arrival of
/// the next grant.
const TOP_UP_LEAD: Duration = Duration::from_secs(2);

impl RouterEscrow {
    /// Reserves the worst case of a request, or starts to request tokens for it.
    pub fn reserve(&mut self, claim: BudgetClaim, now: Instant) -> ReserveOutcome {
        if self.state != EscrowState::Open {
            self.count(EscrowCounter::RefusedStopping);
            return ReserveOutcome::Refused(BudgetRefusal {
                code: ResultCode::Stopping,
                retry_after: STOPPING_RETRY_AFTER,
            });
        }
        if self.admission_blocked {
            let code = ResultCode::BudgetUnreachable;
            let retry_after = self.settings.refusal_cache_time;
            return ReserveOutcome::Refused(self.refusal(code, retry_after));
        }
        let holding = self
            .budgets
            .entry(claim.budget.clone())
            .or_insert_with(|| BudgetHolding::new(claim.shard, now));
        holding.demand.record_request(now);
        holding.record_claim_size(claim.worst_case);
        if holding.reserve(claim.worst_case) {
            let reservation = self.next_reservation();
            self.open_reservation(reservation, &claim);
            self.count(EscrowCounter::ReserveImmediate);
            self.top_up(&claim.budget, now);
            return ReserveOutcome::Admitted(reservation);
        }
        if let Some(refusal) = holding.recent_refusal.filter(|refusal| now < refusal.until) {
            let retry_after = refusal.until.saturating_duration_since(now);
            return ReserveOutcome::Refused(self.refusal(refusal.code, retry_after));
        }
        ReserveOutcome::Waiting(self.wait(claim, now))
    }

    /// Removes an abandoned claim. Does nothing if it is not waiting.
    pub(crate) fn abandon(&mut self, reservation: ReservationId) {
        let found = self.budgets.values_mut().find_map(|holding| {
            let index = holding
                .waiting
                .iter()
                .position(|claim| claim.reservation == reservation)?;
            Some(holding.waiting.remove(index))
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

    /// Queues a claim, sets its timeout, and asks the ledger or peers for tokens.
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
            now + self.settings.wait_timeout,
            EscrowTimer::WaitTimeout {
                budget: budget.clone(),
                reservation,
            },
        );
        self.top_up(&budget, now);
        let not_before = self
            .budgets
            .get(&budget)
            .and_then(|holding| holding.grant_not_before)
            .filter(|&time| now < time);
        if let Some(time) = not_before {
            self.timers.set(time, EscrowTimer::TopUpDue(budget.clone()));
        }
        if self.is_reachable(shard, now) {
            let due = now + self.settings.transfer_after;
            self.timers.set(due, EscrowTimer::AskPeersDue(budget));
        } else {
            self.ask_peers(&budget, now);
        }
        reservation
    }

    /// Asks peers for tokens for all waiting claims of a shard that does not answer.
    pub(crate) fn ask_peers_for_shard(&mut self, shard: ShardId, now: Instant) {
        let waiting_budgets: Vec<BudgetId> = self
            .budgets
            .iter()
            .filter(|(_, holding)| holding.shard == shard && !holding.waiting.is_empty())
            .map(|(budget, _)| budget.clone())
            .collect();
        for budget in waiting_budgets {
            self.ask_peers(&budget, now);
        }
    }

    /// Requests a grant if the holding is low and no grant is pending.
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
        let lead_demand = holding.demand.rate(window, now).tokens_in(TOP_UP_LEAD);
        // Holdings are kept nearly full because the ledger may become unreachable at any
        // time.
        let nearly_full = TokenCount(target.0 / 4 * 3);
        let threshold = nearly_full.max(lead_demand.min(target));
        let least = holding.smallest_shortfall();
        if least.is_none() && holding.free >= threshold {
            return;
        }
        let shortfall = holding.waiting_total().saturating_sub(holding.free);
        let wanted = target.saturating_sub(holding.free).max(shortfall);
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

    /// Handles the ledger's result of a grant.
    pub(crate) fn handle_grant_result(
        &mut self,
        operation: OperationId,
        budget: &BudgetId,
        result: OperationResult,
        now: Instant,
    ) {
        let retry_at = now + self.settings.grant_retry_delay;
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let grant = holding.grant.take_if(|grant| grant.operation == operation);
        let last_claim = grant.map_or(ReservationId(0), |grant| grant.last_claim);
        match result {
            OperationResult::Granted { amount, unassigned } => {
                holding.unassigned = Some(unassigned);
                holding.shortage_code = ResultCode::BudgetUnreachable;
                holding.grant_not_before = None;
                holding.last_supplied = now;
                holding.credit(amount);
                self.admit_waiting(budget, now);
                if self.has_waiting_claims(budget) {
                    self.top_up(budget, now);
                }
            }
            OperationResult::Refused(refusal) => {
                holding.grant_not_before = Some(retry_at);
                self.count(EscrowCounter::GrantRefused);
                if self.has_waiting_claims(budget) {
                    let timer = EscrowTimer::TopUpDue(budget.clone());
                    self.timers.set(retry_at, timer);
                }
                self.handle_grant_refusal(budget, refusal, last_claim, now);
            }
            _ => self.count(EscrowCounter::LedgerFault),
        }
    }

    fn handle_grant_refusal(
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
                holding.shortage_code = refusal.result_code();
                let in_use = !holding.reserved.is_zero() || !holding.billed.is_zero();
                if held_elsewhere.is_zero() && !in_use {
                    self.refuse_exhausted(budget, last_claim);
                } else if !held_elsewhere.is_zero() {
                    self.ask_peers(budget, now);
                }
            }
            // The granted amount is unknown, so it stays unused until the holding is
            // released.
            OperationRefusal::ResultForgotten => {}
            OperationRefusal::HoldingShort
            | OperationRefusal::IdReused
            | OperationRefusal::AmountTooLarge
            | OperationRefusal::IntentUnknown => self.count(EscrowCounter::LedgerFault),
        }
    }

    pub(crate) fn has_waiting_claims(&self, budget: &BudgetId) -> bool {
        self.budgets
            .get(budget)
            .is_some_and(|holding| !holding.waiting.is_empty())
    }

    /// Admits the waiting claims that the free tokens cover, oldest first.
    pub(crate) fn admit_waiting(&mut self, budget: &BudgetId, now: Instant) {
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let waiting = std::mem::take(&mut holding.waiting);
        let (admitted, waiting): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|claim| holding.reserve(claim.worst_case));
        holding.waiting = waiting;
        if holding.waiting.is_empty() {
            holding.peer_search = None;
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

    /// Refuses a claim that waited for longer than the `wait_timeout` setting.
    pub(crate) fn expire_wait(
        &mut self,
        budget: &BudgetId,
        reservation: ReservationId,
        now: Instant,
    ) {
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let index = holding
            .waiting
            .iter()
            .position(|claim| claim.reservation == reservation);
        let Some(index) = index else {
            return;
        };
        holding.waiting.remove(index);
        if holding.waiting.is_empty() {
            holding.peer_search = None;
        }
        let code = holding.shortage_code;
        let until = now + self.settings.refusal_cache_time;
        holding.recent_refusal = Some(RecentRefusal { until, code });
        self.refuse(reservation, code);
    }

    /// Refuses all waiting claims of a budget, and new ones for a short time.
    pub(crate) fn refuse_waiting(&mut self, budget: &BudgetId, code: ResultCode, now: Instant) {
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let waiting = std::mem::take(&mut holding.waiting);
        holding.peer_search = None;
        let until = now + self.settings.refusal_cache_time;
        holding.recent_refusal = Some(RecentRefusal { until, code });
        for claim in waiting {
            self.refuse(claim.reservation, code);
        }
    }

    /// Refuses the claims that arrived before the grant was requested.
    ///
    /// The refusal is not cached: later claims wait for the next result, since the
    /// budget may have been topped up in the meantime.
    fn refuse_exhausted(&mut self, budget: &BudgetId, last_claim: ReservationId) {
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let refused: Vec<WaitingClaim> = holding
            .waiting
            .extract_if(.., |claim| claim.reservation <= last_claim)
            .collect();
        if holding.waiting.is_empty() {
            holding.peer_search = None;
        }
        for claim in refused {
            self.refuse(claim.reservation, ResultCode::BudgetExhausted);
        }
    }

    /// Refuses every waiting claim, because the escrow stops or closes.
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
        let refusal = self.refusal(code, self.settings.refusal_cache_time);
        self.emit(EscrowEffect::Refused {
            reservation,
            code,
            retry_after: refusal.retry_after,
        });
    }

    /// Counts a refusal and determines its retry delay.
    fn refusal(&mut self, code: ResultCode, retry_after: Duration) -> BudgetRefusal {
        let (counter, retry_after) = match code {
            ResultCode::BudgetExhausted => (EscrowCounter::RefusedExhausted, EXHAUSTED_RETRY_AFTER),
            ResultCode::BudgetUnknown => (EscrowCounter::RefusedUnknown, EXHAUSTED_RETRY_AFTER),
            ResultCode::Stopping => (EscrowCounter::RefusedStopping, STOPPING_RETRY_AFTER),
            _ => (EscrowCounter::RefusedUnreachable, retry_after),
        };
        self.count(counter);
        BudgetRefusal { code, retry_after }
    }
}
