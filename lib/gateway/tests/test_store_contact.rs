//! What the outcomes of calls say about contact with the store.

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::StoreContact;

#[test]
fn call_lost_in_an_outage_does_not_count_after_a_newer_answer() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut contact = StoreContact::new();
    contact.note_answer(at(0));
    assert!(contact.note_failure(at(100), at(1100)));
    assert!(contact.is_lost(at(2000)));
    let outage = contact.note_answer(at(2100));
    assert_eq!(outage, Some(Duration::from_millis(1000)));
    // Sent during the outage, given up after it.
    assert!(!contact.note_failure(at(1900), at(2900)));
    assert!(!contact.is_failing());
    assert!(contact.is_current(at(3000)));
}

#[test]
fn call_that_began_after_the_newest_answer_counts() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut contact = StoreContact::new();
    contact.note_answer(at(0));
    assert!(contact.note_failure(at(10), at(20)));
    assert!(!contact.note_failure(at(30), at(40)));
    assert!(contact.is_failing());
    assert!(!contact.is_lost(at(700)));
    assert!(contact.is_lost(at(900)));
}
