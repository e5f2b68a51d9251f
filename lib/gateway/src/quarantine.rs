//! Features of requests that crash upstreams; all VMs refuse requests with them.
//!
//! Every VM can add or release a set of features. Each change has a number; of two records of
//! the same set the one with the higher number holds, so VMs that exchange their records in
//! any order, also through the store, end with the same ones.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::crash_blame::RefusedFeatures;
use crate::feature_set::FeatureSet;
use crate::gossip::ANNOUNCE_PERIOD;
use crate::request_feature::RequestFeature;

/// How long a set is sent to no upstream before one request may try it again.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(600);

/// The same for a whole request. It may be sound, and at two crashes by chance.
const FIRST_TRIAL_DELAY_OF_REQUEST: Duration = Duration::from_secs(60);

/// Factor by which the time until the next trial grows with each trial.
const TRIAL_DELAY_FACTOR: u32 = 4;

/// Number of trials after which the time until the next one no longer grows.
const MAX_DELAY_GROWTH: u32 = 4;

/// Maximum number of records, released ones included. The oldest released one is dropped
/// first, then the oldest one of a whole request.
const MAX_RECORDS: usize = 256;

/// Maximum number of records in one message.
const MAX_ANNOUNCED: usize = 64;

/// Whether a set of features is sent to upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuarantineState {
    /// Requests with the features are sent again.
    Released,
    /// Requests with the features are refused.
    Active,
}

/// What the VMs and the store know of a set of features.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// The features; a request is affected if it has all of them.
    pub features: FeatureSet,
    /// Number of changes of the record, including the last one.
    pub changes: u64,
    /// The state after the last change.
    pub state: QuarantineState,
    /// Number of requests that were let through as a trial.
    pub trials: u32,
}

impl QuarantineRecord {
    /// Returns whether this record replaces another one of the same set.
    fn replaces(&self, other: &Self) -> bool {
        (self.changes, self.state, self.trials) > (other.changes, other.state, other.trials)
    }

    /// Returns the time from the last change until the next trial.
    fn trial_delay(&self) -> Duration {
        if self.trials == 0 && self.features.is_whole_request() {
            return FIRST_TRIAL_DELAY_OF_REQUEST;
        }
        let growth = TRIAL_DELAY_FACTOR.pow(self.trials.min(MAX_DELAY_GROWTH));
        FIRST_TRIAL_DELAY.saturating_mul(growth)
    }
}

#[derive(Clone, Debug)]
struct KnownRecord {
    record: QuarantineRecord,
    /// When this VM learned of the last change.
    learned_at: Instant,
    /// Until when every message includes the record.
    announce_until: Instant,
}

/// A quarantine that affects a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveQuarantine {
    /// The record.
    pub record: QuarantineRecord,
    /// When one request may be tried again.
    pub trial_at: Instant,
}

/// Records by set of features.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    records: IndexMap<FeatureSet, KnownRecord>,
    /// Number of records that were added or changed.
    changes: u64,
}

impl QuarantineTable {
    /// Quarantines a set of features. Returns the record if it changed.
    pub fn impose(&mut self, features: &FeatureSet, now: Instant) -> Option<QuarantineRecord> {
        let known = self.records.get(features).map(|known| &known.record);
        if known.is_some_and(|record| record.state == QuarantineState::Active) {
            return None;
        }
        let record = QuarantineRecord {
            features: features.clone(),
            changes: known.map_or(0, |record| record.changes) + 1,
            state: QuarantineState::Active,
            trials: known.map_or(0, |record| record.trials),
        };
        self.apply(record.clone(), now, now + ANNOUNCE_PERIOD)
            .then_some(record)
    }

    /// Releases all sets that `features` has, after a request with these features was answered. The
    /// answer began at `answered_at`; it says nothing of sets that were quarantined later.
    /// Returns the changed records.
    pub fn release(
        &mut self,
        features: &[RequestFeature],
        answered_at: Instant,
        now: Instant,
    ) -> Vec<QuarantineRecord> {
        let released: Vec<QuarantineRecord> = self
            .active_within(features)
            .filter(|known| known.learned_at < answered_at)
            .map(|known| QuarantineRecord {
                changes: known.record.changes + 1,
                state: QuarantineState::Released,
                ..known.record.clone()
            })
            .collect();
        for record in &released {
            self.apply(record.clone(), now, now + ANNOUNCE_PERIOD);
        }
        released
    }

    /// Applies a record of another VM or of the store, which tell all VMs themselves. Returns
    /// whether it is newer than the known one.
    pub fn merge(&mut self, record: QuarantineRecord, now: Instant) -> bool {
        self.apply(record, now, now)
    }

    fn apply(&mut self, record: QuarantineRecord, now: Instant, announce_until: Instant) -> bool {
        let known = self.records.get(&record.features);
        if known.is_some_and(|known| !record.replaces(&known.record)) {
            return false;
        }
        if known.is_none() && self.records.len() >= MAX_RECORDS {
            self.drop_one();
        }
        let known = KnownRecord {
            learned_at: now,
            announce_until,
            record: record.clone(),
        };
        self.records.insert(record.features, known);
        self.changes += 1;
        true
    }

    fn drop_one(&mut self) {
        let is_released = |known: &KnownRecord| known.record.state == QuarantineState::Released;
        // A part is in ever new requests, while a request may never come again.
        let is_request = |known: &KnownRecord| known.record.features.is_whole_request();
        let released = self.records.values().position(is_released);
        let request = || self.records.values().position(is_request);
        let index = released.or_else(request).unwrap_or(0);
        self.records.shift_remove_index(index);
    }

    /// Returns the quarantine of a request with these features, if any; of several the one
    /// with the latest trial.
    pub fn find(&self, features: &[RequestFeature]) -> Option<ActiveQuarantine> {
        self.active_within(features)
            .map(|known| ActiveQuarantine {
                record: known.record.clone(),
                trial_at: known.learned_at + known.record.trial_delay(),
            })
            .max_by_key(|active| active.trial_at)
    }

    /// Returns the record that claims the next trial of a quarantine.
    pub fn trial_of(record: &QuarantineRecord) -> QuarantineRecord {
        QuarantineRecord {
            changes: record.changes + 1,
            trials: record.trials + 1,
            ..record.clone()
        }
    }

    fn active_within<'a>(
        &'a self,
        features: &'a [RequestFeature],
    ) -> impl Iterator<Item = &'a KnownRecord> {
        self.records
            .values()
            .filter(|known| known.record.state == QuarantineState::Active)
            .filter(|known| known.record.features.is_within(features))
    }

    /// Returns whether every request with these features is refused already.
    pub fn covers(&self, features: &FeatureSet) -> bool {
        self.records
            .values()
            .filter(|known| known.record.state == QuarantineState::Active)
            .any(|known| known.record.features.is_subset(features))
    }

    /// Returns how many times a record was added or changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the sets that are refused.
    pub fn refused(&self) -> Vec<RefusedFeatures> {
        let is_active = |known: &&KnownRecord| known.record.state == QuarantineState::Active;
        let active = self.records.values().filter(is_active);
        active
            .map(|known| RefusedFeatures {
                features: known.record.features.clone(),
                since: known.learned_at,
            })
            .collect()
    }

    /// Returns all records.
    pub fn records(&self) -> Vec<QuarantineRecord> {
        let known = self.records.values();
        known.map(|known| known.record.clone()).collect()
    }

    /// Returns whether a record is known that is newer than those of `stored`.
    pub fn is_ahead_of(&self, stored: &[QuarantineRecord]) -> bool {
        self.records.values().any(|known| {
            let same_set = stored.iter().find(|r| r.features == known.record.features);
            same_set.is_none_or(|stored| known.record.replaces(stored))
        })
    }

    /// Announces all records again, for example for a VM that may know none.
    pub fn announce_all(&mut self, now: Instant) {
        for known in self.records.values_mut() {
            known.announce_until = now + ANNOUNCE_PERIOD;
        }
    }

    /// Returns the records that a message includes, the newest first.
    pub fn announcements(&self, now: Instant) -> Vec<QuarantineRecord> {
        let newest = self.records.values().rev();
        newest
            .filter(|known| now < known.announce_until)
            .take(MAX_ANNOUNCED)
            .map(|known| known.record.clone())
            .collect()
    }
}
