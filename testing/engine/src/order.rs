//! Orders to load or change what the engine serves.

use serde::Deserialize;
use serde::Serialize;

/// An order, with the fencing number of whoever gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// Rises with each order that is given.
    pub fence: u64,
    /// What to do.
    pub action: OrderAction,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Serve a version of a model.
    LoadModel {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Serve an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Take another role.
    ChangeRole {
        /// The role.
        role: String,
    },
}

/// What the engine did with an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// It was carried out.
    Done,
    /// It carries an older number than one that was carried out.
    Fenced {
        /// The highest number so far.
        highest: u64,
    },
}

/// The orders that were carried out, in order.
#[derive(Debug)]
pub struct OrderLog {
    honours_fencing: bool,
    highest: u64,
    done: Vec<EngineOrder>,
}

impl OrderLog {
    /// Makes an empty log.
    pub fn new(honours_fencing: bool) -> Self {
        Self {
            honours_fencing,
            highest: 0,
            done: Vec::new(),
        }
    }

    /// Carries out an order, unless it is fenced off.
    pub fn accept(&mut self, order: EngineOrder) -> OrderReply {
        if self.honours_fencing && order.fence < self.highest {
            return OrderReply::Fenced {
                highest: self.highest,
            };
        }
        self.highest = self.highest.max(order.fence);
        self.done.push(order);
        OrderReply::Done
    }

    /// Returns the orders that were carried out.
    pub fn done(&self) -> &[EngineOrder] {
        &self.done
    }
}
