//! What processes of the fleet tell each other about the fleet.

use serde::Deserialize;
use serde::Serialize;
use snipegate_platform::StoreKey;
use snipegate_platform::StoreRevision;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::UpstreamId;

use crate::key::FleetKey;

/// An order that an upstream leaves, given while the store can't be written.
///
/// It is in force as long as the upstream's record is no newer than `over`; the
/// next write of the record replaces it, whatever that write says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveMark {
    /// The upstream that takes no new work.
    pub upstream: UpstreamId,
    /// Revision of the record that the operator saw.
    pub over: StoreRevision,
    /// The operator's operation.
    pub operation: OperationId,
}

/// A member that is not simply up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLiveness {
    /// The run of the process.
    pub member: IncarnationId,
    /// It has not answered for some time; it may still run.
    pub suspected: bool,
    /// It has said that it stops.
    pub leaving: bool,
    /// It has said that the store does not answer it.
    pub store_lost: bool,
    /// It is proven to have ended; its record is a remnant.
    pub ended: bool,
}

impl MemberLiveness {
    /// Makes the row of a member that is up.
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

/// One key as a peer knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewChange {
    /// The key.
    pub key: StoreKey,
    /// Revision of the write or removal.
    pub revision: StoreRevision,
    /// The record as JSON, or `None` where the key was removed.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
}

/// Which part of the view an asker follows; always the same one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewScope {
    /// Everything.
    #[default]
    Whole,
    /// The fleet-wide settings and the members.
    Members,
}

impl ViewScope {
    /// Tells whether a key belongs to this part.
    pub fn covers(self, key: &str) -> bool {
        match self {
            ViewScope::Whole => true,
            ViewScope::Members => {
                key.starts_with(FleetKey::MEMBER_PREFIX) || key == FleetKey::SETTINGS
            }
        }
    }
}

/// Asks a keeper for what is newer than the asker's knowledge: `POST /view`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewQuery {
    /// Who asks, if it is a process of the fleet.
    pub asker: Option<IncarnationId>,
    /// Whether the asker has begun to stop.
    pub leaving: bool,
    /// The asker knows everything in its scope up to this revision.
    pub after: StoreRevision,
    /// Which part of the view it follows.
    pub scope: ViewScope,
    /// Version of the liveness that the asker has from this keeper's run, 0 for
    /// none; absent where the asker does not want it.
    pub liveness_version: Option<u64>,
    /// How long to wait for something newer, in milliseconds.
    pub wait_ms: u64,
}

/// What a keeper knows beyond a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewReply {
    /// Who answers.
    pub keeper: IncarnationId,
    /// With these changes the asker knows everything up to this revision.
    pub complete_to: StoreRevision,
    /// The changes are all the keys that exist, because the keeper no longer
    /// knows which removals the asker has missed.
    pub full: bool,
    /// Age of the keeper's knowledge in milliseconds, where it has any.
    pub age_ms: Option<u64>,
    /// The keeper that had this age from the store itself.
    pub source: Option<IncarnationId>,
    /// The changes, lowest revision first.
    pub changes: Vec<ViewChange>,
    /// All orders that upstreams leave.
    pub leave_marks: Vec<LeaveMark>,
    /// Version of `liveness`, counted by this run of the keeper.
    pub liveness_version: u64,
    /// Every member that is not simply up; absent where the asker has it.
    pub liveness: Option<Vec<MemberLiveness>>,
}
