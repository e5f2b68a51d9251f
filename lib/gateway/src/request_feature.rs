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
    Whole(#[serde(with = "digest_list")] RequestDigest),
}

/// Encodes a digest as a list, which tells it from the number of a part.
mod digest_list {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;
    use snipegate_types::RequestDigest;

    pub fn serialize<S: Serializer>(
        digest: &RequestDigest,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        [digest].serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<RequestDigest, D::Error> {
        let [digest] = <[RequestDigest; 1]>::deserialize(deserializer)?;
        Ok(digest)
    }
}

impl RequestFeature {
    /// Returns whether this is a whole request.
    pub fn is_whole(self) -> bool {
        matches!(self, RequestFeature::Whole(_))
    }
}

impl fmt::Display for RequestFeature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestFeature::Part(part) => write!(f, "{part}"),
            RequestFeature::Whole(digest) => write!(f, "request:{digest}"),
        }
    }
}

/// Returns the features of a request: the whole of it, and the shared parts of its prompt, if it
/// has one.
pub fn request_features(
    digest: RequestDigest,
    prompt: Option<&PromptShape>,
) -> Vec<RequestFeature> {
    let whole = RequestFeature::Whole(digest);
    let parts = prompt.map_or(&[][..], PromptShape::shared_parts);
    let parts = parts.iter().map(|part| RequestFeature::Part(part.id));
    std::iter::once(whole).chain(parts).collect()
}
