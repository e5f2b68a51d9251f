//! A router's holding of one budget.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

use crate::claim::ReservationId;
use crate::demand::DemandEstimate;
use crate::message::TransferNote;

/// A claim waiting for tokens.
#[derive(Clone, Debug)]
pub(crate) struct WaitingClaim {
    pub(crate) reservation: ReservationId,
    pub(crate) request: RequestId,
    pub(crate) worst_case: TokenCount,
}

/// A requested grant without a result.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenGrant {
    pub(crate) operation: OperationId,
    /// The last claim that had arrived when the grant was requested.
    pub(crate) last_claim: ReservationId,
}

/// A cached refusal, which also applies to new claims until it expires.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentRefusal {
    pub(crate) until: Instant,
    pub(crate) code: ResultCode,
}

/// A search for tokens among peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerSearch {
    /// Peers that have not answered.
    pub(crate) unanswered: Vec<IncarnationId>,
    /// All peers asked since the search began.
    pub(crate) asked: Vec<IncarnationId>,
}

/// The free tokens that a peer last reported.
#[derive(Clone, Debug)]
pub(crate) struct PeerHint {
    pub(crate) peer: IncarnationId,
    pub(crate) left: TokenCount,
}

/// Maximum number of peer hints stored for one budget.
const MAX_PEER_HINTS: usize = 8;

/// A router's holding of one budget.
///
/// INVARIANT: `free + pending_credit + reserved + billed` is at most the holding recorded
/// by the ledger, plus `unrecorded`, minus what was returned or transferred to peers.
#[derive(Clone, Debug)]
pub(crate) struct BudgetHolding {
    pub(crate) shard: ShardId,
    /// Tokens available for reservations.
    pub(crate) free: TokenCount,
    /// Received tokens that must not be used before the ledger has recorded their transfer.
    pub(crate) pending_credit: TokenCount,
    /// Tokens reserved by admitted requests.
    pub(crate) reserved: TokenCount,
    /// Tokens of bills without a ledger result.
    pub(crate) billed: TokenCount,
    /// Received transfers that the ledger has not recorded.
    pub(crate) unrecorded: Vec<TransferNote>,
    pub(crate) grant: Option<OpenGrant>,
    /// No grant is requested before this time.
    pub(crate) grant_not_before: Option<Instant>,
    /// When tokens were last received from the ledger or a peer.
    pub(crate) last_supplied: Instant,
    /// The budget's unassigned tokens according to the last grant result.
    pub(crate) unassigned: Option<TokenCount>,
    pub(crate) recent_refusal: Option<RecentRefusal>,
    /// The code to refuse claims with, from the last grant result.
    pub(crate) shortage_code: ResultCode,
    pub(crate) waiting: Vec<WaitingClaim>,
    pub(crate) peer_search: Option<Box<PeerSearch>>,
    pub(crate) hints: Vec<PeerHint>,
    pub(crate) demand: DemandEstimate,
    /// Largest worst case of recent claims, decaying with each claim.
    pub(crate) typical_claim: TokenCount,
}

impl BudgetHolding {
    /// Creates an empty holding.
    pub(crate) fn new(shard: ShardId, now: Instant) -> Self {
        Self {
            shard,
            free: TokenCount::ZERO,
            pending_credit: TokenCount::ZERO,
            reserved: TokenCount::ZERO,
            billed: TokenCount::ZERO,
            unrecorded: Vec::new(),
            grant: None,
            grant_not_before: None,
            last_supplied: now,
            unassigned: None,
            recent_refusal: None,
            shortage_code: ResultCode::BudgetUnreachable,
            waiting: Vec::new(),
            peer_search: None,
            hints: Vec::new(),
            demand: DemandEstimate::new(now),
            typical_claim: TokenCount::ZERO,
        }
    }

    /// Moves `amount` from free to reserved. Returns false if too few tokens are free.
    pub(crate) fn reserve(&mut self, amount: TokenCount) -> bool {
        let Some(free) = self.free.checked_sub(amount) else {
            return false;
        };
        self.free = free;
        self.reserved = self.reserved.saturating_add(amount);
        true
    }

    /// Adds free tokens and drops a cached refusal.
    pub(crate) fn credit(&mut self, amount: TokenCount) {
        if amount.is_zero() {
            return;
        }
        self.free = self.free.saturating_add(amount);
        self.recent_refusal = None;
    }

    /// Removes up to `amount` free tokens and returns how many were removed.
    pub(crate) fn deduct(&mut self, amount: TokenCount) -> TokenCount {
        let amount = amount.min(self.free);
        self.free = self.free.saturating_sub(amount);
        amount
    }

    /// Updates the typical claim size.
    pub(crate) fn record_claim_size(&mut self, worst_case: TokenCount) {
        let decayed = TokenCount(self.typical_claim.0 - self.typical_claim.0 / 16);
        self.typical_claim = decayed.max(worst_case);
    }

    /// Returns the total worst case of the waiting claims.
    pub(crate) fn waiting_total(&self) -> TokenCount {
        self.waiting.iter().map(|claim| claim.worst_case).sum()
    }

    /// Returns how many tokens the smallest waiting claim lacks.
    pub(crate) fn smallest_shortfall(&self) -> Option<TokenCount> {
        let least = self.waiting.iter().map(|claim| claim.worst_case).min()?;
        Some(least.saturating_sub(self.free))
    }

    /// Returns the free tokens that the ledger is certain to record in this holding.
    ///
    /// Only these may be transferred to peers, or debited by another router's record of
    /// a transfer.
    pub(crate) fn recorded_free(&self) -> TokenCount {
        let unrecorded = self.unrecorded.iter().map(|note| note.amount).sum();
        self.free
            .saturating_add(self.pending_credit)
            .saturating_sub(unrecorded)
    }

    /// Returns the target number of free tokens.
    ///
    /// It covers the demand over `horizon` plus one typical claim, capped at `share` of
    /// the budget's unassigned tokens.
    pub(crate) fn target(
        &self,
        horizon: Duration,
        window: Duration,
        share: f64,
        now: Instant,
    ) -> TokenCount {
        let demand = self.demand.rate(window, now).tokens_in(horizon);
        let wanted = demand.saturating_add(self.typical_claim);
        match self.unassigned {
            Some(unassigned) => wanted.min(TokenCount((unassigned.0 as f64 * share) as u64)),
            None => wanted,
        }
    }

    /// Records the free tokens that a peer reported.
    pub(crate) fn record_hint(&mut self, peer: IncarnationId, left: TokenCount) {
        self.hints.retain(|hint| hint.peer != peer);
        if !left.is_zero() {
            self.hints.insert(0, PeerHint { peer, left });
            self.hints.truncate(MAX_PEER_HINTS);
        }
    }

    /// Returns whether the holding can be dropped without losing state.
    pub(crate) fn is_empty(&self) -> bool {
        self.free.is_zero()
            && self.pending_credit.is_zero()
            && self.reserved.is_zero()
            && self.billed.is_zero()
            && self.unrecorded.is_empty()
            && self.waiting.is_empty()
            && self.grant.is_none()
    }
}
