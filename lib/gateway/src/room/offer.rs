//! How many requests a VM can take, as other VMs are told.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::RequestRate;

use crate::room::load_meter::LoadSample;
use crate::room::notice::RoomUse;

/// Processor time that a request takes, in seconds.
const REQUEST_SECONDS: f64 = 0.002;

/// Size of a request with its response that is assumed while there are few, in bytes.
const ASSUMED_REQUEST_BYTES: f64 = 8e3;

/// Number of requests that this assumption counts as.
const ASSUMED_REQUESTS: f64 = 20.0;

/// Time in which the weight of a request in the mean size decays to 1/e.
const SIZE_DECAY_TIME: Duration = Duration::from_secs(30);

/// Time in which the weight of a sample in what is free decays to 1/e. Callers keep answers for
/// seconds, so the load follows an offer late; an offer that followed the load as fast would
/// oscillate with it.
const FREE_DECAY_TIME: Duration = Duration::from_secs(15);

/// Factor by which an offer has to change for other VMs to be told. Smaller changes would
/// send callers from VM to VM for nothing.
const STEADY_FACTOR: f64 = 1.25;

/// Requests per second that a VM can take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VmOffer {
    /// In all.
    pub capacity: RequestRate,
    /// In addition to its present load, weighted by the share that is free, so that a VM gets
    /// ever fewer callers as it fills up.
    pub free: RequestRate,
}

/// Derives the offer of a VM from samples of its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct OfferMeter {
    /// Sums over recent requests, weighted by exponential decay.
    bytes: f64,
    requests: f64,
    /// Mean of what was free.
    free: f64,
    offer: VmOffer,
}

impl OfferMeter {
    /// Creates the meter of a VM that has just started.
    pub fn new(room: &RoomUse) -> Self {
        let mut meter = Self::default();
        meter.update(room, 1.0);
        meter
    }

    /// Returns the offer.
    pub fn offer(&self) -> VmOffer {
        self.offer
    }

    /// Applies a sample, after which the VM has this room. A VM that is overloaded offers
    /// nothing, and what it offers afterwards grows slowly.
    pub fn record(&mut self, sample: &LoadSample, room: &RoomUse, is_overloaded: bool) {
        let seconds = sample.span.as_secs_f64();
        let decay = (-seconds / SIZE_DECAY_TIME.as_secs_f64()).exp();
        self.bytes = self.bytes * decay + sample.streams.0 * seconds;
        self.requests = self.requests * decay + sample.requests.0 * seconds;
        let weight = 1.0 - (-seconds / FREE_DECAY_TIME.as_secs_f64()).exp();
        if is_overloaded {
            self.free = 0.0;
        }
        self.update(room, weight);
    }

    fn update(&mut self, room: &RoomUse, weight: f64) {
        let bytes = self.bytes + ASSUMED_REQUEST_BYTES * ASSUMED_REQUESTS;
        let request_bytes = bytes / (self.requests + ASSUMED_REQUESTS);
        let by_processor = room.cores / REQUEST_SECONDS;
        let by_link = |rate: f64| match room.link {
            Some(_) => rate / request_bytes,
            None => by_processor,
        };
        let usable = room.usable_link().0;
        let capacity = by_processor.min(by_link(usable));
        let free = by_processor.min(by_link((usable - room.load.traffic().0).max(0.0)));
        update_announced(&mut self.offer.capacity, capacity);
        let free_share = f64::from(room.load.free.least());
        self.free += (free * free_share - self.free) * weight;
        update_announced(&mut self.offer.free, self.free);
    }
}

/// Sets the announced rate if the new one differs from it by more than [`STEADY_FACTOR`].
fn update_announced(announced: &mut RequestRate, rate: f64) {
    let is_steady = rate <= announced.0 * STEADY_FACTOR && rate >= announced.0 / STEADY_FACTOR;
    if !is_steady {
        *announced = RequestRate(rate);
    }
}
