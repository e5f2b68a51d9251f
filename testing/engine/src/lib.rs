//! Stand-in for a model engine and a plain service that can inject faults.

mod chat;
mod fault;
mod generation;
mod order;
mod paths;
mod prefix_cache;
mod prompt;
mod record;
mod slots;
mod state;

pub use chat::PRIORITY_HEADER;
pub use chat::REQUEST_ID_HEADER;
pub use chat::RESUME_HEADER;
pub use fault::FaultChange;
pub use fault::StreamFault;
pub use order::EngineOrder;
pub use order::OrderAction;
pub use order::OrderReply;
pub use paths::IDEMPOTENCY_KEY_HEADER;
pub use paths::configure;
pub use prompt::ChatBody;
pub use prompt::ChatMessage;
pub use prompt::PromptPlan;
pub use record::WorkKind;
pub use record::WorkRecord;
pub use record::WorkState;
pub use record::unix_millis;
pub use state::EngineSettings;
pub use state::EngineState;
pub use state::LoadReport;
