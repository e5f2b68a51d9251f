//! Synthetic loads generated from a seed.

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

/// Request pattern of a synthetic load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ExperimentName {
    /// Short prompts without common prefixes.
    NoPrefix,
    /// Prompts that start with one of twenty long prefixes. Some prefixes are more frequent.
    SharedPrefix,
    /// Ten times the base rate in the middle third of the run.
    Peak,
    /// Low, normal and high priority requests with deadlines, as in a busy week.
    Priorities,
}

/// Number of distinct prefixes in the `shared-prefix` experiment.
const SHARED_PREFIX_COUNT: u32 = 20;

/// Length of a shared prefix, in words.
const SHARED_PREFIX_WORDS: u32 = 600;

/// Factor by which `peak` raises the rate in its middle third.
const PEAK_FACTOR: f64 = 10.0;

/// Synthetic load with Poisson arrivals.
#[derive(Clone, Debug)]
pub struct SyntheticLoad {
    /// Request pattern.
    pub experiment: ExperimentName,
    /// Base arrival rate, in requests per second.
    pub rate: f64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Workspaces; each request picks one at random.
    pub workspaces: Vec<WorkspaceId>,
    /// Profile of all requests.
    pub profile: ProfileName,
    /// Model of all requests.
    pub model: ModelName,
    /// Maximum number of completion tokens.
    pub max_tokens: u32,
}

impl SyntheticLoad {
    /// Generates the records. The result is deterministic for the same values.
    ///
    /// # Panics
    ///
    /// Panics if there are no workspaces.
    pub fn generate(&self) -> Vec<TraceRecord> {
        let mut rng = Rng::with_seed(self.seed);
        let mut at = Duration::ZERO;
        let mut records = Vec::new();
        loop {
            let gap = -(1.0 - rng.f64()).ln() / self.rate_at(at);
            at += Duration::from_secs_f64(gap);
            if at >= self.duration {
                return records;
            }
            let number = records.len();
            records.push(self.generate_record(at, number, &mut rng));
        }
    }

    fn rate_at(&self, at: Duration) -> f64 {
        let third = self.duration / 3;
        let in_peak = at >= third && at < 2 * third;
        match self.experiment {
            ExperimentName::Peak if in_peak => self.rate * PEAK_FACTOR,
            _ => self.rate,
        }
    }

    fn generate_record(&self, at: Duration, number: usize, rng: &mut Rng) -> TraceRecord {
        let own = rng.u32(20..200);
        let (shared, prefix) = match self.experiment {
            ExperimentName::SharedPrefix => {
                let rank = rng
                    .u32(0..SHARED_PREFIX_COUNT)
                    .min(rng.u32(0..SHARED_PREFIX_COUNT));
                (SHARED_PREFIX_WORDS, format!("p{rank}w"))
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
