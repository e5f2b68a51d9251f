//! Log line and metric for changes of upstreams' rate limits.

use std::time::Duration;

use slog::info;
use snipegate_types::VmId;

use crate::gateway::Gateway;
use crate::rate_table::RateChange;
use crate::upstream::UpstreamEntry;

/// How this VM learned of a change.
#[derive(Clone, Copy, Debug)]
pub enum RateSource<'a> {
    /// From the response to the request with this id, sent this long ago.
    Answer(&'a str, Duration),
    /// From a gossip message of this VM.
    Vm(&'a VmId),
}

/// Logs and counts a change of an upstream's known rate limit.
pub fn log_rate_change(
    gateway: &Gateway,
    entry: &UpstreamEntry,
    change: &RateChange,
    source: RateSource<'_>,
) {
    let (request, age, peer) = match source {
        RateSource::Answer(request, age) => (Some(request), Some(age.as_millis() as u64), None),
        RateSource::Vm(vm) => (None, None, Some(vm.as_str())),
    };
    let reason = if peer.is_some() { "vm" } else { "answer" };
    gateway
        .metrics
        .count_tagged("upstream.rate_changed", reason);
    info!(gateway.log, "upstream rate changed"; "upstream" => %entry.id,
        "before" => change.before.map(|rate| rate.0), "rate" => change.now.map(|rate| rate.0),
        "started_ms" => entry.started_ms, "stamp" => change.stamp.changes,
        "request" => request, "sent_ms_ago" => age, "peer" => peer);
}
