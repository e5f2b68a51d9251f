//! Upstream selection, admission control, retries and prefix-cache affinity.
//!
//! [`RouteTable`] is the entry point. A single control thread owns it, passes events to
//! it and asks it for decisions. It does no I/O, starts no threads and reads no clock:
//! callers pass `now`, and the random number generator is seeded by the caller.

mod affinity;
mod attempt;
mod choice;
mod counters;
mod index;
mod latency;
mod limits;
mod order;
mod order_plan;
mod policy;
mod pool;
mod prefix;
mod progress;
mod request;
mod retry;
mod score;
mod select;
mod table;
mod track;
mod trust;
mod upstream;

pub use attempt::AttemptId;
pub use attempt::AttemptOutcome;
pub use choice::RefusalReason;
pub use choice::RouteRefusal;
pub use choice::UpstreamChoice;
pub use counters::RouteCounters;
pub use limits::RateLimits;
pub use limits::RequestLimiter;
pub use limits::RequestPermit;
pub use order::FencingSupport;
pub use order::FencingToken;
pub use order::OrderAction;
pub use order::OrderProgress;
pub use order::OrderRecord;
pub use order::RecordRevision;
pub use order_plan::OrderEffect;
pub use order_plan::OrderEvent;
pub use order_plan::OrderPlan;
pub use order_plan::OrderResult;
pub use order_plan::OrderTimes;
pub use policy::RoutePolicy;
pub use pool::UpstreamPool;
pub use pool::UpstreamStatus;
pub use prefix::BlockHash;
pub use prefix::CacheChange;
pub use prefix::CacheEvent;
pub use prefix::PREFIX_BLOCK_BYTES;
pub use prefix::PromptPrefix;
pub use progress::ProgressWatch;
pub use request::RequestPhase;
pub use request::RequestPriority;
pub use request::RouteRequest;
pub use retry::FailedAttempt;
pub use retry::RetryBudget;
pub use retry::RetryDecision;
pub use retry::RetryReason;
pub use table::RouteTable;
pub use upstream::EngineRole;
pub use upstream::LoadReport;
pub use upstream::ServedModel;
pub use upstream::UpstreamKind;
pub use upstream::UpstreamSpec;
pub use upstream::UpstreamState;
