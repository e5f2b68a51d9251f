//! What is measured of a set of upstreams: times and answer lengths.

use std::time::Duration;

use crate::policy::RoutePolicy;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Share of the older samples that stays when a new one comes to the line fit.
const FIT_MEMORY: f64 = 0.995;

/// Samples before the line fit is believed.
const FIT_SAMPLES: f64 = 20.0;

/// Longest token processing time that is believed, in seconds.
const MAX_TOKEN_SECONDS: f64 = 0.01;

/// A line through samples of (prompt tokens, seconds to the first token), old
/// ones fading.
#[derive(Clone, Debug, Default)]
struct LineFit {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LineFit {
    fn add(&mut self, x: f64, y: f64) {
        self.count = self.count * FIT_MEMORY + 1.0;
        self.x = self.x * FIT_MEMORY + x;
        self.y = self.y * FIT_MEMORY + y;
        self.xx = self.xx * FIT_MEMORY + x * x;
        self.xy = self.xy * FIT_MEMORY + x * y;
    }

    /// Returns intercept and slope, if the samples are many and differ.
    fn line(&self) -> Option<(f64, f64)> {
        let spread = self.count * self.xx - self.x * self.x;
        if self.count < FIT_SAMPLES || spread <= 1e-9 * self.xx * self.count {
            return None;
        }
        let slope = (self.count * self.xy - self.x * self.y) / spread;
        let intercept = (self.y - slope * self.x) / self.count;
        Some((intercept, slope))
    }
}

/// What is measured of the upstreams that serve one model.
#[derive(Clone, Debug)]
pub(crate) struct LatencyModel {
    first: LineFit,
    base_default: f64,
    token_default: f64,
    /// Seconds between two tokens of one stream.
    pub between: f64,
    /// Share of the allowed tokens that answers use.
    pub answer_share: f64,
    /// Share of a prompt that was seen before.
    pub reuse: f64,
    /// Seconds that a request occupies a place in a batch.
    pub service: f64,
}

impl LatencyModel {
    pub fn new(policy: &RoutePolicy) -> Self {
        Self {
            first: LineFit::default(),
            base_default: policy.default_first.as_secs_f64(),
            token_default: policy.default_prefill.as_secs_f64(),
            between: policy.default_between.as_secs_f64(),
            answer_share: policy.default_answer_share,
            reuse: 0.0,
            service: 1.0,
        }
    }

    /// Returns seconds to the first token without prompt and queue, and seconds
    /// for each prompt token.
    pub fn first_token(&self) -> (f64, f64) {
        match self.first.line() {
            Some((base, token)) => (base.max(1e-3), token.clamp(1e-6, MAX_TOKEN_SECONDS)),
            None => (self.base_default, self.token_default),
        }
    }

    /// Notes a first token of a request that found a free place.
    pub fn first_token_seen(&mut self, uncached: u64, seconds: f64) {
        self.first.add(uncached as f64, seconds);
    }

    /// Notes which share of a prompt was seen before.
    pub fn reuse_seen(&mut self, share: f64) {
        blend(&mut self.reuse, share);
    }

    /// Notes a complete answer.
    pub fn completed(&mut self, generated: u64, allowed: u64, stream: Duration, total: Duration) {
        if generated > 1 {
            let between = stream.as_secs_f64() / (generated - 1) as f64;
            blend(&mut self.between, between);
        }
        if allowed > 0 {
            blend(
                &mut self.answer_share,
                (generated as f64 / allowed as f64).min(1.0),
            );
        }
        blend(&mut self.service, total.as_secs_f64());
    }
}

fn blend(current: &mut f64, sample: f64) {
    *current += SAMPLE_WEIGHT * (sample - *current);
}
