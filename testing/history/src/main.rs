//! `snipegate-history`: checks histories recorded as JSON lines.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use snipegate_history::CheckLimits;
use snipegate_history::HistoryEvent;
use snipegate_history::HistorySummary;
use snipegate_history::check_history;

/// Exit code if the history violates a requirement.
const EXIT_VIOLATIONS: u8 = 1;

/// Exit code if a file cannot be read or parsed.
const EXIT_UNREADABLE: u8 = 2;

fn command() -> Command {
    let seconds = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value("8")
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("snipegate-history")
        .about("Checks recorded runs against the requirements")
        .arg(
            Arg::new("file")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Files of JSON lines, one event each"),
        )
        .arg(seconds(
            "leaving-seconds",
            "Time that a leaving upstream may still get work",
        ))
        .arg(seconds(
            "config-seconds",
            "Time until a change is in force everywhere",
        ))
}

fn read_events(path: &PathBuf) -> Result<Vec<HistoryEvent>, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| {
            serde_json::from_str(line)
                .map_err(|error| format!("{}:{}: {error}", path.display(), index + 1))
        })
        .collect()
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let seconds = |name| Duration::from_secs(*matches.get_one(name).unwrap_or(&8));
    let limits = CheckLimits {
        leaving: seconds("leaving-seconds"),
        config: seconds("config-seconds"),
    };
    let files = matches.get_many::<PathBuf>("file").unwrap_or_default();
    let mut events = Vec::new();
    for path in files {
        match read_events(path) {
            Ok(read) => events.extend(read),
            Err(message) => {
                eprintln!("{message}");
                return ExitCode::from(EXIT_UNREADABLE);
            }
        }
    }
    events.sort_by_key(|event| event.at_us);
    let violations = check_history(&events, &limits);
    for violation in &violations {
        println!("{violation}");
    }
    println!("{}", HistorySummary::new(&events));
    if violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_VIOLATIONS)
    }
}
