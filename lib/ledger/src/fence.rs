//! Reclaiming closing holders once every router has confirmed.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use snipegate_types::IncarnationId;

use crate::event::KeeperEffect;

/// The confirmations for one closing holder.
#[derive(Debug)]
struct FenceRound {
    /// The registered routers, once they are known.
    routers: Option<IndexSet<IncarnationId>>,
    answered: IndexSet<IncarnationId>,
    asked: Instant,
}

/// The confirmations that are awaited for closing holders.
///
/// They are not kept in the log: a new keeper asks everyone again.
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
    /// The routers are listed only now, since any that has something from the
    /// holder registered before the holder began to close.
    pub(crate) fn begin(&mut self, dead: &IncarnationId, now: Instant) -> Option<KeeperEffect> {
        if self.rounds.contains_key(dead) {
            return None;
        }
        let round = FenceRound {
            routers: None,
            answered: IndexSet::new(),
            asked: now,
        };
        self.rounds.insert(dead.clone(), round);
        Some(KeeperEffect::ListRouters { dead: dead.clone() })
    }

    /// Asks the registered routers.
    pub(crate) fn list_routers(
        &mut self,
        dead: &IncarnationId,
        routers: Vec<IncarnationId>,
        now: Instant,
    ) -> Vec<KeeperEffect> {
        let Some(round) = self.rounds.get_mut(dead) else {
            return Vec::new();
        };
        round.asked = now;
        let routers = routers.into_iter().filter(|router| router != dead);
        round.routers = Some(routers.collect());
        round.ask(dead)
    }

    pub(crate) fn answer(&mut self, router: IncarnationId, dead: &IncarnationId) {
        if let Some(round) = self.rounds.get_mut(dead) {
            round.answered.insert(router);
        }
    }

    /// Asks again whoever has not answered for `retry`.
    pub(crate) fn remind(&mut self, now: Instant, retry: Duration) -> Vec<KeeperEffect> {
        self.rounds
            .iter_mut()
            .filter(|(_, round)| now.duration_since(round.asked) >= retry)
            .flat_map(|(dead, round)| {
                round.asked = now;
                round.ask(dead)
            })
            .collect()
    }

    /// Returns the routers that have not answered.
    pub(crate) fn awaited(&self) -> impl Iterator<Item = &IncarnationId> {
        self.rounds
            .values()
            .filter_map(|round| Some((round, round.routers.as_ref()?)))
            .flat_map(|(round, routers)| routers.difference(&round.answered))
    }

    /// Ends the rounds in which every router has answered or is proven dead
    /// itself, and returns their holders.
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
    fn ask(&self, dead: &IncarnationId) -> Vec<KeeperEffect> {
        let Some(routers) = &self.routers else {
            return vec![KeeperEffect::ListRouters { dead: dead.clone() }];
        };
        routers
            .difference(&self.answered)
            .map(|router| KeeperEffect::AskFence {
                router: router.clone(),
                dead: dead.clone(),
            })
            .collect()
    }

    fn is_finished(&self, proven_dead: &IndexSet<IncarnationId>) -> bool {
        self.routers.as_ref().is_some_and(|routers| {
            routers
                .iter()
                .all(|router| self.answered.contains(router) || proven_dead.contains(router))
        })
    }
}
