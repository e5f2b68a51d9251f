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
