//! Hashes of prompt prefixes, and engines' reports of what their caches hold.

use std::fmt;
use std::hash::Hasher;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip::SipHasher13;

/// Bytes of prompt text in one block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Most blocks of a prompt that are hashed.
const MAX_PREFIX_BLOCKS: usize = 128;

/// Hash of a prompt from its start to the end of one block.
///
/// SipHash-1-3 with a zero key over the hash of the block before it
/// (little-endian; for the first block, the hash of the scope) and the block's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

impl fmt::Display for BlockHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The hashes of a prompt's full blocks, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefix(Arc<[BlockHash]>);

impl PromptPrefix {
    /// Hashes the full blocks of a prompt.
    ///
    /// `scope` keeps apart what engines keep apart, such as model, version and adapter.
    pub fn of_prompt(scope: &str, prompt: &[u8]) -> Self {
        let mut last = chain(0, scope.as_bytes());
        prompt
            .chunks_exact(PREFIX_BLOCK_BYTES)
            .take(MAX_PREFIX_BLOCKS)
            .map(|block| {
                last = chain(last, block);
                BlockHash(last)
            })
            .collect::<Vec<_>>()
            .into()
    }

    /// Returns the hashes, that of the first block first.
    pub fn blocks(&self) -> &[BlockHash] {
        &self.0
    }
}

impl From<Vec<BlockHash>> for PromptPrefix {
    fn from(blocks: Vec<BlockHash>) -> Self {
        Self(blocks.into())
    }
}

fn chain(last: u64, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(&last.to_le_bytes());
    hasher.write(bytes);
    hasher.finish()
}

/// A change of what an engine's prefix cache holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The blocks are held now.
    Stored(Vec<BlockHash>),
    /// The blocks are held no longer.
    Removed(Vec<BlockHash>),
    /// Nothing is held any more.
    Cleared,
}

/// A cache event of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the engine's events; a jump means that events were lost.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}
