//! Which upstreams are believed to hold which prompt prefixes.

use indexmap::IndexMap;

use crate::prefix::BlockHash;

/// Upstreams remembered for one block; the oldest gives way.
const HOLDERS_PER_BLOCK: usize = 4;

/// The cache of the upstream in a slot of the pool, from one clearing to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CacheHolder {
    pub slot: usize,
    pub epoch: u32,
}

/// The upstreams that are believed to hold one block, the latest first.
#[derive(Clone, Copy, Debug, Default)]
struct BlockHolders([Option<CacheHolder>; HOLDERS_PER_BLOCK]);

impl BlockHolders {
    fn add(&mut self, holder: CacheHolder) {
        let found = self.0.iter().position(|&held| held == Some(holder));
        let last = found.unwrap_or(HOLDERS_PER_BLOCK - 1);
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

/// How much of a prompt an upstream is believed to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PrefixMatch {
    pub holder: CacheHolder,
    /// Blocks from the start of the prompt.
    pub blocks: usize,
}

/// Which upstreams are believed to hold which prompt prefixes.
///
/// Bounded: blocks lie in two generations of which the older is dropped when
/// the younger is full, so that what is used stays. What it says is a belief;
/// a wrong one costs the processing of some prompt tokens and nothing else.
#[derive(Clone, Debug)]
pub(crate) struct PrefixIndex {
    young: IndexMap<BlockHash, BlockHolders>,
    old: IndexMap<BlockHash, BlockHolders>,
    /// Blocks in one generation.
    generation_blocks: usize,
}

impl PrefixIndex {
    /// Makes an index that holds at most `blocks` blocks.
    pub fn new(blocks: usize) -> Self {
        Self {
            young: IndexMap::new(),
            old: IndexMap::new(),
            generation_blocks: (blocks / 2).max(1),
        }
    }

    /// Notes that an upstream holds blocks.
    pub fn add(&mut self, blocks: &[BlockHash], holder: CacheHolder) {
        for &block in blocks {
            self.entry(block).add(holder);
        }
    }

    /// Notes that an upstream does not hold blocks.
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

    /// Returns how far each upstream is believed to hold a prompt, the furthest first.
    pub fn matches(&self, blocks: &[BlockHash]) -> Vec<PrefixMatch> {
        let mut found: Vec<PrefixMatch> = Vec::new();
        for (depth, &block) in blocks.iter().enumerate() {
            let Some(holders) = self.holders(block) else {
                break;
            };
            if depth == 0 {
                found.extend(
                    holders
                        .iter()
                        .map(|holder| PrefixMatch { holder, blocks: 1 }),
                );
                continue;
            }
            let mut reached = false;
            for matched in &mut found {
                if matched.blocks == depth && holders.holds(matched.holder) {
                    matched.blocks += 1;
                    reached = true;
                }
            }
            if !reached {
                break;
            }
        }
        found.sort_by_key(|matched| std::cmp::Reverse(matched.blocks));
        found
    }

    /// Returns how many blocks from the start of a prompt are known at all.
    pub fn known(&self, blocks: &[BlockHash]) -> usize {
        blocks
            .iter()
            .take_while(|&&block| self.holders(block).is_some())
            .count()
    }

    /// Returns the number of blocks held.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}
