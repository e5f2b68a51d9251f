//! Reserves a request's greatest cost in its workspace's budget.

use std::net::SocketAddr;
use std::time::Duration;

use slog::info;
use snipegate_types::ResultCode;
use snipegate_types::TokenCount;
use snipegate_types::WorkspaceId;
use tokio::time::timeout;

use crate::admission::Admission;
use crate::budget_exchange::adopt_workspaces;
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
    let mut asked = Vec::new();
    // A keeper that lost the store is passed over; the next one may reach it.
    let mut may_ask_keeper = true;
    loop {
        let changed = gateway.grant_changed.notified();
        let verdict = purse_of(gateway, workspace, |purse| try_reserve(purse, cost));
        let refusal = match verdict {
            None => return Err(Refusal::come_back(ResultCode::BudgetUnknown, OUTAGE_RETURN)),
            Some(Ok(())) => return Ok(()),
            Some(Err(refusal)) => refusal,
        };
        let left = wait_until.saturating_duration_since(gateway.now());
        if refusal == PurseRefusal::Exhausted || left.is_zero() {
            return Err(describe_refusal(gateway, workspace, refusal, terms, cost));
        }
        let need = purse_of(gateway, workspace, |purse| purse.missing(cost)).unwrap_or(cost);
        match pick_source(gateway, workspace, refusal, &asked, may_ask_keeper) {
            Some(TokenSource::Record) => {
                gateway.grant_due.notify_one();
                let _ = timeout(left, changed).await;
            }
            Some(TokenSource::Keeper(keeper)) => {
                let wait = KEEPER_WAIT.min(left);
                let outcome = ask_vm(gateway, keeper, workspace, need, true, wait).await;
                match outcome {
                    Some(AskOutcome::Given) => {}
                    Some(AskOutcome::NoneLeft) => asked.push(keeper),
                    Some(AskOutcome::StoreLost) | None => {
                        note_failed_keeper(gateway, keeper);
                        may_ask_keeper = !gateway.contact.get().is_failing();
                    }
                }
            }
            Some(TokenSource::Holder(holder)) => {
                asked.push(holder);
                let wait = HOLDER_WAIT.min(left);
                ask_vm(gateway, holder, workspace, need, false, wait).await;
            }
            None => return Err(describe_refusal(gateway, workspace, refusal, terms, cost)),
        }
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

/// Returns where to get tokens, passing over the VMs in `asked`.
fn pick_source(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    refusal: PurseRefusal,
    asked: &[SocketAddr],
    may_ask_keeper: bool,
) -> Option<TokenSource> {
    let now = gateway.now();
    let keeper = other_keeper(gateway, shard_of(workspace), now);
    let is_failing = gateway.contact.get().is_failing();
    if let Some(keeper) = keeper
        && may_ask_keeper
        && !asked.contains(&keeper.address)
    {
        return Some(TokenSource::Keeper(keeper.address));
    }
    if keeper.is_none() && refusal == PurseRefusal::NeedsGrant && !is_failing {
        return Some(TokenSource::Record);
    }
    if asked.len() >= MAX_ASKED {
        return None;
    }
    richest_holder(gateway, workspace, asked, now).map(TokenSource::Holder)
}

/// Reserves, or says why not.
fn try_reserve(purse: &mut BudgetPurse, cost: TokenCount) -> Result<(), PurseRefusal> {
    purse.reserve(cost).map_err(|_| purse.why_refused(cost))
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
            "free" => purse.free().0, "unassigned" => purse.unassigned().0,
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
