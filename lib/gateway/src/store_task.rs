//! Tasks of a VM that call the configuration store.

use strum::Display;
use strum::IntoStaticStr;

/// Task that calls the configuration store. Its name identifies the call in logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreTask {
    /// Follows the configuration.
    Config,
    /// Follows the entries of upstreams.
    Upstreams,
    /// Follows the records of other VMs.
    VmRecords,
    /// Keeps the lease and the record of this VM.
    VmLease,
    /// Reads and writes budget records.
    Budgets,
}

impl StoreTask {
    /// Returns whether VMs announce by gossip the version or revision that the task has
    /// reached.
    pub fn is_gossiped(self) -> bool {
        match self {
            StoreTask::Config | StoreTask::Upstreams => true,
            StoreTask::VmRecords | StoreTask::VmLease | StoreTask::Budgets => false,
        }
    }
}
