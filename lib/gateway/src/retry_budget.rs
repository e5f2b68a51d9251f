//! Limits retries to a fleet-wide budget, of which each VM uses its share.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::config::ServiceName;

/// Fraction of the fleet's budget that is used. The rest allows for VMs counting the same
/// period in different windows.
const BUDGET_FRACTION: f64 = 0.7;

/// The retry budget of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRule {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed to the whole fleet in addition to the ratio.
    pub slack: f64,
    /// The sliding window in which requests and retries are counted.
    pub window: Duration,
}

/// Times of a service's requests and retries within the window.
#[derive(Debug, Default)]
struct ServiceCounts {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Counts the requests and retries of one VM per service.
#[derive(Debug)]
pub struct RetryBudget {
    rule: RetryRule,
    services: IndexMap<ServiceName, ServiceCounts>,
}

impl RetryBudget {
    /// Creates a budget with nothing counted.
    pub fn new(rule: RetryRule) -> Self {
        Self {
            rule,
            services: IndexMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, service: &ServiceName, now: Instant) {
        let counts = self.services.entry(service.clone()).or_default();
        drop_expired(&mut counts.requests, now, self.rule.window);
        counts.requests.push_back(now);
    }

    /// Counts a retry and returns `true` if the share of this VM among `vms` allows it.
    pub fn try_take_retry(&mut self, service: &ServiceName, vms: usize, now: Instant) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        drop_expired(&mut counts.requests, now, self.rule.window);
        drop_expired(&mut counts.retries, now, self.rule.window);
        let slack = self.rule.slack / vms.max(1) as f64;
        let allowed = BUDGET_FRACTION * (self.rule.ratio * counts.requests.len() as f64 + slack);
        if (counts.retries.len() + 1) as f64 > allowed {
            return false;
        }
        counts.retries.push_back(now);
        true
    }
}

fn drop_expired(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times
        .front()
        .is_some_and(|&time| now.saturating_duration_since(time) > window)
    {
        times.pop_front();
    }
}
