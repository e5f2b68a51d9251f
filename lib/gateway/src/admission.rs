//! Admission control: checks a request's route and API key against the configuration.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use snipegate_http1::RequestHead;
use snipegate_types::ResultCode;
use snipegate_types::WorkspaceId;

use crate::config::FleetConfig;
use crate::config::RouteRule;
use crate::metadata::RequestMetadata;
use crate::refusal::Refusal;

/// `Retry-After` of a request refused because the configuration may be stale.
const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A request that the configuration allows.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The configuration that the request was checked against.
    pub config: Rc<FleetConfig>,
    /// The route that matches the request.
    pub route: RouteRule,
    /// The workspace that owns the caller's key; `None` if no known key was given, which only
    /// routes that need no key admit.
    pub workspace: Option<WorkspaceId>,
    /// When the final response is due.
    pub deadline: Instant,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// Checks a request against the configuration.
///
/// `current` states whether the configuration is known to be current. If it may be stale,
/// an unknown route or key is refused with a retryable error instead of a permanent one.
///
/// # Errors
///
/// Returns the refusal if no route matches, or if a required key is missing or unknown.
pub fn admit(
    config: &Rc<FleetConfig>,
    head: &RequestHead,
    metadata: &RequestMetadata,
    current: bool,
    received: Instant,
) -> Result<Admission, Refusal> {
    let refuse = |code| match current {
        true => Refusal::permanent(code),
        false => Refusal::retryable(ResultCode::ConfigStale, STALE_CONFIG_RETRY_AFTER),
    };
    let host = head.headers.get("host").unwrap_or_default();
    let route = config
        .find_route(host, head.path())
        .ok_or_else(|| refuse(ResultCode::UnknownPath))?;
    let workspace = match (&metadata.key, route.public || !config.needs_keys()) {
        (Some(key), _) if config.keys.contains_key(key) => config.keys.get(key).cloned(),
        (_, true) => None,
        (Some(_), false) => return Err(refuse(ResultCode::KeyInvalid)),
        (None, false) => return Err(Refusal::permanent(ResultCode::KeyMissing)),
    };
    let timeout = metadata
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let rule = workspace.as_ref().and_then(|id| config.workspaces.get(id));
    let priority = rule.and_then(|rule| rule.priority);
    Ok(Admission {
        config: Rc::clone(config),
        priority: priority.unwrap_or(route.priority),
        route: route.clone(),
        workspace,
        deadline: received + timeout,
    })
}
