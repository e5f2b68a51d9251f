//! Settings of routing.

use std::time::Duration;

use indexmap::IndexMap;
use snipegate_types::DataCentre;

use crate::request::RequestPriority;

/// Settings of routing; the defaults suit model engines of today.
#[derive(Clone, Debug)]
pub struct RoutePolicy {
    /// The router's own data centre.
    pub own_data_centre: Option<DataCentre>,
    /// One-way delay to other data centres.
    pub distances: IndexMap<DataCentre, Duration>,
    /// One-way delay to a data centre that `distances` does not name.
    pub default_distance: Duration,
    /// Upstreams drawn at random for a request whose prefix some upstream holds.
    pub samples: usize,
    /// Upstreams drawn for a request that no cache speaks for.
    pub samples_unmatched: usize,
    /// Scores that lie this share above the best count as equal to it.
    pub score_tolerance: f64,
    /// Slowness up to which an upstream counts as being of normal speed.
    pub normal_slowness: f64,
    /// Age at which a load report has half its weight.
    pub load_half_life: Duration,
    /// Requests that may wait for each place in an engine's batch.
    pub queue_per_slot: f64,
    /// Part of an upstream's room that each priority may fill.
    pub room_low: f64,
    /// See `room_low`.
    pub room_normal: f64,
    /// Seconds to process one prompt token, until it has been measured.
    pub default_prefill: Duration,
    /// Time between two tokens, until it has been measured.
    pub default_between: Duration,
    /// Time to the first token without prompt or queue, until it has been measured.
    pub default_first: Duration,
    /// Share of `max_tokens` that answers use, until it has been measured.
    pub default_answer_share: f64,
    /// Least time that an upstream has to its first byte.
    pub first_byte_timeout: Duration,
    /// Time that a stream may stand still after its first byte.
    pub progress_timeout: Duration,
    /// Failures in a row after which an upstream is ejected.
    pub eject_failures: u32,
    /// Ejection time; it doubles each time in a row.
    pub eject_base: Duration,
    /// Longest ejection.
    pub eject_most: Duration,
    /// Largest part of a set that may be ejected at once.
    pub eject_share: f64,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Retries that a success earns.
    pub retry_share: f64,
    /// Retries per second that are earned without successes.
    pub retry_floor: f64,
    /// Most retries that can be saved up.
    pub retry_burst: f64,
    /// Whether prefix-cache hits count in the choice.
    pub use_prefixes: bool,
    /// Load against the set's mean up to which a prefix draws requests to its placement.
    pub affinity_bound: f64,
    /// Part of the expected reuse that counts for the placement of an unknown prefix.
    pub affinity_belief: f64,
    /// Most blocks that the prefix index holds.
    pub prefix_blocks: usize,
}

impl RoutePolicy {
    /// Returns the one-way delay to a data centre.
    pub fn distance(&self, data_centre: &DataCentre) -> Duration {
        if self.own_data_centre.as_ref() == Some(data_centre) {
            return Duration::ZERO;
        }
        self.distances
            .get(data_centre)
            .copied()
            .unwrap_or(self.default_distance)
    }

    /// Returns the part of an upstream's room that a priority may fill.
    pub fn room_for(&self, priority: RequestPriority) -> f64 {
        match priority {
            RequestPriority::Low => self.room_low,
            RequestPriority::Normal => self.room_normal,
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
            normal_slowness: 1.5,
            load_half_life: Duration::from_millis(2000),
            queue_per_slot: 0.5,
            room_low: 0.7,
            room_normal: 0.9,
            default_prefill: Duration::from_micros(100),
            default_between: Duration::from_millis(25),
            default_first: Duration::from_millis(50),
            default_answer_share: 0.5,
            first_byte_timeout: Duration::from_secs(5),
            progress_timeout: Duration::from_secs(5),
            eject_failures: 3,
            eject_base: Duration::from_secs(1),
            eject_most: Duration::from_secs(30),
            eject_share: 0.5,
            max_attempts: 3,
            retry_share: 0.1,
            retry_floor: 1.0,
            retry_burst: 10.0,
            use_prefixes: true,
            affinity_bound: 1.25,
            affinity_belief: 0.5,
            prefix_blocks: 100_000,
        }
    }
}
