//! The configuration store: key-value with compare-and-swap, leases and watches.

use std::error::Error;
use std::fmt;
use std::future::Future;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Largest value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A key: path segments joined by `/`.
pub type StoreKey = String;

/// A point in the store's single order of changes; every write has its own.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A lease on which keys can depend; they go when it lapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A value and the revision of the write that set it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// Revision of the last write to the key.
    pub revision: StoreRevision,
    /// The bytes written.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// What must be true of a key for a swap to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExpectedVersion {
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    At(StoreRevision),
}

/// What a compare-and-swap did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SwapOutcome {
    /// The write took effect at this revision.
    Swapped(StoreRevision),
    /// The expectation did not hold; this is what the key holds.
    Conflict(Option<StoredValue>),
}

/// All keys under a prefix at one revision, in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreListing {
    /// The revision at which the listing was read.
    pub revision: StoreRevision,
    /// The keys and their values.
    pub entries: Vec<(StoreKey, StoredValue)>,
    /// The key to continue after where the listing was cut at the size limit.
    pub more_after: Option<StoreKey>,
}

/// One change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChange {
    /// The key that changed.
    pub key: StoreKey,
    /// The revision of the change.
    pub revision: StoreRevision,
    /// The new value, or `None` where the key was removed.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
}

/// What a watch reports at its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchBatch {
    /// The changes up to and including `revision`, in order; may be empty.
    Changes {
        /// Where the next watch continues.
        revision: StoreRevision,
        /// The changes.
        changes: Vec<StoreChange>,
    },
    /// The store no longer knows the changes asked for; list again.
    Compacted,
}

impl WatchBatch {
    /// Tells whether there is nothing to report yet.
    pub fn is_empty(&self) -> bool {
        matches!(self, WatchBatch::Changes { changes, .. } if changes.is_empty())
    }
}

/// Why a call to the store has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store was not reached, so the call had no effect.
    Unreachable,
    /// The call was sent and its reply did not come: a write may have taken effect.
    ReplyLost,
    /// The store refused the call for its rate; it had no effect.
    RateLimited {
        /// When to try again.
        retry_after: Duration,
    },
    /// The value is larger than the store accepts.
    ValueTooLarge {
        /// The size of the value in bytes.
        bytes: usize,
    },
    /// The lease does not exist or has lapsed.
    LeaseLapsed,
    /// The store's answer could not be understood.
    BadReply,
}

impl StoreError {
    /// Tells whether a write that ended in this error may have taken effect.
    pub fn may_have_applied(&self) -> bool {
        matches!(self, StoreError::ReplyLost | StoreError::BadReply)
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Unreachable => write!(f, "configuration store not reached"),
            StoreError::ReplyLost => write!(f, "reply of the configuration store lost"),
            StoreError::RateLimited { retry_after } => write!(
                f,
                "configuration store limits its rate, retry after {} ms",
                retry_after.as_millis()
            ),
            StoreError::ValueTooLarge { bytes } => {
                write!(f, "value of {bytes} bytes exceeds {MAX_VALUE_BYTES}")
            }
            StoreError::LeaseLapsed => write!(f, "lease lapsed"),
            StoreError::BadReply => write!(f, "reply of the configuration store not understood"),
        }
    }
}

impl Error for StoreError {}

/// The configuration store, as far as snipegate uses it.
///
/// Every call counts against the store's rate; a waiting watch counts as one.
pub trait ConfigStore {
    /// Reads one key.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<StoredValue>, StoreError>>;

    /// Lists the keys that begin with `prefix`, after `after` where it is given.
    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<StoreListing, StoreError>>;

    /// Writes `value` if `expected` holds; the key goes when `lease` lapses.
    fn swap(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<SwapOutcome, StoreError>>;

    /// Removes the key if `expected` holds.
    fn remove(
        &self,
        key: &str,
        expected: ExpectedVersion,
    ) -> impl Future<Output = Result<SwapOutcome, StoreError>>;

    /// Waits up to `wait` for changes under `prefix` after revision `after`.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchBatch, StoreError>>;

    /// Creates a lease that lapses `time_to_live` after it was last kept.
    fn create_lease(
        &self,
        time_to_live: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>>;

    /// Keeps a lease alive.
    fn keep_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}
