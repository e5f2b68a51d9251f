//! The choice of addresses for a caller, in proportion to what VMs can take.
//!
//! The choice keeps no state, and a small change of a weight changes few answers: a caller drops
//! connections to addresses that a newer answer does not name, and many callers that change at
//! the same time overload the VMs that they go to.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use snipegate_types::weighted_rank;
use strum::IntoStaticStr;

use crate::directory::candidate::AddressCandidate;

/// Ratio of the capacities of two VMs from which on answers depend on them.
const UNEVEN_RATIO: f64 = 2.0;

/// Maximum number of addresses in an answer that depends on capacities.
const MAX_NAMED: usize = 4;

/// An answer names at least this many VMs where there are as many, since one may fail.
const MIN_NAMED: usize = 2;

/// While this share of the capacity of the caller's data centre is free, no other one is named.
const SUFFICIENT_SHARE: f64 = 1.0 / 3.0;

/// At or below this free share, VMs of other data centres have their full weight. Between the two
/// shares the weight is linear, since a step would make callers oscillate between data centres.
const SCARCE_SHARE: f64 = 1.0 / 6.0;

/// Weight of VMs of other data centres, in relation to those of the caller's.
const REMOTE_WEIGHT: f64 = 0.25;

/// VMs whose weight is below this share of the largest one are not named.
const MIN_SHARE: f64 = 0.1;

/// From this share on VMs have their full weight.
const FULL_SHARE: f64 = 0.2;

/// What an answer is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ChoiceBasis {
    /// VMs of the caller's data centre.
    Local,
    /// VMs of all data centres, since those of the caller's have little room.
    Spilled,
    /// All VMs, since none is ready and not overloaded.
    NoneOpen,
}

/// Addresses for a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressChoice {
    /// The addresses; the order has no meaning.
    pub addresses: Vec<SocketAddr>,
    /// What they were chosen from.
    pub basis: ChoiceBasis,
    /// Whether a VM of the caller's data centre is known.
    pub is_known_data_centre: bool,
    /// Number of VMs that are ready and not overloaded.
    pub open: usize,
    /// Requests per second that those in the caller's data centre can take in addition.
    pub local_free: f64,
    /// Requests per second that all VMs of the caller's data centre can take in all.
    pub local_capacity: f64,
    /// Age of the oldest notice that the choice depends on.
    pub oldest_notice: Duration,
}

/// A VM with the weight in the choice.
#[derive(Clone, Copy, Debug)]
struct WeightedVm<'a> {
    candidate: &'a AddressCandidate<'a>,
    is_local: bool,
    /// Requests per second that it can take in all.
    capacity: f64,
    weight: f64,
}

impl AddressChoice {
    /// Chooses addresses for a caller in a data centre. Returns `None` if the capacities of the
    /// VMs are not known to differ much, so that the choice does not depend on them.
    pub fn choose(
        candidates: &[AddressCandidate<'_>],
        data_centre: Option<&str>,
        caller: &str,
    ) -> Option<Self> {
        if !is_uneven(candidates) {
            return None;
        }
        let is_local = |candidate: &AddressCandidate<'_>| {
            Some(candidate.record.data_centre.as_str()) == data_centre
        };
        let means = MeanOffers::new(candidates);
        let weighted = candidates.iter().map(|candidate| {
            let weight = means.free_requests(candidate);
            WeightedVm {
                candidate,
                is_local: is_local(candidate),
                capacity: candidate
                    .last_offer
                    .map_or(weight, |offer| offer.capacity.0),
                weight,
            }
        });
        let mut weighted: Vec<WeightedVm<'_>> = weighted.collect();
        let local = || weighted.iter().filter(|vm| vm.is_local);
        let local_capacity: f64 = local().map(|vm| vm.capacity).sum();
        let is_known_data_centre = local().next().is_some();
        let oldest_notice = candidates.iter().map(|c| c.age).max().unwrap_or_default();

        let open = weighted.iter().filter(|vm| vm.candidate.is_open).count();
        if open > 0 {
            weighted.retain(|vm| vm.candidate.is_open);
        }
        let local = || weighted.iter().filter(|vm| vm.is_local);
        let local_free: f64 = local().map(|vm| vm.weight).sum();
        let remote_weight = match local().count() < MIN_NAMED {
            true => REMOTE_WEIGHT,
            false => REMOTE_WEIGHT * scarcity(local_free, local_capacity),
        };
        if weighted.iter().all(|vm| vm.weight == 0.0) {
            for vm in &mut weighted {
                vm.weight = vm.capacity;
            }
        }
        for vm in weighted.iter_mut().filter(|vm| !vm.is_local) {
            vm.weight *= remote_weight;
        }
        let basis = match remote_weight {
            _ if open == 0 => ChoiceBasis::NoneOpen,
            0.0 => ChoiceBasis::Local,
            _ => ChoiceBasis::Spilled,
        };
        Some(Self {
            addresses: name_vms(weighted, caller),
            basis,
            is_known_data_centre,
            open,
            local_free,
            local_capacity,
            oldest_notice,
        })
    }
}

/// Returns whether the capacities of the VMs differ by `UNEVEN_RATIO`.
fn is_uneven(candidates: &[AddressCandidate<'_>]) -> bool {
    let differ = |values: Vec<f64>| {
        let lowest = values.iter().copied().fold(f64::INFINITY, f64::min);
        let highest = values.iter().copied().fold(0.0, f64::max);
        highest >= lowest * UNEVEN_RATIO
    };
    let links = candidates.iter().filter_map(|c| c.link);
    let cores = candidates.iter().filter_map(|c| c.cores);
    differ(links.map(|link| link.0).collect()) || differ(cores.collect())
}

/// Means of what the open VMs can take in addition.
struct MeanOffers<'a> {
    by_data_centre: IndexMap<&'a str, f64>,
    overall: f64,
}

impl<'a> MeanOffers<'a> {
    fn new(candidates: &'a [AddressCandidate<'_>]) -> Self {
        let mut free: IndexMap<&str, Vec<f64>> = IndexMap::new();
        for candidate in candidates.iter().filter(|candidate| candidate.is_open) {
            if let Some(offer) = candidate.offer {
                let data_centre = candidate.record.data_centre.as_str();
                free.entry(data_centre).or_default().push(offer.free.0);
            }
        }
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
        let all: Vec<f64> = free.values().flatten().copied().collect();
        Self {
            overall: mean(&all),
            by_data_centre: free.iter().map(|(name, v)| (*name, mean(v))).collect(),
        }
    }

    /// Returns how many requests per second a VM can take in addition.
    ///
    /// A VM whose offer is not known gets the mean of its data centre, but not more than it
    /// could take in all: a small VM whose link is saturated loses its notices.
    fn free_requests(&self, candidate: &AddressCandidate<'_>) -> f64 {
        if let Some(offer) = candidate.offer {
            return offer.free.0;
        }
        let data_centre = candidate.record.data_centre.as_str();
        let mean = self.by_data_centre.get(data_centre);
        let mean = mean.copied().unwrap_or(self.overall);
        let capacity = candidate.last_offer.map(|offer| offer.capacity.0);
        mean.min(capacity.unwrap_or(f64::INFINITY))
    }
}

/// Returns how scarce the room of a data centre is, from 0 to 1, where the VMs can take `free`
/// of `capacity` requests per second in addition.
fn scarcity(free: f64, capacity: f64) -> f64 {
    let missing = capacity * SUFFICIENT_SHARE - free;
    let range = capacity * (SUFFICIENT_SHARE - SCARCE_SHARE);
    match missing > 0.0 {
        true => (missing / range).min(1.0),
        false => 0.0,
    }
}

/// Returns the addresses of VMs for a caller, each of which gets callers in proportion to its
/// weight.
///
/// Each of `MAX_NAMED` places goes to a VM by a weighted rendezvous hash of its own, so a VM
/// may get several. Naming the first `MAX_NAMED` of one order would give each of them the
/// same share of the caller's connections, which in a small data centre are nearly all VMs.
fn name_vms(mut vms: Vec<WeightedVm<'_>>, caller: &str) -> Vec<SocketAddr> {
    let largest = vms.iter().map(|vm| vm.weight).fold(0.0, f64::max);
    for vm in &mut vms {
        vm.weight = match largest > 0.0 {
            true => full_weight(vm.weight / largest),
            false => 1.0,
        };
    }
    vms.retain(|vm| vm.weight > 0.0);
    let mut named: IndexSet<SocketAddr> = IndexSet::new();
    named.extend((0..MAX_NAMED).filter_map(|place| choose_vm(&vms, caller, place)));
    while named.len() < MIN_NAMED {
        vms.retain(|vm| !named.contains(&vm.candidate.record.front));
        let Some(address) = choose_vm(&vms, caller, 0) else {
            break;
        };
        named.insert(address);
    }
    named.into_iter().collect()
}

/// Returns the address of the VM that gets a place in the answer to a caller.
fn choose_vm(vms: &[WeightedVm<'_>], caller: &str, place: usize) -> Option<SocketAddr> {
    let name = format!("{caller}/{place}");
    let rank = |vm: &WeightedVm<'_>| {
        let id = vm.candidate.record.vm.as_str();
        weighted_rank(&name, id, vm.weight)
    };
    let ranked = vms.iter().map(|vm| (rank(vm), vm.candidate.record.front));
    let first = ranked.min_by(|a, b| a.0.total_cmp(&b.0));
    first.map(|(_, address)| address)
}

/// Returns the weight of a VM by its share of the largest one, without a step at `MIN_SHARE`.
fn full_weight(share: f64) -> f64 {
    let part = (share - MIN_SHARE) / (FULL_SHARE - MIN_SHARE);
    share * part.clamp(0.0, 1.0)
}
