//! When requests with a feature were last answered.

use std::time::Instant;

use indexmap::IndexMap;

use crate::request_feature::RequestFeature;

/// Number of features after which the older half of the table is dropped.
const GENERATION_SIZE: usize = 4096;

/// Time of the last known answer to a request with a feature, by feature.
///
/// Two generations bound the memory: when the younger one is full it replaces the older one.
/// A feature that is dropped counts as never answered until its next answer.
#[derive(Debug, Default)]
pub struct AnsweredFeatures {
    young: IndexMap<RequestFeature, Instant>,
    old: IndexMap<RequestFeature, Instant>,
}

impl AnsweredFeatures {
    /// Records an answer. Returns whether it is newer than the known ones.
    pub fn record(&mut self, feature: RequestFeature, at: Instant) -> bool {
        let known = self.last(feature);
        if known.is_some_and(|known| known >= at) {
            return false;
        }
        if self.young.len() >= GENERATION_SIZE {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(feature, at);
        true
    }

    /// Returns the time of the last answer.
    pub fn last(&self, feature: RequestFeature) -> Option<Instant> {
        self.young
            .get(&feature)
            .or_else(|| self.old.get(&feature))
            .copied()
    }
}
