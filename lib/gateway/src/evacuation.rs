//! Evacuated data centres: nothing more is sent to their upstreams.
//!
//! Operators evacuate a data centre by a key in the configuration store. VMs learn of it by the
//! watch that also follows the configuration, and from each other.

mod keys;
mod notice;
mod table;

use slog::info;
use snipegate_types::VmId;

pub use self::keys::evacuated_data_centres;
pub use self::keys::evacuation_of_key;
pub use self::notice::EvacuationNotice;
pub use self::notice::apply_evacuation_notice;
pub use self::notice::send_evacuations;
pub use self::notice::send_evacuations_to;
pub use self::table::EvacuationChange;
pub use self::table::EvacuationState;
pub use self::table::EvacuationTable;
use crate::cold::begin_cold_after_evacuation;
use crate::gateway::Gateway;

/// How this VM learned of a change.
#[derive(Clone, Copy, Debug)]
pub enum EvacuationSource<'a> {
    /// From a listing of the store.
    Listing,
    /// From a watch of the store.
    Watch,
    /// The store came back from an older copy, which lacks the evacuation.
    Return,
    /// From another VM.
    Vm(&'a VmId),
}

impl EvacuationSource<'_> {
    fn label(self) -> &'static str {
        match self {
            EvacuationSource::Listing => "listing",
            EvacuationSource::Watch => "watch",
            EvacuationSource::Return => "return",
            EvacuationSource::Vm(_) => "vm",
        }
    }
}

/// Puts changes in force, logs them, and has them announced to the other VMs.
pub fn apply_evacuation_changes(
    gateway: &Gateway,
    changes: impl IntoIterator<Item = EvacuationChange>,
    source: EvacuationSource<'_>,
) {
    let mut has_changed = false;
    for change in changes {
        has_changed = true;
        let peer = match source {
            EvacuationSource::Vm(vm) => Some(vm.as_str()),
            _ => None,
        };
        let upstreams = gateway.upstreams.borrow().count_in(&change.data_centre);
        gateway
            .metrics
            .count_tagged("evacuation.changed", source.label());
        info!(gateway.log, "evacuation changed"; "data_centre" => %change.data_centre,
            "evacuated" => change.is_evacuated, "revision" => %change.revision,
            "source" => source.label(), "peer" => peer,
            "age_ms" => change.age.as_millis() as u64, "upstreams" => upstreams);
        if !change.is_evacuated {
            begin_cold_after_evacuation(gateway, &change.data_centre);
        }
    }
    if !has_changed {
        return;
    }
    let evacuated = gateway.evacuations.borrow().evacuated();
    let count = evacuated.len() as u64;
    gateway.metrics.set_gauge("evacuation.data_centres", count);
    gateway.upstreams.borrow_mut().set_evacuated(evacuated);
    gateway.gossip_notify.notify_one();
}
