//! Reserves a request's greatest cost in its workspace's budget.

use std::time::Duration;

use slog::info;
use snipegate_types::ResultCode;
use snipegate_types::TokenCount;
use snipegate_types::WorkspaceId;
use tokio::time::timeout;

use crate::admission::Admission;
use crate::budget_exchange::adopt_workspaces;
use crate::gateway::Gateway;
use crate::own_answer::spread;
use crate::purse::BudgetPurse;
use crate::purse::PurseRefusal;
use crate::refusal::Refusal;
use crate::terms::RequestTerms;
use crate::transfer::ask_for_tokens;

/// Longest time that a request waits for a grant.
const GRANT_WAIT: Duration = Duration::from_millis(250);

/// Part of the time left that a request waits for a grant at most.
const GRANT_WAIT_PART: f64 = 0.1;

/// Longest wait for tokens of one other VM.
const TRANSFER_WAIT: Duration = Duration::from_millis(25);

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
    with_purse(gateway, workspace, |purse| purse.note_demand(cost, began));
    let mut asked = Vec::new();
    loop {
        let changed = gateway.grant_changed.notified();
        let verdict = with_purse(gateway, workspace, |purse| try_reserve(purse, cost));
        let refusal = match verdict {
            None => return Err(Refusal::come_back(ResultCode::BudgetUnknown, OUTAGE_RETURN)),
            Some(Ok(())) => return Ok(()),
            Some(Err(refusal)) => refusal,
        };
        let waiting = wait_until.saturating_duration_since(gateway.now());
        if refusal == PurseRefusal::Exhausted || waiting.is_zero() {
            return Err(describe_refusal(gateway, workspace, refusal, terms, cost));
        }
        let is_failing = gateway.contact.get().is_failing();
        let needs_peers = is_failing || refusal == PurseRefusal::HeldElsewhere;
        let missing = with_purse(gateway, workspace, |purse| purse.missing(cost));
        let is_asked =
            needs_peers && ask_for_tokens(gateway, workspace, missing.unwrap_or(cost), &mut asked);
        if needs_peers && !is_asked {
            return Err(describe_refusal(gateway, workspace, refusal, terms, cost));
        }
        gateway.grant_due.notify_one();
        let wait = if is_asked { TRANSFER_WAIT } else { waiting };
        let _ = timeout(wait.min(waiting), changed).await;
    }
}

/// Reserves, or says why not.
fn try_reserve(purse: &mut BudgetPurse, cost: TokenCount) -> Result<(), PurseRefusal> {
    purse.reserve(cost).map_err(|_| purse.why_refused(cost))
}

fn with_purse<T>(
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
    with_purse(gateway, workspace, |purse| {
        let (prepaid, taken, used) = purse.totals();
        info!(gateway.log, "budget refused";
            "prepaid" => prepaid.0, "taken" => taken.0, "used" => used.0, "request" => &*terms.attempt_id,
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
