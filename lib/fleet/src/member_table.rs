//! Who is up: heartbeats between keepers, and suspicion that spreads with them.

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

/// Time between two rounds of heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// How long a keeper may take to answer a heartbeat.
pub const HEARTBEAT_WAIT: Duration = Duration::from_millis(800);
/// How many keepers are asked in a round.
const PROBES_PER_ROUND: usize = 2;
/// How long a suspicion may be refuted before it counts.
const REFUTATION_TIME: Duration = Duration::from_secs(3);
/// How long a process of the own VM may be silent before it is suspected.
const LOCAL_SILENCE: Duration = Duration::from_secs(5);
/// Most updates in one heartbeat.
const MAX_UPDATES: usize = 8;
/// How often an update is passed on, for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;

/// What is said of one run of a process.
///
/// Of two updates on the same run the higher number wins; only the process
/// itself, or the keeper that it follows, raises the number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The run of the process.
    pub member: IncarnationId,
    /// Raised to refute a suspicion.
    pub number: u32,
    /// It has not answered somebody.
    pub suspected: bool,
    /// It has said that it stops; never taken back within a run.
    pub leaving: bool,
    /// It has said that the store does not answer it.
    pub store_lost: bool,
}

/// A heartbeat between keepers, and its answer: `POST /heartbeat`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The keeper that sends it.
    pub sender: IncarnationId,
    /// What it passes on.
    pub updates: Vec<MemberUpdate>,
}

type MemberKey = (VmId, ProcessRole);

#[derive(Clone, Debug)]
struct MemberRow {
    update: MemberUpdate,
    /// When the suspicion was first heard here.
    suspected_since: Option<Instant>,
    /// When the process last asked this keeper.
    asked_here: Option<Instant>,
    /// How often the update is still to be passed on.
    sends_left: u32,
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
            asked_here: None,
            sends_left: 0,
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
            .is_some_and(|since| now.saturating_duration_since(since) >= REFUTATION_TIME)
    }
}

/// What a keeper holds for true about who is up.
///
/// Each keeper asks a few others in each round, in an order that reaches every
/// keeper once before it repeats. What it learns travels with heartbeats, so a
/// node's traffic does not grow with the fleet. Nothing here is proof that a
/// process has ended: see [`DeathWatch`](crate::DeathWatch).
#[derive(Clone, Debug)]
pub struct MemberTable {
    me: IncarnationId,
    rows: IndexMap<MemberKey, MemberRow>,
    round: Vec<VmId>,
    order: Rng,
}

impl MemberTable {
    /// Makes the table of the keeper `me`; `seed` sets the order of its rounds.
    pub fn new(me: IncarnationId, seed: u64) -> Self {
        Self {
            me,
            rows: IndexMap::new(),
            round: Vec::new(),
            order: Rng::with_seed(seed),
        }
    }

    /// Takes in which runs are registered and not proven dead.
    pub fn set_members<'a>(&mut self, members: impl Iterator<Item = &'a IncarnationId>) {
        let mut rows = IndexMap::new();
        for member in members {
            let key = key_of(member);
            let row = match self.rows.swap_remove(&key) {
                Some(row) if row.update.member.start >= member.start => row,
                Some(_) | None => MemberRow::new(member.clone()),
            };
            rows.insert(key, row);
        }
        self.rows = rows;
    }

    /// Returns the keepers to send a heartbeat to in this round.
    pub fn probes(&mut self) -> Vec<IncarnationId> {
        let mut chosen = Vec::new();
        let keepers = self.other_keepers().count();
        while chosen.len() < PROBES_PER_ROUND.min(keepers) {
            let Some(vm) = self.round.pop() else {
                let mut round: Vec<VmId> = self.other_keepers().map(|m| m.vm.clone()).collect();
                self.order.shuffle(&mut round);
                self.round = round;
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
            .filter(|member| member.role == ProcessRole::Keeper && member.vm != self.me.vm)
    }

    /// Returns a heartbeat for `receiver`, or the answer to one from it.
    pub fn heartbeat(&mut self, receiver: &IncarnationId) -> Heartbeat {
        let mut updates = Vec::new();
        // The receiver can refute a suspicion only if it hears it.
        if let Some(row) = self.rows.get(&key_of(receiver))
            && row.update.suspected
        {
            updates.push(row.update.clone());
        }
        let mut waiting: Vec<&mut MemberRow> = self
            .rows
            .values_mut()
            .filter(|row| row.sends_left > 0)
            .collect();
        waiting.sort_by_key(|row| std::cmp::Reverse(row.sends_left));
        for row in waiting.into_iter().take(MAX_UPDATES) {
            row.sends_left -= 1;
            updates.push(row.update.clone());
        }
        Heartbeat {
            sender: self.me.clone(),
            updates,
        }
    }

    /// Takes in a heartbeat or the answer to one.
    pub fn receive(&mut self, beat: &Heartbeat, now: Instant) {
        for update in &beat.updates {
            self.merge(update, now);
        }
    }

    /// Notes that a keeper has not answered a heartbeat.
    pub fn probe_failed(&mut self, member: &IncarnationId, now: Instant) {
        let sends = self.sends();
        if let Some(row) = self.rows.get_mut(&key_of(member))
            && &row.update.member == member
        {
            row.set_suspected(true, now);
            row.sends_left = sends;
        }
    }

    /// Notes that a process has asked this keeper for the view.
    pub fn observe_asker(&mut self, member: &IncarnationId, leaving: bool, now: Instant) {
        let sends = self.sends();
        let Some(row) = self.rows.get_mut(&key_of(member)) else {
            return;
        };
        if &row.update.member != member {
            return;
        }
        row.asked_here = Some(now);
        let news = row.update.suspected || leaving && !row.update.leaving;
        if row.update.suspected {
            row.update.number += 1;
            row.set_suspected(false, now);
        }
        row.update.leaving |= leaving;
        if news {
            row.sends_left = sends;
        }
    }

    /// Notes whether the store answers this keeper, to tell the others.
    pub fn set_store_lost(&mut self, lost: bool) {
        let sends = self.sends();
        if let Some(row) = self.rows.get_mut(&key_of(&self.me))
            && row.update.member == self.me
            && row.update.store_lost != lost
        {
            row.update.store_lost = lost;
            row.update.number += 1;
            row.sends_left = sends;
        }
    }

    /// Suspects processes that have followed this keeper and fallen silent.
    pub fn suspect_silent(&mut self, now: Instant) {
        let sends = self.sends();
        for row in self.rows.values_mut() {
            let silent = row
                .asked_here
                .is_some_and(|asked| now.saturating_duration_since(asked) > LOCAL_SILENCE);
            if silent {
                // Counted once: the process may have moved to another keeper.
                row.asked_here = None;
                row.set_suspected(true, now);
                row.sends_left = sends;
            }
        }
    }

    /// Returns every member that is not simply up.
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
        let sends = self.sends();
        let me = self.me.clone();
        let Some(row) = self.rows.get_mut(&key_of(&update.member)) else {
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
            store_lost: match newer && update.member != me {
                true => update.store_lost,
                false => known.store_lost,
            },
        };
        if merged == row.update {
            return;
        }
        row.update = merged;
        row.set_suspected(suspected, now);
        row.sends_left = sends;
        if update.member == me && row.update.suspected {
            row.update.number += 1;
            row.set_suspected(false, now);
        }
    }

    fn sends(&self) -> u32 {
        let doublings = (self.rows.len().max(2) as u32).ilog2() + 1;
        doublings * SENDS_PER_DOUBLING
    }
}

fn key_of(member: &IncarnationId) -> MemberKey {
    (member.vm.clone(), member.role)
}
