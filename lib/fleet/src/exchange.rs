//! The messages by which processes replicate the fleet view.

use serde::Deserialize;
use serde::Serialize;
use snipegate_platform::StoreKey;
use snipegate_platform::StoreRevision;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::UpstreamId;

use crate::key::FleetKey;

/// A request that an upstream leave, made while the store cannot be written.
///
/// It applies while the revision of the upstream's record is at most `over`. The next
/// write of the record replaces it, whatever state that write sets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveMark {
    /// The upstream that takes no new work.
    pub upstream: UpstreamId,
    /// Revision of the record that the operator read.
    pub over: StoreRevision,
    /// The ID of the operator's operation.
    pub operation: OperationId,
}

/// The liveness of a member.
///
/// A member without any of these flags is in the normal state and is not listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLiveness {
    /// The incarnation of the process.
    pub member: IncarnationId,
    /// It has not answered for some time. It may still be running.
    pub suspected: bool,
    /// It has announced that it is stopping.
    pub leaving: bool,
    /// It has reported that it cannot reach the store.
    pub store_lost: bool,
    /// It is proven to have ended, so its record is obsolete.
    pub ended: bool,
}

impl MemberLiveness {
    /// Creates the liveness of a member in the normal state, with no flag set.
    pub fn up(member: IncarnationId) -> Self {
        Self {
            member,
            suspected: false,
            leaving: false,
            store_lost: false,
            ended: false,
        }
    }
}

/// The newest change of a key that a peer knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewChange {
    /// The key.
    pub key: StoreKey,
    /// Revision of the write or the removal.
    pub revision: StoreRevision,
    /// The record as JSON, or `None` if the key was removed.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
}

/// The part of the view that a process follows. It does not change during the
/// lifetime of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewScope {
    /// Everything.
    #[default]
    Whole,
    /// The fleet-wide settings and the members.
    Members,
}

impl ViewScope {
    /// Returns whether a key belongs to this scope.
    pub fn covers(self, key: &str) -> bool {
        match self {
            ViewScope::Whole => true,
            ViewScope::Members => {
                key.starts_with(FleetKey::MEMBER_PREFIX) || key == FleetKey::SETTINGS
            }
        }
    }
}

/// The request body of `POST /view`: asks a keeper for the changes that the sender
/// lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewQuery {
    /// The process that sends the query, if it is to be tracked as a follower.
    pub asker: Option<IncarnationId>,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// The revision up to which the sender has all changes in its scope.
    pub after: StoreRevision,
    /// The part of the view that the sender follows.
    pub scope: ViewScope,
    /// The version of the liveness that the sender has from this incarnation of the
    /// keeper, 0 if it has none. Absent if it does not need the liveness.
    pub liveness_version: Option<u64>,
    /// How long to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// The response body of `POST /view`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewReply {
    /// The keeper that sends the reply.
    pub keeper: IncarnationId,
    /// The revision up to which the receiver has all changes after applying this reply.
    pub complete_to: StoreRevision,
    /// Whether `changes` contains all existing keys. This is the case if the keeper
    /// no longer has the tombstones of all removals that the receiver may have missed.
    pub full: bool,
    /// Age of the keeper's view in milliseconds, or `None` if it has no complete view.
    pub age_ms: Option<u64>,
    /// The keeper that received this state directly from the store.
    pub source: Option<IncarnationId>,
    /// The changes in ascending order of revision.
    pub changes: Vec<ViewChange>,
    /// All known leave marks.
    pub leave_marks: Vec<LeaveMark>,
    /// Version of `liveness`, counted by this incarnation of the keeper.
    pub liveness_version: u64,
    /// Every member that is not in the normal state. Absent if the receiver already has
    /// this version.
    pub liveness: Option<Vec<MemberLiveness>>,
}
