//! Decides which prompt parts a VM refuses, from its own and other VMs' news.
//!
//! All VMs exchange what they notice, and each comes to the same conclusion. A set of parts
//! that the crashes put the blame on is refused at once. After a time in which other VMs can
//! tell of an answer to it, it is quarantined, which all VMs and the store keep.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::PartId;
use snipegate_types::VmId;

use crate::crash_blame::BlamedParts;
use crate::crash_blame::EvidenceView;
use crate::crash_evidence::CrashEvidence;
use crate::crash_evidence::CrashReport;
use crate::crash_evidence::PartAnswer;
use crate::crash_evidence::UpstreamRun;
use crate::metadata::PromptPart;
use crate::part_set::PartSet;
use crate::quarantine::ActiveQuarantine;
use crate::quarantine::QuarantineRecord;
use crate::quarantine::QuarantineState;
use crate::quarantine::QuarantineTable;

/// What a VM tells the others of prompt parts that crash upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartNews {
    /// The sender.
    pub sender: VmId,
    /// Crashes that the sender noticed.
    pub crashes: Vec<CrashReport>,
    /// Suspected parts of which the sender knows an answer.
    pub answers: Vec<PartAnswer>,
    /// Changes of the quarantine.
    pub quarantine: Vec<QuarantineRecord>,
}

/// Change of what a VM refuses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartChange {
    /// A set of parts is blamed and refused.
    Blamed(BlamedParts),
    /// A set of parts is no longer blamed.
    Cleared(PartSet),
    /// A set of parts was blamed, for this many crashes, until the time for answers was over.
    Quarantined(QuarantineRecord, usize),
    /// A record of another VM or of the store is newer than the known one.
    Merged(QuarantineRecord),
    /// A quarantined set of parts was answered.
    Released(QuarantineRecord),
}

impl PartChange {
    /// Returns the record of a set whose quarantine changed.
    pub fn record(&self) -> Option<&QuarantineRecord> {
        match self {
            PartChange::Blamed(_) | PartChange::Cleared(_) => None,
            PartChange::Quarantined(record, _)
            | PartChange::Merged(record)
            | PartChange::Released(record) => Some(record),
        }
    }
}

/// A set of parts that is blamed and not quarantined yet.
#[derive(Clone, Debug)]
struct BlamedSet {
    blamed: BlamedParts,
    quarantine_at: Instant,
}

/// What a VM knows of prompt parts that crash upstreams.
#[derive(Debug, Default)]
pub struct PartTable {
    evidence: CrashEvidence,
    blamed: Vec<BlamedSet>,
    quarantine: QuarantineTable,
}

impl PartTable {
    /// Returns the set of a prompt's shared parts that is refused, if any, and when a prompt
    /// with it may be sent at the earliest.
    pub fn refused(&self, parts: &[PromptPart]) -> Option<(PartSet, Instant)> {
        if let Some(active) = self.quarantine.find(parts) {
            return Some((active.record.parts, active.trial_at));
        }
        let is_affected = |set: &&BlamedSet| set.blamed.parts.is_within(parts);
        let set = self.blamed.iter().find(is_affected)?;
        Some((set.blamed.parts.clone(), set.quarantine_at))
    }

    /// Returns the quarantine of a prompt's shared parts if its trial is due.
    pub fn due_trial(&self, parts: &[PromptPart], now: Instant) -> Option<ActiveQuarantine> {
        let active = self.quarantine.find(parts)?;
        (active.trial_at <= now).then_some(active)
    }

    /// Records an upstream's crash that this VM noticed. `parts` are the shared parts of the
    /// requests that it had not begun to answer.
    pub fn record_crash(
        &mut self,
        run: UpstreamRun,
        at: Instant,
        parts: Vec<PartId>,
        now: Instant,
    ) {
        self.evidence.record_own_crash(run, at, parts, now);
    }

    /// Records that the answer to a prompt with these shared parts began at `at`. Returns
    /// the changes, and whether the other VMs are to be told.
    pub fn record_answer(
        &mut self,
        parts: &[PromptPart],
        at: Instant,
        now: Instant,
    ) -> (Vec<PartChange>, bool) {
        let mut cleared = false;
        for part in parts {
            cleared |= self.evidence.record_own_answer(part.id, at, now);
        }
        let released = self.quarantine.release(parts, at, now);
        let is_news = cleared || !released.is_empty();
        let changes = released.into_iter().map(PartChange::Released).collect();
        (changes, is_news)
    }

    /// Applies another VM's news.
    pub fn apply_news(&mut self, news: PartNews, now: Instant) -> Vec<PartChange> {
        for answer in &news.answers {
            self.evidence.apply_answer(answer, now);
        }
        for report in &news.crashes {
            self.evidence.apply_report(report, now);
        }
        self.merge(news.quarantine, now)
    }

    /// Merges records of another VM or of the store.
    pub fn merge(&mut self, records: Vec<QuarantineRecord>, now: Instant) -> Vec<PartChange> {
        let mut changes = Vec::new();
        for record in records {
            if !self.quarantine.merge(record.clone(), now) {
                continue;
            }
            if record.state == QuarantineState::Released {
                self.evidence.record_release(record.parts.parts(), now);
            }
            changes.push(PartChange::Merged(record));
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
    ) -> Vec<PartChange> {
        let mut changes = Vec::new();
        let blamed_now = self.evidence.blamed(&self.quarantine.refused(), view);
        self.blamed.retain(|set| {
            let parts = &set.blamed.parts;
            let stays = blamed_now.iter().any(|blamed| blamed.parts == *parts);
            if !stays && !self.quarantine.covers(parts) {
                changes.push(PartChange::Cleared(parts.clone()));
            }
            stays
        });
        for blamed in blamed_now {
            let is_same = |set: &&mut BlamedSet| set.blamed.parts == blamed.parts;
            if let Some(known) = self.blamed.iter_mut().find(is_same) {
                known.blamed = blamed;
            } else if !self.quarantine.covers(&blamed.parts) {
                changes.push(PartChange::Blamed(blamed.clone()));
                self.blamed.push(BlamedSet {
                    blamed,
                    quarantine_at: now + objection_time,
                });
            }
        }
        changes.extend(self.quarantine_due(now));
        changes
    }

    fn quarantine_due(&mut self, now: Instant) -> Vec<PartChange> {
        let is_due = |set: &mut BlamedSet| set.quarantine_at <= now;
        let due: Vec<BlamedSet> = self.blamed.extract_if(.., is_due).collect();
        due.into_iter()
            .filter_map(|set| {
                let record = self.quarantine.impose(&set.blamed.parts, now)?;
                Some(PartChange::Quarantined(record, set.blamed.crashes))
            })
            .collect()
    }

    /// Returns when the next review is due, if any set is blamed.
    pub fn next_review_at(&self) -> Option<Instant> {
        self.blamed.iter().map(|set| set.quarantine_at).min()
    }

    /// Returns the number of suspected parts.
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
    pub fn news(&mut self, sender: &VmId, now: Instant) -> Option<PartNews> {
        let news = PartNews {
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
