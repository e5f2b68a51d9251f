//! Messages between keepers and routers beside ledger batches.

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::TokenCount;

/// Path of a keeper that takes a [`LedgerBatch`](crate::LedgerBatch).
pub const LEDGER_PATH: &str = "/ledger";

/// Path of a router that takes a [`FenceOrder`].
pub const FENCE_PATH: &str = "/fence";

/// Path of a router that takes a [`ReturnOrder`].
pub const RETURN_PATH: &str = "/return";

/// Asks a router to take nothing more from a closing holder and to post all
/// notes and bills that it has from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceOrder {
    /// The run of the router that is meant; another one must not confirm.
    pub router: IncarnationId,
    /// The closing holder.
    pub dead: IncarnationId,
}

/// Answers a [`FenceOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceReply {
    /// Whether everything is posted and durable; if not, the order comes again.
    pub fenced: bool,
}

/// Asks a router to return idle tokens of a budget that runs short elsewhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnOrder {
    /// The run of the router that is meant.
    pub holder: IncarnationId,
    /// The budget.
    pub budget: BudgetId,
    /// How many tokens are lacking elsewhere.
    pub amount: TokenCount,
}

/// Answers a [`ReturnOrder`]; the return itself comes as a ledger operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnReply {
    /// How many tokens are going to be returned.
    pub amount: TokenCount,
}
