//! One escrow, event by event.

use std::time::Duration;
use std::time::Instant;

use snipegate_escrow::BatchId;
use snipegate_escrow::BatchOutcome;
use snipegate_escrow::BudgetClaim;
use snipegate_escrow::EscrowEffect;
use snipegate_escrow::EscrowEvent;
use snipegate_escrow::EscrowSettings;
use snipegate_escrow::ReservationId;
use snipegate_escrow::ReserveOutcome;
use snipegate_escrow::RouterEscrow;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationRefusal;
use snipegate_ledger::OperationResult;
use snipegate_types::IncarnationId;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

fn incarnation(vm: &str) -> IncarnationId {
    format!("{vm}/router/1").parse().unwrap()
}

fn new_escrow(now: Instant) -> RouterEscrow {
    let place = "mvd-centro".parse().unwrap();
    RouterEscrow::new(incarnation("vm-1"), place, EscrowSettings::default(), now)
}

fn claim(number: u128, tokens: u64) -> BudgetClaim {
    BudgetClaim {
        request: RequestId::from_number(number),
        budget: "booking".parse().unwrap(),
        shard: ShardId(0),
        worst_case: TokenCount(tokens),
    }
}

fn sent_batch(effects: &[EscrowEffect]) -> (BatchId, LedgerBatch) {
    let batch = effects.iter().find_map(|effect| match effect {
        EscrowEffect::SendBatch { id, batch } => Some((*id, batch.clone())),
        _ => None,
    });
    batch.expect("a batch is sent")
}

fn answer(escrow: &mut RouterEscrow, id: BatchId, results: Vec<OperationResult>, now: Instant) {
    let event = EscrowEvent::BatchEnded {
        shard: ShardId(0),
        id,
        outcome: BatchOutcome::Answered(LedgerAnswer::Results(results)),
    };
    escrow.handle(event, now);
}

fn waiting(outcome: ReserveOutcome) -> ReservationId {
    match outcome {
        ReserveOutcome::Waiting(reservation) => reservation,
        other => panic!("expected to wait, got {other:?}"),
    }
}

/// Makes an escrow that holds `amount` free.
fn granted_escrow(amount: u64, now: Instant) -> RouterEscrow {
    let mut escrow = new_escrow(now);
    let reservation = waiting(escrow.reserve(claim(0, 1), now));
    let (id, _) = sent_batch(&escrow.take_effects(now));
    let granted = OperationResult::Granted {
        amount: TokenCount(amount),
        unassigned: TokenCount(1_000_000),
    };
    answer(&mut escrow, id, vec![granted], now);
    let effects = escrow.take_effects(now);
    assert!(effects.contains(&EscrowEffect::Admitted { reservation }));
    escrow.cancel(reservation, now);
    escrow
}

#[test]
fn a_granted_request_is_admitted_billed_and_reported_safe() {
    let now = Instant::now();
    let mut escrow = granted_escrow(1000, now);
    let ReserveOutcome::Admitted(reservation) = escrow.reserve(claim(7, 300), now) else {
        panic!("the holding covers the claim");
    };
    escrow.settle(reservation, TokenCount(120), now);
    let view = escrow.view(&"booking".parse().unwrap());
    assert_eq!(view.free, TokenCount(880));
    assert_eq!(view.billed, TokenCount(120));
    let (id, batch) = sent_batch(&escrow.take_effects(now));
    assert!(matches!(
        batch.operations[0],
        LedgerOperation::Bill {
            amount: TokenCount(120),
            ..
        }
    ));
    let billed = OperationResult::Billed {
        amount: TokenCount(120),
        first: true,
    };
    answer(&mut escrow, id, vec![billed], now);
    assert!(escrow.take_effects(now).contains(&EscrowEffect::BillSafe {
        reservation,
        request: RequestId::from_number(7),
        amount: TokenCount(120),
    }));
    assert_eq!(escrow.pending_count(), 0);
}

#[test]
fn a_bill_is_never_more_than_was_reserved() {
    let now = Instant::now();
    let mut escrow = granted_escrow(1000, now);
    let ReserveOutcome::Admitted(reservation) = escrow.reserve(claim(7, 300), now) else {
        panic!("the holding covers the claim");
    };
    escrow.settle(reservation, TokenCount(5000), now);
    let view = escrow.view(&"booking".parse().unwrap());
    assert_eq!((view.free.0, view.billed.0), (700, 300));
}

#[test]
fn an_exhausted_budget_is_refused_at_once() {
    let now = Instant::now();
    let mut escrow = new_escrow(now);
    let reservation = waiting(escrow.reserve(claim(1, 500), now));
    let (id, _) = sent_batch(&escrow.take_effects(now));
    let short = OperationResult::Refused(OperationRefusal::BudgetShort {
        held_elsewhere: TokenCount::ZERO,
    });
    answer(&mut escrow, id, vec![short], now);
    let refused = escrow.take_effects(now).into_iter().any(|effect| {
        matches!(effect, EscrowEffect::Refused { reservation: other, code, .. }
            if other == reservation && code == ResultCode::BudgetExhausted)
    });
    assert!(refused);
}

#[test]
fn a_waiting_request_is_refused_at_its_limit_when_nothing_answers() {
    let now = Instant::now();
    let mut escrow = new_escrow(now);
    let reservation = waiting(escrow.reserve(claim(1, 500), now));
    escrow.handle(EscrowEvent::Tick, now + Duration::from_millis(499));
    assert!(
        !escrow
            .take_effects(now)
            .iter()
            .any(|effect| matches!(effect, EscrowEffect::Refused { .. }))
    );
    let limit = now + Duration::from_millis(500);
    escrow.handle(EscrowEvent::Tick, limit);
    assert!(escrow.take_effects(limit).iter().any(|effect| {
        matches!(effect, EscrowEffect::Refused { reservation: other, code, .. }
            if *other == reservation && *code == ResultCode::BudgetUnreachable)
    }));
    let outcome = escrow.reserve(claim(2, 500), limit);
    assert!(matches!(outcome, ReserveOutcome::Refused(_)));
}

#[test]
fn a_lost_batch_is_sent_again_with_the_same_operations() {
    let now = Instant::now();
    let mut escrow = new_escrow(now);
    waiting(escrow.reserve(claim(1, 500), now));
    let (id, first) = sent_batch(&escrow.take_effects(now));
    let lost = EscrowEvent::BatchEnded {
        shard: ShardId(0),
        id,
        outcome: BatchOutcome::Lost,
    };
    escrow.handle(lost, now);
    let later = now + Duration::from_millis(200);
    escrow.handle(EscrowEvent::Tick, later);
    let (_, second) = sent_batch(&escrow.take_effects(later));
    assert_eq!(first.operations[0], second.operations[0]);
}
