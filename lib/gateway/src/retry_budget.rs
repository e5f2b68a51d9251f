//! Limits how many requests are sent more than once, for the whole fleet, by
//! giving each VM its share.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::config::ServiceName;

/// Part of the fleet's allowance that is used; the rest covers requests that
/// two VMs count in different windows.
const USED_PART: f64 = 0.7;

/// How many sends beyond the first are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRule {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats of the whole fleet beyond the ratio.
    pub slack: f64,
    /// The window in which both are counted.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// Counts the requests and repeats of one VM.
#[derive(Debug)]
pub struct RetryBudget {
    rule: RetryRule,
    services: IndexMap<ServiceName, ServiceCounts>,
}

impl RetryBudget {
    /// Makes a budget without counts.
    pub fn new(rule: RetryRule) -> Self {
        Self {
            rule,
            services: IndexMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, service: &ServiceName, now: Instant) {
        let counts = self.services.entry(service.clone()).or_default();
        forget_before(&mut counts.requests, now, self.rule.window);
        counts.requests.push_back(now);
    }

    /// Takes one repeat if the share of this VM among `vms` allows it.
    pub fn take_repeat(&mut self, service: &ServiceName, vms: usize, now: Instant) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        forget_before(&mut counts.requests, now, self.rule.window);
        forget_before(&mut counts.repeats, now, self.rule.window);
        let slack = self.rule.slack / vms.max(1) as f64;
        let allowed = USED_PART * (self.rule.ratio * counts.requests.len() as f64 + slack);
        if (counts.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }
}

fn forget_before(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times
        .front()
        .is_some_and(|&time| now.saturating_duration_since(time) > window)
    {
        times.pop_front();
    }
}
