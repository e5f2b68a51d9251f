//! Evacuations as a VM knows them: lost, reordered and repeated messages, restarts, and a store
//! that comes back from an older copy.

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::EvacuationState;
use snipegate_gateway::EvacuationTable;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreRevision;
use snipegate_types::DataCentre;

/// Longer than an evacuation that the store lacks after its return stays in force.
const AFTER_RETURN: Duration = Duration::from_millis(2100);

fn place(name: &str) -> DataCentre {
    name.parse().expect("a name")
}

fn at(number: u64) -> StoreRevision {
    StoreRevision::in_era(StoreEra(1), number)
}

fn after_return(number: u64) -> StoreRevision {
    StoreRevision::in_era(StoreEra(2), number)
}

fn told(is_evacuated: bool, revision: StoreRevision) -> EvacuationState {
    EvacuationState {
        data_centre: place("z2"),
        revision,
        is_evacuated,
        age_ms: 40,
    }
}

fn is_evacuated(table: &EvacuationTable) -> bool {
    table.evacuated().contains(&place("z2"))
}

/// Returns a table after a listing at `as_of` in which `z2` is evacuated since `since`.
fn listed(since: Option<StoreRevision>, as_of: StoreRevision, now: Instant) -> EvacuationTable {
    let mut table = EvacuationTable::default();
    let listed: Vec<_> = since
        .map(|since| (place("z2"), since))
        .into_iter()
        .collect();
    table.apply_listing(&listed, as_of, now);
    table
}

/// Applies all that a VM announces to another one.
fn exchange(from: &EvacuationTable, to: &mut EvacuationTable, includes_all: bool, now: Instant) {
    for state in from.announced(includes_all, now) {
        to.apply_announced(&state, now);
    }
}

/// A VM that starts must not send anywhere before it knows the evacuations; notices tell only
/// some.
#[test]
fn vm_that_has_no_listing_does_not_count_as_informed() {
    let now = Instant::now();
    let mut table = EvacuationTable::default();
    table.apply_announced(&told(true, at(5)), now);
    assert!(!table.is_known());
    table.apply_listing(&[], at(9), now);
    assert!(table.is_known());
    // What it was told is older than the listing that lacks it.
    assert!(!is_evacuated(&table));
}

/// Datagrams come late, in another order, and again.
#[test]
fn late_notice_does_not_revert_a_later_change() {
    let now = Instant::now();
    let (start, end, again) = (told(true, at(5)), told(false, at(7)), told(true, at(9)));
    for order in [
        [&start, &end, &again],
        [&again, &end, &start],
        [&end, &again, &start],
    ] {
        let mut table = listed(None, at(3), now);
        for state in order.into_iter().chain(order) {
            table.apply_announced(state, now);
        }
        assert!(is_evacuated(&table));
        table.apply_announced(&told(false, at(11)), now);
        for state in order {
            table.apply_announced(state, now);
        }
        assert!(!is_evacuated(&table));
    }
}

/// A change is announced in each message for some time, and evacuations in force with all full
/// notices: each single datagram may be lost.
#[test]
fn change_is_told_again_after_notices_were_lost() {
    let now = Instant::now();
    let mut table = listed(None, at(3), now);
    table.apply_change(&place("z2"), true, at(5), now);
    let soon = now + Duration::from_millis(1900);
    let later = now + Duration::from_secs(60);
    assert_eq!(table.announced(false, soon).len(), 1);
    assert_eq!(table.announced(false, later).len(), 0);
    let [state] = &table.announced(true, later)[..] else {
        panic!("one evacuation is in force");
    };
    assert_eq!((state.is_evacuated, state.age_ms), (true, 60_000));
}

/// The end of an evacuation is not announced for ever, so a VM that missed it keeps the
/// evacuation until it is told by those that hear it announce it.
#[test]
fn vm_that_missed_the_end_is_told_by_those_that_know() {
    let now = Instant::now();
    let mut behind = listed(Some(at(5)), at(6), now);
    // One VM saw the end; the other started after it.
    let mut witness = listed(Some(at(5)), at(6), now);
    witness.apply_change(&place("z2"), false, at(8), now);
    let newcomer = listed(None, at(9), now);
    let later = now + Duration::from_secs(60);
    for mut informed in [witness, newcomer] {
        assert!(informed.announced(true, later).is_empty());
        exchange(&behind, &mut informed, true, later);
        assert!(!is_evacuated(&informed));
        let mut told_now = listed(Some(at(5)), at(6), now);
        exchange(&informed, &mut told_now, false, later);
        assert!(!is_evacuated(&told_now));
    }
    assert!(is_evacuated(&behind));
    behind.apply_listing(&[], at(9), later);
    assert!(!is_evacuated(&behind));
}

/// A listing that was read before a change that a notice told must not undo it.
#[test]
fn listing_that_is_older_than_a_notice_does_not_end_the_evacuation() {
    let now = Instant::now();
    let mut table = listed(None, at(3), now);
    table.apply_announced(&told(true, at(8)), now);
    table.apply_listing(&[], at(6), now);
    assert!(is_evacuated(&table));
    table.apply_listing(&[], at(9), now);
    assert!(!is_evacuated(&table));
}

/// The copy from which the store comes back may lack the key, until the operator writes it again.
#[test]
fn evacuation_that_an_older_copy_lacks_stays_in_force_for_the_return_period() {
    let now = Instant::now();
    let mut table = listed(Some(at(50)), at(60), now);
    table.apply_listing(&[], after_return(20), now);
    table.confirm(after_return(20), now);
    assert!(is_evacuated(&table));
    let early = now + Duration::from_millis(1900);
    table.confirm(after_return(25), early);
    assert!(is_evacuated(&table));

    let mut written = table;
    let mut returned_twice = listed(Some(at(50)), at(60), now);
    returned_twice.apply_listing(&[], after_return(20), now);
    let third_era = StoreRevision::in_era(StoreEra(3), 20);
    returned_twice.apply_listing(&[], third_era, early);

    let later = now + AFTER_RETURN;
    written.apply_change(&place("z2"), true, after_return(30), early);
    assert!(written.confirm(after_return(31), later).is_empty());
    assert!(is_evacuated(&written));
    returned_twice.confirm(third_era, later);
    assert!(is_evacuated(&returned_twice), "the period begins again");
    returned_twice.confirm(third_era, early + AFTER_RETURN);
    assert!(!is_evacuated(&returned_twice));
}

/// One VM ends an evacuation that the store lacks while another one, which has read further, still
/// waits. If that one took its own state for what the store shows, both would keep it for good.
#[test]
fn end_after_a_return_is_not_undone_by_a_vm_that_still_waits() {
    let now = Instant::now();
    let mut first = listed(Some(at(50)), at(60), now);
    first.apply_listing(&[], after_return(51), now);
    let mut second = listed(Some(at(50)), at(60), now);
    second.apply_listing(&[], after_return(52), now + Duration::from_millis(500));
    let later = now + AFTER_RETURN;
    first.confirm(after_return(51), later);
    assert!(!is_evacuated(&first));
    exchange(&first, &mut second, true, later);
    exchange(&second, &mut first, true, later);
    assert!(!is_evacuated(&second));
    assert!(!is_evacuated(&first));
}

/// A removal that was written after the return is the operator's, and holds at once.
#[test]
fn evacuation_taken_back_after_the_return_ends_at_once() {
    let now = Instant::now();
    let mut table = listed(Some(at(50)), at(60), now);
    table.apply_listing(&[], after_return(20), now);
    table.apply_change(&place("z2"), false, after_return(21), now);
    assert!(!is_evacuated(&table));
}

/// A VM that starts right after the return sees only the copy; the others still know.
#[test]
fn vm_that_started_after_the_return_heeds_what_the_others_still_know() {
    let now = Instant::now();
    let cut_off = listed(Some(at(50)), at(60), now);
    let mut started = listed(None, after_return(20), now);
    exchange(&cut_off, &mut started, true, now);
    assert!(is_evacuated(&started));
    let later = now + AFTER_RETURN;
    started.confirm(after_return(22), later);
    assert!(!is_evacuated(&started));
    // The VM that is cut off goes on announcing it, and is told of the end.
    exchange(&cut_off, &mut started, true, later);
    assert!(!is_evacuated(&started));
    let mut cut_off = cut_off;
    exchange(&started, &mut cut_off, false, later);
    assert!(!is_evacuated(&cut_off));
}

/// Without a bound, keys for many names would fill the memory; what is in force is kept.
#[test]
fn many_ended_evacuations_do_not_displace_one_in_force() {
    let now = Instant::now();
    let mut table = listed(Some(at(1)), at(2), now);
    for number in 0..2000 {
        let name = place(&format!("other-{number}"));
        table.apply_change(&name, true, at(2 * number + 10), now);
        table.apply_change(&name, false, at(2 * number + 11), now);
    }
    assert_eq!(table.evacuated().len(), 1);
    assert!(is_evacuated(&table));
}
