//! The choice of an upstream for one attempt.

use slog::info;

use super::Relay;
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
        let upstreams = self.gateway.upstreams.borrow();
        let mut rates = self.gateway.rates.borrow_mut();
        let priority = self.admission.priority;
        let available: Vec<&UpstreamEntry> = upstreams
            .available(&self.service, now)
            .filter(|entry| rates.may_send(entry, priority, now))
            .collect();
        let rate_limited = rates.limited_of(&available);
        let query = PlacementQuery {
            prompt: self.request.metadata.prompt.as_ref(),
            tried: &self.tried,
            rate_limited: &rate_limited,
            data_centre: &self.gateway.settings.data_centre,
        };
        let mut loads = self.gateway.loads.borrow_mut();
        let choice = choose(&mut loads, available.into_iter(), &query, now)?;
        let entry = upstreams.get(&choice.id)?.clone();
        rates.record_send(&entry, now);
        Some((entry, choice))
    }

    /// Logs the choice of an upstream with its inputs.
    pub(super) fn log_choice(&self, entry: &UpstreamEntry, choice: &PlacementChoice) {
        let rates = self.gateway.rates.borrow();
        let (rate, share) = (rates.limit_of(entry), rates.share_of(entry));
        info!(self.gateway.log, "upstream chosen";
            "request" => &*self.request.metadata.attempt_id,
            "upstream" => %entry.id, "unread" => choice.uncached_tokens,
            "ahead" => choice.queued_tokens,
            "running" => choice.running, "cached" => choice.cached_tokens,
            "wait_ms" => choice.wait.as_millis() as u64,
            "slowness" => choice.slowness.map(|slowness| slowness.factor),
            "slowness_age_ms" => choice.slowness.map(|slowness| slowness.age.as_millis() as u64),
            "expected_ms" => choice.expected.as_millis() as u64,
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
