//! Whole requests that crash upstreams: which are blamed, and after how many crashes.

mod feature_table;

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::EvidenceView;
use snipegate_gateway::FeatureSet;
use snipegate_gateway::FeatureTable;
use snipegate_gateway::UpstreamRun;

use crate::feature_table::DEADLY;
use crate::feature_table::FIRST;
use crate::feature_table::OBJECTION_TIME;
use crate::feature_table::SUBJECT;
use crate::feature_table::TestTable;
use crate::feature_table::request;
use crate::feature_table::run;
use crate::feature_table::vm;
use crate::feature_table::whole;

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

#[test]
fn answer_known_to_another_vm_clears_a_request_that_comes_again_at_many_vms() {
    let sound = request(7, &[]);
    let mut test = TestTable::new();
    let mut other = FeatureTable::default();
    for _ in 0..2 {
        test.crash_of(std::slice::from_ref(&sound));
        let crashes = test.table.news(&vm("a"), test.now).expect("there is news");
        other.apply_news(crashes, test.now);
        test.pass(Duration::from_millis(20));
        let is_first = test.crashes == 1;
        if is_first {
            other.record_answer(&sound, test.now, test.now);
        }
    }
    assert!(test.is_request_refused(&sound));
    let answers = other.news(&vm("b"), test.now).expect("there is news");
    test.table.apply_news(answers, test.now);
    assert!(!test.is_request_refused(&sound));
    assert!(test.quarantined().is_empty());
}

#[test]
fn request_that_a_full_report_leaves_out_once_is_reported_after_a_later_crash() {
    // Each crash is seen by another VM, with more requests than a report has room for.
    let deadly = request(u64::MAX, &[]);
    let mut listener = FeatureTable::default();
    let mut now = Instant::now() + Duration::from_secs(3600);
    for crash in 0..16_u64 {
        now += Duration::from_millis(300);
        let mut witness = FeatureTable::default();
        let sound = (0..80).map(|number| request(1000 * crash + number, &[]));
        let features = sound.chain([deadly.clone()]).flatten().collect();
        witness.record_crash(run(crash as u32), now, features, now);
        let news = witness.news(&vm("a"), now).expect("there is news");
        listener.apply_news(news, now);
    }
    listener.review(OBJECTION_TIME, EvidenceView::Fleet, now);
    assert!(listener.refused(&deadly).is_some());
}
