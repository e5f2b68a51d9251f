//! The loops by which a keeper follows other keepers and sends them heartbeats.

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
use crate::follower::PEER_QUERY_WAIT;
use crate::follower::VIEW_PATH;
use crate::member_table::HEARTBEAT_PERIOD;
use crate::member_table::HEARTBEAT_TIMEOUT;
use crate::member_table::Heartbeat;
use crate::service::FleetCore;
use crate::source_plan::peers_to_follow;
use crate::view_state::MergeOutcome;

/// Time allowed for a reply in addition to the wait time of the query.
const REPLY_MARGIN: Duration = Duration::from_millis(1_000);
/// Interval between queries to random peers.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Age of a peer's view from which another peer is tried.
const MAX_PEER_AGE: Duration = Duration::from_secs(3);

impl FleetCore {
    /// Follows the preferred peer while its view is fresh, and queries random peers
    /// otherwise.
    ///
    /// With random queries, a change that any keeper has reaches all keepers in a number
    /// of rounds that is logarithmic in the size of the fleet, even if few keepers can
    /// reach the store.
    pub(crate) async fn follow_peers(&self) {
        let client = MessageClient::new();
        let mut followed: Option<SocketAddr> = None;
        let mut searching = false;
        loop {
            let candidates = self.peers();
            let current = followed.filter(|address| candidates.contains(address));
            let Some(address) = current.or_else(|| candidates.first().copied()) else {
                sleep(PEER_QUERY_WAIT).await;
                continue;
            };
            let wait = if searching {
                Duration::ZERO
            } else {
                PEER_QUERY_WAIT
            };
            searching = !matches!(self.query_peer(&client, address, wait).await, Ok(true));
            followed = Some(address);
            if searching {
                self.context.metrics.count("fleet.peer_searches");
                followed = fastrand::choice(candidates);
                sleep(SEARCH_INTERVAL).await;
            }
        }
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let member = &self.settings.member;
        let watchers = self.state.borrow().watchers.clone();
        let mut peers = peers_to_follow(&view, &watchers, &self.own_id().vm, &member.data_centre);
        if peers.is_empty() {
            peers.clone_from(&self.settings.seeds);
            peers.retain(|address| *address != member.peer());
        }
        peers
    }

    /// Queries a peer once and returns whether its view is fresh.
    async fn query_peer(
        &self,
        client: &MessageClient,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<bool, CallError> {
        let requested_at = self.clock.now();
        let after = self.state.borrow().view_state.complete_to();
        let query = ViewQuery {
            asker: None,
            leaving: false,
            after,
            scope: ViewScope::Whole,
            liveness_version: None,
            wait_ms: wait.as_millis() as u64,
        };
        let timeout = wait + REPLY_MARGIN;
        let reply: ViewReply = client.call(address, VIEW_PATH, &query, timeout).await?;
        let Some(age_ms) = reply.age_ms else {
            return Ok(false);
        };
        let outcome = self
            .state
            .borrow_mut()
            .view_state
            .apply_reply(after, &reply, requested_at);
        if outcome == MergeOutcome::Behind {
            return Ok(false);
        }
        self.publish(outcome);
        let fresh = Duration::from_millis(age_ms) < MAX_PEER_AGE;
        if fresh && self.can_rely_on(reply.source.as_ref()) {
            self.state.borrow_mut().fresh_peer_reply_at = Some(self.clock.now());
        }
        Ok(fresh)
    }

    /// Returns whether this keeper can stop watching the store because `source` watches
    /// it.
    ///
    /// A state that originates from this keeper does not count. If two keepers watch
    /// without being among the selected watchers, only the one with the higher VM ID may
    /// stop in favour of the other.
    fn can_rely_on(&self, source: Option<&IncarnationId>) -> bool {
        let own_id = self.own_id();
        source.is_some_and(|source| {
            let is_watcher = self.state.borrow().watchers.contains(&source.vm);
            source.vm != own_id.vm && (is_watcher || source.vm < own_id.vm)
        })
    }

    /// Sends heartbeats to a few keepers in each round, and refreshes the liveness.
    pub(crate) async fn send_heartbeats(&self) {
        let client = MessageClient::new();
        loop {
            let started = self.clock.now();
            let probes = self.state.borrow_mut().table.probes();
            join_all(
                probes
                    .iter()
                    .map(|member| self.send_heartbeat(&client, member)),
            )
            .await;
            self.refresh_liveness();
            sleep(remaining_period(started, self.clock.now())).await;
        }
    }

    async fn send_heartbeat(&self, client: &MessageClient, member: &IncarnationId) {
        let Some(address) = self.view().peer_address(member) else {
            return;
        };
        let heartbeat = self.state.borrow_mut().table.heartbeat(member);
        let answer: Result<Heartbeat, CallError> = client
            .call(address, HEARTBEAT_PATH, &heartbeat, HEARTBEAT_TIMEOUT)
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

fn remaining_period(started: Instant, now: Instant) -> Duration {
    HEARTBEAT_PERIOD.saturating_sub(now.saturating_duration_since(started))
}
