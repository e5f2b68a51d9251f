//! The prefix index: matches, sequence gaps, clearing, size limit and the effect of wrong
//! entries.

mod common;

use std::time::Instant;

use common::engine;
use common::request;
use snipegate_routing::AttemptOutcome;
use snipegate_routing::BlockHash;
use snipegate_routing::CacheChange;
use snipegate_routing::CacheEvent;
use snipegate_routing::PREFIX_BLOCK_BYTES;
use snipegate_routing::PromptPrefix;
use snipegate_routing::RoutePolicy;
use snipegate_routing::RouteRequest;
use snipegate_routing::RouteTable;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;

fn table(engines: usize, policy: RoutePolicy, now: Instant) -> RouteTable {
    let mut table = RouteTable::new(policy, 3);
    let specs = (0..engines).map(|i| engine(&format!("e{i}"), 64));
    table.set_upstreams(specs.collect(), now);
    table
}

fn prefixed(blocks: std::ops::Range<u64>) -> RouteRequest {
    RouteRequest {
        prompt_tokens: TokenCount(64 * (blocks.end - blocks.start)),
        prefix: blocks.map(BlockHash).collect::<Vec<_>>().into(),
        ..request()
    }
}

fn upstream(id: &str) -> UpstreamId {
    id.parse().unwrap()
}

fn stored(sequence: u64, blocks: std::ops::Range<u64>) -> CacheEvent {
    CacheEvent {
        sequence,
        change: CacheChange::Stored(blocks.map(BlockHash).collect()),
    }
}

fn expected_cache_hit(
    table: &mut RouteTable,
    request: &RouteRequest,
    now: Instant,
) -> (String, u64) {
    let choice = table.choose(request, now).unwrap();
    table.finish_attempt(choice.attempt, AttemptOutcome::Withdrawn, now);
    (choice.upstream.to_string(), choice.expected_cached.0)
}

#[test]
fn block_hash_covers_all_preceding_text() {
    let text: Vec<u8> = (0..3 * PREFIX_BLOCK_BYTES + 5).map(|i| i as u8).collect();
    let whole = PromptPrefix::of_prompt("m", &text);
    assert_eq!(whole.blocks().len(), 3);
    let mut other = text.clone();
    other[0] ^= 1;
    let changed = PromptPrefix::of_prompt("m", &other);
    for (a, b) in whole.blocks().iter().zip(changed.blocks()) {
        assert_ne!(a, b);
    }
    other = text.clone();
    other[2 * PREFIX_BLOCK_BYTES] ^= 1;
    let changed = PromptPrefix::of_prompt("m", &other);
    assert_eq!(whole.blocks()[..2], changed.blocks()[..2]);
    assert_ne!(whole.blocks()[2], changed.blocks()[2]);
    assert_ne!(PromptPrefix::of_prompt("n", &text), whole);
}

#[test]
fn request_goes_to_upstream_with_cached_prefix() {
    let now = Instant::now();
    let mut table = table(8, RoutePolicy::default(), now);
    table.apply_cache_event(&upstream("e5"), &stored(1, 0..10));
    assert_eq!(
        expected_cache_hit(&mut table, &prefixed(0..10), now),
        ("e5".into(), 640)
    );
    // The first block differs, so nothing is cached.
    assert_eq!(expected_cache_hit(&mut table, &prefixed(1..10), now).1, 0);
}

#[test]
fn removed_and_cleared_blocks_are_not_matched() {
    let now = Instant::now();
    let mut table = table(4, RoutePolicy::default(), now);
    table.apply_cache_event(&upstream("e1"), &stored(1, 0..10));
    let removed = CacheEvent {
        sequence: 2,
        change: CacheChange::Removed((4..10).map(BlockHash).collect()),
    };
    table.apply_cache_event(&upstream("e1"), &removed);
    assert_eq!(expected_cache_hit(&mut table, &prefixed(0..10), now).1, 256);
    let cleared = CacheEvent {
        sequence: 3,
        change: CacheChange::Cleared,
    };
    table.apply_cache_event(&upstream("e1"), &cleared);
    assert_eq!(expected_cache_hit(&mut table, &prefixed(0..10), now).1, 0);
}

#[test]
fn gap_lowers_confidence_and_late_events_are_ignored() {
    let now = Instant::now();
    let mut table = table(4, RoutePolicy::default(), now);
    table.apply_cache_event(&upstream("e1"), &stored(1, 0..10));
    table.apply_cache_event(&upstream("e1"), &stored(9, 100..101));
    assert_eq!(table.counters().cache_events_missed, 7);
    let (_, after_gap) = expected_cache_hit(&mut table, &prefixed(0..10), now);
    assert!(after_gap < 640);
    table.apply_cache_event(&upstream("e1"), &stored(5, 200..210));
    assert_eq!(
        expected_cache_hit(&mut table, &prefixed(200..210), now).1,
        0
    );
}

#[test]
fn wrong_index_entries_lose_weight() {
    let now = Instant::now();
    let mut table = table(4, RoutePolicy::default(), now);
    // The index says that e2 holds the prefix, but the engine reports no cached tokens.
    let mut expected_cached = Vec::new();
    for _ in 0..30 {
        table.apply_cache_event(&upstream("e2"), &stored(1, 0..10));
        let choice = table.choose(&prefixed(0..10), now).unwrap();
        expected_cached.push(choice.expected_cached.0);
        let outcome = AttemptOutcome::Completed {
            generated: TokenCount(5),
            cached: Some(TokenCount(0)),
        };
        table.finish_attempt(choice.attempt, outcome, now);
    }
    assert_eq!(expected_cached[0], 640);
    assert!(expected_cached[29] < 320, "{expected_cached:?}");
}

#[test]
fn index_stays_within_its_size_limit() {
    let now = Instant::now();
    let policy = RoutePolicy {
        prefix_blocks: 1_000,
        ..RoutePolicy::default()
    };
    let mut table = table(4, policy, now);
    for i in 0..10_000_u64 {
        table.apply_cache_event(&upstream("e0"), &stored(i + 1, i * 7..i * 7 + 7));
        // A prefix in use is kept.
        if i % 20 == 0 {
            table.apply_cache_event(&upstream("e1"), &stored(i / 20 + 1, u64::MAX - 5..u64::MAX));
        }
        assert!(table.pool().indexed_blocks() <= 1_000);
    }
    let hot = prefixed(u64::MAX - 5..u64::MAX);
    assert!(expected_cache_hit(&mut table, &hot, now).1 > 0);
}

#[test]
fn hot_prefix_spills_over_before_its_upstream_is_full() {
    let now = Instant::now();
    let mut table = table(8, RoutePolicy::default(), now);
    table.apply_cache_event(&upstream("e5"), &stored(1, 0..10));
    let mut sent_to_e5 = 0;
    for _ in 0..80 {
        let choice = table.choose(&prefixed(0..10), now).unwrap();
        sent_to_e5 += usize::from(choice.upstream.as_str() == "e5");
    }
    assert!(
        (1..64).contains(&sent_to_e5),
        "{sent_to_e5} requests sent to e5, which has 64 slots"
    );
}
