//! `snipegate-load`: load generator.

use std::error::Error;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use serde::de::DeserializeOwned;
use snipegate_load::AddressPool;
use snipegate_load::ExperimentName;
use snipegate_load::RunComparison;
use snipegate_load::RunPlan;
use snipegate_load::RunReport;
use snipegate_load::SyntheticLoad;
use snipegate_load::TargetKind;
use snipegate_load::TraceExpectation;
use snipegate_load::TraceRecord;
use snipegate_load::build_command;
use snipegate_load::get_values;
use snipegate_load::plot_reports;
use snipegate_load::read_trace;
use snipegate_load::run_open_loop;
use snipegate_types::ModelName;
use snipegate_types::ProfileName;

/// Exit code if the results differ from the expected results.
const EXIT_MISMATCH: u8 = 1;

/// Exit code if the input is invalid.
const EXIT_INVALID_INPUT: u8 = 2;

type CommandResult = Result<ExitCode, Box<dyn Error>>;

#[ntex::main]
async fn main() -> ExitCode {
    let matches = build_command().get_matches();
    let result = match matches.subcommand() {
        Some(("run", matches)) => run_load(TargetKind::Router, matches).await,
        Some(("direct", matches)) => run_load(TargetKind::Direct, matches).await,
        Some(("check", matches)) => check(matches),
        Some(("compare", matches)) => compare(matches),
        _ => unreachable!("a subcommand is required"),
    };
    result.unwrap_or_else(|error| {
        eprintln!("snipegate-load: {error}");
        ExitCode::from(EXIT_INVALID_INPUT)
    })
}

async fn run_load(kind: TargetKind, matches: &ArgMatches) -> CommandResult {
    let (records, speed) = load_records(matches)?;
    let addresses = match (
        get_values(matches, "router"),
        get_values(matches, "directory"),
    ) {
        (_, directories) if !directories.is_empty() => AddressPool::from_directories(directories),
        (routers, _) if !routers.is_empty() => AddressPool::fixed(routers),
        _ => AddressPool::fixed(get_values(matches, "engine")),
    };
    let plan = RunPlan {
        kind,
        addresses,
        api_keys: get_values(matches, "key").into_iter().collect(),
        speed,
    };
    let (outcomes, elapsed) = run_open_loop(plan, records.clone()).await;
    let label: &String = required_value(matches, "label");
    let seed = *required_value(matches, "seed");
    let report = RunReport::new(label, seed, &records, &outcomes, elapsed);
    print_report(&report);
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        let text = serde_json::to_string_pretty(&report)?;
        write_file(path, &(text + "\n"))?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        write_file(path, &plot_reports(std::slice::from_ref(&report))?)?;
    }
    match matches.get_one::<PathBuf>("expected") {
        Some(path) => check_report(&report, &read_json(path)?),
        None => Ok(ExitCode::SUCCESS),
    }
}

/// Reads a trace or generates records. Returns the records and the replay speed.
fn load_records(matches: &ArgMatches) -> Result<(Vec<TraceRecord>, f64), Box<dyn Error>> {
    if let Some(path) = matches.get_one::<PathBuf>("trace") {
        return Ok((read_trace(path)?, *required_value(matches, "speed")));
    }
    let experiment: &String = required_value(matches, "experiment");
    let synthetic_load = SyntheticLoad {
        experiment: experiment.parse::<ExperimentName>()?,
        rate: *required_value(matches, "rate"),
        duration: Duration::from_secs_f64(*required_value(matches, "seconds")),
        seed: *required_value(matches, "seed"),
        workspaces: get_values(matches, "workspace"),
        profile: required_value::<ProfileName>(matches, "profile").clone(),
        model: required_value::<ModelName>(matches, "model").clone(),
        max_tokens: *required_value(matches, "max-tokens"),
    };
    Ok((synthetic_load.generate(), 1.0))
}

fn required_value<'a, T: Clone + Send + Sync + 'static>(
    matches: &'a ArgMatches,
    name: &str,
) -> &'a T {
    matches
        .get_one(name)
        .unwrap_or_else(|| unreachable!("{name} is required or has a default"))
}

fn print_report(report: &RunReport) {
    println!(
        "{} requests in {:.1} s, {:.1} whole answers/s, {} tokens billed",
        report.requests, report.seconds, report.goodput, report.billed_tokens
    );
    for (name, latency) in [
        ("first token", &report.first_token),
        ("between tokens", &report.between_tokens),
        ("total", &report.total),
    ] {
        println!(
            "{name:15} p50 {:9.2} ms  p95 {:9.2} ms  p99 {:9.2} ms",
            latency.p50, latency.p95, latency.p99
        );
    }
    for (name, count) in &report.results {
        println!("{count:8} {name}");
    }
}

fn check(matches: &ArgMatches) -> CommandResult {
    let report = read_json(required_value::<PathBuf>(matches, "result"))?;
    let expected = read_json(required_value::<PathBuf>(matches, "expected"))?;
    check_report(&report, &expected)
}

fn check_report(report: &RunReport, expected: &TraceExpectation) -> CommandResult {
    let differences = expected.differences(report);
    for difference in &differences {
        println!("not as stated: {difference}");
    }
    Ok(match differences.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_MISMATCH),
    })
}

fn compare(matches: &ArgMatches) -> CommandResult {
    let before: RunReport = read_json(required_value::<PathBuf>(matches, "before"))?;
    let after: RunReport = read_json(required_value::<PathBuf>(matches, "after"))?;
    let comparison = RunComparison {
        before: &before,
        after: &after,
    };
    print!("{comparison}");
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        write_file(path, &plot_reports(&[before, after])?)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, Box<dyn Error>> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()).into())
}

fn write_file(path: &Path, text: &str) -> Result<(), Box<dyn Error>> {
    fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()).into())
}
