//! Messages by which VMs tell each other of evacuations.

use std::net::SocketAddr;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::VmId;
use tokio::net::UdpSocket;

use crate::evacuation::EvacuationSource;
use crate::evacuation::apply_evacuation_changes;
use crate::evacuation::table::EvacuationState;
use crate::gateway::Gateway;
use crate::gossip::PeerMessage;
use crate::gossip::send_to;
use crate::peers::GossipTargets;

/// Every n-th gossip message is followed by a notice of all evacuations.
const ALL_EVERY: u64 = 8;

/// What a VM knows of evacuations: recent changes, or all that are in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvacuationNotice {
    /// The VM that sends it.
    pub sender: VmId,
    /// What it knows.
    pub states: Vec<EvacuationState>,
}

/// Sends what is due to be announced after the gossip message with this number.
pub fn send_evacuations(
    gateway: &Gateway,
    socket: &UdpSocket,
    targets: &GossipTargets,
    number: u64,
    now: Instant,
) {
    let Some(notice) = due_notice(gateway, number.is_multiple_of(ALL_EVERY), now) else {
        return;
    };
    let direct = PeerMessage::EvacuationNotice(notice.clone());
    send_to(gateway, socket, &direct, &targets.direct);
    let relayed = PeerMessage::RelayEvacuationNotice(notice);
    send_to(gateway, socket, &relayed, &targets.relays);
    gateway.metrics.count("evacuation.notice_sent");
}

/// Sends all evacuations to a VM that may know none.
pub fn send_evacuations_to(gateway: &Gateway, target: SocketAddr, now: Instant) {
    gateway.evacuations.borrow_mut().announce_all(now);
    if let Some(notice) = due_notice(gateway, true, now) {
        gateway.send_direct(target, PeerMessage::EvacuationNotice(notice));
    }
}

fn due_notice(
    gateway: &Gateway,
    includes_all: bool,
    now: Instant,
) -> Option<Box<EvacuationNotice>> {
    let states = gateway.evacuations.borrow().announced(includes_all, now);
    let sender = gateway.settings.vm.clone();
    (!states.is_empty()).then(|| Box::new(EvacuationNotice { sender, states }))
}

/// Applies another VM's notice.
pub fn apply_evacuation_notice(gateway: &Gateway, notice: &EvacuationNotice) {
    if notice.sender == gateway.settings.vm {
        return;
    }
    gateway.metrics.count("evacuation.notice_received");
    let now = gateway.now();
    for state in &notice.states {
        let change = gateway.evacuations.borrow_mut().apply_announced(state, now);
        let source = EvacuationSource::Vm(&notice.sender);
        apply_evacuation_changes(gateway, change, source);
    }
}
