//! Measurements of a run, serialized as JSON.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::outcome::RequestOutcome;
use crate::outcome::RequestResult;
use crate::trace::TraceRecord;
use crate::trace::TraceWork;

/// Significant digits of histogram values.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Largest histogram value, in microseconds. Longer times are recorded as this value.
const MAX_MICROS: u64 = 3_600_000_000;

/// Number of steps between the plotted percentiles.
const PERCENTILE_STEPS: u32 = 100;

/// Summary of a distribution of times, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub most: f64,
    /// Percentiles from 0 to 100 in steps of 1.
    pub percentiles: Vec<f64>,
}

/// Results and measurements of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Label of the run in plots and comparisons.
    pub label: String,
    /// Seed of a synthetic load.
    pub seed: u64,
    /// Number of requests.
    pub requests: u64,
    /// Seconds from the start of the run to the end of its last request.
    pub seconds: f64,
    /// Complete responses per second.
    pub goodput: f64,
    /// Number of requests by result.
    pub results: IndexMap<String, u64>,
    /// Number of requests by run state, as far as the callers know: `ran`, `not_run` or
    /// `unknown`.
    pub run_states: IndexMap<String, u64>,
    /// Number of requests by workspace and result.
    pub by_workspace: IndexMap<String, IndexMap<String, u64>>,
    /// Number of plain-service calls by service and result.
    pub by_service: IndexMap<String, IndexMap<String, u64>>,
    /// Time to the first part of a response.
    pub first_token: LatencySummary,
    /// Time between parts of a response.
    pub between_tokens: LatencySummary,
    /// Time to the end of a response.
    pub total: LatencySummary,
    /// Delay of sends behind their scheduled times. If it is large, the load generator is
    /// too slow for the load.
    pub send_delay: LatencySummary,
    /// Billed tokens, from the usage in the responses.
    pub billed_tokens: u64,
    /// Fraction of prompt tokens that were found in engine caches.
    pub cache_hit_share: f64,
    /// Number of responses that contained text of another request.
    pub foreign_answers: u64,
}

/// Histogram of times, in microseconds.
struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds and digits are accepted"))
    }

    fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    fn summary(&self) -> LatencySummary {
        let value_at = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1e3;
        let percentile = |step: u32| value_at(f64::from(step) / f64::from(PERCENTILE_STEPS));
        LatencySummary {
            count: self.0.len(),
            p50: value_at(0.5),
            p95: value_at(0.95),
            p99: value_at(0.99),
            most: self.0.max() as f64 / 1e3,
            percentiles: (0..=PERCENTILE_STEPS).map(percentile).collect(),
        }
    }
}

impl RunReport {
    /// Summarizes the outcomes of `records`.
    pub fn new(
        label: &str,
        seed: u64,
        records: &[TraceRecord],
        outcomes: &[RequestOutcome],
        elapsed: Duration,
    ) -> Self {
        let mut report = Self {
            label: label.to_owned(),
            seed,
            requests: outcomes.len() as u64,
            seconds: elapsed.as_secs_f64(),
            ..Self::default()
        };
        for outcome in outcomes {
            report.count_outcome(&records[outcome.record_index], outcome);
        }
        report.summarize_latencies(outcomes);
        let completed = report.results.get("answered").copied().unwrap_or(0);
        report.goodput = completed as f64 / report.seconds.max(1e-9);
        report.results.sort_keys();
        report.run_states.sort_keys();
        report.by_workspace.sort_keys();
        report
    }

    fn count_outcome(&mut self, record: &TraceRecord, outcome: &RequestOutcome) {
        let name = outcome.result.name();
        *self.results.entry(name.clone()).or_default() += 1;
        let state = outcome.result.run_state().to_owned();
        *self.run_states.entry(state).or_default() += 1;
        let workspace = record.workspace.to_string();
        let results = self.by_workspace.entry(workspace).or_default();
        *results.entry(name.clone()).or_default() += 1;
        if let TraceWork::Service(service) = &record.work {
            let results = self.by_service.entry(service.to_string()).or_default();
            *results.entry(name).or_default() += 1;
        }
        self.billed_tokens += outcome.billed_tokens;
        self.foreign_answers += u64::from(outcome.has_foreign_text);
    }

    fn summarize_latencies(&mut self, outcomes: &[RequestOutcome]) {
        let mut first_token = LatencyHistogram::new();
        let mut between_tokens = LatencyHistogram::new();
        let mut total = LatencyHistogram::new();
        let mut send_delay = LatencyHistogram::new();
        let (mut prompt_tokens, mut cached_tokens) = (0, 0);
        for outcome in outcomes {
            send_delay.record(outcome.send_delay);
            if outcome.result != RequestResult::Completed {
                continue;
            }
            outcome
                .first_token
                .into_iter()
                .for_each(|t| first_token.record(t));
            outcome
                .between_tokens
                .iter()
                .for_each(|&t| between_tokens.record(t));
            total.record(outcome.total);
            prompt_tokens += outcome.prompt_tokens;
            cached_tokens += outcome.cached_tokens;
        }
        self.first_token = first_token.summary();
        self.between_tokens = between_tokens.summary();
        self.total = total.summary();
        self.send_delay = send_delay.summary();
        self.cache_hit_share = cached_tokens as f64 / prompt_tokens.max(1) as f64;
    }
}
