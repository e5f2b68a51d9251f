//! Limits what all VMs together send to upstreams that have just started.
//!
//! Designed for upstreams that crash when they get more than a few requests per second soon
//! after their start. What is known of a cold upstream, and for how long, is kept here; the
//! limit itself is divided and paced like a rate limit that an upstream advertises.

mod cold_limit;
mod cold_state;
mod cold_table;
mod monitor;
mod notice;
mod send_limits;

pub use self::cold_limit::ColdLimit;
pub use self::cold_limit::cold_share;
pub use self::cold_state::ColdReason;
pub use self::cold_table::ColdChange;
pub use self::cold_table::ColdTable;
pub use self::monitor::apply_cold_notices;
pub use self::monitor::begin_cold_after_evacuation;
pub use self::monitor::build_cold_notices;
pub use self::monitor::log_cold_changes;
pub use self::monitor::record_broken_connection;
pub use self::monitor::record_cold_answer;
pub use self::monitor::record_cold_entry;
pub use self::monitor::update_cold_upstreams;
pub use self::notice::ColdNotice;
pub use self::send_limits::SendLimits;
