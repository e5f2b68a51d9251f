//! Caller authentication and selection of the profile and budget.

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
use crate::request_ids::RequestIdGenerator;
use crate::view_input::request_priority;

/// Request header with the caller's idempotency key.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Request header that selects the profile.
const PROFILE_HEADER: &str = "x-snipegate-profile";
/// Request header with the workspace, which must be the one that the API key belongs to.
const WORKSPACE_HEADER: &str = "x-snipegate-workspace";
/// Request header with the caller's deadline, in milliseconds from now.
const DEADLINE_HEADER: &str = "x-snipegate-deadline-ms";
/// Request header with a priority, which can only lower the profile's priority.
const PRIORITY_HEADER: &str = "x-snipegate-priority";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// An authenticated caller with the profile, budget and limits of its request.
#[derive(Clone, Debug)]
pub struct CallerIdentity {
    /// The workspace that the API key belongs to.
    pub workspace: Arc<WorkspaceEntry>,
    /// The requested profile, or the workspace's default.
    pub profile: Arc<ProfileEntry>,
    /// The budget that is charged.
    pub budget: BudgetId,
    /// The ledger shard of the workspace.
    pub shard: ShardId,
    /// Admission priority of the request.
    pub priority: RequestPriority,
    /// Time by which the whole answer must have been received.
    pub deadline: Instant,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
}

fn refuse(code: ResultCode, message: impl Into<String>) -> RequestRefusal {
    RequestRefusal::not_run(code, message)
}

/// Finds the workspace that the API key in `headers` belongs to.
///
/// # Errors
///
/// Refuses a missing or unknown key, a key of another workspace, and any request while
/// the fleet view is missing or stale.
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
    /// Authenticates the caller and reads the request options from its headers.
    ///
    /// # Errors
    ///
    /// Refuses an invalid key, an unknown profile or budget, and malformed option headers.
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

    /// Returns the request id: derived from the idempotency key, or else a new one.
    pub fn request_id(&self, request_ids: &RequestIdGenerator) -> RequestId {
        match &self.idempotency_key {
            Some(key) => RequestId::from_idempotency_key(&self.workspace.id, key),
            None => request_ids.next(&self.workspace.id),
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
    let unknown_profile = |name: &str| {
        refuse(
            ResultCode::UnknownProfile,
            format!("profile {name:?} is not one of this workspace"),
        )
    };
    let name: ProfileName = match text_header(headers, PROFILE_HEADER) {
        Some(text) => text.parse().map_err(|_| unknown_profile(text))?,
        None => workspace
            .record
            .default_profile
            .clone()
            .ok_or_else(|| unknown_profile(""))?,
    };
    if !workspace.record.profiles.contains(&name) {
        return Err(unknown_profile(name.as_str()));
    }
    view.profile(&name)
        .cloned()
        .ok_or_else(|| unknown_profile(name.as_str()))
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
    let highest = request_priority(profile.record.priority);
    match text_header(headers, PRIORITY_HEADER) {
        None => Ok(highest),
        Some(text) => text
            .parse::<RequestPriority>()
            .map(|asked| asked.min(highest))
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
