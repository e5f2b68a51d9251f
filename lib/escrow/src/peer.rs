//! Other routers.

use snipegate_types::DataCentre;
use snipegate_types::IncarnationId;

/// A router that is up, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEntry {
    /// The router.
    pub incarnation: IncarnationId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it is about to leave; it is then asked for nothing new.
    pub leaving: bool,
}
