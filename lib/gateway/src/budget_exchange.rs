//! Selects the keeper of each budget and tracks this VM's view of the workspaces.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use snipegate_types::TokenCount;
use snipegate_types::VmId;
use snipegate_types::WorkspaceId;

use crate::gateway::Gateway;
use crate::gateway::duty_rendezvous_weight;
use crate::gateway::stable_hash;
use crate::gossip::SCARCE_TTL;
use crate::holding::BudgetHolding;
use crate::peers::VmRecord;
use crate::stage::VmStage;
use crate::transfer::TransferTarget;

/// Number of store keys over which the budget records are distributed.
pub const SHARDS: u64 = 4;

/// How long a VM keeps reporting its remaining tokens of a budget after the budget was
/// last scarce.
const REMAINING_REPORT_PERIOD: Duration = Duration::from_secs(3);

/// How long a VM that failed as the keeper is excluded from the selection.
const KEEPER_BACKOFF: Duration = Duration::from_millis(1500);

/// The same, while this VM cannot reach the store either.
const KEEPER_BACKOFF_IN_OUTAGE: Duration = Duration::from_millis(250);

/// Creates holdings for new workspaces and updates the size of every budget from the
/// current configuration.
pub fn update_prepaid(gateway: &Gateway) {
    let Some(config) = gateway.current_config() else {
        return;
    };
    let now = gateway.now();
    let vm = stable_hash(gateway.settings.vm.as_str());
    let mut holdings = gateway.holdings.borrow_mut();
    for (workspace, rule) in &config.workspaces {
        let Some(prepaid) = rule.prepaid else {
            continue;
        };
        let hash = stable_hash(workspace.as_str());
        holdings
            .entry(workspace.clone())
            .or_insert_with(|| {
                BudgetHolding::new(hash, vm, gateway.incarnation, prepaid, now)
                    .with_start_time(gateway.started_at)
            })
            .set_prepaid(prepaid);
    }
}

/// Records that a VM did not answer as the keeper, or answered that it cannot reach the
/// store.
pub fn record_keeper_failure(gateway: &Gateway, keeper: SocketAddr) {
    let now = gateway.now();
    gateway.failed_keepers.borrow_mut().insert(keeper, now);
    gateway.metrics.count("budget.keeper_failed");
}

/// Returns the VM that is the keeper for a shard; `None` if it is this VM.
///
/// VMs that receive gossip from each other agree on the keeper by weighted hashing.
/// They choose a VM that reaches the store, as long as there is one. VMs that failed to
/// answer recently are skipped, and a VM that is leaving or that may not be granted whole
/// budgets is chosen only if there is no other.
pub fn remote_keeper(gateway: &Gateway, shard: u64, now: Instant) -> Option<TransferTarget> {
    let is_restricted = gateway.restricted_shards.borrow().contains(&shard);
    heavier_vm(gateway, shard, is_restricted, now)
}

/// Returns the VM that has the duties of a shard that need no grants, such as ending the wait
/// for reports; `None` if it is this VM.
pub fn remote_duty_holder(gateway: &Gateway, shard: u64, now: Instant) -> Option<TransferTarget> {
    heavier_vm(gateway, shard, false, now)
}

/// Returns the VM that is chosen for a shard, unless it is this one, which is a last resort if
/// it `is_restricted`.
fn heavier_vm(
    gateway: &Gateway,
    shard: u64,
    is_restricted: bool,
    now: Instant,
) -> Option<TransferTarget> {
    let weight = |vm: &VmId| duty_rendezvous_weight(vm, shard);
    let is_cut_off = gateway.store_contact.get().is_failing();
    let failed = gateway.failed_keepers.borrow();
    // Without contact to the store, this VM cannot tell which others have lost it too.
    let pause = match is_cut_off {
        true => KEEPER_BACKOFF_IN_OUTAGE,
        false => KEEPER_BACKOFF,
    };
    let is_failed = |record: &&VmRecord| {
        failed
            .get(&record.gossip)
            .is_some_and(|at| now.saturating_duration_since(*at) < pause)
    };
    let by_weight = |(one, _): &(u64, _), (other, _): &(u64, _)| one.cmp(other);
    let peers = gateway.peers.borrow();
    let reaching = peers
        .reaching_store(now)
        .filter(|record| !is_failed(record))
        .map(|record| (weight(&record.vm), record))
        .max_by(by_weight);
    let best = match reaching {
        Some(reaching) => reaching,
        None if !is_cut_off => return None,
        None => peers
            .live_serving(now)
            .filter(|record| !is_failed(record))
            .map(|record| (weight(&record.vm), record))
            .max_by(by_weight)?,
    };
    let is_last_resort = gateway.stage.get() == VmStage::Leaving
        || is_restricted
        || (is_cut_off && reaching.is_some());
    let own = if is_last_resort {
        0
    } else {
        weight(&gateway.settings.vm)
    };
    (best.0 > own).then_some(TransferTarget {
        address: best.1.gossip,
        incarnation: best.1.incarnation,
    })
}

/// Calls `act` on the holding with the given workspace hash, if this VM knows the
/// workspace.
pub fn with_holding<T>(
    gateway: &Gateway,
    workspace: u64,
    act: impl FnOnce(&WorkspaceId, &mut BudgetHolding) -> T,
) -> Option<T> {
    let mut holdings = gateway.holdings.borrow_mut();
    let (id, holding) = holdings
        .iter_mut()
        .find(|(_, holding)| holding.workspace() == workspace)?;
    Some(act(id, holding))
}

/// Returns the name of a workspace for the log, or its hash if this VM does not know
/// it.
pub fn workspace_name(gateway: &Gateway, workspace: u64) -> String {
    with_holding(gateway, workspace, |id, _| id.to_string())
        .unwrap_or_else(|| workspace.to_string())
}

/// Returns the size of each workspace's budget, keyed by the hash of the workspace id.
pub fn prepaid_by_hash(gateway: &Gateway) -> IndexMap<u64, TokenCount> {
    let Some(config) = gateway.current_config() else {
        return IndexMap::new();
    };
    config
        .workspaces
        .iter()
        .filter_map(|(id, rule)| Some((stable_hash(id.as_str()), rule.prepaid?)))
        .collect()
}

/// Returns the budgets that were recently scarce on this VM, as workspace hashes.
pub fn scarce_budgets(gateway: &Gateway, now: Instant) -> Vec<u64> {
    let scarce = gateway.scarce_budgets.borrow();
    let is_scarce = |at: &Instant| now.saturating_duration_since(*at) < SCARCE_TTL;
    let scarce = scarce.iter().filter(|(_, at)| is_scarce(at));
    scarce.map(|(id, _)| stable_hash(id.as_str())).collect()
}

/// Returns upper bounds on this VM's remaining tokens of budgets that were recently
/// scarce, here or elsewhere, keyed by workspace hash, and records them in the tally.
pub fn report_remaining(gateway: &Gateway, now: Instant) -> Vec<(u64, TokenCount)> {
    let is_recent = |at: &Instant| now.saturating_duration_since(*at) < REMAINING_REPORT_PERIOD;
    let mut here = gateway.scarce_budgets.borrow_mut();
    here.retain(|_, at| is_recent(at));
    let mut elsewhere = gateway.peer_scarce_budgets.borrow_mut();
    elsewhere.retain(|_, at| is_recent(at));
    let here = here.keys().map(|id| stable_hash(id.as_str()));
    let budgets: IndexSet<u64> = here.chain(elsewhere.keys().copied()).collect();
    let mut tally = gateway.token_tally.borrow_mut();
    tally.remove_expired(now);
    let mut reports = Vec::new();
    for workspace in budgets {
        if let Some(left) = local_remaining(gateway, workspace) {
            tally.record(workspace, gateway.settings.gossip, left, now);
            reports.push((workspace, left));
        }
    }
    reports
}

/// Returns an upper bound on this VM's remaining tokens of a budget. Tokens in transit
/// to another VM count until their arrival is acknowledged.
fn local_remaining(gateway: &Gateway, workspace: u64) -> Option<TokenCount> {
    let in_flight = gateway.transfers.borrow().in_flight(workspace);
    let left = with_holding(gateway, workspace, |_, holding| {
        holding.estimated_remaining()
    })?;
    Some(left.saturating_add(in_flight))
}

/// Returns an upper bound on the remaining tokens of a budget, over all VMs and the
/// record, if all VMs reported recently. Tokens held by killed VMs are lost and do not
/// count.
pub fn max_remaining(gateway: &Gateway, workspace: &WorkspaceId) -> Option<TokenCount> {
    let now = gateway.now();
    let hash = stable_hash(workspace.as_str());
    let left = local_remaining(gateway, hash)?;
    let mut tally = gateway.token_tally.borrow_mut();
    tally.record(hash, gateway.settings.gossip, left, now);
    let peers = gateway.peers.borrow();
    let vms = peers.gossip_addresses().chain([gateway.settings.gossip]);
    let held = tally.max_remaining(hash, vms, now)?;
    let unassigned = with_holding(gateway, hash, |_, holding| holding.unassigned())?;
    Some(held.saturating_add(unassigned))
}

/// Returns whether another VM recently reported a workspace's budget as scarce.
pub fn is_scarce(gateway: &Gateway, workspace: &WorkspaceId, now: Instant) -> bool {
    gateway
        .peer_scarce_budgets
        .borrow()
        .get(&stable_hash(workspace.as_str()))
        .is_some_and(|at| now.saturating_duration_since(*at) < SCARCE_TTL)
}

/// Returns the number of the shard that holds a workspace's record.
pub fn shard_of(workspace: &WorkspaceId) -> u64 {
    stable_hash(workspace.as_str()) % SHARDS
}
