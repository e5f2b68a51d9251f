//! Decides which features a VM refuses, from its own and other VMs' news.
//!
//! All VMs exchange what they notice, and each comes to the same conclusion. A set of features
//! that the crashes put the blame on is refused at once. After a time in which other VMs can
//! tell of an answer to it, it is quarantined, which all VMs and the store keep.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::VmId;

use crate::crash_blame::BlamedFeatures;
use crate::crash_evidence::CrashEvidence;
use crate::crash_evidence::CrashReport;
use crate::crash_evidence::FeatureAnswer;
use crate::feature_set::FeatureSet;
use crate::known_crashes::EvidenceView;
use crate::known_crashes::UpstreamRun;
use crate::quarantine::ActiveQuarantine;
use crate::quarantine::QuarantineRecord;
use crate::quarantine::QuarantineState;
use crate::quarantine::QuarantineTable;
use crate::request_feature::RequestFeature;

/// What a VM tells the others of features that crash upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeatureNews {
    /// The sender.
    pub sender: VmId,
    /// Crashes that the sender noticed.
    pub crashes: Vec<CrashReport>,
    /// Suspected features of which the sender knows an answer.
    pub answers: Vec<FeatureAnswer>,
    /// Changes of the quarantine.
    pub quarantine: Vec<QuarantineRecord>,
}

/// Change of what a VM refuses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeatureChange {
    /// A set of features is blamed and refused.
    Blamed(BlamedFeatures),
    /// A set of features is no longer blamed.
    Cleared(FeatureSet),
    /// A set of features was blamed, for this many crashes, until the time for answers was over.
    Quarantined(QuarantineRecord, usize),
    /// A record of another VM or of the store is newer than the known one.
    Merged(QuarantineRecord),
    /// A quarantined set of features was answered.
    Released(QuarantineRecord),
}

impl FeatureChange {
    /// Returns the record of a set whose quarantine changed.
    pub fn record(&self) -> Option<&QuarantineRecord> {
        match self {
            FeatureChange::Blamed(_) | FeatureChange::Cleared(_) => None,
            FeatureChange::Quarantined(record, _)
            | FeatureChange::Merged(record)
            | FeatureChange::Released(record) => Some(record),
        }
    }
}

/// A set of features that is blamed and not quarantined yet.
#[derive(Clone, Debug)]
struct BlamedSet {
    blamed: BlamedFeatures,
    quarantine_at: Instant,
}

/// What a VM knows of features that crash upstreams.
#[derive(Debug, Default)]
pub struct FeatureTable {
    evidence: CrashEvidence,
    blamed: Vec<BlamedSet>,
    quarantine: QuarantineTable,
    /// What the last review was based on.
    reviewed: Option<ReviewedState>,
}

/// What a review depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReviewedState {
    evidence_changes: u64,
    quarantine_changes: u64,
    view: EvidenceView,
}

impl FeatureTable {
    /// Returns the set of a request's features that is refused, if any, and when a request
    /// with it may be sent at the earliest.
    pub fn refused(&self, features: &[RequestFeature]) -> Option<(FeatureSet, Instant)> {
        if let Some(active) = self.quarantine.find(features) {
            return Some((active.record.features, active.trial_at));
        }
        let is_affected = |set: &&BlamedSet| set.blamed.features.is_within(features);
        let set = self.blamed.iter().find(is_affected)?;
        Some((set.blamed.features.clone(), set.quarantine_at))
    }

    /// Returns the quarantine of a request's features if its trial is due.
    pub fn due_trial(&self, features: &[RequestFeature], now: Instant) -> Option<ActiveQuarantine> {
        let active = self.quarantine.find(features)?;
        (active.trial_at <= now).then_some(active)
    }

    /// Records an upstream's crash that this VM noticed. `features` are those of the requests
    /// that it had not begun to answer.
    pub fn record_crash(
        &mut self,
        run: UpstreamRun,
        at: Instant,
        features: Vec<RequestFeature>,
        now: Instant,
    ) {
        self.evidence.record_own_crash(run, at, features, now);
    }

    /// Records that the answer to a request with these features began at `at`. Returns
    /// the changes, and whether the other VMs are to be told.
    pub fn record_answer(
        &mut self,
        features: &[RequestFeature],
        at: Instant,
        now: Instant,
    ) -> (Vec<FeatureChange>, bool) {
        let mut cleared = false;
        for feature in features {
            cleared |= self.evidence.record_own_answer(*feature, at, now);
        }
        let released = self.quarantine.release(features, at, now);
        let is_news = cleared || !released.is_empty();
        let changes = released.into_iter().map(FeatureChange::Released).collect();
        (changes, is_news)
    }

    /// Applies another VM's news.
    pub fn apply_news(&mut self, news: FeatureNews, now: Instant) -> Vec<FeatureChange> {
        for answer in &news.answers {
            self.evidence.apply_answer(answer, now);
        }
        for report in &news.crashes {
            self.evidence.apply_report(report, now);
        }
        self.merge(news.quarantine, now)
    }

    /// Merges records of another VM or of the store.
    pub fn merge(&mut self, records: Vec<QuarantineRecord>, now: Instant) -> Vec<FeatureChange> {
        let mut changes = Vec::new();
        for record in records {
            if !self.quarantine.merge(record.clone(), now) {
                continue;
            }
            if record.state == QuarantineState::Released {
                self.evidence
                    .record_release(record.features.features(), now);
            }
            changes.push(FeatureChange::Merged(record));
        }
        changes
    }

    /// Derives which sets are blamed now, and quarantines those that were blamed for
    /// `objection_time`.
    pub fn review(
        &mut self,
        objection_time: Duration,
        view: EvidenceView,
        now: Instant,
    ) -> Vec<FeatureChange> {
        let state = ReviewedState {
            evidence_changes: self.evidence.changes(),
            quarantine_changes: self.quarantine.changes(),
            view,
        };
        let mut changes = Vec::new();
        if self.reviewed.replace(state) != Some(state) {
            changes = self.update_blamed(objection_time, view, now);
        }
        changes.extend(self.quarantine_due(now));
        changes
    }

    fn update_blamed(
        &mut self,
        objection_time: Duration,
        view: EvidenceView,
        now: Instant,
    ) -> Vec<FeatureChange> {
        let mut changes = Vec::new();
        let blamed_now = self.evidence.blamed(&self.quarantine.refused(), view);
        self.blamed.retain(|set| {
            let features = &set.blamed.features;
            let stays = blamed_now.iter().any(|blamed| blamed.features == *features);
            if !stays && !self.quarantine.covers(features) {
                changes.push(FeatureChange::Cleared(features.clone()));
            }
            stays
        });
        for blamed in blamed_now {
            let is_same = |set: &&mut BlamedSet| set.blamed.features == blamed.features;
            if let Some(known) = self.blamed.iter_mut().find(is_same) {
                known.blamed = blamed;
            } else if !self.quarantine.covers(&blamed.features) {
                changes.push(FeatureChange::Blamed(blamed.clone()));
                self.blamed.push(BlamedSet {
                    blamed,
                    quarantine_at: now + objection_time,
                });
            }
        }
        changes
    }

    fn quarantine_due(&mut self, now: Instant) -> Vec<FeatureChange> {
        let is_due = |set: &mut BlamedSet| set.quarantine_at <= now;
        let due: Vec<BlamedSet> = self.blamed.extract_if(.., is_due).collect();
        due.into_iter()
            .filter_map(|set| {
                let record = self.quarantine.impose(&set.blamed.features, now)?;
                Some(FeatureChange::Quarantined(record, set.blamed.crashes))
            })
            .collect()
    }

    /// Returns when the next review is due, if any set is blamed.
    pub fn next_review_at(&self) -> Option<Instant> {
        self.blamed.iter().map(|set| set.quarantine_at).min()
    }

    /// Returns the number of suspected features.
    pub fn suspect_count(&self) -> usize {
        self.evidence.suspect_count()
    }

    /// Returns all records of the quarantine.
    pub fn records(&self) -> Vec<QuarantineRecord> {
        self.quarantine.records()
    }

    /// Returns whether a record is known that is newer than those of `stored`.
    pub fn is_ahead_of(&self, stored: &[QuarantineRecord]) -> bool {
        self.quarantine.is_ahead_of(stored)
    }

    /// Announces again what a VM may have to know that knows nothing.
    pub fn announce_all(&mut self, now: Instant) {
        self.evidence.announce_again(now);
        self.quarantine.announce_all(now);
    }

    /// Returns the news of the VM `sender` for a message; `None` if there is none.
    pub fn news(&mut self, sender: &VmId, now: Instant) -> Option<FeatureNews> {
        let news = FeatureNews {
            sender: sender.clone(),
            crashes: self.evidence.report_announcements(now),
            answers: self.evidence.answer_announcements(now),
            quarantine: self.quarantine.announcements(now),
        };
        let is_empty =
            news.crashes.is_empty() && news.answers.is_empty() && news.quarantine.is_empty();
        (!is_empty).then_some(news)
    }
}
