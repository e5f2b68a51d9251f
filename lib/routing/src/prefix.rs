//! Hashes of prompt prefixes, and the cache events that engines report.

use std::fmt;
use std::hash::Hasher;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip::SipHasher13;

/// Bytes of prompt text in one block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Maximum number of blocks of a prompt that are hashed.
const MAX_PREFIX_BLOCKS: usize = 128;

/// Hash of a prompt from its start to the end of one block.
///
/// SipHash-1-3 with a zero key over the hash of the previous block (little-endian) and
/// the bytes of this block. For the first block, the hash of the scope takes the place of
/// the hash of the previous block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

impl fmt::Display for BlockHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The hashes of the full blocks of a prompt, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefix(Arc<[BlockHash]>);

impl PromptPrefix {
    /// Hashes the full blocks of a prompt.
    ///
    /// `scope` separates prompts whose cache entries engines do not share, for example by
    /// model, version and adapter.
    pub fn of_prompt(scope: &str, prompt: &[u8]) -> Self {
        let mut previous = chained_hash(0, scope.as_bytes());
        prompt
            .chunks_exact(PREFIX_BLOCK_BYTES)
            .take(MAX_PREFIX_BLOCKS)
            .map(|block| {
                previous = chained_hash(previous, block);
                BlockHash(previous)
            })
            .collect::<Vec<_>>()
            .into()
    }

    /// Returns the hashes in prompt order.
    pub fn blocks(&self) -> &[BlockHash] {
        &self.0
    }
}

impl From<Vec<BlockHash>> for PromptPrefix {
    fn from(blocks: Vec<BlockHash>) -> Self {
        Self(blocks.into())
    }
}

fn chained_hash(previous: u64, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(&previous.to_le_bytes());
    hasher.write(bytes);
    hasher.finish()
}

/// A change of the contents of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The blocks were added.
    Stored(Vec<BlockHash>),
    /// The blocks were evicted.
    Removed(Vec<BlockHash>),
    /// The cache was cleared.
    Cleared,
}

/// A cache event reported by an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the engine's events. A gap means that events were lost.
    pub sequence: u64,
    /// The change.
    pub change: CacheChange,
}
