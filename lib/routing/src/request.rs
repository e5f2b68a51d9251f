//! The attributes of a request that routing depends on.

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

/// The priority of a request. The lowest priority is shed first.
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
    /// Background work.
    Low,
    /// Interactive work.
    #[default]
    Normal,
    /// Work that takes precedence over all other work.
    High,
}

/// Whether a request starts from the beginning or resumes from an exported state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RequestPhase {
    /// The request starts from the beginning.
    #[default]
    Start,
    /// The request resumes where another engine stopped.
    Resume,
}

/// The attributes of a request that routing depends on.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// The workspace that sent the request.
    pub workspace: WorkspaceId,
    /// The profile that applies to the request.
    pub profile: ProfileName,
    /// The kind of upstream that can serve the request.
    pub kind: UpstreamKind,
    /// The model, or the name of the plain service.
    pub model: ModelName,
    /// The requested version, if any.
    pub version: Option<String>,
    /// The requested adapter, if any.
    pub adapter: Option<AdapterName>,
    /// Whether the request starts or resumes.
    pub phase: RequestPhase,
    /// The priority.
    pub priority: RequestPriority,
    /// When the response has to be complete, if the caller set a deadline.
    pub deadline: Option<Instant>,
    /// Whether the request may be sent again without proof that it did not run.
    pub idempotent: bool,
    /// Number of prompt tokens.
    pub prompt_tokens: TokenCount,
    /// Maximum number of generated tokens.
    pub max_tokens: TokenCount,
    /// Hashes of the prompt's blocks.
    pub prefix: PromptPrefix,
    /// Upstreams that already failed this request. They are chosen only if there is no
    /// other.
    pub failed_upstreams: Vec<UpstreamId>,
}
