//! Infrastructure shared by all daemons: settings, logging, metrics, the HTTP server
//! with its health endpoints, RPC between snipegate processes, and stop signals.

mod client;
mod guard;
mod logs;
mod message;
mod metrics;
mod server;
mod settings;
mod stop;

pub use client::CallError;
pub use client::MAX_CONNECTIONS;
pub use client::MessageClient;
pub use guard::GuardPort;
pub use logs::LogFormat;
pub use logs::LogLevel;
pub use logs::build_json_logger;
pub use logs::build_logger;
pub use message::MESSAGE_CONTENT_TYPE;
pub use message::decode_message;
pub use message::encode_message;
pub use message::message_response;
pub use metrics::MetricRegistry;
pub use server::DaemonContext;
pub use server::MAX_MESSAGE_BYTES;
pub use server::ProcessState;
pub use server::start_server;
pub use settings::ProcessSettings;
pub use settings::add_process_settings;
pub use settings::duration_setting;
pub use settings::flag;
pub use settings::optional_setting;
pub use settings::setting;
pub use stop::StopSignal;
pub use stop::wait_for_stop_signal;
