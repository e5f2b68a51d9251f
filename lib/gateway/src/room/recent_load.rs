//! Load of a VM over the last seconds, as other VMs are told.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::ByteRate;
use snipegate_types::RequestRate;

use crate::room::load_meter::LoadSample;
use crate::room::overload::MAX_LATENESS;

/// Time in which the weight of a sample decays to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Window of the highest traffic; the window before it counts as well. It is longer than the
/// period of the usual fluctuations of the load.
const PEAK_PERIOD: Duration = Duration::from_secs(20);

/// Free shares of what a VM can run out of, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FreeShares {
    /// Of the link, in its busier direction; 1 if its rate is not known.
    pub link: f32,
    /// Of the processor, by how late timers fire.
    pub processor: f32,
    /// Of the memory for responses.
    pub memory: f32,
    /// Of the connections that callers may open.
    pub descriptors: f32,
}

impl FreeShares {
    /// Returns the share of what is closest to running out.
    pub fn least(&self) -> f32 {
        let others = self.processor.min(self.memory).min(self.descriptors);
        self.link.min(others)
    }
}

/// Load of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmLoad {
    /// Traffic received.
    pub received: ByteRate,
    /// Traffic sent.
    pub sent: ByteRate,
    /// Highest traffic of the last 20 to 40 s in the busier direction.
    pub peak: ByteRate,
    /// Requests of callers.
    pub requests: RequestRate,
    /// What is free.
    pub free: FreeShares,
}

impl VmLoad {
    /// Returns the traffic in the busier direction.
    pub fn traffic(&self) -> ByteRate {
        ByteRate(self.received.0.max(self.sent.0))
    }
}

/// Averages samples of the load.
#[derive(Clone, Copy, Debug)]
pub struct RecentLoad {
    link: Option<ByteRate>,
    received: f64,
    sent: f64,
    requests: f64,
    /// Mean lateness in relation to that of a saturated processor.
    lateness: f64,
    free_memory: f64,
    free_descriptors: f64,
    peak: TrafficPeak,
}

/// The highest traffic in two periods.
#[derive(Clone, Copy, Debug)]
struct TrafficPeak {
    since: Instant,
    highest: f64,
    before: f64,
}

impl RecentLoad {
    /// Creates the load of a VM that has just started.
    pub fn new(link: Option<ByteRate>, now: Instant) -> Self {
        Self {
            link,
            received: 0.0,
            sent: 0.0,
            requests: 0.0,
            lateness: 0.0,
            free_memory: 1.0,
            free_descriptors: 1.0,
            peak: TrafficPeak {
                since: now,
                highest: 0.0,
                before: 0.0,
            },
        }
    }

    /// Applies a sample.
    pub fn record(&mut self, sample: &LoadSample, now: Instant) {
        let weight = 1.0 - (-sample.span.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        let average = |mean: &mut f64, value: f64| *mean += (value - *mean) * weight;
        let lateness = sample.lateness.as_secs_f64() / MAX_LATENESS.as_secs_f64();
        average(&mut self.received, sample.received.0);
        average(&mut self.sent, sample.sent.0);
        average(&mut self.requests, sample.requests.0);
        average(&mut self.lateness, lateness.min(1.0));
        self.free_memory = sample.free_memory;
        self.free_descriptors = sample.free_descriptors;
        self.peak.record(self.received.max(self.sent), now);
    }

    /// Returns the load.
    pub fn load(&self) -> VmLoad {
        let traffic = self.received.max(self.sent);
        let free_link = self.link.map_or(1.0, |link| 1.0 - traffic / link.0);
        let share = |value: f64| value.clamp(0.0, 1.0) as f32;
        VmLoad {
            received: ByteRate(self.received),
            sent: ByteRate(self.sent),
            peak: ByteRate(self.peak.highest.max(self.peak.before)),
            requests: RequestRate(self.requests),
            free: FreeShares {
                link: share(free_link),
                processor: share(1.0 - self.lateness),
                memory: share(self.free_memory),
                descriptors: share(self.free_descriptors),
            },
        }
    }
}

impl TrafficPeak {
    fn record(&mut self, traffic: f64, now: Instant) {
        if now.saturating_duration_since(self.since) >= PEAK_PERIOD {
            self.before = self.highest;
            self.highest = 0.0;
            self.since = now;
        }
        self.highest = self.highest.max(traffic);
    }
}
