//! What a run gave.

use std::time::Duration;

use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use snipegate_routing::RequestPriority;

/// What a run gave, or several runs with other seeds together.
#[derive(Clone, Debug)]
pub struct RunReport {
    pub span: Duration,
    pub offered: usize,
    pub first: Vec<f64>,
    pub between: Vec<f64>,
    pub sent: Vec<u64>,
    pub cached: u64,
    pub prompt: u64,
    pub late: u64,
    pub retries: u64,
    done: IndexMap<RequestPriority, u64>,
    refusals: IndexMap<String, u64>,
    refused_by_priority: IndexMap<RequestPriority, u64>,
}

impl RunReport {
    pub fn new(engines: usize) -> Self {
        Self {
            span: Duration::ZERO,
            offered: 0,
            first: Vec::new(),
            between: Vec::new(),
            sent: vec![0; engines],
            cached: 0,
            prompt: 0,
            late: 0,
            retries: 0,
            done: IndexMap::new(),
            refusals: IndexMap::new(),
            refused_by_priority: IndexMap::new(),
        }
    }

    pub fn completed(&mut self, priority: RequestPriority) {
        *self.done.entry(priority).or_default() += 1;
    }

    pub fn refused(&mut self, reason: String, priority: RequestPriority) {
        *self.refusals.entry(reason).or_default() += 1;
        *self.refused_by_priority.entry(priority).or_default() += 1;
    }

    pub fn add(&mut self, other: RunReport) {
        self.span += other.span;
        self.offered += other.offered;
        self.first.extend(other.first);
        self.between.extend(other.between);
        self.cached += other.cached;
        self.prompt += other.prompt;
        self.late += other.late;
        self.retries += other.retries;
        self.sent
            .iter_mut()
            .zip(other.sent)
            .for_each(|(a, b)| *a += b);
        for (priority, count) in other.done {
            *self.done.entry(priority).or_default() += count;
        }
        for (reason, count) in other.refusals {
            *self.refusals.entry(reason).or_default() += count;
        }
        for (priority, count) in other.refused_by_priority {
            *self.refused_by_priority.entry(priority).or_default() += count;
        }
    }

    /// Returns whole answers in time, per second.
    pub fn goodput(&self) -> f64 {
        self.done.values().sum::<u64>() as f64 / self.span.as_secs_f64()
    }

    /// Returns the share of requests that were answered in time.
    pub fn served_share(&self) -> f64 {
        self.done.values().sum::<u64>() as f64 / self.offered.max(1) as f64
    }

    pub fn first_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.first, quantile)
    }

    pub fn hit_share(&self) -> f64 {
        self.cached as f64 / self.prompt.max(1) as f64
    }

    pub fn to_json(&self) -> Value {
        let mean = self.sent.iter().sum::<u64>() as f64 / self.sent.len() as f64;
        let most = self.sent.iter().copied().max().unwrap_or(0) as f64;
        let quantiles = |samples: &[f64]| {
            json!({
                "p50": quantile_ms(samples, 0.5),
                "p95": quantile_ms(samples, 0.95),
                "p99": quantile_ms(samples, 0.99),
            })
        };
        let by_priority = |counts: &IndexMap<RequestPriority, u64>| {
            counts
                .iter()
                .map(|(priority, count)| (priority.to_string(), json!(count)))
                .collect::<serde_json::Map<_, _>>()
        };
        json!({
            "offered": self.offered,
            "goodput_per_s": round(self.goodput()),
            "served_share": round(self.served_share()),
            "first_token_ms": quantiles(&self.first),
            "between_tokens_ms": quantiles(&self.between),
            "cache_hit_share": round(self.hit_share()),
            "balance_most_to_mean": round(most / mean),
            "past_deadline": self.late,
            "retries": self.retries,
            "refusals": self.refusals,
            "completed_by_priority": by_priority(&self.done),
            "refused_by_priority": by_priority(&self.refused_by_priority),
        })
    }
}

fn quantile_ms(samples: &[f64], quantile: f64) -> f64 {
    if samples.is_empty() {
        return 0.0;
    }
    let mut sorted = samples.to_vec();
    let rank = ((sorted.len() - 1) as f64 * quantile).round() as usize;
    let (_, value, _) = sorted.select_nth_unstable_by(rank, f64::total_cmp);
    round(*value * 1e3)
}

/// Rounds to three places, as far as figures are shown.
pub fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
