//! Reserves a request's greatest cost in its workspace's budget.

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
use crate::budget_exchange::adopt_workspaces;
use crate::budget_exchange::most_left;
use crate::budget_exchange::note_failed_keeper;
use crate::budget_exchange::other_keeper;
use crate::budget_exchange::shard_of;
use crate::gateway::Gateway;
use crate::own_answer::spread;
use crate::purse::BudgetPurse;
use crate::purse::PurseRefusal;
use crate::refusal::Refusal;
use crate::terms::RequestTerms;
use crate::token_ask::AskOutcome;
use crate::token_ask::TokenNeed;
use crate::token_ask::ask_vm;
use crate::token_ask::richest_holder;

/// Longest time that a request waits for a grant.
const GRANT_WAIT: Duration = Duration::from_millis(250);

/// Part of the time left that a request waits for a grant at most.
const GRANT_WAIT_PART: f64 = 0.1;

/// Longest wait for the answer of the VM that keeps a budget; it may write a grant
/// first.
const KEEPER_WAIT: Duration = Duration::from_millis(120);

/// Longest wait for tokens of another VM.
const HOLDER_WAIT: Duration = Duration::from_millis(25);

/// Most VMs that a request asks for tokens.
const MAX_ASKED: usize = 4;

/// When to come back while other VMs hold what is left of a budget.
const HELD_RETURN: Duration = Duration::from_millis(1200);

/// When to come back while the store is out of reach.
const OUTAGE_RETURN: Duration = Duration::from_millis(1500);

/// Reserves `cost` tokens, waiting a little for a grant if need be.
///
/// # Errors
///
/// Refuses for good only what is beyond the budget by tokens that are used.
pub async fn reserve(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    cost: TokenCount,
    admission: &Admission,
    terms: &RequestTerms,
) -> Result<(), Refusal> {
    let began = gateway.now();
    let left = admission.deadline.saturating_duration_since(began);
    let wait_until = began + GRANT_WAIT.min(left.mul_f64(GRANT_WAIT_PART));
    adopt_workspaces(gateway);
    purse_of(gateway, workspace, |purse| purse.note_request(cost, began));
    let mut search = TokenSearch::new(workspace, &terms.attempt_id, wait_until);
    loop {
        let changed = gateway.grant_changed.notified();
        let now = gateway.now();
        let verdict = purse_of(gateway, workspace, |purse| try_reserve(purse, cost, now));
        let refusal = match verdict {
            None => return Err(Refusal::come_back(ResultCode::BudgetUnknown, OUTAGE_RETURN)),
            Some(Ok(())) => return Ok(()),
            Some(Err(refusal)) => refusal,
        };
        let source = match refusal {
            PurseRefusal::Exhausted => None,
            _ => search.pick_source(gateway, refusal),
        };
        let Some(source) = source else {
            let refusal = search.judge(gateway, refusal, cost);
            return Err(describe_refusal(gateway, workspace, refusal, terms, cost));
        };
        let need = purse_of(gateway, workspace, |purse| purse.missing(cost, now)).unwrap_or(cost);
        search.ask(gateway, source, need, changed).await;
    }
}

/// Where tokens can come from.
enum TokenSource {
    /// The record in the store, by a grant of this VM.
    Record,
    /// The VM that keeps the budget.
    Keeper(SocketAddr),
    /// A VM that said to have some.
    Holder(SocketAddr),
}

/// A request's search for tokens.
struct TokenSearch<'a> {
    workspace: &'a WorkspaceId,
    request: &'a str,
    wait_until: Instant,
    /// VMs that had none.
    asked: Vec<SocketAddr>,
    /// Whether another VM may still reach the store.
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

    /// Returns where to get tokens next; `None` if nothing is left to try.
    fn pick_source(&self, gateway: &Gateway, refusal: PurseRefusal) -> Option<TokenSource> {
        let now = gateway.now();
        if now >= self.wait_until {
            return None;
        }
        let keeper = other_keeper(gateway, shard_of(self.workspace), now);
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
        if self.asked.len() >= MAX_ASKED {
            return None;
        }
        richest_holder(gateway, self.workspace, &self.asked, now).map(TokenSource::Holder)
    }

    /// Says why the search found nothing: what other VMs hold may be too little.
    fn judge(&self, gateway: &Gateway, refusal: PurseRefusal, cost: TokenCount) -> PurseRefusal {
        let keeper = other_keeper(gateway, shard_of(self.workspace), gateway.now());
        let knows_record = keeper.is_none_or(|keeper| self.asked.contains(&keeper.address));
        if refusal != PurseRefusal::HeldElsewhere || !knows_record {
            return refusal;
        }
        let Some(left) = most_left(gateway, self.workspace) else {
            return refusal;
        };
        info!(gateway.log, "budget tallied"; "request" => self.request,
            "workspace" => %self.workspace, "left" => left.0, "cost" => cost.0);
        match left < cost {
            true => PurseRefusal::Exhausted,
            false => refusal,
        }
    }

    /// Asks a source and waits for what comes of it.
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
                let wait = KEEPER_WAIT.min(left);
                let outcome = ask_vm(gateway, keeper, &need, wait).await;
                match outcome {
                    Some(AskOutcome::Given) => {}
                    Some(AskOutcome::NoneLeft) => self.asked.push(keeper),
                    Some(AskOutcome::StoreLost) | None => {
                        note_failed_keeper(gateway, keeper);
                        self.may_ask_keeper = !gateway.contact.get().is_failing();
                    }
                }
            }
            TokenSource::Holder(holder) => {
                self.asked.push(holder);
                let wait = HOLDER_WAIT.min(left);
                ask_vm(gateway, holder, &need, wait).await;
            }
        }
    }
}

/// Reserves, or says why not.
fn try_reserve(
    purse: &mut BudgetPurse,
    cost: TokenCount,
    now: Instant,
) -> Result<(), PurseRefusal> {
    purse
        .reserve(cost, now)
        .map_err(|_| purse.why_refused(cost, now))
}

fn purse_of<T>(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    act: impl FnOnce(&mut BudgetPurse) -> T,
) -> Option<T> {
    gateway.purses.borrow_mut().get_mut(workspace).map(act)
}

fn describe_refusal(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    refusal: PurseRefusal,
    terms: &RequestTerms,
    cost: TokenCount,
) -> Refusal {
    let now = gateway.now();
    let lost = gateway.contact.get().is_failing();
    purse_of(gateway, workspace, |purse| {
        let totals = purse.totals().unwrap_or_default();
        info!(gateway.log, "budget refused"; "prepaid" => purse.prepaid().0,
            "taken" => totals.taken.0, "used" => totals.used.0, "request" => &*terms.attempt_id,
            "workspace" => %workspace, "reason" => ?refusal, "cost" => cost.0,
            "free" => purse.free(now).0, "held" => purse.held().0, "unassigned" => purse.unassigned().0,
            "revision" => purse.revision(), "store_lost" => lost);
    });
    if !lost && refusal != PurseRefusal::NeedsGrant {
        gateway.scarce.borrow_mut().insert(workspace.clone(), now);
        gateway.gossip_due.notify_one();
    }
    match refusal {
        PurseRefusal::Exhausted if !lost => Refusal::fatal(ResultCode::BudgetExhausted),
        _ if lost => Refusal::come_back(ResultCode::BudgetUnreachable, spread(OUTAGE_RETURN)),
        _ => Refusal::come_back(ResultCode::BudgetUnreachable, spread(HELD_RETURN)),
    }
}
