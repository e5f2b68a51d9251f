//! Answers callers' queries for the addresses to use.

mod candidate;
mod choice;
mod regions;

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use slog::info;

pub use self::candidate::AddressCandidate;
pub use self::choice::AddressChoice;
pub use self::choice::ChoiceBasis;
pub use self::regions::NamedRegions;
use crate::gateway::Gateway;
use crate::peers::VmRecord;
use crate::peers::addresses_of;
use crate::stage::VmStage;
use crate::wire_format::AddressQuery;

/// Shortest time between two log lines on the answers for one data centre.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the last logged answer for each data centre was based on.
#[derive(Debug, Default)]
pub struct DirectoryLog {
    bases: RefCell<IndexMap<Box<str>, (ChoiceBasis, Instant)>>,
}

/// Returns the addresses that a caller should use, given by the IP number of its connection.
pub fn choose_addresses(
    gateway: &Gateway,
    query: &AddressQuery,
    caller: IpAddr,
) -> Vec<SocketAddr> {
    let now = gateway.now();
    let own = gateway.own_record();
    let own = (own.stage == VmStage::Serving).then_some(&own);
    let data_centre = query.data_centre.as_deref();
    let regions = NamedRegions::of_query(gateway, query);
    let may_name =
        |record: &&VmRecord| regions.includes(gateway.settings.regions.get(&record.data_centre));
    let peers = gateway.peers.borrow();
    let mut others = peers.serving(gateway.settings.contact_timeout, now);
    let known = others.len() + usize::from(own.is_some());
    others.retain(may_name);
    let own = own.filter(may_name);
    if others.len() + usize::from(own.is_some()) < known {
        gateway.metrics.count("directory.region_left_out");
    }
    let readiness = gateway.room.readiness.borrow();
    let own_notice = readiness.notice(now);
    let candidates = others.iter().map(|record| {
        let notice = readiness.table.get(&record.vm);
        AddressCandidate::new(record, notice, now)
    });
    let own_candidate = own.map(|record| AddressCandidate::from_notice(record, &own_notice));
    let candidates: Vec<AddressCandidate<'_>> = candidates.chain(own_candidate).collect();
    let caller = caller.to_canonical().to_string();
    let Some(choice) = AddressChoice::choose(&candidates, data_centre, &caller) else {
        gateway.metrics.count_tagged("directory.chosen", "equal");
        others.extend(own);
        return addresses_of(&others, data_centre);
    };
    gateway
        .metrics
        .count_tagged("directory.chosen", choice.basis.into());
    log_choice(gateway, data_centre.unwrap_or_default(), &choice, now);
    choice.addresses
}

/// Logs what an answer is based on if that is another basis than before.
fn log_choice(gateway: &Gateway, data_centre: &str, choice: &AddressChoice, now: Instant) {
    // Callers may name data centres that do not exist.
    if !choice.is_known_data_centre {
        return;
    }
    let mut bases = gateway.directory_log.bases.borrow_mut();
    let is_quiet = |(basis, at): &(ChoiceBasis, Instant)| {
        *basis == choice.basis || now.saturating_duration_since(*at) < LOG_INTERVAL
    };
    if bases.get(data_centre).is_some_and(is_quiet) {
        return;
    }
    bases.insert(data_centre.into(), (choice.basis, now));
    let basis: &str = choice.basis.into();
    info!(gateway.log, "address choice changed"; "data_centre" => data_centre, "basis" => basis,
        "open" => choice.open, "free_requests" => choice.local_free.round() as u64,
        "capacity" => choice.local_capacity.round() as u64,
        "oldest_notice_ms" => choice.oldest_notice.as_millis() as u64);
}
