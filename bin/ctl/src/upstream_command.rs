//! The commands `upstream leave` and `upstream return`.

use serde_json::Value;
use serde_json::json;
use snipegate_fleet::FleetKey;
use snipegate_fleet::LEAVE_MARK_PATH;
use snipegate_fleet::LeaveMark;
use snipegate_types::OperationId;
use snipegate_types::UpstreamId;

use crate::config_command::read_existing;
use crate::config_command::write_and_confirm;
use crate::config_kind::ConfigKind;
use crate::fleet_client::FleetClient;
use crate::outcome::CommandError;
use crate::outcome::CommandReport;
use crate::outcome::ExitStatus;

/// Marks an upstream as leaving, so that it gets no new work. If the store is
/// unavailable, a leave mark is sent to the keepers, which write it to the record
/// later.
pub(crate) async fn leave(
    client: &FleetClient,
    id: &str,
    operation: OperationId,
) -> Result<CommandReport, CommandError> {
    match set_state(client, id, "leaving", operation).await {
        Err(CommandError::StoreUnavailable(_)) => send_leave_mark(client, id, operation).await,
        other => other,
    }
}

/// Marks an upstream as up, so that it gets new work again.
pub(crate) async fn return_to_service(
    client: &FleetClient,
    id: &str,
    operation: OperationId,
) -> Result<CommandReport, CommandError> {
    set_state(client, id, "up", operation).await
}

async fn set_state(
    client: &FleetClient,
    id: &str,
    state: &str,
    operation: OperationId,
) -> Result<CommandReport, CommandError> {
    let key = ConfigKind::Upstream.key(id)?;
    let stored = read_existing(client, &key).await?;
    let mut record: Value = serde_json::from_slice(&stored.value).unwrap_or_default();
    record["state"] = json!(state);
    let bytes = serde_json::to_vec(&record).expect("JSON values can be written");
    write_and_confirm(client, key, Some(stored), &bytes, operation).await
}

async fn send_leave_mark(
    client: &FleetClient,
    id: &str,
    operation: OperationId,
) -> Result<CommandReport, CommandError> {
    let view = client.view().await?;
    let upstream: UpstreamId = id.parse().map_err(|_| CommandError::NotFound {
        subject: id.to_owned(),
    })?;
    let entry = view
        .upstream(&upstream)
        .ok_or_else(|| CommandError::NotFound {
            subject: FleetKey::Upstream(upstream.clone()).to_string(),
        })?;
    let mark = LeaveMark {
        upstream: upstream.clone(),
        over: entry.revision,
        operation,
    };
    let mut accepted = 0;
    for address in client.usable_keepers(&view) {
        let call =
            client
                .messages
                .call::<_, bool>(address, LEAVE_MARK_PATH, &mark, client.call_timeout);
        accepted += usize::from(call.await.is_ok());
    }
    if accepted == 0 {
        return Err(CommandError::FleetUnreachable {
            target: id.to_owned(),
            error: "neither the store nor a keeper could be reached; nothing was changed"
                .to_owned(),
        });
    }
    let text = format!(
        "{id}: store unavailable; {accepted} keepers pass the order on and store it when they can"
    );
    Ok(CommandReport {
        json: json!({"upstream": id, "stored": false, "keepers": accepted}),
        text,
        exit: ExitStatus::NotInForce,
    })
}
