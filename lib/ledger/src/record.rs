//! The records that make up a segment of a shard's log, and their encoding.

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

/// Position of a segment in its shard's log, from 1; written as 16 hexadecimal digits.
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

    /// Returns the position that a store key names, if it names one.
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

/// Stands for an incarnation within one shard's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HolderNumber(pub u32);

/// Stands for a budget within one shard's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BudgetNumber(pub u32);

/// One change of a shard's ledger.
///
/// The names on the wire are single letters, since they are written with every
/// record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SegmentRecord {
    /// The next holder number stands for this incarnation.
    #[serde(rename = "h")]
    OpenHolder {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// The next budget number stands for this budget.
    #[serde(rename = "o")]
    OpenBudget {
        /// The budget.
        id: BudgetId,
    },
    /// Tokens went from unassigned to a holder.
    #[serde(rename = "g")]
    Grant {
        /// Identifies the operation.
        #[serde(with = "operation_bytes")]
        operation: OperationId,
        /// The budget.
        budget: BudgetNumber,
        /// Who holds them now.
        holder: HolderNumber,
        /// How many tokens.
        amount: u64,
    },
    /// Tokens went from a holder to unassigned.
    #[serde(rename = "r")]
    Return {
        /// Identifies the operation.
        #[serde(with = "operation_bytes")]
        operation: OperationId,
        /// The budget.
        budget: BudgetNumber,
        /// Who held them.
        holder: HolderNumber,
        /// How many tokens.
        amount: u64,
    },
    /// Tokens went from one holder to another.
    #[serde(rename = "t")]
    Transfer {
        /// Identifies the transfer.
        #[serde(with = "operation_bytes")]
        transfer: OperationId,
        /// The budget.
        budget: BudgetNumber,
        /// Who deducted them.
        giver: HolderNumber,
        /// Who holds them now.
        receiver: HolderNumber,
        /// How many tokens.
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
        /// Whose holding paid.
        holder: HolderNumber,
        /// How many tokens.
        amount: u64,
    },
    /// Purchased tokens were added to unassigned.
    #[serde(rename = "p")]
    TopUp {
        /// Identifies the purchase.
        #[serde(with = "operation_bytes")]
        operation: OperationId,
        /// The budget.
        budget: BudgetNumber,
        /// How many tokens.
        amount: u64,
    },
    /// A call that may not be repeated was claimed.
    #[serde(rename = "i")]
    Intend {
        /// The request.
        #[serde(with = "request_bytes")]
        request: RequestId,
        /// Who claimed it.
        claimant: HolderNumber,
        /// Identifies the claim.
        #[serde(with = "operation_bytes")]
        attempt: OperationId,
        /// Where it runs.
        upstream: UpstreamId,
        /// Digest of the call.
        #[serde(with = "digest_bytes")]
        digest: [u8; 16],
    },
    /// A claimed call ended.
    #[serde(rename = "c")]
    Conclude {
        /// The request.
        #[serde(with = "request_bytes")]
        request: RequestId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// The operations of a holder before a position have been decided.
    #[serde(rename = "n")]
    Take {
        /// The holder.
        holder: HolderNumber,
        /// The position after the last one decided.
        position: u64,
    },
    /// The bill before this record was posted by another than its holder, who
    /// may post it at this position later.
    #[serde(rename = "a")]
    Ahead {
        /// The holder.
        holder: HolderNumber,
        /// The position.
        position: u64,
        /// Tokens billed.
        amount: u64,
    },
    /// A holder was declared dead or released itself; nothing more is granted to it.
    #[serde(rename = "d")]
    CloseHolder {
        /// The holder.
        holder: HolderNumber,
    },
    /// What a closing holder still held went to unassigned, and its open
    /// intents ended with an unknown outcome.
    #[serde(rename = "f")]
    Reclaim {
        /// The holder.
        holder: HolderNumber,
    },
}

/// One segment of a shard's log, as it lies in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Who wrote it.
    pub writer: IncarnationId,
    /// Tells the writer's attempts apart.
    pub nonce: u64,
    /// Whether this is the first segment of a writer that took the shard over.
    ///
    /// Such a segment is never removed: an earlier writer that wakes up writes
    /// to exactly this position and must find it taken.
    pub fence: bool,
    /// Once this segment is taken in, request and operation ids in segments
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
    /// Fails only if the encoder refuses a value.
    pub fn encode(&self) -> Result<Vec<u8>, SegmentError> {
        rmp_serde::to_vec(self).map_err(SegmentError::Encode)
    }

    /// Decodes a segment read from the store.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a segment.
    pub fn decode(bytes: &[u8]) -> Result<Self, SegmentError> {
        rmp_serde::from_slice(bytes).map_err(SegmentError::Decode)
    }
}

/// Why a value is not a segment, a snapshot part or a snapshot head.
#[derive(Debug)]
pub enum SegmentError {
    /// The value can't be encoded.
    Encode(rmp_serde::encode::Error),
    /// The bytes can't be decoded.
    Decode(rmp_serde::decode::Error),
    /// A record names a holder, budget or intent that was never opened.
    UnknownReference,
    /// A record does not fit the balances before it.
    BalanceBroken,
}

impl fmt::Display for SegmentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SegmentError::Encode(_) => write!(f, "ledger value not encoded"),
            SegmentError::Decode(_) => write!(f, "ledger value not decoded"),
            SegmentError::UnknownReference => {
                write!(f, "record names a holder or budget that was never opened")
            }
            SegmentError::BalanceBroken => write!(f, "record does not fit the balances before it"),
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

/// Declares a module that writes a 16-byte value as MessagePack `bin`, which is
/// a third shorter than an array of numbers.
macro_rules! sixteen_bytes {
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
                d.deserialize_bytes(SixteenBytes).map($from)
            }
        }
    };
}

sixteen_bytes!(
    operation_bytes,
    OperationId,
    OperationId::as_bytes,
    OperationId::from_bytes
);
sixteen_bytes!(
    request_bytes,
    RequestId,
    RequestId::as_bytes,
    RequestId::from_bytes
);
sixteen_bytes!(digest_bytes, [u8; 16], |d| d, |d| d);

struct SixteenBytes;

impl serde::de::Visitor<'_> for SixteenBytes {
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
