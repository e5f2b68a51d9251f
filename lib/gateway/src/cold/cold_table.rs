//! Cold upstreams, and the limits on what is sent to them.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_platform::StoreRevision;
use snipegate_types::RequestRate;
use snipegate_types::UpstreamId;

use super::cold_limit::ColdLimit;
use super::cold_limit::cold_share;
use super::cold_state::ColdReason;
use super::cold_state::ColdState;
use super::cold_state::ColdStatement;
use super::cold_state::time_left;
use super::notice::ColdNotice;
use crate::config::ColdRule;
use crate::config::ColdTolerance;
use crate::gateway::rendezvous_weight;
use crate::gateway::stable_hash;
use crate::gossip::ANNOUNCE_PERIOD;
use crate::rate_share::ShareView;
use crate::rate_table::RateTable;
use crate::send_pacer::MAX_SPACING;
use crate::upstream::UpstreamEntry;
use crate::upstream::upstream_code;

/// Maximum number of upstreams whose last run is remembered.
const MAX_RUNS: usize = 4096;

/// Maximum number of upstreams in one message.
const MAX_ANNOUNCED: usize = 128;

/// Longest time that an upstream counts as cold without new information.
const MAX_COLD_TIME: Duration = Duration::from_secs(3600);

/// Requests of this priority or a less urgent one use a permitted send to a cold upstream at once,
/// even if a warm one is free. More urgent ones leave it unused for up to one spacing.
const PATIENT_PRIORITY: u8 = 2;

/// An upstream that began or ceased to count as cold.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdChange {
    /// Its entry.
    pub entry: UpstreamEntry,
    /// The limit now; `None` if it counts as warm.
    pub limit: Option<ColdLimit>,
    /// Why it counts or counted as cold.
    pub reason: ColdReason,
    /// Age of the latest information.
    pub age: Duration,
    /// How much longer it counts as cold.
    pub left: Duration,
}

/// Cold upstreams by id. Upstreams that are warm have no state.
#[derive(Clone, Debug, Default)]
pub struct ColdTable {
    /// Hash of this VM's name.
    vm: u64,
    /// Start time of the last known run of each upstream.
    runs: IndexMap<UpstreamId, Option<u64>>,
    states: IndexMap<UpstreamId, ColdState>,
    /// The limits in force.
    limits: RateTable,
}

impl ColdTable {
    /// Creates the table of a VM, given by the hash of its name.
    pub fn new(vm: u64) -> Self {
        Self {
            vm,
            limits: RateTable::new(vm),
            ..Self::default()
        }
    }

    /// Applies an upstream's entry, which this VM has just seen in this revision for the first
    /// time. `has_watched` tells whether it has listed the upstreams before.
    ///
    /// The entry may be as old as its last change, so what it states counts from now. A run that
    /// was not known before started since then, whatever its entry states.
    pub fn record_entry(
        &mut self,
        entry: &UpstreamEntry,
        revision: StoreRevision,
        has_watched: bool,
        rule: Option<&ColdRule>,
        now: Instant,
    ) {
        let is_known_run = self.runs.get(&entry.id) == Some(&entry.started_ms);
        if !is_known_run && self.runs.len() >= MAX_RUNS {
            self.runs.shift_remove_index(0);
        }
        self.runs.insert(entry.id.clone(), entry.started_ms);
        if !entry.cold_left.is_zero() || self.states.contains_key(&entry.id) {
            let until = now + entry.cold_left.min(MAX_COLD_TIME);
            self.apply_statement(
                entry,
                ColdStatement { revision, until },
                ColdReason::Entry,
                now,
            );
        }
        if let Some(rule) = rule.filter(|_| has_watched && !is_known_run) {
            self.assume(entry, rule.duration, ColdReason::Started, now);
        }
    }

    fn apply_statement(
        &mut self,
        entry: &UpstreamEntry,
        statement: ColdStatement,
        reason: ColdReason,
        now: Instant,
    ) {
        let state = self.state_of(entry, reason, now);
        let before = state.stated;
        state.apply_statement(statement);
        if state.stated != before {
            state.reason = reason;
            state.learned_at = now;
            state.announce_until = now + ANNOUNCE_PERIOD;
        }
    }

    /// Counts upstreams as cold for `duration` from now, for example those of a data centre whose
    /// evacuation has ended.
    pub fn begin<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a UpstreamEntry>,
        duration: Duration,
        reason: ColdReason,
        now: Instant,
    ) {
        for entry in entries {
            self.assume(entry, duration, reason, now);
        }
    }

    /// Counts an upstream as cold for `duration` from now, because of what this VM saw.
    pub fn assume(
        &mut self,
        entry: &UpstreamEntry,
        duration: Duration,
        reason: ColdReason,
        now: Instant,
    ) {
        let was_cold = self.is_cold(entry, now);
        let state = self.state_of(entry, reason, now);
        let until = now + duration.min(MAX_COLD_TIME);
        state.assumed_until = state.assumed_until.max(Some(until));
        state.learned_at = now;
        if !was_cold {
            state.reason = reason;
            state.announce_until = now + ANNOUNCE_PERIOD;
        }
    }

    /// Applies another VM's notice of an upstream.
    ///
    /// What the other VM saw itself counts only while this VM does not reach the store, which
    /// else tells of each start.
    pub fn apply_notice(
        &mut self,
        entry: &UpstreamEntry,
        notice: &ColdNotice,
        reaches_store: bool,
        now: Instant,
    ) {
        let end = |left| now + Duration::from_millis(left).min(MAX_COLD_TIME);
        if let Some((revision, left)) = notice.stated {
            let until = end(left);
            self.apply_statement(
                entry,
                ColdStatement { revision, until },
                ColdReason::Vm,
                now,
            );
        }
        if notice.assumed_ms > 0 && !reaches_store {
            let was_cold = self.is_cold(entry, now);
            let state = self.state_of(entry, ColdReason::Vm, now);
            state.heard_until = state.heard_until.max(Some(end(notice.assumed_ms)));
            state.learned_at = now;
            if !was_cold {
                state.reason = ColdReason::Vm;
            }
        }
    }

    /// Returns what to tell the other VMs: all that this VM saw itself and, if `is_reader` is
    /// set, what entries in the store state. Without `include_all` only recent changes.
    pub fn notices(&self, is_reader: bool, include_all: bool, now: Instant) -> Vec<ColdNotice> {
        let millis = |until| time_left(until, now).as_millis() as u64;
        let is_due = |state: &&ColdState| include_all || now < state.announce_until;
        let notice = |state: &ColdState| {
            let stated = state.stated.filter(|_| is_reader);
            let stated = stated.map(|stated| (stated.revision, millis(Some(stated.until)) + 1));
            let was_seen = is_reader || state.reason == ColdReason::ConnectionBroken;
            ColdNotice {
                upstream: upstream_code(&state.key.id),
                stated: stated.filter(|(_, left)| *left > 1),
                assumed_ms: millis(state.assumed_until.filter(|_| was_seen)),
            }
        };
        let states = self.states.values().rev().filter(is_due);
        states
            .map(notice)
            .filter(|notice| notice.stated.is_some() || notice.assumed_ms > 0)
            .take(MAX_ANNOUNCED)
            .collect()
    }

    fn state_of(
        &mut self,
        entry: &UpstreamEntry,
        reason: ColdReason,
        now: Instant,
    ) -> &mut ColdState {
        self.states
            .entry(entry.id.clone())
            .or_insert_with(|| ColdState {
                key: entry.clone(),
                stated: None,
                assumed_until: None,
                heard_until: None,
                reason,
                learned_at: now,
                announce_until: now,
                limit: None,
            })
    }

    /// Brings the limits in line with what is known now. Returns the upstreams that began or
    /// ceased to count as cold.
    pub fn update(
        &mut self,
        tolerance: &ColdTolerance,
        rule_of: impl Fn(&str) -> Option<ColdRule>,
        now: Instant,
    ) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        for state in self.states.values_mut() {
            let rule = rule_of(&state.key.service).filter(|_| state.is_cold(now));
            let limit = rule.map(|rule| ColdLimit::new(&rule, tolerance));
            self.limits
                .set_limit(&state.key, limit.map(|limit| limit.rate), now);
            if limit.is_some() != state.limit.is_some() {
                changes.push(ColdChange {
                    entry: state.key.clone(),
                    limit,
                    reason: state.reason,
                    age: now.saturating_duration_since(state.learned_at),
                    left: time_left(state.until(), now),
                });
            }
            state.limit = limit;
        }
        self.states.retain(|_, state| state.is_cold(now));
        changes
    }

    /// Returns whether this VM's shares are due for a refresh.
    pub fn is_refresh_due(&self, now: Instant) -> bool {
        !self.states.is_empty() && self.limits.is_refresh_due(now)
    }

    /// Sets this VM's shares. `view` returns the view of the fleet for the hash of an upstream's
    /// id, or `None` if this VM must not send.
    pub fn refresh(&mut self, now: Instant, view: impl Fn(u64) -> Option<ShareView>) {
        let (states, vm) = (&self.states, self.vm);
        self.limits.refresh_pacers(now, |id, _, pacer| {
            let limit = states.get(id).and_then(|state| state.limit);
            let upstream = stable_hash(id.as_str());
            let phase = rendezvous_weight(vm, upstream) as f64 / u64::MAX as f64;
            let share = limit
                .zip(view(upstream))
                .and_then(|(limit, view)| cold_share(&limit, view, phase));
            pacer.set_paced_share(share, now);
        });
    }

    /// Returns the maximum number of senders of each cold upstream, by the hash of its id.
    pub fn senders(&self) -> IndexMap<u64, usize> {
        let limited = |state: &ColdState| {
            let limit = state.limit?;
            Some((stable_hash(state.key.id.as_str()), limit.senders))
        };
        self.states.values().filter_map(limited).collect()
    }

    /// Returns whether an upstream counts as cold.
    pub fn is_cold(&self, entry: &UpstreamEntry, now: Instant) -> bool {
        self.states
            .get(&entry.id)
            .is_some_and(|state| state.is_cold(now))
    }

    /// Returns the limit of an upstream, if it is cold.
    pub fn limit_of(&self, entry: &UpstreamEntry, now: Instant) -> Option<ColdLimit> {
        self.limited(entry, now).and_then(|state| state.limit)
    }

    /// Returns this VM's share of the limit of a cold upstream.
    pub fn share_of(&self, entry: &UpstreamEntry, now: Instant) -> Option<RequestRate> {
        let state = self.limited(entry, now)?;
        self.limits.share_of(&state.key)
    }

    /// Returns whether the limit of an upstream lets this VM send a request of this priority now;
    /// 0 is the most urgent.
    pub fn may_send(&self, entry: &UpstreamEntry, priority: u8, now: Instant) -> bool {
        self.limited(entry, now)
            .is_none_or(|state| self.limits.may_send(&state.key, priority, now))
    }

    /// Returns whether a request of this priority should use a free send though a warm upstream
    /// is free. A cold upstream is slow, so urgent requests leave it to others, but not for so
    /// long that it stays idle.
    pub fn should_send(&self, entry: &UpstreamEntry, priority: u8, now: Instant) -> bool {
        let Some(state) = self.limited(entry, now) else {
            return true;
        };
        let (Some(share), Some(free_at)) = (
            self.limits.share_of(&state.key),
            self.limits.next_send_at(&state.key, now),
        ) else {
            return false;
        };
        let urgency = PATIENT_PRIORITY.saturating_sub(priority);
        let fraction = f64::from(urgency) / f64::from(PATIENT_PRIORITY);
        free_at + share.interval(MAX_SPACING).mul_f64(fraction) <= now
    }

    /// Reserves the next send to an upstream for requests at least as urgent as a refused one.
    pub fn reserve_for(&mut self, entry: &UpstreamEntry, priority: u8, now: Instant) {
        if let Some(state) = self.states.get(&entry.id) {
            self.limits.reserve_for(&state.key, priority, now);
        }
    }

    /// Returns when a cold upstream counts as warm.
    pub fn warm_at(&self, entry: &UpstreamEntry, now: Instant) -> Option<Instant> {
        self.limited(entry, now).and_then(ColdState::until)
    }

    /// Returns when this VM or another one may send to a cold upstream again.
    pub fn next_send_at(&self, entry: &UpstreamEntry, now: Instant) -> Option<Instant> {
        let state = self.limited(entry, now)?;
        let warm_at = state.until()?;
        Some(self.limits.next_send_at(&state.key, now)?.min(warm_at))
    }

    /// Records that this VM sends to an upstream.
    pub fn record_send(&mut self, entry: &UpstreamEntry, now: Instant) {
        if let Some(state) = self.states.get(&entry.id) {
            self.limits.record_send(&state.key, now);
        }
    }

    fn limited(&self, entry: &UpstreamEntry, now: Instant) -> Option<&ColdState> {
        self.states
            .get(&entry.id)
            .filter(|state| state.limit.is_some() && state.is_cold(now))
    }
}
