//! Decides which features of requests the known crashes put the blame on. The rules for whole
//! requests are in [`request_blame`](crate::request_blame).

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::feature_set::FeatureSet;
use crate::known_crashes::CrashTimes;
use crate::known_crashes::EvidenceView;
use crate::known_crashes::UpstreamRun;
use crate::known_crashes::group_crashes;
use crate::known_crashes::is_recent_crash;
use crate::request_blame::most_blamed_request;
use crate::request_feature::RequestFeature;

/// Crashes after which a prompt part is blamed that was never answered and is at half or more of
/// all recent crashes of its service.
const MIN_CRASHES_TO_BLAME: usize = 3;

/// Crashes after which a prompt part is blamed that is in one refused set of several parts already,
/// in other company. Only crashes after the set was refused count: the part may be in the set by
/// chance.
const CRASHES_IN_OTHER_COMPANY: usize = 2;

/// Crashes after which a part is blamed that is in two or more such sets. It is blamed alone
/// then.
const CRASHES_IN_FURTHER_COMPANY: usize = 1;

/// Crashes after which a part is blamed in any case. It is the number that a fleet may see
/// before it has to know the part.
const MAX_CRASHES_TO_BLAME: usize = 5;

/// Crashes within this time are one group, which counts once. A part has to be at half or
/// more of a group: a single cause, such as the loss of a rack, may end many upstreams, with
/// any part at some of them.
const CRASH_GROUP_PERIOD: Duration = Duration::from_millis(100);

/// A set of features that is refused already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedFeatures {
    /// The features.
    pub features: FeatureSet,
    /// When this VM learned that they are refused.
    pub since: Instant,
}

/// A set of features that is blamed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlamedFeatures {
    /// The features; a request is affected if it has all of them.
    pub features: FeatureSet,
    /// Number of crashes that they explain.
    pub crashes: usize,
}

/// Finds the sets of features that explain the crashes.
///
/// `suspects` holds the crashes since the last answer to each feature, `is_new` tells whether a
/// feature was never answered, and `refused` are the sets that are refused already. Features that
/// are at nearly the same crashes can't be told apart: a request is blamed only if it has all
/// of them. A crash that a set explains does not count against further features, which the
/// requests may have had beside it.
pub fn find_blamed(
    crashes: &CrashTimes,
    suspects: &IndexMap<RequestFeature, CrashTimes>,
    is_new: impl Fn(RequestFeature) -> bool,
    refused: &[RefusedFeatures],
    view: EvidenceView,
) -> Vec<BlamedFeatures> {
    let mut blamed = Vec::new();
    // Most requests at a crash are sound and never come again.
    let may_be_blamed = |(feature, crashes): &(&RequestFeature, &CrashTimes)| {
        !feature.is_whole() || crashes.len() > 1
    };
    let suspects = suspects.iter().filter(may_be_blamed);
    let mut open = OpenCrashes {
        crashes: crashes.clone(),
        suspects: suspects
            .map(|(feature, of)| (*feature, of.clone()))
            .collect(),
        refused,
    };
    if open.suspects.is_empty() {
        return blamed;
    }
    for set in refused {
        let explained = open.crashes_of_all(&set.features);
        open.remove_explained(&set.features, &explained);
    }
    while let Some(request) = most_blamed_request(&open.crashes, &open.suspects, &is_new, view) {
        let features = FeatureSet::new(vec![request.feature]);
        open.remove_explained(&features, &request.explained);
        blamed.push(BlamedFeatures {
            features,
            crashes: request.explained.len(),
        });
    }
    while let Some((features, explained)) = open.most_blamed(&is_new, view) {
        open.remove_explained(&features, &explained);
        blamed.push(BlamedFeatures {
            features,
            crashes: explained.len(),
        });
    }
    blamed
}

/// Crashes that no blamed feature explains.
struct OpenCrashes<'a> {
    crashes: CrashTimes,
    suspects: IndexMap<RequestFeature, CrashTimes>,
    refused: &'a [RefusedFeatures],
}

/// The refused sets of several features that a feature is in.
struct RefusedCompany {
    sets: usize,
    /// When this VM learned of the last of them.
    since: Instant,
}

/// A prompt part with enough crashes to be blamed.
struct Candidate {
    feature: RequestFeature,
    /// Whether it was never answered.
    is_new: bool,
    /// Number of groups of crashes that speak against it.
    count: usize,
    /// These crashes.
    crashes: CrashTimes,
    /// Whether it is blamed without the features beside it.
    is_alone: bool,
}

impl OpenCrashes<'_> {
    /// Returns the crashes that all features of a set are at.
    fn crashes_of_all(&self, features: &FeatureSet) -> CrashTimes {
        let of_feature = |feature| self.suspects.get(feature);
        let mut common = self.crashes.clone();
        common.retain(|run, _| {
            let is_at =
                |feature| of_feature(feature).is_some_and(|crashes| crashes.contains_key(run));
            features.features().iter().all(is_at)
        });
        common
    }

    /// Returns the prompt part with the most crashes, if these are enough, together with those that
    /// can't be told apart from it, or the request that is at all of them, and the crashes. A part
    /// that was never answered goes first.
    fn most_blamed(
        &self,
        is_new: &impl Fn(RequestFeature) -> bool,
        view: EvidenceView,
    ) -> Option<(FeatureSet, CrashTimes)> {
        let groups = group_crashes(&self.crashes, CRASH_GROUP_PERIOD);
        let parts = self
            .suspects
            .iter()
            .filter(|(feature, _)| !feature.is_whole());
        let candidates = parts.filter_map(|(feature, crashes)| {
            self.candidate(*feature, crashes, &groups, is_new(*feature), view)
        });
        let top = candidates.max_by_key(|candidate| (candidate.is_new, candidate.count))?;
        let features = match (self.request_at_all(&top.crashes), top.is_alone) {
            (Some(request), _) => vec![request],
            (None, true) => vec![top.feature],
            (None, false) => self.features_beside(&top, is_new),
        };
        Some((FeatureSet::new(features), top.crashes))
    }

    /// Returns a whole request that is at all of several crashes, so that refusing it is enough.
    fn request_at_all(&self, crashes: &CrashTimes) -> Option<RequestFeature> {
        let is_at_all = |(feature, other): &(&RequestFeature, &CrashTimes)| {
            feature.is_whole() && crashes.keys().all(|run| other.contains_key(run))
        };
        let (request, _) = self.suspects.iter().find(is_at_all)?;
        (crashes.len() > 1).then_some(*request)
    }

    /// Returns a prompt part as a candidate if it has enough crashes.
    fn candidate(
        &self,
        feature: RequestFeature,
        crashes: &CrashTimes,
        groups: &[Vec<UpstreamRun>],
        is_new: bool,
        view: EvidenceView,
    ) -> Option<Candidate> {
        let may_be_early = is_new && view == EvidenceView::Fleet;
        let candidate = |count, crashes: CrashTimes, is_alone| Candidate {
            feature,
            is_new,
            count,
            crashes,
            is_alone,
        };
        let count = count_groups(groups, crashes);
        if may_be_early && let Some(company) = self.refused_company(feature) {
            let mut later = crashes.clone();
            later.retain(|_, at| *at > company.since);
            let later_count = count_groups(groups, &later);
            let is_alone = company.sets > 1;
            let needed = match is_alone {
                true => CRASHES_IN_FURTHER_COMPANY,
                false => CRASHES_IN_OTHER_COMPANY,
            };
            if later_count >= needed {
                return Some(candidate(later_count, later, is_alone));
            }
        }
        let needed = match may_be_early {
            true => self.crashes_to_blame(crashes),
            false => MAX_CRASHES_TO_BLAME,
        };
        (count >= needed).then(|| candidate(count, crashes.clone(), false))
    }

    /// Returns the features that can't be told apart from a candidate, including its own.
    fn features_beside(
        &self,
        top: &Candidate,
        is_new: &impl Fn(RequestFeature) -> bool,
    ) -> Vec<RequestFeature> {
        let may_be_cause = |(feature, other): &(&RequestFeature, &CrashTimes)| {
            let is_shared = |run: &&UpstreamRun| other.contains_key(*run);
            let shared = top.crashes.keys().filter(is_shared).count();
            !feature.is_whole()
                && is_new(**feature) >= top.is_new
                && 3 * shared >= 2 * top.crashes.len()
        };
        let features = self.suspects.iter().filter(may_be_cause);
        features.map(|(feature, _)| *feature).collect()
    }

    /// Returns the refused sets of several features that a feature is in; `None` if there is none.
    fn refused_company(&self, feature: RequestFeature) -> Option<RefusedCompany> {
        let has_feature = |set: &&RefusedFeatures| {
            let features = set.features.features();
            features.len() > 1 && features.contains(&feature)
        };
        let sets = self.refused.iter().filter(has_feature);
        let since = sets.clone().map(|set| set.since).max()?;
        Some(RefusedCompany {
            sets: sets.count(),
            since,
        })
    }

    /// Returns the number of crashes after which a part is blamed that was never answered.
    /// Where many upstreams crash for other reasons, a rare part is at some of the crashes by
    /// chance, and it takes more.
    fn crashes_to_blame(&self, crashes: &CrashTimes) -> usize {
        let is_recent =
            |(run, at): &(&UpstreamRun, &Instant)| is_recent_crash(**run, **at, crashes);
        let recent = self.crashes.iter().filter(is_recent).count();
        if 2 * crashes.len() >= recent {
            MIN_CRASHES_TO_BLAME
        } else if 4 * crashes.len() >= recent {
            MIN_CRASHES_TO_BLAME + 1
        } else {
            MAX_CRASHES_TO_BLAME
        }
    }

    /// Removes the crashes that a set explains. Of those that a whole request explains the first
    /// one stays: the parts of its prompt may be the cause too, for which further crashes then
    /// speak.
    fn remove_explained(&mut self, features: &FeatureSet, explained: &CrashTimes) {
        if !features.is_whole_request() {
            return self.remove(explained);
        }
        for request in features.features() {
            self.suspects.shift_remove(request);
        }
        let first = explained.iter().min_by_key(|(_, at)| **at);
        let first = first.map(|(run, _)| *run);
        let mut later = explained.clone();
        later.retain(|run, _| Some(*run) != first);
        self.remove(&later);
    }

    fn remove(&mut self, explained: &CrashTimes) {
        let is_open = |run: &UpstreamRun| !explained.contains_key(run);
        self.crashes.retain(|run, _| is_open(run));
        self.suspects.retain(|_, crashes| {
            crashes.retain(|run, _| is_open(run));
            !crashes.is_empty()
        });
    }
}

/// Counts the groups of which half or more are among `crashes`.
fn count_groups(groups: &[Vec<UpstreamRun>], crashes: &CrashTimes) -> usize {
    let is_in = |run: &&UpstreamRun| crashes.contains_key(*run);
    let has_half =
        |group: &&Vec<UpstreamRun>| 2 * group.iter().filter(is_in).count() >= group.len();
    groups.iter().filter(has_half).count()
}
