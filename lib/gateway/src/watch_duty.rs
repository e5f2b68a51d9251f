//! Which VMs watch the store briefly, so that a watch that it forgot costs little
//! time.
//!
//! A store that goes silent may forget a watch, and a connection may go silent for
//! good: only the watch's own end shows it. A fleet in which all VMs watched briefly
//! would ask the store in proportion to its size. So a few do, and the others hear
//! from them that there is a change.

use snipegate_types::VmId;

use crate::gateway::duty_weight;
use crate::store_task::StoreTask;

/// VMs that watch briefly for each task; with two, one may end unnoticed.
const BRIEF_WATCHERS: usize = 2;

/// Tells whether the VM `own` watches briefly, where `others` reach the store too.
///
/// VMs that hear each other agree on it.
pub fn watches_briefly<'a>(
    own: &VmId,
    others: impl Iterator<Item = &'a VmId>,
    task: StoreTask,
) -> bool {
    let own = duty_weight(own, task);
    let heavier = others.filter(|vm| duty_weight(vm, task) > own);
    heavier.take(BRIEF_WATCHERS).count() < BRIEF_WATCHERS
}
