//! Measures the load of a VM by sampling its counters.

use std::time::Duration;
use std::time::Instant;

use snipegate_http1::SocketTraffic;
use snipegate_types::ByteCount;
use snipegate_types::ByteRate;
use snipegate_types::RequestRate;

/// Interval between two samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Bytes of packet headers per byte of payload.
const HEADER_SHARE: f64 = 0.06;

/// Counters of a process since its start, and what is free of its memory and descriptors.
#[derive(Clone, Copy, Debug)]
pub struct LoadReading {
    /// Payload of TCP connections.
    pub streams: SocketTraffic,
    /// Payload of datagrams.
    pub datagrams: SocketTraffic,
    /// Requests of callers.
    pub requests: u64,
    /// Free share of the memory for responses.
    pub free_memory: f64,
    /// Free share of the connections that callers may open.
    pub free_descriptors: f64,
}

/// Load of a VM between two readings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Time between the readings.
    pub span: Duration,
    /// Traffic received, with packet headers.
    pub received: ByteRate,
    /// Traffic sent, with packet headers.
    pub sent: ByteRate,
    /// Traffic of TCP connections in the busier direction, with packet headers.
    pub streams: ByteRate,
    /// Requests of callers.
    pub requests: RequestRate,
    /// How late the timer of the sample fired, a sign of a saturated processor.
    pub lateness: Duration,
    /// Free share of the memory for responses at the end.
    pub free_memory: f64,
    /// Free share of the connections that callers may open, at the end.
    pub free_descriptors: f64,
}

/// Turns readings into rates.
#[derive(Clone, Copy, Debug)]
pub struct LoadMeter {
    at: Instant,
    last: LoadReading,
}

impl LoadMeter {
    /// Creates a meter whose first sample begins now.
    pub fn new(reading: LoadReading, now: Instant) -> Self {
        Self {
            at: now,
            last: reading,
        }
    }

    /// Returns the load since the last reading; `None` if no time has passed.
    pub fn sample(&mut self, reading: LoadReading, now: Instant) -> Option<LoadSample> {
        let span = now.saturating_duration_since(self.at);
        if span.is_zero() {
            return None;
        }
        let before = std::mem::replace(self, Self::new(reading, now)).last;
        let streams = reading.streams.since(before.streams);
        let datagrams = reading.datagrams.since(before.datagrams);
        let requests = reading.requests.saturating_sub(before.requests);
        let seconds = span.as_secs_f64();
        let rate = |bytes: ByteCount| ByteRate(bytes.0 as f64 * (1.0 + HEADER_SHARE) / seconds);
        Some(LoadSample {
            span,
            received: rate(streams.received.saturating_add(datagrams.received)),
            sent: rate(streams.sent.saturating_add(datagrams.sent)),
            streams: rate(streams.received.max(streams.sent)),
            requests: RequestRate(requests as f64 / seconds),
            lateness: span.saturating_sub(SAMPLE_INTERVAL),
            free_memory: reading.free_memory,
            free_descriptors: reading.free_descriptors,
        })
    }
}
