//! Reserves a request's maximum cost in its workspace's budget.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use slog::info;
use snipegate_types::ResultCode;
use snipegate_types::TokenCount;
use snipegate_types::WorkspaceId;
use tokio::sync::futures::Notified;
use tokio::time::timeout;

use crate::admission::Admission;
use crate::budget_exchange::max_remaining;
use crate::budget_exchange::record_keeper_failure;
use crate::budget_exchange::remote_keeper;
use crate::budget_exchange::shard_of;
use crate::budget_exchange::update_prepaid;
use crate::gateway::Gateway;
use crate::holding::BudgetHolding;
use crate::holding::HoldingRefusal;
use crate::local_response::jitter;
use crate::metadata::RequestMetadata;
use crate::refusal::Refusal;
use crate::token_request::TokenNeed;
use crate::token_request::TokenRequestOutcome;
use crate::token_request::peer_with_most_free;
use crate::token_request::request_tokens;

/// Maximum time that a request waits for a grant.
const MAX_GRANT_WAIT: Duration = Duration::from_millis(250);

/// Maximum fraction of the time to its deadline that a request waits for a grant.
const MAX_GRANT_WAIT_FRACTION: f64 = 0.1;

/// Timeout for an answer of the keeper, which may have to write a grant first.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(120);

/// Timeout for an answer of a VM that is not the keeper.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(25);

/// Maximum number of VMs that tokens are requested from for one request.
const MAX_PEERS_TRIED: usize = 4;

/// Retry delay sent to callers while other VMs hold the rest of a budget.
const HELD_RETRY_AFTER: Duration = Duration::from_millis(1200);

/// Retry delay sent to callers while the store is unreachable.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(1500);

/// Reserves `cost` tokens and waits briefly for a grant if necessary.
///
/// # Errors
///
/// Returns a final refusal only if tokens already used leave too little of the budget.
/// All other refusals tell the caller to retry later.
pub async fn reserve(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    cost: TokenCount,
    admission: &Admission,
    metadata: &RequestMetadata,
) -> Result<(), Refusal> {
    let began = gateway.now();
    let left = admission.deadline.saturating_duration_since(began);
    let wait_until = began + MAX_GRANT_WAIT.min(left.mul_f64(MAX_GRANT_WAIT_FRACTION));
    update_prepaid(gateway);
    with_workspace_holding(gateway, workspace, |holding| {
        holding.record_request(cost, began)
    });
    let mut search = TokenSearch::new(workspace, &metadata.attempt_id, wait_until);
    loop {
        let changed = gateway.grant_changed.notified();
        let now = gateway.now();
        let result = with_workspace_holding(gateway, workspace, |holding| {
            try_reserve(holding, cost, now)
        });
        let refusal = match result {
            None => {
                return Err(Refusal::retryable(
                    ResultCode::BudgetUnknown,
                    OUTAGE_RETRY_AFTER,
                ));
            }
            Some(Ok(())) => return Ok(()),
            Some(Err(refusal)) => refusal,
        };
        let source = match refusal {
            HoldingRefusal::Exhausted => None,
            _ => search.next_source(gateway, refusal),
        };
        let Some(source) = source else {
            let refusal = search.refine_refusal(gateway, refusal, cost);
            return Err(build_refusal(gateway, workspace, refusal, metadata, cost));
        };
        let need =
            with_workspace_holding(gateway, workspace, |holding| holding.shortfall(cost, now))
                .unwrap_or(cost);
        search.request_from(gateway, source, need, changed).await;
    }
}

/// Source of additional tokens.
enum TokenSource {
    /// The budget record in the store, through a larger grant of this VM.
    Record,
    /// The keeper of the budget.
    Keeper(SocketAddr),
    /// A VM that reported free tokens.
    Holder(SocketAddr),
}

/// Search of one request for additional tokens.
struct TokenSearch<'a> {
    workspace: &'a WorkspaceId,
    request: &'a str,
    wait_until: Instant,
    /// VMs that are not tried again: keepers without tokens, and all other holders tried
    /// before.
    tried: Vec<SocketAddr>,
    /// Whether the keeper may still be tried, because it may reach the store.
    may_try_keeper: bool,
}

impl<'a> TokenSearch<'a> {
    fn new(workspace: &'a WorkspaceId, request: &'a str, wait_until: Instant) -> Self {
        Self {
            workspace,
            request,
            wait_until,
            tried: Vec::new(),
            may_try_keeper: true,
        }
    }

    /// Returns the next source of tokens; `None` if no source is left or the time is
    /// up.
    fn next_source(&self, gateway: &Gateway, refusal: HoldingRefusal) -> Option<TokenSource> {
        let now = gateway.now();
        if now >= self.wait_until {
            return None;
        }
        let keeper = remote_keeper(gateway, shard_of(self.workspace), now);
        if let Some(keeper) = keeper
            && self.may_try_keeper
            && !self.tried.contains(&keeper.address)
        {
            return Some(TokenSource::Keeper(keeper.address));
        }
        let is_failing = gateway.store_contact.get().is_failing();
        if keeper.is_none() && refusal == HoldingRefusal::NeedsGrant && !is_failing {
            return Some(TokenSource::Record);
        }
        if self.tried.len() >= MAX_PEERS_TRIED {
            return None;
        }
        peer_with_most_free(gateway, self.workspace, &self.tried, now).map(TokenSource::Holder)
    }

    /// Returns the refusal of a failed search. [`HoldingRefusal::HeldElsewhere`] becomes
    /// [`HoldingRefusal::Exhausted`] if all VMs together have too few tokens left.
    fn refine_refusal(
        &self,
        gateway: &Gateway,
        refusal: HoldingRefusal,
        cost: TokenCount,
    ) -> HoldingRefusal {
        let keeper = remote_keeper(gateway, shard_of(self.workspace), gateway.now());
        let knows_record = keeper.is_none_or(|keeper| self.tried.contains(&keeper.address));
        if refusal != HoldingRefusal::HeldElsewhere || !knows_record {
            return refusal;
        }
        let Some(left) = max_remaining(gateway, self.workspace) else {
            return refusal;
        };
        info!(gateway.log, "budget tallied"; "request" => self.request,
            "workspace" => %self.workspace, "left" => left.0, "cost" => cost.0);
        match left < cost {
            true => HoldingRefusal::Exhausted,
            false => refusal,
        }
    }

    /// Requests tokens from a source and waits for the outcome.
    async fn request_from(
        &mut self,
        gateway: &Gateway,
        source: TokenSource,
        tokens: TokenCount,
        changed: Notified<'_>,
    ) {
        let left = self.wait_until.saturating_duration_since(gateway.now());
        let need = TokenNeed {
            request: self.request,
            workspace: self.workspace,
            tokens,
            as_keeper: matches!(source, TokenSource::Keeper(_)),
        };
        match source {
            TokenSource::Record => {
                gateway.grant_notify.notify_one();
                let _ = timeout(left, changed).await;
            }
            TokenSource::Keeper(keeper) => {
                let wait = KEEPER_TIMEOUT.min(left);
                let outcome = request_tokens(gateway, keeper, &need, wait).await;
                match outcome {
                    Some(TokenRequestOutcome::Given) => {}
                    Some(TokenRequestOutcome::NoneLeft) => self.tried.push(keeper),
                    Some(TokenRequestOutcome::StoreLost) | None => {
                        record_keeper_failure(gateway, keeper);
                        self.may_try_keeper = !gateway.store_contact.get().is_failing();
                    }
                }
            }
            TokenSource::Holder(holder) => {
                self.tried.push(holder);
                let wait = HOLDER_TIMEOUT.min(left);
                request_tokens(gateway, holder, &need, wait).await;
            }
        }
    }
}

/// Reserves the cost, or returns the reason for the refusal.
fn try_reserve(
    holding: &mut BudgetHolding,
    cost: TokenCount,
    now: Instant,
) -> Result<(), HoldingRefusal> {
    holding
        .reserve(cost, now)
        .map_err(|_| holding.refusal_reason(cost, now))
}

fn with_workspace_holding<T>(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    act: impl FnOnce(&mut BudgetHolding) -> T,
) -> Option<T> {
    gateway.holdings.borrow_mut().get_mut(workspace).map(act)
}

fn build_refusal(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    refusal: HoldingRefusal,
    metadata: &RequestMetadata,
    cost: TokenCount,
) -> Refusal {
    let now = gateway.now();
    let store_lost = gateway.store_contact.get().is_failing();
    with_workspace_holding(gateway, workspace, |holding| {
        let totals = holding.totals().unwrap_or_default();
        info!(gateway.log, "budget refused"; "prepaid" => holding.prepaid().0,
            "taken" => totals.taken.0, "used" => totals.used.0, "request" => &*metadata.attempt_id,
            "workspace" => %workspace, "reason" => ?refusal, "cost" => cost.0,
            "free" => holding.free(now).0, "held" => holding.held().0,
            "unassigned" => holding.unassigned().0, "revision" => %holding.revision(),
            "store_lost" => store_lost);
    });
    if !store_lost && refusal != HoldingRefusal::NeedsGrant {
        gateway
            .scarce_budgets
            .borrow_mut()
            .insert(workspace.clone(), now);
        gateway.gossip_notify.notify_one();
    }
    match refusal {
        HoldingRefusal::Exhausted if !store_lost => Refusal::permanent(ResultCode::BudgetExhausted),
        _ if store_lost => {
            Refusal::retryable(ResultCode::BudgetUnreachable, jitter(OUTAGE_RETRY_AFTER))
        }
        _ => Refusal::retryable(ResultCode::BudgetUnreachable, jitter(HELD_RETRY_AFTER)),
    }
}
