//! What a VM tells the others of its capacity and load.

use std::cmp::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::ByteRate;
use snipegate_types::DataCentre;
use snipegate_types::VmId;

use crate::gateway::stable_hash;
use crate::room::capacity::VmCapacity;
use crate::room::offer::VmOffer;
use crate::room::overload::SATURATED_SHARE;
use crate::room::recent_load::VmLoad;

/// What the callers need that overloaded a VM.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerDemand {
    /// Traffic in the busier direction of the link.
    pub traffic: ByteRate,
    /// Processor time per second, in cores; 0 unless the processor was saturated.
    pub cores: f64,
}

/// Identifies a time in which an overloaded VM is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HoldId {
    /// Random id of the run of the overloaded VM's process.
    pub incarnation: u64,
    /// Number of the hold in this run.
    pub number: u32,
}

/// A time in which an overloaded VM is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoomHold {
    /// Identifies the hold.
    pub id: HoldId,
    /// How often it was prolonged.
    pub renewals: u32,
    /// What overloaded the VM.
    pub demand: CallerDemand,
    /// Time that is left of the hold.
    pub left: Duration,
}

/// Capacity and load of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoomUse {
    /// Rate of its link in each direction, if known.
    pub link: Option<ByteRate>,
    /// Its processor time per second, in cores.
    pub cores: f64,
    /// Its load.
    pub load: VmLoad,
}

impl RoomUse {
    /// Describes a VM with this capacity and load.
    pub fn new(capacity: &VmCapacity, load: VmLoad) -> Self {
        Self {
            link: capacity.link,
            cores: capacity.cores,
            load,
        }
    }

    /// Returns the rate of the link that is not in use; 0 if the rate is not known.
    pub fn free_link(&self) -> ByteRate {
        let link = self.link.unwrap_or_default();
        ByteRate((link.0 - self.load.traffic().0).max(0.0))
    }

    /// Returns the traffic that the link can carry without being saturated; 0 if its rate is not
    /// known.
    pub fn usable_link(&self) -> ByteRate {
        ByteRate(self.link.unwrap_or_default().0 * SATURATED_SHARE)
    }

    /// Returns the processor time per second that is not in use, in cores.
    pub fn free_cores(&self) -> f64 {
        self.cores * f64::from(self.load.free.processor)
    }

    /// Returns whether the VM can take callers with this demand without being overloaded;
    /// `None` if the rate of its link is not known.
    pub fn can_take(&self, demand: &CallerDemand) -> Option<bool> {
        let traffic = self.load.traffic().0 + demand.traffic.0;
        self.link?;
        let has_link = traffic <= self.usable_link().0;
        Some(has_link && (demand.cores == 0.0 || self.free_cores() > demand.cores))
    }

    /// Returns whether the VM could take callers with this demand if it had no others.
    pub fn could_take(&self, demand: &CallerDemand) -> bool {
        let has_link = self.link.is_some() && demand.traffic.0 <= self.usable_link().0;
        has_link && demand.cores < self.cores
    }
}

/// Capacity, load and readiness of a VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoomNotice {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Random id of the run of its process.
    pub incarnation: u64,
    /// Number of the notice in this run; the highest one is the latest.
    pub number: u64,
    /// Its capacity and load.
    pub room: RoomUse,
    /// How many requests it can take.
    pub offer: VmOffer,
    /// Whether it is ready, as far as its load decides.
    pub is_ready: bool,
    /// Whether it is overloaded.
    pub is_overloaded: bool,
    /// The hold for which it is not ready, which may be that of another VM.
    pub hold: Option<RoomHold>,
}

impl RoomNotice {
    /// Returns whether the VM is not ready because of its own overload.
    pub fn has_own_hold(&self) -> bool {
        let hold = self.hold.as_ref();
        hold.is_some_and(|hold| hold.id.incarnation == self.incarnation)
    }

    /// Returns whether the VM comes after another one in the order in which VMs rely on others.
    ///
    /// A VM that is not ready relies only on VMs that come after it. So two VMs that decide at
    /// the same moment can't rely on each other, and the last one of a data centre stays ready.
    pub fn is_after(&self, other: &Self) -> bool {
        let link = |notice: &Self| notice.room.link.unwrap_or_default().0;
        let hash = |notice: &Self| stable_hash(notice.vm.as_str());
        let order = link(self)
            .total_cmp(&link(other))
            .then_with(|| self.room.cores.total_cmp(&other.room.cores))
            .then_with(|| hash(self).cmp(&hash(other)));
        order == Ordering::Greater
    }
}
