//! How fast each upstream is expected to answer, and which ones are left out.
//!
//! Designed for upstreams that differ in speed, and for one that turns slow or fails while its
//! health looks good. One VM sees too few requests of an upstream, so VMs share what they saw.

mod linear_fit;
mod notice;
mod return_share;
mod service_fit;
mod speed_sums;
mod speed_table;

pub use self::notice::SpeedNotice;
pub use self::notice::SpeedReport;
pub use self::notice::announce_speeds;
pub use self::notice::apply_speeds;
pub use self::notice::log_return_share;
pub use self::return_share::ReturnShare;
pub use self::service_fit::ServiceFit;
pub use self::speed_sums::SpeedSums;
pub use self::speed_table::SpeedTable;
pub use self::speed_table::UpstreamSlowness;
