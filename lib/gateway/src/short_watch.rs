//! Selects the VMs that use short watches, so that a watch lost by the store delays changes
//! only briefly.
//!
//! A store that goes silent may lose a watch, and a connection may hang forever; only the
//! watch's own timeout detects either. If all VMs used short watches, the load on the store
//! would grow with the size of the fleet. So only a few do, and the others learn of changes
//! from them by gossip.

use snipegate_types::VmId;

use crate::gateway::duty_rendezvous_weight;
use crate::store_task::StoreTask;

/// Number of short watchers per task. With two, changes are still noticed in time while the
/// failure of one has not been detected.
const SHORT_WATCHERS: usize = 2;

/// Returns whether the VM `own` uses short watches for a task, where `others` are the other
/// VMs that reach the store.
///
/// VMs that receive each other's gossip select the same ones.
pub fn uses_short_watch<'a>(
    own: &VmId,
    others: impl Iterator<Item = &'a VmId>,
    task: StoreTask,
) -> bool {
    let own = duty_rendezvous_weight(own, task);
    let heavier = others.filter(|vm| duty_rendezvous_weight(vm, task) > own);
    heavier.take(SHORT_WATCHERS).count() < SHORT_WATCHERS
}
