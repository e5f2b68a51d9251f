//! Counts the bytes that the TCP sockets of a thread carry.

use std::cell::Cell;

use snipegate_types::ByteCount;

thread_local! {
    static TOTALS: Cell<SocketTraffic> = const { Cell::new(SocketTraffic::ZERO) };
}

/// Payload bytes that sockets have carried.
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

    /// Returns what the TCP sockets of this thread have carried so far.
    ///
    /// A process that runs all its sockets on one thread has one count.
    pub fn of_streams() -> Self {
        TOTALS.get()
    }

    /// Adds bytes that a socket has received.
    pub fn add_received(&mut self, bytes: usize) {
        self.received = self.received.saturating_add(ByteCount(bytes as u64));
    }

    /// Adds bytes that a socket has accepted for sending.
    pub fn add_sent(&mut self, bytes: usize) {
        self.sent = self.sent.saturating_add(ByteCount(bytes as u64));
    }

    /// Returns the bytes since `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            received: self.received.saturating_sub(earlier.received),
            sent: self.sent.saturating_sub(earlier.sent),
        }
    }
}

/// Adds bytes that a socket of this thread has received.
pub(crate) fn count_received(bytes: usize) {
    let mut totals = TOTALS.get();
    totals.add_received(bytes);
    TOTALS.set(totals);
}

/// Adds bytes that a socket of this thread has accepted for sending.
pub(crate) fn count_sent(bytes: usize) {
    let mut totals = TOTALS.get();
    totals.add_sent(bytes);
    TOTALS.set(totals);
}
