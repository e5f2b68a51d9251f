//! The figures of a run, as JSON.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::outcome::RequestEnd;
use crate::outcome::RequestOutcome;
use crate::trace::TraceRecord;
use crate::trace::TraceWork;

/// Digits that histograms keep of each time.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Longest time that histograms tell apart, in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;

/// Quantiles of the distributions that are plotted.
const PLOT_STEPS: u32 = 100;

/// A distribution of times, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TimeSummary {
    /// How many times were measured.
    pub count: u64,
    /// Half were below.
    pub p50: f64,
    /// 95 of 100 were below.
    pub p95: f64,
    /// 99 of 100 were below.
    pub p99: f64,
    /// The longest.
    pub most: f64,
    /// Quantiles from 0 to 100 in steps of one percent.
    pub percentiles: Vec<f64>,
}

/// What a run gave.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Names the run in comparisons.
    pub label: String,
    /// Seed of a made-up load.
    pub seed: u64,
    /// Requests sent.
    pub requests: u64,
    /// Seconds from the first request to the end of the last.
    pub seconds: f64,
    /// Whole answers per second.
    pub goodput: f64,
    /// Requests by how they ended.
    pub results: IndexMap<String, u64>,
    /// Requests by what became of the work, as the callers know it.
    pub run_states: IndexMap<String, u64>,
    /// Results by workspace.
    pub by_workspace: IndexMap<String, IndexMap<String, u64>>,
    /// Results of plain services' calls by service.
    pub by_service: IndexMap<String, IndexMap<String, u64>>,
    /// Time to the first part of an answer.
    pub first_token: TimeSummary,
    /// Time between parts of an answer.
    pub between_tokens: TimeSummary,
    /// Time to the end of an answer.
    pub total: TimeSummary,
    /// How late the tool sent requests; where this is large the tool is too slow.
    pub send_delay: TimeSummary,
    /// Tokens that the answers' usage says were billed.
    pub billed_tokens: u64,
    /// Share of prompt tokens that came from engines' caches.
    pub cache_hit_share: f64,
    /// Answers that held text of another request.
    pub foreign_answers: u64,
}

/// Gathers times in microseconds.
struct TimeGatherer(Histogram<u64>);

impl TimeGatherer {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds and digits are accepted"))
    }

    fn add(&mut self, span: Duration) {
        self.0.saturating_record(span.as_micros() as u64);
    }

    fn summary(&self) -> TimeSummary {
        let at = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1e3;
        let step = |step: u32| at(f64::from(step) / f64::from(PLOT_STEPS));
        TimeSummary {
            count: self.0.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            most: self.0.max() as f64 / 1e3,
            percentiles: (0..=PLOT_STEPS).map(step).collect(),
        }
    }
}

impl RunReport {
    /// Sums up the outcomes of `records`.
    pub fn new(
        label: &str,
        seed: u64,
        records: &[TraceRecord],
        outcomes: &[RequestOutcome],
        span: Duration,
    ) -> Self {
        let mut report = Self {
            label: label.to_owned(),
            seed,
            requests: outcomes.len() as u64,
            seconds: span.as_secs_f64(),
            ..Self::default()
        };
        for outcome in outcomes {
            report.count(&records[outcome.record], outcome);
        }
        report.add_times(outcomes);
        let answered = report.results.get("answered").copied().unwrap_or(0);
        report.goodput = answered as f64 / report.seconds.max(1e-9);
        report.results.sort_keys();
        report.run_states.sort_keys();
        report.by_workspace.sort_keys();
        report
    }

    fn count(&mut self, record: &TraceRecord, outcome: &RequestOutcome) {
        let name = outcome.end.name();
        *self.results.entry(name.clone()).or_default() += 1;
        let state = outcome.end.run_state().to_owned();
        *self.run_states.entry(state).or_default() += 1;
        let workspace = record.workspace.to_string();
        let results = self.by_workspace.entry(workspace).or_default();
        *results.entry(name.clone()).or_default() += 1;
        if let TraceWork::Service(service) = &record.work {
            let results = self.by_service.entry(service.to_string()).or_default();
            *results.entry(name).or_default() += 1;
        }
        self.billed_tokens += outcome.billed_tokens;
        self.foreign_answers += u64::from(outcome.foreign_text);
    }

    fn add_times(&mut self, outcomes: &[RequestOutcome]) {
        let mut first = TimeGatherer::new();
        let mut between = TimeGatherer::new();
        let mut total = TimeGatherer::new();
        let mut delay = TimeGatherer::new();
        let (mut prompt, mut cached) = (0, 0);
        for outcome in outcomes {
            delay.add(outcome.send_delay);
            if outcome.end != RequestEnd::Answered {
                continue;
            }
            outcome.first_token.into_iter().for_each(|t| first.add(t));
            outcome.between_tokens.iter().for_each(|&t| between.add(t));
            total.add(outcome.total);
            prompt += outcome.prompt_tokens;
            cached += outcome.cached_tokens;
        }
        self.first_token = first.summary();
        self.between_tokens = between.summary();
        self.total = total.summary();
        self.send_delay = delay.summary();
        self.cache_hit_share = cached as f64 / prompt.max(1) as f64;
    }
}
