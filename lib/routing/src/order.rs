//! Orders to engines, and the record of the one in progress.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::AdapterName;
use snipegate_types::IncarnationId;
use snipegate_types::ModelName;

use crate::upstream::EngineRole;

/// Rises with every order recorded for one upstream.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

impl FencingNumber {
    /// Returns the next number.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for FencingNumber {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The store's revision of an order record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordRevision(pub u64);

/// What an order asks of an engine; carrying one out twice is as once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Serve a version of a model.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        version: String,
    },
    /// Serve an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterName,
    },
    /// Take another role.
    ChangeRole {
        /// The role.
        role: EngineRole,
    },
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderProgress {
    /// It may be sent or have been sent.
    Intended,
    /// The engine carried it out.
    Confirmed,
    /// The engine will not carry it out.
    Refused,
}

/// The last order for an upstream, as the configuration store holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Its fencing number.
    pub fencing: FencingNumber,
    /// What it asks.
    pub action: OrderAction,
    /// Who gives it.
    pub giver: IncarnationId,
    /// How far it has come.
    pub progress: OrderProgress,
}

/// Whether an upstream's engine refuses orders with old fencing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingSupport {
    /// It refuses them.
    Honoured,
    /// It carries them out.
    Ignored,
}
