//! Upstreams.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::AdapterName;
use snipegate_types::DataCentre;
use snipegate_types::ModelName;
use snipegate_types::TokenCount;
use strum::Display;
use strum::EnumString;

use crate::record::RecordError;
use crate::record::check_name;
use crate::record::check_range;
use crate::record::check_unique;

/// What an upstream runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamKind {
    /// A language model engine.
    ModelEngine,
    /// A plain service.
    PlainService,
}

/// Which part of a request an engine does.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Prompt and generation.
    #[default]
    Mixed,
    /// The prompt.
    Prefill,
    /// The generation.
    Decode,
}

/// Whether an upstream takes new work.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamState {
    /// It takes new work.
    #[default]
    Up,
    /// It takes no new work; what it has goes on.
    Leaving,
}

/// A plain service's kind of call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceOffer {
    /// Name of the service.
    pub name: ModelName,
    /// Tokens that one call costs.
    pub tokens_per_call: TokenCount,
    /// Whether a call may be sent again when its outcome is not known.
    #[serde(default)]
    pub repeatable: bool,
}

/// An upstream, at `fleet/config/upstream/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRecord {
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// Its IP address and port.
    pub address: SocketAddr,
    /// What it runs.
    pub kind: UpstreamKind,
    /// The models of an engine.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// The calls of a plain service.
    #[serde(default)]
    pub services: Vec<ServiceOffer>,
    /// The adapters that are loaded.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// The version of its models.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Which part of a request it does.
    #[serde(default)]
    pub role: EngineRole,
    /// Requests that it works on at the same time.
    pub capacity_slots: u32,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub honours_fencing: bool,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: UpstreamState,
}

impl UpstreamRecord {
    /// Checks the values.
    ///
    /// # Errors
    ///
    /// Names the first field whose value is not accepted.
    pub fn validate(&self) -> Result<(), RecordError> {
        let names: Vec<_> = self.services.iter().map(|offer| &offer.name).collect();
        check_unique("models", &self.models)?;
        check_unique("services", &names)?;
        check_unique("adapters", &self.adapters)?;
        check_name("version", self.version.as_deref())?;
        check_range("capacity_slots", self.capacity_slots.into(), 1, 1_000_000)?;
        if self.address.port() == 0 {
            return Err(RecordError::value(
                "address",
                self.address,
                "an IP address and a port from 1",
            ));
        }
        let (field, offered) = match self.kind {
            UpstreamKind::ModelEngine => ("models", self.models.len()),
            UpstreamKind::PlainService => ("services", self.services.len()),
        };
        if offered == 0 {
            return Err(RecordError::value(field, "[]", "at least one name"));
        }
        Ok(())
    }
}
