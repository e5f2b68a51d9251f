//! Which keeper a process follows.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use snipegate_types::DataCentre;
use snipegate_types::ProcessRole;
use snipegate_types::VmId;

use crate::rendezvous::rendezvous_weight;
use crate::view::FleetView;

/// How long a process follows another keeper before it tries the first again.
const RETURN_AFTER: Duration = Duration::from_secs(5);
/// Shortest time between two tries that fail.
const FIRST_BACK_OFF: Duration = Duration::from_millis(50);
/// Longest time between two tries that fail.
const LONGEST_BACK_OFF: Duration = Duration::from_secs(1);

/// Decides which keeper to ask next: the one of the own VM as long as it
/// answers, then others of the data centre, then any that is known.
#[derive(Clone, Debug)]
pub struct FollowerPlan {
    vm: VmId,
    data_centre: DataCentre,
    first: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    /// How many answers have failed to come since the last one that came.
    failures: u32,
    /// Set while another keeper than the first is followed.
    away_since: Option<Instant>,
}

impl FollowerPlan {
    /// Makes the plan of a process on `vm`; `seeds` are asked while no keeper
    /// is known from the view.
    pub fn new(
        vm: VmId,
        data_centre: DataCentre,
        first: Option<SocketAddr>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            vm,
            data_centre,
            first,
            seeds,
            failures: 0,
            away_since: None,
        }
    }

    /// Returns the keeper to ask now, or `None` where none is known.
    pub fn choose(&mut self, view: &FleetView, now: Instant) -> Option<SocketAddr> {
        let back = self
            .away_since
            .is_some_and(|since| now.saturating_duration_since(since) >= RETURN_AFTER);
        if back {
            self.away_since = None;
            self.failures = 0;
        }
        let candidates = self.candidates(view);
        let at = self.failures as usize % candidates.len().max(1);
        if at > 0 && self.away_since.is_none() {
            self.away_since = Some(now);
        }
        candidates.get(at).copied()
    }

    /// Notes that the keeper asked has answered.
    pub fn answered(&mut self) {
        // The position stays, so a process that found another keeper keeps it
        // until it is time to try the first again.
        if self.away_since.is_none() {
            self.failures = 0;
        }
    }

    /// Notes that the keeper asked has not answered; returns how long to wait
    /// before the next try.
    pub fn failed(&mut self) -> Duration {
        let doubled = FIRST_BACK_OFF * 2_u32.pow(self.failures.min(5));
        self.failures = self.failures.wrapping_add(1);
        doubled.min(LONGEST_BACK_OFF)
    }

    fn candidates(&self, view: &FleetView) -> Vec<SocketAddr> {
        let mut keepers: Vec<_> = view
            .members(ProcessRole::Keeper)
            .filter(|entry| entry.id.0 != self.vm)
            .map(|entry| {
                let far = entry.record.data_centre != self.data_centre;
                let weight = rendezvous_weight(self.vm.as_str(), entry.id.0.as_str());
                let rank = (view.is_suspected(entry), far, u64::MAX - weight);
                (rank, entry.record.peer())
            })
            .collect();
        keepers.sort_unstable();
        let mut found: Vec<SocketAddr> = self.first.into_iter().collect();
        let others = keepers.into_iter().map(|(_, address)| address);
        for address in others.chain(self.seeds.iter().copied()) {
            if !found.contains(&address) {
                found.push(address);
            }
        }
        found
    }
}
