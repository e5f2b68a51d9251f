//! Declaration of the command line.

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

/// Declares the command line with all subcommands.
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
        .subcommand(record_command(
            "profile",
            "Profiles that services run under",
        ))
        .subcommand(
            record_command("upstream", "Model runners and plain-service runners")
                .subcommand(
                    Command::new("leave")
                        .about("Gives an upstream no new work; works while the store is out")
                        .arg(positional_arg("id"))
                        .arg(operation_arg()),
                )
                .subcommand(
                    Command::new("return")
                        .about("Gives an upstream work again")
                        .arg(positional_arg("id"))
                        .arg(operation_arg()),
                ),
        )
        .subcommand(record_command(
            "workspace",
            "Workspaces with their keys and budgets",
        ))
        .subcommand(
            Command::new("fleet-settings")
                .about("Settings of the whole fleet")
                .after_help(CHANGE_EXAMPLES)
                .subcommand_required(true)
                .subcommand(Command::new("show").about("Shows the settings"))
                .subcommand(write_command("put", "Replaces the settings"))
                .subcommand(with_set_arg(write_command(
                    "edit",
                    "Changes fields of the settings",
                ))),
        )
        .subcommand(budget_command())
        .subcommand(vm_command())
        .subcommand(
            Command::new("status").about("Shows the members, what each knows, and who keeps what"),
        )
        .subcommand(explain_command())
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

/// Declares the subcommands that all kinds of records with ids have.
fn record_command(kind: &'static str, about: &'static str) -> Command {
    Command::new(kind)
        .about(about)
        .after_help(CHANGE_EXAMPLES)
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists all"))
        .subcommand(
            Command::new("show")
                .about("Shows one")
                .arg(positional_arg("id")),
        )
        .subcommand(write_command("put", "Creates or replaces one").arg(positional_arg("id")))
        .subcommand(
            with_set_arg(write_command("edit", "Changes fields of one")).arg(positional_arg("id")),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes one")
                .arg(positional_arg("id"))
                .arg(expect_arg()),
        )
}

/// Declares a subcommand that writes a record.
fn write_command(command: &'static str, about: &'static str) -> Command {
    Command::new(command)
        .about(about)
        .arg(
            Arg::new("file")
                .long("file")
                .help("File with the JSON of the record; - for standard input")
                .value_name("PATH"),
        )
        .arg(expect_arg())
        .arg(operation_arg())
}

/// Adds the argument `--set` to a subcommand.
fn with_set_arg(command: Command) -> Command {
    command.arg(
        Arg::new("set")
            .long("set")
            .help("Field and its new value, as JSON or text; may be repeated")
            .value_name("FIELD=VALUE")
            .action(ArgAction::Append),
    )
}

fn expect_arg() -> Arg {
    Arg::new("expect")
        .long("expect")
        .help("Revision that the record must still have")
        .value_name("REVISION")
        .value_parser(value_parser!(u64))
}

fn operation_arg() -> Arg {
    Arg::new("operation")
        .long("operation")
        .help("Id of this operation, to repeat it without a second effect")
        .value_name("32 HEX DIGITS")
        .value_parser(|text: &str| text.parse::<OperationId>())
}

fn positional_arg(id: &'static str) -> Arg {
    Arg::new(id).required(true).value_name("ID")
}

fn workspace_arg() -> Arg {
    Arg::new("workspace")
        .long("workspace")
        .help("Workspace that owns it; searched for where it is left out")
        .value_name("ID")
}

fn budget_command() -> Command {
    Command::new("budget")
        .about("Prepaid token budgets")
        .subcommand_required(true)
        .subcommand(
            Command::new("show")
                .about("Shows what is purchased, billed, held and unassigned")
                .arg(positional_arg("budget"))
                .arg(workspace_arg()),
        )
        .subcommand(
            Command::new("top-up")
                .about("Adds purchased tokens; the same operation counts once")
                .arg(positional_arg("budget"))
                .arg(
                    Arg::new("tokens")
                        .required(true)
                        .value_parser(|text: &str| text.parse::<TokenCount>()),
                )
                .arg(workspace_arg())
                .arg(operation_arg().required(true)),
        )
}

fn vm_command() -> Command {
    Command::new("vm")
        .about("VMs of the fleet")
        .subcommand_required(true)
        .subcommand(
            Command::new("leave")
                .about("Marks every process of a VM as leaving")
                .arg(positional_arg("vm")),
        )
        .subcommand(
            Command::new("forget")
                .about("Removes the records of a VM that has gone from the VM list")
                .arg(positional_arg("vm")),
        )
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Tells why a request was refused or sent where it was")
        .arg(
            Arg::new("request")
                .help("Request id, 32 hexadecimal digits")
                .required_unless_present_all(["workspace", "idempotency-key"]),
        )
        .arg(workspace_arg().help("Workspace of the request"))
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
