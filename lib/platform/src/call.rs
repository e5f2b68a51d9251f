//! The configuration store's calls and answers as messages.
//!
//! They travel as MessagePack with named fields in `POST /v1/store`.

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

/// Path that takes [`StoreCall`] messages.
pub const STORE_PATH: &str = "/v1/store";

/// Header that names the calling VM.
pub const CLIENT_VM_HEADER: &str = "x-client-vm";

/// Header that names the caller's data centre.
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
        /// What the keys begin with.
        prefix: String,
        /// The key after which the listing begins.
        after: Option<StoreKey>,
    },
    /// Writes a value if the expectation holds.
    Swap {
        /// The key.
        key: StoreKey,
        /// What must be true of the key.
        expected: ExpectedVersion,
        /// The new value.
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
        /// The lease that the key depends on.
        lease: Option<LeaseId>,
    },
    /// Removes a key if the expectation holds.
    Remove {
        /// The key.
        key: StoreKey,
        /// What must be true of the key.
        expected: ExpectedVersion,
    },
    /// Waits for changes under a prefix.
    Watch {
        /// What the keys begin with.
        prefix: String,
        /// The last revision that the caller knows.
        after: StoreRevision,
        /// How long to wait for a first change, in milliseconds.
        wait_ms: u64,
    },
    /// Creates a lease.
    CreateLease {
        /// How long the lease lasts after it was last kept, in milliseconds.
        time_to_live_ms: u64,
    },
    /// Keeps a lease alive.
    KeepLease {
        /// The lease.
        lease: LeaseId,
    },
}

impl StoreCall {
    /// Returns the kind under which the call is counted.
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

    /// Returns how long the store may wait before it answers.
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
    /// What a read found.
    Value(Option<StoredValue>),
    /// What a listing found.
    Listing(StoreListing),
    /// What a swap or a removal did.
    Outcome(SwapOutcome),
    /// What a watch reports.
    Batch(WatchBatch),
    /// The lease that was created.
    Lease(LeaseId),
    /// The lease was kept.
    Kept,
    /// The value exceeds the size limit.
    ValueTooLarge {
        /// The size of the value in bytes.
        bytes: usize,
    },
    /// The lease does not exist or has lapsed.
    LeaseLapsed,
}

/// The kinds of calls that the store counts and limits.
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
    /// Watches; a waiting one counts once.
    Watch,
    /// Creations of leases.
    CreateLease,
    /// Renewals of leases.
    KeepLease,
}

impl CallKind {
    /// Tells whether the call counts against the store's write rate.
    pub fn is_write(self) -> bool {
        match self {
            CallKind::Swap | CallKind::Remove | CallKind::CreateLease | CallKind::KeepLease => true,
            CallKind::Read | CallKind::List | CallKind::Watch => false,
        }
    }
}
