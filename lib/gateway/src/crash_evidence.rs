//! Crashes of upstreams and the features that may have caused them.
//!
//! When an upstream crashes, each VM reports the features of those requests that it had sent
//! there and that were not being answered yet: one of them may have caused the crash. An
//! answer that begins after the crash clears its features.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::answered_features::AnsweredFeatures;
use crate::crash_blame::BlamedFeatures;
use crate::crash_blame::RefusedFeatures;
use crate::crash_blame::find_blamed;
use crate::gateway::rendezvous_weight;
use crate::gossip::ANNOUNCE_PERIOD;
use crate::known_crashes::CrashTimes;
use crate::known_crashes::EvidenceView;
use crate::known_crashes::UpstreamRun;
use crate::request_feature::RequestFeature;

/// Reports of the same crash by different VMs are within this time.
const SAME_CRASH_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of remembered crashes.
const MAX_CRASHES: usize = 256;

/// How long a crash counts.
const CRASH_TTL: Duration = Duration::from_secs(600);

/// Maximum number of suspected features.
const MAX_SUSPECTS: usize = 1024;

/// Maximum number of crashes that are remembered for one feature.
const MAX_CRASHES_PER_FEATURE: usize = 32;

/// Maximum number of own reports that are remembered.
const MAX_OWN_REPORTS: usize = 64;

/// Maximum number of prompt parts in one report, and of whole requests.
const MAX_REPORTED_PER_KIND: usize = 48;

/// Maximum number of features that become suspected by one crash.
const MAX_FEATURES_PER_CRASH: usize = 512;

/// Crashes from which on other VMs are told of an answer to a whole request. Most requests at a
/// crash are sound and never come again.
const TOLD_CRASHES_OF_REQUEST: usize = 2;

/// Maximum number of reports in one message.
const MAX_ANNOUNCED_REPORTS: usize = 8;

/// Number of features in a message after which no further report is added. A VM relays the
/// messages of many others, over a link that may be slow.
const MAX_ANNOUNCED_FEATURES: usize = 96;

/// Maximum number of answers in one message.
const MAX_ANNOUNCED_ANSWERS: usize = 32;

/// Age up to which a crash is announced again to a VM that may not know it.
const REANNOUNCE_PERIOD: Duration = Duration::from_secs(10);

/// A VM's report of a crash, sent to the other VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The run that ended.
    pub run: UpstreamRun,
    /// Age of the crash in milliseconds.
    pub age_ms: u64,
    /// Features of the VM's requests that were not being answered yet.
    pub features: Vec<RequestFeature>,
}

/// A feature that was answered, sent to VMs that may suspect it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeatureAnswer {
    /// The feature.
    pub feature: RequestFeature,
    /// Age of the last known answer in milliseconds.
    pub age_ms: u64,
}

/// A crash that this VM noticed.
#[derive(Clone, Debug)]
struct OwnReport {
    run: UpstreamRun,
    at: Instant,
    features: Vec<RequestFeature>,
    announce_until: Instant,
    /// Number of messages that included it.
    sent: u32,
}

/// Crashes and answers that are known, of all VMs.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// All crashes, also those that left no request unanswered.
    crashes: CrashTimes,
    /// For each suspected feature, the crashes since its last answer. The last feature to become
    /// suspected is at the end.
    suspects: IndexMap<RequestFeature, CrashTimes>,
    answered: AnsweredFeatures,
    own_reports: Vec<OwnReport>,
    /// Suspected features of which this VM knows an answer, with the time until which other VMs
    /// are told.
    cleared: IndexMap<RequestFeature, Instant>,
    /// Number of changes that may change what is blamed.
    changes: u64,
}

impl CrashEvidence {
    /// Records a crash that this VM noticed.
    pub fn record_own_crash(
        &mut self,
        run: UpstreamRun,
        at: Instant,
        mut features: Vec<RequestFeature>,
        now: Instant,
    ) {
        features.sort();
        features.dedup();
        // The most suspected features first: those never answered, then by known crashes. Of
        // equal ones a report leaves out others after each crash.
        features.sort_by_cached_key(|feature| {
            let crashes = self.suspects.get(feature).map_or(0, IndexMap::len);
            let weight = rendezvous_weight(feature.number(), u64::from(run.upstream));
            (self.answered.last(*feature), Reverse(crashes), weight)
        });
        self.record_crash(run, at, &features, now);
        limit_each_kind(&mut features);
        if self.own_reports.len() >= MAX_OWN_REPORTS {
            self.own_reports.remove(0);
        }
        self.own_reports.push(OwnReport {
            run,
            at,
            features,
            announce_until: now + ANNOUNCE_PERIOD,
            sent: 0,
        });
    }

    /// Applies another VM's report, and prepares to tell the others of suspected features that
    /// this VM knows to be answered.
    pub fn apply_report(&mut self, report: &CrashReport, now: Instant) {
        let Some(at) = now.checked_sub(Duration::from_millis(report.age_ms)) else {
            return;
        };
        let reported = report.features.len().min(2 * MAX_REPORTED_PER_KIND);
        let features = &report.features[..reported];
        self.record_crash(report.run, at, features, now);
        for feature in features {
            if self.answered.last(*feature).is_some() {
                self.announce_answer(*feature, now);
            }
        }
    }

    fn record_crash(
        &mut self,
        run: UpstreamRun,
        at: Instant,
        features: &[RequestFeature],
        now: Instant,
    ) {
        self.drop_old_crashes(now);
        let Some(at) = self.reconcile_crash(run, at) else {
            return;
        };
        for feature in features.iter().take(MAX_FEATURES_PER_CRASH) {
            let answer = self.answered.last(*feature);
            if answer.is_none_or(|answer| answer < at) {
                self.suspect(*feature, run, at);
            }
        }
    }

    /// Adds a crash to those of a feature.
    fn suspect(&mut self, feature: RequestFeature, run: UpstreamRun, at: Instant) {
        if !self.suspects.contains_key(&feature) && self.suspects.len() >= MAX_SUSPECTS {
            let is_weak = |crashes: &CrashTimes| crashes.len() == 1;
            let dropped = self.suspects.values().position(is_weak).unwrap_or(0);
            self.suspects.shift_remove_index(dropped);
        }
        let crashes = self.suspects.entry(feature).or_default();
        if crashes.len() < MAX_CRASHES_PER_FEATURE && !crashes.contains_key(&run) {
            crashes.insert(run, at);
            self.changes += 1;
        }
    }

    /// Adds a crash, of which other VMs may have reported the time already, and returns its
    /// time. A run ends once: of two reports that are far apart the earlier one was wrong, for
    /// example because the VM was cut off by a link that refuses connections.
    fn reconcile_crash(&mut self, run: UpstreamRun, at: Instant) -> Option<Instant> {
        match self.crashes.get(&run).copied() {
            Some(known) if at + SAME_CRASH_PERIOD < known => return None,
            Some(known) if at <= known + SAME_CRASH_PERIOD => return Some(known),
            Some(_) => {
                self.changes += 1;
                for crashes in self.suspects.values_mut() {
                    crashes.shift_remove(&run);
                }
                self.suspects.retain(|_, crashes| !crashes.is_empty());
            }
            None if self.crashes.len() >= MAX_CRASHES => {
                self.crashes.shift_remove_index(0);
            }
            None => {}
        }
        self.crashes.insert(run, at);
        self.changes += 1;
        Some(at)
    }

    fn drop_old_crashes(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > CRASH_TTL;
        self.own_reports.retain(|report| !is_old(report.at));
        let before = self.crashes.len();
        self.crashes.retain(|_, at| !is_old(*at));
        self.changes += (before - self.crashes.len()) as u64;
        self.suspects.retain(|_, crashes| {
            crashes.retain(|_, at| !is_old(*at));
            !crashes.is_empty()
        });
    }

    /// Records that an answer to a request with this feature began at `at`, as this VM saw.
    /// Returns whether it clears the feature of crashes that other VMs may count.
    pub fn record_own_answer(
        &mut self,
        feature: RequestFeature,
        at: Instant,
        now: Instant,
    ) -> bool {
        self.answered.record(feature, at);
        let cleared = self.clear(feature, at);
        let is_news = cleared > 0 && is_told(feature, cleared);
        if is_news {
            self.announce_answer(feature, now);
        }
        is_news
    }

    /// Applies an answer that another VM knows of.
    pub fn apply_answer(&mut self, answer: &FeatureAnswer, now: Instant) {
        let Some(at) = now.checked_sub(Duration::from_millis(answer.age_ms)) else {
            return;
        };
        if self.answered.record(answer.feature, at) {
            // The other VM tells what this one would tell.
            self.cleared.swap_remove(&answer.feature);
        }
        self.clear(answer.feature, at);
    }

    /// Records that a set of features was released: an answer to a request with all of them is
    /// known.
    pub fn record_release(&mut self, features: &[RequestFeature], now: Instant) {
        for feature in features {
            self.answered.record(*feature, now);
            self.clear(*feature, now);
        }
    }

    /// Removes the crashes of a feature up to an answer. Returns how many there were.
    fn clear(&mut self, feature: RequestFeature, at: Instant) -> usize {
        let Some(crashes) = self.suspects.get_mut(&feature) else {
            return 0;
        };
        // Also an answer that clears no crash changes how many it takes to blame the feature.
        self.changes += 1;
        let before = crashes.len();
        crashes.retain(|_, crash| *crash > at);
        let cleared = before - crashes.len();
        if crashes.is_empty() {
            self.suspects.shift_remove(&feature);
        }
        cleared
    }

    fn announce_answer(&mut self, feature: RequestFeature, now: Instant) {
        if self.cleared.len() >= MAX_SUSPECTS {
            self.cleared.shift_remove_index(0);
        }
        self.cleared.insert(feature, now + ANNOUNCE_PERIOD);
    }

    /// Announces recent own reports again, for example for a VM that may know none, if their
    /// features are still suspected.
    pub fn announce_again(&mut self, now: Instant) {
        let mut reports = std::mem::take(&mut self.own_reports);
        for report in &mut reports {
            let is_recent = now.saturating_duration_since(report.at) < REANNOUNCE_PERIOD;
            if is_recent && !self.still_suspected(report).is_empty() {
                report.announce_until = now + ANNOUNCE_PERIOD;
            }
        }
        self.own_reports = reports;
    }

    /// Returns the own reports for a message: those sent least often first, and of these the
    /// newest. Features that were answered since are left out: a VM that knows no answers would
    /// suspect them.
    pub fn report_announcements(&mut self, now: Instant) -> Vec<CrashReport> {
        let is_announced = |report: &OwnReport| now < report.announce_until;
        let mut order: Vec<usize> = (0..self.own_reports.len())
            .filter(|index| is_announced(&self.own_reports[*index]))
            .collect();
        order.sort_by_key(|index| {
            let report = &self.own_reports[*index];
            (report.sent, Reverse(report.at))
        });
        let mut reports = Vec::new();
        let mut features = 0;
        for index in order.into_iter().take(MAX_ANNOUNCED_REPORTS) {
            if features >= MAX_ANNOUNCED_FEATURES {
                break;
            }
            self.own_reports[index].sent += 1;
            let report = &self.own_reports[index];
            let suspected = self.still_suspected(report);
            features += suspected.len();
            reports.push(CrashReport {
                run: report.run,
                age_ms: age_ms(report.at, now),
                features: suspected,
            });
        }
        reports
    }

    fn still_suspected(&self, report: &OwnReport) -> Vec<RequestFeature> {
        let is_suspected = |feature: &&RequestFeature| {
            let crashes = self.suspects.get(*feature);
            crashes.is_some_and(|crashes| crashes.contains_key(&report.run))
        };
        report
            .features
            .iter()
            .filter(is_suspected)
            .copied()
            .collect()
    }

    /// Returns the answers for a message, the newest first.
    pub fn answer_announcements(&mut self, now: Instant) -> Vec<FeatureAnswer> {
        self.cleared.retain(|_, until| now < *until);
        let features = self.cleared.keys().rev().take(MAX_ANNOUNCED_ANSWERS);
        features
            .filter_map(|feature| {
                let at = self.answered.last(*feature)?;
                Some(FeatureAnswer {
                    feature: *feature,
                    age_ms: age_ms(at, now),
                })
            })
            .collect()
    }

    /// Returns the number of changes that may have changed what is blamed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the number of suspected features.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the sets of features that the known crashes put the blame on, beside those that are
    /// refused already.
    pub fn blamed(&self, refused: &[RefusedFeatures], view: EvidenceView) -> Vec<BlamedFeatures> {
        let is_new = |feature: RequestFeature| self.answered.last(feature).is_none();
        find_blamed(&self.crashes, &self.suspects, is_new, refused, view)
    }
}

/// Returns whether other VMs are told of an answer to a feature with this many crashes.
fn is_told(feature: RequestFeature, crashes: usize) -> bool {
    !feature.is_whole() || crashes >= TOLD_CRASHES_OF_REQUEST
}

/// Drops the last features of each kind beyond those that a report may have.
fn limit_each_kind(features: &mut Vec<RequestFeature>) {
    let mut wholes = 0;
    let mut parts = 0;
    features.retain(|feature| {
        let count = match feature.is_whole() {
            true => &mut wholes,
            false => &mut parts,
        };
        *count += 1;
        *count <= MAX_REPORTED_PER_KIND
    });
}

fn age_ms(at: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}
