//! Failure detection: heartbeats between keepers, which also disseminate the liveness
//! of all members.

use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;
use snipegate_types::VmId;

use crate::exchange::MemberLiveness;

/// Interval between rounds of heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Timeout of a heartbeat.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of keepers that receive a heartbeat in each round.
const PROBES_PER_ROUND: usize = 2;
/// Time for refuting a suspicion before it takes effect.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a query after which a follower of this keeper is suspected.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of queued updates in one heartbeat.
const MAX_UPDATES: usize = 8;
/// Number of times that a keeper transmits an update, per doubling of the fleet size.
const TRANSMITS_PER_DOUBLING: u32 = 3;

/// The liveness of one incarnation of a process, as exchanged between keepers.
///
/// Of two updates about the same incarnation, the one with the higher number takes
/// precedence. Only the process itself or a keeper that it follows increments the
/// number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The incarnation of the process.
    pub member: IncarnationId,
    /// Sequence number, incremented to refute a suspicion or when `store_lost` changes.
    pub number: u32,
    /// Whether it has failed to answer some keeper.
    pub suspected: bool,
    /// Whether it has announced that it is stopping. Never reset within an incarnation.
    pub leaving: bool,
    /// Whether it has reported that it cannot reach the store.
    pub store_lost: bool,
}

/// The request and response body of `POST /heartbeat`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sending keeper.
    pub sender: IncarnationId,
    /// The disseminated updates.
    pub updates: Vec<MemberUpdate>,
}

type MemberKey = (VmId, ProcessRole);

#[derive(Clone, Debug)]
struct MemberRow {
    update: MemberUpdate,
    /// When this keeper learned of the suspicion.
    suspected_since: Option<Instant>,
    /// When the process last queried this keeper.
    last_query_at: Option<Instant>,
    /// The number of times that the update is still to be transmitted.
    transmits_left: u32,
}

impl MemberRow {
    fn new(member: IncarnationId) -> Self {
        Self {
            update: MemberUpdate {
                member,
                number: 0,
                suspected: false,
                leaving: false,
                store_lost: false,
            },
            suspected_since: None,
            last_query_at: None,
            transmits_left: 0,
        }
    }

    fn set_suspected(&mut self, suspected: bool, now: Instant) {
        self.update.suspected = suspected;
        self.suspected_since = match (suspected, self.suspected_since) {
            (false, _) => None,
            (true, since) => since.or(Some(now)),
        };
    }

    fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_since
            .is_some_and(|since| now.saturating_duration_since(since) >= SUSPICION_TIMEOUT)
    }
}

/// A keeper's view of the liveness of all members.
///
/// In each round, a keeper sends heartbeats to a few others, in a shuffled order that
/// reaches every keeper once before it repeats. Updates are piggybacked on the
/// heartbeats, so the traffic per node does not grow with the fleet. Nothing in this
/// table proves that a process has ended: see [`DeathWatch`](crate::DeathWatch).
#[derive(Clone, Debug)]
pub struct MemberTable {
    own_id: IncarnationId,
    rows: IndexMap<MemberKey, MemberRow>,
    probe_queue: Vec<VmId>,
    rng: Rng,
}

impl MemberTable {
    /// Creates the table of the keeper `own_id`. `seed` determines the probe order.
    pub fn new(own_id: IncarnationId, seed: u64) -> Self {
        Self {
            own_id,
            rows: IndexMap::new(),
            probe_queue: Vec::new(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Replaces the set of members by the incarnations that are registered and not
    /// proven to have ended.
    pub fn set_members<'a>(&mut self, members: impl Iterator<Item = &'a IncarnationId>) {
        let mut rows = IndexMap::new();
        for member in members {
            let key = member_key(member);
            let row = match self.rows.swap_remove(&key) {
                Some(row) if row.update.member.start >= member.start => row,
                Some(_) | None => MemberRow::new(member.clone()),
            };
            rows.insert(key, row);
        }
        self.rows = rows;
    }

    /// Returns the keepers that receive a heartbeat in this round.
    pub fn probes(&mut self) -> Vec<IncarnationId> {
        let mut chosen = Vec::new();
        let keepers = self.other_keepers().count();
        while chosen.len() < PROBES_PER_ROUND.min(keepers) {
            let Some(vm) = self.probe_queue.pop() else {
                let mut probe_queue: Vec<VmId> =
                    self.other_keepers().map(|m| m.vm.clone()).collect();
                self.rng.shuffle(&mut probe_queue);
                self.probe_queue = probe_queue;
                continue;
            };
            if let Some(row) = self.rows.get(&(vm, ProcessRole::Keeper))
                && !chosen.contains(&row.update.member)
            {
                chosen.push(row.update.member.clone());
            }
        }
        chosen
    }

    fn other_keepers(&self) -> impl Iterator<Item = &IncarnationId> {
        self.rows
            .values()
            .map(|row| &row.update.member)
            .filter(|member| member.role == ProcessRole::Keeper && member.vm != self.own_id.vm)
    }

    /// Creates a heartbeat for `receiver`, or the answer to a heartbeat from it.
    pub fn heartbeat(&mut self, receiver: &IncarnationId) -> Heartbeat {
        let mut updates = Vec::new();
        // The receiver can only refute a suspicion that it knows of.
        if let Some(row) = self.rows.get(&member_key(receiver))
            && row.update.suspected
        {
            updates.push(row.update.clone());
        }
        let mut waiting: Vec<&mut MemberRow> = self
            .rows
            .values_mut()
            .filter(|row| row.transmits_left > 0)
            .collect();
        waiting.sort_by_key(|row| std::cmp::Reverse(row.transmits_left));
        for row in waiting.into_iter().take(MAX_UPDATES) {
            row.transmits_left -= 1;
            updates.push(row.update.clone());
        }
        Heartbeat {
            sender: self.own_id.clone(),
            updates,
        }
    }

    /// Applies the updates of a heartbeat or of the answer to one.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Instant) {
        for update in &heartbeat.updates {
            self.merge(update, now);
        }
    }

    /// Records that a keeper has not answered a heartbeat.
    pub fn probe_failed(&mut self, member: &IncarnationId, now: Instant) {
        let transmit_limit = self.transmit_limit();
        if let Some(row) = self.rows.get_mut(&member_key(member))
            && &row.update.member == member
        {
            row.set_suspected(true, now);
            row.transmits_left = transmit_limit;
        }
    }

    /// Records that a process has queried this keeper for the view.
    pub fn record_query(&mut self, member: &IncarnationId, leaving: bool, now: Instant) {
        let transmit_limit = self.transmit_limit();
        let Some(row) = self.rows.get_mut(&member_key(member)) else {
            return;
        };
        if &row.update.member != member {
            return;
        }
        row.last_query_at = Some(now);
        let has_changed = row.update.suspected || leaving && !row.update.leaving;
        if row.update.suspected {
            row.update.number += 1;
            row.set_suspected(false, now);
        }
        row.update.leaving |= leaving;
        if has_changed {
            row.transmits_left = transmit_limit;
        }
    }

    /// Records whether this keeper has lost the store, and disseminates a change.
    pub fn set_store_lost(&mut self, lost: bool) {
        let transmit_limit = self.transmit_limit();
        if let Some(row) = self.rows.get_mut(&member_key(&self.own_id))
            && row.update.member == self.own_id
            && row.update.store_lost != lost
        {
            row.update.store_lost = lost;
            row.update.number += 1;
            row.transmits_left = transmit_limit;
        }
    }

    /// Marks followers of this keeper as suspected if they have stopped sending queries.
    pub fn suspect_inactive(&mut self, now: Instant) {
        let transmit_limit = self.transmit_limit();
        for row in self.rows.values_mut() {
            let inactive = row.last_query_at.is_some_and(|requested_at| {
                now.saturating_duration_since(requested_at) > FOLLOWER_TIMEOUT
            });
            if inactive {
                // Suspect the process only once, since it may now follow another keeper.
                row.last_query_at = None;
                row.set_suspected(true, now);
                row.transmits_left = transmit_limit;
            }
        }
    }

    /// Returns every member that is not in the normal state.
    pub fn liveness(&self, now: Instant) -> Vec<MemberLiveness> {
        self.rows
            .values()
            .map(|row| MemberLiveness {
                suspected: row.is_suspected(now),
                leaving: row.update.leaving,
                store_lost: row.update.store_lost,
                ..MemberLiveness::up(row.update.member.clone())
            })
            .filter(|found| found.suspected || found.leaving || found.store_lost)
            .collect()
    }

    fn merge(&mut self, update: &MemberUpdate, now: Instant) {
        let transmit_limit = self.transmit_limit();
        let own_id = self.own_id.clone();
        let Some(row) = self.rows.get_mut(&member_key(&update.member)) else {
            return;
        };
        let known = &row.update;
        if update.member.start < known.member.start {
            return;
        }
        if update.member.start > known.member.start {
            *row = MemberRow::new(update.member.clone());
        }
        let known = &row.update;
        let newer = update.number > known.number;
        let suspected = match newer {
            true => update.suspected,
            false => known.suspected || update.number == known.number && update.suspected,
        };
        let merged = MemberUpdate {
            member: update.member.clone(),
            number: update.number.max(known.number),
            suspected,
            leaving: update.leaving || known.leaving,
            store_lost: match newer && update.member != own_id {
                true => update.store_lost,
                false => known.store_lost,
            },
        };
        if merged == row.update {
            return;
        }
        row.update = merged;
        row.set_suspected(suspected, now);
        row.transmits_left = transmit_limit;
        if update.member == own_id && row.update.suspected {
            row.update.number += 1;
            row.set_suspected(false, now);
        }
    }

    fn transmit_limit(&self) -> u32 {
        let doublings = (self.rows.len().max(2) as u32).ilog2() + 1;
        doublings * TRANSMITS_PER_DOUBLING
    }
}

fn member_key(member: &IncarnationId) -> MemberKey {
    (member.vm.clone(), member.role)
}
