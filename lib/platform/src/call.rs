//! The messages of the configuration store protocol.
//!
//! They are sent as MessagePack with named fields in `POST /v1/store`.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumCount;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::store::ExpectedVersion;
use crate::store::LeaseId;
use crate::store::StoreKey;
use crate::store::StoreListing;
use crate::store::StoreRevision;
use crate::store::StoredValue;
use crate::store::SwapOutcome;
use crate::store::WatchBatch;

/// Path that accepts [`StoreCall`] messages.
pub const STORE_PATH: &str = "/v1/store";

/// Header that names the calling VM.
pub const CLIENT_VM_HEADER: &str = "x-client-vm";

/// Header that names the data centre of the calling VM.
pub const CLIENT_DATA_CENTRE_HEADER: &str = "x-client-data-centre";

/// One call to the configuration store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads one key.
    Read {
        /// The key.
        key: StoreKey,
    },
    /// Lists the keys under a prefix.
    List {
        /// The prefix of the keys to list.
        prefix: String,
        /// Start the listing after this key, if given.
        after: Option<StoreKey>,
    },
    /// Writes a value if the key is in the expected state.
    Swap {
        /// The key.
        key: StoreKey,
        /// The expected state of the key.
        expected: ExpectedVersion,
        /// The new value.
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
        /// The lease that the key is bound to, if any.
        lease: Option<LeaseId>,
    },
    /// Removes a key if it is in the expected state.
    Remove {
        /// The key.
        key: StoreKey,
        /// The expected state of the key.
        expected: ExpectedVersion,
    },
    /// Waits for changes under a prefix.
    Watch {
        /// The prefix of the keys to watch.
        prefix: String,
        /// The last revision that the caller has seen.
        after: StoreRevision,
        /// How long to wait for the first change, in milliseconds.
        wait_ms: u64,
    },
    /// Creates a lease.
    CreateLease {
        /// How long the lease lasts after its last renewal, in milliseconds.
        time_to_live_ms: u64,
    },
    /// Renews a lease.
    KeepLease {
        /// The lease.
        lease: LeaseId,
    },
}

impl StoreCall {
    /// Returns the kind of the call, used for counters and rate limits.
    pub fn kind(&self) -> CallKind {
        match self {
            StoreCall::Read { .. } => CallKind::Read,
            StoreCall::List { .. } => CallKind::List,
            StoreCall::Swap { .. } => CallKind::Swap,
            StoreCall::Remove { .. } => CallKind::Remove,
            StoreCall::Watch { .. } => CallKind::Watch,
            StoreCall::CreateLease { .. } => CallKind::CreateLease,
            StoreCall::KeepLease { .. } => CallKind::KeepLease,
        }
    }

    /// Returns how long the store may block before it answers.
    pub fn wait(&self) -> Duration {
        match self {
            StoreCall::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        }
    }
}

/// The store's answer to one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// The result of a read; `None` if the key does not exist.
    Value(Option<StoredValue>),
    /// The result of a listing.
    Listing(StoreListing),
    /// The result of a swap or a removal.
    Outcome(SwapOutcome),
    /// The result of a watch.
    Batch(WatchBatch),
    /// The ID of the created lease.
    Lease(LeaseId),
    /// The lease was renewed.
    Kept,
    /// The value exceeds the size limit.
    ValueTooLarge {
        /// The size of the value in bytes.
        bytes: usize,
    },
    /// The lease does not exist or has expired.
    LeaseLapsed,
}

/// The kind of a store call, by which calls are counted and rate-limited.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumCount,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// Reads of one key.
    Read,
    /// Listings.
    List,
    /// Compare-and-swap writes.
    Swap,
    /// Removals.
    Remove,
    /// Watches. A pending watch counts as one call.
    Watch,
    /// Creations of leases.
    CreateLease,
    /// Renewals of leases.
    KeepLease,
}

impl CallKind {
    /// Returns whether the call counts towards the write rate limit of the store.
    pub fn is_write(self) -> bool {
        match self {
            CallKind::Swap | CallKind::Remove | CallKind::CreateLease | CallKind::KeepLease => true,
            CallKind::Read | CallKind::List | CallKind::Watch => false,
        }
    }
}
