//! The interface of the configuration store, a key-value store with
//! compare-and-swap, leases and watches.

use std::error::Error;
use std::fmt;
use std::future::Future;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A key, which consists of path segments joined by `/`.
pub type StoreKey = String;

/// How often the store has come back from an older copy of its content. A store that never
/// does is always in the first era, 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A position in the store's total order of changes. Every write has its own.
///
/// A store that comes back from an older copy gives numbers out again, so numbers are
/// comparable only within an era. Any position of a later era is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "EncodedRevision", into = "EncodedRevision")]
pub struct StoreRevision {
    /// The era that the number belongs to.
    pub era: StoreEra,
    /// The store's revision number.
    pub number: u64,
}

impl StoreRevision {
    /// Creates a position in the first era.
    pub fn new(number: u64) -> Self {
        Self::in_era(StoreEra::default(), number)
    }

    /// Creates a position.
    pub fn in_era(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            StoreEra(0) => write!(f, "{}", self.number),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}

/// Encoding of a position; that of the first era is the number alone.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum EncodedRevision {
    Number(u64),
    InEra(StoreEra, u64),
}

impl From<EncodedRevision> for StoreRevision {
    fn from(encoded: EncodedRevision) -> Self {
        match encoded {
            EncodedRevision::Number(number) => Self::new(number),
            EncodedRevision::InEra(era, number) => Self::in_era(era, number),
        }
    }
}

impl From<StoreRevision> for EncodedRevision {
    fn from(revision: StoreRevision) -> Self {
        match revision.era {
            StoreEra(0) => Self::Number(revision.number),
            era => Self::InEra(era, revision.number),
        }
    }
}

/// Identifies a lease. Keys bound to a lease are removed when it expires.
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

/// The state that a key must be in for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExpectedVersion {
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    At(StoreRevision),
}

/// A condition of a write on another key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyCondition {
    /// The key.
    pub key: StoreKey,
    /// The state that it must be in.
    pub expected: ExpectedVersion,
}

/// The result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SwapOutcome {
    /// The write took effect at this revision.
    Swapped(StoreRevision),
    /// The key was not in the expected state; contains its current value, if any.
    Conflict(Option<StoredValue>),
}

/// The keys under a prefix at one revision, in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreListing {
    /// The revision at which the listing was read.
    pub revision: StoreRevision,
    /// The keys and their values.
    pub entries: Vec<(StoreKey, StoredValue)>,
    /// The key to continue after, if the listing was truncated at the size limit.
    pub more_after: Option<StoreKey>,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChange {
    /// The key that changed.
    pub key: StoreKey,
    /// The revision of the change.
    pub revision: StoreRevision,
    /// The new value, or `None` if the key was removed.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
}

/// The result of a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchBatch {
    /// The changes up to and including `revision`, in order. May be empty.
    Changes {
        /// The revision from which to continue with the next watch.
        revision: StoreRevision,
        /// The changes.
        changes: Vec<StoreChange>,
    },
    /// The requested changes were compacted, so the keys must be listed again.
    Compacted,
}

impl WatchBatch {
    /// Returns whether there are no changes to report.
    pub fn is_empty(&self) -> bool {
        matches!(self, WatchBatch::Changes { changes, .. } if changes.is_empty())
    }
}

/// The reason why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store was unreachable, so the call had no effect.
    Unreachable,
    /// The call was sent but no reply arrived. A write may have taken effect.
    ReplyLost,
    /// The store rejected the call because of its rate limit. The call had no effect.
    RateLimited {
        /// How long to wait before a retry.
        retry_after: Duration,
    },
    /// The value exceeds the size limit.
    ValueTooLarge {
        /// The size of the value in bytes.
        bytes: usize,
    },
    /// The lease does not exist or has expired.
    LeaseExpired,
    /// The reply of the store is invalid.
    InvalidReply,
    /// The answer is from another era than the one expected: the store has come back from an
    /// older copy. A write may have taken effect.
    EraChanged,
}

impl StoreError {
    /// Returns whether a write that failed with this error may have taken effect.
    pub fn may_have_applied(&self) -> bool {
        matches!(
            self,
            StoreError::ReplyLost | StoreError::InvalidReply | StoreError::EraChanged
        )
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Unreachable => write!(f, "configuration store is unreachable"),
            StoreError::ReplyLost => write!(f, "lost the reply of the configuration store"),
            StoreError::RateLimited { retry_after } => write!(
                f,
                "configuration store rate limit exceeded, retry after {} ms",
                retry_after.as_millis()
            ),
            StoreError::ValueTooLarge { bytes } => {
                write!(
                    f,
                    "value of {bytes} bytes exceeds the limit of {MAX_VALUE_BYTES} bytes"
                )
            }
            StoreError::LeaseExpired => write!(f, "lease does not exist or has expired"),
            StoreError::InvalidReply => write!(f, "invalid reply of the configuration store"),
            StoreError::EraChanged => write!(f, "reply of another era of the configuration store"),
        }
    }
}

impl Error for StoreError {}

/// The operations of the configuration store that snipegate uses.
///
/// Every call counts towards the store's rate limit. A pending watch counts as one.
pub trait ConfigStore {
    /// Returns the latest era that an answer of the store named; `None` if no answer named one.
    /// Such a store never comes back from an older copy.
    fn latest_era(&self) -> Option<StoreEra> {
        None
    }

    /// Reads one key.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<StoredValue>, StoreError>>;

    /// Lists the keys under `prefix`, starting after key `after` if it is given.
    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<StoreListing, StoreError>>;

    /// Like `list`; the answer may show the store as it was some seconds earlier, and its
    /// revision says how it was. Such a call costs less where the store offers it.
    fn list_stale(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<StoreListing, StoreError>> {
        self.list(prefix, after)
    }

    /// Writes `value` if the key is in the `expected` state.
    ///
    /// If `lease` is given, the key is removed when that lease expires.
    fn swap(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<SwapOutcome, StoreError>>;

    /// Writes `value` without a lease if the key is in the `expected` state and all `conditions`
    /// hold. The outcome of a conflict does not tell what did not hold.
    ///
    /// A store that never comes back from an older copy may ignore the conditions.
    fn swap_if(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: Vec<u8>,
        _conditions: &[KeyCondition],
    ) -> impl Future<Output = Result<SwapOutcome, StoreError>> {
        self.swap(key, expected, value, None)
    }

    /// Removes the key if it is in the `expected` state.
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

    /// Creates a lease that expires `time_to_live` after its last renewal.
    fn create_lease(
        &self,
        time_to_live: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}
