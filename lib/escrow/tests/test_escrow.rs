//! Tests of a single escrow that is driven by explicit events.

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
    let data_centre = "mvd-centro".parse().unwrap();
    RouterEscrow::new(
        incarnation("vm-1"),
        data_centre,
        EscrowSettings::default(),
        now,
    )
}

fn claim(number: u128, tokens: u64) -> BudgetClaim {
    BudgetClaim {
        request: RequestId::from_number(number),
        budget: "booking".parse().unwrap(),
        shard: ShardId(0),
        worst_case: TokenCount(tokens),
    }
}

fn expect_batch(effects: &[EscrowEffect]) -> (BatchId, LedgerBatch) {
    let batch = effects.iter().find_map(|effect| match effect {
        EscrowEffect::SendBatch { id, batch } => Some((*id, batch.clone())),
        _ => None,
    });
    batch.expect("a batch should be sent")
}

fn answer_batch(
    escrow: &mut RouterEscrow,
    id: BatchId,
    results: Vec<OperationResult>,
    now: Instant,
) {
    let event = EscrowEvent::BatchEnded {
        shard: ShardId(0),
        id,
        outcome: BatchOutcome::Answered(LedgerAnswer::Results(results)),
    };
    escrow.handle(event, now);
}

/// Answers the bills of a batch with `billed`, and refuses its grants as exhausted.
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
    answer_batch(escrow, id, results, now);
}

fn waiting(outcome: ReserveOutcome) -> ReservationId {
    match outcome {
        ReserveOutcome::Waiting(reservation) => reservation,
        other => panic!("expected to wait, got {other:?}"),
    }
}

/// Creates an escrow with `amount` free tokens.
fn granted_escrow(amount: u64, now: Instant) -> RouterEscrow {
    let mut escrow = new_escrow(now);
    let reservation = waiting(escrow.reserve(claim(0, 1), now));
    let (id, _) = expect_batch(&escrow.take_effects(now));
    let granted = OperationResult::Granted {
        amount: TokenCount(amount),
        unassigned: TokenCount(1_000_000),
    };
    answer_batch(&mut escrow, id, vec![granted], now);
    let effects = escrow.take_effects(now);
    assert!(effects.contains(&EscrowEffect::Admitted { reservation }));
    escrow.cancel(reservation, now);
    escrow
}

#[test]
fn granted_request_is_admitted_billed_and_reported_safe() {
    let now = Instant::now();
    let mut escrow = granted_escrow(1000, now);
    let ReserveOutcome::Admitted(reservation) = escrow.reserve(claim(7, 300), now) else {
        panic!("the claim should be admitted from the holding");
    };
    escrow.settle(reservation, TokenCount(120), now);
    let view = escrow.view(&"booking".parse().unwrap());
    assert_eq!(view.free, TokenCount(880));
    assert_eq!(view.billed, TokenCount(120));
    let batch = expect_batch(&escrow.take_effects(now));
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
fn bill_is_capped_at_the_reserved_amount() {
    let now = Instant::now();
    let mut escrow = granted_escrow(1000, now);
    let ReserveOutcome::Admitted(reservation) = escrow.reserve(claim(7, 300), now) else {
        panic!("the claim should be admitted from the holding");
    };
    escrow.settle(reservation, TokenCount(5000), now);
    let view = escrow.view(&"booking".parse().unwrap());
    assert_eq!((view.free.0, view.billed.0), (700, 300));
}

#[test]
fn exhausted_budget_is_refused_immediately() {
    let now = Instant::now();
    let mut escrow = new_escrow(now);
    let reservation = waiting(escrow.reserve(claim(1, 500), now));
    let (id, _) = expect_batch(&escrow.take_effects(now));
    let short = OperationResult::Refused(OperationRefusal::BudgetShort {
        held_elsewhere: TokenCount::ZERO,
    });
    answer_batch(&mut escrow, id, vec![short], now);
    let refused = escrow.take_effects(now).into_iter().any(|effect| {
        matches!(effect, EscrowEffect::Refused { reservation: other, code, .. }
            if other == reservation && code == ResultCode::BudgetExhausted)
    });
    assert!(refused);
}

#[test]
fn waiting_request_without_answer_is_refused_at_wait_limit() {
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
fn lost_batch_is_resent_with_same_operations() {
    let now = Instant::now();
    let mut escrow = new_escrow(now);
    waiting(escrow.reserve(claim(1, 500), now));
    let (id, first) = expect_batch(&escrow.take_effects(now));
    let lost = EscrowEvent::BatchEnded {
        shard: ShardId(0),
        id,
        outcome: BatchOutcome::Lost,
    };
    escrow.handle(lost, now);
    let later = now + Duration::from_millis(200);
    escrow.handle(EscrowEvent::Tick, later);
    let (_, second) = expect_batch(&escrow.take_effects(later));
    assert_eq!(first.operations[0], second.operations[0]);
}

fn sent_messages(effects: &[EscrowEffect]) -> Vec<(IncarnationId, EscrowMessage)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            EscrowEffect::SendPeerMessage { to, message } => Some((to.clone(), message.clone())),
            _ => None,
        })
        .collect()
}

fn receive(escrow: &mut RouterEscrow, from: &str, message: EscrowMessage, now: Instant) {
    let from = incarnation(from);
    escrow.handle(EscrowEvent::PeerMessageReceived { from, message }, now);
}

fn transfer_message(sequence: u64, amount: u64) -> EscrowMessage {
    EscrowMessage::GiveTransfer {
        sequence,
        transfer: OperationId::from_number(u128::from(sequence)),
        budget: "booking".parse().unwrap(),
        shard: ShardId(0),
        amount: TokenCount(amount),
        left: TokenCount(9),
    }
}

fn free_tokens(escrow: &RouterEscrow) -> u64 {
    escrow.view(&"booking".parse().unwrap()).free.0
}

#[test]
fn transfer_is_resent_until_acknowledged_and_recorded_by_giver() {
    let now = Instant::now();
    let mut escrow = granted_escrow(1000, now);
    let ask = EscrowMessage::AskTransfer {
        budget: "booking".parse().unwrap(),
        shard: ShardId(0),
        wanted: TokenCount(200),
        least: TokenCount(100),
    };
    receive(&mut escrow, "vm-2", ask, now);
    assert_eq!(free_tokens(&escrow), 800);
    let effects = escrow.take_effects(now);
    let first = sent_messages(&effects);
    assert!(matches!(
        expect_batch(&effects).1.operations[0],
        LedgerOperation::NoteTransfer { .. }
    ));
    let later = now + EscrowSettings::default().resend_after;
    escrow.handle(EscrowEvent::Tick, later);
    assert_eq!(sent_messages(&escrow.take_effects(later)), first);
    let taken = EscrowMessage::TakeTransfer { sequence: 1 };
    receive(&mut escrow, "vm-2", taken, later);
    let last = later + EscrowSettings::default().resend_after;
    escrow.handle(EscrowEvent::Tick, last);
    assert_eq!(sent_messages(&escrow.take_effects(last)), Vec::new());
}

#[test]
fn duplicate_transfer_is_credited_once() {
    let now = Instant::now();
    let mut escrow = new_escrow(now);
    receive(&mut escrow, "vm-2", transfer_message(1, 50), now);
    receive(&mut escrow, "vm-2", transfer_message(1, 50), now);
    assert_eq!(free_tokens(&escrow), 50);
    receive(&mut escrow, "vm-2", transfer_message(2, 50), now);
    assert_eq!(free_tokens(&escrow), 100);
}

#[test]
fn unrecorded_tokens_are_not_transferred_further() {
    let now = Instant::now();
    let mut escrow = new_escrow(now);
    receive(&mut escrow, "vm-2", transfer_message(1, 50), now);
    let ask = EscrowMessage::AskTransfer {
        budget: "booking".parse().unwrap(),
        shard: ShardId(0),
        wanted: TokenCount(10),
        least: TokenCount(1),
    };
    receive(&mut escrow, "vm-3", ask, now);
    assert_eq!(free_tokens(&escrow), 50);
}

#[test]
fn fenced_incarnation_is_notified_and_its_transfers_rejected() {
    let now = Instant::now();
    let mut escrow = new_escrow(now);
    let dead = incarnation("vm-2");
    escrow.handle(EscrowEvent::FenceRequested { dead: dead.clone() }, now);
    let done = EscrowEffect::FenceCompleted { dead: dead.clone() };
    assert!(escrow.take_effects(now).contains(&done));
    receive(&mut escrow, "vm-2", transfer_message(1, 50), now);
    assert_eq!(free_tokens(&escrow), 0);
    let sent = sent_messages(&escrow.take_effects(now));
    assert_eq!(sent, vec![(dead, EscrowMessage::Fenced)]);
    receive(&mut escrow, "vm-3", EscrowMessage::Fenced, now);
    assert!(escrow.take_effects(now).contains(&EscrowEffect::Closed));
}

#[test]
fn bill_charged_to_another_router_releases_its_tokens() {
    let now = Instant::now();
    let mut escrow = granted_escrow(1000, now);
    let ReserveOutcome::Admitted(reservation) = escrow.reserve(claim(7, 300), now) else {
        panic!("the claim should be admitted from the holding");
    };
    escrow.settle(reservation, TokenCount(300), now);
    let batch = expect_batch(&escrow.take_effects(now));
    let billed = OperationResult::Billed {
        amount: TokenCount(120),
        first: false,
    };
    answer_bill(&mut escrow, batch, billed, now);
    assert_eq!(free_tokens(&escrow), 1000);
}

/// Settles a request whose bill is never confirmed, and returns whether the bill was
/// withdrawn at its time limit.
fn is_unsafe_bill_withdrawn(bill_was_sent: bool) -> bool {
    let now = Instant::now();
    let mut escrow = granted_escrow(1000, now);
    let reserve = |escrow: &mut RouterEscrow, number| match escrow.reserve(claim(number, 9), now) {
        ReserveOutcome::Admitted(reservation) => reservation,
        other => panic!("expected admission, got {other:?}"),
    };
    let (first, second) = (reserve(&mut escrow, 1), reserve(&mut escrow, 2));
    escrow.settle(first, TokenCount(9), now);
    if bill_was_sent {
        escrow.settle(second, TokenCount(9), now);
    }
    expect_batch(&escrow.take_effects(now));
    if !bill_was_sent {
        escrow.settle(second, TokenCount(9), now);
    }
    let limit = now + EscrowSettings::default().bill_timeout;
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
        .expect("an unconfirmed bill should be reported at its limit")
}

#[test]
fn unsafe_bill_is_withdrawn_only_if_never_sent() {
    assert!(is_unsafe_bill_withdrawn(false));
    assert!(!is_unsafe_bill_withdrawn(true));
}

#[test]
fn admission_is_blocked_while_bills_cannot_be_made_safe() {
    let now = Instant::now();
    let mut escrow = granted_escrow(1000, now);
    let ReserveOutcome::Admitted(reservation) = escrow.reserve(claim(1, 9), now) else {
        panic!("the claim should be admitted from the holding");
    };
    escrow.settle(reservation, TokenCount(9), now);
    let batch = expect_batch(&escrow.take_effects(now));
    let limit = now + EscrowSettings::default().bill_timeout;
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
