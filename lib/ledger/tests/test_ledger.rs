//! Tests of operations on a shard's ledger and of its replay.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use snipegate_ledger::CallOutcome;
use snipegate_ledger::HolderState;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationRefusal;
use snipegate_ledger::OperationResult;
use snipegate_ledger::Segment;
use snipegate_ledger::SegmentSequence;
use snipegate_ledger::ShardLedger;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

const SEEDS: u64 = 2_000;
const INPUT_BYTES: u64 = 4_096;

fn router(number: u8) -> IncarnationId {
    format!("vm{number}/router/1").parse().unwrap()
}

fn budget(number: u8) -> BudgetId {
    format!("budget-{number}").parse().unwrap()
}

fn operation(number: u8) -> OperationId {
    OperationId::from_number(u128::from(number))
}

fn request(number: u8) -> RequestId {
    RequestId::from_number(u128::from(number))
}

fn top_up(number: u8, amount: u64) -> LedgerOperation {
    LedgerOperation::TopUp {
        operation: operation(number),
        budget: budget(0),
        amount: TokenCount(amount),
    }
}

fn grant(number: u8, wanted: u64) -> LedgerOperation {
    LedgerOperation::Grant {
        operation: operation(number),
        budget: budget(0),
        wanted: TokenCount(wanted),
        least: TokenCount(wanted),
    }
}

fn bill(number: u8, amount: u64, holder: u8) -> LedgerOperation {
    LedgerOperation::Bill {
        request: request(number),
        budget: budget(0),
        amount: TokenCount(amount),
        holder: router(holder),
        position: None,
    }
}

fn note_transfer(number: u8, giver: u8, receiver: u8, amount: u64) -> LedgerOperation {
    LedgerOperation::NoteTransfer {
        transfer: operation(number),
        budget: budget(0),
        giver: router(giver),
        receiver: router(receiver),
        amount: TokenCount(amount),
    }
}

fn intend(number: u8) -> LedgerOperation {
    intend_again(number, 1)
}

fn intend_again(number: u8, attempt: u128) -> LedgerOperation {
    LedgerOperation::Intend {
        request: request(number),
        attempt: OperationId::from_number(attempt),
        upstream: "booking-1".parse().unwrap(),
        digest: [7; 16],
    }
}

fn conclude(number: u8, outcome: CallOutcome) -> LedgerOperation {
    LedgerOperation::Conclude {
        request: request(number),
        attempt: OperationId::from_number(1),
        outcome,
    }
}

/// A ledger that records its log.
#[derive(Default)]
struct LoggedLedger {
    ledger: ShardLedger,
    log: Vec<Vec<u8>>,
}

impl LoggedLedger {
    /// Applies operations as one segment and forgets the IDs before `forget_before`.
    fn commit(
        &mut self,
        operations: &[(u8, LedgerOperation)],
        forget_before: u64,
    ) -> Vec<OperationResult> {
        let sequence = SegmentSequence(self.log.len() as u64 + 1);
        let mut records = Vec::new();
        self.ledger.begin_segment(sequence);
        let results = operations
            .iter()
            .map(|(sender, operation)| self.ledger.apply(&router(*sender), operation, &mut records))
            .collect();
        self.finish(records, forget_before);
        results
    }

    fn reclaim(&mut self, holder: u8) {
        let sequence = SegmentSequence(self.log.len() as u64 + 1);
        let mut records = Vec::new();
        self.ledger.begin_segment(sequence);
        self.ledger.reclaim_holder(&router(holder), &mut records);
        self.finish(records, 0);
    }

    fn finish(&mut self, records: Vec<snipegate_ledger::SegmentRecord>, forget_before: u64) {
        self.ledger.forget_ids(SegmentSequence(forget_before));
        let segment = Segment {
            writer: router(200),
            nonce: 1,
            fence: false,
            forget_before: self.ledger.forget_before(),
            records,
        };
        self.log.push(segment.encode().unwrap());
        assert!(self.ledger.is_conserved());
    }

    fn apply(&mut self, sender: u8, operation: LedgerOperation) -> OperationResult {
        self.commit(&[(sender, operation)], 0).remove(0)
    }

    fn replayed(&self) -> ShardLedger {
        let mut ledger = ShardLedger::new();
        for (index, bytes) in self.log.iter().enumerate() {
            let sequence = SegmentSequence(index as u64 + 1);
            let segment = Segment::decode(bytes).unwrap();
            ledger.replay(sequence, &segment).unwrap();
        }
        ledger
    }
}

fn arbitrary_operation(u: &mut Unstructured<'_>) -> Result<LedgerOperation> {
    let number = u.int_in_range(0..=20)?;
    let amount = u.int_in_range(0..=120)?;
    Ok(match u.int_in_range(0..=9)? {
        0 => top_up(number, amount),
        1 | 2 => LedgerOperation::Grant {
            operation: operation(number),
            budget: budget(u.int_in_range(0..=1)?),
            wanted: TokenCount(amount),
            least: TokenCount(u.int_in_range(0..=amount)?),
        },
        3 => LedgerOperation::Return {
            operation: operation(number),
            budget: budget(0),
            amount: TokenCount(amount),
        },
        4 => note_transfer(
            number,
            u.int_in_range(0..=3)?,
            u.int_in_range(0..=3)?,
            amount,
        ),
        5 | 6 => bill(number, amount, u.int_in_range(0..=3)?),
        7 => intend(number),
        8 => {
            let outcome = match u.int_in_range(0..=2)? {
                0 => CallOutcome::NotRun,
                1 => CallOutcome::Unknown,
                _ => CallOutcome::Answered {
                    status: 200,
                    body: vec![number],
                },
            };
            conclude(number, outcome)
        }
        _ => LedgerOperation::DeclareDead {
            holder: router(u.int_in_range(0..=3)?),
        },
    })
}

#[test]
fn replayed_ledger_is_equal_and_conserves_balances() {
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut logged = LoggedLedger::default();
            logged.apply(9, top_up(100, 300));
            for _ in 0..u.int_in_range(1..=30)? {
                if u.ratio(1, 12)? {
                    logged.reclaim(u.int_in_range(0..=3)?);
                    continue;
                }
                let mut operations = Vec::new();
                for _ in 0..u.int_in_range(1..=4)? {
                    operations.push((u.int_in_range(0..=3)?, arbitrary_operation(u)?));
                }
                let forget_before = u.int_in_range(0..=logged.log.len() as u64)?;
                logged.commit(&operations, if u.ratio(1, 5)? { forget_before } else { 0 });
            }
            assert_eq!(logged.replayed(), logged.ledger);
            Ok(())
        })
        .seed(INPUT_BYTES | seed << 32);
    }
}

#[test]
fn repeated_operation_has_the_same_result_and_no_effect() {
    for seed in 0..SEEDS {
        arbtest(|u| {
            let mut logged = LoggedLedger::default();
            logged.apply(9, top_up(100, 300));
            for _ in 0..u.int_in_range(1..=30)? {
                let sender = u.int_in_range(0..=3)?;
                let operation = arbitrary_operation(u)?;
                let first = logged.apply(sender, operation.clone());
                let before = logged.ledger.clone();
                if matches!(first, OperationResult::Refused(_)) {
                    continue;
                }
                let again = logged.apply(sender, operation.clone());
                // `unassigned` is the current amount and may differ on repetition.
                let is_same = match (&first, &again) {
                    (
                        OperationResult::Granted { amount, .. },
                        OperationResult::Granted { amount: second, .. },
                    ) => amount == second,
                    _ => first == again,
                };
                assert!(is_same, "{operation:?}: {first:?}, then {again:?}");
                let same_balances = before.balances().eq(logged.ledger.balances());
                assert!(same_balances, "{operation:?} took effect twice");
            }
            Ok(())
        })
        .seed(INPUT_BYTES | seed << 32);
    }
}

#[test]
fn grant_is_limited_to_unassigned_tokens() {
    let mut logged = LoggedLedger::default();
    logged.apply(9, top_up(1, 100));
    let result = logged.apply(
        0,
        LedgerOperation::Grant {
            operation: operation(2),
            budget: budget(0),
            wanted: TokenCount(150),
            least: TokenCount(60),
        },
    );
    let granted = OperationResult::Granted {
        amount: TokenCount(100),
        unassigned: TokenCount(0),
    };
    assert_eq!(result, granted);
    let short = OperationRefusal::BudgetShort {
        held_elsewhere: TokenCount(100),
    };
    assert_eq!(
        logged.apply(1, grant(3, 1)),
        OperationResult::Refused(short)
    );
}

#[test]
fn only_first_bill_of_a_request_is_charged() {
    let mut logged = LoggedLedger::default();
    logged.apply(9, top_up(1, 100));
    logged.apply(0, grant(2, 50));
    logged.apply(1, grant(3, 50));
    let billed = |first| OperationResult::Billed {
        amount: TokenCount(30),
        first,
    };
    assert_eq!(logged.apply(1, bill(1, 30, 0)), billed(true));
    assert_eq!(logged.apply(0, bill(1, 30, 0)), billed(true));
    assert_eq!(logged.apply(1, bill(1, 25, 1)), billed(false));
    assert_eq!(logged.ledger.balance(&budget(0)).unwrap().billed, 30);
    assert_eq!(logged.ledger.holding(&budget(0), &router(1)), 50);
}

#[test]
fn transfer_may_be_recorded_before_the_transfer_it_depends_on() {
    let mut logged = LoggedLedger::default();
    logged.apply(9, top_up(1, 100));
    logged.apply(0, grant(2, 100));
    assert_eq!(
        logged.apply(2, note_transfer(11, 1, 2, 40)),
        OperationResult::Noted
    );
    assert_eq!(logged.ledger.holding(&budget(0), &router(1)), -40);
    assert_eq!(
        logged.apply(1, note_transfer(10, 0, 1, 40)),
        OperationResult::Noted
    );
    assert_eq!(logged.ledger.holding(&budget(0), &router(1)), 0);
    assert_eq!(logged.ledger.holding(&budget(0), &router(2)), 40);
}

#[test]
fn dead_holder_is_closing_until_it_is_reclaimed() {
    let mut logged = LoggedLedger::default();
    logged.apply(9, top_up(1, 100));
    logged.apply(0, grant(2, 100));
    logged.apply(0, intend(50));
    let declare = LedgerOperation::DeclareDead { holder: router(0) };
    assert_eq!(logged.apply(1, declare), OperationResult::Declared);
    let closed = OperationResult::Refused(OperationRefusal::HolderClosed);
    // It receives nothing more, but others can still post what they received from it.
    assert_eq!(logged.apply(0, grant(3, 1)), closed);
    assert_eq!(logged.apply(0, intend(51)), closed);
    assert_eq!(
        logged.apply(1, note_transfer(4, 0, 1, 10)),
        OperationResult::Noted
    );
    assert!(matches!(
        logged.apply(1, bill(1, 20, 0)),
        OperationResult::Billed { first: true, .. }
    ));
    logged.reclaim(0);
    assert_eq!(
        logged.ledger.holder_state(&router(0)),
        Some(HolderState::Closed)
    );
    let balance = logged.ledger.balance(&budget(0)).unwrap();
    assert_eq!((balance.unassigned, balance.billed), (70, 20));
    assert_eq!(logged.apply(1, note_transfer(5, 0, 1, 10)), closed);
    assert_eq!(logged.apply(1, bill(2, 10, 0)), closed);
    assert!(matches!(
        logged.apply(1, intend(50)),
        OperationResult::AlreadyIntended {
            outcome: Some(CallOutcome::Unknown),
            ..
        }
    ));
}

#[test]
fn call_is_claimed_again_only_if_it_was_not_run() {
    let mut logged = LoggedLedger::default();
    assert_eq!(logged.apply(0, intend(1)), OperationResult::Intended);
    assert!(matches!(
        logged.apply(1, intend(1)),
        OperationResult::AlreadyIntended { outcome: None, .. }
    ));
    let unknown = OperationResult::Refused(OperationRefusal::IntentUnknown);
    assert_eq!(logged.apply(1, conclude(1, CallOutcome::NotRun)), unknown);
    let result = logged.apply(0, conclude(1, CallOutcome::NotRun));
    assert_eq!(result, OperationResult::Concluded);
    assert_eq!(logged.apply(1, intend(1)), OperationResult::Intended);
}

#[test]
fn delayed_outcome_of_an_earlier_claim_does_not_conclude_a_later_one() {
    let mut logged = LoggedLedger::default();
    let void = conclude(1, CallOutcome::NotRun);
    logged.apply(0, intend(1));
    assert_eq!(logged.apply(0, void.clone()), OperationResult::Concluded);
    assert_eq!(
        logged.apply(0, intend_again(1, 2)),
        OperationResult::Intended
    );
    let unknown = OperationResult::Refused(OperationRefusal::IntentUnknown);
    assert_eq!(logged.apply(0, void), unknown);
    for other in [intend(1), intend_again(1, 3)] {
        assert!(matches!(
            logged.apply(0, other),
            OperationResult::AlreadyIntended { outcome: None, .. }
        ));
    }
    assert_eq!(
        logged.apply(0, intend_again(1, 2)),
        OperationResult::Intended
    );
}

fn positioned(number: u8, amount: u64, holder: u8, position: u64) -> LedgerOperation {
    LedgerOperation::Bill {
        request: request(number),
        budget: budget(0),
        amount: TokenCount(amount),
        holder: router(holder),
        position: Some(position),
    }
}

fn ordered(sender: u8, first: u64, operations: Vec<LedgerOperation>) -> LedgerBatch {
    LedgerBatch {
        shard: ShardId(0),
        sender: router(sender),
        first: Some(first),
        operations,
    }
}

/// Returns a ledger in which router 0 holds 100 tokens and all others none.
fn granted_ledger() -> ShardLedger {
    let mut ledger = ShardLedger::new();
    ledger.begin_segment(SegmentSequence(1));
    let batch = ordered(0, 0, vec![top_up(1, 100), grant(2, 100)]);
    ledger.apply_batch(&batch, &mut Vec::new());
    ledger
}

fn forget_all_ids(ledger: &mut ShardLedger) {
    ledger.begin_segment(SegmentSequence(9));
    ledger.forget_ids(SegmentSequence(9));
}

#[test]
fn bill_with_a_forgotten_id_is_charged_once_by_its_position() {
    let forgotten = OperationResult::Refused(OperationRefusal::ResultForgotten);
    let billed = OperationResult::Billed {
        amount: TokenCount(30),
        first: true,
    };
    let bill = positioned(7, 30, 0, 2);
    // The holder posts the bill first, and a copy arrives late.
    let mut ledger = granted_ledger();
    let own = ordered(0, 2, vec![bill.clone()]);
    assert_eq!(
        ledger.apply_batch(&own, &mut Vec::new()),
        vec![billed.clone()]
    );
    forget_all_ids(&mut ledger);
    let copy = ordered(1, 0, vec![bill]);
    assert_eq!(
        ledger.apply_batch(&copy, &mut Vec::new()),
        vec![forgotten.clone()]
    );
    assert_eq!(
        ledger.apply_batch(&own, &mut Vec::new()),
        vec![forgotten.clone()]
    );
    // A copy is posted first, and the holder's own bill arrives late.
    let mut ledger = granted_ledger();
    assert_eq!(
        ledger.apply_batch(&copy, &mut Vec::new()),
        vec![billed.clone()]
    );
    forget_all_ids(&mut ledger);
    let other = ordered(2, 0, copy.operations.clone());
    assert_eq!(
        ledger.apply_batch(&other, &mut Vec::new()),
        vec![billed.clone()]
    );
    assert_eq!(ledger.apply_batch(&own, &mut Vec::new()), [billed]);
    assert_eq!(ledger.balance(&budget(0)).unwrap().billed, 30);
}

#[test]
fn top_up_repeated_after_the_retry_window_has_no_effect() {
    let mut ledger = granted_ledger();
    forget_all_ids(&mut ledger);
    let again = ledger.apply(&router(3), &top_up(1, 100), &mut Vec::new());
    assert_eq!(again, OperationResult::ToppedUp);
    assert_eq!(ledger.balance(&budget(0)).unwrap().purchased, 100);
}

#[test]
fn call_that_ran_is_not_claimed_again_after_the_retry_window() {
    let mut ledger = granted_ledger();
    let answered = CallOutcome::Answered {
        status: 200,
        body: b"confirmed".to_vec(),
    };
    let outcomes = [
        (1, answered),
        (2, CallOutcome::Unknown),
        (3, CallOutcome::NotRun),
    ];
    for (number, outcome) in outcomes {
        let call = vec![intend(number), conclude(number, outcome)];
        ledger.apply_batch(&ordered(0, 0, call), &mut Vec::new());
    }
    forget_all_ids(&mut ledger);
    for number in [1, 2] {
        let again = ledger.apply(&router(1), &intend_again(number, 9), &mut Vec::new());
        assert!(matches!(
            again,
            OperationResult::AlreadyIntended {
                outcome: Some(_),
                ..
            }
        ));
    }
    let void = ledger.apply(&router(1), &intend_again(3, 9), &mut Vec::new());
    assert_eq!(void, OperationResult::Intended);
}
