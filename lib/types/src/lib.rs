//! Identifiers, sizes, rates, result codes, rendezvous hashing and the clock interface
//! shared by all snipegate crates.

mod boot;
mod clock;
mod id;
mod part;
mod place;
mod rendezvous;
mod request_digest;
mod result_code;
mod size;

pub use boot::BootId;
pub use boot::BootTimestamp;
pub use clock::ManualClock;
pub use clock::SystemClock;
pub use clock::TimeSource;
pub use id::AdapterName;
pub use id::BudgetId;
pub use id::IdError;
pub use id::ModelName;
pub use id::OperationId;
pub use id::ProfileName;
pub use id::RequestId;
pub use id::ShardId;
pub use id::UpstreamId;
pub use id::WorkspaceId;
pub use part::PartId;
pub use place::DataCentre;
pub use place::IncarnationId;
pub use place::ProcessRole;
pub use place::RegionName;
pub use place::VmId;
pub use rendezvous::rendezvous_owner;
pub use rendezvous::rendezvous_weight;
pub use rendezvous::weighted_rank;
pub use request_digest::RequestDigest;
pub use result_code::ResultCode;
pub use result_code::RunState;
pub use size::ByteCount;
pub use size::ByteRate;
pub use size::RequestRate;
pub use size::SizeError;
pub use size::TokenCount;
pub use size::TokenRate;
