//! Tracking of the contact with the store from the outcomes of calls.

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::StoreContact;

#[test]
fn failure_of_a_call_older_than_the_newest_answer_is_ignored() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut contact = StoreContact::new();
    contact.record_answer(at(0));
    assert!(contact.record_failure(at(100), at(1100)));
    assert!(contact.is_lost(at(2000)));
    let outage = contact.record_answer(at(2100));
    assert_eq!(outage, Some(Duration::from_millis(1000)));
    // Sent during the outage, timed out after it.
    assert!(!contact.record_failure(at(1900), at(2900)));
    assert!(!contact.is_failing());
    assert!(contact.is_current(at(3000)));
}

#[test]
fn failure_of_a_call_newer_than_the_newest_answer_counts() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut contact = StoreContact::new();
    contact.record_answer(at(0));
    assert!(contact.record_failure(at(10), at(20)));
    assert!(!contact.record_failure(at(30), at(40)));
    assert!(contact.is_failing());
    assert!(!contact.is_lost(at(700)));
    assert!(contact.is_lost(at(900)));
}
