//! Tests of single steps of a shard keeper.

use std::time::Duration;
use std::time::Instant;

use snipegate_ledger::BatchId;
use snipegate_ledger::HolderState;
use snipegate_ledger::KeeperEffect;
use snipegate_ledger::KeeperEvent;
use snipegate_ledger::KeeperSettings;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationResult;
use snipegate_ledger::ShardKeeper;
use snipegate_ledger::StoreCallId;
use snipegate_platform::StoreAnswer;
use snipegate_platform::StoreCall;
use snipegate_platform::StoreCore;
use snipegate_platform::StoreError;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

fn keeper_name(number: u8) -> IncarnationId {
    format!("k{number}/keeper/1").parse().unwrap()
}

fn router(number: u8) -> IncarnationId {
    format!("vm{number}/router/1").parse().unwrap()
}

fn budget() -> BudgetId {
    "depot".parse().unwrap()
}

fn top_up(number: u128, amount: u64) -> LedgerOperation {
    LedgerOperation::TopUp {
        operation: OperationId::from_number(number),
        budget: budget(),
        amount: TokenCount(amount),
    }
}

fn grant(number: u128, wanted: u64) -> LedgerOperation {
    LedgerOperation::Grant {
        operation: OperationId::from_number(number),
        budget: budget(),
        wanted: TokenCount(wanted),
        least: TokenCount(wanted),
    }
}

/// Test harness with a keeper and the effects that it has requested.
struct Harness {
    keeper: ShardKeeper,
    now: Instant,
    /// Store calls that have not been executed yet.
    calls: Vec<(StoreCallId, StoreCall)>,
    replies: Vec<(u64, LedgerAnswer)>,
    /// Requests to routers.
    router_requests: Vec<KeeperEffect>,
}

impl Harness {
    fn new(number: u8, settings: KeeperSettings) -> Self {
        let now = Instant::now();
        Self {
            keeper: ShardKeeper::new(ShardId(0), keeper_name(number), settings, now),
            now,
            calls: Vec::new(),
            replies: Vec::new(),
            router_requests: Vec::new(),
        }
    }

    /// Creates a harness whose keeper serves a shard on `store`.
    fn serving(number: u8, settings: KeeperSettings, store: &mut StoreCore) -> Self {
        let mut harness = Self::new(number, settings);
        harness.choose_keeper(number);
        harness.execute_calls(store);
        assert!(harness.keeper.is_serving());
        harness
    }

    fn choose_keeper(&mut self, number: u8) {
        let keeper = Some(keeper_name(number));
        self.handle(KeeperEvent::KeeperChosen { keeper });
    }

    fn handle(&mut self, event: KeeperEvent) {
        for effect in self.keeper.handle(event, self.now) {
            match effect {
                KeeperEffect::Swap {
                    call,
                    key,
                    expected,
                    value,
                } => {
                    let lease = None;
                    let request = StoreCall::Swap {
                        key,
                        expected,
                        value,
                        lease,
                    };
                    self.calls.push((call, request));
                }
                KeeperEffect::Remove {
                    call,
                    key,
                    expected,
                } => self.calls.push((call, StoreCall::Remove { key, expected })),
                KeeperEffect::Read { call, key } => {
                    self.calls.push((call, StoreCall::Read { key }));
                }
                KeeperEffect::List {
                    call,
                    prefix,
                    after,
                } => self.calls.push((call, StoreCall::List { prefix, after })),
                KeeperEffect::Reply { batch, answer } => self.replies.push((batch.0, answer)),
                KeeperEffect::Notice(_) => {}
                request => self.router_requests.push(request),
            }
        }
    }

    /// Executes store calls until none is left.
    fn execute_calls(&mut self, store: &mut StoreCore) {
        while !self.calls.is_empty() {
            let (call, request) = self.calls.remove(0);
            let answer = store.apply(&request, self.now);
            self.answer(call, answer);
        }
    }

    fn answer(&mut self, call: StoreCallId, answer: StoreAnswer) {
        self.handle(match answer {
            StoreAnswer::Value(found) => KeeperEvent::ReadCompleted {
                call,
                result: Ok(found),
            },
            StoreAnswer::Listing(listing) => KeeperEvent::ListCompleted {
                call,
                result: Ok(listing),
            },
            StoreAnswer::Outcome(outcome) => KeeperEvent::SwapCompleted {
                call,
                result: Ok(outcome),
            },
            other => panic!("unexpected store answer: {other:?}"),
        });
    }

    /// Fails the oldest call, which must be a swap, and returns it.
    fn fail_swap(&mut self, error: StoreError) -> StoreCall {
        let (call, request) = self.calls.remove(0);
        let result = Err(error);
        self.handle(KeeperEvent::SwapCompleted { call, result });
        request
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.handle(KeeperEvent::Tick);
    }

    fn send(&mut self, id: u64, sender: u8, operations: Vec<LedgerOperation>) {
        let batch = LedgerBatch {
            shard: ShardId(0),
            sender: router(sender),
            first: None,
            operations,
        };
        let id = BatchId(id);
        self.handle(KeeperEvent::Batch { id, batch });
    }

    fn take_replies(&mut self) -> Vec<(u64, LedgerAnswer)> {
        std::mem::take(&mut self.replies)
    }
}

fn results(id: u64, results: Vec<OperationResult>) -> (u64, LedgerAnswer) {
    (id, LedgerAnswer::Results(results))
}

fn undecided(id: u64) -> (u64, LedgerAnswer) {
    let retry_after_ms = 250;
    (id, LedgerAnswer::Undecided { retry_after_ms })
}

#[test]
fn reply_to_operation_and_to_its_repetition_waits_for_commit() {
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, KeeperSettings::default(), &mut store);
    harness.send(1, 0, vec![top_up(1, 100)]);
    harness.advance(60);
    harness.send(2, 0, vec![top_up(1, 100)]);
    assert_eq!(harness.calls.len(), 1);
    assert_eq!(harness.take_replies(), []);
    harness.execute_calls(&mut store);
    harness.advance(50);
    let topped_up = || vec![OperationResult::ToppedUp];
    let expected = [results(1, topped_up()), results(2, topped_up())];
    assert_eq!(harness.take_replies(), expected);
    assert!(
        harness.calls.is_empty(),
        "a repeated operation writes nothing"
    );
}

#[test]
fn store_outage_is_answered_at_once() {
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, KeeperSettings::default(), &mut store);
    harness.send(1, 0, vec![top_up(1, 100)]);
    harness.send(2, 0, vec![top_up(2, 100)]);
    harness.fail_swap(StoreError::Unreachable);
    assert_eq!(harness.take_replies(), [undecided(2), undecided(1)]);
    harness.send(3, 0, vec![top_up(1, 100)]);
    assert_eq!(harness.take_replies(), [undecided(3)]);
    // The segment is written again, and a retry gets its result.
    harness.advance(250);
    harness.execute_calls(&mut store);
    harness.send(4, 0, vec![top_up(1, 100)]);
    let topped_up = vec![OperationResult::ToppedUp];
    assert_eq!(harness.take_replies(), [results(4, topped_up)]);
    let balance = harness.keeper.ledger().balance(&budget()).unwrap();
    assert_eq!(balance.purchased, 100);
}

#[test]
fn lost_reply_is_resolved_by_reading_the_position() {
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, KeeperSettings::default(), &mut store);
    harness.send(1, 0, vec![top_up(1, 100)]);
    let request = harness.fail_swap(StoreError::ReplyLost);
    store.apply(&request, harness.now);
    assert_eq!(harness.take_replies(), []);
    harness.execute_calls(&mut store);
    let topped_up = vec![OperationResult::ToppedUp];
    assert_eq!(harness.take_replies(), [results(1, topped_up)]);
}

#[test]
fn segment_of_an_earlier_attempt_is_not_mistaken_for_the_current_one() {
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, KeeperSettings::default(), &mut store);
    harness.send(1, 0, vec![top_up(1, 100)]);
    let late = harness.fail_swap(StoreError::ReplyLost);
    let (call, _) = harness.calls.remove(0);
    let result = Err(StoreError::Unreachable);
    harness.handle(KeeperEvent::ReadCompleted { call, result });
    harness.choose_keeper(1);
    assert!(harness.keeper.is_idle());
    harness.choose_keeper(0);
    // The earlier write is applied between the load and the fence.
    while !matches!(harness.calls[0].1, StoreCall::Swap { .. }) {
        let (call, request) = harness.calls.remove(0);
        let answer = store.apply(&request, harness.now);
        harness.answer(call, answer);
    }
    store.apply(&late, harness.now);
    harness.execute_calls(&mut store);
    assert!(harness.keeper.is_serving());
    let balance = harness.keeper.ledger().balance(&budget()).unwrap();
    assert_eq!(balance.purchased, 100);
}

#[test]
fn write_in_flight_of_a_paused_keeper_conflicts_after_takeover() {
    let settings = KeeperSettings {
        retry_window: Duration::from_millis(100),
        snapshot_every: 2,
        ..KeeperSettings::default()
    };
    let mut store = StoreCore::new();
    let mut first = Harness::serving(0, settings.clone(), &mut store);
    first.send(1, 0, vec![top_up(1, 100)]);
    // While it is paused, another keeper serves until the old segments are removed.
    let mut second = Harness::serving(1, settings, &mut store);
    for number in 2..40 {
        second.send(number, 0, vec![top_up(u128::from(number), 1)]);
        second.execute_calls(&mut store);
        second.advance(60);
        second.execute_calls(&mut store);
    }
    let listing = StoreCall::List {
        prefix: "shard/0/segment/".to_owned(),
        after: None,
    };
    let StoreAnswer::Listing(listing) = store.apply(&listing, second.now) else {
        panic!("unexpected answer to a listing");
    };
    assert!(listing.entries.len() < 12, "old segments are removed");
    first.execute_calls(&mut store);
    assert_eq!(first.take_replies(), [undecided(1)]);
    assert!(!first.keeper.is_serving());
}

#[test]
fn closing_holder_is_reclaimed_after_all_routers_have_confirmed() {
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, KeeperSettings::default(), &mut store);
    harness.send(1, 0, vec![top_up(1, 100), grant(2, 60)]);
    harness.execute_calls(&mut store);
    harness.advance(50);
    let dead = router(0);
    harness.handle(KeeperEvent::ProvenDead {
        incarnation: dead.clone(),
    });
    assert!(
        harness.router_requests.is_empty(),
        "routers must not be asked before the closing is durable"
    );
    harness.execute_calls(&mut store);
    let list = KeeperEffect::ListRouters { dead: dead.clone() };
    assert_eq!(harness.router_requests, [list]);
    harness.handle(KeeperEvent::RoutersListed {
        dead: dead.clone(),
        routers: (0..3).map(router).collect(),
    });
    let ask = |number| KeeperEffect::RequestFence {
        router: router(number),
        dead: dead.clone(),
    };
    assert_eq!(harness.router_requests[1..], [ask(1), ask(2)]);
    harness.handle(KeeperEvent::FenceConfirmed {
        router: router(1),
        dead: dead.clone(),
    });
    harness.advance(50);
    harness.execute_calls(&mut store);
    let unassigned = |harness: &Harness| {
        let balance = harness.keeper.ledger().balance(&budget());
        balance.unwrap().unassigned
    };
    assert_eq!(unassigned(&harness), 40);
    // The other router is proven dead too.
    harness.handle(KeeperEvent::ProvenDead {
        incarnation: router(2),
    });
    harness.execute_calls(&mut store);
    assert_eq!(unassigned(&harness), 100);
}

#[test]
fn holder_first_recorded_after_its_death_is_closed() {
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, KeeperSettings::default(), &mut store);
    harness.send(1, 0, vec![top_up(1, 100), grant(2, 60)]);
    harness.execute_calls(&mut store);
    let incarnation = router(3);
    harness.handle(KeeperEvent::ProvenDead { incarnation });
    harness.advance(50);
    let late = LedgerOperation::NoteTransfer {
        transfer: OperationId::from_number(3),
        budget: budget(),
        giver: router(0),
        receiver: router(3),
        amount: TokenCount(10),
    };
    harness.send(2, 0, vec![late]);
    harness.execute_calls(&mut store);
    harness.advance(50);
    harness.execute_calls(&mut store);
    let state = harness.keeper.ledger().holder_state(&router(3));
    assert_eq!(state, Some(HolderState::Closing));
}

#[test]
fn segment_rejected_as_too_large_does_not_block_the_shard() {
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, KeeperSettings::default(), &mut store);
    harness.send(1, 0, vec![top_up(1, 100)]);
    harness.fail_swap(StoreError::ValueTooLarge { bytes: 2 << 20 });
    assert_eq!(harness.take_replies(), [undecided(1)]);
    harness.advance(500);
    harness.execute_calls(&mut store);
    harness.send(2, 0, vec![top_up(2, 100)]);
    harness.execute_calls(&mut store);
    let topped_up = vec![OperationResult::ToppedUp];
    assert_eq!(harness.take_replies(), [results(2, topped_up)]);
    // The rejected bytes were not written again.
    let balance = harness.keeper.ledger().balance(&budget()).unwrap();
    assert_eq!(balance.purchased, 100);
}

#[test]
fn short_budget_is_recalled_from_the_largest_holders() {
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, KeeperSettings::default(), &mut store);
    harness.send(1, 0, vec![top_up(1, 100), grant(2, 30)]);
    harness.send(2, 1, vec![grant(3, 70)]);
    harness.execute_calls(&mut store);
    harness.advance(50);
    harness.execute_calls(&mut store);
    harness.send(3, 2, vec![grant(4, 80)]);
    harness.send(4, 2, vec![grant(5, 80)]);
    let ask = |number, amount| KeeperEffect::RequestReturn {
        holder: router(number),
        budget: budget(),
        amount: TokenCount(amount),
    };
    assert_eq!(
        harness.router_requests,
        [],
        "the commit interval has not passed"
    );
    harness.advance(50);
    assert_eq!(
        harness.router_requests,
        [ask(1, 70), ask(0, 10)],
        "asked once for both"
    );
}

#[test]
fn commit_interval_limits_segments_at_any_batch_rate() {
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, KeeperSettings::default(), &mut store);
    harness.advance(1_000);
    let before = harness.keeper.committed().0;
    for number in 0..500 {
        harness.send(number, 0, vec![top_up(u128::from(number), 1)]);
        harness.execute_calls(&mut store);
        harness.advance(1);
        harness.execute_calls(&mut store);
    }
    // One segment at the start and one after each interval of 50 ms.
    assert_eq!(harness.keeper.committed().0 - before, 1 + 500 / 50);
}

#[test]
fn snapshot_is_taken_while_segments_follow_without_a_gap() {
    let settings = KeeperSettings {
        commit_interval: Duration::ZERO,
        snapshot_every: 3,
        ..KeeperSettings::default()
    };
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, settings, &mut store);
    let mut is_snapshot_started = false;
    for number in 0..20 {
        harness.send(number, 0, vec![top_up(u128::from(number), 1)]);
        let writes_part = |request: &StoreCall| match request {
            StoreCall::Swap { key, .. } => key.contains("/snapshot/"),
            _ => false,
        };
        is_snapshot_started |= harness.calls.iter().any(|(_, call)| writes_part(call));
        if harness.calls.len() > 1 || number > 0 {
            let (call, request) = harness.calls.remove(0);
            let answer = store.apply(&request, harness.now);
            harness.answer(call, answer);
        }
    }
    assert!(is_snapshot_started);
}

#[test]
fn leaving_keeper_serves_until_its_successor_has_taken_over() {
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, KeeperSettings::default(), &mut store);
    harness.handle(KeeperEvent::Leave);
    harness.choose_keeper(1);
    harness.send(1, 0, vec![top_up(1, 100)]);
    harness.execute_calls(&mut store);
    let topped_up = vec![OperationResult::ToppedUp];
    assert_eq!(harness.take_replies(), [results(1, topped_up)]);
    let next = Harness::serving(1, KeeperSettings::default(), &mut store);
    harness.advance(50);
    harness.send(2, 0, vec![top_up(2, 100)]);
    harness.execute_calls(&mut store);
    assert_eq!(harness.take_replies(), [undecided(2)]);
    assert!(harness.keeper.is_idle());
    harness.send(3, 0, vec![top_up(2, 100)]);
    let keeper = Some(keeper_name(1));
    let answer = LedgerAnswer::NotKeeper { keeper };
    assert_eq!(harness.take_replies(), [(3, answer)]);
    assert!(next.keeper.is_serving());
}

#[test]
fn leaving_keeper_releases_an_idle_shard_after_the_handover() {
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, KeeperSettings::default(), &mut store);
    harness.handle(KeeperEvent::Leave);
    harness.choose_keeper(1);
    harness.advance(1_000);
    assert!(harness.keeper.is_serving());
    harness.advance(1_000);
    assert!(harness.keeper.is_idle());
}

#[test]
fn stop_waits_for_the_commit_in_flight() {
    let mut store = StoreCore::new();
    let mut harness = Harness::serving(0, KeeperSettings::default(), &mut store);
    harness.send(1, 0, vec![top_up(1, 100)]);
    harness.handle(KeeperEvent::Stop);
    assert!(!harness.keeper.is_idle());
    harness.execute_calls(&mut store);
    let topped_up = vec![OperationResult::ToppedUp];
    assert_eq!(harness.take_replies(), [results(1, topped_up)]);
    assert!(harness.keeper.is_idle());
}
