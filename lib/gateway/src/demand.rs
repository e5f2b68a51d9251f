//! Measures what requests ask of a budget.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::TokenCount;

/// Time in which the weight of past demand falls to 1/e.
const DEMAND_LIFE: Duration = Duration::from_secs(8);

/// Shortest time over which demand is averaged.
const MIN_DEMAND_SPAN: Duration = Duration::from_millis(1500);

/// The tokens that requests asked for, the older ones with less weight.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    weight: f64,
    at: Instant,
    began: Option<Instant>,
}

impl DemandMeter {
    /// Makes a meter that has seen nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            weight: 0.0,
            at: now,
            began: None,
        }
    }

    /// Notes that a request asked for this much.
    pub fn note(&mut self, tokens: TokenCount, now: Instant) {
        self.weight = self.weight_now(now) + tokens.0 as f64;
        self.began.get_or_insert(now);
        self.at = now;
    }

    /// Returns the tokens a second that were asked for lately.
    pub fn rate(&self, now: Instant) -> f64 {
        let Some(began) = self.began else {
            return 0.0;
        };
        let life = DEMAND_LIFE.as_secs_f64();
        let watched = now.saturating_duration_since(began).max(MIN_DEMAND_SPAN);
        let seen = 1.0 - (-watched.as_secs_f64() / life).exp();
        self.weight_now(now) / (life * seen)
    }

    fn weight_now(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.weight * (-age.as_secs_f64() / DEMAND_LIFE.as_secs_f64()).exp()
    }
}
