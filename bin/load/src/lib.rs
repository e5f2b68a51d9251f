//! Load generator: sends requests from traces or synthetic loads in an open loop,
//! and reports, plots, compares and checks the results.

mod address_pool;
mod command;
mod comparison;
mod event_parser;
mod expectation;
mod open_loop;
mod outcome;
mod plot;
mod request_sender;
mod run_report;
mod synthetic_load;
mod trace;

pub use address_pool::AddressPool;
pub use command::build_command;
pub use command::get_values;
pub use comparison::RunComparison;
pub use event_parser::ErrorBody;
pub use event_parser::ErrorDetail;
pub use event_parser::EventParser;
pub use event_parser::PromptDetails;
pub use event_parser::StreamEvent;
pub use event_parser::UsageBody;
pub use expectation::CountRange;
pub use expectation::TraceExpectation;
pub use open_loop::RunPlan;
pub use open_loop::run_open_loop;
pub use outcome::RequestOutcome;
pub use outcome::RequestResult;
pub use plot::plot_reports;
pub use request_sender::PreparedRequest;
pub use request_sender::RequestSender;
pub use request_sender::TargetKind;
pub use run_report::LatencySummary;
pub use run_report::RunReport;
pub use synthetic_load::ExperimentName;
pub use synthetic_load::SyntheticLoad;
pub use trace::TraceError;
pub use trace::TracePrompt;
pub use trace::TraceRecord;
pub use trace::TraceWork;
pub use trace::parse_trace;
pub use trace::read_trace;
