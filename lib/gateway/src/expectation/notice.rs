//! Tells the other VMs how fast upstreams answered this one.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use slog::info;
use snipegate_types::UpstreamId;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::return_share::ReturnShare;
use super::speed_sums::SpeedSums;
use crate::gateway::Gateway;
use crate::gateway::stable_hash;
use crate::gossip::PeerMessage;
use crate::gossip::gossip_spacing;
use crate::gossip::gossip_targets;
use crate::gossip::send_to;
use crate::upstream::upstream_code;

/// Shortest interval between two notices.
const SPEED_NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// What a VM observed of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Code of the upstream; see [`upstream_code`].
    pub upstream: u32,
    /// Decayed sum of the expected times to the first event, in ms.
    pub expected_ms: f32,
    /// Decayed sum of the observed ones, in ms.
    pub observed_ms: f32,
    /// Age of the latest observation, in ms.
    pub age_ms: u32,
}

/// What a VM observed of upstreams since its last notice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpeedNotice {
    /// Hash of the sender's name.
    pub sender: u64,
    /// What it observed.
    pub reports: Vec<SpeedReport>,
}

/// Sends notices until the process ends.
pub async fn announce_speeds(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        sleep(SPEED_NOTICE_INTERVAL.max(gossip_spacing(gateway.vm_count()))).await;
        let now = gateway.now();
        let Some(notice) = build_notice(&gateway, now) else {
            continue;
        };
        let targets = gossip_targets(&gateway, now);
        let direct = PeerMessage::SpeedNotice(notice.clone());
        send_to(&gateway, &socket, &direct, &targets.direct);
        let relayed = PeerMessage::RelaySpeedNotice(notice);
        send_to(&gateway, &socket, &relayed, &targets.relays);
        gateway.metrics.count("speed.notice_sent");
    }
}

fn build_notice(gateway: &Gateway, now: Instant) -> Option<Box<SpeedNotice>> {
    let news = gateway.loads.borrow_mut().take_speed_news();
    let reports: Vec<SpeedReport> = news
        .into_iter()
        .map(|(id, sums)| SpeedReport {
            upstream: upstream_code(&id),
            expected_ms: sums.expected_ms as f32,
            observed_ms: sums.observed_ms as f32,
            age_ms: now.saturating_duration_since(sums.at).as_millis() as u32,
        })
        .collect();
    let sender = stable_hash(gateway.settings.vm.as_str());
    (!reports.is_empty()).then(|| Box::new(SpeedNotice { sender, reports }))
}

/// Takes another VM's notice into account.
pub fn apply_speeds(gateway: &Gateway, notice: &SpeedNotice) {
    let now = gateway.now();
    if notice.sender == stable_hash(gateway.settings.vm.as_str()) {
        return;
    }
    let upstreams = gateway.upstreams.borrow();
    for report in &notice.reports {
        let Some(id) = upstreams.id_of(report.upstream) else {
            continue;
        };
        let (expected, observed) = (f64::from(report.expected_ms), f64::from(report.observed_ms));
        if !(expected >= 0.0 && observed >= 0.0 && (expected + observed).is_finite()) {
            continue;
        }
        let age = Duration::from_millis(u64::from(report.age_ms));
        let sums = SpeedSums {
            expected_ms: expected,
            observed_ms: observed,
            at: now.checked_sub(age).unwrap_or(now),
        };
        let mut loads = gateway.loads.borrow_mut();
        let change = loads.record_peer_speed(id, notice.sender, sums, now);
        drop(loads);
        log_return_share(gateway, id, change, "vm");
    }
}

/// Logs and counts a change of which upstreams are left out.
pub fn log_return_share(
    gateway: &Gateway,
    id: &UpstreamId,
    change: Option<ReturnShare>,
    source: &str,
) {
    let (reason, faults, until) = match change {
        None | Some(ReturnShare::Full) => return,
        Some(ReturnShare::Excluded { until, faults }) => ("excluded", faults, Some(until)),
        Some(ReturnShare::Returning { faults, .. }) => ("returning", faults, None),
    };
    let left = until.map(|until| until.saturating_duration_since(gateway.now()));
    gateway.metrics.count_tagged("upstream.return", reason);
    info!(gateway.log, "upstream speed judged"; "upstream" => %id, "reason" => reason,
        "source" => source, "faults" => faults,
        "left_ms" => left.map(|left| left.as_millis() as u64));
}
