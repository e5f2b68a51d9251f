//! What a VM can carry and how much of it is in use.

mod capacity;

pub use self::capacity::VmCapacity;
