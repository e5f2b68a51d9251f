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
    /// Follows and writes the quarantine of features.
    Quarantine,
}

/// Kind of a call to the configuration store. Its name identifies the call in counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreCallKind {
    /// Current listing, also of a single key.
    List,
    /// Listing that may be some seconds old.
    StaleList,
    /// Watch.
    Watch,
    /// Write.
    Swap,
    /// Listing of the budgets at the start of the process.
    StartList,
    /// Write of a marker of an era of the store.
    MarkerSwap,
    /// Write of budgets that a request waits for.
    UrgentSwap,
    /// Write of budgets that no request waits for.
    IdleSwap,
    /// Write of budgets that closes earlier runs of the VM.
    StartSwap,
    /// Write of budgets at the end of the process.
    EndSwap,
    /// Creation of a lease.
    CreateLease,
    /// Renewal of a lease.
    RenewLease,
}

/// Which VMs use short watches for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShortWatchers {
    /// No VM.
    None,
    /// A VM that hears no other VM that reaches the store.
    IfAlone,
    /// Two of the VMs that hear each other.
    Two,
}

impl StoreTask {
    /// Returns how many of the VMs that hear each other use short watches for the task.
    ///
    /// The others learn by gossip that there is a change. Quarantined parts are gossiped
    /// themselves, so only a VM that hears no other depends on its watch.
    pub fn short_watchers(self) -> ShortWatchers {
        match self {
            StoreTask::Config | StoreTask::Upstreams => ShortWatchers::Two,
            StoreTask::Quarantine => ShortWatchers::IfAlone,
            StoreTask::VmRecords | StoreTask::VmLease | StoreTask::Budgets => ShortWatchers::None,
        }
    }
}
