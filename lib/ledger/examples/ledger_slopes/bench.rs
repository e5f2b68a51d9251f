//! Measures a keeper on an in-memory store with a simulated clock.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use snipegate_ledger::BatchId;
use snipegate_ledger::KeeperEffect;
use snipegate_ledger::KeeperEvent;
use snipegate_ledger::KeeperSettings;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::ShardKeeper;
use snipegate_ledger::StoreCallId;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreAnswer;
use snipegate_platform::StoreCall;
use snipegate_platform::StoreCore;
use snipegate_types::IncarnationId;
use snipegate_types::RequestId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

use crate::growth;

const SHARD: ShardId = ShardId(0);

/// Simulated latency of a store call.
const STORE_DELAY: Duration = Duration::from_millis(3);

/// Simulated duration of each run.
const RUN_SPAN: Duration = Duration::from_secs(20);

/// Resolution of the simulated clock.
const CLOCK_STEP: Duration = Duration::from_millis(1);

/// Bills per second and commit interval in milliseconds of each run.
const RUNS: [(u64, u64); 9] = [
    (20, 50),
    (100, 50),
    (1_000, 50),
    (5_000, 50),
    (10_000, 50),
    (1_000, 0),
    (1_000, 20),
    (1_000, 100),
    (1_000, 200),
];

/// Number of segments in the logs that are taken over.
const LOG_LENGTHS: [u64; 3] = [1_000, 5_000, 20_000];

/// Number of bills in each of these segments.
const BILLS_PER_SEGMENT: u64 = 40;

/// A keeper, its store, and the calls in flight between them.
struct KeeperBench {
    keeper: ShardKeeper,
    store: StoreCore,
    now: Instant,
    calls: Vec<(Instant, StoreCallId, StoreCall)>,
    sent_at: Vec<Instant>,
    reply_delays: Vec<Duration>,
    writes: u64,
    bytes: u64,
    list_calls: u64,
}

impl KeeperBench {
    fn new(settings: KeeperSettings) -> Self {
        let now = Instant::now();
        Self {
            keeper: ShardKeeper::new(SHARD, keeper_name(1), settings, now),
            store: StoreCore::new(),
            now,
            calls: Vec::new(),
            sent_at: Vec::new(),
            reply_delays: Vec::new(),
            writes: 0,
            bytes: 0,
            list_calls: 0,
        }
    }

    fn handle(&mut self, event: KeeperEvent) {
        for effect in self.keeper.handle(event, self.now) {
            let (call, request) = match effect {
                KeeperEffect::Swap {
                    call,
                    key,
                    expected,
                    value,
                } => {
                    self.writes += 1;
                    self.bytes += value.len() as u64;
                    (call, swap(key, expected, value))
                }
                KeeperEffect::Remove {
                    call,
                    key,
                    expected,
                } => {
                    self.writes += 1;
                    (call, StoreCall::Remove { key, expected })
                }
                KeeperEffect::Read { call, key } => (call, StoreCall::Read { key }),
                KeeperEffect::List {
                    call,
                    prefix,
                    after,
                } => {
                    self.list_calls += 1;
                    (call, StoreCall::List { prefix, after })
                }
                KeeperEffect::Reply { batch, .. } => {
                    let sent_at = self.sent_at[batch.0 as usize];
                    self.reply_delays.push(self.now.duration_since(sent_at));
                    continue;
                }
                _ => continue,
            };
            self.calls.push((self.now + STORE_DELAY, call, request));
        }
    }

    /// Executes the calls that are due.
    fn execute_due_calls(&mut self) {
        while let Some(position) = self.calls.iter().position(|(due, ..)| *due <= self.now) {
            let (_, call, request) = self.calls.remove(position);
            match self.store.apply(&request, self.now) {
                StoreAnswer::Value(found) => self.handle(KeeperEvent::ReadCompleted {
                    call,
                    result: Ok(found),
                }),
                StoreAnswer::Listing(listing) => self.handle(KeeperEvent::ListCompleted {
                    call,
                    result: Ok(listing),
                }),
                StoreAnswer::Outcome(outcome) => self.handle(KeeperEvent::SwapCompleted {
                    call,
                    result: Ok(outcome),
                }),
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        self.now += CLOCK_STEP;
        self.execute_due_calls();
        self.handle(KeeperEvent::Tick);
    }

    fn take_over(&mut self) {
        let keeper = Some(keeper_name(1));
        self.handle(KeeperEvent::KeeperChosen { keeper });
        while !self.keeper.is_serving() {
            self.step();
        }
    }

    fn send(&mut self, operations: Vec<LedgerOperation>) {
        let id = BatchId(self.sent_at.len() as u64);
        self.sent_at.push(self.now);
        let batch = LedgerBatch {
            shard: SHARD,
            sender: growth::router(0),
            first: None,
            operations,
        };
        self.handle(KeeperEvent::Batch { id, batch });
    }
}

fn keeper_name(number: u64) -> IncarnationId {
    let text = format!("mvd-keeper-{number}/keeper/18f0a4c3b2d1e0f0");
    text.parse().expect("the name is well formed")
}

fn swap(key: String, expected: ExpectedVersion, value: Vec<u8>) -> StoreCall {
    StoreCall::Swap {
        key,
        expected,
        value,
        lease: None,
    }
}

fn bill(number: u64) -> LedgerOperation {
    LedgerOperation::Bill {
        request: RequestId::from_number(growth::scatter(number)),
        budget: growth::budget(0),
        amount: TokenCount(700),
        holder: growth::router(0),
        position: None,
    }
}

/// Measures group commit of one shard at several bill rates, with one bill per batch.
pub(crate) fn group_commit() -> Vec<Value> {
    RUNS.iter()
        .map(|(rate, interval)| measure_commit(*rate, *interval))
        .collect()
}

fn measure_commit(rate: u64, interval_ms: u64) -> Value {
    let settings = KeeperSettings {
        retry_window: Duration::from_secs(5),
        snapshot_every: 100,
        commit_interval: Duration::from_millis(interval_ms),
        ..KeeperSettings::default()
    };
    let mut bench = KeeperBench::new(settings);
    bench.take_over();
    bench.send(growth::funding_operations(0));
    let start = bench.now;
    (bench.writes, bench.bytes) = (0, 0);
    let first = bench.keeper.committed().0;
    let mut number = 0;
    while bench.now < start + RUN_SPAN {
        let elapsed = bench.now.duration_since(start);
        while number < (elapsed.as_millis() as u64) * rate / 1_000 {
            bench.send(vec![bill(number)]);
            number += 1;
        }
        bench.step();
    }
    let seconds = RUN_SPAN.as_secs_f64();
    let segments = bench.keeper.committed().0 - first;
    bench.reply_delays.sort_unstable();
    let delay =
        |part: usize| bench.reply_delays[(bench.reply_delays.len() - 1) * part / 100].as_secs_f64();
    json!({
        "bills_per_second": rate,
        "commit_interval_ms": interval_ms,
        "store_delay_ms": STORE_DELAY.as_millis() as u64,
        "segments_per_second": segments as f64 / seconds,
        "writes_per_second": bench.writes as f64 / seconds,
        "bytes_per_second": bench.bytes as f64 / seconds,
        "delay_ms_median": delay(50) * 1e3,
        "delay_ms_p99": delay(99) * 1e3,
    })
}

/// Measures the takeover of logs of several lengths without a snapshot.
pub(crate) fn takeover() -> Vec<Value> {
    LOG_LENGTHS
        .iter()
        .map(|length| take_over(*length))
        .collect()
}

fn take_over(segments: u64) -> Value {
    let settings = KeeperSettings {
        snapshot_every: u64::MAX / 2,
        commit_interval: Duration::ZERO,
        ..KeeperSettings::default()
    };
    let mut bench = KeeperBench::new(settings.clone());
    bench.take_over();
    bench.send(growth::funding_operations(0));
    for segment in 0..segments {
        let first = segment * BILLS_PER_SEGMENT;
        bench.send((first..first + BILLS_PER_SEGMENT).map(bill).collect());
        while !bench.calls.is_empty() {
            bench.step();
        }
    }
    let bytes = bench.bytes;
    let mut next = KeeperBench::new(settings);
    next.store = bench.store;
    next.now = bench.now;
    let start = Instant::now();
    next.take_over();
    let processing = start.elapsed();
    json!({
        "segments": segments,
        "bills_per_segment": BILLS_PER_SEGMENT,
        "log_bytes": bytes,
        "list_calls": next.list_calls,
        "processing_ms": processing.as_secs_f64() * 1e3,
    })
}
