//! Routing settings.

use std::time::Duration;

use indexmap::IndexMap;
use snipegate_types::DataCentre;

use crate::request::RequestPriority;

/// Routing settings. The defaults are meant for current model engines.
#[derive(Clone, Debug)]
pub struct RoutePolicy {
    /// The data centre of this router.
    pub own_data_centre: Option<DataCentre>,
    /// One-way network delay to other data centres.
    pub distances: IndexMap<DataCentre, Duration>,
    /// One-way network delay to data centres that are not in `distances`.
    pub default_distance: Duration,
    /// Number of randomly sampled upstreams if an upstream is expected to have the prefix
    /// cached.
    pub samples: usize,
    /// Number of randomly sampled upstreams if no upstream is expected to have the prefix
    /// cached.
    pub samples_unmatched: usize,
    /// Relative difference up to which a score counts as equal to the best one.
    pub score_tolerance: f64,
    /// Slowness up to which an upstream is treated as having normal speed.
    pub slowness_threshold: f64,
    /// Age at which the weight of a load report drops to a half.
    pub load_half_life: Duration,
    /// Queued requests allowed per batch slot of an engine.
    pub queue_per_slot: f64,
    /// Share of an upstream's capacity that low-priority requests may use.
    pub low_priority_share: f64,
    /// Share of an upstream's capacity that normal-priority requests may use.
    pub normal_priority_share: f64,
    /// Processing time per prompt token until it has been measured.
    pub default_prefill_per_token: Duration,
    /// Time between two tokens until it has been measured.
    pub default_inter_token: Duration,
    /// Time to the first token with an empty prompt and no queue, until it has been
    /// measured.
    pub default_first_token: Duration,
    /// Ratio of generated tokens to `max_tokens` until it has been measured.
    pub default_output_share: f64,
    /// Minimum timeout for the first byte.
    pub first_byte_timeout: Duration,
    /// Maximum time between two pieces of data after the first byte.
    pub progress_timeout: Duration,
    /// Number of consecutive failures after which an upstream is ejected.
    pub eject_after_failures: u32,
    /// Duration of the first ejection. It doubles with each consecutive ejection.
    pub base_ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection_time: Duration,
    /// Maximum share of an upstream set that may be ejected at the same time.
    pub max_ejected_share: f64,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Retries added to the retry budget by each successful request.
    pub retry_ratio: f64,
    /// Retries per second added to the retry budget regardless of successes.
    pub min_retries_per_second: f64,
    /// Maximum number of retries in the retry budget.
    pub retry_burst: f64,
    /// Whether expected prefix-cache hits affect the choice.
    pub use_prefixes: bool,
    /// Load, relative to the mean of the set, up to which an upstream is preferred for
    /// the prefixes placed on it.
    pub affinity_load_factor: f64,
    /// Weight of the expected prefix reuse in the preference for the upstream on which a
    /// prefix is placed.
    pub affinity_weight: f64,
    /// Maximum number of blocks in the prefix index.
    pub prefix_blocks: usize,
}

impl RoutePolicy {
    /// Returns the one-way network delay to a data centre.
    pub fn distance(&self, data_centre: &DataCentre) -> Duration {
        if self.own_data_centre.as_ref() == Some(data_centre) {
            return Duration::ZERO;
        }
        self.distances
            .get(data_centre)
            .copied()
            .unwrap_or(self.default_distance)
    }

    /// Returns the share of an upstream's capacity that a priority may use.
    pub fn capacity_share(&self, priority: RequestPriority) -> f64 {
        match priority {
            RequestPriority::Low => self.low_priority_share,
            RequestPriority::Normal => self.normal_priority_share,
            RequestPriority::High => 1.0,
        }
    }
}

impl Default for RoutePolicy {
    fn default() -> Self {
        Self {
            own_data_centre: None,
            distances: IndexMap::new(),
            default_distance: Duration::from_micros(1_500),
            samples: 3,
            samples_unmatched: 16,
            score_tolerance: 0.05,
            slowness_threshold: 1.5,
            load_half_life: Duration::from_millis(2000),
            queue_per_slot: 0.5,
            low_priority_share: 0.7,
            normal_priority_share: 0.9,
            default_prefill_per_token: Duration::from_micros(100),
            default_inter_token: Duration::from_millis(25),
            default_first_token: Duration::from_millis(50),
            default_output_share: 0.5,
            first_byte_timeout: Duration::from_secs(5),
            progress_timeout: Duration::from_secs(5),
            eject_after_failures: 3,
            base_ejection_time: Duration::from_secs(1),
            max_ejection_time: Duration::from_secs(30),
            max_ejected_share: 0.5,
            max_attempts: 3,
            retry_ratio: 0.1,
            min_retries_per_second: 1.0,
            retry_burst: 10.0,
            use_prefixes: true,
            affinity_load_factor: 1.25,
            affinity_weight: 0.5,
            prefix_blocks: 100_000,
        }
    }
}
