//! When requests with a feature were last answered.

use std::time::Instant;

use indexmap::IndexMap;

use crate::request_feature::RequestFeature;

/// Number of prompt parts after which the older half of their table is dropped.
const PARTS_PER_GENERATION: usize = 4096;

/// The same for whole requests, of which most never come again.
const REQUESTS_PER_GENERATION: usize = 1024;

/// Time of the last known answer to a request with a feature, by feature.
///
/// A feature that is dropped counts as never answered until its next answer.
#[derive(Debug)]
pub struct AnsweredFeatures {
    parts: AnswerGenerations,
    requests: AnswerGenerations,
}

impl Default for AnsweredFeatures {
    fn default() -> Self {
        Self {
            parts: AnswerGenerations::new(PARTS_PER_GENERATION),
            requests: AnswerGenerations::new(REQUESTS_PER_GENERATION),
        }
    }
}

impl AnsweredFeatures {
    /// Records an answer. Returns whether it is newer than the known ones.
    pub fn record(&mut self, feature: RequestFeature, at: Instant) -> bool {
        match feature.is_whole() {
            true => self.requests.record(feature, at),
            false => self.parts.record(feature, at),
        }
    }

    /// Returns the time of the last answer.
    pub fn last(&self, feature: RequestFeature) -> Option<Instant> {
        match feature.is_whole() {
            true => self.requests.last(feature),
            false => self.parts.last(feature),
        }
    }
}

/// Two generations bound the memory: when the younger one is full it replaces the older one.
#[derive(Debug)]
struct AnswerGenerations {
    size: usize,
    young: IndexMap<RequestFeature, Instant>,
    old: IndexMap<RequestFeature, Instant>,
}

impl AnswerGenerations {
    fn new(size: usize) -> Self {
        Self {
            size,
            young: IndexMap::new(),
            old: IndexMap::new(),
        }
    }

    fn record(&mut self, feature: RequestFeature, at: Instant) -> bool {
        let known = self.last(feature);
        if known.is_some_and(|known| known >= at) {
            return false;
        }
        if self.young.len() >= self.size {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(feature, at);
        true
    }

    fn last(&self, feature: RequestFeature) -> Option<Instant> {
        let young = self.young.get(&feature);
        young.or_else(|| self.old.get(&feature)).copied()
    }
}
