//! The commands `budget show` and `budget top-up`.

use clap::ArgMatches;
use serde_json::json;
use snipegate_fleet::FleetView;
use snipegate_fleet::MemberEntry;
use snipegate_ledger::BUDGETS_PATH;
use snipegate_ledger::BudgetStatus;
use snipegate_ledger::LEDGER_PATH;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationResult;
use snipegate_service::CallError;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::ProcessRole;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;
use snipegate_types::WorkspaceId;

use crate::fleet_client::FleetClient;
use crate::outcome::CommandError;
use crate::outcome::CommandReport;

/// Maximum number of times that a batch is sent until it is decided.
const LEDGER_ATTEMPTS: u32 = 10;

/// Runs a subcommand of `budget`.
pub(crate) async fn run(
    client: &FleetClient,
    matches: &ArgMatches,
) -> Result<CommandReport, CommandError> {
    let (action, matches) = matches.subcommand().expect("required");
    let text = matches.get_one::<String>("budget").expect("required");
    let budget: BudgetId = text.parse().map_err(|_| CommandError::NotFound {
        subject: format!("budget {text}"),
    })?;
    let view = client.view().await?;
    let workspace = owning_workspace(&view, &budget, matches.get_one::<String>("workspace"))?;
    let shards = view.settings().map_or(1, |s| s.ledger_shards);
    let shard = ShardId::for_workspace(&workspace, shards);
    match action {
        "show" => show(client, &view, shard, &budget).await,
        "top-up" => {
            let amount = *matches.get_one::<TokenCount>("tokens").expect("required");
            let operation = *matches.get_one("operation").expect("required");
            top_up(client, &view, shard, budget, amount, operation).await
        }
        other => unreachable!("command {other} is not declared"),
    }
}

/// Returns the workspace that owns a budget. If several workspaces have a budget of
/// this name, one must be selected by `requested`.
fn owning_workspace(
    view: &FleetView,
    budget: &BudgetId,
    requested: Option<&String>,
) -> Result<WorkspaceId, CommandError> {
    let mut owners = view.workspaces().filter(|entry| {
        let is_requested = requested.is_none_or(|name| entry.id.as_str() == name);
        is_requested && entry.record.budgets.contains(budget)
    });
    match (owners.next(), owners.next()) {
        (Some(entry), None) => Ok(entry.id.clone()),
        (None, _) => Err(CommandError::NotFound {
            subject: format!("a workspace with budget {budget}"),
        }),
        (Some(_), Some(_)) => Err(CommandError::Rejected {
            reason: format!("several workspaces have budget {budget}; select one with --workspace"),
        }),
    }
}

/// Returns the keeper that a shard is assigned to.
fn assigned_keeper(view: &FleetView, shard: ShardId) -> Result<&MemberEntry, CommandError> {
    let keeper = view.shard_owner(shard);
    keeper
        .map(AsRef::as_ref)
        .ok_or_else(|| CommandError::FleetUnreachable {
            target: format!("shard {shard}"),
            error: "no keeper is up".to_owned(),
        })
}

async fn show(
    client: &FleetClient,
    view: &FleetView,
    shard: ShardId,
    budget: &BudgetId,
) -> Result<CommandReport, CommandError> {
    let keeper = assigned_keeper(view, shard)?;
    let path = format!("{BUDGETS_PATH}/{budget}?shard={shard}");
    let answer = client.fetch(keeper.record.peer(), &path, None).await;
    let status: BudgetStatus = answer.map_err(|error| match error {
        CallError::Status(404) => CommandError::NotFound {
            subject: format!("budget {budget} (never topped up)"),
        },
        error => CommandError::call(keeper.id.0.as_str(), error),
    })?;
    Ok(CommandReport::success(
        json!(status),
        balance_lines(&status),
    ))
}

fn balance_lines(status: &BudgetStatus) -> String {
    let holdings = status.holdings.iter().map(|holding| {
        let state = format!("{:?}", holding.state).to_lowercase();
        format!(
            "  {:<48} {:<8} {:>14}\n",
            holding.holder.to_string(),
            state,
            holding.amount
        )
    });
    format!(
        "purchased  {:>14}\nbilled     {:>14}\nunassigned {:>14}\nheld by\n{}",
        status.purchased,
        status.billed,
        status.unassigned,
        holdings.collect::<String>()
    )
}

async fn top_up(
    client: &FleetClient,
    view: &FleetView,
    shard: ShardId,
    budget: BudgetId,
    amount: TokenCount,
    operation: OperationId,
) -> Result<CommandReport, CommandError> {
    let batch = LedgerBatch {
        shard,
        sender: operator_id(),
        first: None,
        operations: vec![LedgerOperation::TopUp {
            operation,
            budget: budget.clone(),
            amount,
        }],
    };
    match submit(client, view, &batch, operation).await? {
        OperationResult::ToppedUp => {
            let fields = json!({
                "budget": budget.as_str(),
                "amount": amount,
                "operation": operation.to_string(),
            });
            let text = format!("{budget}: {amount} tokens added by operation {operation}");
            Ok(CommandReport::success(fields, text))
        }
        other => Err(CommandError::LedgerRefused {
            reason: format!("{other:?}"),
        }),
    }
}

/// Sends a batch of one operation until it is decided. Retries are safe, since the
/// ledger deduplicates operations by id.
async fn submit(
    client: &FleetClient,
    view: &FleetView,
    batch: &LedgerBatch,
    operation: OperationId,
) -> Result<OperationResult, CommandError> {
    let mut address = assigned_keeper(view, batch.shard)?.record.peer();
    for _ in 0..LEDGER_ATTEMPTS {
        let call = client
            .messages
            .call(address, LEDGER_PATH, batch, client.call_timeout);
        let delay_ms = match call.await {
            Ok(LedgerAnswer::Results(mut results)) if !results.is_empty() => {
                return Ok(results.swap_remove(0));
            }
            Ok(LedgerAnswer::NotKeeper { keeper: Some(next) }) => {
                address = view.peer_address(&next).unwrap_or(address);
                100
            }
            Ok(LedgerAnswer::Undecided { retry_after_ms }) => retry_after_ms,
            Ok(LedgerAnswer::NotKeeper { keeper: None } | LedgerAnswer::Results(_)) | Err(_) => 300,
        };
        ntex::time::sleep(std::time::Duration::from_millis(delay_ms)).await;
    }
    Err(CommandError::OutcomeUnknown {
        subject: format!("shard {}", batch.shard),
        operation: operation.to_string(),
    })
}

/// Returns the sender id of batches from operators, which never holds or bills
/// tokens.
fn operator_id() -> IncarnationId {
    IncarnationId {
        vm: "operator".parse().expect("valid id"),
        role: ProcessRole::Directory,
        start: 0,
    }
}
