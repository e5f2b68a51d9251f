//! Request and response metadata, decoded from header fields.

use std::time::Duration;

use snipegate_types::PartId;
use snipegate_types::RequestRate;
use snipegate_types::TokenCount;

/// A segment of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u64,
}

/// The size of a generation and the ordered parts of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Length of the prompt.
    pub input: TokenCount,
    /// Maximum number of generated tokens.
    pub max_output: TokenCount,
    /// The parts of the prompt, the most widely shared first.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the maximum cost of the request.
    pub fn max_cost(&self) -> TokenCount {
        self.input.saturating_add(self.max_output)
    }

    /// Returns all parts but the last, which belongs to this request or its session alone.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Metadata of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the caller's attempt; empty if none was given.
    pub attempt_id: Box<str>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// The caller's API key.
    pub key: Option<Box<str>>,
    /// The prompt; `None` if the request is not a generation.
    pub prompt: Option<PromptShape>,
    /// Id of the last event that the caller received in an earlier attempt.
    pub last_event: Option<Box<str>>,
}

/// The rate limit, over all VMs together, that an upstream advertises in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimitNotice {
    /// No reliable statement.
    #[default]
    Unknown,
    /// There is no limit.
    Unlimited,
    /// The upstream accepts this rate, for as long as its responses state a limit.
    Limited(RequestRate),
}

/// Metadata of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The attempt id echoed by the upstream.
    pub attempt_id: Option<Box<str>>,
    /// Whether the upstream states that the request has not run and never will.
    pub not_run: bool,
    /// Whether the upstream signed the response.
    pub signed: bool,
    /// Whether the upstream is draining.
    pub leaving: bool,
    /// How long this VM must not send requests to the upstream, if stated.
    pub back_off: Option<Duration>,
    /// The advertised rate limit.
    pub rate: RateLimitNotice,
    /// How much longer the upstream is cold, if stated.
    pub cold_left: Option<Duration>,
}
