//! Decides whether a VM reports itself as ready.
//!
//! Callers that stick to a VM leave it only while it is not ready, and they come back as soon
//! as it is ready. So an overloaded VM is not ready for a while, if there is one with more
//! room. The VMs of its data centre that its callers would overload next are not ready for the
//! same time, so that these callers go at once to one that can take them.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_types::ByteRate;
use snipegate_types::DataCentre;
use snipegate_types::VmId;

use crate::peers::PeerContact;
use crate::room::capacity::VmCapacity;
use crate::room::hold::HoldSchedule;
use crate::room::hold::HoldTable;
use crate::room::hold::KnownHold;
use crate::room::load_meter::LoadSample;
use crate::room::notice::HoldId;
use crate::room::notice::RoomNotice;
use crate::room::notice::RoomUse;
use crate::room::offer::OfferMeter;
use crate::room::overload::OverloadCause;
use crate::room::overload::OverloadState;
use crate::room::overload::VmOverload;
use crate::room::recent_load::RecentLoad;
use crate::room::room_table::RoomTable;
use crate::room::takeover::TakeoverView;

/// Time before the end of a hold at which it may be prolonged. The other VMs have to learn of
/// it before they are ready again.
const RENEWAL_LEAD: Duration = Duration::from_secs(2);

/// The VM whose readiness is decided.
#[derive(Clone, Debug)]
pub struct RoomOwner {
    /// Its id.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Random id of the run of its process.
    pub incarnation: u64,
    /// What it can carry.
    pub capacity: VmCapacity,
}

/// What was decided on the readiness of a VM, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadinessEvent {
    /// The VM is overloaded and not ready.
    Overloaded(VmOverload, KnownHold),
    /// The callers of another VM would overload this one, so it is not ready.
    Withheld(KnownHold),
    /// The VM remains not ready, since another one carries the traffic that overloaded it.
    Prolonged(KnownHold),
    /// The VM is overloaded and remains ready, since no other one has more room.
    KeptReady(VmOverload),
    /// The hold has ended, so the VM is ready.
    HoldEnded,
    /// The number of VMs that may be not ready is limited and overloaded VMs take precedence, so
    /// this one is ready.
    Released,
    /// The VM hears no ready one that could take its callers, so it is ready.
    NoOtherVm,
}

/// Decision on the readiness of a VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadinessDecision {
    /// What was decided.
    pub event: ReadinessEvent,
    /// Number of ready VMs that could be relied on.
    pub others: usize,
    /// Age of the oldest notice of these.
    pub oldest_notice: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ReadinessStatus {
    Ready,
    /// Not ready because of its own overload.
    Overloaded(KnownHold),
    /// Not ready because of another VM's overload.
    Withheld(KnownHold),
}

/// Readiness of a VM, and what it depends on.
#[derive(Clone, Debug)]
pub struct ReadinessState {
    owner: RoomOwner,
    overload: OverloadState,
    load: RecentLoad,
    offer: OfferMeter,
    /// What the other VMs told of their capacity and load.
    pub table: RoomTable,
    holds: HoldTable,
    schedule: HoldSchedule,
    status: ReadinessStatus,
    /// Number of own holds so far.
    hold_count: u32,
    /// Highest recent traffic of the others when the last own hold began, by the hash of their
    /// names.
    peaks_before: IndexMap<u64, ByteRate>,
    /// Number of notices so far.
    notice_count: u64,
    /// Whether it was decided that the present overload leaves the VM ready.
    is_kept_ready: bool,
}

impl ReadinessState {
    /// Creates the state of a VM that has just started.
    pub fn new(owner: RoomOwner, now: Instant) -> Self {
        let load = RecentLoad::new(owner.capacity.link, now);
        Self {
            overload: OverloadState::new(&owner.capacity),
            load,
            offer: OfferMeter::new(&RoomUse::new(&owner.capacity, load.load())),
            owner,
            table: RoomTable::default(),
            holds: HoldTable::default(),
            schedule: HoldSchedule::default(),
            status: ReadinessStatus::Ready,
            hold_count: 0,
            peaks_before: IndexMap::new(),
            notice_count: 0,
            is_kept_ready: false,
        }
    }

    /// Returns whether the VM is ready.
    pub fn is_ready(&self) -> bool {
        self.status == ReadinessStatus::Ready
    }

    /// Returns what is saturated if the VM is overloaded.
    pub fn overload_cause(&self, now: Instant) -> Option<OverloadCause> {
        self.overload.recent_cause(now)
    }

    /// Applies a sample of the load. `contact` tells which VMs serve and are heard.
    pub fn record_sample(
        &mut self,
        sample: &LoadSample,
        contact: impl Fn(&VmId) -> PeerContact,
        now: Instant,
    ) -> Option<ReadinessDecision> {
        self.load.record(sample, now);
        let overload = self.overload.record(sample, now);
        let is_overloaded = self.overload_cause(now).is_some();
        self.offer.record(sample, &self.room_use(), is_overloaded);
        self.is_kept_ready &= is_overloaded;
        self.decide(overload, contact, now)
    }

    /// Applies a notice of another VM. Returns whether the readiness of that VM has changed,
    /// and what this VM decides.
    pub fn record_notice(
        &mut self,
        notice: RoomNotice,
        contact: impl Fn(&VmId) -> PeerContact,
        now: Instant,
    ) -> (bool, Option<ReadinessDecision>) {
        let is_near = notice.data_centre == self.owner.data_centre;
        let hold = notice.hold.filter(|_| is_near);
        let Some(is_changed) = self.table.record(notice, now) else {
            return (false, None);
        };
        if let Some(hold) = hold
            && hold.id.incarnation != self.owner.incarnation
        {
            let own = self.room_use();
            let is_threatening = || own.can_take(&hold.demand) == Some(false);
            self.holds.record(&hold, is_threatening, now);
        }
        (is_changed, self.decide(None, contact, now))
    }

    /// Returns the next notice to the other VMs.
    pub fn next_notice(&mut self, now: Instant) -> RoomNotice {
        self.notice_count += 1;
        self.notice(now)
    }

    /// Returns what other VMs are told of this one at present.
    pub fn notice(&self, now: Instant) -> RoomNotice {
        let hold = match &self.status {
            ReadinessStatus::Ready => None,
            ReadinessStatus::Overloaded(hold) | ReadinessStatus::Withheld(hold) => Some(hold),
        };
        RoomNotice {
            vm: self.owner.vm.clone(),
            data_centre: self.owner.data_centre.clone(),
            incarnation: self.owner.incarnation,
            number: self.notice_count,
            room: self.room_use(),
            offer: self.offer.offer(),
            is_ready: self.is_ready(),
            is_overloaded: self.overload_cause(now).is_some(),
            hold: hold.map(|hold| hold.describe(now)),
        }
    }

    fn room_use(&self) -> RoomUse {
        RoomUse::new(&self.owner.capacity, self.load.load())
    }

    fn decide(
        &mut self,
        overload: Option<VmOverload>,
        contact: impl Fn(&VmId) -> PeerContact,
        now: Instant,
    ) -> Option<ReadinessDecision> {
        let view = TakeoverView::new(&self.notice(now), &self.table, contact, now);
        let event = self.next_event(overload, &view, now)?;
        self.status = match event {
            ReadinessEvent::Overloaded(_, hold) | ReadinessEvent::Prolonged(hold) => {
                ReadinessStatus::Overloaded(hold)
            }
            ReadinessEvent::Withheld(hold) => ReadinessStatus::Withheld(hold),
            ReadinessEvent::KeptReady(_)
            | ReadinessEvent::HoldEnded
            | ReadinessEvent::Released
            | ReadinessEvent::NoOtherVm => ReadinessStatus::Ready,
        };
        self.is_kept_ready = matches!(event, ReadinessEvent::KeptReady(_));
        Some(ReadinessDecision {
            event,
            others: view.count(),
            oldest_notice: view.oldest_notice,
        })
    }

    /// Returns what changes, if anything.
    fn next_event(
        &mut self,
        overload: Option<VmOverload>,
        view: &TakeoverView,
        now: Instant,
    ) -> Option<ReadinessEvent> {
        if !self.is_ready() && view.count() == 0 {
            return Some(ReadinessEvent::NoOtherVm);
        }
        let threat = self.holds.last_threat(now);
        let relieving = overload.filter(|overload| view.has_more_room(overload));
        match (self.status, relieving) {
            (ReadinessStatus::Ready | ReadinessStatus::Withheld(_), Some(overload)) => {
                self.peaks_before = view.peaks();
                let hold = self.begin_hold(&overload, now);
                Some(ReadinessEvent::Overloaded(overload, hold))
            }
            (ReadinessStatus::Ready, None) => threat
                .filter(|threat| view.can_take_over(&threat.demand))
                .map(ReadinessEvent::Withheld)
                .or_else(|| {
                    let overload = overload.filter(|_| !self.is_kept_ready);
                    overload.map(ReadinessEvent::KeptReady)
                }),
            (ReadinessStatus::Withheld(_), None) => match threat {
                Some(threat) if !view.has_capacity_for(&threat.demand) => {
                    Some(ReadinessEvent::NoOtherVm)
                }
                Some(_) if !view.may_be_withheld() => Some(ReadinessEvent::Released),
                Some(threat) => {
                    // The hold may have been prolonged.
                    self.status = ReadinessStatus::Withheld(threat);
                    None
                }
                None => Some(ReadinessEvent::HoldEnded),
            },
            (ReadinessStatus::Overloaded(hold), _) if !view.has_capacity_for(&hold.demand) => {
                Some(ReadinessEvent::NoOtherVm)
            }
            (ReadinessStatus::Overloaded(hold), _) if hold.until > now + RENEWAL_LEAD => None,
            (ReadinessStatus::Overloaded(hold), _) => self.end_hold(hold, threat, view, now),
        }
    }

    fn begin_hold(&mut self, overload: &VmOverload, now: Instant) -> KnownHold {
        self.hold_count += 1;
        KnownHold {
            id: HoldId {
                incarnation: self.owner.incarnation,
                number: self.hold_count,
            },
            renewals: 0,
            demand: overload.demand(&self.room_use()),
            until: self.schedule.begin(now),
        }
    }

    /// Decides what follows on an own hold that is about to end.
    ///
    /// While another VM carries the callers, they would come back and overload this VM again, so
    /// that is taken as one more overload. The longest hold is not prolonged, since they may be
    /// other callers.
    fn end_hold(
        &mut self,
        hold: KnownHold,
        threat: Option<KnownHold>,
        view: &TakeoverView,
        now: Instant,
    ) -> Option<ReadinessEvent> {
        if view.carries(&hold.demand, &self.peaks_before) && !self.schedule.is_longest() {
            return Some(ReadinessEvent::Prolonged(KnownHold {
                renewals: hold.renewals + 1,
                until: self.schedule.begin(now),
                ..hold
            }));
        }
        if hold.until > now {
            return None;
        }
        let threat = threat.filter(|threat| view.can_take_over(&threat.demand));
        Some(threat.map_or(ReadinessEvent::HoldEnded, ReadinessEvent::Withheld))
    }
}
