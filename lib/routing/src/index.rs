//! Index of the prompt prefixes that upstreams are expected to have cached.

use indexmap::IndexMap;

use crate::prefix::BlockHash;

/// Maximum number of upstreams recorded for one block. The least recently added is
/// replaced first.
const HOLDERS_PER_BLOCK: usize = 4;

/// The cache of the upstream in a pool slot. Clearing the cache starts a new epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CacheHolder {
    pub slot: usize,
    pub epoch: u32,
}

/// The caches that are expected to hold one block, most recently added first.
#[derive(Clone, Copy, Debug, Default)]
struct BlockHolders([Option<CacheHolder>; HOLDERS_PER_BLOCK]);

impl BlockHolders {
    fn add(&mut self, holder: CacheHolder) {
        let position = self.0.iter().position(|&held| held == Some(holder));
        let last = position.unwrap_or(HOLDERS_PER_BLOCK - 1);
        self.0[..=last].rotate_right(1);
        self.0[0] = Some(holder);
    }

    fn remove(&mut self, holder: CacheHolder) {
        for held in &mut self.0 {
            if *held == Some(holder) {
                *held = None;
            }
        }
    }

    fn holds(&self, holder: CacheHolder) -> bool {
        self.0.contains(&Some(holder))
    }

    fn iter(&self) -> impl Iterator<Item = CacheHolder> {
        self.0.iter().flatten().copied()
    }
}

/// The part of a prompt that a cache is expected to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PrefixMatch {
    pub holder: CacheHolder,
    /// Number of consecutive blocks from the start of the prompt.
    pub blocks: usize,
}

/// Index of the prompt prefixes that upstreams are expected to have cached.
///
/// The size is bounded by keeping two generations: when the young one is full, it
/// replaces the old one. Adding a block moves it to the young generation, so blocks in
/// use are kept. Entries may be wrong; a wrong entry only costs the processing of some
/// prompt tokens.
#[derive(Clone, Debug)]
pub(crate) struct PrefixIndex {
    young: IndexMap<BlockHash, BlockHolders>,
    old: IndexMap<BlockHash, BlockHolders>,
    /// Maximum number of blocks in one generation.
    generation_blocks: usize,
}

impl PrefixIndex {
    /// Creates an index of at most `blocks` blocks.
    pub fn new(blocks: usize) -> Self {
        Self {
            young: IndexMap::new(),
            old: IndexMap::new(),
            generation_blocks: (blocks / 2).max(1),
        }
    }

    /// Records that a cache holds blocks.
    pub fn add(&mut self, blocks: &[BlockHash], holder: CacheHolder) {
        for &block in blocks {
            self.entry(block).add(holder);
        }
    }

    /// Records that a cache no longer holds blocks.
    pub fn remove(&mut self, blocks: &[BlockHash], holder: CacheHolder) {
        for block in blocks {
            for generation in [&mut self.young, &mut self.old] {
                if let Some(holders) = generation.get_mut(block) {
                    holders.remove(holder);
                }
            }
        }
    }

    fn entry(&mut self, block: BlockHash) -> &mut BlockHolders {
        if !self.young.contains_key(&block) {
            if self.young.len() >= self.generation_blocks {
                self.old = std::mem::take(&mut self.young);
            }
            let holders = self.old.swap_remove(&block).unwrap_or_default();
            self.young.insert(block, holders);
        }
        self.young.entry(block).or_default()
    }

    fn holders(&self, block: BlockHash) -> Option<&BlockHolders> {
        self.young.get(&block).or_else(|| self.old.get(&block))
    }

    /// Returns how many leading blocks of a prompt each cache is expected to hold,
    /// longest match first.
    pub fn matches(&self, blocks: &[BlockHash]) -> Vec<PrefixMatch> {
        let mut matches: Vec<PrefixMatch> = Vec::new();
        for (depth, &block) in blocks.iter().enumerate() {
            let Some(holders) = self.holders(block) else {
                break;
            };
            if depth == 0 {
                matches.extend(
                    holders
                        .iter()
                        .map(|holder| PrefixMatch { holder, blocks: 1 }),
                );
                continue;
            }
            let mut extended = false;
            for matched in &mut matches {
                if matched.blocks == depth && holders.holds(matched.holder) {
                    matched.blocks += 1;
                    extended = true;
                }
            }
            if !extended {
                break;
            }
        }
        matches.sort_by_key(|matched| std::cmp::Reverse(matched.blocks));
        matches
    }

    /// Returns the number of leading blocks of a prompt that are in the index for any
    /// cache.
    pub fn leading_known_blocks(&self, blocks: &[BlockHash]) -> usize {
        blocks
            .iter()
            .take_while(|&&block| self.holders(block).is_some())
            .count()
    }

    /// Returns the number of indexed blocks.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}
