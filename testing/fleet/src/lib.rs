//! Runs the whole system as separate processes on loopback, under faults and a
//! small load, and checks the history.

mod caller;
mod child;
mod fleet;
mod gather;
mod load;
mod operator;
mod recorder;
mod vm;

pub use caller::CallEnd;
pub use caller::CallerCall;
pub use caller::CallerRequest;
pub use caller::FleetCaller;
pub use caller::RouterTarget;
pub use child::ChildProcess;
pub use child::free_address;
pub use fleet::BOOKING;
pub use fleet::DATA_CENTRES;
pub use fleet::FleetUpstream;
pub use fleet::MODEL;
pub use fleet::PATIENCE;
pub use fleet::POLL_PAUSE;
pub use fleet::TestFleet;
pub use fleet::WORKSPACES;
pub use fleet::until;
pub use fleet::upstream_key;
pub use fleet::workspace_key;
pub use fleet::workspace_shard;
pub use load::FleetLoad;
pub use operator::FleetOperator;
pub use recorder::HistoryRecorder;
pub use recorder::unix_micros;
pub use vm::FleetVm;
pub use vm::VmRole;
