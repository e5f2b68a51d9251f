//! Measures costs that scale with the number of records, operations and budgets.

use std::fs;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::Segment;
use snipegate_ledger::SegmentRecord;
use snipegate_ledger::SegmentSequence;
use snipegate_ledger::ShardLedger;
use snipegate_ledger::encode_snapshot;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::TokenCount;

/// Number of budgets in each measured ledger.
const BUDGETS: [u64; 3] = [10_000, 40_000, 120_000];

/// Number of remembered IDs in each measured ledger.
const IDS: [u64; 3] = [50_000, 100_000, 200_000];

/// Number of holders of each budget.
const HOLDERS: u64 = 3;

/// Number of operations in each timed run.
const TIMED_OPERATIONS: u64 = 200_000;

/// Number of operations in each segment of a timed run.
const OPERATIONS_PER_SEGMENT: u64 = 64;

/// Size of a snapshot part in bytes.
const PART_BYTES: usize = 512 * 1024;

pub(crate) fn router(number: u64) -> IncarnationId {
    let text = format!("mvd-centro-{number}/router/18f0a4c3b2d1e0f0");
    text.parse().expect("the name is well formed")
}

pub(crate) fn budget(number: u64) -> BudgetId {
    let text = format!("franchisee-{number:06}-advice");
    text.parse().expect("the name is well formed")
}

/// Distributes sequential numbers over all 128 bits, as in random IDs.
pub(crate) fn scatter(number: u64) -> u128 {
    u128::from(number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)
}

fn operation(number: u64) -> OperationId {
    OperationId::from_number(scatter(number))
}

/// Returns operations that purchase a budget and grant all of it to one router.
pub(crate) fn funding_operations(number: u64) -> Vec<LedgerOperation> {
    vec![top_up(number, 1 << 40), grant(number, 1 << 62, 1 << 40)]
}

fn top_up(number: u64, amount: u64) -> LedgerOperation {
    LedgerOperation::TopUp {
        operation: operation(1 << 40 | number),
        budget: budget(number),
        amount: TokenCount(amount),
    }
}

fn grant(number: u64, id: u64, amount: u64) -> LedgerOperation {
    LedgerOperation::Grant {
        operation: operation(id),
        budget: budget(number),
        wanted: TokenCount(amount),
        least: TokenCount(1),
    }
}

fn bill(number: u64, id: u64) -> LedgerOperation {
    LedgerOperation::Bill {
        request: RequestId::from_number(scatter(id)),
        budget: budget(number),
        amount: TokenCount(700),
        holder: router(0),
        position: None,
    }
}

fn note_transfer(number: u64, id: u64) -> LedgerOperation {
    LedgerOperation::NoteTransfer {
        transfer: operation(id),
        budget: budget(number),
        giver: router(0),
        receiver: router(1),
        amount: TokenCount(700),
    }
}

/// Creates a ledger of `budgets` budgets, each held by [`HOLDERS`] routers, that has
/// forgotten the IDs of the operations that created it.
fn ledger_with_budgets(budgets: u64) -> ShardLedger {
    let mut ledger = ShardLedger::new();
    let mut records = Vec::new();
    for number in 0..budgets {
        ledger.begin_segment(SegmentSequence(number + 1));
        ledger.apply(&router(0), &top_up(number, 1 << 40), &mut records);
        for holder in 0..HOLDERS {
            let id = number * HOLDERS + holder;
            let operation = grant(number, id, 50_000);
            ledger.apply(&router(holder), &operation, &mut records);
        }
        ledger.forget_ids(SegmentSequence(number + 2));
        records.clear();
    }
    ledger
}

fn encoded_size(records: Vec<SegmentRecord>) -> usize {
    let segment = Segment {
        writer: router(0),
        nonce: 1,
        fence: false,
        forget_before: SegmentSequence(0),
        records,
    };
    segment.encode().map_or(0, |bytes| bytes.len())
}

/// Measures the average size in bytes of each kind of record in a segment.
pub(crate) fn record_bytes() -> Value {
    const RECORDS: u64 = 1_000;
    let size_of = |make: &dyn Fn(u64) -> LedgerOperation| {
        let mut ledger = ShardLedger::new();
        let mut records = Vec::new();
        for operation in funding_operations(0) {
            ledger.apply(&router(0), &operation, &mut records);
        }
        ledger.apply(&router(0), &top_up(5, 1 << 40), &mut records);
        ledger.apply(&router(0), &note_transfer(0, 1 << 41), &mut records);
        records.clear();
        for id in 0..RECORDS {
            ledger.apply(&router(0), &make(id), &mut records);
        }
        let empty = encoded_size(Vec::new());
        (encoded_size(records) - empty) as f64 / RECORDS as f64
    };
    let upstream = "booking-montevideo-1";
    json!({
        "empty_segment": encoded_size(Vec::new()),
        "grant": size_of(&|id| grant(5, id, 50_000)),
        "bill": size_of(&|id| bill(0, id)),
        "top_up": size_of(&|id| top_up_again(id)),
        "transfer": size_of(&|id| note_transfer(0, id)),
        "intend": size_of(&|id| LedgerOperation::Intend {
            request: RequestId::from_number(scatter(id)),
            attempt: operation(id),
            upstream: upstream.parse().expect("the name is well formed"),
            digest: scatter(id).to_be_bytes(),
        }),
    })
}

fn top_up_again(id: u64) -> LedgerOperation {
    LedgerOperation::TopUp {
        operation: operation(id),
        budget: budget(0),
        amount: TokenCount(2_000_000),
    }
}

/// Measures the time to decide operations and encode their segments on one thread.
pub(crate) fn processor_time() -> Value {
    let grants = nanos_per_operation(&|number| grant(number % 1_000, number, 1_000));
    let bills = nanos_per_operation(&|number| bill(number % 1_000, number));
    let repeats = nanos_per_operation(&|number| bill(number % 1_000, number % 1_000));
    json!({
        "operations": TIMED_OPERATIONS,
        "operations_per_segment": OPERATIONS_PER_SEGMENT,
        "grant_ns": grants,
        "bill_ns": bills,
        "repeated_bill_ns": repeats,
    })
}

fn nanos_per_operation(make: &dyn Fn(u64) -> LedgerOperation) -> f64 {
    let mut ledger = ShardLedger::new();
    let mut records = Vec::new();
    for number in 0..1_000 {
        ledger.apply(&router(0), &top_up(number, 1 << 40), &mut records);
        let operation = grant(number, 1 << 50 | number, 1 << 39);
        ledger.apply(&router(0), &operation, &mut records);
    }
    records.clear();
    let operations: Vec<_> = (0..TIMED_OPERATIONS).map(make).collect();
    let sender = router(0);
    let start = Instant::now();
    let mut bytes = 0;
    for group in operations.chunks(OPERATIONS_PER_SEGMENT as usize) {
        for operation in group {
            ledger.apply(&sender, operation, &mut records);
        }
        bytes += encoded_size(std::mem::take(&mut records));
    }
    assert!(bytes > 0);
    start.elapsed().as_nanos() as f64 / TIMED_OPERATIONS as f64
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

/// Measures the resident memory added by ledgers of several sizes.
///
/// All ledgers are kept until the end, so that no freed memory is reused.
pub(crate) fn memory() -> Value {
    let mut kept = Vec::new();
    let budgets: Vec<Value> = BUDGETS
        .iter()
        .map(|budgets| {
            let before = resident_bytes();
            kept.push(ledger_with_budgets(*budgets));
            let added = resident_bytes().saturating_sub(before);
            json!({
                "budgets": budgets,
                "holders_per_budget": HOLDERS,
                "bytes": added,
                "bytes_per_budget": added as f64 / *budgets as f64,
            })
        })
        .collect();
    let ids: Vec<Value> = IDS
        .iter()
        .map(|ids| {
            let before = resident_bytes();
            kept.push(ledger_with_ids(*ids));
            let added = resident_bytes().saturating_sub(before);
            json!({
                "ids": ids,
                "bytes": added,
                "bytes_per_id": added as f64 / *ids as f64,
            })
        })
        .collect();
    json!({ "budgets": budgets, "remembered_ids": ids })
}

fn ledger_with_ids(ids: u64) -> ShardLedger {
    let mut ledger = ShardLedger::new();
    let mut records = Vec::new();
    for operation in funding_operations(0) {
        ledger.apply(&router(0), &operation, &mut records);
    }
    for id in 0..ids {
        ledger.apply(&router(0), &bill(0, id), &mut records);
        records.clear();
    }
    ledger
}

/// Measures the size and encoding time of snapshots.
pub(crate) fn snapshot() -> Vec<Value> {
    BUDGETS
        .iter()
        .map(|budgets| {
            let ledger = ledger_with_budgets(*budgets);
            let start = Instant::now();
            let parts = encode_snapshot(&ledger, PART_BYTES).unwrap_or_default();
            let elapsed = start.elapsed();
            let bytes: usize = parts.iter().map(Vec::len).sum();
            json!({
                "budgets": budgets,
                "parts": parts.len(),
                "bytes": bytes,
                "bytes_per_budget": bytes as f64 / *budgets as f64,
                "encode_ms": elapsed.as_secs_f64() * 1e3,
            })
        })
        .collect()
}
