//! What a VM asks the configuration store for.

use strum::Display;
use strum::IntoStaticStr;

/// What a task of a VM asks the configuration store for; names its calls in logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreTask {
    /// Follows the configuration.
    Config,
    /// Follows the upstreams' entries.
    Upstreams,
    /// Follows the records of other VMs.
    VmRecords,
    /// Keeps this VM's own record alive.
    VmLease,
    /// Reads and writes the records of budgets.
    Budgets,
}

impl StoreTask {
    /// Tells whether VMs tell each other how far they are in what the task follows.
    pub fn is_told_to_peers(self) -> bool {
        match self {
            StoreTask::Config | StoreTask::Upstreams => true,
            StoreTask::VmRecords | StoreTask::VmLease | StoreTask::Budgets => false,
        }
    }
}
