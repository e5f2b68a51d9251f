//! Measures the memory that one router's escrow takes for each budget.
//!
//! `cargo run -p snipegate-escrow --example escrow_memory` prints JSON: resident
//! bytes of the process for each number of budgets held.

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

/// Budgets held at each measurement.
const SIZES: [u32; 4] = [1_000, 10_000, 40_000, 120_000];

/// Shards that the budgets are spread over.
const SHARDS: u32 = 64;

/// Time between requests, so that timers end as in a running router.
const REQUEST_PAUSE: Duration = Duration::from_millis(1);

#[derive(Debug, Serialize)]
struct MemoryFigures {
    budgets: u32,
    resident_bytes: u64,
    bytes_per_budget: u64,
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}

/// Makes an escrow that was granted tokens of `budgets` budgets, each with one
/// request settled and billed.
fn fill(budgets: u32) -> RouterEscrow {
    let start = Instant::now();
    let own = "vm-1/router/1".parse().expect("the text is an incarnation");
    let place = "mvd-centro".parse().expect("the text is a name");
    let mut escrow = RouterEscrow::new(own, place, EscrowSettings::default(), start);
    for number in 0..budgets {
        let now = start + REQUEST_PAUSE * number;
        escrow.handle(EscrowEvent::Tick, now);
        let claim = BudgetClaim {
            request: RequestId::from_number(u128::from(number)),
            budget: format!("workspace-{}-budget-{number}", number / 10)
                .parse()
                .expect("the text is a name"),
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
            let escrow = fill(budgets);
            let taken = resident_bytes().saturating_sub(before);
            assert_eq!(escrow.budget_count(), budgets as usize);
            // Kept, so that the next size starts with fresh memory.
            std::mem::forget(escrow);
            MemoryFigures {
                budgets,
                resident_bytes: taken,
                bytes_per_budget: taken / u64::from(budgets),
            }
        })
        .collect();
    let text = serde_json::to_string_pretty(&figures).expect("figures are JSON");
    println!("{text}");
}
