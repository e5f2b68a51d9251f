//! Runs of the soak test with fixed seeds.
//!
//! `SNIPEGATE_SOAK_SEEDS=100..150` selects other seeds, `SNIPEGATE_SOAK_VMS=12` the number
//! of VMs and `SNIPEGATE_SOAK_SECONDS=30` the seconds with faults. `SNIPEGATE_SOAK_LOGS=DIR`
//! writes the logs to `DIR` instead of the temporary directory.

use std::env;
use std::path::PathBuf;
use std::time::Duration;

use snipegate_soak::CallOutcome;
use snipegate_soak::SoakRecord;
use snipegate_soak::check_record;
use snipegate_soak::run_soak;
use tokio::task::LocalSet;

/// Seeds that are run by default.
const DEFAULT_SEEDS: [u64; 2] = [1, 2];

/// Seeds that failed in the past, each with its cause.
const REGRESSIONS: [u64; 4] = [
    10,  // All VMs lost their watches while the store responded to everything but watches.
    12,  // The same as 10.
    228, // Fault of the soak test: the first of two drains to end made the upstream ready.
    827, // Sound generations counted as the same request as crashing ones, and were refused.
];

/// Default number of VMs.
const DEFAULT_VMS: usize = 4;

/// Default number of seconds with faults.
const DEFAULT_SECONDS: u64 = 8;

fn env_number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

fn env_seeds() -> Option<Vec<u64>> {
    let text = env::var("SNIPEGATE_SOAK_SEEDS").ok()?;
    let (from, to) = text.split_once("..")?;
    Some((from.parse().ok()?..to.parse().ok()?).collect())
}

fn run_seed(seed: u64) -> SoakRecord {
    let vms = env_number("SNIPEGATE_SOAK_VMS").map_or(DEFAULT_VMS, |vms| vms as usize);
    let seconds = env_number("SNIPEGATE_SOAK_SECONDS").unwrap_or(DEFAULT_SECONDS);
    let logs = env::var_os("SNIPEGATE_SOAK_LOGS").map_or_else(env::temp_dir, PathBuf::from);
    let directory = logs.join(format!("snipegate-soak-{}-{seed}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime should build");
    let duration = Duration::from_secs(seconds);
    let run = run_soak(seed, vms, duration, directory);
    LocalSet::new()
        .block_on(&runtime, run)
        .expect("run should complete")
}

fn count_served(record: &SoakRecord) -> usize {
    let is_served =
        |outcome: &CallOutcome| matches!(outcome, CallOutcome::Response { status: 200, .. });
    let calls = record.calls.iter();
    calls.filter(|call| is_served(&call.outcome)).count()
}

/// Runs the seeds and checks that no run has a violation.
fn check_seeds(seeds: &[u64]) {
    let mut failed = Vec::new();
    for &seed in seeds {
        let record = run_seed(seed);
        let violations = check_record(&record);
        println!(
            "seed {seed}: {} calls, {} served, {} runs, {} drains, {} stops, {} crashes, {violations:?}",
            record.calls.len(),
            count_served(&record),
            record.runs.len(),
            record.drains.len(),
            record.stops.len(),
            record.crashes.len(),
        );
        assert!(count_served(&record) > 0, "seed {seed} served nothing");
        if !violations.is_empty() {
            failed.push((seed, violations));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}

#[test]
fn promises_hold_under_seeded_faults() {
    check_seeds(&env_seeds().unwrap_or_else(|| DEFAULT_SEEDS.to_vec()));
}

#[test]
fn promises_hold_where_they_failed_once() {
    if env_seeds().is_none() {
        check_seeds(&REGRESSIONS);
    }
}
