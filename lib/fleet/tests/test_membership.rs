//! Tests of fleet membership.
//!
//! Suspicions reach all keepers and can be refuted. Only the removal of the VM or a
//! later incarnation proves that a process has ended. A later incarnation replaces
//! an earlier one, never the reverse.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use snipegate_fleet::DeathCause;
use snipegate_fleet::DeathWatch;
use snipegate_fleet::FleetKey;
use snipegate_fleet::FleetView;
use snipegate_fleet::HEARTBEAT_PERIOD;
use snipegate_fleet::LeavePhase;
use snipegate_fleet::LeavePlan;
use snipegate_fleet::MemberLiveness;
use snipegate_fleet::MemberRecord;
use snipegate_fleet::MemberState;
use snipegate_fleet::MemberTable;
use snipegate_fleet::PROPAGATION_BOUND;
use snipegate_fleet::Registration;
use snipegate_fleet::RegistrationStep;
use snipegate_fleet::ViewState;
use snipegate_fleet::choose_start;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::ListedVm;
use snipegate_platform::StoreError;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_platform::VmListing;
use snipegate_platform::VmState;
use snipegate_types::IncarnationId;
use snipegate_types::ProcessRole;
use snipegate_types::ShardId;

const SEEDS: u64 = 500;
const SEED_BYTES: u64 = 1_024;

fn run_of(vm: usize, role: ProcessRole, start: u64) -> IncarnationId {
    let vm = format!("vm-{vm}").parse().expect("a name");
    IncarnationId { vm, role, start }
}

fn record(incarnation: IncarnationId) -> MemberRecord {
    MemberRecord {
        incarnation,
        data_centre: "mvd-centro".parse().expect("a name"),
        region: "uy-sur".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        peer_address: None,
        weight: 1,
        state: MemberState::Up,
        listed_at: None,
    }
}

fn view_of(records: &[MemberRecord]) -> FleetView {
    view_state_of(records).view()
}

fn view_state_of(records: &[MemberRecord]) -> ViewState {
    let entries = records.iter().enumerate().map(|(at, record)| {
        let key = FleetKey::Member(record.incarnation.vm.clone(), record.incarnation.role);
        let revision = StoreRevision::new(at as u64 + 1);
        let value = serde_json::to_vec(record).expect("records are JSON");
        (key.to_string(), StoredValue { revision, value })
    });
    let page = StoreListing {
        revision: StoreRevision::new(records.len() as u64 + 1),
        entries: entries.collect(),
        more_after: None,
    };
    let mut view_state = ViewState::new();
    view_state.apply_page(&page, Instant::now());
    view_state
}

fn listing(version: u64, vms: &[usize]) -> VmListing {
    let listed = |&vm: &usize| ListedVm {
        vm: run_of(vm, ProcessRole::Keeper, 0).vm,
        data_centre: "mvd-centro".parse().expect("a name"),
        state: VmState::Live,
    };
    VmListing {
        version,
        as_of_ms: 0,
        vms: vms.iter().map(listed).collect(),
    }
}

/// A simulated fleet of keepers that exchange heartbeats in rounds.
struct Fleet {
    members: Vec<IncarnationId>,
    tables: Vec<MemberTable>,
    now: Instant,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let keeper = |vm| run_of(vm, ProcessRole::Keeper, 1);
        let members: Vec<_> = (0..size).map(keeper).collect();
        let tables = members.iter().enumerate().map(|(seed, me)| {
            let mut table = MemberTable::new(me.clone(), seed as u64);
            table.set_members(members.iter());
            table
        });
        Self {
            tables: tables.collect(),
            members,
            now: Instant::now(),
        }
    }

    /// Runs one round of heartbeats, in which the `paused` keeper neither sends nor
    /// answers.
    fn round(&mut self, paused: Option<usize>) {
        self.now += HEARTBEAT_PERIOD;
        for from in (0..self.tables.len()).filter(|&from| Some(from) != paused) {
            for member in self.tables[from].probes() {
                let to = self
                    .members
                    .iter()
                    .position(|m| *m == member)
                    .expect("a member");
                if Some(to) == paused {
                    self.tables[from].probe_failed(&member, self.now);
                    continue;
                }
                let beat = self.tables[from].heartbeat(&member);
                self.tables[to].receive(&beat, self.now);
                let answer = self.tables[to].heartbeat(&beat.sender);
                self.tables[from].receive(&answer, self.now);
            }
        }
    }

    /// Returns the number of keepers that suspect the keeper on `vm`.
    fn count_suspecting(&self, vm: usize) -> usize {
        let suspects = |table: &MemberTable| {
            let found = table.liveness(self.now);
            found
                .iter()
                .any(|l| l.member == self.members[vm] && l.suspected)
        };
        self.tables.iter().filter(|table| suspects(table)).count()
    }
}

#[test]
fn test_suspicion_reaches_all_keepers_and_is_refuted() {
    for size in [3, 9, 60] {
        let mut fleet = Fleet::new(size);
        (0..20).for_each(|_| fleet.round(None));
        assert!((0..size).all(|vm| fleet.count_suspecting(vm) == 0));
        (0..30).for_each(|_| fleet.round(Some(1)));
        assert_eq!(fleet.count_suspecting(1), size - 1, "of {size}");
        // The paused keeper resumes, learns of the suspicion and refutes it.
        (0..30).for_each(|_| fleet.round(None));
        assert_eq!(fleet.count_suspecting(1), 0, "of {size}");
    }
}

#[test]
fn test_paused_process_is_suspected_but_never_proven_to_have_ended() {
    let records: Vec<_> = (0..3)
        .map(|vm| record(run_of(vm, ProcessRole::Keeper, 1)))
        .collect();
    let view = view_of(&records);
    let mut fleet = Fleet::new(3);
    (0..100).for_each(|_| fleet.round(Some(1)));
    assert_eq!(fleet.count_suspecting(1), 2);
    let mut deaths = DeathWatch::new();
    (1..50).for_each(|version| {
        deaths.observe(listing(version, &[0, 1, 2]));
    });
    assert_eq!(deaths.proof(&records[1].incarnation, &view), None);
}

#[test]
fn test_proof_of_death() {
    let old = run_of(1, ProcessRole::Router, 5);
    let view = view_of(&[record(run_of(1, ProcessRole::Router, 6))]);
    let mut deaths = DeathWatch::new();
    let by = run_of(1, ProcessRole::Router, 6);
    assert_eq!(
        deaths.proof(&old, &view),
        Some(DeathCause::Superseded { by: by.clone() })
    );
    let cause = DeathCause::Superseded { by: by.clone() };
    assert_eq!(cause.to_string(), "succeeded");
    // A VM that has never been listed does not count as removed.
    deaths.observe(listing(1, &[0]));
    assert_eq!(deaths.proof(&by, &view), None);
    deaths.observe(listing(2, &[0, 1]));
    // An older listing that arrives late is ignored.
    deaths.observe(listing(1, &[0]));
    assert_eq!(deaths.proof(&by, &view), None);
    deaths.observe(listing(3, &[0]));
    assert_eq!(
        deaths.proof(&by, &view),
        Some(DeathCause::VmGone { version: 3 })
    );
}

#[test]
fn test_new_keeper_proves_death_from_the_recorded_list_version() {
    let mut listed = record(run_of(1, ProcessRole::Keeper, 5));
    listed.listed_at = Some(4);
    let router = record(run_of(1, ProcessRole::Router, 5));
    let view = view_of(&[listed, router.clone()]);
    let mut deaths = DeathWatch::new();
    deaths.observe(listing(4, &[0]));
    assert_eq!(deaths.proof(&router.incarnation, &view), None);
    deaths.observe(listing(5, &[0]));
    let cause = deaths.proof(&router.incarnation, &view);
    assert_eq!(cause, Some(DeathCause::VmGone { version: 5 }));
}

/// A store with a single key.
#[derive(Default)]
struct FakeKey {
    stored: Option<StoredValue>,
    revision: u64,
}

impl FakeKey {
    fn swap(&mut self, expected: ExpectedVersion, value: Vec<u8>) -> SwapOutcome {
        let holds = match (&expected, &self.stored) {
            (ExpectedVersion::Absent, None) => true,
            (ExpectedVersion::At(at), Some(stored)) => stored.revision == *at,
            _ => false,
        };
        if !holds {
            return SwapOutcome::Conflict(self.stored.clone());
        }
        self.revision += 1;
        let revision = StoreRevision::new(self.revision);
        self.stored = Some(StoredValue { revision, value });
        SwapOutcome::Swapped(revision)
    }

    /// Returns the start of the registered incarnation, or 0 if there is none.
    fn start(&self) -> u64 {
        let parse = |stored: &StoredValue| serde_json::from_slice::<MemberRecord>(&stored.value);
        let record = self.stored.as_ref().map(|s| parse(s).expect("a record"));
        record.map_or(0, |record| record.incarnation.start)
    }
}

/// Runs three incarnations that register concurrently and whose replies may be lost.
fn check_registration(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let mut key = FakeKey::default();
    let run = |start| Registration::new(record(run_of(1, ProcessRole::Router, start)));
    let mut runs: Vec<Registration> = (1..=3).map(run).collect();
    let mut highest = 0;
    for _ in 0..60 {
        let at = u.choose_index(runs.len())?;
        let lost = u.ratio(1, 3)?;
        match runs[at].step() {
            RegistrationStep::Read => {
                let answer = if lost {
                    Err(StoreError::ReplyLost)
                } else {
                    Ok(key.stored.clone())
                };
                runs[at].handle_read(answer);
            }
            RegistrationStep::Write { expected, value } => {
                let outcome = key.swap(expected, value);
                runs[at].handle_write(if lost {
                    Err(StoreError::ReplyLost)
                } else {
                    Ok(outcome)
                });
            }
            RegistrationStep::Registered(_) => {
                runs[at].change(|record| record.state = MemberState::Leaving);
            }
            RegistrationStep::Superseded(by) => assert!(by.start > at as u64 + 1),
        }
        assert!(
            key.start() >= highest,
            "an earlier incarnation replaced a later one"
        );
        highest = key.start();
    }
    Ok(())
}

#[test]
fn test_earlier_incarnation_never_replaces_a_later_one() {
    for number in 0..SEEDS {
        arbtest(check_registration).seed(SEED_BYTES | number << 32);
    }
}

#[test]
fn test_lost_reply_is_resolved_by_reading() {
    let mut key = FakeKey::default();
    let mut registration = Registration::new(record(run_of(1, ProcessRole::Router, 1)));
    registration.handle_read(Ok(None));
    let RegistrationStep::Write { expected, value } = registration.step() else {
        panic!("expected a write");
    };
    key.swap(expected, value);
    registration.handle_write(Err(StoreError::ReplyLost));
    assert_eq!(registration.step(), RegistrationStep::Read);
    registration.handle_read(Ok(key.stored.clone()));
    let registered = RegistrationStep::Registered(StoreRevision::new(1));
    assert_eq!(registration.step(), registered);
}

#[test]
fn test_member_does_not_revert_the_leaving_state_set_by_an_operator() {
    let mut key = FakeKey::default();
    let own = record(run_of(1, ProcessRole::Router, 1));
    let mut registration = Registration::new(own.clone());
    let stored = serde_json::to_vec(&own).expect("records are JSON");
    key.swap(ExpectedVersion::Absent, stored);
    registration.handle_read(Ok(key.stored.clone()));
    let mut leaving = own;
    leaving.state = MemberState::Leaving;
    let stored = serde_json::to_vec(&leaving).expect("records are JSON");
    key.swap(ExpectedVersion::At(StoreRevision::new(1)), stored);
    // The member learns that its VM is listed before it learns of the operator's change.
    registration.change(|record| record.listed_at = Some(1));
    while let RegistrationStep::Write { expected, value } = registration.step() {
        registration.handle_write(Ok(key.swap(expected, value)));
    }
    let stored = key.stored.expect("a record").value;
    let stored: MemberRecord = serde_json::from_slice(&stored).expect("a record");
    assert_eq!(
        (stored.state, stored.listed_at),
        (MemberState::Leaving, Some(1))
    );
}

#[test]
fn test_start_increases_when_the_clock_is_set_back() {
    let registered = run_of(1, ProcessRole::Router, 100);
    assert_eq!(choose_start(50, Some(&registered)), 101);
    assert_eq!(choose_start(500, Some(&registered)), 500);
}

#[test]
fn test_only_shards_of_a_removed_keeper_move() {
    let members: Vec<_> = (0..20)
        .map(|vm| record(run_of(vm, ProcessRole::Keeper, 1)))
        .collect();
    let before = view_of(&members);
    let after = view_of(&members[1..]);
    let removed = &members[0].incarnation.vm;
    for shard in (0..256).map(ShardId) {
        let (old, new) = (before.shard_owner(shard), after.shard_owner(shard));
        let old = &old.expect("a keeper").id.0;
        assert_ne!(&new.expect("a keeper").id.0, removed);
        assert!(
            old == removed || old == &new.expect("a keeper").id.0,
            "shard {shard}"
        );
    }
}

#[test]
fn test_store_loss_is_announced_to_all_keepers_and_withdrawn() {
    for size in [3, 9, 60] {
        let mut fleet = Fleet::new(size);
        let count_informed = |fleet: &Fleet| {
            let lost = |table: &&MemberTable| {
                let found = table.liveness(fleet.now);
                found
                    .iter()
                    .any(|l| l.member == fleet.members[1] && l.store_lost && !l.suspected)
            };
            fleet.tables.iter().filter(lost).count()
        };
        fleet.tables[1].set_store_lost(true);
        (0..30).for_each(|_| fleet.round(None));
        assert_eq!(count_informed(&fleet), size, "of {size}");
        fleet.tables[1].set_store_lost(false);
        (0..30).for_each(|_| fleet.round(None));
        assert_eq!(count_informed(&fleet), 0, "of {size}");
    }
}

#[test]
fn test_shards_move_off_keepers_without_the_store_unless_all_lost_it() {
    let members: Vec<_> = (0..5)
        .map(|vm| record(run_of(vm, ProcessRole::Keeper, 1)))
        .collect();
    let before = view_of(&members);
    let lost = |members: &[MemberRecord]| {
        let liveness = members.iter().map(|record| MemberLiveness {
            store_lost: true,
            ..MemberLiveness::up(record.incarnation.clone())
        });
        liveness.collect()
    };
    let mut view_state = view_state_of(&members);
    view_state.set_liveness(lost(&members[..2]));
    let some_lost = view_state.view();
    view_state.set_liveness(lost(&members));
    let all_lost = view_state.view();
    for shard in (0..256).map(ShardId) {
        let owner = |view: &FleetView| view.shard_owner(shard).expect("a keeper").id.0.clone();
        let lost_store = |vm| members[..2].iter().any(|m| m.incarnation.vm == vm);
        assert!(!lost_store(owner(&some_lost)), "shard {shard}");
        assert!(lost_store(owner(&before)) || owner(&some_lost) == owner(&before));
        assert_eq!(owner(&all_lost), owner(&before), "shard {shard}");
    }
}

fn check_leave_plan(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let start = Instant::now();
    let cache_time = Duration::from_millis(u.int_in_range(0..=60_000)?);
    let mut plan = LeavePlan::new(cache_time);
    let mut now = start;
    let mut announced = None;
    let mut phases = VecDeque::new();
    for _ in 0..40 {
        now += Duration::from_millis(u.int_in_range(0..=5_000)?);
        if announced.is_none() && u.ratio(1, 4)? {
            plan.announced(now);
            announced = Some(now);
        }
        let open = u.int_in_range(0..=2)?;
        let phase = plan.phase(open, now);
        let expired = announced.is_some_and(|then| now >= then + PROPAGATION_BOUND + cache_time);
        match phase {
            LeavePhase::Announce => assert!(announced.is_none()),
            LeavePhase::Serve => assert!(phases.iter().all(|p| *p != LeavePhase::Drain)),
            LeavePhase::Drain => assert!(expired && open > 0),
            LeavePhase::Release => {
                assert!(expired && open == 0);
                plan.released();
            }
            LeavePhase::End => assert!(phases.contains(&LeavePhase::Release) && open == 0),
        }
        phases.push_back(phase);
    }
    Ok(())
}

#[test]
fn test_leaving_process_serves_until_cached_addresses_have_expired() {
    for number in 0..SEEDS {
        arbtest(check_leave_plan).seed(SEED_BYTES | number << 32);
    }
}
