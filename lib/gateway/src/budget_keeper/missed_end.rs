//! Reads a shard again in which a process of another VM may have ended.
//!
//! After a return of the store, whatever an ended process may have held counts as taken unless
//! some process has read its end. A keeper that has enough tokens writes nothing for seconds, so
//! it would not learn of the end before the return.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use slog::info;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;

use super::ShardWorker;
use crate::budget_exchange::SHARDS;
use crate::budget_exchange::remote_duty_holder;
use crate::budget_shard::BudgetShard;
use crate::gateway::Gateway;
use crate::gateway::stable_hash;
use crate::gossip::PeerMessage;
use crate::shard_writer::WriterLevel;
use crate::shard_writer::WriterState;

/// Notice that the sender's process has ended in a shard of the budget records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardEnd {
    /// Number of the shard.
    pub shard: u64,
    /// Revision of the shard that shows the end.
    pub revision: StoreRevision,
}

/// Records the end of another VM's process.
pub fn handle_shard_end(gateway: &Gateway, sender: SocketAddr, end: ShardEnd) {
    if end.shard >= SHARDS {
        gateway.metrics.count("gossip.malformed");
        return;
    }
    let mut ends = gateway.shard_ends.borrow_mut();
    let known = ends.entry(end.shard).or_default();
    *known = (*known).max(end.revision);
    drop(ends);
    info!(gateway.log, "process ended in budget records"; "shard" => end.shard,
        "revision" => %end.revision, "sender" => %sender);
    gateway.grant_notify.notify_one();
}

impl ShardWorker {
    /// Tells the VMs that are registered in the shard that this process has ended in it.
    pub(super) fn announce_end(&self, gateway: &Gateway) {
        if self.registration.is_immediate() || !self.is_loaded {
            return;
        }
        let end = ShardEnd {
            shard: self.number,
            revision: self.revision,
        };
        let now = gateway.now();
        let peers = gateway.peers.borrow();
        for peer in peers.live_serving(now) {
            if is_registered(&self.shard, stable_hash(peer.vm.as_str())) {
                gateway.send_direct(peer.gossip, PeerMessage::ShardEnd(end));
            }
        }
    }

    /// Reads the shard again if a process may have ended in it since it was last read.
    pub(super) async fn read_missed_ends<S: ConfigStore>(
        &mut self,
        gateway: &Gateway,
        store: &S,
    ) -> Result<(), StoreError> {
        let is_current = self.is_loaded && self.shard.era == self.revision.era;
        if !is_current
            || self.registration.is_immediate()
            || gateway.store_contact.get().is_failing()
        {
            return Ok(());
        }
        let silent = self.silent_writers(gateway);
        let is_new = |vm: &u64| !self.silent_writers.contains(vm);
        let is_silent = silent.iter().any(is_new);
        if is_silent || self.has_announced_end(gateway) {
            info!(gateway.log, "budget records read for an end"; "shard" => self.number,
                "revision" => %self.revision, "silent" => is_silent);
            self.load(gateway, store).await?;
        }
        self.silent_writers = silent;
        Ok(())
    }

    /// Returns whether another VM's process has ended in a later state of the shard. The VMs that
    /// may be granted whole budgets have to know.
    fn has_announced_end(&self, gateway: &Gateway) -> bool {
        let ends = gateway.shard_ends.borrow();
        let end = ends.get(&self.number);
        let own = self.shard.writer(stable_hash(gateway.settings.vm.as_str()));
        let is_later = |end: &StoreRevision| end.era == self.revision.era && *end > self.revision;
        own.is_some_and(|own| own.announced == WriterLevel::Full) && end.is_some_and(is_later)
    }

    /// Returns the registered VMs whose processes run by the records and are not heard, if this
    /// VM has to watch for that. They may have ended and their notices been lost.
    fn silent_writers(&self, gateway: &Gateway) -> Vec<u64> {
        let now = gateway.now();
        if remote_duty_holder(gateway, self.number, now).is_some() {
            return Vec::new();
        }
        let own = stable_hash(gateway.settings.vm.as_str());
        let peers = gateway.peers.borrow();
        let heard: Vec<u64> = peers
            .heard(now)
            .map(|vm| stable_hash(vm.as_str()))
            .collect();
        let running = self.shard.writers.iter().filter(|writer| {
            writer.state == WriterState::Running && writer.announced > WriterLevel::None
        });
        let vms = running.map(|writer| writer.vm);
        vms.filter(|vm| *vm != own && !heard.contains(vm)).collect()
    }
}

fn is_registered(shard: &BudgetShard, vm: u64) -> bool {
    let writer = shard.writer(vm);
    writer.is_some_and(|writer| writer.announced > WriterLevel::None)
}
