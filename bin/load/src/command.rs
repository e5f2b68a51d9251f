//! Command line of the load generator.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgGroup;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;
use snipegate_types::ModelName;
use snipegate_types::ProfileName;
use snipegate_types::WorkspaceId;
use strum::IntoEnumIterator;

use crate::synthetic_load::ExperimentName;

const EXAMPLES: &str = "Examples:
  snipegate-load run --router 127.0.0.1:8080 --trace traces/carnaval.jsonl --key cusape-depots=secret --json result.json
  snipegate-load run --directory 127.0.0.1:8090 --experiment shared-prefix --rate 50 --seconds 30 --seed 7 --key w=secret
  snipegate-load direct --engine 127.0.0.1:9000 --experiment no-prefix --rate 50 --json direct.json
  snipegate-load check result.json traces/carnaval.expected.json
  snipegate-load compare before.json after.json --svg compare.svg

Exit codes: 0 as stated, 1 not as stated, 2 wrong usage or input.";

fn env_variable(name: &str) -> String {
    format!("SNIPEGATE_LOAD_{}", name.replace('-', "_").to_uppercase())
}

fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).env(env_variable(name)).help(help)
}

fn address_option(name: &'static str, help: &'static str) -> Arg {
    option(name, help)
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
}

fn file_option(name: &'static str, help: &'static str) -> Arg {
    option(name, help)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
}

fn number_option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option(name, help)
        .default_value(default)
        .value_parser(parse_positive)
}

fn parse_positive(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && number > 0.0 => Ok(number),
        _ => Err("expected a number above 0".to_owned()),
    }
}

/// Parses `workspace=key`.
fn parse_workspace_key(text: &str) -> Result<(WorkspaceId, String), String> {
    let (workspace, key) = text
        .split_once('=')
        .ok_or_else(|| "expected workspace=key".to_owned())?;
    let workspace = workspace.parse().map_err(|error| format!("{error}"))?;
    Ok((workspace, key.to_owned()))
}

fn add_load_arguments(command: Command) -> Command {
    let experiments = ExperimentName::iter().map(|name| name.to_string());
    command
        .arg(file_option(
            "trace",
            "Trace to replay, one JSON record a line",
        ))
        .arg(
            option("experiment", "Named experiment to make requests for")
                .value_parser(PossibleValuesParser::new(experiments)),
        )
        .group(
            ArgGroup::new("load")
                .args(["trace", "experiment"])
                .required(true),
        )
        .arg(number_option(
            "speed",
            "1",
            "How many times faster than recorded",
        ))
        .arg(number_option(
            "rate",
            "10",
            "Requests per second of an experiment",
        ))
        .arg(number_option("seconds", "10", "Length of an experiment"))
        .arg(
            option("seed", "Seed of an experiment")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option("workspace", "Workspaces of an experiment")
                .default_value("w")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(value_parser!(WorkspaceId)),
        )
        .arg(
            option("profile", "Profile of an experiment")
                .default_value("default")
                .value_parser(value_parser!(ProfileName)),
        )
        .arg(
            option("model", "Model of an experiment")
                .default_value("model")
                .value_parser(value_parser!(ModelName)),
        )
        .arg(
            option("max-tokens", "Most tokens of an answer in an experiment")
                .default_value("64")
                .value_parser(value_parser!(u32).range(1..)),
        )
        .arg(option("label", "Name of the run in results").default_value("run"))
        .arg(file_option("json", "Where to write the results"))
        .arg(file_option("svg", "Where to draw the results"))
        .arg(file_option(
            "expected",
            "Stated outcomes to check the results against",
        ))
}

/// Builds the command line definition.
pub fn build_command() -> Command {
    let run = Command::new("run")
        .about("Sends requests to routers")
        .arg(address_option("router", "Routers to send to, in turn"))
        .arg(address_option(
            "directory",
            "Directories to ask for routers",
        ))
        .group(
            ArgGroup::new("target")
                .args(["router", "directory"])
                .required(true),
        )
        .arg(
            option("key", "Key of a workspace, as workspace=key")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .hide_env_values(true)
                .value_parser(parse_workspace_key),
        );
    let direct = Command::new("direct")
        .about("Sends requests to engines without a router, for comparison")
        .arg(address_option("engine", "Engines to send to, in turn").required(true));
    Command::new("snipegate-load")
        .about("Load and experiment tool for snipegate")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .subcommand(add_load_arguments(run))
        .subcommand(add_load_arguments(direct))
        .subcommand(
            Command::new("check")
                .about("Checks results against stated outcomes")
                .arg(file_argument("result"))
                .arg(file_argument("expected")),
        )
        .subcommand(
            Command::new("compare")
                .about("Shows two results side by side")
                .arg(file_argument("before"))
                .arg(file_argument("after"))
                .arg(file_option("svg", "Where to draw both")),
        )
}

fn file_argument(name: &'static str) -> Arg {
    Arg::new(name)
        .required(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
}

/// Returns all values of an option, or none if the subcommand does not define it.
pub fn get_values<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    let values = matches.try_get_many::<T>(name).ok().flatten();
    values.map_or_else(Vec::new, |values| values.cloned().collect())
}
