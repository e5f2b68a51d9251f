//! What a request asks of its budget, and the answer.

use std::fmt;
use std::time::Duration;

use snipegate_types::BudgetId;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

/// One attempt of a request to reserve tokens, unique in its escrow.
///
/// Names the waiting attempt first and, once admitted, the reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(pub(crate) u64);

impl fmt::Display for ReservationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What a request needs before it may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetClaim {
    /// The request.
    pub request: RequestId,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The ledger shard of the budget's workspace.
    pub shard: ShardId,
    /// The most that the request can use: prompt and maximum output.
    pub worst_case: TokenCount,
}

/// Why a request may not run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetRefusal {
    /// The reason.
    pub code: ResultCode,
    /// When another attempt makes sense.
    pub retry_after: Duration,
}

/// The immediate answer to a [`BudgetClaim`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved; settle or cancel the reservation later.
    Admitted(ReservationId),
    /// Tokens are being fetched. `EscrowEffect::Admitted` or
    /// `EscrowEffect::Refused` follows within the setting `wait_limit`.
    Waiting(ReservationId),
    /// Nothing was reserved.
    Refused(BudgetRefusal),
}
