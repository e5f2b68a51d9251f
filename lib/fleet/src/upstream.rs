//! Records of upstreams.

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
use crate::record::check_range;
use crate::record::check_unique;
use crate::record::check_version;

/// The kind of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamKind {
    /// A language model engine.
    ModelEngine,
    /// A plain service.
    PlainService,
}

/// The part of a request that an engine processes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Both the prompt and the generation.
    #[default]
    Mixed,
    /// Only the prompt.
    Prefill,
    /// Only the generation.
    Decode,
}

/// Whether an upstream accepts new work.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamState {
    /// It accepts new work.
    #[default]
    Up,
    /// It accepts no new work, but finishes the work that it has.
    Leaving,
}

/// A service that an upstream of kind `plain_service` offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceOffer {
    /// Name of the service.
    pub name: ModelName,
    /// The cost of a call in tokens.
    pub tokens_per_call: TokenCount,
    /// Whether a call may be retried if its outcome is unknown.
    #[serde(default)]
    pub repeatable: bool,
}

/// The record of an upstream, stored at `fleet/config/upstream/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRecord {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its IP address and port.
    pub address: SocketAddr,
    /// Its kind.
    pub kind: UpstreamKind,
    /// The models that an engine serves.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// The services that a plain service offers.
    #[serde(default)]
    pub services: Vec<ServiceOffer>,
    /// The loaded adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// The version of its models.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The part of a request that it processes.
    #[serde(default)]
    pub role: EngineRole,
    /// The number of requests that it processes concurrently.
    pub capacity_slots: u32,
    /// Whether it rejects commands with an outdated fencing number.
    #[serde(default)]
    pub honours_fencing: bool,
    /// Whether it accepts new work.
    #[serde(default)]
    pub state: UpstreamState,
}

impl UpstreamRecord {
    /// Validates the values of the fields.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid field.
    pub fn validate(&self) -> Result<(), RecordError> {
        let names: Vec<_> = self.services.iter().map(|offer| &offer.name).collect();
        check_unique("models", &self.models)?;
        check_unique("services", &names)?;
        check_unique("adapters", &self.adapters)?;
        check_version("version", self.version.as_deref())?;
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
