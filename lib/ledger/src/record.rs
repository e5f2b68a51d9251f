//! The records of a segment in a shard's log, and their encoding.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::ShardId;
use snipegate_types::UpstreamId;

use crate::operation::CallOutcome;

/// Position of a segment in its shard's log, counted from 1 and written as 16 hexadecimal
/// digits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SegmentSequence(pub u64);

impl SegmentSequence {
    /// Returns the position after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the store key of the segment at this position.
    pub fn key(self, shard: ShardId) -> String {
        format!("{}{self}", segment_prefix(shard))
    }

    /// Parses the position from a store key, or returns `None` if the key has none.
    pub fn from_key(key: &str) -> Option<Self> {
        key.rsplit('/').next()?.parse().ok()
    }
}

impl fmt::Display for SegmentSequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for SegmentSequence {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Returns the prefix of the keys of a shard's segments.
pub fn segment_prefix(shard: ShardId) -> String {
    format!("shard/{shard}/segment/")
}

/// Number that represents an incarnation within one shard's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HolderNumber(pub u32);

/// Number that represents a budget within one shard's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BudgetNumber(pub u32);

/// One change to a shard's ledger.
///
/// The serialized variant names are single letters because they are written
/// with every record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SegmentRecord {
    /// Assigns the next holder number to an incarnation.
    #[serde(rename = "h")]
    OpenHolder {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// Assigns the next budget number to a budget.
    #[serde(rename = "o")]
    OpenBudget {
        /// The budget.
        id: BudgetId,
    },
    /// Unassigned tokens moved to a holder.
    #[serde(rename = "g")]
    Grant {
        /// Identifies the operation.
        #[serde(with = "operation_bytes")]
        operation: OperationId,
        /// The budget.
        budget: BudgetNumber,
        /// The holder that received the tokens.
        holder: HolderNumber,
        /// Number of tokens.
        amount: u64,
    },
    /// Tokens of a holder became unassigned.
    #[serde(rename = "r")]
    Return {
        /// Identifies the operation.
        #[serde(with = "operation_bytes")]
        operation: OperationId,
        /// The budget.
        budget: BudgetNumber,
        /// The holder that returned the tokens.
        holder: HolderNumber,
        /// Number of tokens.
        amount: u64,
    },
    /// Tokens moved from one holder to another.
    #[serde(rename = "t")]
    Transfer {
        /// Identifies the transfer.
        #[serde(with = "operation_bytes")]
        transfer: OperationId,
        /// The budget.
        budget: BudgetNumber,
        /// The holder that deducted the tokens.
        giver: HolderNumber,
        /// The holder that received the tokens.
        receiver: HolderNumber,
        /// Number of tokens.
        amount: u64,
    },
    /// A request was billed.
    #[serde(rename = "b")]
    Bill {
        /// The request.
        #[serde(with = "request_bytes")]
        request: RequestId,
        /// The budget.
        budget: BudgetNumber,
        /// The holder that was charged.
        holder: HolderNumber,
        /// Number of tokens.
        amount: u64,
    },
    /// Purchased tokens were added as unassigned tokens.
    #[serde(rename = "p")]
    TopUp {
        /// Identifies the purchase.
        #[serde(with = "operation_bytes")]
        operation: OperationId,
        /// The budget.
        budget: BudgetNumber,
        /// Number of tokens.
        amount: u64,
    },
    /// A non-repeatable call was claimed.
    #[serde(rename = "i")]
    Intend {
        /// The request.
        #[serde(with = "request_bytes")]
        request: RequestId,
        /// The holder that claimed it.
        claimant: HolderNumber,
        /// Identifies the claim.
        #[serde(with = "operation_bytes")]
        attempt: OperationId,
        /// The upstream that executes the call.
        upstream: UpstreamId,
        /// Digest of the call.
        #[serde(with = "digest_bytes")]
        digest: [u8; 16],
    },
    /// The outcome of a claimed call was recorded.
    #[serde(rename = "c")]
    Conclude {
        /// The request.
        #[serde(with = "request_bytes")]
        request: RequestId,
        /// The outcome.
        outcome: CallOutcome,
    },
    /// All operations of a holder before a position have been decided.
    #[serde(rename = "n")]
    Take {
        /// The holder.
        holder: HolderNumber,
        /// The position after the last decided operation.
        position: u64,
    },
    /// The bill in the preceding record was posted on behalf of its holder,
    /// which may later post it itself at this position.
    #[serde(rename = "a")]
    Ahead {
        /// The holder.
        holder: HolderNumber,
        /// The position.
        position: u64,
        /// Number of tokens billed.
        amount: u64,
    },
    /// A holder was declared dead or released its holdings; it receives no more
    /// grants.
    #[serde(rename = "d")]
    CloseHolder {
        /// The holder.
        holder: HolderNumber,
    },
    /// The remaining tokens of a closing holder became unassigned, and its open
    /// intents ended with an unknown outcome.
    #[serde(rename = "f")]
    Reclaim {
        /// The holder.
        holder: HolderNumber,
    },
}

/// One segment of a shard's log, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The keeper that wrote the segment.
    pub writer: IncarnationId,
    /// Distinguishes the segments that the writer attempts to write.
    pub nonce: u64,
    /// Whether this is the first segment of a writer that took over the shard.
    ///
    /// Such a segment is never removed: an earlier writer that resumes after a
    /// pause writes to exactly this position and must get a conflict.
    pub fence: bool,
    /// Once this segment is applied, request and operation IDs in segments
    /// before this position are forgotten.
    pub forget_before: SegmentSequence,
    /// The changes, in order.
    pub records: Vec<SegmentRecord>,
}

impl Segment {
    /// Encodes the segment for the store.
    ///
    /// # Errors
    ///
    /// Returns an error only if the encoder rejects a value.
    pub fn encode(&self) -> Result<Vec<u8>, SegmentError> {
        rmp_serde::to_vec(self).map_err(SegmentError::Encode)
    }

    /// Decodes a segment that was read from the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid segment.
    pub fn decode(bytes: &[u8]) -> Result<Self, SegmentError> {
        rmp_serde::from_slice(bytes).map_err(SegmentError::Decode)
    }
}

/// Why a segment, a snapshot part or a snapshot head can't be encoded, decoded or applied.
#[derive(Debug)]
pub enum SegmentError {
    /// The value could not be encoded.
    Encode(rmp_serde::encode::Error),
    /// The bytes could not be decoded.
    Decode(rmp_serde::decode::Error),
    /// A record refers to a holder, budget or intent that does not exist, or a
    /// part of the snapshot or log is missing.
    UnknownReference,
    /// A record is inconsistent with the balances that precede it.
    BalanceBroken,
}

impl fmt::Display for SegmentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SegmentError::Encode(_) => write!(f, "failed to encode ledger value"),
            SegmentError::Decode(_) => write!(f, "failed to decode ledger value"),
            SegmentError::UnknownReference => {
                write!(
                    f,
                    "reference to a missing holder, budget, intent, segment or snapshot part"
                )
            }
            SegmentError::BalanceBroken => {
                write!(f, "record is inconsistent with the ledger balances")
            }
        }
    }
}

impl Error for SegmentError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            SegmentError::Encode(cause) => Some(cause),
            SegmentError::Decode(cause) => Some(cause),
            SegmentError::UnknownReference | SegmentError::BalanceBroken => None,
        }
    }
}

/// Declares a module that serializes a 16-byte value as MessagePack `bin`, which is
/// a third shorter than an array of numbers.
macro_rules! sixteen_byte_codec {
    ($module:ident, $type:ty, $to:expr, $from:expr) => {
        mod $module {
            use serde::Deserializer;
            use serde::Serializer;

            use super::*;

            pub(super) fn serialize<S: Serializer>(id: &$type, s: S) -> Result<S::Ok, S::Error> {
                let bytes: &[u8; 16] = $to(id);
                s.serialize_bytes(bytes)
            }

            pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<$type, D::Error> {
                d.deserialize_bytes(SixteenByteVisitor).map($from)
            }
        }
    };
}

sixteen_byte_codec!(
    operation_bytes,
    OperationId,
    OperationId::as_bytes,
    OperationId::from_bytes
);
sixteen_byte_codec!(
    request_bytes,
    RequestId,
    RequestId::as_bytes,
    RequestId::from_bytes
);
sixteen_byte_codec!(digest_bytes, [u8; 16], |d| d, |d| d);

struct SixteenByteVisitor;

impl serde::de::Visitor<'_> for SixteenByteVisitor {
    type Value = [u8; 16];

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "16 bytes")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<[u8; 16], E> {
        bytes
            .try_into()
            .map_err(|_| E::invalid_length(bytes.len(), &self))
    }
}
