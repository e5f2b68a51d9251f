//! Fleet-wide rate limits that upstreams advertise in their responses.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::RequestRate;
use snipegate_types::UpstreamId;

use crate::gateway::stable_hash;
use crate::gossip::ANNOUNCE_PERIOD;
use crate::metadata::RateLimitNotice;
use crate::send_pacer::MAX_SPACING;
use crate::send_pacer::SendPacer;
use crate::upstream::UpstreamEntry;
use crate::upstream::upstream_code;

/// Maximum number of upstreams with a remembered rate. An entry that is removed may return,
/// so rates are kept until the table is full.
const MAX_UPSTREAMS: usize = 4096;

/// Maximum number of rates in one gossip message.
const MAX_ANNOUNCED: usize = 128;

/// Interval at which shares are recomputed.
const SHARE_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Logical timestamp of an upstream's rate limit; the highest stamp wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateStamp {
    /// Number of changes known to the VM that observed this one, including it.
    pub changes: u64,
    /// Hash of the name of that VM, which breaks ties.
    pub vm: u64,
}

/// Announcement of an upstream's rate limit to other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateAnnouncement {
    /// Code of the upstream; see [`upstream_code`].
    pub upstream: u32,
    /// Start time of the upstream's run, if published.
    pub started_ms: Option<u64>,
    /// The limit; `None` if it was lifted.
    pub limit: Option<RequestRate>,
    /// Logical timestamp of this information.
    pub stamp: RateStamp,
}

/// Change of an upstream's known rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateChange {
    /// Previous limit, if any.
    pub before: Option<RequestRate>,
    /// New limit, if any.
    pub now: Option<RequestRate>,
    /// Logical timestamp of the new limit.
    pub stamp: RateStamp,
}

/// Response of an upstream with its rate notice.
#[derive(Clone, Copy, Debug)]
pub struct RateAnswer<'a> {
    /// Entry of the upstream when the request was sent.
    pub entry: &'a UpstreamEntry,
    /// Rate notice in the response.
    pub notice: RateLimitNotice,
    /// When the request was sent.
    pub sent_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct KnownRate {
    /// Start time of the upstream's run; another run has its own limit.
    started_ms: Option<u64>,
    /// `None` once a response has shown that the limit was lifted.
    limit: Option<RequestRate>,
    stamp: RateStamp,
    /// When this VM learned of the limit.
    learned_at: Instant,
    /// Until when every gossip message includes it.
    announce_until: Instant,
    pacer: SendPacer,
}

/// Rate limits by upstream. Upstreams that never advertised one have no entry.
#[derive(Clone, Debug, Default)]
pub struct RateTable {
    /// Hash of this VM's name.
    vm: u64,
    rates: IndexMap<UpstreamId, KnownRate>,
    refreshed_at: Option<Instant>,
}

impl RateTable {
    /// Creates the table of a VM, given by the hash of its name.
    pub fn new(vm: u64) -> Self {
        Self {
            vm,
            ..Self::default()
        }
    }

    /// Applies the rate notice of a response.
    ///
    /// Responses may arrive out of order. A lower limit applies at once. A higher limit, or
    /// the end of the limit, applies only if the request was sent after the current limit
    /// was learned: the response to an earlier request may be older than the one with the
    /// limit.
    pub fn apply_answer(&mut self, answer: &RateAnswer<'_>, now: Instant) -> Option<RateChange> {
        let known = self.known_rate(answer.entry);
        let before = known.and_then(|known| known.limit);
        let limit = match answer.notice {
            RateLimitNotice::Unknown => return None,
            RateLimitNotice::Unlimited => None,
            RateLimitNotice::Limited(rate) => Some(rate),
        };
        let is_raised = match (before, limit) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(before), Some(limit)) => limit > before,
        };
        let may_be_outdated = known.is_some_and(|known| answer.sent_at <= known.learned_at);
        if before == limit || (is_raised && may_be_outdated) {
            return None;
        }
        let stamp = RateStamp {
            changes: known.map_or(0, |known| known.stamp.changes) + 1,
            vm: self.vm,
        };
        Some(self.store_limit(answer.entry, limit, stamp, now))
    }

    /// Applies another VM's announcement for the upstream of an entry.
    pub fn apply_announcement(
        &mut self,
        entry: &UpstreamEntry,
        announcement: &RateAnnouncement,
        now: Instant,
    ) -> Option<RateChange> {
        if announcement.started_ms != entry.started_ms {
            return None;
        }
        let known = self.known_rate(entry).map(|known| known.stamp);
        if known.is_some_and(|known| announcement.stamp < known) {
            self.announce_again(&entry.id, now);
            return None;
        }
        if known == Some(announcement.stamp) {
            return None;
        }
        Some(self.store_limit(entry, announcement.limit, announcement.stamp, now))
    }

    fn store_limit(
        &mut self,
        entry: &UpstreamEntry,
        limit: Option<RequestRate>,
        stamp: RateStamp,
        now: Instant,
    ) -> RateChange {
        let known = self.known_rate(entry);
        let before = known.and_then(|known| known.limit);
        let pacer = known
            .filter(|_| before.is_some())
            .map_or_else(|| SendPacer::new(now), |known| known.pacer);
        let learned = KnownRate {
            started_ms: entry.started_ms,
            limit,
            stamp,
            learned_at: now,
            announce_until: now + ANNOUNCE_PERIOD,
            pacer,
        };
        if self.rates.len() >= MAX_UPSTREAMS {
            self.rates.shift_remove_index(0);
        }
        self.rates.insert(entry.id.clone(), learned);
        self.refreshed_at = None;
        RateChange {
            before,
            now: limit,
            stamp,
        }
    }

    /// Sets a limit that no upstream advertised, for this VM alone.
    pub fn set_limit(&mut self, entry: &UpstreamEntry, limit: Option<RequestRate>, now: Instant) {
        if self.limit_of(entry) != limit {
            self.store_limit(entry, limit, RateStamp::default(), now);
        }
    }

    fn announce_again(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(known) = self.rates.get_mut(id) {
            known.announce_until = now + ANNOUNCE_PERIOD;
        }
    }

    /// Announces all limits again, for example for a VM that may know none.
    pub fn announce_all(&mut self, now: Instant) {
        for known in self.rates.values_mut() {
            known.announce_until = now + ANNOUNCE_PERIOD;
        }
    }

    /// Returns the announcements for a gossip message: recent changes and, if `include_all` is
    /// set, all limits in force.
    pub fn announcements(&self, include_all: bool, now: Instant) -> Vec<RateAnnouncement> {
        self.rates
            .iter()
            .rev()
            .filter(|(_, known)| {
                now < known.announce_until || (include_all && known.limit.is_some())
            })
            .map(|(id, known)| RateAnnouncement {
                upstream: upstream_code(id),
                started_ms: known.started_ms,
                limit: known.limit,
                stamp: known.stamp,
            })
            .take(MAX_ANNOUNCED)
            .collect()
    }

    /// Returns whether this VM's shares are due for a refresh.
    pub fn is_refresh_due(&self, now: Instant) -> bool {
        let is_old = |at| now.saturating_duration_since(at) >= SHARE_REFRESH_INTERVAL;
        !self.rates.is_empty() && self.refreshed_at.is_none_or(is_old)
    }

    /// Sets this VM's share of each limit to the result of `share`, called with the hash of
    /// the upstream's id and the limit.
    pub fn refresh(
        &mut self,
        now: Instant,
        share: impl Fn(u64, RequestRate) -> Option<RequestRate>,
    ) {
        self.refresh_pacers(now, |id, limit, pacer| {
            pacer.set_share(share(stable_hash(id.as_str()), limit), now);
        });
    }

    /// Calls `set_share` with the id, the limit and the pacer of each limited upstream.
    pub fn refresh_pacers(
        &mut self,
        now: Instant,
        set_share: impl Fn(&UpstreamId, RequestRate, &mut SendPacer),
    ) {
        for (id, known) in &mut self.rates {
            if let Some(limit) = known.limit {
                set_share(id, limit, &mut known.pacer);
            }
        }
        self.refreshed_at = Some(now);
    }

    /// Returns the limit of an upstream, if it has one.
    pub fn limit_of(&self, entry: &UpstreamEntry) -> Option<RequestRate> {
        self.known_rate(entry).and_then(|known| known.limit)
    }

    /// Returns the ids of those upstreams that have a limit.
    pub fn limited_of(&self, entries: &[&UpstreamEntry]) -> Vec<UpstreamId> {
        entries
            .iter()
            .filter(|entry| self.limited_rate(entry).is_some())
            .map(|entry| entry.id.clone())
            .collect()
    }

    /// Returns this VM's share of the limit of an upstream, if it has one.
    pub fn share_of(&self, entry: &UpstreamEntry) -> Option<RequestRate> {
        self.limited_rate(entry)
            .and_then(|known| known.pacer.share())
    }

    /// Returns whether this VM may send a request of this priority to an upstream now; 0 is
    /// the most urgent.
    pub fn may_send(&self, entry: &UpstreamEntry, priority: u8, now: Instant) -> bool {
        self.limited_rate(entry)
            .is_none_or(|known| known.pacer.may_send(priority, now))
    }

    /// Reserves the next send to an upstream for requests at least as urgent as a refused
    /// one.
    pub fn reserve_for(&mut self, entry: &UpstreamEntry, priority: u8, now: Instant) {
        if let Some(known) = self.rates.get_mut(&entry.id) {
            known.pacer.reserve_for(priority, now);
        }
    }

    /// Returns when this VM or another one may send to a limited upstream again.
    pub fn next_send_at(&self, entry: &UpstreamEntry, now: Instant) -> Option<Instant> {
        let known = self.limited_rate(entry)?;
        let limit = known.limit?;
        let by_others = || now + limit.interval(MAX_SPACING);
        Some(known.pacer.next_send_at().unwrap_or_else(by_others))
    }

    /// Returns the sum of the limits of the upstreams, or `None` if one of them has no
    /// limit.
    pub fn total_limit<'a>(
        &self,
        entries: impl Iterator<Item = &'a UpstreamEntry>,
    ) -> Option<RequestRate> {
        let mut total = None;
        for entry in entries {
            let limit = self.limit_of(entry)?;
            let sum = total.map_or(0.0, |total: RequestRate| total.0) + limit.0;
            total = Some(RequestRate(sum));
        }
        total
    }

    /// Records that this VM sends to an upstream.
    pub fn record_send(&mut self, entry: &UpstreamEntry, now: Instant) {
        if let Some(known) = self.rates.get_mut(&entry.id) {
            known.pacer.record_send(now);
        }
    }

    fn limited_rate(&self, entry: &UpstreamEntry) -> Option<&KnownRate> {
        self.known_rate(entry).filter(|known| known.limit.is_some())
    }

    fn known_rate(&self, entry: &UpstreamEntry) -> Option<&KnownRate> {
        self.rates
            .get(&entry.id)
            .filter(|known| known.started_ms == entry.started_ms)
    }
}
