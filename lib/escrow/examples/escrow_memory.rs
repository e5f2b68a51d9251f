//! Measures the memory use of a router's escrow per budget.
//!
//! `cargo run -p snipegate-escrow --example escrow_memory` prints the resident memory
//! for several numbers of budgets as JSON.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use snipegate_escrow::BatchOutcome;
use snipegate_escrow::BudgetClaim;
use snipegate_escrow::EscrowEffect;
use snipegate_escrow::EscrowEvent;
use snipegate_escrow::EscrowSettings;
use snipegate_escrow::ReserveOutcome;
use snipegate_escrow::RouterEscrow;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationResult;
use snipegate_types::RequestId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

/// Number of budgets in each measurement.
const SIZES: [u32; 4] = [1_000, 10_000, 40_000, 120_000];

/// Number of shards that the budgets are spread over.
const SHARDS: u32 = 64;

/// Interval between requests, so that timers expire as in a running router.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1);

/// The result of one measurement.
#[derive(Debug, Serialize)]
struct MemoryFigures {
    budgets: u32,
    resident_bytes: u64,
    bytes_per_budget: u64,
}

/// Returns the resident memory of this process, or 0 if it is not available.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}

/// Creates an escrow with holdings of `budgets` budgets, each with one billed request.
fn filled_escrow(budgets: u32) -> RouterEscrow {
    let start = Instant::now();
    let own_id = "vm-1/router/1"
        .parse()
        .expect("incarnation id should be valid");
    let data_centre = "mvd-centro"
        .parse()
        .expect("data centre name should be valid");
    let mut escrow = RouterEscrow::new(own_id, data_centre, EscrowSettings::default(), start);
    for number in 0..budgets {
        let now = start + REQUEST_INTERVAL * number;
        escrow.handle(EscrowEvent::Tick, now);
        let claim = BudgetClaim {
            request: RequestId::from_number(u128::from(number)),
            budget: format!("workspace-{}-budget-{number}", number / 10)
                .parse()
                .expect("budget name should be valid"),
            shard: ShardId((number % SHARDS) as u16),
            worst_case: TokenCount(500),
        };
        let outcome = escrow.reserve(claim, now);
        answer_all(&mut escrow, now);
        if let ReserveOutcome::Waiting(reservation) = outcome {
            escrow.settle(reservation, TokenCount(200), now);
        }
        answer_all(&mut escrow, now);
    }
    escrow
}

/// Answers all batches as a ledger that grants every request in full.
fn answer_all(escrow: &mut RouterEscrow, now: Instant) {
    for effect in escrow.take_effects(now) {
        let EscrowEffect::SendBatch { id, batch } = effect else {
            continue;
        };
        let results = batch.operations.iter().map(result_of).collect();
        let outcome = BatchOutcome::Answered(LedgerAnswer::Results(results));
        let shard = batch.shard;
        escrow.handle(EscrowEvent::BatchEnded { shard, id, outcome }, now);
    }
}

fn result_of(operation: &LedgerOperation) -> OperationResult {
    match operation {
        LedgerOperation::Grant { wanted, .. } => OperationResult::Granted {
            amount: *wanted,
            unassigned: TokenCount(1_000_000),
        },
        LedgerOperation::Bill { amount, .. } => OperationResult::Billed {
            amount: *amount,
            first: true,
        },
        _ => OperationResult::Returned,
    }
}

fn main() {
    let figures: Vec<MemoryFigures> = SIZES
        .into_iter()
        .map(|budgets| {
            let before = resident_bytes();
            let escrow = filled_escrow(budgets);
            let used = resident_bytes().saturating_sub(before);
            assert_eq!(escrow.budget_count(), budgets as usize);
            // Leaked, so that the next measurement can't reuse its memory.
            std::mem::forget(escrow);
            MemoryFigures {
                budgets,
                resident_bytes: used,
                bytes_per_budget: used / u64::from(budgets),
            }
        })
        .collect();
    let text = serde_json::to_string_pretty(&figures).expect("figures should serialize to JSON");
    println!("{text}");
}
