//! Batching of store changes: how long a VM waits after a change before it watches again.

use std::time::Duration;

/// Delay that grows with the size of the fleet. Each change that is fetched separately
/// costs the store one call per VM, so larger fleets collect changes for longer.
#[derive(Clone, Copy, Debug)]
pub struct BatchDelay {
    /// Delay before the per-VM part is added.
    pub base: Duration,
    /// Additional delay for each VM.
    pub per_vm: Duration,
    /// Upper bound of the delay, which limits how stale a VM's view becomes.
    pub max: Duration,
}

impl BatchDelay {
    /// Returns the delay in a fleet of `vms` VMs.
    pub fn for_fleet(&self, vms: usize) -> Duration {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        let delay = self.base.saturating_add(self.per_vm.saturating_mul(vms));
        delay.min(self.max)
    }
}
