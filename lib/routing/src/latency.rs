//! Measured latencies and response lengths of a set of upstreams.

use std::time::Duration;

use crate::policy::RoutePolicy;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Factor applied to the weight of earlier samples when a sample is added to the fit.
const FIT_MEMORY: f64 = 0.995;

/// Minimum total sample weight before the fit is used.
const FIT_SAMPLES: f64 = 20.0;

/// Upper bound of the fitted processing time per prompt token, in seconds.
const MAX_TOKEN_SECONDS: f64 = 0.01;

/// Linear regression of the seconds to the first token over the number of uncached prompt
/// tokens, with exponentially decaying weights.
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

    /// Returns intercept and slope, or `None` if there are too few samples or their x
    /// values are nearly equal.
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

/// Measured latencies and response lengths of the upstreams that serve one model.
#[derive(Clone, Debug)]
pub(crate) struct LatencyModel {
    first: LineFit,
    base_default: f64,
    token_default: f64,
    /// Mean seconds between two tokens of a stream.
    pub between: f64,
    /// Mean ratio of generated tokens to the allowed maximum.
    pub answer_share: f64,
    /// Mean share of a prompt that is in the prefix index.
    pub reuse: f64,
    /// Mean seconds from choosing the upstream to the end of the response.
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

    /// Returns the seconds to the first token with an empty prompt and no queue, and the
    /// seconds per uncached prompt token.
    pub fn first_token(&self) -> (f64, f64) {
        match self.first.line() {
            Some((base, token)) => (base.max(1e-3), token.clamp(1e-6, MAX_TOKEN_SECONDS)),
            None => (self.base_default, self.token_default),
        }
    }

    /// Records the first token of a request that was expected to start without waiting.
    pub fn first_token_seen(&mut self, uncached: u64, seconds: f64) {
        self.first.add(uncached as f64, seconds);
    }

    /// Records the share of a prompt that was in the prefix index.
    pub fn reuse_seen(&mut self, share: f64) {
        blend(&mut self.reuse, share);
    }

    /// Records a complete response.
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
