//! Load and experiments: open-loop arrivals from traces or mixes, figures,
//! plots, comparison, and checks against stated outcomes.

mod address_book;
mod caller;
mod command;
mod comparison;
mod event_parser;
mod expectation;
mod mix;
mod open_loop;
mod outcome;
mod plot;
mod run_report;
mod trace;

pub use address_book::AddressBook;
pub use caller::PreparedRequest;
pub use caller::RequestCaller;
pub use caller::TargetKind;
pub use command::command;
pub use command::values;
pub use comparison::RunComparison;
pub use event_parser::ErrorBody;
pub use event_parser::ErrorDetail;
pub use event_parser::EventParser;
pub use event_parser::PromptDetails;
pub use event_parser::StreamEvent;
pub use event_parser::UsageBody;
pub use expectation::CountRange;
pub use expectation::TraceExpectation;
pub use mix::ExperimentName;
pub use mix::LoadMix;
pub use open_loop::RunPlan;
pub use open_loop::run_open_loop;
pub use outcome::RequestEnd;
pub use outcome::RequestOutcome;
pub use plot::plot_reports;
pub use run_report::RunReport;
pub use run_report::TimeSummary;
pub use trace::TraceError;
pub use trace::TracePrompt;
pub use trace::TraceRecord;
pub use trace::TraceWork;
pub use trace::parse_trace;
pub use trace::read_trace;
