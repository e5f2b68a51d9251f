//! Placement under simulated load, and with failing upstreams.

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::LoadTable;
use snipegate_gateway::PromptPart;
use snipegate_gateway::PromptShape;
use snipegate_gateway::UpstreamEntry;
use snipegate_gateway::UpstreamPhase;
use snipegate_gateway::UpstreamReport;
use snipegate_gateway::WorkLoad;
use snipegate_gateway::placement::PlacementQuery;
use snipegate_gateway::placement::choose;
use snipegate_types::PartId;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;

const UPSTREAMS: usize = 6;
const CACHE_TOKENS: u64 = 60_000;

fn upstreams() -> Vec<UpstreamEntry> {
    (0..UPSTREAMS)
        .map(|number| UpstreamEntry {
            id: format!("u-{number}").parse().expect("a name"),
            service: "llm".into(),
            address: ([10, 0, 0, number as u8], 80).into(),
            data_centre: "z1".parse().expect("a name"),
            phase: UpstreamPhase::Ready,
            started_ms: None,
            slots: 8,
            cold_left: Duration::ZERO,
        })
        .collect()
}

fn table(entries: &[UpstreamEntry]) -> LoadTable {
    let mut table = LoadTable::default();
    for entry in entries {
        table.set_cache_capacity(&entry.id, CACHE_TOKENS);
    }
    table
}

fn prompt(session: u64, own: u64) -> PromptShape {
    let parts = vec![
        PromptPart {
            id: PartId(session % 4),
            tokens: 2500,
        },
        PromptPart {
            id: PartId(100 + session),
            tokens: 3800,
        },
        PromptPart {
            id: PartId(own),
            tokens: 2900,
        },
    ];
    PromptShape {
        input: TokenCount(9200),
        max_output: TokenCount(100),
        parts,
    }
}

/// A simulated request: where it runs and when its prefill ends.
struct SimulatedRequest {
    id: UpstreamId,
    uncached: u64,
    prefilled_at: f64,
}

/// Totals of a simulation: tokens processed in prefill and requests that missed the target.
struct SimulationTotals {
    prefilled: u64,
    late: usize,
}

/// Simulates prompts that arrive every `gap_ms` at engines with a prefill rate of 42 tokens/ms.
fn simulate(uses_cache: bool, gap_ms: f64) -> SimulationTotals {
    const RATE: f64 = 42.0;
    const TARGET_MS: f64 = 600.0;
    fastrand::seed(7);
    let entries = upstreams();
    let mut table = table(&entries);
    let start = Instant::now();
    let mut free_at = [0.0_f64; UPSTREAMS];
    let mut running: Vec<SimulatedRequest> = Vec::new();
    let mut totals = SimulationTotals {
        prefilled: 0,
        late: 0,
    };
    let data_centre = "z1".parse().expect("a name");
    for number in 0..600_u64 {
        let time = number as f64 * gap_ms;
        let now = start + Duration::from_secs_f64(time / 1e3);
        running.retain(|request| {
            if request.prefilled_at > time {
                return true;
            }
            table.prefill_finished(&request.id, request.uncached);
            table.end(&request.id);
            false
        });
        let shape = prompt(fastrand::u64(..30), 1000 + number);
        let cached_tokens = |table: &mut LoadTable, id: &UpstreamId| {
            table
                .entry(id, now)
                .cache
                .cached_prefix_tokens(&shape.parts)
        };
        let without_parts = PromptShape {
            parts: Vec::new(),
            ..shape.clone()
        };
        let query = PlacementQuery {
            prompt: Some(if uses_cache { &shape } else { &without_parts }),
            tried: &[],
            rate_limited: &[],
            data_centre: &data_centre,
        };
        let choice = choose(&mut table, entries.iter(), &query, now).expect("an upstream");
        let uncached = 9200 - cached_tokens(&mut table, &choice.id);
        table.begin(&choice.id, uncached, &shape.parts, now);
        let at = entries
            .iter()
            .position(|e| e.id == choice.id)
            .expect("known");
        free_at[at] = free_at[at].max(time) + uncached as f64 / RATE;
        totals.prefilled += uncached;
        totals.late += usize::from(free_at[at] - time > TARGET_MS);
        running.push(SimulatedRequest {
            id: choice.id,
            uncached,
            prefilled_at: free_at[at],
        });
    }
    totals
}

#[test]
fn cache_aware_placement_reduces_prefill_and_late_requests() {
    let unaware = simulate(false, 36.0);
    let aware = simulate(true, 36.0);
    assert!(
        aware.prefilled * 10 < unaware.prefilled * 8,
        "{} of {}",
        aware.prefilled,
        unaware.prefilled
    );
    assert!(
        aware.late * 2 <= unaware.late,
        "{} of {}",
        aware.late,
        unaware.late
    );
}

#[test]
fn load_reported_by_other_vms_is_considered() {
    let entries = upstreams();
    let mut table = table(&entries);
    let now = Instant::now();
    for entry in &entries[1..] {
        let report = UpstreamReport {
            load: WorkLoad {
                unread: 40_000,
                running: 4,
            },
            ..UpstreamReport::default()
        };
        table.record_peer_report(&entry.id, 77, report, now);
    }
    let data_centre = "z1".parse().expect("a name");
    let shape = prompt(1, 1);
    let query = PlacementQuery {
        prompt: Some(&shape),
        tried: &[],
        rate_limited: &[],
        data_centre: &data_centre,
    };
    let choice = choose(&mut table, entries.iter(), &query, now).expect("an upstream");
    assert_eq!(choice.id, entries[0].id);
}

#[test]
fn failing_upstream_is_avoided_and_retried_later() {
    let entries = upstreams();
    let mut table = table(&entries);
    let now = Instant::now();
    for _ in 0..4 {
        table.record_outcome(&entries[0].id, false, now);
    }
    let data_centre = "z1".parse().expect("a name");
    let query = PlacementQuery {
        prompt: None,
        tried: &[],
        rate_limited: &[],
        data_centre: &data_centre,
    };
    let mut picks = |now| -> usize {
        (0..200)
            .filter(|_| {
                let choice = choose(&mut table, entries.iter(), &query, now).expect("one");
                choice.id == entries[0].id
            })
            .count()
    };
    assert_eq!(picks(now), 0);
    assert!(picks(now + Duration::from_secs(60)) > 0);
}

#[test]
fn tried_upstreams_are_excluded() {
    let entries = upstreams();
    let mut table = table(&entries);
    let now = Instant::now();
    let data_centre = "z1".parse().expect("a name");
    let tried: Vec<UpstreamId> = entries.iter().map(|entry| entry.id.clone()).collect();
    let query = PlacementQuery {
        prompt: None,
        tried: &tried,
        rate_limited: &[],
        data_centre: &data_centre,
    };
    assert_eq!(choose(&mut table, entries.iter(), &query, now), None);
}
