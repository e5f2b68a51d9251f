//! One sending of a request to one upstream.

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

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptOutcome {
    /// The answer is complete.
    Completed {
        /// Tokens generated.
        generated: TokenCount,
        /// Prompt tokens that the engine took from its cache, where it tells.
        cached: Option<TokenCount>,
    },
    /// The caller went away or its deadline passed; no fault of the upstream.
    Cancelled,
    /// The attempt was given up before a byte was written; no fault of the upstream.
    Withdrawn,
    /// No connection came about, so nothing was written.
    NotConnected,
    /// The upstream refused the request before it began, for its load.
    RefusedBusy,
    /// The upstream answered with a fault of its own.
    UpstreamFault,
    /// The connection broke after the request was written.
    ConnectionLost,
    /// Nothing came for longer than the progress timeout.
    Silent,
}

impl AttemptOutcome {
    /// Tells whether this end proves that the upstream did not run the request.
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

/// What is kept of an attempt until it ends.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// The upstream's slot and the generation of that slot.
    pub slot: usize,
    pub generation: u32,
    /// The cache that took in the prompt.
    pub holder: CacheHolder,
    /// The set whose retry budget the attempt feeds.
    pub set: usize,
    pub prefix: PromptPrefix,
    pub chosen_at: Instant,
    pub first_byte_at: Option<Instant>,
    /// Uncached prompt tokens expected when it was chosen.
    pub uncached: u64,
    /// Prompt tokens that the index matched when it was chosen.
    pub matched: u64,
    pub prompt_tokens: u64,
    pub max_tokens: u64,
    /// Seconds to the first token expected when it was chosen.
    pub expected_first: f64,
    /// Whether a place in the batch was free when it was chosen.
    pub found_room: bool,
}
