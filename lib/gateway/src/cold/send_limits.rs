//! The limits on sends to upstreams: those that they advertise, and those of cold ones.

use std::cell::RefMut;
use std::time::Instant;

use snipegate_types::RequestRate;
use snipegate_types::UpstreamId;

use super::cold_table::ColdTable;
use crate::gateway::Gateway;
use crate::rate_table::RateTable;
use crate::upstream::UpstreamEntry;

/// Both kinds of limits. A send has to keep to both, so the lower one applies.
pub struct SendLimits<'a> {
    rates: RefMut<'a, RateTable>,
    cold: RefMut<'a, ColdTable>,
}

impl<'a> SendLimits<'a> {
    /// Borrows the limits of a VM.
    pub fn of(gateway: &'a Gateway) -> Self {
        Self {
            rates: gateway.rates.borrow_mut(),
            cold: gateway.cold.borrow_mut(),
        }
    }

    /// Returns the upstreams to which this VM should send a request of this priority. Urgent
    /// requests leave cold ones to others for a while, if there is another one.
    pub fn allowed<'e>(
        &self,
        entries: impl Iterator<Item = &'e UpstreamEntry>,
        priority: u8,
        now: Instant,
    ) -> Vec<&'e UpstreamEntry> {
        let mut allowed: Vec<&UpstreamEntry> = entries
            .filter(|entry| self.rates.may_send(entry, priority, now))
            .filter(|entry| self.cold.may_send(entry, priority, now))
            .collect();
        let is_warm = |entry: &&UpstreamEntry| self.cold.limit_of(entry, now).is_none();
        if allowed.iter().any(is_warm) {
            allowed.retain(|entry| self.cold.should_send(entry, priority, now));
        }
        allowed
    }

    /// Returns the ids of those upstreams that have a limit.
    pub fn limited_of(&self, entries: &[&UpstreamEntry], now: Instant) -> Vec<UpstreamId> {
        entries
            .iter()
            .filter(|entry| self.limit_of(entry, now).is_some())
            .map(|entry| entry.id.clone())
            .collect()
    }

    /// Returns the lower limit of an upstream, if it has one.
    pub fn limit_of(&self, entry: &UpstreamEntry, now: Instant) -> Option<RequestRate> {
        let cold = self.cold.limit_of(entry, now).map(|limit| limit.rate);
        let lower = |a: RequestRate, b: RequestRate| RequestRate(a.0.min(b.0));
        [self.rates.limit_of(entry), cold]
            .into_iter()
            .flatten()
            .reduce(lower)
    }

    /// Returns this VM's lower share of a limit of an upstream, if it has one.
    pub fn share_of(&self, entry: &UpstreamEntry, now: Instant) -> Option<RequestRate> {
        let shares = [self.rates.share_of(entry), self.cold.share_of(entry, now)];
        let lower = |a: RequestRate, b: RequestRate| RequestRate(a.0.min(b.0));
        shares.into_iter().flatten().reduce(lower)
    }

    /// Reserves the next send to an upstream for requests at least as urgent as a refused one.
    pub fn reserve_for(&mut self, entry: &UpstreamEntry, priority: u8, now: Instant) {
        self.rates.reserve_for(entry, priority, now);
        self.cold.reserve_for(entry, priority, now);
    }

    /// Returns when this VM or another one may send to a limited upstream again.
    pub fn next_send_at(&self, entry: &UpstreamEntry, now: Instant) -> Option<Instant> {
        let advertised = self.rates.next_send_at(entry, now);
        advertised.max(self.cold.next_send_at(entry, now))
    }

    /// Returns the sum of the limits of the upstreams, or `None` if one of them has no limit.
    pub fn total_limit<'e>(
        &self,
        entries: impl Iterator<Item = &'e UpstreamEntry>,
        now: Instant,
    ) -> Option<RequestRate> {
        let mut total = None;
        for entry in entries {
            let limit = self.limit_of(entry, now)?;
            let sum = total.map_or(0.0, |total: RequestRate| total.0) + limit.0;
            total = Some(RequestRate(sum));
        }
        total
    }

    /// Returns when the first of the upstreams is warm, if one is limited only by being cold.
    pub fn next_warm_at<'e>(
        &self,
        entries: impl Iterator<Item = &'e UpstreamEntry>,
        now: Instant,
    ) -> Option<Instant> {
        entries
            .filter(|entry| self.rates.limit_of(entry).is_none())
            .filter_map(|entry| self.cold.warm_at(entry, now))
            .min()
    }

    /// Returns how many of the upstreams are cold.
    pub fn cold_count<'e>(
        &self,
        entries: impl Iterator<Item = &'e UpstreamEntry>,
        now: Instant,
    ) -> usize {
        let is_cold = |entry: &&UpstreamEntry| self.cold.limit_of(entry, now).is_some();
        entries.filter(is_cold).count()
    }

    /// Records that this VM sends to an upstream.
    pub fn record_send(&mut self, entry: &UpstreamEntry, now: Instant) {
        self.rates.record_send(entry, now);
        self.cold.record_send(entry, now);
    }
}
