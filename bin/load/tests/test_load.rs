//! Tests of traces, synthetic loads, response streams, reports and expected results.

use std::path::Path;
use std::time::Duration;

use snipegate_load::ErrorDetail;
use snipegate_load::EventParser;
use snipegate_load::ExperimentName;
use snipegate_load::RequestOutcome;
use snipegate_load::RequestResult;
use snipegate_load::RunReport;
use snipegate_load::StreamEvent;
use snipegate_load::SyntheticLoad;
use snipegate_load::TraceExpectation;
use snipegate_load::TraceRecord;
use snipegate_load::TraceWork;
use snipegate_load::parse_trace;
use snipegate_load::plot_reports;
use snipegate_load::read_trace;

const RECORD_LINE: &str = r#"{"at_ms":5,"workspace":"w","profile":"p","model":"m","prompt":{"words":{"own":3,"shared":2,"prefix":"x"}},"max_tokens":4}"#;

fn synthetic_load(experiment: ExperimentName, seed: u64) -> SyntheticLoad {
    SyntheticLoad {
        experiment,
        rate: 100.0,
        duration: Duration::from_secs(30),
        seed,
        workspaces: vec!["w".parse().unwrap()],
        profile: "p".parse().unwrap(),
        model: "m".parse().unwrap(),
        max_tokens: 8,
    }
}

fn outcome(record_index: usize, result: RequestResult, millis: u64) -> RequestOutcome {
    let time = Duration::from_millis(millis);
    RequestOutcome {
        record_index,
        result,
        first_token: Some(time),
        between_tokens: Vec::new(),
        total: time,
        send_delay: Duration::ZERO,
        billed_tokens: 10,
        prompt_tokens: 8,
        cached_tokens: 4,
        has_foreign_text: false,
    }
}

#[test]
fn parse_trace_reports_line_of_invalid_record() {
    let records = parse_trace(&format!("# a comment\n\n{RECORD_LINE}\n")).unwrap();
    assert_eq!(records[0].prompt_text(7), "x0 x1 r7w0 r7w1 r7w2");
    assert!(records[0].repeatable);
    assert_eq!(records[0].send_offset(2.0), Duration::from_micros(2_500));
    let invalid_lines = [
        RECORD_LINE.replace("\"max_tokens\":4", "\"max_tokens\":0"),
        RECORD_LINE.replace("\"at_ms\":5", "\"at_ms\":-5"),
        RECORD_LINE.replace("\"model\":\"m\"", "\"nothing\":\"m\""),
        RECORD_LINE.replace("\"model\":\"m\"", "\"service\":\"s\",\"repeatable\":false"),
        RECORD_LINE.replace("\"own\":3", "\"own\":3000000"),
    ];
    for line in invalid_lines {
        let error = parse_trace(&format!("{RECORD_LINE}\n{line}")).unwrap_err();
        assert!(error.to_string().contains("line 2"), "{error}: {line}");
    }
}

#[test]
fn synthetic_load_is_deterministic_and_keeps_its_rate() {
    let records = synthetic_load(ExperimentName::SharedPrefix, 1).generate();
    assert_eq!(
        records,
        synthetic_load(ExperimentName::SharedPrefix, 1).generate()
    );
    assert_ne!(
        records,
        synthetic_load(ExperimentName::SharedPrefix, 2).generate()
    );
    // Within four standard deviations of a Poisson count with mean 3,000.
    assert!(
        (2_781..=3_219).contains(&records.len()),
        "{}",
        records.len()
    );
    let peak = synthetic_load(ExperimentName::Peak, 1).generate();
    let in_peak = |record: &&TraceRecord| (10_000..20_000).contains(&record.at_ms);
    assert!(peak.iter().filter(in_peak).count() > peak.len() * 3 / 4);
}

#[test]
fn event_parser_accepts_any_chunk_size() {
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
        assert_eq!(events, expected, "chunks of {size} bytes");
    }
}

#[test]
fn report_counts_results_and_times_only_completed_requests() {
    let records = parse_trace(&[RECORD_LINE; 100].join("\n")).unwrap();
    let error_response = RequestResult::ErrorResponse(ErrorDetail {
        code: 2001,
        name: "budget_exhausted".to_owned(),
        run: "not_run".to_owned(),
    });
    let outcomes: Vec<_> = (0..100)
        .map(|i| match i {
            0..90 => outcome(i, RequestResult::Completed, 1 + i as u64),
            _ => outcome(i, error_response.clone(), 5_000),
        })
        .collect();
    let report = RunReport::new("r", 1, &records, &outcomes, Duration::from_secs(10));
    assert_eq!(report.results["answered"], 90);
    assert_eq!(report.results["2001 budget_exhausted"], 10);
    assert_eq!(report.run_states["not_run"], 10);
    assert_eq!(report.goodput, 9.0);
    assert_eq!(report.cache_hit_share, 0.5);
    let is_close = |value: f64, expected: f64| (value - expected).abs() <= expected * 0.002;
    assert!(is_close(report.total.p50, 45.0), "{}", report.total.p50);
    assert!(is_close(report.total.most, 90.0), "{}", report.total.most);
    assert!(plot_reports(&[report]).unwrap().contains("<svg"));
}

#[test]
fn differences_report_count_mismatches_and_unexpected_results() {
    let records = parse_trace(RECORD_LINE).unwrap();
    let outcomes = [outcome(0, RequestResult::Completed, 1)];
    let report = RunReport::new("r", 1, &records, &outcomes, Duration::from_secs(1));
    let parse = |text: &str| serde_json::from_str::<TraceExpectation>(text).unwrap();
    let matching =
        parse(r#"{"requests":1,"by_workspace":{"w":{"answered":{"least":1,"most":1}}}}"#);
    assert!(matching.differences(&report).is_empty());
    let mismatching = parse(r#"{"requests":2,"by_workspace":{"w":{"broken":{"least":1}}}}"#);
    // Number of requests, missing `broken` result, and unexpected `answered` result.
    assert_eq!(mismatching.differences(&report).len(), 3);
}

#[test]
fn repository_traces_match_their_expected_results() {
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
