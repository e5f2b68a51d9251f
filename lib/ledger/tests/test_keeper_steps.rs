//! Single decisions of a shard keeper, step by step.

use std::time::Duration;
use std::time::Instant;

use snipegate_ledger::BatchId;
use snipegate_ledger::CallId;
use snipegate_ledger::HolderState;
use snipegate_ledger::KeeperEffect;
use snipegate_ledger::KeeperEvent;
use snipegate_ledger::KeeperSettings;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationResult;
use snipegate_ledger::ShardKeeper;
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

/// A keeper and what it has asked for.
struct Bench {
    keeper: ShardKeeper,
    now: Instant,
    /// Calls to the store that were not carried out.
    calls: Vec<(CallId, StoreCall)>,
    replies: Vec<(u64, LedgerAnswer)>,
    asked: Vec<KeeperEffect>,
}

impl Bench {
    fn new(number: u8, settings: KeeperSettings) -> Self {
        let now = Instant::now();
        Self {
            keeper: ShardKeeper::new(ShardId(0), keeper_name(number), settings, now),
            now,
            calls: Vec::new(),
            replies: Vec::new(),
            asked: Vec::new(),
        }
    }

    /// Makes a keeper that serves a shard on `store`.
    fn serving(number: u8, settings: KeeperSettings, store: &mut StoreCore) -> Self {
        let mut bench = Self::new(number, settings);
        bench.choose(number);
        bench.run(store);
        assert!(bench.keeper.is_serving());
        bench
    }

    fn choose(&mut self, number: u8) {
        let keeper = Some(keeper_name(number));
        self.tell(KeeperEvent::Chosen { keeper });
    }

    fn tell(&mut self, event: KeeperEvent) {
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
                asked => self.asked.push(asked),
            }
        }
    }

    /// Carries out calls until none is left.
    fn run(&mut self, store: &mut StoreCore) {
        while !self.calls.is_empty() {
            let (call, request) = self.calls.remove(0);
            let answer = store.apply(&request, self.now);
            self.answer(call, answer);
        }
    }

    fn answer(&mut self, call: CallId, answer: StoreAnswer) {
        self.tell(match answer {
            StoreAnswer::Value(found) => KeeperEvent::ReadEnded {
                call,
                result: Ok(found),
            },
            StoreAnswer::Listing(listing) => KeeperEvent::ListEnded {
                call,
                result: Ok(listing),
            },
            StoreAnswer::Outcome(outcome) => KeeperEvent::SwapEnded {
                call,
                result: Ok(outcome),
            },
            other => panic!("a keeper does not ask for {other:?}"),
        });
    }

    /// Tells the only call's failure and returns the call.
    fn fail_swap(&mut self, error: StoreError) -> StoreCall {
        let (call, request) = self.calls.remove(0);
        let result = Err(error);
        self.tell(KeeperEvent::SwapEnded { call, result });
        request
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.tell(KeeperEvent::Tick);
    }

    fn send(&mut self, id: u64, sender: u8, operations: Vec<LedgerOperation>) {
        let batch = LedgerBatch {
            shard: ShardId(0),
            sender: router(sender),
            first: None,
            operations,
        };
        let id = BatchId(id);
        self.tell(KeeperEvent::Batch { id, batch });
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
fn answer_waits_for_its_segment_and_so_does_a_repeat() {
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, KeeperSettings::default(), &mut store);
    bench.send(1, 0, vec![top_up(1, 100)]);
    bench.pass(60);
    bench.send(2, 0, vec![top_up(1, 100)]);
    assert_eq!(bench.calls.len(), 1);
    assert_eq!(bench.take_replies(), []);
    bench.run(&mut store);
    bench.pass(50);
    let topped_up = || vec![OperationResult::ToppedUp];
    let expected = [results(1, topped_up()), results(2, topped_up())];
    assert_eq!(bench.take_replies(), expected);
    assert!(bench.calls.is_empty(), "a repeat writes nothing");
}

#[test]
fn outage_is_answered_at_once() {
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, KeeperSettings::default(), &mut store);
    bench.send(1, 0, vec![top_up(1, 100)]);
    bench.send(2, 0, vec![top_up(2, 100)]);
    bench.fail_swap(StoreError::Unreachable);
    assert_eq!(bench.take_replies(), [undecided(2), undecided(1)]);
    bench.send(3, 0, vec![top_up(1, 100)]);
    assert_eq!(bench.take_replies(), [undecided(3)]);
    // The segment is sent again; who asks again finds its result.
    bench.pass(250);
    bench.run(&mut store);
    bench.send(4, 0, vec![top_up(1, 100)]);
    let topped_up = vec![OperationResult::ToppedUp];
    assert_eq!(bench.take_replies(), [results(4, topped_up)]);
    let balance = bench.keeper.ledger().balance(&budget()).unwrap();
    assert_eq!(balance.purchased, 100);
}

#[test]
fn lost_reply_is_resolved_by_the_segment_found() {
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, KeeperSettings::default(), &mut store);
    bench.send(1, 0, vec![top_up(1, 100)]);
    let request = bench.fail_swap(StoreError::ReplyLost);
    store.apply(&request, bench.now);
    assert_eq!(bench.take_replies(), []);
    bench.run(&mut store);
    let topped_up = vec![OperationResult::ToppedUp];
    assert_eq!(bench.take_replies(), [results(1, topped_up)]);
}

#[test]
fn own_segment_of_an_earlier_attempt_is_not_taken_for_the_present_one() {
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, KeeperSettings::default(), &mut store);
    bench.send(1, 0, vec![top_up(1, 100)]);
    let late = bench.fail_swap(StoreError::ReplyLost);
    let (call, _) = bench.calls.remove(0);
    let result = Err(StoreError::Unreachable);
    bench.tell(KeeperEvent::ReadEnded { call, result });
    bench.choose(1);
    assert!(bench.keeper.is_idle());
    bench.choose(0);
    // The earlier write takes effect between the load and the fence.
    while !matches!(bench.calls[0].1, StoreCall::Swap { .. }) {
        let (call, request) = bench.calls.remove(0);
        let answer = store.apply(&request, bench.now);
        bench.answer(call, answer);
    }
    store.apply(&late, bench.now);
    bench.run(&mut store);
    assert!(bench.keeper.is_serving());
    let balance = bench.keeper.ledger().balance(&budget()).unwrap();
    assert_eq!(balance.purchased, 100);
}

#[test]
fn keeper_paused_with_a_write_in_flight_finds_its_position_taken() {
    let settings = KeeperSettings {
        retry_window: Duration::from_millis(100),
        snapshot_every: 2,
        ..KeeperSettings::default()
    };
    let mut store = StoreCore::new();
    let mut first = Bench::serving(0, settings.clone(), &mut store);
    first.send(1, 0, vec![top_up(1, 100)]);
    // It pauses; another one goes on until everything old is removed.
    let mut second = Bench::serving(1, settings, &mut store);
    for number in 2..40 {
        second.send(number, 0, vec![top_up(u128::from(number), 1)]);
        second.run(&mut store);
        second.pass(60);
        second.run(&mut store);
    }
    let listing = StoreCall::List {
        prefix: "shard/0/segment/".to_owned(),
        after: None,
    };
    let StoreAnswer::Listing(listing) = store.apply(&listing, second.now) else {
        panic!("a listing is answered by one");
    };
    assert!(listing.entries.len() < 12, "old segments are removed");
    first.run(&mut store);
    assert_eq!(first.take_replies(), [undecided(1)]);
    assert!(!first.keeper.is_serving());
}

#[test]
fn closing_holder_is_reclaimed_after_every_router_has_confirmed() {
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, KeeperSettings::default(), &mut store);
    bench.send(1, 0, vec![top_up(1, 100), grant(2, 60)]);
    bench.run(&mut store);
    bench.pass(50);
    let dead = router(0);
    bench.tell(KeeperEvent::ProvenDead {
        incarnation: dead.clone(),
    });
    assert!(
        bench.asked.is_empty(),
        "nobody is asked before it is durable"
    );
    bench.run(&mut store);
    let list = KeeperEffect::ListRouters { dead: dead.clone() };
    assert_eq!(bench.asked, [list]);
    bench.tell(KeeperEvent::RoutersListed {
        dead: dead.clone(),
        routers: (0..3).map(router).collect(),
    });
    let ask = |number| KeeperEffect::AskFence {
        router: router(number),
        dead: dead.clone(),
    };
    assert_eq!(bench.asked[1..], [ask(1), ask(2)]);
    bench.tell(KeeperEvent::FenceAnswered {
        router: router(1),
        dead: dead.clone(),
    });
    bench.pass(50);
    bench.run(&mut store);
    let unassigned = |bench: &Bench| {
        let balance = bench.keeper.ledger().balance(&budget());
        balance.unwrap().unassigned
    };
    assert_eq!(unassigned(&bench), 40);
    // The other router turns out to be dead too.
    bench.tell(KeeperEvent::ProvenDead {
        incarnation: router(2),
    });
    bench.run(&mut store);
    assert_eq!(unassigned(&bench), 100);
}

#[test]
fn holder_that_is_named_only_after_its_death_is_closed_too() {
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, KeeperSettings::default(), &mut store);
    bench.send(1, 0, vec![top_up(1, 100), grant(2, 60)]);
    bench.run(&mut store);
    let incarnation = router(3);
    bench.tell(KeeperEvent::ProvenDead { incarnation });
    bench.pass(50);
    let late = LedgerOperation::NoteTransfer {
        transfer: OperationId::from_number(3),
        budget: budget(),
        giver: router(0),
        receiver: router(3),
        amount: TokenCount(10),
    };
    bench.send(2, 0, vec![late]);
    bench.run(&mut store);
    bench.pass(50);
    bench.run(&mut store);
    let state = bench.keeper.ledger().holder_state(&router(3));
    assert_eq!(state, Some(HolderState::Closing));
}

#[test]
fn segment_that_the_store_finds_too_large_does_not_block_the_shard() {
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, KeeperSettings::default(), &mut store);
    bench.send(1, 0, vec![top_up(1, 100)]);
    bench.fail_swap(StoreError::ValueTooLarge { bytes: 2 << 20 });
    assert_eq!(bench.take_replies(), [undecided(1)]);
    bench.pass(500);
    bench.run(&mut store);
    bench.send(2, 0, vec![top_up(2, 100)]);
    bench.run(&mut store);
    let topped_up = vec![OperationResult::ToppedUp];
    assert_eq!(bench.take_replies(), [results(2, topped_up)]);
    // The bytes that were refused were not sent again.
    let balance = bench.keeper.ledger().balance(&budget()).unwrap();
    assert_eq!(balance.purchased, 100);
}

#[test]
fn short_budget_is_recalled_from_the_largest_holders() {
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, KeeperSettings::default(), &mut store);
    bench.send(1, 0, vec![top_up(1, 100), grant(2, 30)]);
    bench.send(2, 1, vec![grant(3, 70)]);
    bench.run(&mut store);
    bench.pass(50);
    bench.run(&mut store);
    bench.send(3, 2, vec![grant(4, 80)]);
    bench.send(4, 2, vec![grant(5, 80)]);
    let ask = |number, amount| KeeperEffect::AskReturn {
        holder: router(number),
        budget: budget(),
        amount: TokenCount(amount),
    };
    assert_eq!(bench.asked, [], "segments are spaced");
    bench.pass(50);
    assert_eq!(bench.asked, [ask(1, 70), ask(0, 10)], "asked once for both");
}

#[test]
fn segments_are_spaced_however_many_batches_come() {
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, KeeperSettings::default(), &mut store);
    bench.pass(1_000);
    let before = bench.keeper.committed().0;
    for number in 0..500 {
        bench.send(number, 0, vec![top_up(u128::from(number), 1)]);
        bench.run(&mut store);
        bench.pass(1);
        bench.run(&mut store);
    }
    // One at the start and one after each interval of 50 ms.
    assert_eq!(bench.keeper.committed().0 - before, 1 + 500 / 50);
}

#[test]
fn snapshot_is_taken_while_segments_follow_without_a_gap() {
    let settings = KeeperSettings {
        commit_interval: Duration::ZERO,
        snapshot_every: 3,
        ..KeeperSettings::default()
    };
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, settings, &mut store);
    let mut is_begun = false;
    for number in 0..20 {
        bench.send(number, 0, vec![top_up(u128::from(number), 1)]);
        let writes_part = |request: &StoreCall| match request {
            StoreCall::Swap { key, .. } => key.contains("/snapshot/"),
            _ => false,
        };
        is_begun |= bench.calls.iter().any(|(_, call)| writes_part(call));
        if bench.calls.len() > 1 || number > 0 {
            let (call, request) = bench.calls.remove(0);
            let answer = store.apply(&request, bench.now);
            bench.answer(call, answer);
        }
    }
    assert!(is_begun);
}

#[test]
fn leaving_keeper_decides_until_the_next_one_has_taken_over() {
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, KeeperSettings::default(), &mut store);
    bench.tell(KeeperEvent::Leave);
    bench.choose(1);
    bench.send(1, 0, vec![top_up(1, 100)]);
    bench.run(&mut store);
    let topped_up = vec![OperationResult::ToppedUp];
    assert_eq!(bench.take_replies(), [results(1, topped_up)]);
    let next = Bench::serving(1, KeeperSettings::default(), &mut store);
    bench.pass(50);
    bench.send(2, 0, vec![top_up(2, 100)]);
    bench.run(&mut store);
    assert_eq!(bench.take_replies(), [undecided(2)]);
    assert!(bench.keeper.is_idle());
    bench.send(3, 0, vec![top_up(2, 100)]);
    let keeper = Some(keeper_name(1));
    let answer = LedgerAnswer::NotKeeper { keeper };
    assert_eq!(bench.take_replies(), [(3, answer)]);
    assert!(next.keeper.is_serving());
}

#[test]
fn leaving_keeper_lets_an_idle_shard_go_after_the_handover() {
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, KeeperSettings::default(), &mut store);
    bench.tell(KeeperEvent::Leave);
    bench.choose(1);
    bench.pass(1_000);
    assert!(bench.keeper.is_serving());
    bench.pass(1_000);
    assert!(bench.keeper.is_idle());
}

#[test]
fn stop_waits_for_the_commit_in_flight() {
    let mut store = StoreCore::new();
    let mut bench = Bench::serving(0, KeeperSettings::default(), &mut store);
    bench.send(1, 0, vec![top_up(1, 100)]);
    bench.tell(KeeperEvent::Stop);
    assert!(!bench.keeper.is_idle());
    bench.run(&mut store);
    let topped_up = vec![OperationResult::ToppedUp];
    assert_eq!(bench.take_replies(), [results(1, topped_up)]);
    assert!(bench.keeper.is_idle());
}
