//! What a VM can carry, how much of it is in use, and whether the VM is ready.

mod announce;
mod capacity;
mod hold;
mod load_meter;
mod monitor;
mod notice;
mod offer;
mod overload;
mod readiness;
mod recent_load;
mod room_table;
mod takeover;

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Instant;

use snipegate_http1::SocketTraffic;
use tokio::sync::Notify;

pub use self::announce::announce_room;
pub use self::capacity::VmCapacity;
pub use self::hold::HoldSchedule;
pub use self::load_meter::LoadMeter;
pub use self::load_meter::LoadReading;
pub use self::load_meter::LoadSample;
pub use self::monitor::apply_notice;
pub use self::monitor::monitor_load;
pub use self::notice::CallerDemand;
pub use self::notice::HoldId;
pub use self::notice::RoomHold;
pub use self::notice::RoomNotice;
pub use self::notice::RoomUse;
pub use self::offer::VmOffer;
pub use self::overload::OverloadCause;
pub use self::overload::OverloadState;
pub use self::overload::VmOverload;
pub use self::readiness::ReadinessDecision;
pub use self::readiness::ReadinessEvent;
pub use self::readiness::ReadinessState;
pub use self::readiness::RoomOwner;
pub use self::recent_load::FreeShares;
pub use self::recent_load::VmLoad;
pub use self::room_table::DatedNotice;
pub use self::room_table::RoomTable;

/// Load and readiness of this VM, and what others tell of theirs.
pub struct VmRoom {
    /// Requests of callers since the start of the process.
    pub requests: Cell<u64>,
    /// Payload of the datagrams of this VM.
    pub datagrams: Cell<SocketTraffic>,
    /// Whether this VM is ready.
    pub readiness: RefCell<ReadinessState>,
    /// Notified when the other VMs are to be told at once.
    pub changed: Notify,
}

impl VmRoom {
    /// Creates the state of a VM that has just started.
    pub fn new(owner: RoomOwner, now: Instant) -> Self {
        Self {
            requests: Cell::new(0),
            datagrams: Cell::default(),
            readiness: RefCell::new(ReadinessState::new(owner, now)),
            changed: Notify::new(),
        }
    }

    /// Counts a datagram.
    pub fn count_datagram(&self, add: impl FnOnce(&mut SocketTraffic)) {
        let mut datagrams = self.datagrams.get();
        add(&mut datagrams);
        self.datagrams.set(datagrams);
    }
}
