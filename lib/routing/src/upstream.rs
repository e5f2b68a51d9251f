//! What is configured of an upstream, and what it reports of its load.

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

/// What an upstream runs.
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

/// The part of a request that a model engine takes.
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
    /// Whole requests.
    #[default]
    Mixed,
    /// Prompts only; it takes no whole request and no resumed one.
    Prefill,
    /// Requests resumed from an exported cache.
    Decode,
}

/// Whether an upstream takes new work.
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
    /// It takes new work.
    #[default]
    Up,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// A model or plain service that an upstream serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedModel {
    /// The model, or the name of the plain service.
    pub model: ModelName,
    /// The loaded version; `None` matches requests that name no version.
    #[serde(default)]
    pub version: Option<String>,
    /// The adapters loaded beside it.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// What is configured of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// Its id.
    pub id: UpstreamId,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// What it runs.
    pub kind: UpstreamKind,
    /// What it serves.
    pub models: Vec<ServedModel>,
    /// The part of a request that it takes.
    #[serde(default)]
    pub role: EngineRole,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: UpstreamState,
}

/// An engine's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub queued: u32,
    /// Prompt tokens not yet processed, where the engine tells.
    #[serde(default)]
    pub prefill_backlog: TokenCount,
    /// Age of the report when it was received.
    #[serde(default)]
    pub age: Duration,
}
