//! Features of requests that may crash the upstreams that run them.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use serde::de::SeqAccess;
use serde::de::Visitor;
use snipegate_types::PartId;
use snipegate_types::RequestDigest;

use crate::metadata::PromptShape;

/// What requests may have in common that crashes upstreams.
///
/// A part is encoded as a number, as records of earlier builds have it, a whole request as a
/// list of its digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestFeature {
    /// A part of the prompt that other prompts may share.
    Part(PartId),
    /// The request as a whole, which may come again.
    Whole(RequestDigest),
}

impl Serialize for RequestFeature {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            RequestFeature::Part(part) => part.serialize(serializer),
            RequestFeature::Whole(digest) => [digest].serialize(serializer),
        }
    }
}

// Not derived as an untagged enum: that reads a value of any depth before it looks at it, and
// other writers may send values that are nested deeply.
impl<'de> Deserialize<'de> for RequestFeature {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(FeatureVisitor)
    }
}

/// Reads a [`RequestFeature`].
struct FeatureVisitor;

impl<'de> Visitor<'de> for FeatureVisitor {
    type Value = RequestFeature;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a number or a list of one number")
    }

    fn visit_u64<E: de::Error>(self, part: u64) -> Result<RequestFeature, E> {
        Ok(RequestFeature::Part(PartId(part)))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<RequestFeature, A::Error> {
        let digest = list.next_element()?;
        let digest = digest.ok_or_else(|| de::Error::invalid_length(0, &self))?;
        Ok(RequestFeature::Whole(digest))
    }
}

impl RequestFeature {
    /// Returns the number that identifies the feature among those of its kind.
    pub fn number(self) -> u64 {
        match self {
            RequestFeature::Part(part) => part.0,
            RequestFeature::Whole(digest) => digest.0,
        }
    }

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
