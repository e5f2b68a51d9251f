//! Results of simulation runs.

use std::time::Duration;

use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use snipegate_routing::RequestPriority;

/// Results of one run, or the merged results of runs with different seeds.
#[derive(Clone, Debug)]
pub struct RunReport {
    pub span: Duration,
    pub offered: usize,
    pub first_token_secs: Vec<f64>,
    pub inter_token_secs: Vec<f64>,
    pub sent_by_engine: Vec<u64>,
    pub cached_tokens: u64,
    pub prompt_tokens: u64,
    pub past_deadline: u64,
    pub retries: u64,
    completed_by_priority: IndexMap<RequestPriority, u64>,
    refusals: IndexMap<String, u64>,
    refused_by_priority: IndexMap<RequestPriority, u64>,
}

impl RunReport {
    pub fn new(engines: usize) -> Self {
        Self {
            span: Duration::ZERO,
            offered: 0,
            first_token_secs: Vec::new(),
            inter_token_secs: Vec::new(),
            sent_by_engine: vec![0; engines],
            cached_tokens: 0,
            prompt_tokens: 0,
            past_deadline: 0,
            retries: 0,
            completed_by_priority: IndexMap::new(),
            refusals: IndexMap::new(),
            refused_by_priority: IndexMap::new(),
        }
    }

    pub fn completed(&mut self, priority: RequestPriority) {
        *self.completed_by_priority.entry(priority).or_default() += 1;
    }

    pub fn refused(&mut self, reason: String, priority: RequestPriority) {
        *self.refusals.entry(reason).or_default() += 1;
        *self.refused_by_priority.entry(priority).or_default() += 1;
    }

    pub fn merge(&mut self, other: RunReport) {
        self.span += other.span;
        self.offered += other.offered;
        self.first_token_secs.extend(other.first_token_secs);
        self.inter_token_secs.extend(other.inter_token_secs);
        self.cached_tokens += other.cached_tokens;
        self.prompt_tokens += other.prompt_tokens;
        self.past_deadline += other.past_deadline;
        self.retries += other.retries;
        self.sent_by_engine
            .iter_mut()
            .zip(other.sent_by_engine)
            .for_each(|(a, b)| *a += b);
        for (priority, count) in other.completed_by_priority {
            *self.completed_by_priority.entry(priority).or_default() += count;
        }
        for (reason, count) in other.refusals {
            *self.refusals.entry(reason).or_default() += count;
        }
        for (priority, count) in other.refused_by_priority {
            *self.refused_by_priority.entry(priority).or_default() += count;
        }
    }

    /// Returns the number of requests completed in time per second.
    pub fn goodput(&self) -> f64 {
        self.completed_by_priority.values().sum::<u64>() as f64 / self.span.as_secs_f64()
    }

    /// Returns the share of requests that were completed in time.
    pub fn served_share(&self) -> f64 {
        self.completed_by_priority.values().sum::<u64>() as f64 / self.offered.max(1) as f64
    }

    pub fn first_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.first_token_secs, quantile)
    }

    pub fn hit_share(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    pub fn to_json(&self) -> Value {
        let mean =
            self.sent_by_engine.iter().sum::<u64>() as f64 / self.sent_by_engine.len() as f64;
        let max = self.sent_by_engine.iter().copied().max().unwrap_or(0) as f64;
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
            "first_token_ms": quantiles(&self.first_token_secs),
            "between_tokens_ms": quantiles(&self.inter_token_secs),
            "cache_hit_share": round(self.hit_share()),
            "balance_most_to_mean": round(max / mean),
            "past_deadline": self.past_deadline,
            "retries": self.retries,
            "refusals": self.refusals,
            "completed_by_priority": by_priority(&self.completed_by_priority),
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

/// Rounds to three decimal places for output.
pub fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
