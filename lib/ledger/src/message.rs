//! Messages between keepers and routers other than ledger batches.

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::TokenCount;

/// Keeper endpoint that accepts a [`LedgerBatch`](crate::LedgerBatch).
pub const LEDGER_PATH: &str = "/ledger";

/// Router endpoint that accepts a [`FenceRequest`].
pub const FENCE_PATH: &str = "/fence";

/// Router endpoint that accepts a [`ReturnRequest`].
pub const RETURN_PATH: &str = "/return";

/// Asks a router to accept nothing more from a closing holder and to post all
/// transfers and bills that it received from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    /// The addressed incarnation of the router; no other incarnation may confirm.
    pub router: IncarnationId,
    /// The closing holder.
    pub dead: IncarnationId,
}

/// Reply to a [`FenceRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceReply {
    /// Whether everything is posted and durable; if not, the request is sent again.
    pub fenced: bool,
}

/// Asks a router to return idle tokens of a budget that is short elsewhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnRequest {
    /// The addressed incarnation of the router.
    pub holder: IncarnationId,
    /// The budget.
    pub budget: BudgetId,
    /// Number of tokens missing elsewhere.
    pub amount: TokenCount,
}

/// Reply to a [`ReturnRequest`]; the return itself is sent as a ledger operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnReply {
    /// Number of tokens that will be returned.
    pub amount: TokenCount,
}
