//! What a VM can carry and how much of it is in use.

mod capacity;
mod hold;
mod load_meter;
mod monitor;
mod overload;
mod readiness;

use std::cell::Cell;
use std::cell::RefCell;

pub use self::capacity::VmCapacity;
pub use self::hold::HoldSchedule;
pub use self::load_meter::LoadMeter;
pub use self::load_meter::LoadSample;
pub use self::load_meter::LoadTotals;
pub use self::monitor::monitor_load;
pub use self::overload::OverloadCause;
pub use self::overload::OverloadState;
pub use self::overload::VmOverload;
pub use self::readiness::ReadinessChange;
pub use self::readiness::ReadinessState;

/// Load and readiness of this VM.
pub struct VmRoom {
    /// Requests of callers since the start of the process.
    pub requests: Cell<u64>,
    /// Whether this VM is ready.
    pub readiness: RefCell<ReadinessState>,
}

impl VmRoom {
    /// Creates the state of a VM that has just started.
    pub fn new(capacity: &VmCapacity) -> Self {
        Self {
            requests: Cell::new(0),
            readiness: RefCell::new(ReadinessState::new(capacity)),
        }
    }
}
