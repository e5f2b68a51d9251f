//! Runs the whole system as separate processes on loopback, injects faults under
//! a small load, and checks the recorded history.

mod caller;
mod child;
mod fleet;
mod gather;
mod load;
mod operator;
mod recorder;
mod vm;

pub use caller::CallerRequest;
pub use caller::FleetCaller;
pub use caller::RequestKind;
pub use caller::RequestOutcome;
pub use caller::RouterTarget;
pub use child::ChildProcess;
pub use child::free_address;
pub use fleet::BOOKING_SERVICE;
pub use fleet::DATA_CENTRES;
pub use fleet::FleetUpstream;
pub use fleet::MODEL;
pub use fleet::POLL_INTERVAL;
pub use fleet::TestFleet;
pub use fleet::WAIT_TIMEOUT;
pub use fleet::WORKSPACES;
pub use fleet::upstream_config_key;
pub use fleet::wait_until;
pub use fleet::workspace_api_key;
pub use fleet::workspace_shard;
pub use load::FleetLoad;
pub use operator::FleetOperator;
pub use recorder::HistoryRecorder;
pub use recorder::unix_micros;
pub use vm::FleetVm;
pub use vm::VmRole;
