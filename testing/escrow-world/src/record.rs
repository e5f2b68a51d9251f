//! Record of a simulation run.

use std::time::Duration;

use indexmap::IndexMap;
use snipegate_escrow::EscrowCounter;
use snipegate_types::BudgetId;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::TokenCount;

/// The outcome of an attempt, as seen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Still waiting for tokens or running.
    Open,
    /// Refused before it ran.
    Refused(ResultCode),
    /// Failed without a response and without a bill.
    Cancelled,
    /// The complete response was sent.
    Answered,
    /// The response lacks its last part; its bill was withdrawn.
    Withdrawn,
    /// The response lacks its last part; its bill may still be charged.
    Unconfirmed,
}

/// One attempt to run a request on one router.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Index of the router.
    pub node: usize,
    /// The request id.
    pub request: RequestId,
    /// The budget.
    pub budget: BudgetId,
    /// The number of tokens to reserve.
    pub worst_case: TokenCount,
    /// The number of tokens that it uses if it runs.
    pub used: TokenCount,
    /// When it arrived.
    pub arrived: Duration,
    /// When it was admitted, if it was.
    pub admitted: Option<Duration>,
    /// When its outcome was determined.
    pub ended: Option<Duration>,
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// How long its router was paused during the attempt. Until the outcome is known: the
    /// router's total pause time at arrival.
    pub paused: Duration,
    /// If it was refused: the unused and the purchased tokens of the budget at that time.
    pub unused_at_refusal: Option<(TokenCount, TokenCount)>,
    /// If it was refused: the free tokens that its router could reach at that time.
    pub reachable_at_refusal: TokenCount,
}

/// The record of a run.
#[derive(Clone, Debug, Default)]
pub struct WorldRecord {
    /// All attempts.
    pub attempts: Vec<AttemptRecord>,
    /// The bills in the ledger.
    pub bills: IndexMap<RequestId, TokenCount>,
    /// Number of bills written for a request that was already billed.
    pub duplicate_bills: u64,
    /// Counter values, summed over all routers.
    pub counters: IndexMap<&'static str, u64>,
    /// Number of batches processed by the ledger.
    pub batches: u64,
    /// Number of messages sent between routers.
    pub messages: u64,
}

impl WorldRecord {
    /// Returns the value of a counter.
    pub fn count(&self, counter: EscrowCounter) -> u64 {
        let name: &'static str = counter.into();
        self.counters.get(name).copied().unwrap_or_default()
    }

    /// Increments a counter.
    pub(crate) fn add(&mut self, counter: EscrowCounter, count: u64) {
        *self.counters.entry(counter.into()).or_default() += count;
    }
}
