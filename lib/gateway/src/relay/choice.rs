//! The choice of an upstream for one attempt.

use std::rc::Rc;

use slog::info;

use super::Relay;
use crate::allowed_regions::AllowedRegions;
use crate::cold::SendLimits;
use crate::config::FleetConfig;
use crate::placement::PlacementChoice;
use crate::placement::PlacementQuery;
use crate::placement::choose;
use crate::rate_share::refresh_shares;
use crate::upstream::UpstreamEntry;

/// Maximum number of parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 16;

impl Relay<'_> {
    /// Selects an upstream and counts the send against its advertised rate limit, if any.
    pub(super) fn choose(&mut self) -> Option<(UpstreamEntry, PlacementChoice)> {
        let now = self.gateway.now();
        refresh_shares(self.gateway, now);
        let regions = self.allowed_regions();
        let upstreams = self.gateway.upstreams.borrow();
        let mut limits = SendLimits::of(self.gateway);
        let untried = upstreams
            .available(&self.service, now)
            .filter(|entry| self.may_use(entry, &regions))
            .filter(|entry| !self.tried.contains(&entry.id));
        let available = limits.allowed(untried, self.admission.priority, now);
        let rate_limited = limits.limited_of(&available, now);
        let query = PlacementQuery {
            prompt: self.request.metadata.prompt.as_ref(),
            tried: &self.tried,
            rate_limited: &rate_limited,
            data_centre: &self.gateway.settings.data_centre,
        };
        let mut loads = self.gateway.loads.borrow_mut();
        let choice = choose(&mut loads, available.into_iter(), &query, now)?;
        let entry = upstreams.get(&choice.id)?.clone();
        limits.record_send(&entry, now);
        Some((entry, choice))
    }

    /// Returns the regions in which the request may be processed, by the configuration in force:
    /// it may have changed since the request was admitted.
    pub(super) fn allowed_regions(&self) -> AllowedRegions {
        let admission = self.admission;
        // A workspace that was removed since keeps the regions that it had.
        let knows_workspace = |config: &Rc<FleetConfig>| {
            let mut workspace = admission.workspace.iter();
            workspace.all(|id| config.workspaces.contains_key(id))
        };
        let current = self.gateway.current_config().filter(knows_workspace);
        let config = current.unwrap_or_else(|| Rc::clone(&admission.config));
        let head = &self.request.head;
        let host = head.headers.get("host").unwrap_or_default();
        let route = config.find_route(host, head.path());
        let route = route.unwrap_or(&admission.route);
        AllowedRegions::new(&config, route, admission.workspace.as_ref())
    }

    /// Returns whether the region of an upstream is one of the allowed ones.
    pub(super) fn may_use(&self, entry: &UpstreamEntry, allowed: &AllowedRegions) -> bool {
        let regions = &self.gateway.settings.regions;
        allowed.allows(regions.get(&entry.data_centre))
    }

    /// Logs the choice of an upstream with its inputs.
    pub(super) fn log_choice(&self, entry: &UpstreamEntry, choice: &PlacementChoice) {
        let limits = SendLimits::of(self.gateway);
        let now = self.gateway.now();
        let (rate, share) = (limits.limit_of(entry, now), limits.share_of(entry, now));
        info!(self.gateway.log, "upstream chosen";
            "request" => &*self.request.metadata.attempt_id,
            "upstream" => %entry.id, "unread" => choice.uncached_tokens,
            "ahead" => choice.queued_tokens,
            "running" => choice.running, "expected_ms" => choice.expected.as_millis() as u64,
            "rate" => rate.map(|rate| rate.0), "share" => share.map(|share| share.0),
            "send" => self.sends + 1, "digest" => %self.features.digest, "parts" => self.format_parts(),
            "upstreams_revision" => %self.gateway.upstreams.borrow().latest(),
            "config" => self.admission.config.version.0);
    }

    /// Formats the ids of the prompt's first parts for a log line; `None` if there are none.
    fn format_parts(&self) -> Option<String> {
        let prompt = self.request.metadata.prompt.as_ref()?;
        let ids: Vec<String> = prompt
            .parts
            .iter()
            .take(MAX_LOGGED_PARTS)
            .map(|part| part.id.to_string())
            .collect();
        (!ids.is_empty()).then(|| ids.join(","))
    }
}
