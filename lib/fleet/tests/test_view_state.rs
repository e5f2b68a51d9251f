//! Tests of the merging of updates: in whatever order updates arrive, no key reverts
//! to an older version, and no change up to `complete_to` is missing.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use snipegate_fleet::FleetKey;
use snipegate_fleet::MergeOutcome;
use snipegate_fleet::ViewFreshness;
use snipegate_fleet::ViewReply;
use snipegate_fleet::ViewScope;
use snipegate_fleet::ViewState;
use snipegate_platform::StoreChange;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::WatchBatch;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;
use snipegate_types::ResultCode;

const PROCESSES: usize = 4;
const KEYS: u64 = 7;
const PAGE_KEYS: usize = 2;
const STEPS: usize = 120;
const SEEDS: u64 = 400;
const SEED_BYTES: u64 = 4_096;

/// The complete history of a store, from which any reply can be generated.
#[derive(Default)]
struct FakeStore {
    changes: Vec<StoreChange>,
    compacted: u64,
}

impl FakeStore {
    fn revision(&self) -> StoreRevision {
        StoreRevision::new(self.changes.len() as u64)
    }

    fn write(&mut self, key: u64, value: Option<&str>) {
        let revision = StoreRevision::new(self.changes.len() as u64 + 1);
        let value = value.map(|text| {
            text.replace("REVISION", &revision.number.to_string())
                .into_bytes()
        });
        self.changes.push(StoreChange {
            key: key_name(key),
            revision,
            value,
        });
    }

    fn at(&self, revision: StoreRevision) -> BTreeMap<String, &StoreChange> {
        let known = self.changes.iter().filter(|c| c.revision <= revision);
        known.map(|change| (change.key.clone(), change)).collect()
    }

    fn page(&self, after: Option<&str>) -> StoreListing {
        let entries: Vec<(String, StoredValue)> = self
            .at(self.revision())
            .into_iter()
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
            .filter_map(|(key, change)| {
                let value = change.value.clone()?;
                let revision = change.revision;
                Some((key, StoredValue { revision, value }))
            })
            .collect();
        let cut = entries.len() > PAGE_KEYS;
        let entries: Vec<_> = entries.into_iter().take(PAGE_KEYS).collect();
        StoreListing {
            revision: self.revision(),
            more_after: cut.then(|| entries[entries.len() - 1].0.clone()),
            entries,
        }
    }

    fn watch(&self, after: StoreRevision) -> WatchBatch {
        if after.number < self.compacted {
            return WatchBatch::Compacted;
        }
        let newer = self.changes.iter().filter(|c| c.revision > after);
        WatchBatch::Changes {
            revision: self.revision(),
            changes: newer.cloned().collect(),
        }
    }
}

fn key_name(key: u64) -> String {
    format!("{}p{key}", FleetKey::PROFILE_PREFIX)
}

const VALID: &str = r#"{"model":"m","priority":1,"default_output_tokens":1,
    "max_output_tokens":9,"deadline_ms":REVISION,"requests_per_second":1,
    "concurrent_requests":1}"#;
const INVALID: &str = r#"{"model":"m"}"#;

enum Message {
    Watch(StoreRevision, WatchBatch),
    Reply(StoreRevision, Box<ViewReply>),
}

struct Process {
    state: ViewState,
    /// The revision of each key at the last check.
    checked: BTreeMap<String, StoreRevision>,
    listing_after: Option<String>,
    /// Replies that have not arrived yet, with the times of their requests.
    in_flight: Vec<(Message, Instant)>,
}

impl Process {
    fn new() -> Self {
        Self {
            state: ViewState::new(),
            checked: BTreeMap::new(),
            listing_after: None,
            in_flight: Vec::new(),
        }
    }

    fn list(&mut self, store: &FakeStore, now: Instant) {
        if self.listing_after.is_none() {
            self.state.begin_listing();
        }
        let page = store.page(self.listing_after.as_deref());
        self.state.apply_page(&page, now);
        self.listing_after = page.more_after;
    }

    fn receive(&mut self, message: Message, requested_at: Instant) -> MergeOutcome {
        match message {
            Message::Watch(after, batch) => self.state.apply_watch(after, &batch, requested_at),
            Message::Reply(after, reply) => self.state.apply_reply(after, &reply, requested_at),
        }
    }

    /// Checks the state of this process against the history of the store.
    fn check(&mut self, store: &FakeStore) {
        for key in (0..KEYS).map(key_name) {
            let revision = self.state.revision_of(&key).unwrap_or_default();
            let before = self.checked.insert(key.clone(), revision);
            let before = before.unwrap_or_default();
            assert!(revision >= before, "{key} went from {before} to {revision}");
            if let Some(record) = self.state.record(&key) {
                let written = &store.changes[revision.number as usize - 1];
                let json = String::from_utf8(record.to_json()).expect("JSON is UTF-8");
                assert_eq!(written.key, key, "record belongs to another key");
                assert!(json.contains(&format!("\"deadline_ms\":{revision},")));
            }
        }
        for (key, change) in store.at(self.state.complete_to()) {
            let applied = self.state.revision_of(&key).unwrap_or_default();
            let rejected = self.state.rejected().get(&key).map(|r| r.revision);
            let newest = applied.max(rejected.unwrap_or_default());
            // The later pages of a listing may lack keys that were removed after the
            // first page was read.
            let removed = store.changes.iter().any(|later| {
                later.key == key && later.value.is_none() && later.revision >= change.revision
            });
            let absent = removed && self.state.record(&key).is_none();
            assert!(
                absent || newest >= change.revision,
                "{key}: complete to {} without {}",
                self.state.complete_to(),
                change.revision
            );
        }
    }
}

fn keeper_id(process: usize) -> IncarnationId {
    IncarnationId {
        vm: format!("vm-{process}").parse().expect("a name"),
        role: ProcessRole::Keeper,
        start: 1,
    }
}

/// Runs processes that merge updates from a store and from each other in any order.
fn check_merging(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let start = Instant::now();
    let mut store = FakeStore::default();
    let mut processes: Vec<Process> = (0..PROCESSES).map(|_| Process::new()).collect();
    for step in 0..STEPS {
        let now = start + Duration::from_millis(step as u64);
        let at = u.choose_index(PROCESSES)?;
        match u.int_in_range(0..=13)? {
            0..=2 => store.write(u.int_in_range(0..=KEYS - 1)?, Some(VALID)),
            3 => store.write(u.int_in_range(0..=KEYS - 1)?, None),
            4 => store.write(u.int_in_range(0..=KEYS - 1)?, Some(INVALID)),
            5 => store.compacted = u.int_in_range(store.compacted..=store.revision().number)?,
            6 => processes[at] = Process::new(),
            7 | 8 => processes[at].list(&store, now),
            9 => {
                let after = processes[at].state.complete_to();
                let message = Message::Watch(after, store.watch(after));
                processes[at].in_flight.push((message, now));
            }
            10 | 11 => {
                let peer = u.choose_index(PROCESSES)?;
                let after = processes[at].state.complete_to();
                let reply =
                    processes[peer]
                        .state
                        .reply_to(&keeper_id(peer), after, ViewScope::Whole, now);
                let message = Message::Reply(after, Box::new(reply));
                processes[at].in_flight.push((message, now));
            }
            _ => {
                let waiting = processes[at].in_flight.len();
                if waiting > 0 {
                    let chosen = u.choose_index(waiting)?;
                    let (message, requested_at) = processes[at].in_flight.swap_remove(chosen);
                    processes[at].receive(message, requested_at);
                }
            }
        }
        processes
            .iter_mut()
            .for_each(|process| process.check(&store));
    }
    converge(&store, &mut processes, start);
    Ok(())
}

/// Lists the store in every process and checks that all processes reach its state.
fn converge(store: &FakeStore, processes: &mut [Process], now: Instant) {
    for process in processes.iter_mut() {
        process.listing_after = None;
        process.list(store, now);
        while process.listing_after.is_some() {
            process.list(store, now);
        }
        process.check(store);
        assert_eq!(process.state.complete_to(), store.revision());
        for (key, change) in store.at(store.revision()) {
            if change.value.is_none() {
                assert!(process.state.record(&key).is_none(), "{key} was restored");
            }
        }
    }
}

#[test]
fn test_no_key_reverts_and_no_change_is_missing() {
    for number in 0..SEEDS {
        arbtest(check_merging).seed(SEED_BYTES | number << 32);
    }
}

/// Creates a view state that holds the complete content of the store.
fn synchronized_state(store: &FakeStore, now: Instant) -> ViewState {
    let mut process = Process::new();
    process.list(store, now);
    while process.listing_after.is_some() {
        process.list(store, now);
    }
    process.state
}

#[test]
fn test_peer_does_not_restore_a_removed_key() {
    let now = Instant::now();
    let mut store = FakeStore::default();
    store.write(0, Some(VALID));
    let old = synchronized_state(&store, now);
    store.write(0, None);
    let mut state = synchronized_state(&store, now);
    let reply = old.reply_to(&keeper_id(1), StoreRevision::new(0), ViewScope::Whole, now);
    state.apply_reply(StoreRevision::new(0), &reply, now);
    assert!(state.record(&key_name(0)).is_none());
}

#[test]
fn test_nothing_is_served_before_a_configuration_is_known() {
    let now = Instant::now();
    let mut state = ViewState::new();
    assert_eq!(state.view().freshness(now), ViewFreshness::Missing);
    let empty =
        ViewState::new().reply_to(&keeper_id(1), StoreRevision::new(0), ViewScope::Whole, now);
    state.apply_reply(StoreRevision::new(0), &empty, now);
    let refusal = state.view().freshness(now).refusal();
    assert_eq!(refusal, Some(ResultCode::ConfigMissing));
}

/// Creates a view state with settings that specify the given stale policy.
fn state_with_policy(policy: &str, now: Instant) -> ViewState {
    let value = format!(r#"{{"stale_policy":"{policy}"}}"#).into_bytes();
    let revision = StoreRevision::new(1);
    let page = StoreListing {
        revision,
        entries: vec![(
            FleetKey::Settings.to_string(),
            StoredValue { revision, value },
        )],
        more_after: None,
    };
    let mut state = ViewState::new();
    state.apply_page(&page, now);
    state
}

#[test]
fn test_stale_policy_applies_to_a_stale_configuration() {
    let now = Instant::now();
    let old = now + Duration::from_secs(9);
    let refusing = state_with_policy("refuse", now).view();
    assert_eq!(refusing.freshness(now).refusal(), None);
    assert_eq!(
        refusing.freshness(old).refusal(),
        Some(ResultCode::ConfigStale)
    );
    let serving = state_with_policy("serve", now).view();
    assert_eq!(serving.freshness(old).refusal(), None);
}

#[test]
fn test_view_from_a_peer_has_at_least_the_age_reported_by_the_peer() {
    let now = Instant::now();
    let peer = state_with_policy("refuse", now);
    let later = now + Duration::from_secs(5);
    let mut state = ViewState::new();
    state.apply_reply(
        StoreRevision::new(0),
        &peer.reply_to(
            &keeper_id(1),
            StoreRevision::new(0),
            ViewScope::Whole,
            later,
        ),
        later,
    );
    assert!(state.age(later) >= Some(Duration::from_secs(5)));
}
