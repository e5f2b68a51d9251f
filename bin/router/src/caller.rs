//! Who calls, under which profile and budget.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use ntex::http::HeaderMap;
use snipegate_fleet::FleetView;
use snipegate_fleet::ProfileEntry;
use snipegate_fleet::WorkspaceEntry;
use snipegate_routing::RequestPriority;
use snipegate_types::BudgetId;
use snipegate_types::ProfileName;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::ShardId;
use snipegate_types::WorkspaceId;

use crate::refusal::RequestRefusal;
use crate::request_names::RequestNames;
use crate::view_input::request_priority;

/// Header with the caller's idempotency key.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header with the profile.
const PROFILE_HEADER: &str = "x-snipegate-profile";
/// Header with the workspace, checked against the key's.
const WORKSPACE_HEADER: &str = "x-snipegate-workspace";
/// Header with the time that the caller will wait, in milliseconds.
const DEADLINE_HEADER: &str = "x-snipegate-deadline-ms";
/// Header with a priority, which can only lower that of the profile.
const PRIORITY_HEADER: &str = "x-snipegate-priority";
/// Longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A caller whose key was checked, with what its request runs under.
#[derive(Clone, Debug)]
pub struct CallerIdentity {
    /// The workspace.
    pub workspace: Arc<WorkspaceEntry>,
    /// The profile.
    pub profile: Arc<ProfileEntry>,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The workspace's shard of the ledger.
    pub shard: ShardId,
    /// How urgent the request is.
    pub priority: RequestPriority,
    /// When the whole answer has to be there.
    pub deadline: Instant,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
}

fn refuse(code: ResultCode, message: impl Into<String>) -> RequestRefusal {
    RequestRefusal::not_run(code, message)
}

/// Finds the workspace of the key in `headers`.
///
/// # Errors
///
/// Refuses a missing or unknown key, and a view that may not be acted on.
pub fn find_workspace<'a>(
    view: &'a FleetView,
    headers: &HeaderMap,
    now: Instant,
) -> Result<&'a Arc<WorkspaceEntry>, RequestRefusal> {
    if let Some(code) = view.freshness(now).refusal() {
        return Err(refuse(code, "router knows no configuration to act on"));
    }
    let key = text_header(headers, "authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .or_else(|| text_header(headers, "x-api-key"))
        .ok_or_else(|| refuse(ResultCode::KeyMissing, "send Authorization: Bearer KEY"))?;
    let workspace = view
        .workspace_by_key(key.trim())
        .ok_or_else(|| refuse(ResultCode::KeyInvalid, "key is not known"))?;
    match text_header(headers, WORKSPACE_HEADER) {
        Some(named) if named != workspace.id.as_str() => Err(refuse(
            ResultCode::UnknownWorkspace,
            "key belongs to another workspace",
        )),
        _ => Ok(workspace),
    }
}

impl CallerIdentity {
    /// Reads who calls and under what.
    ///
    /// # Errors
    ///
    /// Refuses what the configuration does not have or allow.
    pub fn read(
        view: &FleetView,
        headers: &HeaderMap,
        now: Instant,
    ) -> Result<Self, RequestRefusal> {
        let workspace = find_workspace(view, headers, now)?.clone();
        let profile = find_profile(view, headers, &workspace)?;
        let budget = profile
            .record
            .budget
            .as_ref()
            .or(workspace.record.default_budget.as_ref())
            .filter(|budget| workspace.record.budgets.contains(budget))
            .ok_or_else(|| {
                refuse(
                    ResultCode::BudgetUnknown,
                    format!("workspace has no budget for profile {}", profile.id),
                )
            })?
            .clone();
        let shards = view.settings().map_or(1, |settings| settings.ledger_shards);
        let limit = profile.record.deadline();
        let wait = read_deadline(headers)?.map_or(limit, |asked| asked.min(limit));
        Ok(Self {
            shard: ShardId::for_workspace(&workspace.id, shards.max(1)),
            priority: read_priority(headers, &profile)?,
            deadline: now + wait,
            idempotency_key: read_idempotency_key(headers)?,
            budget,
            workspace,
            profile,
        })
    }

    /// Returns the request's id: from the caller's key, or one of its own.
    pub fn request_id(&self, names: &RequestNames) -> RequestId {
        match &self.idempotency_key {
            Some(key) => RequestId::from_idempotency_key(&self.workspace.id, key),
            None => names.next(&self.workspace.id),
        }
    }

    /// Returns the workspace's id.
    pub fn workspace_id(&self) -> &WorkspaceId {
        &self.workspace.id
    }
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn find_profile(
    view: &FleetView,
    headers: &HeaderMap,
    workspace: &WorkspaceEntry,
) -> Result<Arc<ProfileEntry>, RequestRefusal> {
    let unknown = |name: &str| {
        refuse(
            ResultCode::UnknownProfile,
            format!("profile {name:?} is not one of this workspace"),
        )
    };
    let name: ProfileName = match text_header(headers, PROFILE_HEADER) {
        Some(text) => text.parse().map_err(|_| unknown(text))?,
        None => workspace
            .record
            .default_profile
            .clone()
            .ok_or_else(|| unknown(""))?,
    };
    if !workspace.record.profiles.contains(&name) {
        return Err(unknown(name.as_str()));
    }
    view.profile(&name)
        .cloned()
        .ok_or_else(|| unknown(name.as_str()))
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, RequestRefusal> {
    let Some(text) = text_header(headers, DEADLINE_HEADER) else {
        return Ok(None);
    };
    match text.parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis))),
        _ => Err(refuse(
            ResultCode::MalformedBody,
            "X-Snipegate-Deadline-Ms must be a whole number from 1",
        )),
    }
}

fn read_priority(
    headers: &HeaderMap,
    profile: &ProfileEntry,
) -> Result<RequestPriority, RequestRefusal> {
    let most = request_priority(profile.record.priority);
    match text_header(headers, PRIORITY_HEADER) {
        None => Ok(most),
        Some(text) => text
            .parse::<RequestPriority>()
            .map(|asked| asked.min(most))
            .map_err(|_| {
                refuse(
                    ResultCode::MalformedBody,
                    "X-Snipegate-Priority must be low, normal or high",
                )
            }),
    }
}

fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, RequestRefusal> {
    match text_header(headers, IDEMPOTENCY_HEADER) {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(refuse(
            ResultCode::MalformedBody,
            "Idempotency-Key must have 1 to 256 bytes",
        )),
        key => Ok(key.map(str::to_owned)),
    }
}
