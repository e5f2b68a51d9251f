//! Decides which whole requests the known crashes put the blame on.
//!
//! A sound request is at a second crash only if it was sent again and had bad luck twice, so
//! few crashes are enough.

use std::time::Duration;

use indexmap::IndexMap;

use crate::known_crashes::CrashTimes;
use crate::known_crashes::EvidenceView;
use crate::known_crashes::UpstreamRun;
use crate::known_crashes::group_crashes;
use crate::known_crashes::is_recent_crash;
use crate::request_feature::RequestFeature;

/// Crashes after which a request is blamed that was never answered, if it is at all recent crashes
/// of its service and no other request is at as many of them.
const MIN_CRASHES: usize = 2;

/// Crashes after which a request is blamed that was never answered. It is the number that a fleet
/// may see before it has to know the request.
const CRASHES_IF_NEW: usize = 3;

/// Crashes since its last answer after which a request is blamed that was answered before.
const CRASHES_IF_ANSWERED: usize = 4;

/// Further crashes that it takes where most recent crashes of the service have other reasons.
const FURTHER_CRASHES_AMONG_OTHERS: usize = 1;

/// Crashes within this time are one group, which counts once: a single cause, such as the loss of
/// a rack, may end many upstreams that run the same request for several callers. A request that
/// is sent on after a crash takes longer to crash the next upstream.
const CRASH_GROUP_PERIOD: Duration = Duration::from_millis(10);

/// A whole request that is blamed.
pub struct BlamedRequest {
    /// The request.
    pub feature: RequestFeature,
    /// The crashes that it explains.
    pub explained: CrashTimes,
    /// Number of groups of crashes that speak against it.
    count: usize,
}

/// Returns the request with the most crashes, if these are enough.
///
/// `suspects` holds the crashes since the last answer to each feature; `is_new` tells whether a
/// feature was never answered.
pub fn most_blamed_request(
    crashes: &CrashTimes,
    suspects: &IndexMap<RequestFeature, CrashTimes>,
    is_new: &impl Fn(RequestFeature) -> bool,
    view: EvidenceView,
) -> Option<BlamedRequest> {
    let is_candidate = |(feature, crashes): &(&RequestFeature, &CrashTimes)| {
        feature.is_whole() && crashes.len() >= MIN_CRASHES
    };
    let candidates: Vec<_> = suspects.iter().filter(is_candidate).collect();
    if candidates.is_empty() {
        return None;
    }
    let groups = group_crashes(crashes, CRASH_GROUP_PERIOD);
    let blamed = candidates.iter().filter_map(|(feature, explained)| {
        let is_rival = |(other, others): &(&RequestFeature, &CrashTimes)| {
            other != feature && shares_crashes(explained, others)
        };
        let count = count_majorities(&groups, explained);
        let recent = count_recent_groups(&groups, crashes, explained);
        let is_at_most = 2 * count > recent;
        let is_sole_cause = count == recent && !candidates.iter().any(is_rival);
        let needed = match (is_new(**feature), view) {
            (true, EvidenceView::Fleet) if is_sole_cause => MIN_CRASHES,
            (true, _) => CRASHES_IF_NEW,
            (false, _) => CRASHES_IF_ANSWERED,
        };
        let further = match is_at_most {
            true => 0,
            false => FURTHER_CRASHES_AMONG_OTHERS,
        };
        (count >= needed + further).then(|| BlamedRequest {
            feature: **feature,
            explained: (*explained).clone(),
            count,
        })
    });
    blamed.max_by_key(|request| request.count)
}

/// Counts the groups of which more than half are among `explained`.
fn count_majorities(groups: &[Vec<UpstreamRun>], explained: &CrashTimes) -> usize {
    let is_in = |run: &&UpstreamRun| explained.contains_key(*run);
    let has_most = |group: &&Vec<UpstreamRun>| 2 * group.iter().filter(is_in).count() > group.len();
    groups.iter().filter(has_most).count()
}

/// Counts the groups that are recent to `explained`, which are of one service.
fn count_recent_groups(
    groups: &[Vec<UpstreamRun>],
    crashes: &CrashTimes,
    explained: &CrashTimes,
) -> usize {
    let is_recent = |group: &&Vec<UpstreamRun>| {
        let run = group.first();
        run.is_some_and(|run| is_recent_crash(*run, crashes[run], explained))
    };
    groups.iter().filter(is_recent).count()
}

/// Returns whether two requests are at so many of the same crashes that each alone may explain
/// them.
fn shares_crashes(crashes: &CrashTimes, others: &CrashTimes) -> bool {
    let is_shared = |run: &&_| others.contains_key(*run);
    crashes.keys().filter(is_shared).count() >= MIN_CRASHES
}
