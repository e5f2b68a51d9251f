//! What the keeper of budgets shares with other tasks: asks and answers of other
//! VMs, and what is known of each workspace.

use std::net::SocketAddr;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_types::TokenCount;
use snipegate_types::WorkspaceId;

use crate::budget_record::BudgetView;
use crate::budget_record::GrantAsk;
use crate::gateway::Gateway;
use crate::gateway::hash_name;
use crate::gossip::SCARCE_LIFE;
use crate::purse::BudgetPurse;

/// Number of keys that the records of all budgets are spread over.
pub const SHARDS: u64 = 4;

/// Most asks of other VMs that wait.
const MAX_FOREIGN_ASKS: usize = 4096;

/// Makes purses for new workspaces and passes on what they have bought.
pub fn adopt_workspaces(gateway: &Gateway) {
    let Some(config) = gateway.current_config() else {
        return;
    };
    let now = gateway.now();
    let vm = hash_name(gateway.settings.vm.as_str());
    let mut purses = gateway.purses.borrow_mut();
    for (workspace, rule) in &config.workspaces {
        let Some(prepaid) = rule.prepaid else {
            continue;
        };
        let hash = hash_name(workspace.as_str());
        purses
            .entry(workspace.clone())
            .or_insert_with(|| BudgetPurse::new(hash, vm, gateway.incarnation, prepaid, now))
            .set_prepaid(prepaid);
    }
}

/// Notes that a VM does not write, for it did not answer or said so.
pub fn note_failed_writer(gateway: &Gateway, writer: SocketAddr) {
    let now = gateway.now();
    gateway.failed_writers.borrow_mut().insert(writer, now);
    gateway.metrics.count("budget.writer_failed");
    gateway.grant_changed.notify_waiters();
}

/// Takes asks of another VM, to be written with the next ones.
pub fn take_asks(gateway: &Gateway, sender: SocketAddr, asks: Vec<GrantAsk>) {
    let mut waiting = gateway.foreign_asks.borrow_mut();
    let room = MAX_FOREIGN_ASKS.saturating_sub(waiting.len());
    waiting.extend(asks.into_iter().take(room).map(|ask| (sender, ask)));
    drop(waiting);
    gateway.grant_due.notify_one();
}

/// Takes what the VM that writes says of the records.
pub fn take_views(gateway: &Gateway, views: &[BudgetView]) {
    let mut purses = gateway.purses.borrow_mut();
    for (workspace, purse) in purses.iter_mut() {
        let hash = hash_name(workspace.as_str());
        if let Some(view) = views.iter().find(|view| view.workspace == hash) {
            purse.set_view(*view);
        }
    }
    drop(purses);
    gateway.grant_changed.notify_waiters();
}

/// Tells whether an ask of this VM was answered.
pub fn is_answered(gateway: &Gateway, ask: &GrantAsk) -> bool {
    let purses = gateway.purses.borrow();
    purses
        .iter()
        .find(|(workspace, _)| hash_name(workspace.as_str()) == ask.workspace)
        .is_none_or(|(_, purse)| purse.is_answered(ask.sequence))
}

/// Returns what each workspace has bought, by hash of its id.
pub fn prepaid_by_hash(gateway: &Gateway) -> IndexMap<u64, TokenCount> {
    let Some(config) = gateway.current_config() else {
        return IndexMap::new();
    };
    config
        .workspaces
        .iter()
        .filter_map(|(id, rule)| Some((hash_name(id.as_str()), rule.prepaid?)))
        .collect()
}

/// Tells whether another VM is short of a workspace's budget.
pub fn is_scarce(gateway: &Gateway, workspace: &WorkspaceId, now: Instant) -> bool {
    gateway
        .scarce_elsewhere
        .borrow()
        .get(&hash_name(workspace.as_str()))
        .is_some_and(|at| now.saturating_duration_since(*at) < SCARCE_LIFE)
}

/// Returns the number of the shard that holds a workspace's record.
pub fn shard_of(workspace: &WorkspaceId) -> u64 {
    hash_name(workspace.as_str()) % SHARDS
}
