//! What a router holds of one budget.

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

/// An attempt that waits for tokens.
#[derive(Clone, Debug)]
pub(crate) struct WaitingClaim {
    pub(crate) reservation: ReservationId,
    pub(crate) request: RequestId,
    pub(crate) worst_case: TokenCount,
}

/// A grant asked for and not answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenGrant {
    pub(crate) operation: OperationId,
    /// The last attempt that had come when it was asked for.
    pub(crate) last_claim: ReservationId,
}

/// The last finding that the budget is short, valid for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShortNotice {
    pub(crate) until: Instant,
    pub(crate) code: ResultCode,
}

/// Peers being asked for tokens.
#[derive(Clone, Debug, Default)]
pub(crate) struct AskRound {
    /// Asked and not answered.
    pub(crate) open: Vec<IncarnationId>,
    /// Asked in this or an earlier round since the search began.
    pub(crate) tried: Vec<IncarnationId>,
}

/// A peer's last word on what it has free.
#[derive(Clone, Debug)]
pub(crate) struct PeerHint {
    pub(crate) peer: IncarnationId,
    pub(crate) left: TokenCount,
}

/// Most peers remembered for one budget.
const MAX_HINTS: usize = 8;

/// What a router holds of one budget.
///
/// INVARIANT: `free + parked + reserved + billed` is at most what the ledger
/// records, plus `unrecorded`, minus what was returned or given away.
#[derive(Clone, Debug)]
pub(crate) struct BudgetHolding {
    pub(crate) shard: ShardId,
    /// Tokens that may be reserved.
    pub(crate) free: TokenCount,
    /// Tokens received that may not be used before the ledger has them.
    pub(crate) parked: TokenCount,
    /// Tokens reserved by admitted requests.
    pub(crate) reserved: TokenCount,
    /// Tokens of bills that the ledger has not answered.
    pub(crate) billed: TokenCount,
    /// Transfers received that the ledger has not recorded.
    pub(crate) unrecorded: Vec<TransferNote>,
    pub(crate) grant: Option<OpenGrant>,
    /// No grant is asked for before this time.
    pub(crate) grant_not_before: Option<Instant>,
    /// When tokens last came from the ledger or a peer.
    pub(crate) supplied: Instant,
    /// What the budget had unassigned after the last answer.
    pub(crate) unassigned: Option<TokenCount>,
    pub(crate) short: Option<ShortNotice>,
    /// Why tokens can't be had, as far as the ledger has said.
    pub(crate) shortage: ResultCode,
    pub(crate) waiting: Vec<WaitingClaim>,
    pub(crate) asking: Option<Box<AskRound>>,
    pub(crate) hints: Vec<PeerHint>,
    pub(crate) demand: DemandEstimate,
    /// Largest worst case seen, decaying with each smaller one.
    pub(crate) usual_claim: TokenCount,
}

impl BudgetHolding {
    pub(crate) fn new(shard: ShardId, now: Instant) -> Self {
        Self {
            shard,
            free: TokenCount::ZERO,
            parked: TokenCount::ZERO,
            reserved: TokenCount::ZERO,
            billed: TokenCount::ZERO,
            unrecorded: Vec::new(),
            grant: None,
            grant_not_before: None,
            supplied: now,
            unassigned: None,
            short: None,
            shortage: ResultCode::BudgetUnreachable,
            waiting: Vec::new(),
            asking: None,
            hints: Vec::new(),
            demand: DemandEstimate::new(now),
            usual_claim: TokenCount::ZERO,
        }
    }

    /// Moves `amount` from free to reserved if it is there.
    pub(crate) fn take(&mut self, amount: TokenCount) -> bool {
        let Some(free) = self.free.checked_sub(amount) else {
            return false;
        };
        self.free = free;
        self.reserved = self.reserved.saturating_add(amount);
        true
    }

    /// Adds tokens that may be reserved.
    pub(crate) fn credit(&mut self, amount: TokenCount) {
        if amount.is_zero() {
            return;
        }
        self.free = self.free.saturating_add(amount);
        self.short = None;
    }

    /// Takes up to `amount` of the free tokens out of the holding.
    pub(crate) fn deduct(&mut self, amount: TokenCount) -> TokenCount {
        let amount = amount.min(self.free);
        self.free = self.free.saturating_sub(amount);
        amount
    }

    /// Notes the size of a claim.
    pub(crate) fn see_claim(&mut self, worst_case: TokenCount) {
        let decayed = TokenCount(self.usual_claim.0 - self.usual_claim.0 / 16);
        self.usual_claim = decayed.max(worst_case);
    }

    /// Returns what the waiting attempts need together.
    pub(crate) fn waiting_need(&self) -> TokenCount {
        self.waiting.iter().map(|claim| claim.worst_case).sum()
    }

    /// Returns what the waiting attempt that needs least still lacks.
    pub(crate) fn least_lack(&self) -> Option<TokenCount> {
        let least = self.waiting.iter().map(|claim| claim.worst_case).min()?;
        Some(least.saturating_sub(self.free))
    }

    /// Returns the free tokens that the ledger is certain to record here.
    ///
    /// Only these may be given away or taken by another router's note.
    pub(crate) fn recorded_free(&self) -> TokenCount {
        let unrecorded = self.unrecorded.iter().map(|note| note.amount).sum();
        self.free
            .saturating_add(self.parked)
            .saturating_sub(unrecorded)
    }

    /// Returns how many free tokens to aim for.
    pub(crate) fn target(
        &self,
        horizon: Duration,
        window: Duration,
        share: f64,
        now: Instant,
    ) -> TokenCount {
        let demand = self.demand.rate(window, now).tokens_in(horizon);
        let wanted = demand.saturating_add(self.usual_claim);
        match self.unassigned {
            Some(unassigned) => wanted.min(TokenCount((unassigned.0 as f64 * share) as u64)),
            None => wanted,
        }
    }

    /// Remembers what a peer has free.
    pub(crate) fn note_hint(&mut self, peer: IncarnationId, left: TokenCount) {
        self.hints.retain(|hint| hint.peer != peer);
        if !left.is_zero() {
            self.hints.insert(0, PeerHint { peer, left });
            self.hints.truncate(MAX_HINTS);
        }
    }

    /// Tells whether nothing would be forgotten with this holding.
    pub(crate) fn is_empty(&self) -> bool {
        self.free.is_zero()
            && self.parked.is_zero()
            && self.reserved.is_zero()
            && self.billed.is_zero()
            && self.unrecorded.is_empty()
            && self.waiting.is_empty()
            && self.grant.is_none()
    }
}
