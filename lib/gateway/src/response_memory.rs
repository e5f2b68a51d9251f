//! Bounds the memory used to buffer response bodies before they are forwarded.

use std::cell::Cell;
use std::rc::Rc;

use snipegate_types::ByteCount;

use crate::gateway::Gateway;

/// Response buffers may use this VM's memory divided by this.
const MEMORY_DIVISOR: u64 = 4;

/// The memory limit for response buffers, shared by all requests of a VM.
#[derive(Debug)]
pub struct ResponseMemory {
    limit: ByteCount,
    reserved: Cell<ByteCount>,
}

impl ResponseMemory {
    /// Derives the limit from the memory of the VM.
    pub fn new(memory: ByteCount) -> Self {
        Self {
            limit: ByteCount(memory.0 / MEMORY_DIVISOR),
            reserved: Cell::default(),
        }
    }

    /// Reserves memory; returns `false` and reserves nothing if the limit would be exceeded.
    pub fn try_reserve(&self, bytes: ByteCount) -> bool {
        let reserved = self.reserved.get().saturating_add(bytes);
        if reserved > self.limit {
            return false;
        }
        self.reserved.set(reserved);
        true
    }

    /// Releases reserved memory.
    pub fn release(&self, bytes: ByteCount) {
        self.reserved.set(self.reserved.get().saturating_sub(bytes));
    }
}

/// The response memory reserved by one request; released on drop.
pub struct MemoryReservation {
    gateway: Rc<Gateway>,
    bytes: ByteCount,
}

impl MemoryReservation {
    /// Creates an empty reservation.
    pub fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            bytes: ByteCount::ZERO,
        }
    }

    /// Reserves `bytes` more; returns `false` and reserves nothing if the limit would be
    /// exceeded.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let bytes = ByteCount(bytes as u64);
        let reserved = self.gateway.response_memory.try_reserve(bytes);
        if reserved {
            self.bytes = self.bytes.saturating_add(bytes);
        }
        reserved
    }

    /// Releases everything that is reserved.
    pub fn clear(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.gateway.response_memory.release(bytes);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.clear();
    }
}
