//! Features of requests that crash upstreams: which prompt parts are blamed, by whom they are
//! refused, and for how long.

mod feature_table;

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::EvidenceView;
use snipegate_gateway::FeatureNews;
use snipegate_gateway::FeatureSet;
use snipegate_gateway::FeatureTable;
use snipegate_gateway::QuarantineRecord;
use snipegate_gateway::QuarantineState;
use snipegate_gateway::QuarantineTable;
use snipegate_types::PartId;

use crate::feature_table::DEADLY;
use crate::feature_table::FIRST;
use crate::feature_table::OBJECTION_TIME;
use crate::feature_table::SUBJECT;
use crate::feature_table::TestTable;
use crate::feature_table::prompt;
use crate::feature_table::run;
use crate::feature_table::set;
use crate::feature_table::vm;
use crate::feature_table::whole;

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

#[test]
fn many_quarantined_requests_do_not_push_out_a_quarantined_part() {
    let now = Instant::now();
    let mut table = QuarantineTable::default();
    table.impose(&set(&[DEADLY]), now);
    for digest in 0..600 {
        table.impose(&FeatureSet::new(vec![whole(digest)]), now);
    }
    assert!(table.find(&prompt(&[DEADLY])).is_some());
    assert!(table.records().len() <= 256);
}
