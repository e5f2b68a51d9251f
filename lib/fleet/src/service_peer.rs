//! How a keeper follows other keepers and watches over them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use ntex::time::sleep;
use snipegate_service::CallError;
use snipegate_service::MessageClient;
use snipegate_types::IncarnationId;

use crate::back_off::BackOff;
use crate::exchange::ViewQuery;
use crate::exchange::ViewReply;
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
/// Age of a peer's knowledge from which another peer is tried.
const PEER_FRESHNESS: Duration = Duration::from_secs(4);

impl FleetCore {
    /// Follows one peer after another, for as long as it answers freshly.
    pub(crate) async fn follow_peers(&self) {
        let client = MessageClient::new();
        let mut back_off = BackOff::new(Duration::from_millis(50), Duration::from_secs(1));
        let mut turn = 0_usize;
        loop {
            let candidates = self.peers();
            if candidates.is_empty() {
                sleep(VIEW_WAIT).await;
                continue;
            }
            let address = candidates[turn % candidates.len()];
            match self.ask_peer(&client, address).await {
                Ok(true) => back_off.succeeded(),
                Ok(false) | Err(_) => {
                    self.context.metrics.count("fleet.peer_failures");
                    turn = turn.wrapping_add(1);
                    sleep(back_off.failed()).await;
                }
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
    ) -> Result<bool, CallError> {
        let asked = self.clock.now();
        let after = self.state.borrow().keeper.complete_to();
        let query = ViewQuery {
            asker: None,
            leaving: false,
            after,
            liveness_version: None,
            wait_ms: VIEW_WAIT.as_millis() as u64,
        };
        let wait = VIEW_WAIT + REPLY_MARGIN;
        let reply: ViewReply = client.call(address, VIEW_PATH, &query, wait).await?;
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
        if fresh {
            self.state.borrow_mut().peer_answered = Some(self.clock.now());
        }
        Ok(fresh)
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
