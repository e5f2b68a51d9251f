//! The VMs that an overloaded VM's callers can go to.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_types::ByteRate;
use snipegate_types::VmId;

use crate::gateway::stable_hash;
use crate::peers::PeerContact;
use crate::room::notice::CallerDemand;
use crate::room::notice::RoomNotice;
use crate::room::notice::RoomUse;
use crate::room::overload::OverloadCause;
use crate::room::overload::VmOverload;
use crate::room::room_table::RoomTable;

/// The VMs that take over must together have this many times the room that the callers need,
/// since the load comes in bursts.
const TAKEOVER_MARGIN: f64 = 2.0;

/// Share of the callers' traffic by which that of a VM has to have grown to be taken for
/// theirs, since that of its other callers may have become less.
const CARRIED_SHARE: f64 = 0.5;

/// The ready VMs of a data centre that come after this one in the order in which VMs rely on
/// others.
#[derive(Clone, Debug)]
pub struct TakeoverView {
    own: RoomUse,
    /// All of them, by the hash of their name. A VM that has just become silent is one: if it
    /// counted as ended and was not, callers would be drawn back to a VM that can't take them.
    ready: IndexMap<u64, RoomUse>,
    /// Number of VMs of the data centre that serve, with this one.
    serving: usize,
    /// Number of the others that are ready.
    others_ready: usize,
    /// Number of those that come before this one in the order, ready or not.
    before: usize,
    /// Number of those after it that are not ready because of their own overload.
    overloaded_after: usize,
    /// Those that come after this one, are heard and are not overloaded.
    relieved: Vec<RoomUse>,
    /// Age of the oldest notice.
    pub oldest_notice: Duration,
}

impl TakeoverView {
    /// Collects the view of the VM `own`. `contact` tells which VMs serve and are heard.
    pub fn new(
        own: &RoomNotice,
        table: &RoomTable,
        contact: impl Fn(&VmId) -> PeerContact,
        now: Instant,
    ) -> Self {
        let mut view = Self {
            own: own.room,
            ready: IndexMap::new(),
            serving: 1,
            others_ready: 0,
            before: 0,
            overloaded_after: 0,
            relieved: Vec::new(),
            oldest_notice: Duration::ZERO,
        };
        for dated in table.current(now) {
            let notice = &dated.notice;
            let contact = contact(&notice.vm);
            if notice.data_centre != own.data_centre || contact == PeerContact::NotServing {
                continue;
            }
            view.serving += 1;
            view.others_ready += usize::from(notice.is_ready);
            if !notice.is_after(own) {
                view.before += 1;
                continue;
            }
            if !notice.is_ready {
                view.overloaded_after += usize::from(notice.has_own_hold());
                continue;
            }
            let vm = stable_hash(notice.vm.as_str());
            view.ready.insert(vm, notice.room);
            if contact == PeerContact::Heard && !notice.is_overloaded {
                view.relieved.push(notice.room);
            }
            view.oldest_notice = view.oldest_notice.max(dated.age(now));
        }
        view
    }

    /// Returns the number of VMs.
    pub fn count(&self) -> usize {
        self.ready.len()
    }

    /// Returns whether the callers that overload this VM fare better at another one: it has
    /// more room left than this VM has in all, and enough VMs remain ready.
    pub fn has_more_room(&self, overload: &VmOverload) -> bool {
        let demand = overload.demand(&self.own);
        let not_ready = self.serving - self.others_ready;
        not_ready <= self.max_not_ready()
            && self.relieved.iter().any(|room| match overload.cause {
                OverloadCause::Link => self.own.link.is_some_and(|link| room.free_link() > link),
                OverloadCause::Processor => room.can_take(&demand) == Some(true),
            })
    }

    /// Returns whether VMs that these callers would not overload have room for them. Those
    /// that they would overload don't count: they are about to be not ready as well.
    pub fn can_take_over(&self, demand: &CallerDemand) -> bool {
        let can_take = |room: &&RoomUse| room.can_take(demand) == Some(true);
        let takers = || self.relieved.iter().filter(can_take);
        let traffic: f64 = takers().map(|room| room.free_link().0).sum();
        let cores: f64 = takers().map(RoomUse::free_cores).sum();
        self.may_be_withheld()
            && takers().next().is_some()
            && traffic >= demand.traffic.0 * TAKEOVER_MARGIN
            && cores >= demand.cores * TAKEOVER_MARGIN
    }

    /// Returns how many VMs of the data centre may be not ready at the same time.
    ///
    /// Where half of the targets or more fail their checks, platforms take the checks for wrong
    /// and send callers to all of them.
    fn max_not_ready(&self) -> usize {
        (self.serving - 1) / 2
    }

    /// Returns whether this VM may be not ready for the callers of another one, with all before
    /// it in the order. One more that is overloaded itself may still become not ready then.
    pub fn may_be_withheld(&self) -> bool {
        self.before + self.overloaded_after + 1 < self.max_not_ready()
    }

    /// Returns whether one of the VMs could take these callers if it had no others.
    pub fn has_capacity_for(&self, demand: &CallerDemand) -> bool {
        self.ready.values().any(|room| room.could_take(demand))
    }

    /// Returns the highest recent traffic of each VM, by the hash of its name.
    pub fn peaks(&self) -> IndexMap<u64, ByteRate> {
        let peaks = self.ready.iter();
        peaks.map(|(vm, room)| (*vm, room.load.peak)).collect()
    }

    /// Returns whether one of the VMs carries these callers, by how much its highest recent
    /// traffic exceeds that of before they came, `peaks_before`.
    pub fn carries(&self, demand: &CallerDemand, peaks_before: &IndexMap<u64, ByteRate>) -> bool {
        self.ready.iter().any(|(vm, room)| {
            let before = peaks_before.get(vm).copied().unwrap_or_default();
            room.load.peak.0 - before.0 >= demand.traffic.0 * CARRIED_SHARE
        })
    }
}
