//! Upper bounds on the tokens that all VMs together have left of a scarce budget.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use snipegate_gateway::BudgetHolding;
use snipegate_gateway::BudgetTotals;
use snipegate_gateway::BudgetView;
use snipegate_gateway::TokenTally;
use snipegate_platform::StoreRevision;
use snipegate_types::TokenCount;

const WORKSPACE: u64 = 7;
const VMS: usize = 4;

/// Interval between two messages of a VM.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum delay of a message.
const MAX_DELAY_MS: u64 = 300;

fn vm(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number as u16 + 1))
}

/// Returns the tally's result for the first `count` VMs.
fn max_remaining(tally: &TokenTally, count: usize, now: Instant) -> Option<u64> {
    let left = tally.max_remaining(WORKSPACE, (0..count).map(vm), now)?;
    Some(left.0)
}

/// Records reports of two VMs with the given remaining tokens, every 100 ms over
/// `span`.
fn report(tally: &mut TokenTally, start: Instant, span: [u64; 2], left: [u64; 2]) {
    for at in (span[0]..=span[1]).step_by(100) {
        let now = start + Duration::from_millis(at);
        for (number, &left) in left.iter().enumerate() {
            tally.record(WORKSPACE, vm(number), TokenCount(left), now);
        }
    }
}

#[test]
fn reports_over_a_full_window_are_summed() {
    let start = Instant::now();
    let mut tally = TokenTally::default();
    report(&mut tally, start, [0, 1100], [30, 12]);
    let now = start + Duration::from_millis(1150);
    assert_eq!(max_remaining(&tally, 2, now), Some(42));
}

#[test]
fn no_sum_before_all_vms_reported_for_a_full_window() {
    let start = Instant::now();
    let mut tally = TokenTally::default();
    report(&mut tally, start, [0, 900], [30, 12]);
    let early = start + Duration::from_millis(950);
    assert_eq!(max_remaining(&tally, 2, early), None);
    report(&mut tally, start, [1000, 1100], [30, 12]);
    let later = start + Duration::from_millis(1150);
    assert_eq!(max_remaining(&tally, 3, later), None);
}

#[test]
fn no_sum_after_a_vm_stopped_reporting() {
    let start = Instant::now();
    let mut tally = TokenTally::default();
    report(&mut tally, start, [0, 1100], [30, 12]);
    let now = start + Duration::from_millis(2200);
    assert_eq!(max_remaining(&tally, 2, now), None);
    tally.remove_expired(now);
    report(&mut tally, start, [2300, 2300], [30, 12]);
    let now = start + Duration::from_millis(2350);
    assert_eq!(max_remaining(&tally, 2, now), None);
}

#[test]
fn transferred_tokens_count_until_receiver_reports_them() {
    let start = Instant::now();
    let mut tally = TokenTally::default();
    report(&mut tally, start, [0, 1100], [30, 12]);
    report(&mut tally, start, [1200, 1200], [0, 12]);
    let now = start + Duration::from_millis(1250);
    assert_eq!(max_remaining(&tally, 2, now), Some(42));
    report(&mut tally, start, [1300, 3300], [0, 42]);
    let now = start + Duration::from_millis(3350);
    assert_eq!(max_remaining(&tally, 2, now), Some(42));
}

/// A message in transit.
struct DelayedMessage {
    due: Instant,
    vm: usize,
    left: u64,
}

/// Moves tokens between VMs whose messages are delayed and sometimes lost.
fn simulate_moves(u: &mut Unstructured<'_>) -> Result<()> {
    let start = Instant::now();
    let mut tally = TokenTally::default();
    let mut held = [0; VMS];
    for held in &mut held {
        *held = u.int_in_range(0..=100)?;
    }
    let total: u64 = held.iter().sum();
    let mut in_flight: Vec<DelayedMessage> = Vec::new();
    for step in 0..60 {
        let now = start + MESSAGE_INTERVAL * step;
        let (sender, receiver) = (u.choose_index(VMS)?, u.choose_index(VMS)?);
        let moved = u.int_in_range(0..=held[sender])?;
        held[sender] -= moved;
        held[receiver] += moved;
        for (vm, &left) in held.iter().enumerate() {
            if u.ratio(1, 5)? {
                continue;
            }
            let delay = Duration::from_millis(u.int_in_range(0..=MAX_DELAY_MS)?);
            in_flight.push(DelayedMessage {
                due: now + delay,
                vm,
                left,
            });
        }
        let (due, left): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|m| m.due <= now);
        in_flight = left;
        for message in due {
            let left = TokenCount(message.left);
            tally.record(WORKSPACE, vm(message.vm), left, now);
        }
        if let Some(bound) = max_remaining(&tally, VMS, now) {
            assert!(bound >= total, "bound {bound}, total {total}");
        }
    }
    Ok(())
}

#[test]
fn sum_is_never_below_remaining_tokens() {
    arbtest(simulate_moves);
}

#[test]
fn estimate_includes_likely_unused_reservations() {
    let now = Instant::now();
    let mut holding = BudgetHolding::new(WORKSPACE, 1, 1, TokenCount(1000), now);
    let view = BudgetView {
        totals: BudgetTotals {
            workspace: WORKSPACE,
            revision: StoreRevision::new(1),
            taken: TokenCount(1000),
            used: TokenCount::ZERO,
            limit: TokenCount(1000),
        },
        own_granted: TokenCount(1000),
        ..BudgetView::default()
    };
    holding.set_view(view, now);
    for cost in [90, 90] {
        assert_eq!(holding.reserve(TokenCount(100), now), Ok(()));
        holding.settle(TokenCount(100), TokenCount(cost));
    }
    assert_eq!(holding.estimated_remaining(), TokenCount(820));
    assert_eq!(holding.reserve(TokenCount(800), now), Ok(()));
    assert_eq!(holding.free(now), TokenCount(20));
    assert_eq!(holding.estimated_remaining(), TokenCount(20 + 160));
}
