//! Rendezvous hashing of prompt prefixes onto upstreams.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;
use snipegate_types::UpstreamId;

use crate::prefix::BlockHash;

/// Returns the rendezvous hashing weight of an upstream for a prefix.
///
/// Every router computes the same ranking without coordination, and adding or removing an
/// upstream moves only the prefixes that are placed on it.
pub(crate) fn rendezvous_weight(seed: u64, block: BlockHash) -> u64 {
    // The SplitMix64 finaliser, applied to the combined seed and block hash.
    let mut mixed = seed ^ block.0.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the seed of an upstream for [`rendezvous_weight`].
pub(crate) fn rendezvous_seed(upstream: &UpstreamId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(upstream.as_str().as_bytes());
    hasher.finish()
}

/// Returns the two candidates with the highest weights, highest first.
pub(crate) fn top_two(weighted: impl Iterator<Item = (u64, usize)>) -> [Option<usize>; 2] {
    let mut best: [Option<(u64, usize)>; 2] = [None, None];
    for candidate in weighted {
        if best[0].is_none_or(|first| candidate > first) {
            best = [Some(candidate), best[0]];
        } else if best[1].is_none_or(|second| candidate > second) {
            best[1] = Some(candidate);
        }
    }
    best.map(|found| found.map(|(_, slot)| slot))
}
