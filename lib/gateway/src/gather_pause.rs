//! How long a VM lets changes in the store gather before it asks for more.

use std::time::Duration;

/// A pause that grows with the fleet, since each change that all VMs fetch costs the
/// store a call of each.
#[derive(Clone, Copy, Debug)]
pub struct GatherPause {
    /// The pause of a fleet of few VMs.
    pub base: Duration,
    /// What each VM adds.
    pub per_vm: Duration,
    /// The longest pause, so that what is known does not grow too old.
    pub most: Duration,
}

impl GatherPause {
    /// Returns the pause in a fleet of `vms` VMs.
    pub fn of(&self, vms: usize) -> Duration {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        let pause = self.base.saturating_add(self.per_vm.saturating_mul(vms));
        pause.min(self.most)
    }
}
