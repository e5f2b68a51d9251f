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
use crate::own_answer::spread;
use crate::purse::BudgetPurse;
use crate::purse::PurseRefusal;
use crate::refusal::Refusal;
use crate::terms::RequestTerms;
use crate::token_ask::AskOutcome;
use crate::token_ask::TokenNeed;
use crate::token_ask::peer_with_most_free;
use crate::token_ask::request_tokens;

/// Maximum time that a request waits for a grant.
const MAX_GRANT_WAIT: Duration = Duration::from_millis(250);

/// Maximum fraction of the time to its deadline that a request waits for a grant.
const MAX_GRANT_WAIT_FRACTION: f64 = 0.1;

/// Timeout for an answer of the keeper, which may have to write a grant first.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(120);

/// Timeout for an answer of a VM that is not the keeper.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(25);

/// Maximum number of VMs that a request asks for tokens.
const MAX_PEERS_ASKED: usize = 4;

/// Retry delay sent to callers while other VMs hold the rest of a budget.
const HELD_RETRY_AFTER: Duration = Duration::from_millis(1200);

/// Retry delay sent to callers while the store is unreachable.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(1500);

/// Reserves `cost` tokens and waits briefly for a grant if necessary.
///
/// # Errors
///
/// Returns a final refusal only if tokens already used leave too little of the budget.
/// All other refusals ask the caller to retry later.
pub async fn reserve(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    cost: TokenCount,
    admission: &Admission,
    terms: &RequestTerms,
) -> Result<(), Refusal> {
    let began = gateway.now();
    let left = admission.deadline.saturating_duration_since(began);
    let wait_until = began + MAX_GRANT_WAIT.min(left.mul_f64(MAX_GRANT_WAIT_FRACTION));
    update_prepaid(gateway);
    with_workspace_purse(gateway, workspace, |purse| {
        purse.record_request(cost, began)
    });
    let mut search = TokenSearch::new(workspace, &terms.attempt_id, wait_until);
    loop {
        let changed = gateway.grant_changed.notified();
        let now = gateway.now();
        let result =
            with_workspace_purse(gateway, workspace, |purse| try_reserve(purse, cost, now));
        let refusal = match result {
            None => {
                return Err(Refusal::come_back(
                    ResultCode::BudgetUnknown,
                    OUTAGE_RETRY_AFTER,
                ));
            }
            Some(Ok(())) => return Ok(()),
            Some(Err(refusal)) => refusal,
        };
        let source = match refusal {
            PurseRefusal::Exhausted => None,
            _ => search.next_source(gateway, refusal),
        };
        let Some(source) = source else {
            let refusal = search.refine_refusal(gateway, refusal, cost);
            return Err(build_refusal(gateway, workspace, refusal, terms, cost));
        };
        let need = with_workspace_purse(gateway, workspace, |purse| purse.shortfall(cost, now))
            .unwrap_or(cost);
        search.ask(gateway, source, need, changed).await;
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
    /// VMs that are not asked again: those without tokens, and other holders already
    /// asked.
    asked: Vec<SocketAddr>,
    /// Whether a keeper may still be asked, because it may reach the store.
    may_ask_keeper: bool,
}

impl<'a> TokenSearch<'a> {
    fn new(workspace: &'a WorkspaceId, request: &'a str, wait_until: Instant) -> Self {
        Self {
            workspace,
            request,
            wait_until,
            asked: Vec::new(),
            may_ask_keeper: true,
        }
    }

    /// Returns the next source of tokens; `None` if no source is left or the time is
    /// up.
    fn next_source(&self, gateway: &Gateway, refusal: PurseRefusal) -> Option<TokenSource> {
        let now = gateway.now();
        if now >= self.wait_until {
            return None;
        }
        let keeper = remote_keeper(gateway, shard_of(self.workspace), now);
        if let Some(keeper) = keeper
            && self.may_ask_keeper
            && !self.asked.contains(&keeper.address)
        {
            return Some(TokenSource::Keeper(keeper.address));
        }
        let is_failing = gateway.contact.get().is_failing();
        if keeper.is_none() && refusal == PurseRefusal::NeedsGrant && !is_failing {
            return Some(TokenSource::Record);
        }
        if self.asked.len() >= MAX_PEERS_ASKED {
            return None;
        }
        peer_with_most_free(gateway, self.workspace, &self.asked, now).map(TokenSource::Holder)
    }

    /// Returns the refusal of a failed search. [`PurseRefusal::HeldElsewhere`] becomes
    /// [`PurseRefusal::Exhausted`] if all VMs together have too few tokens left.
    fn refine_refusal(
        &self,
        gateway: &Gateway,
        refusal: PurseRefusal,
        cost: TokenCount,
    ) -> PurseRefusal {
        let keeper = remote_keeper(gateway, shard_of(self.workspace), gateway.now());
        let knows_record = keeper.is_none_or(|keeper| self.asked.contains(&keeper.address));
        if refusal != PurseRefusal::HeldElsewhere || !knows_record {
            return refusal;
        }
        let Some(left) = max_remaining(gateway, self.workspace) else {
            return refusal;
        };
        info!(gateway.log, "budget tallied"; "request" => self.request,
            "workspace" => %self.workspace, "left" => left.0, "cost" => cost.0);
        match left < cost {
            true => PurseRefusal::Exhausted,
            false => refusal,
        }
    }

    /// Requests tokens from a source and waits for the outcome.
    async fn ask(
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
                gateway.grant_due.notify_one();
                let _ = timeout(left, changed).await;
            }
            TokenSource::Keeper(keeper) => {
                let wait = KEEPER_TIMEOUT.min(left);
                let outcome = request_tokens(gateway, keeper, &need, wait).await;
                match outcome {
                    Some(AskOutcome::Given) => {}
                    Some(AskOutcome::NoneLeft) => self.asked.push(keeper),
                    Some(AskOutcome::StoreLost) | None => {
                        record_keeper_failure(gateway, keeper);
                        self.may_ask_keeper = !gateway.contact.get().is_failing();
                    }
                }
            }
            TokenSource::Holder(holder) => {
                self.asked.push(holder);
                let wait = HOLDER_TIMEOUT.min(left);
                request_tokens(gateway, holder, &need, wait).await;
            }
        }
    }
}

/// Reserves the cost, or returns the reason for the refusal.
fn try_reserve(
    purse: &mut BudgetPurse,
    cost: TokenCount,
    now: Instant,
) -> Result<(), PurseRefusal> {
    purse
        .reserve(cost, now)
        .map_err(|_| purse.refusal_reason(cost, now))
}

fn with_workspace_purse<T>(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    act: impl FnOnce(&mut BudgetPurse) -> T,
) -> Option<T> {
    gateway.purses.borrow_mut().get_mut(workspace).map(act)
}

fn build_refusal(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    refusal: PurseRefusal,
    terms: &RequestTerms,
    cost: TokenCount,
) -> Refusal {
    let now = gateway.now();
    let store_lost = gateway.contact.get().is_failing();
    with_workspace_purse(gateway, workspace, |purse| {
        let totals = purse.totals().unwrap_or_default();
        info!(gateway.log, "budget refused"; "prepaid" => purse.prepaid().0,
            "taken" => totals.taken.0, "used" => totals.used.0, "request" => &*terms.attempt_id,
            "workspace" => %workspace, "reason" => ?refusal, "cost" => cost.0,
            "free" => purse.free(now).0, "held" => purse.held().0,
            "unassigned" => purse.unassigned().0, "revision" => purse.revision(),
            "store_lost" => store_lost);
    });
    if !store_lost && refusal != PurseRefusal::NeedsGrant {
        gateway.scarce.borrow_mut().insert(workspace.clone(), now);
        gateway.gossip_due.notify_one();
    }
    match refusal {
        PurseRefusal::Exhausted if !store_lost => Refusal::fatal(ResultCode::BudgetExhausted),
        _ if store_lost => {
            Refusal::come_back(ResultCode::BudgetUnreachable, spread(OUTAGE_RETRY_AFTER))
        }
        _ => Refusal::come_back(ResultCode::BudgetUnreachable, spread(HELD_RETRY_AFTER)),
    }
}
