//! Configuration and load reports of upstreams.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::AdapterName;
use snipegate_types::DataCentre;
use snipegate_types::ModelName;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// The kind of service that an upstream runs.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    #[default]
    ModelRunner,
    /// A plain service.
    ServiceRunner,
}

/// The phases of requests that a model engine serves.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Serves whole and resumed requests.
    #[default]
    Mixed,
    /// Only processes prompts. Neither whole nor resumed requests are routed to it.
    Prefill,
    /// Serves requests that resume from an exported cache.
    Decode,
}

/// Whether an upstream accepts new requests.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamState {
    /// The upstream accepts new requests.
    #[default]
    Up,
    /// The upstream finishes its current requests and accepts no new ones.
    Leaving,
}

/// A model or plain service that an upstream serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedModel {
    /// The model, or the name of the plain service.
    pub model: ModelName,
    /// The loaded version. `None` only matches requests that name no version.
    #[serde(default)]
    pub version: Option<String>,
    /// The adapters that are loaded for the model.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// The configuration of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// The ID of the upstream.
    pub id: UpstreamId,
    /// The data centre that the upstream runs in.
    pub data_centre: DataCentre,
    /// The kind of service that the upstream runs.
    pub kind: UpstreamKind,
    /// The models or services that the upstream serves.
    pub models: Vec<ServedModel>,
    /// The phases of requests that the upstream serves.
    #[serde(default)]
    pub role: EngineRole,
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    #[serde(default)]
    pub state: UpstreamState,
}

/// A load report of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting for a batch slot.
    pub queued: u32,
    /// Prompt tokens not yet processed, if the engine reports them.
    #[serde(default)]
    pub prefill_backlog: TokenCount,
    /// Age of the report when it was received.
    #[serde(default)]
    pub age: Duration,
}
