//! Entries of the list of other routers.

use snipegate_types::DataCentre;
use snipegate_types::IncarnationId;

/// Another running router and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEntry {
    /// The incarnation of the router.
    pub incarnation: IncarnationId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it is about to leave; it then gets no new requests.
    pub leaving: bool,
}
