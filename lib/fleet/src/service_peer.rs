//! How a keeper follows other keepers and watches over them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use ntex::time::sleep;
use snipegate_service::CallError;
use snipegate_service::MessageClient;
use snipegate_types::IncarnationId;

use crate::exchange::ViewQuery;
use crate::exchange::ViewReply;
use crate::exchange::ViewScope;
use crate::fleet_handle::HEARTBEAT_PATH;
use crate::follower::VIEW_PATH;
use crate::follower::VIEW_WAIT;
use crate::member_table::HEARTBEAT_PERIOD;
use crate::member_table::HEARTBEAT_WAIT;
use crate::member_table::Heartbeat;
use crate::service::FleetCore;
use crate::source_plan::peers_to_follow;
use crate::view_keeper::MergeOutcome;

/// How long a reply may take beyond the wait that was asked for.
const REPLY_MARGIN: Duration = Duration::from_millis(1_000);
/// Time between two peers asked at random.
const SEARCH_PAUSE: Duration = Duration::from_millis(250);
/// Age of a peer's knowledge from which another peer is tried.
const PEER_FRESHNESS: Duration = Duration::from_secs(3);

impl FleetCore {
    /// Follows the best peer as long as it knows what is new. While it does not,
    /// peers are asked at random: a change that any keeper has then spreads in a
    /// number of rounds that grows with the logarithm of the fleet, also where
    /// few keepers reach the store.
    pub(crate) async fn follow_peers(&self) {
        let client = MessageClient::new();
        let mut chosen: Option<SocketAddr> = None;
        let mut searching = false;
        loop {
            let candidates = self.peers();
            let known = chosen.filter(|address| candidates.contains(address));
            let Some(address) = known.or_else(|| candidates.first().copied()) else {
                sleep(VIEW_WAIT).await;
                continue;
            };
            let wait = if searching { Duration::ZERO } else { VIEW_WAIT };
            searching = !matches!(self.ask_peer(&client, address, wait).await, Ok(true));
            chosen = Some(address);
            if searching {
                self.context.metrics.count("fleet.peer_searches");
                chosen = fastrand::choice(candidates);
                sleep(SEARCH_PAUSE).await;
            }
        }
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let member = &self.settings.member;
        let watchers = self.state.borrow().watchers.clone();
        let mut peers = peers_to_follow(&view, &watchers, &self.me().vm, &member.data_centre);
        if peers.is_empty() {
            peers.clone_from(&self.settings.seeds);
            peers.retain(|address| *address != member.peer());
        }
        peers
    }

    /// Asks a peer once; tells whether it is worth following on.
    async fn ask_peer(
        &self,
        client: &MessageClient,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<bool, CallError> {
        let asked = self.clock.now();
        let after = self.state.borrow().keeper.complete_to();
        let query = ViewQuery {
            asker: None,
            leaving: false,
            after,
            scope: ViewScope::Whole,
            liveness_version: None,
            wait_ms: wait.as_millis() as u64,
        };
        let limit = wait + REPLY_MARGIN;
        let reply: ViewReply = client.call(address, VIEW_PATH, &query, limit).await?;
        let Some(age_ms) = reply.age_ms else {
            return Ok(false);
        };
        let outcome = self
            .state
            .borrow_mut()
            .keeper
            .apply_reply(after, &reply, asked);
        if outcome == MergeOutcome::Behind {
            return Ok(false);
        }
        self.publish(outcome);
        let fresh = Duration::from_millis(age_ms) < PEER_FRESHNESS;
        if fresh && self.yields_to(reply.source.as_ref()) {
            self.state.borrow_mut().peer_answered = Some(self.clock.now());
        }
        Ok(fresh)
    }

    /// Tells whether this keeper need not watch the store because of what
    /// `source` hears from it.
    ///
    /// Knowledge that began here is no reason to stop watching, and of two
    /// keepers that watch out of need only one may stop for the other.
    fn yields_to(&self, source: Option<&IncarnationId>) -> bool {
        let me = self.me();
        source.is_some_and(|source| {
            let chosen = self.state.borrow().watchers.contains(&source.vm);
            source.vm != me.vm && (chosen || source.vm < me.vm)
        })
    }

    /// Sends heartbeats to a few keepers in each round.
    pub(crate) async fn send_heartbeats(&self) {
        let client = MessageClient::new();
        loop {
            let began = self.clock.now();
            let probes = self.state.borrow_mut().table.probes();
            join_all(probes.iter().map(|member| self.probe(&client, member))).await;
            self.refresh_liveness();
            sleep(remaining(began, self.clock.now())).await;
        }
    }

    async fn probe(&self, client: &MessageClient, member: &IncarnationId) {
        let Some(address) = self.view().peer_address(member) else {
            return;
        };
        let beat = self.state.borrow_mut().table.heartbeat(member);
        let answer: Result<Heartbeat, CallError> = client
            .call(address, HEARTBEAT_PATH, &beat, HEARTBEAT_WAIT)
            .await;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match answer {
            Ok(answer) => state.table.receive(&answer, now),
            Err(_) => {
                self.context.metrics.count("fleet.heartbeat_failures");
                state.table.probe_failed(member, now);
            }
        }
    }
}

fn remaining(began: Instant, now: Instant) -> Duration {
    HEARTBEAT_PERIOD.saturating_sub(now.saturating_duration_since(began))
}
