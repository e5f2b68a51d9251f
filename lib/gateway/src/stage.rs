//! Lifecycle stages of a VM.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

/// Lifecycle stage of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum VmStage {
    /// Configuration or upstreams are not known yet.
    Starting,
    /// Serves requests.
    Serving,
    /// Finishes its requests before the process ends.
    Leaving,
}
