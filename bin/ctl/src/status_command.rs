//! The command `status`.

use serde_json::Value;
use serde_json::json;
use snipegate_fleet::FleetStatus;
use snipegate_fleet::FleetView;
use snipegate_fleet::MemberEntry;
use snipegate_types::IncarnationId;
use snipegate_types::ShardId;

use crate::fleet_client::FleetClient;
use crate::outcome::CommandError;
use crate::outcome::CommandReport;

/// Shows the members with the configuration revision that each has, and the keeper
/// of each shard.
pub(crate) async fn run(client: &FleetClient) -> Result<CommandReport, CommandError> {
    let view = client.view().await?;
    let statuses = client.statuses(&view).await;
    let members: Vec<Value> = view
        .all_members()
        .map(|entry| member_json(&view, &statuses, entry))
        .collect();
    let shards = view.settings().map_or(0, |s| s.ledger_shards);
    let shards: Vec<Value> = (0..shards)
        .map(|shard| {
            let keeper = view.shard_owner(ShardId(shard));
            json!({"shard": shard, "keeper": keeper.map(|k| k.id.0.as_str())})
        })
        .collect();
    let rejected: Vec<Value> = statuses
        .iter()
        .filter(|status| !status.rejected.is_empty())
        .map(|status| json!({"member": status.keeper.to_string(), "keys": status.rejected}))
        .collect();
    let text = member_table(&members) + &shard_lines(&shards);
    let fields = json!({
        "revision": view.revision(),
        "members": members,
        "shards": shards,
        "rejected": rejected,
    });
    Ok(CommandReport::success(fields, text))
}

fn member_json(view: &FleetView, statuses: &[FleetStatus], entry: &MemberEntry) -> Value {
    let incarnation = &entry.record.incarnation;
    let state = match entry {
        entry if view.is_ended(entry) => "ended",
        entry if view.is_member_leaving(entry) => "leaving",
        entry if view.is_suspected(entry) => "suspected",
        _ => "up",
    };
    let known = known_revision(statuses, incarnation);
    json!({
        "vm": incarnation.vm.as_str(),
        "role": incarnation.role.to_string(),
        "data_centre": entry.record.data_centre.as_str(),
        "address": entry.record.address.to_string(),
        "state": state,
        "revision": known.map(|(revision, _)| revision),
        "heard_ms_ago": known.map(|(_, age)| age),
    })
}

/// Returns the newest revision that a member is known to have, and the age of this
/// information in milliseconds.
fn known_revision(statuses: &[FleetStatus], member: &IncarnationId) -> Option<(u64, u64)> {
    let keepers = statuses.iter().filter(|status| &status.keeper == member);
    let own = keepers.map(|status| (status.revision.number, status.age_ms.unwrap_or(u64::MAX)));
    let followers = statuses.iter().flat_map(|status| &status.followers);
    let followed = followers
        .filter(|follower| &follower.member == member)
        .map(|follower| (follower.revision.number, follower.asked_ms_ago));
    own.chain(followed).max()
}

fn member_table(members: &[Value]) -> String {
    let head = format!(
        "{:<16} {:<10} {:<14} {:<22} {:<10} {:>9} {:>9}\n",
        "VM", "ROLE", "DATA CENTRE", "ADDRESS", "STATE", "REVISION", "HEARD MS"
    );
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    let lines = members.iter().map(|row| {
        format!(
            "{:<16} {:<10} {:<14} {:<22} {:<10} {:>9} {:>9}\n",
            text(&row["vm"]),
            text(&row["role"]),
            text(&row["data_centre"]),
            text(&row["address"]),
            text(&row["state"]),
            text(&row["revision"]),
            text(&row["heard_ms_ago"]),
        )
    });
    head + &lines.collect::<String>()
}

fn shard_lines(shards: &[Value]) -> String {
    let lines = shards.iter().map(|row| {
        let keeper = row["keeper"].as_str().unwrap_or("-");
        format!("shard {:<4} {keeper}\n", row["shard"])
    });
    "\n".to_owned() + &lines.collect::<String>()
}
