//! What this VM knows of the room of the others.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_types::VmId;

use crate::room::notice::RoomNotice;

/// A notice that is older than this says nothing about the load of its VM.
pub const NOTICE_TTL: Duration = Duration::from_secs(3);

/// A VM is forgotten this long after its last notice.
const FORGET_TIMEOUT: Duration = Duration::from_secs(60);

/// The last notice of a VM.
#[derive(Clone, Debug)]
pub struct DatedNotice {
    /// The notice.
    pub notice: RoomNotice,
    /// When it was received.
    pub at: Instant,
}

impl DatedNotice {
    /// Returns the time since the notice was received.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Returns whether the notice tells the load of its VM.
    pub fn is_current(&self, now: Instant) -> bool {
        self.age(now) < NOTICE_TTL
    }
}

/// The last notices of the other VMs.
#[derive(Clone, Debug, Default)]
pub struct RoomTable {
    notices: IndexMap<VmId, DatedNotice>,
}

impl RoomTable {
    /// Applies a notice. Returns whether the readiness of the VM has changed or it was not
    /// known; `None` if a later notice is known.
    pub fn record(&mut self, notice: RoomNotice, now: Instant) -> Option<bool> {
        self.notices
            .retain(|_, known| known.age(now) < FORGET_TIMEOUT);
        let known = self.notices.get(&notice.vm).map(|known| &known.notice);
        let is_outdated = |known: &RoomNotice| {
            known.incarnation == notice.incarnation && known.number >= notice.number
        };
        if known.is_some_and(is_outdated) {
            return None;
        }
        let flags = |notice: &RoomNotice| (notice.is_ready, notice.is_overloaded);
        let is_changed = known.map(flags) != Some(flags(&notice));
        let vm = notice.vm.clone();
        self.notices.insert(vm, DatedNotice { notice, at: now });
        Some(is_changed)
    }

    /// Returns the last notice of a VM.
    pub fn get(&self, vm: &VmId) -> Option<&DatedNotice> {
        self.notices.get(vm)
    }

    /// Returns the weight of a VM in the choice of one that relays messages: its free link rate,
    /// so that small and overloaded VMs carry callers' traffic instead. A VM whose room is not
    /// known relays only where that holds for all.
    pub fn relay_weight(&self, vm: &VmId, now: Instant) -> f64 {
        let current = self.notices.get(vm).filter(|dated| dated.is_current(now));
        current.map_or(1.0, |dated| 1.0 + dated.notice.room.free_link().0)
    }

    /// Returns the notices that tell the load of their VMs.
    pub fn current(&self, now: Instant) -> impl Iterator<Item = &DatedNotice> {
        let is_current = move |dated: &&DatedNotice| dated.is_current(now);
        self.notices.values().filter(is_current)
    }
}
