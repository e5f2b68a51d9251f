//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;
use snipegate_service::duration_setting;
use snipegate_service::optional_setting;
use snipegate_service::setting;
use snipegate_types::OperationId;
use snipegate_types::TokenCount;

const EXAMPLES: &str = "\
Examples:
  snipegate-ctl status
  snipegate-ctl profile edit drivers --set deadline_ms=4000
  snipegate-ctl upstream leave runner-7
  snipegate-ctl budget top-up carnaval 5M --operation 0123456789abcdef0123456789abcdef
  snipegate-ctl explain --workspace depot --idempotency-key order-17

Exit codes:
  0 done, in force everywhere       7 outcome unknown, repeat the operation
  2 command line not understood     8 stored, not confirmed by every member
  3 not found                       9 refused by the ledger
  4 record not accepted            10 no process of the fleet was reached
  5 conflict with another change   11 file not readable
  6 store unavailable, no change";

const CHANGE_EXAMPLES: &str = "\
A change is made against the version that was read. If somebody else was faster,
both versions are printed and the exit code is 5. With --expect, the change is
made only if the record still has that revision, as `show` printed it.";

/// Declares the whole command line.
pub(crate) fn command() -> Command {
    const ADDRESS: &str = "IP:PORT";
    Command::new("snipegate-ctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Steers a snipegate fleet")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            setting::<SocketAddr>(
                "platform",
                Some("127.0.0.1:7100"),
                ADDRESS,
                "Address of the platform's service",
            )
            .global(true),
        )
        .arg(
            optional_setting::<SocketAddr>(
                "keeper",
                ADDRESS,
                "Keeper to ask when the store can't be reached; may be repeated",
            )
            .action(ArgAction::Append)
            .value_delimiter(',')
            .global(true),
        )
        .arg(
            duration_setting("timeout", "2s", "Longest wait for an answer to one call")
                .global(true),
        )
        .arg(
            duration_setting(
                "wait",
                "10s",
                "Longest wait for every member to confirm a change; 0s not to wait",
            )
            .global(true),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print JSON")
                .action(ArgAction::SetTrue)
                .global(true),
        )
        .subcommand(records("profile", "Profiles that services run under"))
        .subcommand(
            records("upstream", "Model runners and plain-service runners")
                .subcommand(
                    Command::new("leave")
                        .about("Gives an upstream no new work; works while the store is out")
                        .arg(name("id"))
                        .arg(operation()),
                )
                .subcommand(
                    Command::new("return")
                        .about("Gives an upstream work again")
                        .arg(name("id"))
                        .arg(operation()),
                ),
        )
        .subcommand(records(
            "workspace",
            "Workspaces with their keys and budgets",
        ))
        .subcommand(
            Command::new("fleet-settings")
                .about("Settings of the whole fleet")
                .after_help(CHANGE_EXAMPLES)
                .subcommand_required(true)
                .subcommand(Command::new("show").about("Shows the settings"))
                .subcommand(change("put", "Replaces the settings"))
                .subcommand(assignments(change(
                    "edit",
                    "Changes fields of the settings",
                ))),
        )
        .subcommand(budget())
        .subcommand(vm())
        .subcommand(
            Command::new("status").about("Shows the members, what each knows, and who keeps what"),
        )
        .subcommand(explain())
        .subcommand(
            Command::new("load-config")
                .about("Puts a directory of records: fleet.json, profile/, upstream/, workspace/")
                .arg(
                    Arg::new("directory")
                        .required(true)
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints shell completions")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

fn records(kind: &'static str, about: &'static str) -> Command {
    Command::new(kind)
        .about(about)
        .after_help(CHANGE_EXAMPLES)
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists all"))
        .subcommand(Command::new("show").about("Shows one").arg(name("id")))
        .subcommand(change("put", "Creates or replaces one").arg(name("id")))
        .subcommand(assignments(change("edit", "Changes fields of one")).arg(name("id")))
        .subcommand(
            Command::new("remove")
                .about("Removes one")
                .arg(name("id"))
                .arg(expect()),
        )
}

fn change(command: &'static str, about: &'static str) -> Command {
    Command::new(command)
        .about(about)
        .arg(
            Arg::new("file")
                .long("file")
                .help("File with the JSON of the record; - for standard input")
                .value_name("PATH"),
        )
        .arg(expect())
        .arg(operation())
}

fn assignments(command: Command) -> Command {
    command.arg(
        Arg::new("set")
            .long("set")
            .help("Field and its new value, as JSON or text; may be repeated")
            .value_name("FIELD=VALUE")
            .action(ArgAction::Append),
    )
}

fn expect() -> Arg {
    Arg::new("expect")
        .long("expect")
        .help("Revision that the record must still have")
        .value_name("REVISION")
        .value_parser(value_parser!(u64))
}

fn operation() -> Arg {
    Arg::new("operation")
        .long("operation")
        .help("Id of this operation, to repeat it without a second effect")
        .value_name("32 HEX DIGITS")
        .value_parser(|text: &str| text.parse::<OperationId>())
}

fn name(id: &'static str) -> Arg {
    Arg::new(id).required(true).value_name("ID")
}

fn workspace() -> Arg {
    Arg::new("workspace")
        .long("workspace")
        .help("Workspace that owns it; searched for where it is left out")
        .value_name("ID")
}

fn budget() -> Command {
    Command::new("budget")
        .about("Prepaid token budgets")
        .subcommand_required(true)
        .subcommand(
            Command::new("show")
                .about("Shows what is purchased, billed, held and unassigned")
                .arg(name("budget"))
                .arg(workspace()),
        )
        .subcommand(
            Command::new("top-up")
                .about("Adds purchased tokens; the same operation counts once")
                .arg(name("budget"))
                .arg(
                    Arg::new("tokens")
                        .required(true)
                        .value_parser(|text: &str| text.parse::<TokenCount>()),
                )
                .arg(workspace())
                .arg(operation().required(true)),
        )
}

fn vm() -> Command {
    Command::new("vm")
        .about("VMs of the fleet")
        .subcommand_required(true)
        .subcommand(
            Command::new("leave")
                .about("Marks every process of a VM as leaving")
                .arg(name("vm")),
        )
        .subcommand(
            Command::new("forget")
                .about("Removes the records of a VM that has gone from the VM list")
                .arg(name("vm")),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tells why a request was refused or sent where it was")
        .arg(
            Arg::new("request")
                .help("Request id, 32 hexadecimal digits")
                .required_unless_present_all(["workspace", "idempotency-key"]),
        )
        .arg(workspace().help("Workspace of the request"))
        .arg(
            Arg::new("idempotency-key")
                .long("idempotency-key")
                .help("Idempotency key of the request")
                .value_name("KEY")
                .requires("workspace"),
        )
        .arg(
            Arg::new("api-key")
                .long("api-key")
                .env("SNIPEGATE_API_KEY")
                .hide_env_values(true)
                .help("Key of a workspace, which routers ask for")
                .value_name("KEY"),
        )
}
