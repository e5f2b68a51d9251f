//! Where a VM is between its start and its end.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

/// Where a VM is between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum VmStage {
    /// It does not know enough to serve.
    Starting,
    /// It serves.
    Serving,
    /// It finishes what it has and ends.
    Leaving,
}
