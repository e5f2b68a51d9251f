//! Attempts: a request sent to one upstream.

use std::fmt;
use std::time::Instant;

use snipegate_types::TokenCount;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::index::CacheHolder;
use crate::prefix::PromptPrefix;

/// Identifies an attempt within one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub(crate) u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptOutcome {
    /// The response is complete.
    Completed {
        /// Number of generated tokens.
        generated: TokenCount,
        /// Prompt tokens that the engine served from its cache, if it reports them.
        cached: Option<TokenCount>,
    },
    /// The caller disconnected or its deadline passed. Not a failure of the upstream.
    Cancelled,
    /// The attempt was abandoned before any byte was written. Not a failure of the
    /// upstream.
    Withdrawn,
    /// The connection could not be established, so nothing was written.
    NotConnected,
    /// The upstream rejected the request before starting it because of its load.
    RefusedBusy,
    /// The upstream answered with an error of its own.
    UpstreamFault,
    /// The connection was lost after the request was written.
    ConnectionLost,
    /// No data arrived within the timeout.
    Silent,
}

impl AttemptOutcome {
    /// Returns whether this outcome proves that the upstream did not run the request.
    pub fn proves_not_run(self) -> bool {
        match self {
            AttemptOutcome::Withdrawn
            | AttemptOutcome::NotConnected
            | AttemptOutcome::RefusedBusy => true,
            AttemptOutcome::Completed { .. }
            | AttemptOutcome::Cancelled
            | AttemptOutcome::UpstreamFault
            | AttemptOutcome::ConnectionLost
            | AttemptOutcome::Silent => false,
        }
    }
}

/// The state of an attempt in progress.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Index of the upstream's pool slot, and the generation of that slot.
    pub slot: usize,
    pub generation: u32,
    /// The cache that was recorded as holding the prompt.
    pub holder: CacheHolder,
    /// Index of the upstream set whose latency model and retry budget the attempt
    /// updates.
    pub set_index: usize,
    pub prefix: PromptPrefix,
    pub chosen_at: Instant,
    pub first_byte_at: Option<Instant>,
    /// Estimated uncached prompt tokens at the time of the choice.
    pub uncached: u64,
    /// Prompt tokens that the prefix index matched at the time of the choice.
    pub matched: u64,
    pub prompt_tokens: u64,
    pub max_tokens: u64,
    /// Estimated seconds to the first token at the time of the choice.
    pub expected_first_token_secs: f64,
    /// Whether the request was expected to start without waiting for a batch slot or for
    /// earlier prompts.
    pub expects_no_wait: bool,
}
