//! Cold upstreams: how VMs learn of them, and what all VMs together send to them.

mod rate_simulation;

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::ColdLimit;
use snipegate_gateway::ColdNotice;
use snipegate_gateway::ColdReason;
use snipegate_gateway::ColdRule;
use snipegate_gateway::ColdTable;
use snipegate_gateway::ColdTolerance;
use snipegate_gateway::ShareView;
use snipegate_gateway::UpstreamEntry;
use snipegate_gateway::cold_share;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreRevision;
use snipegate_types::RequestRate;

use crate::rate_simulation::ColdSetup;
use crate::rate_simulation::RateSimulation;
use crate::rate_simulation::SimulationConfig;
use crate::rate_simulation::store_revision;
use crate::rate_simulation::test_entry;

/// Number of VMs of the simulated fleets.
const VMS: usize = 62;

/// What a cold upstream takes in any one second: 9.6 x 1.5 + 5.
const BOUND: usize = 19;

/// Number of simulated fleets of each kind.
const FLEET_COUNT: u64 = 4;

const TOLERANCE: ColdTolerance = ColdTolerance {
    overrun: 1.5,
    slack: 5.0,
};

fn rule(seconds: u64) -> ColdRule {
    ColdRule {
        duration: Duration::from_secs(seconds),
        rate: RequestRate(9.6),
    }
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn entry(started_ms: u64, cold_left_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        started_ms: Some(started_ms),
        cold_left: millis(cold_left_ms),
        ..test_entry()
    }
}

fn config(seed: u64, seconds: u64) -> SimulationConfig {
    SimulationConfig {
        vms: VMS,
        demand: 12.0,
        gossip: millis(200),
        delay_ms: 1000,
        cold: Some(ColdSetup {
            rule: rule(seconds),
            tolerance: TOLERANCE,
            store_delay_ms: 2000,
        }),
        loss: 0.1,
        disturbances: 2.0,
        seed,
    }
}

/// A VM that sees an upstream appear does not know that others see it too, and its entry may be
/// older than it looks. All requests count, whatever a VM knew.
#[test]
fn upstream_that_appears_cold_gets_no_more_than_it_takes() {
    for seed in 0..FLEET_COUNT {
        let mut simulation = RateSimulation::new(config(seed, 3));
        simulation.run(millis(1500));
        simulation.remove_upstream();
        simulation.turn_cold(true);
        simulation.run(Duration::from_secs(4));
        let max = simulation.max_while_cold(|_| true);
        assert!(max <= BOUND, "{max} with seed {seed}");
    }
}

/// Requests sent before a VM knew can't be called back; those after count.
#[test]
fn upstream_that_turns_cold_again_and_again_gets_no_more_than_it_takes() {
    for seed in 0..FLEET_COUNT {
        let mut simulation = RateSimulation::new(config(seed, 4));
        simulation.run(millis(1500));
        for round in 0..3 {
            simulation.turn_cold(round % 2 == 0);
            simulation.run(Duration::from_secs(5));
        }
        let max = simulation.max_while_cold(|arrival| arrival.is_known_cold);
        assert!(max <= BOUND, "{max} with seed {seed}");
    }
}

/// VMs that start together know no other VM at first, and each would send as if it were alone.
#[test]
fn vms_that_all_restart_while_an_upstream_is_cold_send_no_more_than_it_takes() {
    for seed in 0..FLEET_COUNT {
        let mut simulation = RateSimulation::new(config(seed, 6));
        simulation.run(millis(1500));
        simulation.turn_cold(true);
        simulation.run(millis(500));
        simulation.restart_all();
        simulation.arrivals.clear();
        simulation.run(Duration::from_secs(6));
        let max = simulation.max_while_cold(|_| true);
        assert!(max <= BOUND, "{max} with seed {seed}");
    }
}

/// VMs that are cut off from each other at once would all send their first request together.
#[test]
fn vms_that_hear_nobody_send_their_parts_at_different_times() {
    for seed in 0..FLEET_COUNT {
        let config = SimulationConfig {
            disturbances: 0.0,
            ..config(seed, 40)
        };
        let mut simulation = RateSimulation::new(config);
        simulation.run(millis(1500));
        simulation.remove_upstream();
        simulation.turn_cold(true);
        simulation.run(Duration::from_secs(4));
        simulation.cut_off(VMS, Duration::from_secs(25));
        let cut_from = simulation.arrivals.len();
        simulation.run(Duration::from_secs(35));
        let max = simulation.max_while_cold(|_| true);
        assert!(max <= BOUND, "{max} with seed {seed}");
        let sent = simulation.arrivals.len() - cut_from;
        assert!(sent > 100, "{sent} sent with seed {seed}");
    }
}

/// An upstream that is avoided instead of limited would stay idle until it is warm.
#[test]
fn cold_upstream_gets_its_share() {
    let config = SimulationConfig {
        disturbances: 0.0,
        delay_ms: 50,
        ..config(1, 20)
    };
    let mut simulation = RateSimulation::new(config);
    simulation.run(millis(1500));
    simulation.remove_upstream();
    simulation.turn_cold(true);
    simulation.run(Duration::from_secs(20));
    let sent = simulation
        .arrivals
        .iter()
        .filter(|sent| sent.is_cold)
        .count();
    assert!(sent as f64 > 9.6 * 18.0 / 2.0, "{sent}");
}

/// A VM that does not reach the store would send as to a warm upstream.
#[test]
fn vm_cut_off_from_the_store_learns_of_a_cold_upstream_from_others() {
    let config = SimulationConfig {
        disturbances: 0.0,
        ..config(3, 10)
    };
    let mut simulation = RateSimulation::new(config);
    simulation.run(millis(1500));
    for vm in 2..VMS {
        simulation.cut_off_store(vm, Duration::from_secs(30));
    }
    simulation.turn_cold(false);
    simulation.run(Duration::from_secs(4));
    simulation.arrivals.clear();
    simulation.run(Duration::from_secs(6));
    let max = simulation.max_while_cold(|_| true);
    assert!(max <= BOUND, "{max}");
}

/// A small bound leaves no room for several senders, and one below 1 for no request.
#[test]
fn limit_leaves_room_for_senders_that_change() {
    arbtest::arbtest(|u| {
        let rate = f64::from(u.int_in_range(1..=4000)?) / 20.0;
        let tolerance = ColdTolerance {
            overrun: 1.0 + f64::from(u.int_in_range(0..=40)?) / 20.0,
            slack: f64::from(u.int_in_range(0..=100)?) / 10.0,
        };
        let rule = ColdRule {
            duration: Duration::from_secs(3),
            rate: RequestRate(rate),
        };
        let limit = ColdLimit::new(&rule, &tolerance);
        let known = u.int_in_range(1..=200)?;
        let views = (0..known).map(|rank| ShareView {
            live: known,
            known,
            rank,
        });
        let shares: Vec<f64> = views
            .filter_map(|view| cold_share(&limit, view, 0.5))
            .map(|share| share.rate.0)
            .collect();
        let most: f64 = shares.iter().map(|share| share.floor() + 1.0).sum();
        assert!(most <= limit.bound, "{most} at {limit:?}");
        Ok(())
    });
}

/// Returns whether the upstream counts as cold after this time.
fn is_cold_after(table: &ColdTable, start: Instant, after_ms: u64) -> bool {
    table.is_cold(&test_entry(), start + millis(after_ms))
}

/// A VM that counts from the time in the entry, or keeps the first value, ends too early.
#[test]
fn rewritten_entry_counts_from_when_it_was_seen() {
    let start = Instant::now();
    let mut table = ColdTable::new(1);
    let rule = rule(3);
    let mut record = |started, left, revision, at| {
        let entry = entry(started, left);
        let revision = store_revision(revision);
        table.record_entry(&entry, revision, true, Some(&rule), start + millis(at));
        table.clone()
    };
    // A new run is cold for the time of the rule, though its entry says less.
    let new_run = record(7, 500, 1, 0);
    assert!(is_cold_after(&new_run, start, 2999));
    assert!(!is_cold_after(&new_run, start, 3000));
    let smaller = record(7, 900, 2, 2900);
    assert!(is_cold_after(&smaller, start, 3799));
    let larger = record(7, 5000, 3, 3500);
    assert!(is_cold_after(&larger, start, 8499));
    // The same value in a later revision: the upstream has turned cold again.
    let again = record(7, 5000, 4, 8000);
    assert!(is_cold_after(&again, start, 12_999));
    let older = record(7, 0, 2, 8100);
    assert!(is_cold_after(&older, start, 12_999));
    let warm = record(7, 0, 5, 9000);
    assert!(!is_cold_after(&warm, start, 9000));
    let restarted = record(8, 0, 6, 10_000);
    assert!(is_cold_after(&restarted, start, 12_999));
}

/// A store that came back from an older copy shows an entry from before it turned cold.
#[test]
fn entry_of_an_older_copy_ends_nothing_early() {
    let start = Instant::now();
    let mut table = ColdTable::new(1);
    let cold = entry(7, 3000);
    table.record_entry(&cold, store_revision(9), false, Some(&rule(3)), start);
    let copied = StoreRevision::in_era(StoreEra(1), 4);
    table.record_entry(
        &entry(7, 0),
        copied,
        true,
        Some(&rule(3)),
        start + millis(100),
    );
    assert!(is_cold_after(&table, start, 2999));
}

/// A VM that starts must not take a warm upstream for one that has just started, nor a cold one
/// for warm.
#[test]
fn first_listing_shows_what_is_cold() {
    let start = Instant::now();
    let mut table = ColdTable::new(1);
    table.record_entry(
        &entry(7, 0),
        store_revision(1),
        false,
        Some(&rule(3)),
        start,
    );
    assert!(!is_cold_after(&table, start, 0));
    let mut table = ColdTable::new(1);
    table.record_entry(&entry(7, 2000), store_revision(1), false, None, start);
    assert!(is_cold_after(&table, start, 1999));
    // Another VM saw the same entry 1.5 s before.
    let notice = ColdNotice {
        upstream: 0,
        stated: Some((store_revision(1), 500)),
        assumed_ms: 0,
    };
    table.apply_notice(&entry(7, 2000), &notice, true, start);
    assert!(!is_cold_after(&table, start, 500));
}

/// Times that VMs pass on to each other would grow by the delay of each message.
#[test]
fn what_is_heard_is_not_announced() {
    let start = Instant::now();
    let mut first = ColdTable::new(1);
    let mut second = ColdTable::new(2);
    let reason = ColdReason::ConnectionBroken;
    first.assume(&test_entry(), Duration::from_secs(3), reason, start);
    let notices = first.notices(false, true, start);
    assert_eq!(notices.len(), 1);
    second.apply_notice(&test_entry(), &notices[0], true, start);
    assert!(!is_cold_after(&second, start, 0), "the store would tell");
    second.apply_notice(&test_entry(), &notices[0], false, start + millis(900));
    assert!(is_cold_after(&second, start, 3800));
    assert!(second.notices(true, true, start + millis(900)).is_empty());
}

/// Upstreams are often cold when the evacuation of their data centre ends, whatever is known.
#[test]
fn upstreams_are_cold_after_an_evacuation() {
    let start = Instant::now();
    let mut table = ColdTable::new(1);
    table.record_entry(
        &entry(7, 0),
        store_revision(1),
        false,
        Some(&rule(3)),
        start,
    );
    let entries = [entry(7, 0)];
    let reason = ColdReason::EvacuationEnded;
    table.begin(entries.iter(), Duration::from_secs(3), reason, start);
    assert!(is_cold_after(&table, start, 2999));
    let changes = table.update(&TOLERANCE, |_| Some(rule(3)), start);
    assert_eq!(changes.len(), 1);
    let changes = table.update(&TOLERANCE, |_| Some(rule(3)), start + millis(3000));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].limit, None);
}

/// A service without a rate for cold upstreams is sent to as before.
#[test]
fn service_without_a_rule_has_no_limit() {
    let start = Instant::now();
    let mut table = ColdTable::new(1);
    table.record_entry(&entry(7, 3000), store_revision(1), true, None, start);
    assert_eq!(table.update(&TOLERANCE, |_| None, start), []);
    assert!(table.may_send(&entry(7, 3000), 9, start));
    assert!(table.should_send(&entry(7, 3000), 0, start));
}

/// A cold upstream is slow, so urgent requests would be late there while others use warm ones.
#[test]
fn urgent_requests_leave_a_cold_upstream_to_others_for_a_spacing() {
    let start = Instant::now();
    let mut table = ColdTable::new(1);
    let cold = entry(7, 3000);
    table.record_entry(&cold, store_revision(1), true, Some(&rule(3)), start);
    table.update(&TOLERANCE, |_| Some(rule(3)), start);
    let alone = ShareView {
        live: 1,
        known: 1,
        rank: 0,
    };
    table.refresh(start, |_| Some(alone));
    let spacing = 105;
    assert!(!table.may_send(&cold, 0, start + millis(spacing - 5)));
    let free = start + millis(spacing);
    assert!(table.may_send(&cold, 0, free) && table.should_send(&cold, 2, free));
    assert!(!table.should_send(&cold, 0, free));
    assert!(table.should_send(&cold, 0, free + millis(spacing)));
}
