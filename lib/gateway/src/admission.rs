//! Decides whether a request is one that the configuration allows.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use snipegate_http1::RequestHead;
use snipegate_types::ResultCode;
use snipegate_types::WorkspaceId;

use crate::config::FleetConfig;
use crate::config::RouteRule;
use crate::refusal::Refusal;
use crate::terms::RequestTerms;

/// When to come back after a refusal for want of a current configuration.
const STALE_RETURN: Duration = Duration::from_millis(300);

/// A request that the configuration allows.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The configuration that decided.
    pub config: Rc<FleetConfig>,
    /// The request's route.
    pub route: RouteRule,
    /// The workspace of the caller's key.
    pub workspace: Option<WorkspaceId>,
    /// When the request has to have its final answer.
    pub deadline: Instant,
    /// Rank of the request; 0 is the most urgent.
    pub priority: u8,
}

/// Decides on a request.
///
/// `current` tells whether the configuration is known to be current: one that
/// may be old refuses for now what it does not know, and not for good.
///
/// # Errors
///
/// Returns the refusal where there is no such route or the key is not known.
pub fn admit(
    config: &Rc<FleetConfig>,
    head: &RequestHead,
    terms: &RequestTerms,
    current: bool,
    received: Instant,
) -> Result<Admission, Refusal> {
    let deny = |code| match current {
        true => Refusal::fatal(code),
        false => Refusal::come_back(ResultCode::ConfigStale, STALE_RETURN),
    };
    let host = head.headers.get("host").unwrap_or_default();
    let route = config
        .find_route(host, head.path())
        .ok_or_else(|| deny(ResultCode::UnknownPath))?;
    let workspace = match (&terms.key, route.public || !config.needs_keys()) {
        (Some(key), _) if config.keys.contains_key(key) => config.keys.get(key).cloned(),
        (_, true) => None,
        (Some(_), false) => return Err(deny(ResultCode::KeyInvalid)),
        (None, false) => return Err(Refusal::fatal(ResultCode::KeyMissing)),
    };
    let patience = terms
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let rule = workspace.as_ref().and_then(|id| config.workspaces.get(id));
    let priority = rule.and_then(|rule| rule.priority);
    Ok(Admission {
        config: Rc::clone(config),
        priority: priority.unwrap_or(route.priority),
        route: route.clone(),
        workspace,
        deadline: received + patience,
    })
}
