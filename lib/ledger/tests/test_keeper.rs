//! Randomized tests of shard keepers under conflicts, lost replies, outages, restarts and
//! pauses.

mod simulation;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::time::Duration;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use simulation::InjectedFault;
use simulation::Simulation;
use simulation::router;
use snipegate_ledger::CallOutcome;
use snipegate_ledger::KeeperSettings;
use snipegate_ledger::LedgerOperation;
use snipegate_types::BudgetId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::TokenCount;

/// Number of seeds per run; the panic message of a failing run contains its seed.
const SEEDS: u64 = 3_000;
const INPUT_BYTES: u64 = 12_000;
/// Number of seeds within which each injected fault must be detected.
const FAULT_DETECTION_SEEDS: u64 = 4_000;
const STEPS: usize = 1_500;

fn budget() -> BudgetId {
    "depot".parse().unwrap()
}

/// Generates an operation that uses one of a few IDs of `period`.
fn arbitrary_operation(
    u: &mut Unstructured<'_>,
    period: u64,
    sender: u8,
) -> Result<LedgerOperation> {
    let number = u128::from(period) << 32 | u128::from(u.int_in_range(0..=11u8)?);
    let operation = OperationId::from_number(number);
    // Grants and returns use IDs that are unique to the sender.
    let own = OperationId::from_number(u128::from(sender + 1) << 96 | number);
    let request = RequestId::from_number(number);
    let budget = budget();
    let amount = TokenCount(u.int_in_range(1..=60)?);
    Ok(match u.int_in_range(0..=60)? {
        0..=9 => LedgerOperation::TopUp {
            operation,
            budget,
            amount,
        },
        10..=24 => LedgerOperation::Grant {
            operation: own,
            budget,
            wanted: amount,
            least: TokenCount(1),
        },
        25..=29 => LedgerOperation::Return {
            operation: own,
            budget,
            amount,
        },
        30..=34 => LedgerOperation::NoteTransfer {
            transfer: operation,
            budget,
            giver: router(u.int_in_range(0..=3)?),
            receiver: router(u.int_in_range(0..=3)?),
            amount,
        },
        35..=49 => LedgerOperation::Bill {
            request,
            budget,
            amount: TokenCount(u.int_in_range(1..=10)?),
            holder: router(u.int_in_range(0..=3)?),
            position: None,
        },
        50..=54 => LedgerOperation::Intend {
            request,
            attempt: OperationId::from_number(u128::from(amount.0 % 2)),
            upstream: "booking-1".parse().unwrap(),
            digest: [1; 16],
        },
        55..=59 => LedgerOperation::Conclude {
            request,
            attempt: OperationId::from_number(u128::from(amount.0 % 2)),
            outcome: match u.int_in_range(0..=2)? {
                0 => CallOutcome::NotRun,
                1 => CallOutcome::Unknown,
                _ => CallOutcome::Answered {
                    status: 200,
                    body: Vec::new(),
                },
            },
        },
        _ => LedgerOperation::DeclareDead {
            holder: router(u.int_in_range(0..=3)?),
        },
    })
}

/// Returns settings under which segments are removed frequently.
fn frequent_removal_settings() -> KeeperSettings {
    KeeperSettings {
        retry_window: Duration::from_millis(2_100),
        snapshot_every: 3,
        snapshot_part_bytes: 100,
        commit_interval: Duration::from_millis(1),
        ..KeeperSettings::default()
    }
}

/// Counters that show which parts of the protocol the runs covered.
#[derive(Debug, Default)]
struct Coverage {
    answered: usize,
    billed: usize,
    snapshotted: usize,
}

fn run_seed(seed: u64, settings: &KeeperSettings, fault: InjectedFault) -> Coverage {
    let mut coverage = Coverage::default();
    arbtest(|u| {
        let mut simulation = Simulation::new(settings.clone(), fault);
        simulation.choose_first_node();
        for _ in 0..STEPS {
            if u.is_empty() {
                break;
            }
            simulation.step(u, &arbitrary_operation)?;
        }
        simulation.end_faults_and_check(LedgerOperation::TopUp {
            operation: OperationId::from_number(u128::MAX),
            budget: budget(),
            amount: TokenCount(1),
        });
        coverage.answered += simulation.answered;
        coverage.billed += simulation.reference.bill_count();
        coverage.snapshotted += usize::from(simulation.reference.is_snapshotted());
        Ok(())
    })
    .seed(INPUT_BYTES | seed << 32);
    coverage
}

fn run_all_seeds(settings: &KeeperSettings) -> Coverage {
    (0..SEEDS).fold(Coverage::default(), |mut total, seed| {
        let coverage = run_seed(seed, settings, InjectedFault::Nothing);
        total.answered += coverage.answered;
        total.billed += coverage.billed;
        total.snapshotted += coverage.snapshotted;
        total
    })
}

/// Returns the first of `seeds` seeds whose run detects an injected fault.
fn first_detecting_seed(fault: InjectedFault, seeds: u64) -> Option<u64> {
    let detects = |seed: &u64| {
        let settings = frequent_removal_settings();
        let run = AssertUnwindSafe(|| run_seed(*seed, &settings, fault));
        catch_unwind(run).is_err()
    };
    (0..seeds).find(detects)
}

#[test]
fn keepers_agree_on_one_log() {
    let coverage = run_all_seeds(&KeeperSettings::default());
    println!("{coverage:?}");
    assert!(coverage.answered > 0 && coverage.billed > 0);
}

#[test]
fn keepers_agree_on_one_log_while_segments_are_removed() {
    let coverage = run_all_seeds(&frequent_removal_settings());
    println!("{coverage:?}");
    assert!(coverage.answered > 0 && coverage.billed > 0 && coverage.snapshotted > 0);
}

#[test]
fn injected_faults_are_detected() {
    for fault in [
        InjectedFault::BlindSwaps,
        InjectedFault::LostWritesAsDone,
        InjectedFault::AnswersBeforeCommit,
        InjectedFault::FencesRemoved,
    ] {
        let seed = first_detecting_seed(fault, FAULT_DETECTION_SEEDS);
        println!("{fault:?}: first detected by seed {seed:?}");
        assert!(seed.is_some(), "{fault:?} was not detected");
    }
}
