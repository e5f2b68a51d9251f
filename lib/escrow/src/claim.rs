//! Reservation requests and their outcomes.

use std::fmt;
use std::time::Duration;

use snipegate_types::BudgetId;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

/// Identifies one attempt to reserve tokens, unique within its escrow.
///
/// It identifies the attempt while it waits, and the reservation once admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(pub(crate) u64);

impl fmt::Display for ReservationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A request's claim on a budget, to be reserved before it may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetClaim {
    /// The request to reserve for.
    pub request: RequestId,
    /// The budget to charge.
    pub budget: BudgetId,
    /// The ledger shard of the budget's workspace.
    pub shard: ShardId,
    /// Upper bound of the request's use: prompt plus maximum output tokens.
    pub worst_case: TokenCount,
}

/// The refusal of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetRefusal {
    /// The reason for the refusal.
    pub code: ResultCode,
    /// The delay after which the caller should retry.
    pub retry_after: Duration,
}

/// The immediate outcome of a [`BudgetClaim`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved. The caller settles or cancels the reservation.
    Admitted(ReservationId),
    /// Tokens are being requested. `EscrowEffect::Admitted` or
    /// `EscrowEffect::Refused` follows within the `wait_timeout` setting.
    Waiting(ReservationId),
    /// Nothing was reserved.
    Refused(BudgetRefusal),
}
