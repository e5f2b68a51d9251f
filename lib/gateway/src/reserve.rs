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
use crate::gateway::stable_hash;
use crate::holding::BudgetHolding;
use crate::holding::HoldingRefusal;
use crate::local_response::jitter;
use crate::metadata::RequestMetadata;
use crate::refusal::Refusal;
use crate::token_request::TokenNeed;
use crate::token_request::TokenRequestOutcome;
use crate::token_request::ask_ahead;
use crate::token_request::deduct_announced;
use crate::token_request::newest_announcement;
use crate::token_request::peer_with_most_free;
use crate::token_request::request_tokens;
use crate::token_search::KnownAnswer;
use crate::token_search::SearchLog;
use crate::token_search::SearchView;
use crate::token_search::TokenSource;
use crate::token_search::next_source;

/// Maximum time that a request waits for a grant.
const MAX_GRANT_WAIT: Duration = Duration::from_millis(250);

/// Maximum fraction of the time to its deadline that a request waits for a grant.
const MAX_GRANT_WAIT_FRACTION: f64 = 0.1;

/// Timeout for an answer of the keeper, which may have to write a grant first.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(120);

/// Timeout for an answer of a VM that is not the keeper.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(25);

/// The same while the store is unreachable. Other VMs then hold all tokens that can be had, and
/// all VMs ask them.
const HOLDER_TIMEOUT_IN_OUTAGE: Duration = Duration::from_millis(60);

/// Maximum number of VMs that tokens are requested from for one request.
const MAX_PEERS_TRIED: usize = 4;

/// Retry delay sent to callers while other VMs hold the rest of a budget.
const HELD_RETRY_AFTER: Duration = Duration::from_millis(1200);

/// Retry delay sent to callers whose budget has tokens that are not granted yet. A grant takes one
/// write to the store; callers retry only within a third of the time that they have left.
const GRANT_RETRY_AFTER: Duration = Duration::from_millis(400);

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
    let mut search = TokenSearch::new(gateway, workspace, cost, &metadata.attempt_id, wait_until);
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
            Some(Ok(())) => {
                ask_ahead(gateway, workspace);
                return Ok(());
            }
            Some(Err(refusal)) => refusal,
        };
        search.begin_waiting();
        if refusal != HoldingRefusal::Exhausted
            && let Some(until) = search.shared_wait(now)
        {
            let _ = timeout(until.saturating_duration_since(now), changed).await;
            continue;
        }
        let source = match refusal {
            HoldingRefusal::Exhausted => None,
            _ => search.next_source(refusal, now),
        };
        let Some(source) = source else {
            let refusal = search.refine_refusal(refusal);
            return Err(build_refusal(gateway, &search, refusal, metadata));
        };
        search.request_from(source, changed).await;
    }
}

/// Search of one request for additional tokens.
struct TokenSearch<'a> {
    gateway: &'a Gateway,
    workspace: &'a WorkspaceId,
    hash: u64,
    cost: TokenCount,
    request: &'a str,
    wait_until: Instant,
    /// VMs that are not tried again: keepers without tokens, and all other holders tried
    /// before.
    tried: Vec<SocketAddr>,
    /// Whether the keeper may still be tried, because it may reach the store.
    may_try_keeper: bool,
    /// Whether the request counts among those that wait for tokens.
    is_waiting: bool,
    log: SearchLog,
}

impl Drop for TokenSearch<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            let mut questions = self.gateway.token_questions.borrow_mut();
            questions.remove_waiting(self.hash, self.cost);
        }
    }
}

impl<'a> TokenSearch<'a> {
    fn new(
        gateway: &'a Gateway,
        workspace: &'a WorkspaceId,
        cost: TokenCount,
        request: &'a str,
        wait_until: Instant,
    ) -> Self {
        Self {
            gateway,
            workspace,
            hash: stable_hash(workspace.as_str()),
            cost,
            request,
            wait_until,
            tried: Vec::new(),
            may_try_keeper: true,
            is_waiting: false,
            log: SearchLog::default(),
        }
    }

    /// Counts the request among those that wait for tokens of the workspace.
    fn begin_waiting(&mut self) {
        if !self.is_waiting {
            self.is_waiting = true;
            let mut questions = self.gateway.token_questions.borrow_mut();
            questions.add_waiting(self.hash, self.cost);
        }
    }

    /// Returns until when to wait for the answer to another request's question; `None` if none
    /// is in flight.
    fn shared_wait(&self, now: Instant) -> Option<Instant> {
        let questions = self.gateway.token_questions.borrow();
        let open = questions.open(self.hash, now)?;
        (now < self.wait_until).then_some(open.until.min(self.wait_until))
    }

    /// Returns the next source of tokens; `None` if no source is left or the time is
    /// up.
    fn next_source(&mut self, refusal: HoldingRefusal, now: Instant) -> Option<TokenSource> {
        if now >= self.wait_until {
            return None;
        }
        let keeper = remote_keeper(self.gateway, shard_of(self.workspace), now);
        let keeper = keeper.map(|keeper| keeper.address);
        if let Some(keeper) = keeper
            && !self.tried.contains(&keeper)
        {
            self.skip_if_known_empty(keeper, now);
        }
        let may_ask_keeper =
            self.may_try_keeper && keeper.is_some_and(|keeper| !self.tried.contains(&keeper));
        let holder = match self.tried.len() >= MAX_PEERS_TRIED {
            true => None,
            false => peer_with_most_free(self.gateway, self.workspace, &self.tried, now),
        };
        next_source(&SearchView {
            is_store_lost: self.gateway.store_contact.get().is_failing(),
            keeper,
            may_ask_keeper,
            needs_grant: refusal == HoldingRefusal::NeedsGrant,
            holder,
        })
    }

    /// Excludes a VM that has just told another request that it has no tokens.
    fn skip_if_known_empty(&mut self, vm: SocketAddr, now: Instant) {
        let questions = self.gateway.token_questions.borrow();
        if let Some(known) = questions.known_failure(self.hash, vm, now) {
            self.tried.push(vm);
            let age = now.saturating_duration_since(known.at);
            self.log.add_known(vm, known.outcome, age);
        }
    }

    /// Returns the tokens that this request lacks.
    fn shortfall(&self, now: Instant) -> TokenCount {
        let shortfall = with_workspace_holding(self.gateway, self.workspace, |holding| {
            holding.shortfall(self.cost, now)
        });
        shortfall.unwrap_or(self.cost)
    }

    /// Returns the refusal of a failed search. [`HoldingRefusal::HeldElsewhere`] becomes
    /// [`HoldingRefusal::Exhausted`] if all VMs together have too few tokens left.
    fn refine_refusal(&self, refusal: HoldingRefusal) -> HoldingRefusal {
        let gateway = self.gateway;
        let keeper = remote_keeper(gateway, shard_of(self.workspace), gateway.now());
        let knows_record = keeper.is_none_or(|keeper| self.tried.contains(&keeper.address));
        if refusal != HoldingRefusal::HeldElsewhere || !knows_record {
            return refusal;
        }
        let Some(left) = max_remaining(gateway, self.workspace) else {
            return refusal;
        };
        info!(gateway.log, "budget tallied"; "request" => self.request,
            "workspace" => %self.workspace, "left" => left.0, "cost" => self.cost.0);
        match left < self.cost {
            true => HoldingRefusal::Exhausted,
            false => refusal,
        }
    }

    /// Requests tokens from a source and waits for the outcome.
    async fn request_from(&mut self, source: TokenSource, changed: Notified<'_>) {
        let gateway = self.gateway;
        let now = gateway.now();
        let left = self.wait_until.saturating_duration_since(now);
        match source {
            TokenSource::Record => {
                gateway.grant_notify.notify_one();
                let _ = timeout(left, changed).await;
            }
            TokenSource::Keeper(keeper) => {
                let wait = KEEPER_TIMEOUT.min(left);
                match self.ask(keeper, true, wait).await {
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
                let wait = match gateway.store_contact.get().is_failing() {
                    true => HOLDER_TIMEOUT_IN_OUTAGE,
                    false => HOLDER_TIMEOUT,
                };
                self.ask(holder, false, wait.min(left)).await;
            }
        }
    }

    /// Asks a VM for the tokens that this request lacks, and for those that the other waiting
    /// requests of the workspace need if it has more.
    async fn ask(
        &mut self,
        target: SocketAddr,
        as_keeper: bool,
        wait: Duration,
    ) -> Option<TokenRequestOutcome> {
        let gateway = self.gateway;
        let began = gateway.now();
        let waiting = gateway.token_questions.borrow().waiting(self.hash);
        let need = TokenNeed {
            request: self.request,
            workspace: self.workspace,
            tokens: self.shortfall(began),
            others: waiting.saturating_sub(self.cost),
            as_keeper,
        };
        let outcome = request_tokens(gateway, target, &need, wait).await;
        let now = gateway.now();
        let waited = now.saturating_duration_since(began);
        let name = outcome.map_or("not_answered", Into::into);
        self.log.add_answer(target, name, waited);
        if outcome.is_some_and(|outcome| outcome != TokenRequestOutcome::Given) {
            deduct_announced(gateway, target, self.hash, TokenCount(u64::MAX));
        }
        let mut questions = gateway.token_questions.borrow_mut();
        match outcome {
            Some(TokenRequestOutcome::Given) => questions.record_success(self.hash, target),
            _ => {
                let answer = KnownAnswer {
                    outcome: name,
                    at: now,
                };
                questions.record_failure(self.hash, target, answer);
            }
        }
        outcome
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
    search: &TokenSearch<'_>,
    refusal: HoldingRefusal,
    metadata: &RequestMetadata,
) -> Refusal {
    let now = gateway.now();
    let (workspace, cost) = (search.workspace, search.cost);
    let store_lost = gateway.store_contact.get().is_failing();
    with_workspace_holding(gateway, workspace, |holding| {
        let totals = holding.totals().unwrap_or_default();
        info!(gateway.log, "budget refused"; "prepaid" => holding.prepaid().0,
            "taken" => totals.taken.0, "used" => totals.used.0, "request" => &*metadata.attempt_id,
            "workspace" => %workspace, "reason" => ?refusal, "cost" => cost.0,
            "free" => holding.free(now).0, "held" => holding.held().0,
            "unassigned" => holding.unassigned().0, "revision" => %holding.revision(),
            "asked" => %search.log,
            "announced" => newest_announcement(gateway, workspace, now),
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
        HoldingRefusal::NeedsGrant => {
            Refusal::retryable(ResultCode::BudgetUnreachable, jitter(GRANT_RETRY_AFTER))
        }
        _ => Refusal::retryable(ResultCode::BudgetUnreachable, jitter(HELD_RETRY_AFTER)),
    }
}
