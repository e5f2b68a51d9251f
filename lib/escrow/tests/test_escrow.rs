//! One escrow, event by event.

use std::time::Duration;
use std::time::Instant;

use snipegate_escrow::BatchId;
use snipegate_escrow::BatchOutcome;
use snipegate_escrow::BudgetClaim;
use snipegate_escrow::EscrowEffect;
use snipegate_escrow::EscrowEvent;
use snipegate_escrow::EscrowMessage;
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
use snipegate_types::OperationId;
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

/// Answers a batch: its bill with `billed`, and grants with nothing to give.
fn answer_bill(
    escrow: &mut RouterEscrow,
    (id, batch): (BatchId, LedgerBatch),
    billed: OperationResult,
    now: Instant,
) {
    let short = OperationRefusal::BudgetShort {
        held_elsewhere: TokenCount::ZERO,
    };
    let results = batch
        .operations
        .iter()
        .map(|operation| match operation {
            LedgerOperation::Bill { .. } => billed.clone(),
            LedgerOperation::Grant { .. } => OperationResult::Refused(short),
            other => panic!("unexpected {other:?}"),
        })
        .collect();
    answer(escrow, id, results, now);
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
    let batch = sent_batch(&escrow.take_effects(now));
    assert!(matches!(
        batch.1.operations[0],
        LedgerOperation::Bill {
            amount: TokenCount(120),
            ..
        }
    ));
    let billed = OperationResult::Billed {
        amount: TokenCount(120),
        first: true,
    };
    answer_bill(&mut escrow, batch, billed, now);
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

fn messages(effects: &[EscrowEffect]) -> Vec<(IncarnationId, EscrowMessage)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            EscrowEffect::SendPeer { to, message } => Some((to.clone(), message.clone())),
            _ => None,
        })
        .collect()
}

fn hear(escrow: &mut RouterEscrow, from: &str, message: EscrowMessage, now: Instant) {
    let from = incarnation(from);
    escrow.handle(EscrowEvent::PeerSaid { from, message }, now);
}

fn gift(sequence: u64, amount: u64) -> EscrowMessage {
    EscrowMessage::GiveTransfer {
        sequence,
        transfer: OperationId::from_number(u128::from(sequence)),
        budget: "booking".parse().unwrap(),
        shard: ShardId(0),
        amount: TokenCount(amount),
        left: TokenCount(9),
    }
}

fn free(escrow: &RouterEscrow) -> u64 {
    escrow.view(&"booking".parse().unwrap()).free.0
}

#[test]
fn a_transfer_is_sent_until_acknowledged_and_recorded_by_its_giver() {
    let now = Instant::now();
    let mut escrow = granted_escrow(1000, now);
    let ask = EscrowMessage::AskTransfer {
        budget: "booking".parse().unwrap(),
        shard: ShardId(0),
        wanted: TokenCount(200),
        least: TokenCount(100),
    };
    hear(&mut escrow, "vm-2", ask, now);
    assert_eq!(free(&escrow), 800);
    let effects = escrow.take_effects(now);
    let first = messages(&effects);
    assert!(matches!(
        sent_batch(&effects).1.operations[0],
        LedgerOperation::NoteTransfer { .. }
    ));
    let later = now + EscrowSettings::default().resend_after;
    escrow.handle(EscrowEvent::Tick, later);
    assert_eq!(messages(&escrow.take_effects(later)), first);
    let taken = EscrowMessage::TakeTransfer { sequence: 1 };
    hear(&mut escrow, "vm-2", taken, later);
    let last = later + EscrowSettings::default().resend_after;
    escrow.handle(EscrowEvent::Tick, last);
    assert_eq!(messages(&escrow.take_effects(last)), Vec::new());
}

#[test]
fn a_transfer_is_taken_once() {
    let now = Instant::now();
    let mut escrow = new_escrow(now);
    hear(&mut escrow, "vm-2", gift(1, 50), now);
    hear(&mut escrow, "vm-2", gift(1, 50), now);
    assert_eq!(free(&escrow), 50);
    hear(&mut escrow, "vm-2", gift(2, 50), now);
    assert_eq!(free(&escrow), 100);
}

#[test]
fn tokens_that_the_ledger_has_not_recorded_are_not_given_on() {
    let now = Instant::now();
    let mut escrow = new_escrow(now);
    hear(&mut escrow, "vm-2", gift(1, 50), now);
    let ask = EscrowMessage::AskTransfer {
        budget: "booking".parse().unwrap(),
        shard: ShardId(0),
        wanted: TokenCount(10),
        least: TokenCount(1),
    };
    hear(&mut escrow, "vm-3", ask, now);
    assert_eq!(free(&escrow), 50);
}

#[test]
fn a_fenced_incarnation_is_told_so_and_gives_nothing() {
    let now = Instant::now();
    let mut escrow = new_escrow(now);
    let dead = incarnation("vm-2");
    escrow.handle(EscrowEvent::FenceAsked { dead: dead.clone() }, now);
    let done = EscrowEffect::FenceDone { dead: dead.clone() };
    assert!(escrow.take_effects(now).contains(&done));
    hear(&mut escrow, "vm-2", gift(1, 50), now);
    assert_eq!(free(&escrow), 0);
    let sent = messages(&escrow.take_effects(now));
    assert_eq!(sent, vec![(dead, EscrowMessage::Fenced)]);
    hear(&mut escrow, "vm-3", EscrowMessage::Fenced, now);
    assert!(escrow.take_effects(now).contains(&EscrowEffect::Closed));
}

#[test]
fn a_bill_that_charged_another_router_frees_its_tokens() {
    let now = Instant::now();
    let mut escrow = granted_escrow(1000, now);
    let ReserveOutcome::Admitted(reservation) = escrow.reserve(claim(7, 300), now) else {
        panic!("the holding covers the claim");
    };
    escrow.settle(reservation, TokenCount(300), now);
    let batch = sent_batch(&escrow.take_effects(now));
    let billed = OperationResult::Billed {
        amount: TokenCount(120),
        first: false,
    };
    answer_bill(&mut escrow, batch, billed, now);
    assert_eq!(free(&escrow), 1000);
}

/// Settles a request that is never confirmed and returns whether its bill was
/// withdrawn at the limit.
fn unsafe_bill_is_withdrawn(batch_on_its_way: bool) -> bool {
    let now = Instant::now();
    let mut escrow = granted_escrow(1000, now);
    let reserve = |escrow: &mut RouterEscrow, number| match escrow.reserve(claim(number, 9), now) {
        ReserveOutcome::Admitted(reservation) => reservation,
        other => panic!("expected admission, got {other:?}"),
    };
    let (first, second) = (reserve(&mut escrow, 1), reserve(&mut escrow, 2));
    escrow.settle(first, TokenCount(9), now);
    if batch_on_its_way {
        escrow.settle(second, TokenCount(9), now);
    }
    sent_batch(&escrow.take_effects(now));
    if !batch_on_its_way {
        escrow.settle(second, TokenCount(9), now);
    }
    let limit = now + EscrowSettings::default().bill_limit;
    escrow.handle(EscrowEvent::Tick, limit);
    let effects = escrow.take_effects(limit);
    effects
        .iter()
        .find_map(|effect| match effect {
            EscrowEffect::BillUnsafe {
                reservation,
                withdrawn,
                ..
            } if *reservation == second => Some(*withdrawn),
            _ => None,
        })
        .expect("the bill is reported at its limit")
}

#[test]
fn an_unsafe_bill_is_withdrawn_only_if_it_was_never_sent() {
    assert!(unsafe_bill_is_withdrawn(false));
    assert!(!unsafe_bill_is_withdrawn(true));
}

#[test]
fn nothing_is_admitted_while_bills_cannot_be_made_safe() {
    let now = Instant::now();
    let mut escrow = granted_escrow(1000, now);
    let ReserveOutcome::Admitted(reservation) = escrow.reserve(claim(1, 9), now) else {
        panic!("the holding covers the claim");
    };
    escrow.settle(reservation, TokenCount(9), now);
    let batch = sent_batch(&escrow.take_effects(now));
    let limit = now + EscrowSettings::default().bill_limit;
    escrow.handle(EscrowEvent::Tick, limit);
    let outcome = escrow.reserve(claim(2, 9), limit);
    assert!(matches!(outcome, ReserveOutcome::Refused(_)));
    let billed = OperationResult::Billed {
        amount: TokenCount(9),
        first: true,
    };
    answer_bill(&mut escrow, batch, billed, limit);
    let outcome = escrow.reserve(claim(3, 9), limit);
    assert!(matches!(outcome, ReserveOutcome::Admitted(_)));
}
