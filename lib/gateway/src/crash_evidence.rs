//! Finds the prompt parts that crash upstreams.
//!
//! When an upstream crashes, each VM reports the parts of those requests that it had sent
//! there and that were not being answered yet: one of them may have caused the crash. An
//! answer that begins after the crash clears its parts. What remains at several crashes is
//! blamed.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::PartId;
use snipegate_types::UpstreamId;

use crate::answered_parts::AnsweredParts;
use crate::part_set::PartSet;
use crate::upstream::UpstreamEntry;
use crate::upstream::upstream_code;

/// Crashes after which a part is blamed that was never answered.
const CRASHES_TO_BLAME: usize = 3;

/// Crashes after which a part is blamed that was answered before the first of them.
const CRASHES_TO_BLAME_ANSWERED: usize = 5;

/// Crashes that are closer together count as one: a single cause, such as the loss of a rack,
/// may end many upstreams.
const MIN_CRASH_SPACING: Duration = Duration::from_millis(100);

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

/// Maximum number of reports, and of answers, in one message.
const MAX_ANNOUNCED: usize = 32;

/// How long news is included in every message.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(2);

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
        Self::new(&entry.id, entry.started_ms)
    }

    /// Returns the run of an upstream with a start time.
    pub fn new(id: &UpstreamId, started_ms: Option<u64>) -> Self {
        Self {
            upstream: upstream_code(id),
            started_ms,
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
}

/// Crashes and answers that are known, of all VMs.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// For each suspected part, the crashes since its last answer. The last part to become
    /// suspected is at the end.
    suspects: IndexMap<PartId, IndexMap<UpstreamRun, Instant>>,
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
        parts.sort_by_key(|part| (self.answered.last(*part), *part));
        parts.dedup();
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

    fn drop_old_crashes(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > CRASH_TTL;
        self.own_reports.retain(|report| !is_old(report.at));
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

    /// Announces all own reports again, for example for a VM that may know none.
    pub fn announce_all(&mut self, now: Instant) {
        for report in &mut self.own_reports {
            report.announce_until = now + ANNOUNCE_PERIOD;
        }
    }

    /// Returns the own reports for a message, the newest first.
    pub fn report_announcements(&self, now: Instant) -> Vec<CrashReport> {
        let announced = self.own_reports.iter().rev();
        announced
            .filter(|report| now < report.announce_until)
            .take(MAX_ANNOUNCED)
            .map(|report| CrashReport {
                run: report.run,
                age_ms: age_ms(report.at, now),
                parts: report.parts.clone(),
            })
            .collect()
    }

    /// Returns the answers for a message, the newest first.
    pub fn answer_announcements(&mut self, now: Instant) -> Vec<PartAnswer> {
        self.cleared.retain(|_, until| now < *until);
        let parts = self.cleared.keys().rev().take(MAX_ANNOUNCED);
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

    /// Returns the parts that the known crashes put the blame on, and the number of crashes
    /// that each set explains.
    ///
    /// Parts that the same crashes speak against can't be told apart: a prompt is blamed
    /// only if it has all of them. A crash that a set explains does not count against
    /// further parts, which the prompts may have had beside it.
    pub fn blamed(&self) -> Vec<(PartSet, usize)> {
        let mut unexplained: IndexMap<PartId, IndexMap<UpstreamRun, Instant>> = self
            .suspects
            .iter()
            .filter(|(part, crashes)| crashes.len() >= self.crashes_to_blame(**part))
            .map(|(part, crashes)| (*part, crashes.clone()))
            .collect();
        let mut blamed = Vec::new();
        while let Some((parts, runs)) = self.most_blamed(&unexplained) {
            blamed.push((PartSet::new(parts), runs.len()));
            for crashes in unexplained.values_mut() {
                crashes.retain(|run, _| !runs.contains(run));
            }
        }
        blamed
    }

    /// Returns the parts with the most crashes, if there are enough, and these crashes. A
    /// part that was never answered goes first.
    fn most_blamed(
        &self,
        unexplained: &IndexMap<PartId, IndexMap<UpstreamRun, Instant>>,
    ) -> Option<(Vec<PartId>, Vec<UpstreamRun>)> {
        let rank = |part: PartId, crashes: &IndexMap<UpstreamRun, Instant>| {
            (self.answered.last(part).is_none(), count_apart(crashes))
        };
        let candidates = || {
            unexplained
                .iter()
                .filter(|(part, crashes)| count_apart(crashes) >= self.crashes_to_blame(**part))
        };
        let (top, crashes) = candidates().max_by_key(|(part, crashes)| rank(**part, crashes))?;
        let is_tied = |part: PartId, other: &IndexMap<UpstreamRun, Instant>| {
            rank(part, other) == rank(*top, crashes)
                && other.len() == crashes.len()
                && other.keys().all(|run| crashes.contains_key(run))
        };
        let tied = candidates().filter(|(part, other)| is_tied(**part, other));
        let parts = tied.map(|(part, _)| *part).collect();
        Some((parts, crashes.keys().copied().collect()))
    }

    fn crashes_to_blame(&self, part: PartId) -> usize {
        match self.answered.last(part) {
            None => CRASHES_TO_BLAME,
            Some(_) => CRASHES_TO_BLAME_ANSWERED,
        }
    }
}

/// Counts crashes, of which those within `MIN_CRASH_SPACING` after a counted one don't count.
fn count_apart(crashes: &IndexMap<UpstreamRun, Instant>) -> usize {
    let mut times: Vec<Instant> = crashes.values().copied().collect();
    times.sort();
    let mut counted = 0;
    let mut last: Option<Instant> = None;
    for at in times {
        if last.is_none_or(|last| at - last >= MIN_CRASH_SPACING) {
            counted += 1;
            last = Some(at);
        }
    }
    counted
}

fn age_ms(at: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}
