//! `upstream leave` and `upstream return`.

use serde_json::Value;
use serde_json::json;
use snipegate_fleet::FleetKey;
use snipegate_fleet::LEAVE_MARK_PATH;
use snipegate_fleet::LeaveMark;
use snipegate_types::OperationId;
use snipegate_types::UpstreamId;

use crate::config_command::change;
use crate::config_command::existing;
use crate::config_kind::ConfigKind;
use crate::fleet_client::FleetClient;
use crate::outcome::CommandError;
use crate::outcome::CommandReport;
use crate::outcome::ExitStatus;

/// Gives an upstream no new work. With the store out, the order goes to the
/// keepers and becomes the record later.
pub(crate) async fn leave(
    client: &FleetClient,
    id: &str,
    operation: OperationId,
) -> Result<CommandReport, CommandError> {
    match set_state(client, id, "leaving", operation).await {
        Err(CommandError::Store(_)) => mark(client, id, operation).await,
        other => other,
    }
}

/// Gives an upstream work again.
pub(crate) async fn take_back(
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
    let stored = existing(client, &key).await?;
    let mut record: Value = serde_json::from_slice(&stored.value).unwrap_or_default();
    record["state"] = json!(state);
    let bytes = serde_json::to_vec(&record).expect("JSON values can be written");
    change(client, key, Some(stored), &bytes, operation).await
}

async fn mark(
    client: &FleetClient,
    id: &str,
    operation: OperationId,
) -> Result<CommandReport, CommandError> {
    let view = client.view().await?;
    let upstream: UpstreamId = id.parse().map_err(|_| CommandError::NotFound {
        what: id.to_owned(),
    })?;
    let entry = view
        .upstream(&upstream)
        .ok_or_else(|| CommandError::NotFound {
            what: FleetKey::Upstream(upstream.clone()).to_string(),
        })?;
    let mark = LeaveMark {
        upstream: upstream.clone(),
        over: entry.revision,
        operation,
    };
    let mut taken = 0;
    for address in client.known_keepers(&view) {
        let call = client
            .messages
            .call::<_, bool>(address, LEAVE_MARK_PATH, &mark, client.timeout);
        taken += usize::from(call.await.is_ok());
    }
    if taken == 0 {
        return Err(CommandError::Fleet {
            what: id.to_owned(),
            error: "store and keepers can't be reached; nothing was changed".to_owned(),
        });
    }
    let text = format!(
        "{id}: store unavailable; {taken} keepers pass the order on and store it when they can"
    );
    Ok(CommandReport {
        json: json!({"upstream": id, "stored": false, "keepers": taken}),
        text,
        exit: ExitStatus::NotInForce,
    })
}
