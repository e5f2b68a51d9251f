//! Traces, made-up loads, streamed answers, figures and stated outcomes.

use std::path::Path;
use std::time::Duration;

use snipegate_load::ErrorDetail;
use snipegate_load::EventParser;
use snipegate_load::ExperimentName;
use snipegate_load::LoadMix;
use snipegate_load::RequestEnd;
use snipegate_load::RequestOutcome;
use snipegate_load::RunReport;
use snipegate_load::StreamEvent;
use snipegate_load::TraceExpectation;
use snipegate_load::TraceRecord;
use snipegate_load::TraceWork;
use snipegate_load::parse_trace;
use snipegate_load::plot_reports;
use snipegate_load::read_trace;

const LINE: &str = r#"{"at_ms":5,"workspace":"w","profile":"p","model":"m","prompt":{"words":{"own":3,"shared":2,"prefix":"x"}},"max_tokens":4}"#;

fn mix(experiment: ExperimentName, seed: u64) -> LoadMix {
    LoadMix {
        experiment,
        rate: 100.0,
        span: Duration::from_secs(30),
        seed,
        workspaces: vec!["w".parse().unwrap()],
        profile: "p".parse().unwrap(),
        model: "m".parse().unwrap(),
        max_tokens: 8,
    }
}

fn outcome(record: usize, end: RequestEnd, millis: u64) -> RequestOutcome {
    let time = Duration::from_millis(millis);
    RequestOutcome {
        record,
        end,
        first_token: Some(time),
        between_tokens: Vec::new(),
        total: time,
        send_delay: Duration::ZERO,
        billed_tokens: 10,
        prompt_tokens: 8,
        cached_tokens: 4,
        foreign_text: false,
    }
}

#[test]
fn records_are_read_and_wrong_ones_named() {
    let records = parse_trace(&format!("# a comment\n\n{LINE}\n")).unwrap();
    assert_eq!(records[0].prompt_text(7), "x0 x1 r7w0 r7w1 r7w2");
    assert!(records[0].repeatable);
    assert_eq!(records[0].at(2.0), Duration::from_micros(2_500));
    let wrong = [
        LINE.replace("\"max_tokens\":4", "\"max_tokens\":0"),
        LINE.replace("\"at_ms\":5", "\"at_ms\":-5"),
        LINE.replace("\"model\":\"m\"", "\"nothing\":\"m\""),
        LINE.replace("\"model\":\"m\"", "\"service\":\"s\",\"repeatable\":false"),
        LINE.replace("\"own\":3", "\"own\":3000000"),
    ];
    for line in wrong {
        let error = parse_trace(&format!("{LINE}\n{line}")).unwrap_err();
        assert!(error.to_string().contains("line 2"), "{error}: {line}");
    }
}

#[test]
fn mixes_repeat_by_seed_and_keep_their_rate() {
    let one = mix(ExperimentName::SharedPrefix, 1).records();
    assert_eq!(one, mix(ExperimentName::SharedPrefix, 1).records());
    assert_ne!(one, mix(ExperimentName::SharedPrefix, 2).records());
    // Four standard deviations of a Poisson count of 3,000.
    assert!((2_781..=3_219).contains(&one.len()), "{}", one.len());
    let peak = mix(ExperimentName::Peak, 1).records();
    let middle = |record: &&TraceRecord| (10_000..20_000).contains(&record.at_ms);
    assert!(peak.iter().filter(middle).count() > peak.len() * 3 / 4);
}

#[test]
fn streamed_answer_is_read_however_it_is_cut() {
    let stream = concat!(
        "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n",
        "data: {\"choices\":[{\"delta\":{\"content\":\"caf\u{e9} \"}}]}\n\n",
        ": a comment\n\n",
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,",
        "\"prompt_tokens_details\":{\"cached_tokens\":3}}}\r\n\r\n",
        "data: {\"error\":{\"code\":3005,\"name\":\"upstream_failed\",\"run\":\"unknown\"}}\n\n",
        "data: [DONE]\n\n",
    )
    .as_bytes();
    let expected = [
        StreamEvent::Text("caf\u{e9} ".to_owned()),
        StreamEvent::Usage {
            prompt: 7,
            cached: 3,
            completion: 2,
        },
        StreamEvent::Failed(ErrorDetail {
            code: 3005,
            name: "upstream_failed".to_owned(),
            run: "unknown".to_owned(),
        }),
        StreamEvent::Done,
    ];
    for size in 1..stream.len() {
        let mut parser = EventParser::default();
        let events: Vec<_> = stream.chunks(size).flat_map(|c| parser.push(c)).collect();
        assert_eq!(events, expected, "cut every {size} bytes");
    }
}

#[test]
fn figures_count_ends_and_time_only_whole_answers() {
    let records = parse_trace(&[LINE; 100].join("\n")).unwrap();
    let refused = RequestEnd::Refused(ErrorDetail {
        code: 2001,
        name: "budget_exhausted".to_owned(),
        run: "not_run".to_owned(),
    });
    let outcomes: Vec<_> = (0..100)
        .map(|i| match i {
            0..90 => outcome(i, RequestEnd::Answered, 1 + i as u64),
            _ => outcome(i, refused.clone(), 5_000),
        })
        .collect();
    let report = RunReport::new("r", 1, &records, &outcomes, Duration::from_secs(10));
    assert_eq!(report.results["answered"], 90);
    assert_eq!(report.results["2001 budget_exhausted"], 10);
    assert_eq!(report.run_states["not_run"], 10);
    assert_eq!(report.goodput, 9.0);
    assert_eq!(report.cache_hit_share, 0.5);
    let close = |value: f64, wanted: f64| (value - wanted).abs() <= wanted * 0.002;
    assert!(close(report.total.p50, 45.0), "{}", report.total.p50);
    assert!(close(report.total.most, 90.0), "{}", report.total.most);
    assert!(plot_reports(&[report]).unwrap().contains("<svg"));
}

#[test]
fn results_that_were_not_stated_are_differences() {
    let records = parse_trace(LINE).unwrap();
    let outcomes = [outcome(0, RequestEnd::Answered, 1)];
    let report = RunReport::new("r", 1, &records, &outcomes, Duration::from_secs(1));
    let stated = |text: &str| serde_json::from_str::<TraceExpectation>(text).unwrap();
    let as_run = stated(r#"{"requests":1,"by_workspace":{"w":{"answered":{"least":1,"most":1}}}}"#);
    assert!(as_run.differences(&report).is_empty());
    let other = stated(r#"{"requests":2,"by_workspace":{"w":{"broken":{"least":1}}}}"#);
    // The number of requests, the one missing result and the one not named.
    assert_eq!(other.differences(&report).len(), 3);
}

#[test]
fn traces_of_the_repository_agree_with_their_stated_outcomes() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    for name in ["carnaval", "sale-day"] {
        let records = read_trace(&directory.join(format!("{name}.jsonl"))).unwrap();
        let text = std::fs::read_to_string(directory.join(format!("{name}.expected.json")));
        let expected: TraceExpectation = serde_json::from_str(&text.unwrap()).unwrap();
        assert_eq!(records.len() as u64, expected.requests);
        for record in &records {
            assert!(
                expected
                    .by_workspace
                    .contains_key(record.workspace.as_str())
            );
            if let TraceWork::Service(service) = &record.work {
                assert!(expected.by_service.contains_key(service.as_str()));
            }
        }
    }
}
