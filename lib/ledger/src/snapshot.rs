//! Snapshots of a shard's ledger.
//!
//! A snapshot contains balances, holders, purchases and intents. The IDs of bills
//! and other operations are kept only in the segments until they are forgotten.

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::ShardId;

use crate::balance::BudgetBalance;
use crate::ledger::CallIntent;
use crate::ledger::HolderProgress;
use crate::ledger::HolderState;
use crate::ledger::RememberedOperation;
use crate::ledger::ShardLedger;
use crate::record::HolderNumber;
use crate::record::SegmentError;
use crate::record::SegmentSequence;

/// Returns the unique name of a snapshot within its shard, in the form
/// `<through>.<nonce>.<vm>.<start>`.
pub(crate) fn generation_name(
    through: SegmentSequence,
    nonce: u64,
    writer: &IncarnationId,
) -> String {
    format!("{through}.{nonce:x}.{}.{:x}", writer.vm, writer.start)
}

/// Parses the last covered segment from the generation in a part's key.
pub(crate) fn through_of_part(key: &str) -> Option<SegmentSequence> {
    let generation = key.rsplit('/').nth(1)?;
    generation.split('.').next()?.parse().ok()
}

/// Returns the key of a shard's snapshot head.
pub fn snapshot_key(shard: ShardId) -> String {
    format!("shard/{shard}/snapshot")
}

/// Returns the prefix of the keys of a shard's snapshot parts.
pub fn snapshot_part_prefix(shard: ShardId) -> String {
    format!("shard/{shard}/snapshot/")
}

/// Metadata of a complete snapshot; written after all its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHead {
    /// The last segment that the snapshot covers.
    pub through: SegmentSequence,
    /// IDs in segments before this position are forgotten, so these segments may
    /// be removed.
    pub forget_before: SegmentSequence,
    /// Unique name of the snapshot, which is contained in the keys of its parts.
    pub generation: String,
    /// The number of parts.
    pub parts: u32,
}

impl SnapshotHead {
    /// Returns the key of a part.
    pub fn part_key(&self, shard: ShardId, part: u32) -> String {
        let prefix = snapshot_part_prefix(shard);
        format!("{prefix}{}/{part:08x}", self.generation)
    }

    /// Encodes the head for the store.
    ///
    /// # Errors
    ///
    /// Returns an error only if the encoder rejects a value.
    pub fn encode(&self) -> Result<Vec<u8>, SegmentError> {
        rmp_serde::to_vec(self).map_err(SegmentError::Encode)
    }

    /// Decodes a head that was read from the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid snapshot head.
    pub fn decode(bytes: &[u8]) -> Result<Self, SegmentError> {
        rmp_serde::from_slice(bytes).map_err(SegmentError::Decode)
    }
}

/// One entry of a snapshot. Budgets and holders are stored in the order of their numbers.
#[derive(Debug, Serialize, Deserialize)]
enum SnapshotItem {
    #[serde(rename = "b")]
    Budget(BudgetId, BudgetBalance),
    #[serde(rename = "h")]
    Holder(IncarnationId, HolderState),
    #[serde(rename = "p")]
    Progress(HolderNumber, HolderProgress),
    #[serde(rename = "t")]
    Purchase(OperationId, RememberedOperation),
    #[serde(rename = "i")]
    Intent(RequestId, CallIntent),
}

/// Encodes the ledger into parts of at most `part_bytes` bytes each.
///
/// An entry that is larger gets a part of its own.
///
/// # Errors
///
/// Returns an error only if the encoder rejects a value.
pub fn encode_snapshot(
    ledger: &ShardLedger,
    part_bytes: usize,
) -> Result<Vec<Vec<u8>>, SegmentError> {
    let budgets = ledger.budgets.iter();
    let holders = ledger.holders.iter();
    let progress = ledger.progress.iter();
    let purchases = ledger.purchases.iter();
    let intents = ledger.intents.iter();
    let items = budgets
        .map(|(id, balance)| SnapshotItem::Budget(id.clone(), balance.clone()))
        .chain(holders.map(|(id, state)| SnapshotItem::Holder(id.clone(), *state)))
        .chain(progress.map(|(number, progress)| SnapshotItem::Progress(*number, progress.clone())))
        .chain(purchases.map(|(id, purchase)| SnapshotItem::Purchase(*id, *purchase)))
        .chain(intents.map(|(id, intent)| SnapshotItem::Intent(*id, intent.clone())));
    // A part is a plain sequence of items without a header, so a new part can
    // start at any item.
    let mut parts = vec![Vec::new()];
    for item in items {
        let bytes = rmp_serde::to_vec(&item).map_err(SegmentError::Encode)?;
        match parts.last_mut() {
            Some(part) if part.is_empty() || part.len() + bytes.len() <= part_bytes => {
                part.extend(bytes);
            }
            _ => parts.push(bytes),
        }
    }
    Ok(parts)
}

/// Decodes a part and adds its entries to a ledger that is being loaded.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid snapshot part.
pub(crate) fn decode_part(ledger: &mut ShardLedger, bytes: &[u8]) -> Result<(), SegmentError> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let item = rmp_serde::from_read(&mut rest).map_err(SegmentError::Decode)?;
        match item {
            SnapshotItem::Budget(id, balance) => drop(ledger.budgets.insert(id, balance)),
            SnapshotItem::Holder(id, state) => drop(ledger.holders.insert(id, state)),
            SnapshotItem::Progress(holder, progress) => {
                ledger.progress.insert(holder, progress);
            }
            SnapshotItem::Purchase(id, purchase) => {
                ledger.purchases.insert(id, purchase);
            }
            SnapshotItem::Intent(id, intent) => drop(ledger.intents.insert(id, intent)),
        }
    }
    Ok(())
}
