//! What routing needs to know of a request.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::AdapterName;
use snipegate_types::ModelName;
use snipegate_types::ProfileName;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;
use snipegate_types::WorkspaceId;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::prefix::PromptPrefix;
use crate::upstream::UpstreamKind;

/// How urgent a request is; the lowest is shed first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RequestPriority {
    /// Work that can wait.
    Low,
    /// Work that a person waits for.
    #[default]
    Normal,
    /// Work that goes before all other.
    High,
}

/// Whether a request begins or goes on from an exported state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RequestPhase {
    /// The request begins.
    #[default]
    Whole,
    /// The request goes on where another engine stopped.
    Resume,
}

/// What routing needs to know of a request.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// Whose request it is.
    pub workspace: WorkspaceId,
    /// The profile that it runs under.
    pub profile: ProfileName,
    /// The kind of upstream that can serve it.
    pub kind: UpstreamKind,
    /// The model, or the name of the plain service.
    pub model: ModelName,
    /// The version asked for, if any.
    pub version: Option<String>,
    /// The adapter asked for, if any.
    pub adapter: Option<AdapterName>,
    /// Whether it begins or goes on.
    pub phase: RequestPhase,
    /// How urgent it is.
    pub priority: RequestPriority,
    /// When the whole answer has to be there, if the caller said.
    pub deadline: Option<Instant>,
    /// Whether it may be sent to an upstream again without proof that it did not run.
    pub idempotent: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Most tokens of the answer.
    pub max_tokens: TokenCount,
    /// Hashes of the prompt's blocks.
    pub prefix: PromptPrefix,
    /// Upstreams that failed this request before; taken only if there is no other.
    pub avoid: Vec<UpstreamId>,
}
