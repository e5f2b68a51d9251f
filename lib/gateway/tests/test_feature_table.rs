//! Features of requests that crash upstreams: which are blamed, by whom they are refused, and for how
//! long.

mod crash_simulation;

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::EvidenceView;
use snipegate_gateway::FeatureChange;
use snipegate_gateway::FeatureNews;
use snipegate_gateway::FeatureSet;
use snipegate_gateway::FeatureTable;
use snipegate_gateway::QuarantineRecord;
use snipegate_gateway::QuarantineState;
use snipegate_gateway::QuarantineTable;
use snipegate_gateway::RequestFeature;
use snipegate_gateway::UpstreamRun;
use snipegate_types::PartId;
use snipegate_types::RequestDigest;
use snipegate_types::VmId;

use crate::crash_simulation::COMPANION_PART;
use crate::crash_simulation::CrashSimulation;
use crate::crash_simulation::SimulatedCause;
use crate::crash_simulation::SimulationConfig;

const OBJECTION_TIME: Duration = Duration::from_millis(230);

/// Requests with the crashing part that may be sent once the fleet should know it.
const TOLERATED_SENDS: usize = 3;

const FIRST: PartId = PartId(1);
const SUBJECT: PartId = PartId(2);
const DEADLY: PartId = PartId(3);

fn prompt(ids: &[PartId]) -> Vec<RequestFeature> {
    ids.iter().copied().map(RequestFeature::Part).collect()
}

fn whole(digest: u64) -> RequestFeature {
    RequestFeature::Whole(RequestDigest(digest))
}

fn run(upstream: u32) -> UpstreamRun {
    UpstreamRun {
        service: 1,
        upstream,
        started_ms: None,
    }
}

fn vm(name: &str) -> VmId {
    name.parse().expect("name should be valid")
}

fn set(ids: &[PartId]) -> FeatureSet {
    FeatureSet::new(prompt(ids))
}

/// A table and its clock.
struct TestTable {
    table: FeatureTable,
    now: Instant,
    crashes: u32,
}

impl TestTable {
    fn new() -> Self {
        Self {
            table: FeatureTable::default(),
            now: Instant::now() + Duration::from_secs(3600),
            crashes: 0,
        }
    }

    /// Another upstream crashes 300 ms later, with these parts unanswered.
    fn crash(&mut self, ids: &[PartId]) {
        self.pass(Duration::from_millis(300));
        self.crash_now(ids);
    }

    fn crash_now(&mut self, ids: &[PartId]) {
        self.crashes += 1;
        let ended = run(self.crashes);
        self.table
            .record_crash(ended, self.now, prompt(ids), self.now);
    }

    /// Another upstream crashes 300 ms later, with these requests unanswered.
    fn crash_of(&mut self, requests: &[Vec<RequestFeature>]) {
        self.pass(Duration::from_millis(300));
        self.crash_now_of(requests);
    }

    fn crash_now_of(&mut self, requests: &[Vec<RequestFeature>]) {
        self.crashes += 1;
        let ended = run(self.crashes);
        let now = self.now;
        self.table.record_crash(ended, now, requests.concat(), now);
    }

    fn answer_of(&mut self, features: &[RequestFeature]) {
        self.pass(Duration::from_millis(1));
        self.table.record_answer(features, self.now, self.now);
    }

    fn is_request_refused(&mut self, features: &[RequestFeature]) -> bool {
        self.review();
        self.table.refused(features).is_some()
    }

    fn answer(&mut self, ids: &[PartId]) {
        self.pass(Duration::from_millis(1));
        self.table.record_answer(&prompt(ids), self.now, self.now);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    fn review(&mut self) -> Vec<FeatureChange> {
        self.table
            .review(OBJECTION_TIME, EvidenceView::Fleet, self.now)
    }

    fn is_refused(&mut self, ids: &[PartId]) -> bool {
        self.review();
        self.table.refused(&prompt(ids)).is_some()
    }

    fn quarantined(&mut self) -> Vec<FeatureSet> {
        self.review();
        self.pass(OBJECTION_TIME);
        self.review();
        let records = self.table.records().into_iter();
        records.map(|record| record.features).collect()
    }
}

#[test]
fn part_at_three_crashes_without_an_answer_is_refused_and_its_sound_company_is_not() {
    let mut test = TestTable::new();
    test.answer(&[FIRST, SUBJECT]);
    for _ in 0..2 {
        test.crash(&[FIRST, SUBJECT, DEADLY]);
        assert!(!test.is_refused(&[FIRST, SUBJECT, DEADLY]));
        test.answer(&[FIRST]);
    }
    test.crash(&[FIRST, SUBJECT, DEADLY]);
    assert!(test.is_refused(&[FIRST, SUBJECT, DEADLY]));
    assert!(!test.is_refused(&[FIRST, SUBJECT]));
    assert_eq!(test.quarantined(), [set(&[DEADLY])]);
}

#[test]
fn parts_that_come_only_together_are_refused_only_together() {
    let mut test = TestTable::new();
    test.answer(&[FIRST]);
    for _ in 0..3 {
        test.crash(&[FIRST, SUBJECT, DEADLY]);
    }
    assert_eq!(test.quarantined(), [set(&[SUBJECT, DEADLY])]);
    assert!(!test.is_refused(&[FIRST, SUBJECT]));
    assert!(!test.is_refused(&[FIRST, DEADLY]));
    // An answer to one of them puts the blame on the other alone.
    test.answer(&[FIRST, SUBJECT]);
    assert!(test.is_refused(&[FIRST, DEADLY]));
    assert!(!test.is_refused(&[FIRST, SUBJECT]));
}

#[test]
fn sound_part_beside_two_deadly_ones_is_refused_only_with_them() {
    let mut test = TestTable::new();
    test.answer(&[FIRST]);
    for _ in 0..3 {
        test.crash(&[FIRST, SUBJECT, DEADLY]);
    }
    assert_eq!(test.quarantined(), [set(&[SUBJECT, DEADLY])]);
    let other = PartId(4);
    for _ in 0..3 {
        test.crash(&[FIRST, SUBJECT, other]);
    }
    assert!(test.is_refused(&[FIRST, SUBJECT, other]));
    assert!(!test.is_refused(&[FIRST, SUBJECT]));
    test.answer(&[FIRST, SUBJECT]);
    assert!(test.is_refused(&[FIRST, other]));
    assert!(test.is_refused(&[FIRST, DEADLY]));
}

#[test]
fn sound_part_that_got_into_a_refused_set_by_chance_is_not_blamed_for_earlier_crashes() {
    let rare = PartId(9);
    let mut witness = TestTable::new();
    witness.crash(&[rare]);
    witness.crash(&[rare]);
    let news = witness.table.news(&vm("a"), witness.now);
    // A VM that starts now reads the set, and hears of two of the crashes that led to it.
    let mut test = TestTable::new();
    test.now = witness.now + Duration::from_millis(300);
    let stored = QuarantineRecord {
        features: set(&[SUBJECT, DEADLY, rare]),
        ..record(1, QuarantineState::Active, 0)
    };
    test.table.merge(vec![stored], test.now);
    test.table
        .apply_news(news.expect("there is news"), witness.now);
    assert!(!test.is_refused(&[FIRST, rare]));
}

#[test]
fn part_that_is_suspected_most_is_reported_though_a_crash_leaves_many_prompts() {
    let mut test = TestTable::new();
    let deadly = PartId(u64::MAX);
    let mut listener = FeatureTable::default();
    for crash in 0..3_u64 {
        let others = (0..40).map(|part| PartId(1000 * crash + part));
        let ids: Vec<PartId> = others.chain([deadly]).collect();
        test.crash(&ids);
        let news = test.table.news(&vm("a"), test.now).expect("there is news");
        listener.apply_news(news, test.now);
    }
    listener.review(OBJECTION_TIME, EvidenceView::Fleet, test.now);
    assert!(listener.refused(&prompt(&[deadly])).is_some());
}

#[test]
fn all_crashes_of_a_moment_are_told_though_a_message_has_room_for_few() {
    let mut test = TestTable::new();
    for crash in 0..20 {
        test.crash_now(&[PartId(100 + crash)]);
    }
    let mut told = Vec::new();
    for _ in 0..3 {
        let news = test.table.news(&vm("a"), test.now).expect("there is news");
        told.extend(news.crashes.iter().map(|report| report.run.upstream));
    }
    told.sort();
    told.dedup();
    assert_eq!(told.len(), 20);
}

#[test]
fn deadly_part_in_ever_new_company_is_refused_alone_after_six_crashes() {
    let mut test = TestTable::new();
    let companies = [10, 10, 10, 11, 11, 12].map(PartId);
    for company in companies {
        assert!(!test.is_refused(&[company, DEADLY]));
        test.crash(&[company, DEADLY]);
        test.review();
        test.pass(OBJECTION_TIME);
    }
    assert!(test.is_refused(&[PartId(13), DEADLY]));
}

#[test]
fn crashes_at_the_same_moment_put_blame_on_no_part() {
    let mut test = TestTable::new();
    test.pass(Duration::from_secs(1));
    for _ in 0..9 {
        test.pass(Duration::from_millis(5));
        test.crash_now(&[FIRST, SUBJECT]);
    }
    assert!(!test.is_refused(&[FIRST, SUBJECT]));
}

#[test]
fn part_answered_before_takes_more_crashes_to_be_blamed() {
    let mut test = TestTable::new();
    test.answer(&[DEADLY]);
    for _ in 0..4 {
        test.crash(&[DEADLY]);
    }
    assert!(!test.is_refused(&[DEADLY]));
    test.crash(&[DEADLY]);
    assert!(test.is_refused(&[DEADLY]));
}

#[test]
fn crashes_of_a_blamed_part_do_not_count_against_parts_beside_it() {
    let mut test = TestTable::new();
    for _ in 0..3 {
        test.crash(&[SUBJECT, DEADLY]);
        test.crash(&[DEADLY]);
    }
    assert_eq!(test.quarantined(), [set(&[DEADLY])]);
    // Another part crashes upstreams as well, with the subject beside it.
    let other = PartId(4);
    for _ in 0..3 {
        test.crash(&[SUBJECT, other]);
        test.crash(&[other]);
    }
    let mut sets = test.quarantined();
    sets.sort();
    assert_eq!(sets, [set(&[DEADLY]), set(&[other])]);
}

#[test]
fn one_crash_reported_by_many_vms_counts_once() {
    let mut test = TestTable::new();
    test.crash(&[DEADLY]);
    for name in ["a", "b", "c"] {
        let mut reporter = FeatureTable::default();
        let later = test.now + Duration::from_millis(200);
        reporter.record_crash(run(1), later, prompt(&[DEADLY]), later);
        let news = reporter.news(&vm(name), later).expect("there is news");
        test.table.apply_news(news, later);
    }
    assert!(!test.is_refused(&[DEADLY]));
}

#[test]
fn answer_known_to_another_vm_clears_a_blamed_part_before_it_is_quarantined() {
    let mut test = TestTable::new();
    for _ in 0..3 {
        test.crash(&[SUBJECT]);
    }
    assert!(test.is_refused(&[SUBJECT]));
    // The other VM hears of the crashes, and tells of its answer.
    let mut other = FeatureTable::default();
    other.record_answer(&prompt(&[SUBJECT]), test.now, test.now);
    let crashes = test.table.news(&vm("a"), test.now).expect("there is news");
    other.apply_news(crashes, test.now);
    let answers = other.news(&vm("b"), test.now).expect("there is news");
    test.table.apply_news(answers, test.now);
    assert!(!test.is_refused(&[SUBJECT]));
    assert!(test.quarantined().is_empty());
}

#[test]
fn memory_stays_bounded_whatever_parts_callers_send() {
    let mut test = TestTable::new();
    for crash in 0..2000_u64 {
        let ids: Vec<PartId> = (0..100).map(|part| PartId(crash * 100 + part)).collect();
        test.crash(&ids);
        test.answer(&ids);
        test.crash(&ids);
    }
    assert!(test.table.suspect_count() <= 1024);
    let news = test.table.news(&vm("a"), test.now).expect("there is news");
    let bytes = rmp_serde::to_vec(&news).expect("news should encode");
    assert!(bytes.len() < 16 * 1024, "{} bytes", bytes.len());
}

#[test]
fn vm_that_hears_few_others_takes_more_crashes_to_blame() {
    let mut test = TestTable::new();
    for crash in 1..=5 {
        test.crash(&[DEADLY]);
        let changes = test
            .table
            .review(OBJECTION_TIME, EvidenceView::Minority, test.now);
        assert_eq!(changes.is_empty(), crash < 5, "crash {crash}");
    }
}

#[test]
fn crash_of_an_upstream_that_was_wrongly_reported_before_counts_at_its_own_time() {
    let mut test = TestTable::new();
    // To a VM that is cut off all upstreams seem to crash at once.
    for upstream in 1..=3 {
        let (ended, now) = (run(upstream), test.now);
        test.table.record_crash(ended, now, prompt(&[SUBJECT]), now);
    }
    for upstream in 1..=3 {
        test.pass(Duration::from_secs(2));
        let (ended, now) = (run(upstream), test.now);
        test.table.record_crash(ended, now, prompt(&[DEADLY]), now);
    }
    assert!(test.is_refused(&[DEADLY]));
    assert!(!test.is_refused(&[SUBJECT]));
}

#[test]
fn restarted_vm_is_not_told_to_suspect_parts_that_were_answered() {
    let mut test = TestTable::new();
    test.crash(&[FIRST, DEADLY]);
    test.answer(&[FIRST]);
    test.table.announce_all(test.now);
    let news = test.table.news(&vm("a"), test.now).expect("there is news");
    assert_eq!(news.crashes[0].features, prompt(&[DEADLY]));
}

#[test]
fn rare_part_at_few_of_many_crashes_is_not_blamed_early() {
    let mut test = TestTable::new();
    for crash in 0..4 {
        test.crash(&[SUBJECT]);
        for other in 0..5 {
            test.crash(&[PartId(100 + 10 * crash + other)]);
        }
    }
    assert!(!test.is_refused(&[SUBJECT]));
    test.crash(&[SUBJECT]);
    assert!(test.is_refused(&[SUBJECT]));
}

#[test]
fn records_of_builds_that_knew_only_parts_can_be_read() {
    let earlier = rmp_serde::to_vec(&(vec![DEADLY], 1_u64, QuarantineState::Active, 0_u32))
        .expect("record should encode");
    let decoded: QuarantineRecord =
        rmp_serde::from_slice(&earlier).expect("record should be decoded");
    assert_eq!(decoded, record(1, QuarantineState::Active, 0));
    let whole = QuarantineRecord {
        features: FeatureSet::new(vec![whole(9)]),
        ..decoded
    };
    let bytes = rmp_serde::to_vec(&whole).expect("record should encode");
    let decoded: QuarantineRecord =
        rmp_serde::from_slice(&bytes).expect("record should be decoded");
    assert_eq!(decoded, whole);
}

/// The parts of a prompt and the whole of it.
fn request(digest: u64, parts: &[PartId]) -> Vec<RequestFeature> {
    let mut features = prompt(parts);
    features.push(whole(digest));
    features
}

#[test]
fn request_at_all_of_two_crashes_is_refused_and_others_with_its_parts_are_not() {
    let mut test = TestTable::new();
    let deadly = request(7, &[FIRST, SUBJECT]);
    test.crash_of(&[deadly.clone(), request(1, &[FIRST])]);
    assert!(!test.is_request_refused(&deadly));
    test.crash_of(&[deadly.clone(), request(2, &[FIRST])]);
    assert!(test.is_request_refused(&deadly));
    assert!(!test.is_request_refused(&request(8, &[FIRST, SUBJECT])));
    // Upstreams also crash on those that were sent before it was known.
    for _ in 0..2 {
        test.crash_of(std::slice::from_ref(&deadly));
    }
    assert_eq!(test.quarantined(), [FeatureSet::new(vec![whole(7)])]);
    assert!(!test.is_request_refused(&request(8, &[FIRST, SUBJECT])));
}

#[test]
fn request_at_two_of_more_crashes_takes_a_third_to_be_refused() {
    let mut test = TestTable::new();
    for digest in [1, 7, 2, 7] {
        test.crash_of(&[request(digest, &[])]);
    }
    assert!(!test.is_request_refused(&request(7, &[])));
    test.crash_of(&[request(7, &[])]);
    assert!(test.is_request_refused(&request(7, &[])));
}

#[test]
fn sound_request_that_is_sent_again_beside_a_deadly_one_is_not_refused_with_it() {
    let mut test = TestTable::new();
    for _ in 0..2 {
        test.crash_of(&[request(7, &[]), request(8, &[])]);
    }
    assert!(!test.is_request_refused(&request(7, &[])));
    assert!(!test.is_request_refused(&request(8, &[])));
    test.crash_of(&[request(7, &[]), request(9, &[])]);
    assert!(test.is_request_refused(&request(7, &[])));
    assert!(!test.is_request_refused(&request(8, &[])));
}

#[test]
fn request_answered_before_takes_more_crashes_to_be_blamed_and_an_answer_clears_it() {
    let mut test = TestTable::new();
    test.answer_of(&request(7, &[]));
    for _ in 0..3 {
        test.crash_of(&[request(7, &[])]);
    }
    assert!(!test.is_request_refused(&request(7, &[])));
    test.answer_of(&request(7, &[]));
    test.crash_of(&[request(7, &[])]);
    assert!(!test.is_request_refused(&request(7, &[])));
    for _ in 0..3 {
        test.crash_of(&[request(7, &[])]);
    }
    assert!(test.is_request_refused(&request(7, &[])));
}

#[test]
fn request_that_runs_at_many_upstreams_of_a_lost_rack_is_not_blamed() {
    let mut test = TestTable::new();
    for _ in 0..5 {
        test.pass(Duration::from_millis(1));
        test.crash_now_of(&[request(7, &[])]);
    }
    assert!(!test.is_request_refused(&request(7, &[])));
}

#[test]
fn vm_that_hears_few_others_takes_three_crashes_to_blame_a_request() {
    let mut test = TestTable::new();
    for crash in 1..=3 {
        test.crash_of(&[request(7, &[])]);
        let view = EvidenceView::Minority;
        let changes = test.table.review(OBJECTION_TIME, view, test.now);
        assert_eq!(changes.is_empty(), crash < 3, "crash {crash}");
    }
}

#[test]
fn deadly_part_is_refused_though_one_request_with_it_came_twice() {
    let mut test = TestTable::new();
    test.crash_of(&[request(7, &[FIRST, DEADLY])]);
    test.answer(&[FIRST]);
    test.crash_of(&[request(7, &[FIRST, DEADLY])]);
    for digest in 8..10 {
        assert!(!test.is_request_refused(&request(digest, &[FIRST, DEADLY])));
        test.crash_of(&[request(digest, &[FIRST, DEADLY])]);
    }
    assert!(test.is_request_refused(&request(10, &[FIRST, DEADLY])));
    assert!(!test.is_request_refused(&request(10, &[FIRST])));
}

#[test]
fn crashes_of_another_service_do_not_count_against_the_evidence() {
    let mut test = TestTable::new();
    for crash in 0..3_u64 {
        test.crash(&[DEADLY]);
        for other in 0..4 {
            test.crashes += 1;
            let ended = UpstreamRun {
                service: 2,
                ..run(test.crashes)
            };
            let features = request(100 + 10 * crash + other, &[]);
            let now = test.now;
            test.table.record_crash(ended, now, features, now);
        }
    }
    assert!(test.is_refused(&[DEADLY]));
}

#[test]
fn request_is_found_though_every_crash_leaves_many_sound_ones() {
    let mut test = TestTable::new();
    let mut listener = FeatureTable::default();
    for crash in 0..2_u64 {
        let sound = (0..200).map(|number| request(1000 * crash + number, &[FIRST]));
        let requests: Vec<_> = sound.chain([request(u64::MAX, &[FIRST])]).collect();
        test.crash_of(&requests);
        let news = test.table.news(&vm("a"), test.now).expect("there is news");
        listener.apply_news(news, test.now);
        for known in 0..200 {
            test.answer_of(&request(1000 * crash + known, &[FIRST]));
        }
    }
    // The first crash leaves more requests than a report has room for.
    let requests = [request(u64::MAX, &[FIRST])];
    for _ in 0..2 {
        test.crash_of(&requests);
        let news = test.table.news(&vm("a"), test.now).expect("there is news");
        listener.apply_news(news, test.now);
    }
    listener.review(OBJECTION_TIME, EvidenceView::Fleet, test.now);
    assert!(listener.refused(&requests[0]).is_some());
}

fn record(changes: u64, state: QuarantineState, trials: u32) -> QuarantineRecord {
    QuarantineRecord {
        features: set(&[DEADLY]),
        changes,
        state,
        trials,
    }
}

#[test]
fn vms_that_merge_the_same_records_in_any_order_agree() {
    arbtest::arbtest(|draw| {
        let mut records = Vec::new();
        for _ in 0..draw.int_in_range(1..=6)? {
            let state = match draw.ratio(1, 2)? {
                true => QuarantineState::Active,
                false => QuarantineState::Released,
            };
            let changes = draw.int_in_range(1..=3)?;
            records.push(record(changes, state, draw.int_in_range(0..=2)?));
        }
        let now = Instant::now();
        let mut ordered = QuarantineTable::default();
        let mut reversed = QuarantineTable::default();
        for record in &records {
            ordered.merge(record.clone(), now);
        }
        for record in records.iter().rev() {
            reversed.merge(record.clone(), now);
        }
        assert_eq!(ordered.records(), reversed.records());
        Ok(())
    });
}

#[test]
fn quarantine_ends_by_a_trial_that_is_answered_and_trials_grow_rarer() {
    let start = Instant::now();
    let mut table = QuarantineTable::default();
    table.impose(&set(&[DEADLY]), start);
    let parts = prompt(&[FIRST, DEADLY]);
    let mut last_delay = Duration::ZERO;
    let mut now = start;
    for _ in 0..3 {
        let active = table.find(&parts).expect("the part is quarantined");
        let delay = active.trial_at - now;
        assert!(delay > last_delay);
        last_delay = delay;
        now = active.trial_at;
        table.merge(QuarantineTable::trial_of(&active.record), now);
    }
    // An answer that began before the last change says nothing of it.
    assert!(table.release(&parts, now, now).is_empty());
    let answered_at = now + Duration::from_millis(5);
    let released = table.release(&parts, answered_at, answered_at);
    assert_eq!(released.len(), 1);
    assert_eq!(table.find(&parts), None);
}

#[test]
fn released_part_is_not_blamed_again_for_the_crashes_before_its_release() {
    let mut test = TestTable::new();
    for _ in 0..3 {
        test.crash(&[DEADLY]);
    }
    assert_eq!(test.quarantined().len(), 1);
    let news = FeatureNews {
        sender: vm("b"),
        crashes: Vec::new(),
        answers: Vec::new(),
        quarantine: vec![record(2, QuarantineState::Released, 1)],
    };
    test.table.apply_news(news, test.now);
    assert!(!test.is_refused(&[DEADLY]));
    test.pass(OBJECTION_TIME);
    assert!(!test.is_refused(&[DEADLY]));
}

fn fleet(vms: usize, seed: u64) -> SimulationConfig {
    let (upstreams, sound_rate, crashing_rate, contact_time) = match vms {
        0..20 => (9, 60.0, 1.1, Duration::from_secs(3)),
        20..100 => (60, 400.0, 7.5, Duration::from_secs(4)),
        _ => (117, 700.0, 14.0, Duration::from_secs(5)),
    };
    SimulationConfig {
        vms,
        upstreams,
        sound_rate,
        crashing_rate,
        cause: SimulatedCause::Part,
        companion_rate: 0.5,
        resend_share: 0.0,
        other_crash_rate: 0.0,
        disturbance_rate: 0.0,
        loss: 0.02,
        contact_time,
        seed,
    }
}

/// Checks that the bound of the fleet holds, and that every quarantined set is the crashing
/// request, or the crashing part, also with its companion.
fn check_fleet(simulation: &CrashSimulation, config: &SimulationConfig) {
    let late = simulation.late_sends();
    assert!(late <= TOLERATED_SENDS, "{late} late sends: {config:?}");
    for record in simulation.records() {
        let features = record.features.features();
        let cause = config.cause.feature();
        assert!(features.contains(&cause), "{record:?}: {config:?}");
        let companion = RequestFeature::Part(COMPANION_PART);
        let is_known = |feature: &RequestFeature| *feature == cause || *feature == companion;
        assert!(features.iter().all(is_known), "{record:?}: {config:?}");
    }
}

#[test]
fn fleets_of_all_sizes_stop_sending_a_crashing_part_and_refuse_nothing_sound() {
    for (vms, seed) in [(6, 1), (6, 2), (9, 3), (66, 4), (195, 5)] {
        let config = fleet(vms, seed);
        let mut simulation = CrashSimulation::new(config);
        simulation.run(Duration::from_secs(12));
        check_fleet(&simulation, &config);
        assert!(!simulation.records().is_empty(), "{config:?}");
        assert_eq!(simulation.refused_sound, 0, "{config:?}");
        assert!(simulation.companion_sends > 0, "{config:?}");
    }
}

#[test]
fn fleets_of_all_sizes_stop_sending_a_crashing_request_and_refuse_nothing_sound() {
    for (vms, seed) in [(6, 1), (6, 2), (9, 3), (66, 4), (195, 5)] {
        let config = SimulationConfig {
            cause: SimulatedCause::Request,
            resend_share: 0.5,
            ..fleet(vms, seed)
        };
        let mut simulation = CrashSimulation::new(config);
        simulation.run(Duration::from_secs(12));
        check_fleet(&simulation, &config);
        assert!(!simulation.records().is_empty(), "{config:?}");
        assert_eq!(simulation.refused_sound, 0, "{config:?}");
        assert!(simulation.companion_sends > 0, "{config:?}");
    }
}

#[test]
fn bound_of_the_fleet_for_a_request_holds_with_cuts_restarts_and_other_crashes() {
    for seed in 0..16 {
        let config = SimulationConfig {
            cause: SimulatedCause::Request,
            resend_share: 0.5,
            other_crash_rate: 0.3,
            disturbance_rate: 0.8,
            loss: 0.2,
            ..fleet(if seed < 15 { 6 } else { 66 }, seed)
        };
        let mut simulation = CrashSimulation::new(config);
        simulation.run(Duration::from_secs(12));
        check_fleet(&simulation, &config);
    }
}

#[test]
fn bound_of_the_fleet_holds_with_cuts_restarts_and_other_crashes() {
    for seed in 0..16 {
        let config = SimulationConfig {
            other_crash_rate: 0.3,
            disturbance_rate: 0.8,
            loss: 0.2,
            ..fleet(if seed < 15 { 6 } else { 66 }, seed)
        };
        let mut simulation = CrashSimulation::new(config);
        simulation.run(Duration::from_secs(12));
        check_fleet(&simulation, &config);
    }
}

#[test]
fn vms_that_are_all_restarted_at_once_know_the_crashing_part_from_the_store() {
    for seed in 0..10 {
        let config = fleet(6, seed);
        let mut simulation = CrashSimulation::new(config);
        simulation.run(Duration::from_secs(10));
        simulation.restart_all();
        let before = simulation.crashing_sends.len();
        simulation.run(Duration::from_secs(6));
        check_fleet(&simulation, &config);
        if simulation.crashes.len() >= 3 {
            assert_eq!(simulation.crashing_sends.len(), before, "{config:?}");
        }
    }
}

#[test]
fn crashes_that_no_part_explains_put_blame_on_none() {
    for seed in 0..11 {
        let config = SimulationConfig {
            crashing_rate: 0.0,
            other_crash_rate: 1.5,
            disturbance_rate: 0.5,
            loss: 0.1,
            ..fleet(if seed < 10 { 9 } else { 66 }, seed)
        };
        let mut simulation = CrashSimulation::new(config);
        simulation.run(Duration::from_secs(20));
        assert_eq!(simulation.records(), [], "{config:?}");
        let refused = simulation.refused_sound;
        assert_eq!(refused, 0, "{config:?}");
    }
}
