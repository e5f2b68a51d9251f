//! Stand-in for the platform's configuration store, VM list and weight store.
//!
//! The services are available over HTTP and can inject faults.

mod fault;
mod paths;
mod state;
mod vms;

pub use fault::ActiveFaults;
pub use fault::CallAction;
pub use fault::CountReport;
pub use fault::FaultChange;
pub use paths::configure;
pub use state::CallResult;
pub use state::PlatformState;
pub use vms::VmHistory;
