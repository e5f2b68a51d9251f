//! Selection of the router addresses that a caller should use.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::DataCentre;
use snipegate_types::ProcessRole;
use snipegate_types::RegionName;
use snipegate_types::VmId;
use snipegate_types::weighted_rank;

use crate::view::FleetView;
use crate::view::MemberEntry;

/// Maximum time for which an answer from a stale view may be cached.
const MAX_STALE_CACHE_TIME: Duration = Duration::from_secs(2);

/// The address of a router and its location.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedAddress {
    /// The address to connect to.
    pub address: SocketAddr,
    /// The data centre of the router.
    pub data_centre: DataCentre,
    /// The VM that the router runs on.
    pub vm: VmId,
}

/// The response body of `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// The addresses in order of preference.
    pub addresses: Vec<NamedAddress>,
    /// How long the answer may be cached, in milliseconds.
    pub keep_for_ms: u64,
}

/// How close a member is to the caller, from the closest to the farthest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Proximity {
    DataCentre,
    Region,
    Elsewhere,
}

impl AddressAnswer {
    /// Chooses up to `count` router addresses for `caller` in `data_centre`.
    ///
    /// Members that are leaving or have ended are never returned. Suspected members
    /// come after all others, since a suspicion may be wrong. Among members at the
    /// same distance, the order depends on the caller, and the share of callers for
    /// which a member comes first is proportional to its weight. Returns `None` if
    /// nothing is known of the fleet or no member is eligible.
    pub fn choose(
        view: &FleetView,
        data_centre: Option<&DataCentre>,
        caller: &str,
        count: usize,
        now: Instant,
    ) -> Option<Self> {
        let settings = view.settings()?;
        let region = data_centre.and_then(|name| region_of(view, name));
        let mut ranked: Vec<_> = view
            .members(ProcessRole::Router)
            .filter(|entry| !view.is_member_leaving(entry) && !view.is_ended(entry))
            .map(|entry| {
                let distance = proximity(entry, data_centre, region);
                let rank = (view.is_suspected(entry), distance);
                let weight = f64::from(entry.record.weight.max(1));
                (
                    rank,
                    weighted_rank(caller, entry.id.0.as_str(), weight),
                    entry,
                )
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let chosen = ranked.into_iter().take(count);
        let addresses: Vec<_> = chosen.map(|(_, _, entry)| named_address(entry)).collect();
        let age = now.saturating_duration_since(view.fresh_as_of()?);
        let cache_time = match age <= settings.staleness_bound() {
            true => settings.address_cache_time(),
            false => settings.address_cache_time().min(MAX_STALE_CACHE_TIME),
        };
        (!addresses.is_empty()).then_some(Self {
            addresses,
            keep_for_ms: cache_time.as_millis() as u64,
        })
    }
}

fn named_address(entry: &MemberEntry) -> NamedAddress {
    NamedAddress {
        address: entry.record.address,
        data_centre: entry.record.data_centre.clone(),
        vm: entry.id.0.clone(),
    }
}

fn region_of<'a>(view: &'a FleetView, data_centre: &DataCentre) -> Option<&'a RegionName> {
    let mut members = view.all_members();
    let found = members.find(|entry| &entry.record.data_centre == data_centre)?;
    Some(&found.record.region)
}

fn proximity(
    entry: &MemberEntry,
    data_centre: Option<&DataCentre>,
    region: Option<&RegionName>,
) -> Proximity {
    if data_centre == Some(&entry.record.data_centre) {
        return Proximity::DataCentre;
    }
    match region == Some(&entry.record.region) {
        true => Proximity::Region,
        false => Proximity::Elsewhere,
    }
}
