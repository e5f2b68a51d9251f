//! Decayed sums of expected and observed times.

use std::time::Duration;
use std::time::Instant;

/// Time in which the weight of an observation decays to 1/e.
const SPEED_DECAY_TIME: Duration = Duration::from_secs(8);

/// Expected and observed times to the first event, weighted by exponential decay with age.
#[derive(Clone, Copy, Debug)]
pub struct SpeedSums {
    /// Sum of expected times, in ms.
    pub expected_ms: f64,
    /// Sum of observed times, in ms.
    pub observed_ms: f64,
    /// Time of the latest observation.
    pub at: Instant,
}

impl SpeedSums {
    /// Returns the sums without an observation.
    pub fn new(at: Instant) -> Self {
        Self {
            expected_ms: 0.0,
            observed_ms: 0.0,
            at,
        }
    }

    /// Returns the sums as weighted at `now`.
    pub fn decayed(self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let factor = (-age / SPEED_DECAY_TIME.as_secs_f64()).exp();
        Self {
            expected_ms: self.expected_ms * factor,
            observed_ms: self.observed_ms * factor,
            at: self.at,
        }
    }

    /// Adds an observation.
    pub fn record(&mut self, expected_ms: f64, observed_ms: f64, now: Instant) {
        let decayed = self.decayed(now);
        *self = Self {
            expected_ms: decayed.expected_ms + expected_ms,
            observed_ms: decayed.observed_ms + observed_ms,
            at: now,
        };
    }
}
