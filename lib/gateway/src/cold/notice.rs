//! Message by which VMs tell each other of cold upstreams.

use serde::Deserialize;
use serde::Serialize;
use snipegate_platform::StoreRevision;

/// What the sender knows first-hand of a cold upstream.
///
/// Times are as of when the message was sent. A receiver counts them from when the message
/// arrived, so that a late message ends nothing early. What a VM learned from others it does not
/// announce, since such times would grow with each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// Code of the upstream; see [`crate::upstream::upstream_code`].
    pub upstream: u32,
    /// Revision of its entry, and how much longer it is cold by that, in ms.
    pub stated: Option<(StoreRevision, u64)>,
    /// How much longer the sender assumes it to be cold by what it saw itself, in ms; 0 if it
    /// does not.
    pub assumed_ms: u64,
}
