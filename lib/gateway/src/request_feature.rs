//! Features of requests that may crash the upstreams that run them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::PartId;
use snipegate_types::RequestDigest;

use crate::metadata::PromptShape;

/// What requests may have in common that crashes upstreams.
///
/// A part is encoded as a number, as records of earlier builds have it, a whole request as a
/// list of its digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(untagged)]
pub enum RequestFeature {
    /// A part of the prompt that other prompts may share.
    Part(PartId),
    /// The request as a whole, which may come again.
    Whole {
        /// The request.
        digest: RequestDigest,
    },
}

impl RequestFeature {
    /// Returns whether this is a whole request.
    pub fn is_whole(self) -> bool {
        matches!(self, RequestFeature::Whole { .. })
    }
}

impl fmt::Display for RequestFeature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestFeature::Part(part) => write!(f, "{part}"),
            RequestFeature::Whole { digest } => write!(f, "request:{digest}"),
        }
    }
}

/// Returns the features of a request with this prompt: the shared parts of it.
pub fn request_features(prompt: Option<&PromptShape>) -> Vec<RequestFeature> {
    let parts = prompt.map_or(&[][..], PromptShape::shared_parts);
    let parts = parts.iter().map(|part| RequestFeature::Part(part.id));
    parts.collect()
}
