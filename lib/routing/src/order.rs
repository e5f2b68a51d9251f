//! Orders to engines, and the stored record of the latest one.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::AdapterName;
use snipegate_types::IncarnationId;
use snipegate_types::ModelName;

use crate::upstream::EngineRole;

/// Fencing token of an order. It increases with every order recorded for an upstream.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Returns the next token.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for FencingToken {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The store revision of an order record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordRevision(pub u64);

/// The action that an order requests. Actions are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a version of a model.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version to load.
        version: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterName,
    },
    /// Switch to another role.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
}

/// The state of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderProgress {
    /// The order may or may not have been sent.
    Intended,
    /// The engine applied the order.
    Confirmed,
    /// The engine rejected the order.
    Refused,
}

/// The latest order for an upstream, as stored in the configuration store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The fencing token.
    pub fencing: FencingToken,
    /// The requested action.
    pub action: OrderAction,
    /// The incarnation that issued the order.
    pub giver: IncarnationId,
    /// The state of the order.
    pub progress: OrderProgress,
}

/// Whether an upstream's engine rejects orders with outdated fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingSupport {
    /// Outdated orders are rejected.
    Honoured,
    /// Outdated orders are applied.
    Ignored,
}
