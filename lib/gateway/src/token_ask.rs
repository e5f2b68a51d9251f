//! VMs ask each other for tokens of a budget as requests need them.
//!
//! Answers a load of many VMs and workspaces, where each VM sees few requests of
//! each workspace: a grant for every VM would tie up most of a budget and need a
//! write to the store for most requests. So the keeper of a budget holds tokens
//! for all, and a request whose VM lacks some costs one exchange of datagrams.

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

use crate::budget_exchange::with_purse;
use crate::budget_record::BudgetTotals;
use crate::gateway::Gateway;
use crate::gateway::hash_name;
use crate::gossip::PeerMessage;
use crate::purse::PurseRefusal;
use crate::transfer::TokenTransfer;
use crate::transfer::TransferTarget;
use crate::transfer::take_out;
use crate::transfer::take_transfer;

/// How long what another VM said of its free tokens counts.
const FREE_LIFE: Duration = Duration::from_secs(3);

/// Most asks of other VMs that wait for a grant.
const MAX_QUEUED: usize = 4096;

/// Longest time that an ask of another VM waits for a grant.
const QUEUE_WAIT: Duration = Duration::from_millis(80);

/// An ask for tokens of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenAsk {
    /// Number of the ask among those of the asker.
    pub number: u64,
    /// The run of the asker's process.
    pub asker: u64,
    /// The workspace, as a hash of its id.
    pub workspace: u64,
    /// Tokens that requests wait for; zero for a mere report.
    pub need: TokenCount,
    /// Tokens that will be needed soon.
    pub wish: TokenCount,
    /// Tokens that requests asked for since the last ask of a keeper.
    pub demand: TokenCount,
    /// Use that the receiver has to account for.
    pub report: TokenCount,
    /// Whether the receiver is asked as the keeper, and may enlarge its grant.
    pub as_keeper: bool,
}

/// What came of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AskOutcome {
    /// The answer brings tokens.
    Given,
    /// The receiver has none and gets none.
    NoneLeft,
    /// The receiver has none and does not reach the store.
    StoreLost,
}

/// The answer to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenAnswer {
    /// Number of the ask.
    pub number: u64,
    /// What came of it.
    pub outcome: AskOutcome,
    /// The tokens.
    pub transfer: Option<TokenTransfer>,
    /// What is known of the budget.
    pub totals: Option<BudgetTotals>,
}

/// An ask of another VM that waits for a grant.
#[derive(Clone, Copy, Debug)]
pub struct QueuedAsk {
    sender: SocketAddr,
    ask: TokenAsk,
    at: Instant,
}

/// What another VM said of its free tokens.
#[derive(Clone, Debug)]
pub struct FreeTokens {
    /// When it said so.
    pub at: Instant,
    /// The tokens by hash of the workspace.
    pub by_workspace: Vec<(u64, TokenCount)>,
}

/// What a request needs of another VM.
#[derive(Clone, Copy, Debug)]
pub struct TokenNeed<'a> {
    /// The attempt's id.
    pub request: &'a str,
    /// The workspace.
    pub workspace: &'a WorkspaceId,
    /// The tokens that it lacks.
    pub tokens: TokenCount,
    /// Whether the VM is asked as the keeper.
    pub as_keeper: bool,
}

/// Asks a VM for tokens and waits for its answer; `None` if none came in time.
pub async fn ask_vm(
    gateway: &Gateway,
    target: SocketAddr,
    need: &TokenNeed<'_>,
    wait: Duration,
) -> Option<AskOutcome> {
    let began = gateway.now();
    let ask = build_ask(gateway, need.workspace, need.tokens, need.as_keeper)?;
    let (answered, answer) = oneshot::channel();
    let open = &gateway.open_asks;
    open.borrow_mut().insert(ask.number, answered);
    let _open = OpenAskGuard(gateway, ask.number);
    gateway.send_direct(target, PeerMessage::TokenAsk(ask));
    let outcome = timeout(wait, answer).await.ok().and_then(Result::ok);
    let name = outcome.map_or("not_answered", Into::into);
    gateway.metrics.count_reason("budget.ask", name);
    let waited = gateway.now().saturating_duration_since(began);
    info!(gateway.log, "tokens asked"; "request" => need.request,
        "workspace" => %need.workspace, "of" => %target, "as_keeper" => need.as_keeper,
        "need" => need.tokens.0, "outcome" => name, "waited_ms" => waited.as_millis());
    outcome
}

/// Forgets an ask when its request no longer waits, also if the caller left.
struct OpenAskGuard<'a>(&'a Gateway, u64);

impl Drop for OpenAskGuard<'_> {
    fn drop(&mut self) {
        self.0.open_asks.borrow_mut().swap_remove(&self.1);
    }
}

/// Tells the keeper of a budget what was used of it here.
pub fn report_use(gateway: &Gateway, target: SocketAddr, workspace: &WorkspaceId) {
    if let Some(ask) = build_ask(gateway, workspace, TokenCount::ZERO, true) {
        gateway.send_direct(target, PeerMessage::TokenAsk(ask));
    }
}

fn build_ask(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    need: TokenCount,
    as_keeper: bool,
) -> Option<TokenAsk> {
    let mut purses = gateway.purses.borrow_mut();
    let purse = purses.get_mut(workspace)?;
    let (demand, report) = match as_keeper {
        true => (purse.tell_demand(), purse.report()),
        false => (TokenCount::ZERO, TokenCount::ZERO),
    };
    let number = gateway.asks_sent.get() + 1;
    gateway.asks_sent.set(number);
    Some(TokenAsk {
        number,
        asker: gateway.incarnation,
        workspace: purse.workspace(),
        need,
        wish: purse.wish(gateway.now()),
        demand,
        report,
        as_keeper,
    })
}

/// Returns the VM that said to have the most free tokens, of those not in `asked`.
pub fn richest_holder(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    asked: &[SocketAddr],
    now: Instant,
) -> Option<SocketAddr> {
    let hash = hash_name(workspace.as_str());
    let holders = gateway.free_elsewhere.borrow();
    holders
        .iter()
        .filter(|(address, free)| {
            now.saturating_duration_since(free.at) < FREE_LIFE && !asked.contains(*address)
        })
        .filter_map(|(address, free)| {
            let held = free.by_workspace.iter().find(|(id, _)| *id == hash)?;
            Some((held.1, *address))
        })
        .max()
        .map(|(_, address)| address)
}

/// Takes an ask of another VM: answers it, or queues it for a grant.
pub fn take_ask(gateway: &Gateway, sender: SocketAddr, ask: TokenAsk) {
    if !gateway
        .seen_asks
        .borrow_mut()
        .is_first(ask.asker, ask.number)
    {
        return;
    }
    note_ask(gateway, &ask);
    if ask.need.is_zero() {
        return;
    }
    let at = gateway.now();
    let queued = QueuedAsk { sender, ask, at };
    let has_room = gateway.queued_asks.borrow().len() < MAX_QUEUED;
    if !ask.as_keeper || !has_room || is_due(gateway, &queued, at) {
        answer_ask(gateway, sender, &ask);
        return;
    }
    gateway.queued_asks.borrow_mut().push(queued);
    gateway.grant_due.notify_one();
}

fn note_ask(gateway: &Gateway, ask: &TokenAsk) {
    let now = gateway.now();
    with_purse(gateway, ask.workspace, |_, purse| {
        purse.note_report(ask.report);
        purse.note_demand(ask.demand, now);
    });
}

/// Answers queued asks that can be answered now, and those that waited for long.
pub fn answer_queue(gateway: &Gateway) {
    let now = gateway.now();
    let queue = std::mem::take(&mut *gateway.queued_asks.borrow_mut());
    let (due, left): (Vec<QueuedAsk>, Vec<QueuedAsk>) = queue
        .into_iter()
        .partition(|queued| is_due(gateway, queued, now));
    gateway.queued_asks.borrow_mut().extend(left);
    for queued in due {
        answer_ask(gateway, queued.sender, &queued.ask);
    }
}

/// Tells whether an ask should be answered now, with tokens or without.
fn is_due(gateway: &Gateway, queued: &QueuedAsk, now: Instant) -> bool {
    let waited = now.saturating_duration_since(queued.at);
    free_of(gateway, queued.ask.workspace) >= queued.ask.need
        || waited >= QUEUE_WAIT
        || gateway.contact.get().is_failing()
        || is_hopeless(gateway, queued)
}

/// Returns the tokens of a budget that other VMs wait for.
pub fn queued_tokens(gateway: &Gateway, workspace: u64) -> TokenCount {
    let queue = gateway.queued_asks.borrow();
    let asks = queue.iter().map(|queued| &queued.ask);
    asks.filter(|ask| ask.workspace == workspace)
        .map(|ask| ask.need)
        .sum()
}

/// Tells whether the record has too little left for an ask.
fn is_hopeless(gateway: &Gateway, queued: &QueuedAsk) -> bool {
    let now = gateway.now();
    with_purse(gateway, queued.ask.workspace, |_, purse| {
        purse.why_refused(queued.ask.need, now) != PurseRefusal::NeedsGrant
    })
    .unwrap_or(true)
}

fn answer_ask(gateway: &Gateway, sender: SocketAddr, ask: &TokenAsk) {
    let target = TransferTarget {
        address: sender,
        incarnation: ask.asker,
    };
    let transfer = take_out(gateway, target, ask.workspace, ask.need, ask.wish);
    let outcome = match transfer {
        Some(_) => AskOutcome::Given,
        None if gateway.contact.get().is_failing() => AskOutcome::StoreLost,
        None => AskOutcome::NoneLeft,
    };
    let answer = TokenAnswer {
        number: ask.number,
        outcome,
        transfer,
        totals: with_purse(gateway, ask.workspace, |_, purse| purse.totals()).flatten(),
    };
    gateway.send_direct(sender, PeerMessage::TokenAnswer(answer));
}

/// Takes the answer to an ask of this VM.
pub fn take_answer(gateway: &Gateway, sender: SocketAddr, answer: TokenAnswer) {
    if let Some(totals) = answer.totals {
        with_purse(gateway, totals.workspace, |_, purse| {
            purse.set_totals(totals);
        });
    }
    if let Some(transfer) = answer.transfer {
        take_transfer(gateway, sender, transfer);
    }
    let open = gateway.open_asks.borrow_mut().swap_remove(&answer.number);
    // The request may have given up waiting.
    let _ = open.map(|open| open.send(answer.outcome));
    gateway.grant_changed.notify_waiters();
}

/// Returns what is free here of a budget.
fn free_of(gateway: &Gateway, workspace: u64) -> TokenCount {
    let now = gateway.now();
    with_purse(gateway, workspace, |_, purse| purse.free(now)).unwrap_or_default()
}
