//! Crashes of upstreams as a VM knows them: the runs that ended, when, and in which groups.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::stable_hash;
use crate::upstream::UpstreamEntry;
use crate::upstream::upstream_code;

/// Crashes are recent to a feature's crashes up to this time before its first one.
const RECENT_PERIOD: Duration = Duration::from_secs(10);

/// One run of an upstream's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamRun {
    /// Hash of the name of the upstream's service.
    pub service: u32,
    /// Code of the upstream; see [`upstream_code`].
    pub upstream: u32,
    /// Start time of the run in milliseconds since the Unix epoch, if published.
    pub started_ms: Option<u64>,
}

impl UpstreamRun {
    /// Returns the run that an entry describes.
    pub fn of(entry: &UpstreamEntry) -> Self {
        Self {
            service: stable_hash(&entry.service) as u32,
            upstream: upstream_code(&entry.id),
            started_ms: entry.started_ms,
        }
    }
}

/// Crashes by the run that ended, with the time at which the first report puts them.
pub type CrashTimes = IndexMap<UpstreamRun, Instant>;

/// Which VMs' crashes and answers a VM knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceView {
    /// Those of half or more of the fleet.
    Fleet,
    /// Those of a smaller part of it, so answers may be missing that clear a feature.
    Minority,
}

/// Returns whether a crash is of the same service as those that a feature explains, and recent to
/// them.
pub fn is_recent_crash(run: UpstreamRun, at: Instant, explained: &CrashTimes) -> bool {
    let is_same_service = explained.keys().any(|other| other.service == run.service);
    let first = explained.values().min();
    let last = explained.values().max();
    is_same_service
        && first.is_some_and(|first| at + RECENT_PERIOD >= *first)
        && last.is_some_and(|last| at <= *last)
}

/// Divides crashes into groups, each of those of one service within `period` of its first one.
pub fn group_crashes(crashes: &CrashTimes, period: Duration) -> Vec<Vec<UpstreamRun>> {
    let mut ordered: Vec<(UpstreamRun, Instant)> =
        crashes.iter().map(|(run, at)| (*run, *at)).collect();
    ordered.sort_by_key(|(run, at)| (run.service, *at));
    let mut groups: Vec<Vec<UpstreamRun>> = Vec::new();
    let mut first: Option<(u32, Instant)> = None;
    for (run, at) in ordered {
        let continues =
            first.is_some_and(|(service, first)| run.service == service && at - first < period);
        match groups.last_mut() {
            Some(group) if continues => group.push(run),
            _ => {
                first = Some((run.service, at));
                groups.push(vec![run]);
            }
        }
    }
    groups
}
