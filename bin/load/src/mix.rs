//! Loads that are made up from a seed.

use std::time::Duration;

use fastrand::Rng;
use snipegate_routing::RequestPriority;
use snipegate_types::ModelName;
use snipegate_types::ProfileName;
use snipegate_types::WorkspaceId;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::trace::TracePrompt;
use crate::trace::TraceRecord;
use crate::trace::TraceWork;

/// A named experiment: what the requests are like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ExperimentName {
    /// Short questions that have nothing in common.
    NoPrefix,
    /// Prompts with one of twenty long beginnings, some more frequent.
    SharedPrefix,
    /// Ten times the rate in the middle third.
    Peak,
    /// Priorities and deadlines as in a busy week.
    Priorities,
}

/// Shared beginnings of the `shared-prefix` experiment.
const PREFIXES: u32 = 20;

/// Words of a shared beginning.
const PREFIX_WORDS: u32 = 600;

/// How much higher the rate of `peak` is in its middle third.
const PEAK_FACTOR: f64 = 10.0;

/// A load of Poisson arrivals.
#[derive(Clone, Debug)]
pub struct LoadMix {
    /// What the requests are like.
    pub experiment: ExperimentName,
    /// Requests per second.
    pub rate: f64,
    /// How long requests arrive.
    pub span: Duration,
    /// Seed of everything random.
    pub seed: u64,
    /// Whose requests they are, in turn at random.
    pub workspaces: Vec<WorkspaceId>,
    /// The profile that all run under.
    pub profile: ProfileName,
    /// The model that all ask for.
    pub model: ModelName,
    /// Most tokens of an answer.
    pub max_tokens: u32,
}

impl LoadMix {
    /// Makes the requests; the same mix gives the same ones.
    ///
    /// # Panics
    ///
    /// Panics without a workspace.
    pub fn records(&self) -> Vec<TraceRecord> {
        let mut rng = Rng::with_seed(self.seed);
        let mut at = Duration::ZERO;
        let mut records = Vec::new();
        loop {
            let gap = -(1.0 - rng.f64()).ln() / self.rate_at(at);
            at += Duration::from_secs_f64(gap);
            if at >= self.span {
                return records;
            }
            let number = records.len();
            records.push(self.record(at, number, &mut rng));
        }
    }

    fn rate_at(&self, at: Duration) -> f64 {
        let third = self.span / 3;
        let in_peak = at >= third && at < 2 * third;
        match self.experiment {
            ExperimentName::Peak if in_peak => self.rate * PEAK_FACTOR,
            _ => self.rate,
        }
    }

    fn record(&self, at: Duration, number: usize, rng: &mut Rng) -> TraceRecord {
        let own = rng.u32(20..200);
        let (shared, prefix) = match self.experiment {
            ExperimentName::SharedPrefix => {
                let rank = rng.u32(0..PREFIXES).min(rng.u32(0..PREFIXES));
                (PREFIX_WORDS, format!("p{rank}w"))
            }
            _ => (0, String::new()),
        };
        let (priority, deadline_ms) = match (self.experiment, rng.u32(..10)) {
            (ExperimentName::Priorities, 0..3) => (RequestPriority::Low, Some(20_000)),
            (ExperimentName::Priorities, 3..5) => (RequestPriority::High, Some(3_000)),
            (ExperimentName::Priorities, _) => (RequestPriority::Normal, Some(10_000)),
            _ => (RequestPriority::Normal, None),
        };
        let workspace = rng.usize(..self.workspaces.len());
        TraceRecord {
            at_ms: at.as_millis() as u64,
            workspace: self.workspaces[workspace].clone(),
            profile: self.profile.clone(),
            work: TraceWork::Model(self.model.clone()),
            prompt: TracePrompt::Words {
                own,
                shared,
                prefix,
            },
            max_tokens: self.max_tokens,
            priority,
            deadline_ms,
            idempotency_key: Some(format!("mix-{}-{number}", self.seed)),
            repeatable: true,
        }
    }
}
