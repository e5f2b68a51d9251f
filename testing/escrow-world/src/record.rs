//! What happened in a run.

use std::time::Duration;

use indexmap::IndexMap;
use snipegate_escrow::EscrowCounter;
use snipegate_types::BudgetId;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::TokenCount;

/// How an attempt ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFate {
    /// It waits for tokens or runs.
    Open,
    /// It was refused before it ran.
    Refused(ResultCode),
    /// It ended without an answer and without a bill.
    Cancelled,
    /// The whole answer went out.
    Answered,
    /// The answer lacks its last part; no bill was or will be posted for it.
    Withdrawn,
    /// The answer lacks its last part; the bill may stand.
    Unconfirmed,
}

/// One attempt of a request on one router.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Number of the router.
    pub node: usize,
    /// The request.
    pub request: RequestId,
    /// The budget.
    pub budget: BudgetId,
    /// What it asked to reserve.
    pub worst_case: TokenCount,
    /// What it uses when it runs.
    pub used: TokenCount,
    /// When it arrived.
    pub arrived: Duration,
    /// When it was admitted, if it was.
    pub admitted: Option<Duration>,
    /// When its fate was decided.
    pub ended: Option<Duration>,
    /// How it ended.
    pub fate: RequestFate,
    /// For how long its router was paused meanwhile.
    pub paused: Duration,
    /// Tokens of the budget that no bill or reservation used when it was
    /// refused, and what was purchased.
    pub left_at_refusal: Option<(TokenCount, TokenCount)>,
    /// As much of what was left as lay on the router's side of a partition.
    pub reachable_at_refusal: TokenCount,
}

/// All that happened in a run.
#[derive(Clone, Debug, Default)]
pub struct WorldRecord {
    /// Every attempt.
    pub attempts: Vec<RequestRecord>,
    /// Bills in the ledger: the first of each request.
    pub bills: IndexMap<RequestId, TokenCount>,
    /// Bills that were written although their request had one.
    pub double_bills: u64,
    /// What each counter has counted, over all routers.
    pub counters: IndexMap<&'static str, u64>,
    /// Batches that the ledger has decided.
    pub batches: u64,
    /// Messages sent between routers.
    pub messages: u64,
}

impl WorldRecord {
    /// Returns what a counter has counted.
    pub fn count(&self, counter: EscrowCounter) -> u64 {
        let name: &'static str = counter.into();
        self.counters.get(name).copied().unwrap_or_default()
    }

    pub(crate) fn add(&mut self, counter: EscrowCounter, count: u64) {
        *self.counters.entry(counter.into()).or_default() += count;
    }
}
