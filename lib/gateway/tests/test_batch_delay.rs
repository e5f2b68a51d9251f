//! Number of store calls of a fleet while its VM records change one after the other.

use std::time::Duration;

use snipegate_gateway::RECORD_BATCH_DELAY;

/// Counts the store calls of a fleet that fetches one change every 200 ms for 12 s, as when
/// the leases of killed VMs expire.
fn fleet_calls(vms: usize) -> usize {
    let changes = (0..60).map(|number| Duration::from_millis(200) * number);
    let mut ready_at = Duration::ZERO;
    let mut calls = 0;
    for change in changes {
        if change >= ready_at {
            calls += vms;
            ready_at = change + RECORD_BATCH_DELAY.for_fleet(vms);
        }
    }
    calls
}

#[test]
fn vm_of_a_large_fleet_calls_the_store_at_most_half_as_often() {
    let (small, large) = (fleet_calls(6), fleet_calls(87));
    assert!(large * 6 * 2 <= small * 87, "{small} and {large}");
}

#[test]
fn delay_does_not_exceed_its_maximum() {
    assert_eq!(RECORD_BATCH_DELAY.for_fleet(0), Duration::from_millis(700));
    assert_eq!(RECORD_BATCH_DELAY.for_fleet(10), Duration::from_secs(1));
    assert_eq!(RECORD_BATCH_DELAY.for_fleet(370), Duration::from_secs(4));
    assert_eq!(
        RECORD_BATCH_DELAY.for_fleet(usize::MAX),
        Duration::from_secs(4)
    );
}
