//! The command `explain`.

use clap::ArgMatches;
use futures_util::future::join_all;
use serde_json::Value;
use serde_json::json;
use snipegate_types::ProcessRole;
use snipegate_types::RequestId;
use snipegate_types::WorkspaceId;

use crate::fleet_client::FleetClient;
use crate::outcome::CommandError;
use crate::outcome::CommandReport;

/// Queries all routers for their decisions about a request.
pub(crate) async fn run(
    client: &FleetClient,
    matches: &ArgMatches,
) -> Result<CommandReport, CommandError> {
    let request = request_id(matches)?;
    let key = matches.get_one::<String>("api-key").map(String::as_str);
    let view = client.view().await?;
    let path = format!("/explain/{request}");
    let routers: Vec<_> = view
        .members(ProcessRole::Router)
        .filter(|entry| !view.is_ended(entry))
        .collect();
    let calls = routers
        .iter()
        .map(|entry| client.fetch::<Value>(entry.record.address, &path, key));
    let answers = join_all(calls).await;
    let mut decisions = Vec::new();
    let mut failures = Vec::new();
    for (entry, answer) in routers.iter().zip(answers) {
        let router = entry.id.0.as_str();
        match answer {
            Ok(Value::Array(found)) if found.is_empty() => {}
            Ok(found) => decisions.push(json!({"router": router, "decisions": found})),
            Err(error) => failures.push(json!({"router": router, "error": error.to_string()})),
        }
    }
    if decisions.is_empty() && failures.is_empty() {
        return Err(CommandError::NotFound {
            subject: format!("a decision about request {request}"),
        });
    }
    let fields = json!({
        "request": request.to_string(),
        "routers": decisions,
        "without_answer": failures,
    });
    let text = format!("{fields:#}");
    Ok(CommandReport::success(fields, text))
}

fn request_id(matches: &ArgMatches) -> Result<RequestId, CommandError> {
    let not_found = |text: &str| CommandError::NotFound {
        subject: format!("{text:?} (not a valid id)"),
    };
    if let Some(text) = matches.get_one::<String>("request") {
        return text.parse().map_err(|_| not_found(text));
    }
    let text = matches.get_one::<String>("workspace").expect("required");
    let workspace: WorkspaceId = text.parse().map_err(|_| not_found(text))?;
    let key = matches.get_one::<String>("idempotency-key");
    let key = key.expect("required");
    Ok(RequestId::from_idempotency_key(&workspace, key))
}
