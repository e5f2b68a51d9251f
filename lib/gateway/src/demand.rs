//! Measures the demand for tokens of a budget.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::TokenCount;

/// Time constant of the exponential decay of past demand.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(8);

/// Minimum time over which demand is averaged.
const MIN_DEMAND_WINDOW: Duration = Duration::from_millis(1500);

/// Exponentially decaying average of the tokens requested per second.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    weight: f64,
    updated_at: Instant,
    started_at: Option<Instant>,
}

impl DemandMeter {
    /// Creates a meter without any recorded demand.
    pub fn new(now: Instant) -> Self {
        Self {
            weight: 0.0,
            updated_at: now,
            started_at: None,
        }
    }

    /// Records a request for `tokens`.
    pub fn record(&mut self, tokens: TokenCount, now: Instant) {
        self.weight = self.decayed_weight(now) + tokens.0 as f64;
        self.started_at.get_or_insert(now);
        self.updated_at = now;
    }

    /// Returns the recent demand in tokens per second.
    pub fn rate(&self, now: Instant) -> f64 {
        let Some(started_at) = self.started_at else {
            return 0.0;
        };
        let life = DEMAND_DECAY_TIME.as_secs_f64();
        let window = now
            .saturating_duration_since(started_at)
            .max(MIN_DEMAND_WINDOW);
        let filled = 1.0 - (-window.as_secs_f64() / life).exp();
        self.decayed_weight(now) / (life * filled)
    }

    fn decayed_weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.weight * (-age.as_secs_f64() / DEMAND_DECAY_TIME.as_secs_f64()).exp()
    }
}
