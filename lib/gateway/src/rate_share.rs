//! Divides an upstream's rate limit among the VMs without coordination.
//!
//! An overloaded upstream may accept fewer requests per second than the fleet has VMs. A
//! fixed share for each VM would then be one request in minutes, so a few VMs send for all.
//! VMs that receive each other's gossip agree on the senders by rendezvous hashing.

use std::time::Instant;

use snipegate_types::RequestRate;

use crate::gateway::Gateway;
use crate::gateway::rendezvous_weight;
use crate::gateway::stable_hash;
use crate::stage::VmStage;

/// Rate up to which a single VM sends. Each additional sender can add one request at once,
/// so many senders would cause a burst.
const RATE_PER_SENDER: RequestRate = RequestRate(0.5);

/// A VM's view of the fleet for dividing a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareView {
    /// Number of serving VMs that are not silent, including this one.
    pub live: usize,
    /// Number of serving VMs, including silent ones and this one.
    pub known: usize,
    /// Number of the VMs in `live` that rank before this one at the upstream.
    pub rank: usize,
}

/// Returns this VM's share of a rate limit, or `None` if other VMs send.
///
/// VMs that receive each other's gossip divide only the part of the rate that matches their
/// share of the known VMs: silent VMs may be partitioned rather than gone, and may be
/// sending as well.
pub fn own_share(rate: RequestRate, view: ShareView) -> Option<RequestRate> {
    let part = view.live as f64 / view.known.max(view.live) as f64;
    let rate = rate.0 * part;
    let senders = (rate / RATE_PER_SENDER.0).ceil().max(1.0);
    let senders = (senders as usize).min(view.live);
    (view.rank < senders).then(|| RequestRate(rate / senders as f64))
}

/// Recomputes this VM's shares from the VMs that are live now, if a refresh is due.
pub fn refresh_shares(gateway: &Gateway, now: Instant) {
    let mut rates = gateway.rates.borrow_mut();
    if !rates.is_refresh_due(now) {
        return;
    }
    let peers = gateway.peers.borrow();
    let hash = |vm: &snipegate_types::VmId| stable_hash(vm.as_str());
    let live: Vec<u64> = peers.live_serving(now).map(|peer| hash(&peer.vm)).collect();
    let known = peers.known_serving() + 1;
    let own = hash(&gateway.settings.vm);
    let serves = gateway.stage.get() == VmStage::Serving;
    rates.refresh(now, |upstream, rate| {
        let weight = rendezvous_weight(own, upstream);
        let is_before = |peer: &&u64| rendezvous_weight(**peer, upstream) > weight;
        let view = ShareView {
            live: live.len() + 1,
            known,
            rank: live.iter().filter(is_before).count(),
        };
        own_share(rate, view).filter(|_| serves)
    });
}
