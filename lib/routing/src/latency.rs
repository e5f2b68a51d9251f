//! Measured latencies and response lengths of a set of upstreams.

use std::time::Duration;

use crate::policy::RoutePolicy;

/// Weight of a new sample in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Factor applied to the weight of earlier samples when a sample is added to the fit.
const FIT_DECAY: f64 = 0.995;

/// Minimum total sample weight before the fit is used.
const MIN_FIT_WEIGHT: f64 = 20.0;

/// Upper bound of the fitted processing time per prompt token, in seconds.
const MAX_PREFILL_SECS_PER_TOKEN: f64 = 0.01;

/// Linear regression of the seconds to the first token over the number of uncached prompt
/// tokens, with exponentially decaying weights.
#[derive(Clone, Debug, Default)]
struct LinearFit {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

impl LinearFit {
    fn add(&mut self, x: f64, y: f64) {
        self.weight = self.weight * FIT_DECAY + 1.0;
        self.sum_x = self.sum_x * FIT_DECAY + x;
        self.sum_y = self.sum_y * FIT_DECAY + y;
        self.sum_xx = self.sum_xx * FIT_DECAY + x * x;
        self.sum_xy = self.sum_xy * FIT_DECAY + x * y;
    }

    /// Returns intercept and slope, or `None` if there are too few samples or their x
    /// values are nearly equal.
    fn line(&self) -> Option<(f64, f64)> {
        let denominator = self.weight * self.sum_xx - self.sum_x * self.sum_x;
        if self.weight < MIN_FIT_WEIGHT || denominator <= 1e-9 * self.sum_xx * self.weight {
            return None;
        }
        let slope = (self.weight * self.sum_xy - self.sum_x * self.sum_y) / denominator;
        let intercept = (self.sum_y - slope * self.sum_x) / self.weight;
        Some((intercept, slope))
    }
}

/// Measured latencies and response lengths of the upstreams that serve one model.
#[derive(Clone, Debug)]
pub(crate) struct LatencyModel {
    first_token_fit: LinearFit,
    default_base_secs: f64,
    default_prefill_secs_per_token: f64,
    /// Mean seconds between two tokens of a stream.
    pub inter_token_secs: f64,
    /// Mean ratio of generated tokens to the allowed maximum.
    pub output_share: f64,
    /// Mean share of a prompt that is in the prefix index.
    pub prefix_reuse: f64,
    /// Mean seconds from choosing the upstream to the end of the response.
    pub request_secs: f64,
}

impl LatencyModel {
    pub fn new(policy: &RoutePolicy) -> Self {
        Self {
            first_token_fit: LinearFit::default(),
            default_base_secs: policy.default_first_token.as_secs_f64(),
            default_prefill_secs_per_token: policy.default_prefill_per_token.as_secs_f64(),
            inter_token_secs: policy.default_inter_token.as_secs_f64(),
            output_share: policy.default_output_share,
            prefix_reuse: 0.0,
            request_secs: 1.0,
        }
    }

    /// Returns the seconds to the first token with an empty prompt and no queue, and the
    /// seconds per uncached prompt token.
    pub fn first_token_line(&self) -> (f64, f64) {
        match self.first_token_fit.line() {
            Some((base, per_token)) => (
                base.max(1e-3),
                per_token.clamp(1e-6, MAX_PREFILL_SECS_PER_TOKEN),
            ),
            None => (self.default_base_secs, self.default_prefill_secs_per_token),
        }
    }

    /// Records the first token of a request that was expected to start without waiting.
    pub fn record_first_token(&mut self, uncached: u64, seconds: f64) {
        self.first_token_fit.add(uncached as f64, seconds);
    }

    /// Records the share of a prompt that was in the prefix index.
    pub fn record_prefix_reuse(&mut self, share: f64) {
        update_average(&mut self.prefix_reuse, share);
    }

    /// Records a complete response.
    pub fn record_completion(
        &mut self,
        generated: u64,
        max_tokens: u64,
        stream: Duration,
        total: Duration,
    ) {
        if generated > 1 {
            let between = stream.as_secs_f64() / (generated - 1) as f64;
            update_average(&mut self.inter_token_secs, between);
        }
        if max_tokens > 0 {
            update_average(
                &mut self.output_share,
                (generated as f64 / max_tokens as f64).min(1.0),
            );
        }
        update_average(&mut self.request_secs, total.as_secs_f64());
    }
}

fn update_average(current: &mut f64, sample: f64) {
    *current += AVERAGE_WEIGHT * (sample - *current);
}
