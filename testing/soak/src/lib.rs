//! A soak test: runs `snipegate-edge` processes against stand-ins for the platform,
//! injects faults drawn from a seed, and checks what callers and upstreams observe.
//!
//! All faults are injected from outside the processes: loopback proxies that delay,
//! reset or drop the bytes of a link in one or both directions, signals that pause, kill
//! or stop a process, and a store and upstreams that fail. There are no disk or clock
//! faults, since the processes use neither storage nor the time of day.

mod callers;
mod check;
mod edges;
mod link;
mod plan;
mod run;

pub use callers::API_KEY;
pub use callers::CallKind;
pub use callers::CallOutcome;
pub use callers::CallRecord;
pub use check::ArrivalRecord;
pub use check::ConfigRecord;
pub use check::Disturbance;
pub use check::DrainRecord;
pub use check::RateLimitRecord;
pub use check::RunRecord;
pub use check::SoakRecord;
pub use check::StopRecord;
pub use check::Violation;
pub use check::check_record;
pub use edges::EdgeVm;
pub use plan::FaultPlan;
pub use plan::PlannedFault;
pub use plan::SoakFault;
pub use run::run_soak;
