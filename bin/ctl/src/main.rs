//! `snipegate-ctl`: command-line tool for operators.

mod budget_command;
mod commands;
mod config_command;
mod config_kind;
mod explain_command;
mod fleet_client;
mod in_force;
mod load_command;
mod outcome;
mod status_command;
mod upstream_command;
mod vm_command;

use std::io;
use std::io::Write;
use std::process::ExitCode;

use clap::ArgMatches;
use clap_complete::Shell;

use crate::fleet_client::FleetClient;
use crate::outcome::CommandError;
use crate::outcome::CommandReport;

#[ntex::main]
async fn main() -> ExitCode {
    let matches = commands::command().get_matches();
    if let Some(("completions", matches)) = matches.subcommand() {
        return print_completions(*matches.get_one::<Shell>("shell").expect("required"));
    }
    let as_json = matches.get_flag("json");
    match run(&matches).await {
        Ok(report) => {
            report.print(as_json);
            ExitCode::from(report.exit as u8)
        }
        Err(error) => {
            error.print(as_json);
            ExitCode::from(error.exit() as u8)
        }
    }
}

fn print_completions(shell: Shell) -> ExitCode {
    let mut script = Vec::new();
    let mut command = commands::command();
    clap_complete::generate(shell, &mut command, "snipegate-ctl", &mut script);
    match io::stdout().write_all(&script) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

async fn run(matches: &ArgMatches) -> Result<CommandReport, CommandError> {
    let client = FleetClient::from_matches(matches).await?;
    let (name, matches) = matches.subcommand().expect("required");
    match name {
        "profile" | "upstream" | "workspace" | "fleet-settings" => {
            config_command::run(&client, name, matches).await
        }
        "budget" => budget_command::run(&client, matches).await,
        "vm" => vm_command::run(&client, matches).await,
        "status" => status_command::run(&client).await,
        "explain" => explain_command::run(&client, matches).await,
        "load-config" => load_command::run(&client, matches).await,
        other => unreachable!("command {other} is not declared"),
    }
}
