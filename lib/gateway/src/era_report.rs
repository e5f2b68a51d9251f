//! Reports of processes in a new era of the store, and the VMs that have to report.

use serde::Deserialize;
use serde::Serialize;
use snipegate_platform::StoreEra;
use snipegate_types::BootTimestamp;

use crate::shard_memory::EndedByWorkspace;
use crate::shard_writer::WriterLevel;

/// Whether a process knows all grants that its VM had when the store came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportState {
    /// No process of the VM has reported.
    Missing,
    /// An earlier process of the VM may have been granted tokens that the store lost.
    Incomplete,
    /// No process of the VM had reported when the wait for reports ended. What it may hold
    /// counts as taken until one does.
    Late,
}

/// A VM that may hold tokens that the records don't show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnsettledVm {
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// First era that began without the grants that it has to report.
    pub since: StoreEra,
    /// Most that it may have been granted.
    pub level: WriterLevel,
    /// What it has reported.
    pub state: ReportState,
    /// Changes of its registration that the copy shows from which the store came back.
    #[serde(default)]
    pub changes: u64,
}

/// What a process knows of the grants of its VM that the store may have lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantKnowledge {
    /// It knows all of them: those that it holds it claims.
    Complete {
        /// What earlier processes of the VM may have used; `None` if the records show it.
        ended: Option<EndedByWorkspace>,
    },
    /// An earlier process may have been granted tokens that this one does not know.
    Incomplete,
}

impl GrantKnowledge {
    /// Returns the knowledge of a process that remembers nothing of the records. `is_old` tells
    /// that it was there before the oldest copy from which the store can have come back.
    pub fn of_age(is_old: bool) -> Self {
        match is_old {
            true => Self::Complete { ended: None },
            false => Self::Incomplete,
        }
    }
}

/// Report of a process in a new era of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EraReport {
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Start time of the process.
    pub began: Option<BootTimestamp>,
    /// What the process knows of the grants of its VM that the store may have lost.
    pub knowledge: GrantKnowledge,
}
