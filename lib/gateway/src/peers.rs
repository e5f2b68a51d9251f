//! Membership table of the fleet, from VM records in the store and from gossip.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::DataCentre;
use snipegate_types::VmId;

use crate::stage::VmStage;

/// A VM counts as silent after this time without a gossip message.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// A VM that the store no longer lists is removed after this time without a gossip message.
const FORGET_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Record that a VM announces in the store and by gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Id of the VM.
    pub vm: VmId,
    /// Random id of the run of its process.
    pub incarnation: u64,
    /// Address on which callers connect.
    pub front: SocketAddr,
    /// Address of its gossip socket.
    pub gossip: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Its lifecycle stage.
    pub stage: VmStage,
}

#[derive(Debug)]
struct PeerState {
    record: VmRecord,
    listed: bool,
    last_heard: Option<Instant>,
    /// Whether it reaches the store, by its last message.
    reaches_store: bool,
}

/// Whether another VM can take callers, as far as gossip tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerContact {
    /// It serves and is heard.
    Heard,
    /// It served when it was last heard of, and is silent.
    Silent,
    /// It does not serve, or is not known.
    NotServing,
}

/// Recipients of a gossip message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipTargets {
    /// VMs that only process the message.
    pub direct: Vec<SocketAddr>,
    /// VMs that also relay the message to the others of their data centre.
    pub relays: Vec<SocketAddr>,
}

/// Other VMs by id.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: IndexMap<VmId, PeerState>,
}

impl PeerTable {
    /// Applies a VM record read from the store. It may be older than what the VM itself
    /// announces.
    pub fn put_listed(&mut self, record: VmRecord, now: Instant) {
        match self.peers.get_mut(&record.vm) {
            Some(peer) => {
                let is_same_run = record.incarnation == peer.record.incarnation;
                if peer.is_silent(now) || (is_same_run && record.stage == VmStage::Leaving) {
                    peer.record = record;
                }
                peer.listed = true;
            }
            None => {
                let vm = record.vm.clone();
                let state = PeerState {
                    record,
                    listed: true,
                    last_heard: None,
                    reaches_store: true,
                };
                self.peers.insert(vm, state);
            }
        }
    }

    /// Applies the removal of a VM record from the store.
    pub fn remove_listed(&mut self, vm: &VmId) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.listed = false;
        }
    }

    /// Applies a full listing of the VM records in the store.
    pub fn replace_listed(&mut self, records: Vec<VmRecord>, now: Instant) {
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for record in records {
            self.put_listed(record, now);
        }
    }

    /// Applies a VM record received by gossip. Returns whether the VM was silent or unknown
    /// before.
    pub fn apply_gossip(&mut self, record: VmRecord, reaches_store: bool, now: Instant) -> bool {
        let Some(peer) = self.peers.get_mut(&record.vm) else {
            let state = PeerState {
                record: record.clone(),
                listed: false,
                last_heard: Some(now),
                reaches_store,
            };
            self.peers.insert(record.vm, state);
            return true;
        };
        let was_silent = peer.is_silent(now);
        peer.record = record;
        peer.last_heard = Some(now);
        peer.reaches_store = reaches_store;
        was_silent
    }

    /// Removes VMs that are neither listed in the store nor recently heard.
    pub fn remove_gone(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            peer.listed
                || peer
                    .last_heard
                    .is_some_and(|at| now.saturating_duration_since(at) < FORGET_TIMEOUT)
        });
    }

    /// Returns the recipients of a gossip message from a VM in data centre `own`.
    ///
    /// Each VM gets the message directly, except in other data centres with at least
    /// `min_vms_for_relay` VMs: there one VM that is not silent is picked at random, in
    /// proportion to `relay_weight`, to relay it to the others, as long as there is one.
    pub fn gossip_targets(
        &self,
        own: &DataCentre,
        min_vms_for_relay: usize,
        relay_weight: impl Fn(&VmId) -> f64,
        now: Instant,
    ) -> GossipTargets {
        let mut by_data_centre: IndexMap<&DataCentre, Vec<&PeerState>> = IndexMap::new();
        for peer in self.peers.values() {
            let data_centre = &peer.record.data_centre;
            by_data_centre.entry(data_centre).or_default().push(peer);
        }
        let mut targets = GossipTargets::default();
        for (data_centre, peers) in by_data_centre {
            let live = peers.iter().filter(|p| !p.is_silent(now));
            let weighted = live.map(|p| (p, relay_weight(&p.record.vm))).collect();
            let relay = choose_weighted(weighted).filter(|_| peers.len() >= min_vms_for_relay);
            match relay {
                Some(relay) if data_centre != own => targets.relays.push(relay.record.gossip),
                _ => targets
                    .direct
                    .extend(peers.iter().map(|peer| peer.record.gossip)),
            }
        }
        targets
    }

    /// Returns the gossip addresses of the other VMs in a data centre.
    pub fn gossip_addresses_in(&self, data_centre: &DataCentre) -> Vec<SocketAddr> {
        self.peers
            .values()
            .map(|peer| &peer.record)
            .filter(|record| record.data_centre == *data_centre)
            .map(|record| record.gossip)
            .collect()
    }

    /// Returns the ids of the VMs that are not silent, whatever their stage.
    pub fn heard(&self, now: Instant) -> impl Iterator<Item = &VmId> {
        let heard = self
            .peers
            .iter()
            .filter(move |(_, peer)| !peer.is_silent(now));
        heard.map(|(vm, _)| vm)
    }

    /// Returns the serving VMs that are not silent.
    pub fn live_serving(&self, now: Instant) -> impl Iterator<Item = &VmRecord> {
        self.live_serving_peers(now).map(|peer| &peer.record)
    }

    /// Returns the serving VMs that are not silent and reach the store.
    pub fn reaching_store(&self, now: Instant) -> impl Iterator<Item = &VmRecord> {
        self.live_serving_peers(now)
            .filter(|peer| peer.reaches_store)
            .map(|peer| &peer.record)
    }

    fn live_serving_peers(&self, now: Instant) -> impl Iterator<Item = &PeerState> {
        self.peers
            .values()
            .filter(move |peer| !peer.is_silent(now))
            .filter(|peer| peer.record.stage == VmStage::Serving)
    }

    /// Returns whether a VM can take callers.
    pub fn contact(&self, vm: &VmId, now: Instant) -> PeerContact {
        match self.peers.get(vm) {
            Some(peer) if peer.record.stage != VmStage::Serving => PeerContact::NotServing,
            Some(peer) if peer.is_silent(now) => PeerContact::Silent,
            Some(_) => PeerContact::Heard,
            None => PeerContact::NotServing,
        }
    }

    /// Returns the ids of all other VMs, including silent ones.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.peers.keys()
    }

    /// Returns the gossip addresses of all other VMs, including silent ones.
    pub fn gossip_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.values().map(|peer| peer.record.gossip)
    }

    /// Returns the number of other VMs, including silent ones.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of other serving VMs, including silent ones.
    pub fn known_serving(&self) -> usize {
        self.peers
            .values()
            .filter(|peer| peer.record.stage == VmStage::Serving)
            .count()
    }

    /// Returns the other VMs that callers can use.
    ///
    /// A VM that was not heard from for `contact_timeout`, or never, is left out: it may have
    /// ended, also where the store lists it. If fewer than half of the other VMs are silent,
    /// the silent ones are left out at once; if more are, this VM may be the one that is cut off
    /// for a moment.
    pub fn serving(&self, contact_timeout: Duration, now: Instant) -> Vec<&VmRecord> {
        let silent = self
            .peers
            .values()
            .filter(|peer| peer.is_silent(now))
            .count();
        let exclude_silent = silent * 2 < self.peers.len();
        self.peers
            .values()
            .filter(|peer| peer.record.stage == VmStage::Serving)
            .filter(|peer| peer.listed || !peer.is_silent(now))
            .filter(|peer| !peer.is_out_of_contact(contact_timeout, now))
            .filter(|peer| !exclude_silent || !peer.is_silent(now))
            .map(|peer| &peer.record)
            .collect()
    }
}

/// Returns the addresses of VMs for callers in `data_centre`, those of VMs in the same data
/// centre first.
pub fn addresses_of(records: &[&VmRecord], data_centre: Option<&str>) -> Vec<SocketAddr> {
    let is_local = |record: &&VmRecord| Some(record.data_centre.as_str()) == data_centre;
    let (mut local, remote): (Vec<&VmRecord>, Vec<&VmRecord>) =
        records.iter().copied().partition(is_local);
    local.extend(remote);
    let addresses = local.iter().map(|record| record.front);
    addresses.take(MAX_ADDRESSES).collect()
}

/// Chooses one of the items at random, in proportion to their weights.
fn choose_weighted<T>(items: Vec<(T, f64)>) -> Option<T> {
    let total: f64 = items.iter().map(|(_, weight)| weight).sum();
    let mut left = fastrand::f64() * total;
    let is_chosen = |(_, weight): &(T, f64)| {
        left -= weight;
        left < 0.0
    };
    items.into_iter().find(is_chosen).map(|(item, _)| item)
}

impl PeerState {
    fn is_silent(&self, now: Instant) -> bool {
        self.is_out_of_contact(SILENCE_TIMEOUT, now)
    }

    fn is_out_of_contact(&self, after: Duration, now: Instant) -> bool {
        self.last_heard
            .is_none_or(|at| now.saturating_duration_since(at) > after)
    }
}
