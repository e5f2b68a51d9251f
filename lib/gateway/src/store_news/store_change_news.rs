//! The message by which a VM tells others of changes in the store.

use serde::Deserialize;
use serde::Serialize;
use snipegate_platform::StoreKey;
use snipegate_platform::StoreRevision;

/// State of a key after a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NewsValue {
    /// The key was written.
    Written(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The key was removed.
    Removed,
    /// The key or others were changed, and the content does not fit a datagram.
    Omitted,
}

/// One change in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsChange {
    /// The key that changed.
    pub key: StoreKey,
    /// Revision of the change.
    pub revision: StoreRevision,
    /// The state after it.
    pub value: NewsValue,
}

/// The changes of keys under a prefix after `before`, up to and including `through`.
///
/// Without changes and with `before` equal to `through`, it tells the revision of the last
/// change that the sender knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreNews {
    /// The prefix. VMs that follow another one, such as those of another build, ignore the
    /// message.
    pub prefix: Box<str>,
    /// Revision up to which the receiver has to know all changes to apply these.
    pub before: StoreRevision,
    /// Revision up to which it then knows all.
    pub through: StoreRevision,
    /// The changes, by revision.
    pub changes: Vec<NewsChange>,
}

impl StoreNews {
    /// Returns whether the content of some change after `known` is missing.
    pub fn is_omitted_after(&self, known: StoreRevision) -> bool {
        self.changes
            .iter()
            .any(|change| change.revision > known && change.value == NewsValue::Omitted)
    }
}
