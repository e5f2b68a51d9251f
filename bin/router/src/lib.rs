//! Router that forwards callers' requests to upstreams and charges them to prepaid budgets.

mod admission;
pub mod answer;
pub mod body;
pub mod call_register;
pub mod caller;
pub mod chat;
pub mod command;
pub mod control;
pub mod driver;
pub mod event_stream;
pub mod ledger_post;
pub mod membership;
pub mod paths;
pub mod peer_paths;
pub mod poller;
pub mod refusal;
pub mod relay;
pub mod request_names;
pub mod service_call;
pub mod settings;
pub mod stop;
pub mod trail;
pub mod upstream_client;
pub mod view_input;
