//! Selection of the keeper that a process follows.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use snipegate_types::DataCentre;
use snipegate_types::ProcessRole;
use snipegate_types::VmId;
use snipegate_types::rendezvous_weight;

use crate::view::FleetView;

/// How long a process follows a fallback keeper before it tries the preferred one
/// again.
const FALLBACK_TIME: Duration = Duration::from_secs(5);
/// Delay after the first failed query.
const INITIAL_BACK_OFF: Duration = Duration::from_millis(50);
/// Maximum delay after a failed query.
const MAX_BACK_OFF: Duration = Duration::from_secs(1);

/// Selects the keeper to query next: the keeper on the same VM while it answers, then
/// keepers in the same data centre, then any known keeper.
#[derive(Clone, Debug)]
pub struct FollowerPlan {
    vm: VmId,
    data_centre: DataCentre,
    preferred: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    /// Number of failed queries, which determines the position in the candidate list.
    failures: u32,
    /// Since when a keeper other than the preferred one is followed.
    fallback_since: Option<Instant>,
}

impl FollowerPlan {
    /// Creates the plan of a process on `vm`.
    ///
    /// `preferred` is the keeper on the same VM. The `seeds` come last, so that a
    /// keeper can be found while the view contains none.
    pub fn new(
        vm: VmId,
        data_centre: DataCentre,
        preferred: Option<SocketAddr>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            vm,
            data_centre,
            preferred,
            seeds,
            failures: 0,
            fallback_since: None,
        }
    }

    /// Returns the keeper to query now, or `None` if none is known.
    pub fn choose(&mut self, view: &FleetView, now: Instant) -> Option<SocketAddr> {
        let retry_preferred = self
            .fallback_since
            .is_some_and(|since| now.saturating_duration_since(since) >= FALLBACK_TIME);
        if retry_preferred {
            self.fallback_since = None;
            self.failures = 0;
        }
        let candidates = self.candidates(view);
        let position = self.failures as usize % candidates.len().max(1);
        if position > 0 && self.fallback_since.is_none() {
            self.fallback_since = Some(now);
        }
        candidates.get(position).copied()
    }

    /// Records that the queried keeper has answered.
    pub fn answered(&mut self) {
        // The position in the candidate list does not change, so a process that found a
        // fallback keeper follows it until it is time to retry the preferred one.
        if self.fallback_since.is_none() {
            self.failures = 0;
        }
    }

    /// Records that the queried keeper has not answered, and returns the delay before
    /// the next query.
    pub fn failed(&mut self) -> Duration {
        let delay = INITIAL_BACK_OFF * 2_u32.pow(self.failures.min(5));
        self.failures = self.failures.wrapping_add(1);
        delay.min(MAX_BACK_OFF)
    }

    fn candidates(&self, view: &FleetView) -> Vec<SocketAddr> {
        let mut keepers: Vec<_> = view
            .members(ProcessRole::Keeper)
            .filter(|entry| entry.id.0 != self.vm)
            .map(|entry| {
                let is_remote = entry.record.data_centre != self.data_centre;
                let weight = rendezvous_weight(self.vm.as_str(), entry.id.0.as_str());
                let rank = (view.is_suspected(entry), is_remote, u64::MAX - weight);
                (rank, entry.record.peer())
            })
            .collect();
        keepers.sort_unstable();
        let mut candidates: Vec<SocketAddr> = self.preferred.into_iter().collect();
        let others = keepers.into_iter().map(|(_, address)| address);
        for address in others.chain(self.seeds.iter().copied()) {
            if !candidates.contains(&address) {
                candidates.push(address);
            }
        }
        candidates
    }
}
