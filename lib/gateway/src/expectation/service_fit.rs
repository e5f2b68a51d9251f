//! What the requests of a service take on average, over all its upstreams.

use super::linear_fit::LinearFit;

/// Weight of a new sample in the averages.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Fraction of an engine's memory up to which requests are sent to it: beyond, engines end
/// requests to make room.
const USABLE_MEMORY: f64 = 0.9;

/// Averages over a service's upstreams, as this VM observed them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceFit {
    /// Expected time to the first event.
    pub first_event: LinearFit,
    /// Whether the service has so many upstreams that their speed is judged.
    pub is_judged: bool,
    request_tokens: Option<f64>,
    residence_ms: Option<f64>,
}

fn average(before: Option<f64>, sample: f64) -> f64 {
    before.map_or(sample, |before| before + SAMPLE_WEIGHT * (sample - before))
}

impl ServiceFit {
    /// Records the length of a prompt that is sent.
    pub fn record_prompt(&mut self, tokens: u64) {
        self.request_tokens = Some(average(self.request_tokens, tokens as f64));
    }

    /// Records how long a request was outstanding.
    pub fn record_residence(&mut self, residence_ms: f64) {
        self.residence_ms = Some(average(self.residence_ms, residence_ms));
    }

    /// Returns how many requests an engine is expected to run at once, by its slots and by its
    /// memory in tokens; 0 stands for an unknown limit.
    pub fn places(&self, slots: u32, memory: u64) -> u32 {
        let by_memory = match self.request_tokens {
            Some(tokens) if memory > 0 => USABLE_MEMORY * memory as f64 / tokens.max(1.0),
            _ => f64::INFINITY,
        };
        let slots = if slots > 0 { slots } else { u32::MAX };
        (by_memory as u32).min(slots).max(1)
    }

    /// Returns how long a request is expected to wait for a place, in ms.
    pub fn wait_ms(&self, running: u32, places: u32) -> f64 {
        let ahead = f64::from(running.saturating_sub(places - 1));
        ahead * self.residence_ms.unwrap_or_default() / f64::from(places)
    }
}
