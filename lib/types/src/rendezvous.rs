//! Rendezvous hashing.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Returns the rendezvous weight of `candidate` for `name`.
pub fn rendezvous_weight(name: &str, candidate: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    hasher.write(name.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(candidate.as_bytes());
    hasher.finish()
}

/// Returns the candidate with the highest weight for `name`.
///
/// When a candidate is added or removed, only the names that it gains or owned change
/// their owner.
pub fn rendezvous_owner<T>(
    name: &str,
    candidates: impl Iterator<Item = T>,
    id: impl Fn(&T) -> &str,
) -> Option<T> {
    let weight_and_id = |candidate: &T| {
        let id = id(candidate);
        (rendezvous_weight(name, id), id.to_owned())
    };
    candidates.max_by_key(weight_and_id)
}

/// Returns the rank of `candidate` for `name`; the candidate with the lowest rank is chosen.
///
/// The rank is an exponential variate whose rate is the weight, so each candidate is chosen for
/// a share of names proportional to its weight. When a weight changes, only names that the
/// candidate gains or loses change their choice. `weight` has to be positive.
pub fn weighted_rank(name: &str, candidate: &str, weight: f64) -> f64 {
    let hash = rendezvous_weight(name, candidate);
    // An f64 represents 53 bits exactly. Adding one half keeps the logarithm finite.
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -unit.ln() / weight
}
