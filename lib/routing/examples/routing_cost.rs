//! Measures the CPU time of a choice and the memory of the pool and the prefix index.
//!
//! Usage: `routing_cost [--json FILE]`. Memory is measured as the growth of the resident
//! set size that Linux reports. Each measurement uses its own pool.

use std::fs;
use std::hint::black_box;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use snipegate_routing::AttemptOutcome;
use snipegate_routing::BlockHash;
use snipegate_routing::CacheChange;
use snipegate_routing::CacheEvent;
use snipegate_routing::EngineRole;
use snipegate_routing::LoadReport;
use snipegate_routing::RequestPhase;
use snipegate_routing::RequestPriority;
use snipegate_routing::RoutePolicy;
use snipegate_routing::RouteRequest;
use snipegate_routing::RouteTable;
use snipegate_routing::ServedModel;
use snipegate_routing::UpstreamKind;
use snipegate_routing::UpstreamSpec;
use snipegate_routing::UpstreamState;
use snipegate_types::TokenCount;

const CHOICES: u64 = 20_000;

/// Blocks of a prompt. Half of them are shared with other prompts.
const BLOCKS: u64 = 32;

const PAGE_BYTES: u64 = 4_096;

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}

fn spec(index: usize) -> UpstreamSpec {
    UpstreamSpec {
        id: format!("engine-{index}").parse().expect("valid name"),
        data_centre: "dc".parse().expect("valid name"),
        kind: UpstreamKind::ModelRunner,
        models: vec![ServedModel {
            model: "model".parse().expect("valid name"),
            version: None,
            adapters: Vec::new(),
        }],
        role: EngineRole::Mixed,
        slots: 64,
        state: UpstreamState::Up,
    }
}

fn request(number: u64) -> RouteRequest {
    let shared = (number % 50) << 32;
    let own = (number + 1) << 40;
    let half = BLOCKS / 2;
    let blocks = (0..half)
        .map(|i| shared + i)
        .chain((0..half).map(|i| own + i));
    RouteRequest {
        workspace: "w".parse().expect("valid name"),
        profile: "p".parse().expect("valid name"),
        kind: UpstreamKind::ModelRunner,
        model: "model".parse().expect("valid name"),
        version: None,
        adapter: None,
        phase: RequestPhase::Start,
        priority: RequestPriority::Normal,
        deadline: None,
        idempotent: true,
        prompt_tokens: TokenCount(BLOCKS * 64),
        max_tokens: TokenCount(256),
        prefix: blocks.map(BlockHash).collect::<Vec<_>>().into(),
        failed_upstreams: Vec::new(),
    }
}

fn measure_choices(upstreams: usize) -> Value {
    let before = resident_bytes();
    let now = Instant::now();
    let mut table = RouteTable::new(RoutePolicy::default(), 1);
    table.set_upstreams((0..upstreams).map(spec).collect(), now);
    for index in 0..upstreams {
        let report = LoadReport {
            running: 20,
            ..LoadReport::default()
        };
        table.record_load_report(&spec(index).id, &report, now);
    }
    let pool_bytes = resident_bytes().saturating_sub(before);
    let requests: Vec<RouteRequest> = (0..CHOICES).map(request).collect();
    let started_at = Instant::now();
    for request in &requests {
        if let Ok(choice) = black_box(table.choose(request, now)) {
            table.record_first_byte(choice.attempt, now);
            let outcome = AttemptOutcome::Completed {
                generated: TokenCount(50),
                cached: None,
            };
            table.finish_attempt(choice.attempt, outcome, now);
        }
    }
    let micros = started_at.elapsed().as_secs_f64() * 1e6 / CHOICES as f64;
    json!({ "upstreams": upstreams, "choice_us": micros, "pool_bytes": pool_bytes })
}

fn measure_index(blocks: u64) -> Value {
    let now = Instant::now();
    let policy = RoutePolicy {
        prefix_blocks: 2 * blocks as usize,
        ..RoutePolicy::default()
    };
    let mut table = RouteTable::new(policy, 1);
    table.set_upstreams(vec![spec(0)], now);
    let before = resident_bytes();
    let started_at = Instant::now();
    for number in 0..blocks / BLOCKS {
        let first = number * BLOCKS;
        let event = CacheEvent {
            sequence: number + 1,
            change: CacheChange::Stored((first..first + BLOCKS).map(BlockHash).collect()),
        };
        table.apply_cache_event(&spec(0).id, &event);
    }
    let events = (blocks / BLOCKS) as f64;
    let micros = started_at.elapsed().as_secs_f64() * 1e6 / events;
    let bytes = resident_bytes().saturating_sub(before);
    json!({
        "blocks": blocks,
        "index_bytes": bytes,
        "bytes_per_block": bytes as f64 / blocks as f64,
        "event_of_32_blocks_us": micros,
    })
}

fn main() {
    // The largest run goes first, because a later run can reuse memory that an earlier
    // one freed and would then show too little growth.
    let choices = [600, 100, 10].map(measure_choices);
    let prefix_index = [400_000, 200_000, 100_000].map(measure_index);
    let results = json!({ "prefix_index": prefix_index, "choices": choices });
    let text = serde_json::to_string_pretty(&results).expect("results must be serializable") + "\n";
    print!("{text}");
    let mut arguments = std::env::args().skip_while(|argument| argument != "--json");
    if let Some(path) = arguments.nth(1) {
        fs::write(path, text).expect("failed to write the --json file");
    }
}
