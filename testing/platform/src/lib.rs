//! Stand-in for the platform's services: configuration store, VM list and
//! weight store over HTTP, with faults on request.

mod fault;
mod paths;
mod state;
mod vms;

pub use fault::CallFate;
pub use fault::CountReport;
pub use fault::FaultChange;
pub use fault::FaultPlan;
pub use paths::configure;
pub use state::CallResult;
pub use state::PlatformState;
pub use vms::VmHistory;
