//! Sets of features of requests.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::request_feature::RequestFeature;

/// Features that are looked for together: a request matches if it has all of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FeatureSet(Vec<RequestFeature>);

impl FeatureSet {
    /// Creates the set of some features, in any order.
    pub fn new(mut features: Vec<RequestFeature>) -> Self {
        features.sort();
        features.dedup();
        Self(features)
    }

    /// Returns whether the set is not empty and `features` has all its features.
    pub fn is_within(&self, features: &[RequestFeature]) -> bool {
        !self.0.is_empty() && self.0.iter().all(|feature| features.contains(feature))
    }

    /// Returns whether the set is a whole request.
    pub fn is_whole_request(&self) -> bool {
        self.0.iter().any(|feature| feature.is_whole())
    }

    /// Returns whether all features of this set are in `other`.
    pub fn is_subset(&self, other: &Self) -> bool {
        self.0.iter().all(|feature| other.0.contains(feature))
    }

    /// Returns the features in order of their ids.
    pub fn features(&self) -> &[RequestFeature] {
        &self.0
    }
}

impl fmt::Display for FeatureSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, feature) in self.0.iter().enumerate() {
            let separator = if number == 0 { "" } else { "+" };
            write!(f, "{separator}{feature}")?;
        }
        Ok(())
    }
}
