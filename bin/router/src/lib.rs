//! Router that forwards callers' requests to upstreams and charges them to prepaid budgets.

mod admission;
pub mod answer;
pub mod body;
pub mod call_register;
pub mod caller;
pub mod caller_endpoints;
pub mod chat;
pub mod command;
pub mod control;
pub mod decision_log;
pub mod driver;
pub mod event_stream;
pub mod ledger_client;
pub mod membership;
pub mod peer_endpoints;
pub mod poller;
pub mod refusal;
pub mod relay;
pub mod request_ids;
pub mod service_call;
pub mod settings;
pub mod shutdown;
pub mod upstream_client;
pub mod view_input;
