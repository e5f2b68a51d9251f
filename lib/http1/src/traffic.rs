//! Counts the bytes that the sockets of a thread carry.

use std::cell::Cell;

use snipegate_types::ByteCount;

thread_local! {
    static TOTALS: Cell<SocketTraffic> = const { Cell::new(SocketTraffic::ZERO) };
}

/// Payload bytes that the sockets of this thread have carried.
///
/// A process that runs all its sockets on one thread has one count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SocketTraffic {
    /// Bytes read.
    pub received: ByteCount,
    /// Bytes accepted for sending.
    pub sent: ByteCount,
}

impl SocketTraffic {
    const ZERO: Self = Self {
        received: ByteCount::ZERO,
        sent: ByteCount::ZERO,
    };

    /// Returns the bytes since the thread began.
    pub fn total() -> Self {
        TOTALS.get()
    }

    /// Returns the bytes since `earlier`, a total of the same thread.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            received: self.received.saturating_sub(earlier.received),
            sent: self.sent.saturating_sub(earlier.sent),
        }
    }
}

/// Adds bytes that a socket has received.
pub fn count_received(bytes: usize) {
    let mut totals = TOTALS.get();
    totals.received = totals.received.saturating_add(ByteCount(bytes as u64));
    TOTALS.set(totals);
}

/// Adds bytes that a socket has accepted for sending.
pub fn count_sent(bytes: usize) {
    let mut totals = TOTALS.get();
    totals.sent = totals.sent.saturating_add(ByteCount(bytes as u64));
    TOTALS.set(totals);
}
