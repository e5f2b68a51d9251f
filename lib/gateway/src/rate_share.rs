//! Divides an upstream's rate limit among the VMs without coordination.
//!
//! An overloaded upstream may accept fewer requests per second than the fleet has VMs. A
//! fixed share for each VM would then be one request in minutes, so a few VMs send for all.
//! VMs that receive each other's gossip agree on the senders by rendezvous hashing.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::RequestRate;

use crate::cold::log_cold_changes;
use crate::cold::update_cold_upstreams;
use crate::gateway::Gateway;
use crate::gateway::rendezvous_weight;
use crate::gateway::stable_hash;
use crate::stage::VmStage;

/// Rate up to which a single VM sends. Each additional sender can add one request at once,
/// so many senders would cause a burst.
const RATE_PER_SENDER: RequestRate = RequestRate(0.5);

/// Time after its start until a VM knows the others. Before, it may take itself for the only
/// one, as all others may that start at the same time, so it sends nothing to cold upstreams.
const FLEET_LEARNING_TIME: Duration = Duration::from_millis(1500);

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
    own_share_among(rate, view, usize::MAX)
}

/// Like [`own_share`], with at most `max_senders` VMs that send.
pub fn own_share_among(
    rate: RequestRate,
    view: ShareView,
    max_senders: usize,
) -> Option<RequestRate> {
    let part = view.live as f64 / view.known.max(view.live) as f64;
    let rate = rate.0 * part;
    let senders = (rate / RATE_PER_SENDER.0).ceil().max(1.0);
    let senders = (senders as usize).min(view.live).min(max_senders);
    (view.rank < senders).then(|| RequestRate(rate / senders as f64))
}

/// Recomputes this VM's shares from the VMs that are live now, if a refresh is due, and applies
/// what has changed of cold upstreams.
pub fn refresh_shares(gateway: &Gateway, now: Instant) {
    let changes = update_cold_upstreams(gateway, now);
    refresh_due_shares(gateway, now);
    log_cold_changes(gateway, &changes, now);
}

fn refresh_due_shares(gateway: &Gateway, now: Instant) {
    let mut rates = gateway.rates.borrow_mut();
    let mut cold = gateway.cold.borrow_mut();
    let (is_rate_due, is_cold_due) = (rates.is_refresh_due(now), cold.is_refresh_due(now));
    if !is_rate_due && !is_cold_due {
        return;
    }
    let peers = gateway.peers.borrow();
    let hash = |vm: &snipegate_types::VmId| stable_hash(vm.as_str());
    let live: Vec<u64> = peers.live_serving(now).map(|peer| hash(&peer.vm)).collect();
    let known = peers.known_serving() + 1;
    let own = hash(&gateway.settings.vm);
    let serves = gateway.stage.get() == VmStage::Serving;
    let view_of = |upstream: u64| {
        let weight = rendezvous_weight(own, upstream);
        let is_before = |peer: &&u64| rendezvous_weight(**peer, upstream) > weight;
        ShareView {
            live: live.len() + 1,
            known,
            rank: live.iter().filter(is_before).count(),
        }
    };
    if is_rate_due {
        let cold_senders = cold.senders();
        rates.refresh(now, |upstream, rate| {
            let max_senders = cold_senders.get(&upstream).copied().unwrap_or(usize::MAX);
            own_share_among(rate, view_of(upstream), max_senders.max(1)).filter(|_| serves)
        });
    }
    let since = gateway.serving_since.get();
    let knows_fleet =
        since.is_some_and(|at| now.saturating_duration_since(at) >= FLEET_LEARNING_TIME);
    cold.refresh(now, |upstream| {
        (serves && knows_fleet).then(|| view_of(upstream))
    });
}
