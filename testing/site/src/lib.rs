//! Stand-ins for the users' platform, for tests: a key-value store and runners that
//! listen on loopback and fail as a test requests.

mod rate_judge;
mod runner;
mod runner_script;
mod server;
mod store;

pub use rate_judge::RateExcess;
pub use rate_judge::RatePeriod;
pub use rate_judge::VmEvent;
pub use rate_judge::find_rate_excess;
pub use runner::RecordedRequest;
pub use runner::StandinRunner;
pub use runner::cold_runner_entry;
pub use runner::placed_runner_entry;
pub use runner::runner_entry;
pub use runner::started_runner_entry;
pub use runner_script::CrashCause;
pub use runner_script::CrashTrigger;
pub use runner_script::CutHead;
pub use runner_script::EndlessPart;
pub use runner_script::HeadFraming;
pub use runner_script::RunnerScript;
pub use store::CountedCall;
pub use store::StandinStore;
pub use store::StoreCopy;
pub use store::StoreFault;
