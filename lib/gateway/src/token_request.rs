//! Token requests between VMs.
//!
//! With many VMs and workspaces, each VM sees few requests of each workspace. A grant
//! for every VM would tie up most of a budget and need a store write for most requests.
//! Instead, the keeper of a budget holds tokens for all VMs, and a request whose VM
//! lacks tokens costs one exchange of datagrams.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use slog::info;
use snipegate_types::TokenCount;
use snipegate_types::WorkspaceId;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::budget_exchange::SHARDS;
use crate::budget_exchange::with_holding;
use crate::budget_record::BudgetTotals;
use crate::gateway::Gateway;
use crate::gateway::stable_hash;
use crate::gossip::PeerMessage;
use crate::holding::HoldingRefusal;
use crate::transfer::TokenTransfer;
use crate::transfer::TransferTarget;
use crate::transfer::handle_transfer;
use crate::transfer::start_transfer;

/// How long another VM's report of its free tokens is valid.
const FREE_TOKENS_TTL: Duration = Duration::from_secs(3);

/// Maximum number of token requests of other VMs that are queued for a grant.
const MAX_QUEUED: usize = 4096;

/// Maximum time that a token request of another VM is queued for a grant.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(80);

/// A request to another VM for tokens of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Sequence number among the requests of the sender.
    pub number: u64,
    /// Incarnation of the sender's process.
    pub asker: u64,
    /// The workspace, as a hash of its id.
    pub workspace: u64,
    /// Tokens that requests are waiting for; zero if the message only reports use.
    pub need: TokenCount,
    /// Tokens that the sender expects to need soon.
    pub wish: TokenCount,
    /// Demand since the sender's last message to a keeper.
    pub demand: TokenCount,
    /// Use that the receiver accounts for from now on.
    pub report: TokenCount,
    /// Whether the message addresses the receiver as the keeper, which may enlarge its
    /// grant to answer.
    pub as_keeper: bool,
}

/// Outcome of a token request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TokenRequestOutcome {
    /// The answer includes a transfer of tokens.
    Given,
    /// The receiver has too few tokens and cannot obtain more.
    NoneLeft,
    /// The receiver has too few tokens, and cannot reach the store or may not be granted more.
    StoreLost,
}

/// Answer to a token request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenAnswer {
    /// Sequence number of the token request.
    pub number: u64,
    /// Outcome of the request.
    pub outcome: TokenRequestOutcome,
    /// Transfer of tokens, if any.
    pub transfer: Option<TokenTransfer>,
    /// The newest totals of the budget that the sender knows.
    pub totals: Option<BudgetTotals>,
}

/// A token request of another VM that is queued for a grant.
#[derive(Clone, Copy, Debug)]
pub struct QueuedTokenRequest {
    sender: SocketAddr,
    request: TokenRequest,
    queued_at: Instant,
}

/// Free tokens that another VM reported.
#[derive(Clone, Debug)]
pub struct FreeTokens {
    /// Time of the report.
    pub at: Instant,
    /// Free tokens, keyed by workspace hash.
    pub by_workspace: Vec<(u64, TokenCount)>,
}

/// What a request needs from another VM.
#[derive(Clone, Copy, Debug)]
pub struct TokenNeed<'a> {
    /// Id of the request's attempt.
    pub request: &'a str,
    /// Workspace whose budget has too few free tokens at this VM.
    pub workspace: &'a WorkspaceId,
    /// Number of missing tokens.
    pub tokens: TokenCount,
    /// Whether to address the other VM as the keeper.
    pub as_keeper: bool,
}

/// Requests tokens from a VM and waits for its answer; `None` if none arrives within
/// `wait`.
pub async fn request_tokens(
    gateway: &Gateway,
    target: SocketAddr,
    need: &TokenNeed<'_>,
    wait: Duration,
) -> Option<TokenRequestOutcome> {
    let began = gateway.now();
    let request = build_token_request(gateway, need.workspace, need.tokens, need.as_keeper)?;
    let (answered, answer) = oneshot::channel();
    let pending = &gateway.pending_token_requests;
    pending.borrow_mut().insert(request.number, answered);
    let _guard = PendingRequestGuard(gateway, request.number);
    gateway.send_direct(target, PeerMessage::TokenRequest(request));
    let outcome = timeout(wait, answer).await.ok().and_then(Result::ok);
    let name = outcome.map_or("not_answered", Into::into);
    gateway.metrics.count_tagged("budget.ask", name);
    let waited = gateway.now().saturating_duration_since(began);
    info!(gateway.log, "tokens asked"; "request" => need.request,
        "workspace" => %need.workspace, "of" => %target, "as_keeper" => need.as_keeper,
        "need" => need.tokens.0, "outcome" => name, "waited_ms" => waited.as_millis());
    outcome
}

/// Removes a pending token request when its request stops waiting, including when the
/// caller disconnects.
struct PendingRequestGuard<'a>(&'a Gateway, u64);

impl Drop for PendingRequestGuard<'_> {
    fn drop(&mut self) {
        self.0
            .pending_token_requests
            .borrow_mut()
            .swap_remove(&self.1);
    }
}

/// Reports this VM's use of a budget to its keeper.
pub fn report_use(gateway: &Gateway, target: SocketAddr, workspace: &WorkspaceId) {
    if let Some(request) = build_token_request(gateway, workspace, TokenCount::ZERO, true) {
        gateway.send_direct(target, PeerMessage::TokenRequest(request));
    }
}

fn build_token_request(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    need: TokenCount,
    as_keeper: bool,
) -> Option<TokenRequest> {
    let mut holdings = gateway.holdings.borrow_mut();
    let holding = holdings.get_mut(workspace)?;
    let (demand, report) = match as_keeper {
        true => (
            holding.take_unreported_demand(),
            holding.take_unreported_use(),
        ),
        false => (TokenCount::ZERO, TokenCount::ZERO),
    };
    let number = gateway.token_requests_sent.get() + 1;
    gateway.token_requests_sent.set(number);
    Some(TokenRequest {
        number,
        asker: gateway.incarnation,
        workspace: holding.workspace(),
        need,
        wish: holding.prefetch_tokens(gateway.now()),
        demand,
        report,
        as_keeper,
    })
}

/// Returns the VM that reported the most free tokens, except those in `tried`.
pub fn peer_with_most_free(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    tried: &[SocketAddr],
    now: Instant,
) -> Option<SocketAddr> {
    let hash = stable_hash(workspace.as_str());
    let holders = gateway.peer_free_tokens.borrow();
    holders
        .iter()
        .filter(|(address, free)| {
            now.saturating_duration_since(free.at) < FREE_TOKENS_TTL && !tried.contains(*address)
        })
        .filter_map(|(address, free)| {
            let held = free.by_workspace.iter().find(|(id, _)| *id == hash)?;
            Some((held.1, *address))
        })
        .max()
        .map(|(_, address)| address)
}

/// Handles a token request of another VM: answers it or queues it for a grant.
pub fn handle_token_request(gateway: &Gateway, sender: SocketAddr, request: TokenRequest) {
    if !gateway
        .token_request_dedup
        .borrow_mut()
        .is_first(request.asker, request.number)
    {
        return;
    }
    record_token_request(gateway, &request);
    if request.need.is_zero() {
        return;
    }
    let queued_at = gateway.now();
    let queued = QueuedTokenRequest {
        sender,
        request,
        queued_at,
    };
    let has_room = gateway.queued_token_requests.borrow().len() < MAX_QUEUED;
    if !request.as_keeper || !has_room || is_due(gateway, &queued, queued_at) {
        answer_token_request(gateway, sender, &request);
        return;
    }
    gateway.queued_token_requests.borrow_mut().push(queued);
    gateway.grant_notify.notify_one();
}

fn record_token_request(gateway: &Gateway, request: &TokenRequest) {
    let now = gateway.now();
    with_holding(gateway, request.workspace, |_, holding| {
        holding.record_reported_use(request.report);
        holding.record_demand(request.demand, now);
        if !request.need.is_zero() {
            holding.record_cost(request.need);
        }
    });
}

/// Answers queued token requests that can be answered now or have waited too long.
pub fn answer_queue(gateway: &Gateway) {
    let now = gateway.now();
    let queue = std::mem::take(&mut *gateway.queued_token_requests.borrow_mut());
    let (due, left): (Vec<QueuedTokenRequest>, Vec<QueuedTokenRequest>) = queue
        .into_iter()
        .partition(|queued| is_due(gateway, queued, now));
    gateway.queued_token_requests.borrow_mut().extend(left);
    for queued in due {
        answer_token_request(gateway, queued.sender, &queued.request);
    }
}

/// Returns whether a token request should be answered now, with or without tokens.
fn is_due(gateway: &Gateway, queued: &QueuedTokenRequest, now: Instant) -> bool {
    let waited = now.saturating_duration_since(queued.queued_at);
    if waited < MAX_QUEUE_TIME && waits_for_promise(gateway, &queued.request, now) {
        return false;
    }
    free_tokens(gateway, queued.request.workspace) >= queued.request.need
        || waited >= MAX_QUEUE_TIME
        || is_restricted(gateway, &queued.request)
        || gateway.store_contact.get().is_failing()
        || cannot_be_granted(gateway, queued)
}

/// Returns whether this VM may not be granted all of the budget, so that another one should
/// be asked as the keeper.
fn is_restricted(gateway: &Gateway, request: &TokenRequest) -> bool {
    let shard = request.workspace % SHARDS;
    request.as_keeper && gateway.restricted_shards.borrow().contains(&shard)
}

/// Returns whether the tokens of a request are there as soon as the witness has taken a promise.
fn waits_for_promise(gateway: &Gateway, request: &TokenRequest, now: Instant) -> bool {
    with_holding(gateway, request.workspace, |_, holding| {
        holding.named_witness().is_some() && holding.is_held_up_by_promise(request.need, now)
    })
    .unwrap_or(false)
}

/// Returns the number of tokens of a budget that other VMs are waiting for.
pub fn queued_tokens(gateway: &Gateway, workspace: u64) -> TokenCount {
    let queue = gateway.queued_token_requests.borrow();
    let requests = queue.iter().map(|queued| &queued.request);
    requests
        .filter(|request| request.workspace == workspace)
        .map(|request| request.need)
        .sum()
}

/// Returns whether a larger grant cannot cover a token request.
fn cannot_be_granted(gateway: &Gateway, queued: &QueuedTokenRequest) -> bool {
    let now = gateway.now();
    with_holding(gateway, queued.request.workspace, |_, holding| {
        holding.refusal_reason(queued.request.need, now) != HoldingRefusal::NeedsGrant
    })
    .unwrap_or(true)
}

fn answer_token_request(gateway: &Gateway, sender: SocketAddr, request: &TokenRequest) {
    let target = TransferTarget {
        address: sender,
        incarnation: request.asker,
    };
    let transfer = start_transfer(
        gateway,
        target,
        request.workspace,
        request.need,
        request.wish,
    );
    let outcome = match transfer {
        Some(_) => TokenRequestOutcome::Given,
        None if gateway.store_contact.get().is_failing() || is_restricted(gateway, request) => {
            TokenRequestOutcome::StoreLost
        }
        None => TokenRequestOutcome::NoneLeft,
    };
    let answer = TokenAnswer {
        number: request.number,
        outcome,
        transfer,
        totals: with_holding(gateway, request.workspace, |_, holding| holding.totals()).flatten(),
    };
    gateway.send_direct(sender, PeerMessage::TokenAnswer(answer));
}

/// Handles the answer to a token request of this VM.
pub fn handle_token_answer(gateway: &Gateway, sender: SocketAddr, answer: TokenAnswer) {
    if let Some(totals) = answer.totals {
        with_holding(gateway, totals.workspace, |_, holding| {
            holding.set_totals(totals);
        });
    }
    if let Some(transfer) = answer.transfer {
        handle_transfer(gateway, sender, transfer);
    }
    let pending = gateway
        .pending_token_requests
        .borrow_mut()
        .swap_remove(&answer.number);
    // The request may have stopped waiting.
    let _ = pending.map(|pending| pending.send(answer.outcome));
    gateway.grant_changed.notify_waiters();
}

/// Returns this VM's free tokens of a budget.
fn free_tokens(gateway: &Gateway, workspace: u64) -> TokenCount {
    let now = gateway.now();
    with_holding(gateway, workspace, |_, holding| holding.free(now)).unwrap_or_default()
}
