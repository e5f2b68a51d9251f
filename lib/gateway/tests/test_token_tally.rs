//! What VMs together can have left of a budget that is short.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use snipegate_gateway::BudgetPurse;
use snipegate_gateway::BudgetTotals;
use snipegate_gateway::BudgetView;
use snipegate_gateway::TokenTally;
use snipegate_types::TokenCount;

const WORKSPACE: u64 = 7;
const VMS: usize = 4;

/// Pause between two messages of a VM.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time until a message has arrived.
const MAX_DELAY_MS: u64 = 300;

fn vm(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number as u16 + 1))
}

/// Returns what the tally gives for the first `count` VMs.
fn most_left(tally: &TokenTally, count: usize, now: Instant) -> Option<u64> {
    let left = tally.most_left(WORKSPACE, (0..count).map(vm), now)?;
    Some(left.0)
}

/// Notes that each of two VMs says `left`, once each 100 ms from `from` to `to`.
fn tell(tally: &mut TokenTally, start: Instant, span: [u64; 2], left: [u64; 2]) {
    for at in (span[0]..=span[1]).step_by(100) {
        let now = start + Duration::from_millis(at);
        for (number, &left) in left.iter().enumerate() {
            tally.note(WORKSPACE, vm(number), TokenCount(left), now);
        }
    }
}

#[test]
fn vms_that_told_for_long_enough_are_summed() {
    let start = Instant::now();
    let mut tally = TokenTally::default();
    tell(&mut tally, start, [0, 1100], [30, 12]);
    let now = start + Duration::from_millis(1150);
    assert_eq!(most_left(&tally, 2, now), Some(42));
}

#[test]
fn nothing_is_known_before_all_vms_told_for_long_enough() {
    let start = Instant::now();
    let mut tally = TokenTally::default();
    tell(&mut tally, start, [0, 900], [30, 12]);
    let early = start + Duration::from_millis(950);
    assert_eq!(most_left(&tally, 2, early), None);
    tell(&mut tally, start, [1000, 1100], [30, 12]);
    let later = start + Duration::from_millis(1150);
    assert_eq!(most_left(&tally, 3, later), None);
}

#[test]
fn nothing_is_known_of_a_vm_that_went_silent() {
    let start = Instant::now();
    let mut tally = TokenTally::default();
    tell(&mut tally, start, [0, 1100], [30, 12]);
    let now = start + Duration::from_millis(2200);
    assert_eq!(most_left(&tally, 2, now), None);
    tally.forget_old(now);
    tell(&mut tally, start, [2300, 2300], [30, 12]);
    let now = start + Duration::from_millis(2350);
    assert_eq!(most_left(&tally, 2, now), None);
}

#[test]
fn tokens_that_a_vm_gave_away_count_until_the_taker_told_them() {
    let start = Instant::now();
    let mut tally = TokenTally::default();
    tell(&mut tally, start, [0, 1100], [30, 12]);
    tell(&mut tally, start, [1200, 1200], [0, 12]);
    let now = start + Duration::from_millis(1250);
    assert_eq!(most_left(&tally, 2, now), Some(42));
    tell(&mut tally, start, [1300, 3300], [0, 42]);
    let now = start + Duration::from_millis(3350);
    assert_eq!(most_left(&tally, 2, now), Some(42));
}

/// A message on its way.
struct LateMessage {
    due: Instant,
    vm: usize,
    left: u64,
}

/// Moves tokens between VMs whose messages come late and sometimes not at all.
fn play_moves(u: &mut Unstructured<'_>) -> Result<()> {
    let start = Instant::now();
    let mut tally = TokenTally::default();
    let mut held = [0; VMS];
    for held in &mut held {
        *held = u.int_in_range(0..=100)?;
    }
    let whole: u64 = held.iter().sum();
    let mut late: Vec<LateMessage> = Vec::new();
    for step in 0..60 {
        let now = start + MESSAGE_INTERVAL * step;
        let (giver, taker) = (u.choose_index(VMS)?, u.choose_index(VMS)?);
        let moved = u.int_in_range(0..=held[giver])?;
        held[giver] -= moved;
        held[taker] += moved;
        for (vm, &left) in held.iter().enumerate() {
            if u.ratio(1, 5)? {
                continue;
            }
            let delay = Duration::from_millis(u.int_in_range(0..=MAX_DELAY_MS)?);
            late.push(LateMessage {
                due: now + delay,
                vm,
                left,
            });
        }
        let (due, left): (Vec<_>, Vec<_>) = late.into_iter().partition(|m| m.due <= now);
        late = left;
        for message in due {
            let left = TokenCount(message.left);
            tally.note(WORKSPACE, vm(message.vm), left, now);
        }
        if let Some(most) = most_left(&tally, VMS, now) {
            assert!(most >= whole, "{most} of {whole}");
        }
    }
    Ok(())
}

#[test]
fn sum_is_never_less_than_what_is_left() {
    arbtest(play_moves);
}

#[test]
fn purse_counts_of_reserved_tokens_what_is_likely_to_be_left() {
    let now = Instant::now();
    let mut purse = BudgetPurse::new(WORKSPACE, 1, 1, TokenCount(1000), now);
    let view = BudgetView {
        totals: BudgetTotals {
            workspace: WORKSPACE,
            revision: 1,
            taken: TokenCount(1000),
            used: TokenCount::ZERO,
        },
        own_granted: TokenCount(1000),
        ..BudgetView::default()
    };
    purse.set_view(view, now);
    for cost in [90, 90] {
        assert_eq!(purse.reserve(TokenCount(100), now), Ok(()));
        purse.settle(TokenCount(100), TokenCount(cost));
    }
    assert_eq!(purse.left(), TokenCount(820));
    assert_eq!(purse.reserve(TokenCount(800), now), Ok(()));
    assert_eq!(purse.free(now), TokenCount(20));
    assert_eq!(purse.left(), TokenCount(20 + 160));
}
