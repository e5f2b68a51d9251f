//! Feeds the table of cold upstreams from the store, attempts and other VMs, and logs its
//! changes.

use std::time::Duration;
use std::time::Instant;

use slog::info;
use snipegate_platform::StoreRevision;
use snipegate_types::DataCentre;

use super::cold_state::ColdReason;
use super::cold_table::ColdChange;
use super::notice::ColdNotice;
use crate::attempt::SendFailure;
use crate::config::ColdRule;
use crate::gateway::Gateway;
use crate::short_watch::uses_short_watch;
use crate::store_task::StoreTask;
use crate::upstream::UpstreamEntry;

/// Every n-th message includes all cold upstreams.
const ALL_NOTICES_EVERY: u64 = 8;

/// Applies the entry of an upstream as read from the store.
pub fn record_cold_entry(gateway: &Gateway, entry: &UpstreamEntry, revision: StoreRevision) {
    let rule = cold_rule(gateway, &entry.service);
    let has_watched = gateway.upstreams_known.get();
    let now = gateway.now();
    let mut cold = gateway.cold.borrow_mut();
    cold.record_entry(entry, revision, has_watched, rule.as_ref(), now);
}

/// Applies what the response of an upstream says of how much longer it is cold.
pub fn record_cold_answer(gateway: &Gateway, entry: &UpstreamEntry, left: Option<Duration>) {
    if let Some(left) = left.filter(|left| !left.is_zero()) {
        let now = gateway.now();
        let mut cold = gateway.cold.borrow_mut();
        cold.assume(entry, left, ColdReason::Answer, now);
    }
}

/// Records that a connection to an upstream failed. While the store does not answer, the upstream
/// may have restarted under the same id.
pub fn record_broken_connection(gateway: &Gateway, entry: &UpstreamEntry, failure: SendFailure) {
    let is_end = match failure {
        SendFailure::ConnectRefused
        | SendFailure::NothingSent
        | SendFailure::Closed
        | SendFailure::Broken => true,
        SendFailure::ConnectTimedOut
        | SendFailure::Malformed
        | SendFailure::UnnamedRefusal
        | SendFailure::Silent
        | SendFailure::TooLarge
        | SendFailure::Displaced => false,
    };
    let now = gateway.now();
    if !is_end || gateway.store_contact.get().is_current(now) {
        return;
    }
    if let Some(rule) = cold_rule(gateway, &entry.service) {
        let mut cold = gateway.cold.borrow_mut();
        cold.assume(entry, rule.duration, ColdReason::ConnectionBroken, now);
        drop(cold);
        gateway.gossip_notify.notify_one();
    }
}

/// Counts the upstreams of a data centre as cold, since its evacuation has ended.
pub fn begin_cold_after_evacuation(gateway: &Gateway, data_centre: &DataCentre) {
    let now = gateway.now();
    let upstreams = gateway.upstreams.borrow();
    let mut cold = gateway.cold.borrow_mut();
    for entry in upstreams.in_data_centre(data_centre) {
        if let Some(rule) = cold_rule(gateway, &entry.service) {
            let entries = std::iter::once(entry);
            cold.begin(entries, rule.duration, ColdReason::EvacuationEnded, now);
        }
    }
}

/// Returns what to tell the other VMs with the message of this number.
pub fn build_cold_notices(gateway: &Gateway, number: u64, now: Instant) -> Vec<ColdNotice> {
    let peers = gateway.peers.borrow();
    let others = peers.reaching_store(now).map(|peer| &peer.vm);
    let is_reader = gateway.store_contact.get().is_current(now)
        && uses_short_watch(&gateway.settings.vm, others, StoreTask::Upstreams);
    let include_all = number.is_multiple_of(ALL_NOTICES_EVERY);
    let cold = gateway.cold.borrow();
    cold.notices(is_reader, include_all, now)
}

/// Applies the notices of another VM.
pub fn apply_cold_notices(gateway: &Gateway, notices: &[ColdNotice]) {
    let now = gateway.now();
    let reaches_store = gateway.store_contact.get().is_current(now);
    let upstreams = gateway.upstreams.borrow();
    let mut cold = gateway.cold.borrow_mut();
    for notice in notices {
        let id = upstreams.id_of(notice.upstream);
        let Some(entry) = id.and_then(|id| upstreams.get(id)) else {
            continue;
        };
        // The sender may not have read yet what this VM has.
        let known = upstreams.revision_of(&entry.id);
        let stated = notice
            .stated
            .filter(|(revision, _)| Some(*revision) >= known);
        let notice = ColdNotice { stated, ..*notice };
        cold.apply_notice(entry, &notice, reaches_store, now);
    }
}

/// Brings the limits of cold upstreams in line with what is known now. Returns what changed.
pub fn update_cold_upstreams(gateway: &Gateway, now: Instant) -> Vec<ColdChange> {
    let mut cold = gateway.cold.borrow_mut();
    let tolerance = &gateway.settings.cold_tolerance;
    cold.update(tolerance, |service| cold_rule(gateway, service), now)
}

/// Logs and counts upstreams that began or ceased to count as cold.
pub fn log_cold_changes(gateway: &Gateway, changes: &[ColdChange], now: Instant) {
    for change in changes {
        let reason: &'static str = change.reason.into();
        let id = &change.entry.id;
        let share = gateway.cold.borrow().share_of(&change.entry, now);
        if let Some(limit) = change.limit {
            gateway.metrics.count_tagged("upstream.cold", reason);
            info!(gateway.log, "upstream cold"; "upstream" => %id, "reason" => reason,
                "age_ms" => change.age.as_millis() as u64,
                "left_ms" => change.left.as_millis() as u64,
                "bound" => limit.bound, "rate" => limit.rate.0, "senders" => limit.senders,
                "share" => share.map(|share| share.0), "started_ms" => change.entry.started_ms);
        } else {
            gateway.metrics.count("upstream.warm");
            info!(gateway.log, "upstream warm"; "upstream" => %id, "reason" => reason,
                "age_ms" => change.age.as_millis() as u64);
        }
    }
}

fn cold_rule(gateway: &Gateway, service: &str) -> Option<ColdRule> {
    let config = gateway.config.borrow();
    config.as_ref()?.services.get(service)?.cold
}
