//! Tracks the fence confirmations that are needed before closing holders are reclaimed.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use snipegate_types::IncarnationId;

use crate::event::KeeperEffect;

/// The fence confirmations for one closing holder.
#[derive(Debug)]
struct FenceRound {
    /// The registered routers, or `None` until they are listed.
    routers: Option<IndexSet<IncarnationId>>,
    confirmed: IndexSet<IncarnationId>,
    last_requested: Instant,
}

/// The pending fence confirmations for all closing holders.
///
/// They are not recorded in the log; a new keeper asks all routers again.
#[derive(Debug, Default)]
pub(crate) struct FenceRounds {
    rounds: IndexMap<IncarnationId, FenceRound>,
}

impl FenceRounds {
    pub(crate) fn clear(&mut self) {
        self.rounds.clear();
    }

    /// Starts a round for a holder whose closing is durable.
    ///
    /// Listing the routers at this point is sufficient: any router that has
    /// received something from the holder registered before the holder was closed.
    pub(crate) fn start(&mut self, dead: &IncarnationId, now: Instant) -> Option<KeeperEffect> {
        if self.rounds.contains_key(dead) {
            return None;
        }
        let round = FenceRound {
            routers: None,
            confirmed: IndexSet::new(),
            last_requested: now,
        };
        self.rounds.insert(dead.clone(), round);
        Some(KeeperEffect::ListRouters { dead: dead.clone() })
    }

    /// Sets the registered routers and asks them to confirm.
    pub(crate) fn set_routers(
        &mut self,
        dead: &IncarnationId,
        routers: Vec<IncarnationId>,
        now: Instant,
    ) -> Vec<KeeperEffect> {
        let Some(round) = self.rounds.get_mut(dead) else {
            return Vec::new();
        };
        round.last_requested = now;
        let routers = routers.into_iter().filter(|router| router != dead);
        round.routers = Some(routers.collect());
        round.requests(dead)
    }

    pub(crate) fn record_confirmation(&mut self, router: IncarnationId, dead: &IncarnationId) {
        if let Some(round) = self.rounds.get_mut(dead) {
            round.confirmed.insert(router);
        }
    }

    /// Repeats the outstanding requests of rounds that last sent any at least
    /// `retry` ago.
    pub(crate) fn repeat_requests(&mut self, now: Instant, retry: Duration) -> Vec<KeeperEffect> {
        self.rounds
            .iter_mut()
            .filter(|(_, round)| now.duration_since(round.last_requested) >= retry)
            .flat_map(|(dead, round)| {
                round.last_requested = now;
                round.requests(dead)
            })
            .collect()
    }

    /// Returns the routers that have not confirmed.
    pub(crate) fn unconfirmed_routers(&self) -> impl Iterator<Item = &IncarnationId> {
        self.rounds
            .values()
            .filter_map(|round| Some((round, round.routers.as_ref()?)))
            .flat_map(|(round, routers)| routers.difference(&round.confirmed))
    }

    /// Removes the rounds in which every router has confirmed or is itself proven
    /// dead, and returns their holders.
    pub(crate) fn take_finished(
        &mut self,
        proven_dead: &IndexSet<IncarnationId>,
    ) -> Vec<IncarnationId> {
        self.rounds
            .extract_if(.., |_, round| round.is_finished(proven_dead))
            .map(|(dead, _)| dead)
            .collect()
    }
}

impl FenceRound {
    fn requests(&self, dead: &IncarnationId) -> Vec<KeeperEffect> {
        let Some(routers) = &self.routers else {
            return vec![KeeperEffect::ListRouters { dead: dead.clone() }];
        };
        routers
            .difference(&self.confirmed)
            .map(|router| KeeperEffect::RequestFence {
                router: router.clone(),
                dead: dead.clone(),
            })
            .collect()
    }

    fn is_finished(&self, proven_dead: &IndexSet<IncarnationId>) -> bool {
        self.routers.as_ref().is_some_and(|routers| {
            routers
                .iter()
                .all(|router| self.confirmed.contains(router) || proven_dead.contains(router))
        })
    }
}
