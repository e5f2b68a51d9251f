//! Which VMs are preferred as the keepers of budgets.
//!
//! Load addressed: most VMs of an uneven deployment have a small link and processor. Hashing alone
//! made them the keepers of large workspaces, and their answers came late or not at all.

use snipegate_types::ByteRate;

/// Part of the largest capacity that a VM needs to be preferred. It is low enough that equal VMs
/// whose settings differ slightly are all preferred.
const MIN_FRACTION: f64 = 0.5;

/// What a VM can carry, as far as it matters to a keeper.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeeperCapacity {
    /// Rate of its link, if known.
    pub link: Option<ByteRate>,
    /// Its processor time per second, in cores.
    pub cores: f64,
}

/// Link rate and processor time from which on VMs are preferred.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityFloor {
    link: f64,
    cores: f64,
}

impl CapacityFloor {
    /// Derives the floor from the capacities of the VMs. They don't change while a VM runs, so
    /// that VMs that know each other's agree.
    pub fn of(capacities: impl Iterator<Item = KeeperCapacity>) -> Self {
        capacities.fold(Self::default(), |floor, capacity| Self {
            link: floor.link.max(link_rate(&capacity) * MIN_FRACTION),
            cores: floor.cores.max(capacity.cores * MIN_FRACTION),
        })
    }

    /// Returns the rank of a VM with this rendezvous weight; the highest one is chosen. A VM
    /// whose capacity is not known counts as large.
    pub fn rank(&self, capacity: Option<KeeperCapacity>, weight: u64) -> KeeperRank {
        let is_large = capacity.is_none_or(|capacity| {
            link_rate(&capacity) >= self.link && capacity.cores >= self.cores
        });
        KeeperRank { is_large, weight }
    }
}

fn link_rate(capacity: &KeeperCapacity) -> f64 {
    capacity.link.unwrap_or_default().0
}

/// Order in which VMs are chosen: large ones first, then by rendezvous weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeeperRank {
    is_large: bool,
    weight: u64,
}
