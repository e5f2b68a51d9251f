//! Crashes of upstreams and the prompt parts that may have caused them.
//!
//! When an upstream crashes, each VM reports the parts of those requests that it had sent
//! there and that were not being answered yet: one of them may have caused the crash. An
//! answer that begins after the crash clears its parts.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::PartId;

use crate::answered_parts::AnsweredParts;
use crate::crash_blame::BlamedParts;
use crate::crash_blame::CrashTimes;
use crate::crash_blame::EvidenceView;
use crate::crash_blame::RefusedParts;
use crate::crash_blame::find_blamed;
use crate::gossip::ANNOUNCE_PERIOD;
use crate::upstream::UpstreamEntry;
use crate::upstream::upstream_code;

/// Reports of the same crash by different VMs are within this time.
const SAME_CRASH_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of remembered crashes.
const MAX_CRASHES: usize = 256;

/// How long a crash counts.
const CRASH_TTL: Duration = Duration::from_secs(600);

/// Maximum number of suspected parts.
const MAX_SUSPECTS: usize = 1024;

/// Maximum number of crashes that are remembered for one part.
const MAX_CRASHES_PER_PART: usize = 32;

/// Maximum number of own reports that are remembered.
const MAX_OWN_REPORTS: usize = 64;

/// Maximum number of parts in one report.
const MAX_REPORTED_PARTS: usize = 48;

/// Maximum number of reports in one message.
const MAX_ANNOUNCED_REPORTS: usize = 8;

/// Number of parts in a message after which no further report is added. A VM relays the
/// messages of many others, over a link that may be slow.
const MAX_ANNOUNCED_PARTS: usize = 96;

/// Maximum number of answers in one message.
const MAX_ANNOUNCED_ANSWERS: usize = 32;

/// Age up to which a crash is announced again to a VM that may not know it.
const REANNOUNCE_PERIOD: Duration = Duration::from_secs(10);

/// One run of an upstream's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamRun {
    /// Code of the upstream; see [`upstream_code`].
    pub upstream: u32,
    /// Start time of the run in milliseconds since the Unix epoch, if published.
    pub started_ms: Option<u64>,
}

impl UpstreamRun {
    /// Returns the run that an entry describes.
    pub fn of(entry: &UpstreamEntry) -> Self {
        Self {
            upstream: upstream_code(&entry.id),
            started_ms: entry.started_ms,
        }
    }
}

/// A VM's report of a crash, sent to the other VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The run that ended.
    pub run: UpstreamRun,
    /// Age of the crash in milliseconds.
    pub age_ms: u64,
    /// Parts of the VM's requests that were not being answered yet, without the last part of
    /// each.
    pub parts: Vec<PartId>,
}

/// A part that was answered, sent to VMs that may suspect it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartAnswer {
    /// The part.
    pub part: PartId,
    /// Age of the last known answer in milliseconds.
    pub age_ms: u64,
}

/// A crash that this VM noticed.
#[derive(Clone, Debug)]
struct OwnReport {
    run: UpstreamRun,
    at: Instant,
    parts: Vec<PartId>,
    announce_until: Instant,
    /// Number of messages that included it.
    sent: u32,
}

/// Crashes and answers that are known, of all VMs.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// All crashes, also those that left no prompt unanswered.
    crashes: CrashTimes,
    /// For each suspected part, the crashes since its last answer. The last part to become
    /// suspected is at the end.
    suspects: IndexMap<PartId, CrashTimes>,
    answered: AnsweredParts,
    own_reports: Vec<OwnReport>,
    /// Suspected parts of which this VM knows an answer, with the time until which other VMs
    /// are told.
    cleared: IndexMap<PartId, Instant>,
}

impl CrashEvidence {
    /// Records a crash that this VM noticed.
    pub fn record_own_crash(
        &mut self,
        run: UpstreamRun,
        at: Instant,
        mut parts: Vec<PartId>,
        now: Instant,
    ) {
        parts.sort();
        parts.dedup();
        // The most suspected parts first: those never answered, then by known crashes.
        parts.sort_by_key(|part| {
            let crashes = self.suspects.get(part).map_or(0, IndexMap::len);
            (self.answered.last(*part), Reverse(crashes))
        });
        parts.truncate(MAX_REPORTED_PARTS);
        self.record_crash(run, at, &parts, now);
        if self.own_reports.len() >= MAX_OWN_REPORTS {
            self.own_reports.remove(0);
        }
        self.own_reports.push(OwnReport {
            run,
            at,
            parts,
            announce_until: now + ANNOUNCE_PERIOD,
            sent: 0,
        });
    }

    /// Applies another VM's report, and prepares to tell the others of suspected parts that
    /// this VM knows to be answered.
    pub fn apply_report(&mut self, report: &CrashReport, now: Instant) {
        let Some(at) = now.checked_sub(Duration::from_millis(report.age_ms)) else {
            return;
        };
        self.record_crash(report.run, at, &report.parts, now);
        for part in report.parts.iter().take(MAX_REPORTED_PARTS) {
            if self.answered.last(*part).is_some() {
                self.announce_answer(*part, now);
            }
        }
    }

    fn record_crash(&mut self, run: UpstreamRun, at: Instant, parts: &[PartId], now: Instant) {
        self.drop_old_crashes(now);
        let Some(at) = self.reconcile_crash(run, at) else {
            return;
        };
        for part in parts.iter().take(MAX_REPORTED_PARTS) {
            if self.answered.last(*part).is_some_and(|answer| answer >= at) {
                continue;
            }
            if !self.suspects.contains_key(part) && self.suspects.len() >= MAX_SUSPECTS {
                self.suspects.shift_remove_index(0);
            }
            let crashes = self.suspects.entry(*part).or_default();
            if crashes.len() < MAX_CRASHES_PER_PART {
                crashes.entry(run).or_insert(at);
            }
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
        Some(at)
    }

    fn drop_old_crashes(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > CRASH_TTL;
        self.own_reports.retain(|report| !is_old(report.at));
        self.crashes.retain(|_, at| !is_old(*at));
        self.suspects.retain(|_, crashes| {
            crashes.retain(|_, at| !is_old(*at));
            !crashes.is_empty()
        });
    }

    /// Records that an answer to a prompt with this part began at `at`, as this VM saw.
    /// Returns whether it clears the part of a crash.
    pub fn record_own_answer(&mut self, part: PartId, at: Instant, now: Instant) -> bool {
        self.answered.record(part, at);
        let cleared = self.clear(part, at);
        if cleared {
            self.announce_answer(part, now);
        }
        cleared
    }

    /// Applies an answer that another VM knows of. Returns whether it clears the part of a
    /// crash.
    pub fn apply_answer(&mut self, answer: &PartAnswer, now: Instant) -> bool {
        let Some(at) = now.checked_sub(Duration::from_millis(answer.age_ms)) else {
            return false;
        };
        if self.answered.record(answer.part, at) {
            // The other VM tells what this one would tell.
            self.cleared.swap_remove(&answer.part);
        }
        self.clear(answer.part, at)
    }

    /// Records that a set of parts was released: an answer to a prompt with all of them is
    /// known.
    pub fn record_release(&mut self, parts: &[PartId], now: Instant) {
        for part in parts {
            self.answered.record(*part, now);
            self.clear(*part, now);
        }
    }

    /// Removes the crashes of a part up to an answer.
    fn clear(&mut self, part: PartId, at: Instant) -> bool {
        let Some(crashes) = self.suspects.get_mut(&part) else {
            return false;
        };
        let before = crashes.len();
        crashes.retain(|_, crash| *crash > at);
        let cleared = crashes.len() < before;
        if crashes.is_empty() {
            self.suspects.shift_remove(&part);
        }
        cleared
    }

    fn announce_answer(&mut self, part: PartId, now: Instant) {
        if self.cleared.len() >= MAX_SUSPECTS {
            self.cleared.shift_remove_index(0);
        }
        self.cleared.insert(part, now + ANNOUNCE_PERIOD);
    }

    /// Announces recent own reports again, for example for a VM that may know none, if their
    /// parts are still suspected.
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
    /// newest. Parts that were answered since are left out: a VM that knows no answers would
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
        let mut parts = 0;
        for index in order.into_iter().take(MAX_ANNOUNCED_REPORTS) {
            if parts >= MAX_ANNOUNCED_PARTS {
                break;
            }
            self.own_reports[index].sent += 1;
            let report = &self.own_reports[index];
            let suspected = self.still_suspected(report);
            parts += suspected.len();
            reports.push(CrashReport {
                run: report.run,
                age_ms: age_ms(report.at, now),
                parts: suspected,
            });
        }
        reports
    }

    fn still_suspected(&self, report: &OwnReport) -> Vec<PartId> {
        let is_suspected = |part: &&PartId| {
            let crashes = self.suspects.get(*part);
            crashes.is_some_and(|crashes| crashes.contains_key(&report.run))
        };
        report.parts.iter().filter(is_suspected).copied().collect()
    }

    /// Returns the answers for a message, the newest first.
    pub fn answer_announcements(&mut self, now: Instant) -> Vec<PartAnswer> {
        self.cleared.retain(|_, until| now < *until);
        let parts = self.cleared.keys().rev().take(MAX_ANNOUNCED_ANSWERS);
        parts
            .filter_map(|part| {
                let at = self.answered.last(*part)?;
                Some(PartAnswer {
                    part: *part,
                    age_ms: age_ms(at, now),
                })
            })
            .collect()
    }

    /// Returns the number of suspected parts.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the sets of parts that the known crashes put the blame on, beside those that are
    /// refused already.
    pub fn blamed(&self, refused: &[RefusedParts], view: EvidenceView) -> Vec<BlamedParts> {
        let is_new = |part: PartId| self.answered.last(part).is_none();
        find_blamed(&self.crashes, &self.suspects, is_new, refused, view)
    }
}

fn age_ms(at: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}
