//! Which addresses a caller should use.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::DataCentre;
use snipegate_types::ProcessRole;
use snipegate_types::RegionName;
use snipegate_types::VmId;

use crate::rendezvous::rendezvous_weight;
use crate::view::FleetView;
use crate::view::MemberEntry;

/// Longest time that an answer from stale knowledge may be kept.
const STALE_KEEP: Duration = Duration::from_secs(2);

/// One address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedAddress {
    /// Where to connect.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: DataCentre,
    /// The VM that it is on.
    pub vm: VmId,
}

/// The answer of `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// The addresses, the one to use first in front.
    pub addresses: Vec<NamedAddress>,
    /// How long to keep the answer, in milliseconds.
    pub keep_for_ms: u64,
}

/// How near a member is, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Nearness {
    DataCentre,
    Region,
    Elsewhere,
}

impl AddressAnswer {
    /// Chooses up to `count` router addresses for `caller` in `data_centre`.
    ///
    /// Members that leave or have ended are never named. Members that are suspected are named
    /// only after all others, since a suspicion may be wrong. Among members as
    /// near as each other, each caller has its own order, in which a member is
    /// first as often as its weight says. Returns `None` where nothing is known
    /// or no member may be named.
    pub fn choose(
        view: &FleetView,
        data_centre: Option<&DataCentre>,
        caller: &str,
        count: usize,
        now: Instant,
    ) -> Option<Self> {
        let settings = view.settings()?;
        let region = data_centre.and_then(|place| region_of(view, place));
        let mut ranked: Vec<_> = view
            .members(ProcessRole::Router)
            .filter(|entry| !view.is_member_leaving(entry) && !view.is_ended(entry))
            .map(|entry| {
                let near = nearness(entry, data_centre, region);
                let rank = (view.is_suspected(entry), near);
                (rank, spread_rank(caller, entry), entry)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let chosen = ranked.into_iter().take(count);
        let addresses: Vec<_> = chosen.map(|(_, _, entry)| named(entry)).collect();
        let age = now.saturating_duration_since(view.fresh_as_of()?);
        let keep = match age <= settings.staleness_bound() {
            true => settings.address_keep(),
            false => settings.address_keep().min(STALE_KEEP),
        };
        (!addresses.is_empty()).then_some(Self {
            addresses,
            keep_for_ms: keep.as_millis() as u64,
        })
    }
}

fn named(entry: &MemberEntry) -> NamedAddress {
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

fn nearness(
    entry: &MemberEntry,
    data_centre: Option<&DataCentre>,
    region: Option<&RegionName>,
) -> Nearness {
    if data_centre == Some(&entry.record.data_centre) {
        return Nearness::DataCentre;
    }
    match region == Some(&entry.record.region) {
        true => Nearness::Region,
        false => Nearness::Elsewhere,
    }
}

/// Returns the caller's rank of a member, lowest first: an exponential variate
/// whose rate is the weight, so the lowest of several is each in proportion.
fn spread_rank(caller: &str, entry: &MemberEntry) -> f64 {
    let hash = rendezvous_weight(caller, entry.id.0.as_str());
    // 53 bits fit a double exactly; the half keeps the logarithm finite.
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -unit.ln() / f64::from(entry.record.weight.max(1))
}
