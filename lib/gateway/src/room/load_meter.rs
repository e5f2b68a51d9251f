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

/// Counters of a process since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadTotals {
    /// Payload that its sockets have carried.
    pub traffic: SocketTraffic,
    /// Requests of callers.
    pub requests: u64,
}

/// Load of a VM between two samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Time that the sample covers.
    pub span: Duration,
    /// Traffic received, with packet headers.
    pub received: ByteRate,
    /// Traffic sent, with packet headers.
    pub sent: ByteRate,
    /// Requests of callers.
    pub requests: RequestRate,
    /// How late the timer of the sample fired, a sign of a saturated processor.
    pub lateness: Duration,
}

/// Turns counters into rates.
#[derive(Clone, Copy, Debug)]
pub struct LoadMeter {
    at: Instant,
    totals: LoadTotals,
}

impl LoadMeter {
    /// Creates a meter whose first sample begins now.
    pub fn new(totals: LoadTotals, now: Instant) -> Self {
        Self { at: now, totals }
    }

    /// Returns the load since the last sample; `None` if no time has passed.
    pub fn sample(&mut self, totals: LoadTotals, now: Instant) -> Option<LoadSample> {
        let span = now.saturating_duration_since(self.at);
        if span.is_zero() {
            return None;
        }
        let before = std::mem::replace(self, Self { at: now, totals }).totals;
        let traffic = totals.traffic.since(before.traffic);
        let requests = totals.requests.saturating_sub(before.requests);
        let seconds = span.as_secs_f64();
        let rate = |bytes: ByteCount| ByteRate(bytes.0 as f64 * (1.0 + HEADER_SHARE) / seconds);
        Some(LoadSample {
            span,
            received: rate(traffic.received),
            sent: rate(traffic.sent),
            requests: RequestRate(requests as f64 / seconds),
            lateness: span.saturating_sub(SAMPLE_INTERVAL),
        })
    }
}
