//! Tables of upstreams and VMs, the retry budget and the event splitter.

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::EventSplitter;
use snipegate_gateway::PeerTable;
use snipegate_gateway::RetryBudget;
use snipegate_gateway::RetryRule;
use snipegate_gateway::ServiceName;
use snipegate_gateway::UpstreamChange;
use snipegate_gateway::UpstreamEntry;
use snipegate_gateway::UpstreamPhase;
use snipegate_gateway::UpstreamTable;
use snipegate_gateway::VmRecord;
use snipegate_gateway::VmStage;
use snipegate_gateway::addresses_of;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreRevision;
use snipegate_types::UpstreamId;

/// A VM that was not heard from for this long is out of contact.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

fn entry(id: &str, phase: UpstreamPhase) -> UpstreamEntry {
    UpstreamEntry {
        id: id.parse().expect("a name"),
        service: "svc".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "z1".parse().expect("a name"),
        phase,
        started_ms: None,
        slots: 8,
        cold_left: Duration::ZERO,
    }
}

fn ready_count(table: &UpstreamTable) -> usize {
    table.ready("svc").count()
}

#[test]
fn older_revisions_are_ignored() {
    let mut table = UpstreamTable::default();
    let now = Instant::now();
    let id: UpstreamId = "a".parse().expect("a name");
    let ready = entry("a", UpstreamPhase::Ready);
    let draining = entry("a", UpstreamPhase::Draining);
    table.put(&id, Some(ready.clone()), StoreRevision::new(5), now);
    let change = table.put(&id, Some(draining), StoreRevision::new(9), now);
    assert_eq!(change, Some(UpstreamChange::Left(id.clone())));
    assert_eq!(
        table.put(&id, Some(ready), StoreRevision::new(6), now),
        None
    );
    assert_eq!(table.remove(&id, StoreRevision::new(7), now), None);
    assert_eq!(ready_count(&table), 0);
    assert!(table.get(&id).is_some());
}

#[test]
fn undecodable_entry_removes_the_upstream() {
    let mut table = UpstreamTable::default();
    let now = Instant::now();
    let id: UpstreamId = "a".parse().expect("a name");
    table.put(
        &id,
        Some(entry("a", UpstreamPhase::Ready)),
        StoreRevision::new(5),
        now,
    );
    table.put(&id, None, StoreRevision::new(6), now);
    assert_eq!(ready_count(&table), 0);
}

#[test]
fn entries_missing_after_an_outage_get_a_grace_period() {
    let mut table = UpstreamTable::default();
    let now = Instant::now();
    let id: UpstreamId = "a".parse().expect("a name");
    table.put(
        &id,
        Some(entry("a", UpstreamPhase::Ready)),
        StoreRevision::new(5),
        now,
    );
    table.record_store_recovery(now);
    assert!(
        table
            .replace(Vec::new(), StoreRevision::new(9), now)
            .is_empty()
    );
    assert_eq!(ready_count(&table), 1);
    let later = now + Duration::from_secs(2);
    assert_eq!(table.drop_expired(later), [UpstreamChange::Left(id)]);
    assert_eq!(ready_count(&table), 0);
}

#[test]
fn removal_without_an_outage_applies_at_once() {
    let mut table = UpstreamTable::default();
    let now = Instant::now();
    let id: UpstreamId = "a".parse().expect("a name");
    table.put(
        &id,
        Some(entry("a", UpstreamPhase::Ready)),
        StoreRevision::new(5),
        now,
    );
    table.remove(&id, StoreRevision::new(6), now);
    assert_eq!(ready_count(&table), 0);
}

fn vm(name: &str, stage: VmStage) -> VmRecord {
    let number = name.len() as u8;
    VmRecord {
        vm: name.parse().expect("a name"),
        incarnation: 1,
        front: ([10, 0, 0, number], 80).into(),
        gossip: ([10, 0, 0, number], 81).into(),
        data_centre: "z1".parse().expect("a name"),
        stage,
    }
}

#[test]
fn silent_vm_is_excluded_at_once_while_most_are_heard() {
    let mut table = PeerTable::default();
    let now = Instant::now();
    for name in ["a", "bb", "ccc"] {
        table.put_listed(vm(name, VmStage::Serving), now);
    }
    for name in ["a", "bb", "ccc"] {
        table.apply_gossip(vm(name, VmStage::Serving), true, now);
    }
    assert_eq!(table.serving(CONTACT_TIMEOUT, now).len(), 3);
    let later = now + Duration::from_millis(1500);
    table.apply_gossip(vm("a", VmStage::Serving), true, later);
    table.apply_gossip(vm("bb", VmStage::Serving), true, later);
    assert_eq!(table.serving(CONTACT_TIMEOUT, later).len(), 2);
}

/// Where half of the VMs were removed, the others named them as long as the store listed them.
#[test]
fn vm_that_ended_is_not_named_where_most_vms_ended_with_it() {
    let mut table = PeerTable::default();
    let now = Instant::now();
    for name in ["a", "bb", "ccc"] {
        table.put_listed(vm(name, VmStage::Serving), now);
        table.apply_gossip(vm(name, VmStage::Serving), true, now);
    }
    let cut_off = now + CONTACT_TIMEOUT;
    // This VM may be cut off for a moment, so the others are named until the timeout.
    assert_eq!(table.serving(CONTACT_TIMEOUT, cut_off).len(), 3);
    let later = cut_off + Duration::from_millis(1);
    assert_eq!(table.serving(CONTACT_TIMEOUT, later).len(), 0);
    table.apply_gossip(vm("a", VmStage::Serving), true, later);
    assert_eq!(table.serving(CONTACT_TIMEOUT, later).len(), 1);
}

/// The store lists a VM for some time after its end, and longer after an outage. VMs that start
/// then have never heard of it.
#[test]
fn vm_that_started_does_not_name_those_that_ended_before() {
    let mut table = PeerTable::default();
    let now = Instant::now();
    table.put_listed(vm("a", VmStage::Serving), now);
    table.put_listed(vm("bb", VmStage::Serving), now);
    assert_eq!(table.serving(CONTACT_TIMEOUT, now).len(), 0);
    table.apply_gossip(vm("bb", VmStage::Serving), true, now);
    let named: Vec<&VmRecord> = table.serving(CONTACT_TIMEOUT, now);
    assert_eq!(named, [&vm("bb", VmStage::Serving)]);
}

#[test]
fn leaving_vm_is_not_in_address_answers() {
    let mut table = PeerTable::default();
    let now = Instant::now();
    table.apply_gossip(vm("a", VmStage::Serving), true, now);
    table.apply_gossip(vm("bb", VmStage::Serving), true, now);
    table.put_listed(vm("bb", VmStage::Leaving), now);
    let own = vm("ccc", VmStage::Serving);
    let mut records = table.serving(CONTACT_TIMEOUT, now);
    records.push(&own);
    let addresses = addresses_of(&records, Some("z1"));
    assert_eq!(addresses.len(), 2);
    assert!(!addresses.contains(&vm("bb", VmStage::Leaving).front));
}

#[test]
fn retries_stay_within_the_fleet_budget() {
    let rule = RetryRule {
        ratio: 0.2,
        slack: 60.0,
        window: Duration::from_secs(10),
    };
    let service: ServiceName = "svc".into();
    let now = Instant::now();
    let vms = 6;
    let mut taken = 0;
    for _ in 0..vms {
        let mut budget = RetryBudget::new(rule);
        for _ in 0..50 {
            budget.count_request(&service, now);
        }
        taken += (0..100)
            .filter(|_| budget.try_take_retry(&service, vms, now))
            .count();
        let later = now + Duration::from_secs(11);
        assert!(budget.try_take_retry(&service, vms, later));
    }
    assert!(taken as f64 <= 0.2 * 300.0 + 60.0);
    assert!(taken > 40);
}

#[test]
fn events_are_split_at_their_ends_for_all_chunk_sizes() {
    let text = "id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: half";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut events = 0;
        let mut last = None;
        for part in text.as_bytes().chunks(size) {
            if let Some(batch) = splitter.push(part) {
                passed.extend_from_slice(&batch.bytes);
                events += batch.events;
                last = batch.last_id.or(last);
            }
        }
        assert!(splitter.has_partial());
        assert!(text.as_bytes().starts_with(&passed));
        assert!(passed.ends_with(b"data: b\r\n\r\n"), "cut by {size}");
        assert_eq!((events, last.as_deref()), (2, Some("2")), "cut by {size}");
    }
}

#[test]
fn event_without_a_data_field_is_not_counted() {
    let mut splitter = EventSplitter::default();
    let stream = b"database: x\n\ndata: y\n\n:\n\ndata\n\n";
    let batch = splitter.push(stream).expect("events are complete");
    assert_eq!(batch.events, 2);
}

/// Returns a position after the store came back from an older copy.
fn after_return(number: u64) -> StoreRevision {
    StoreRevision::in_era(StoreEra(1), number)
}

fn started_entry(name: &str, phase: UpstreamPhase) -> UpstreamEntry {
    UpstreamEntry {
        started_ms: Some(1_000),
        slots: 8,
        cold_left: Duration::ZERO,
        ..entry(name, phase)
    }
}

#[test]
fn draining_run_stays_away_though_an_older_copy_lists_it_as_ready() {
    let mut table = UpstreamTable::default();
    let now = Instant::now();
    let id: UpstreamId = "a".parse().expect("a name");
    let ready = started_entry("a", UpstreamPhase::Ready);
    table.put(&id, Some(ready.clone()), StoreRevision::new(5), now);
    let draining = started_entry("a", UpstreamPhase::Draining);
    table.put(&id, Some(draining), StoreRevision::new(9), now);
    table.enter_era(now);
    let listed = vec![(id.clone(), Some(ready.clone()), after_return(5))];
    table.replace(listed, after_return(8), now);
    assert_eq!(ready_count(&table), 0);
    // A later run under the same id is another one.
    let restarted = UpstreamEntry {
        started_ms: Some(2_000),
        slots: 8,
        cold_left: Duration::ZERO,
        ..ready
    };
    table.put(&id, Some(restarted), after_return(10), now);
    assert_eq!(ready_count(&table), 1);
}

#[test]
fn removed_run_in_an_older_copy_is_used_only_if_it_stays_listed() {
    let mut table = UpstreamTable::default();
    let now = Instant::now();
    for name in ["a", "b"] {
        let id: UpstreamId = name.parse().expect("a name");
        let ready = started_entry(name, UpstreamPhase::Ready);
        table.put(&id, Some(ready), StoreRevision::new(5), now);
        table.remove(&id, StoreRevision::new(9), now);
    }
    table.enter_era(now);
    for name in ["a", "b"] {
        let id: UpstreamId = name.parse().expect("a name");
        let ready = started_entry(name, UpstreamPhase::Ready);
        table.put(&id, Some(ready), after_return(5), now);
    }
    assert_eq!(ready_count(&table), 0);
    let removed: UpstreamId = "a".parse().expect("a name");
    table.remove(&removed, after_return(9), now);
    assert!(table.release_withheld(now).is_empty());
    let later = now + Duration::from_secs(3);
    assert_eq!(table.release_withheld(later).len(), 1);
    assert_eq!(ready_count(&table), 1);
}

#[test]
fn outdated_record_of_the_store_does_not_replace_what_a_vm_announces() {
    let mut table = PeerTable::default();
    let now = Instant::now();
    let announced = VmRecord {
        incarnation: 2,
        ..vm("a", VmStage::Serving)
    };
    table.apply_gossip(announced, true, now);
    let outdated = VmRecord {
        incarnation: 1,
        ..vm("a", VmStage::Leaving)
    };
    table.put_listed(outdated, now);
    let serving: Vec<u64> = table
        .serving(CONTACT_TIMEOUT, now)
        .iter()
        .map(|record| record.incarnation)
        .collect();
    assert_eq!(serving, [2]);
}
