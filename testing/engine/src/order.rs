//! Orders that change what the engine serves.

use serde::Deserialize;
use serde::Serialize;

/// An order with the fencing number of its issuer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// Fencing number, which the issuer increases with each order.
    pub fence: u64,
    /// The requested action.
    pub action: OrderAction,
}

/// Action requested by an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load and serve a model version.
    LoadModel {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Load and serve an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Switch to another role.
    ChangeRole {
        /// The role.
        role: String,
    },
}

/// Response to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The order was executed.
    Done,
    /// The order was rejected because one with a higher fencing number was
    /// executed before.
    Fenced {
        /// The highest fencing number so far.
        highest: u64,
    },
}

/// The executed orders, in order of execution.
#[derive(Debug)]
pub struct OrderLog {
    honours_fencing: bool,
    highest_fence: u64,
    executed: Vec<EngineOrder>,
}

impl OrderLog {
    /// Creates an empty log.
    pub fn new(honours_fencing: bool) -> Self {
        Self {
            honours_fencing,
            highest_fence: 0,
            executed: Vec::new(),
        }
    }

    /// Executes an order unless its fencing number is outdated.
    pub fn accept(&mut self, order: EngineOrder) -> OrderReply {
        if self.honours_fencing && order.fence < self.highest_fence {
            return OrderReply::Fenced {
                highest: self.highest_fence,
            };
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        self.executed.push(order);
        OrderReply::Done
    }

    /// Returns the executed orders.
    pub fn executed(&self) -> &[EngineOrder] {
        &self.executed
    }
}
