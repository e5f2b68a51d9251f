//! Samples the load of this VM and applies what follows from it.

use std::rc::Rc;

use slog::info;
use snipegate_http1::SocketTraffic;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::room::load_meter::LoadMeter;
use crate::room::load_meter::LoadSample;
use crate::room::load_meter::LoadTotals;
use crate::room::load_meter::SAMPLE_INTERVAL;
use crate::room::readiness::ReadinessChange;

/// Samples the load until the process ends.
pub async fn monitor_load(gateway: Rc<Gateway>) {
    let mut meter = LoadMeter::new(load_totals(&gateway), gateway.now());
    loop {
        sleep(SAMPLE_INTERVAL).await;
        let now = gateway.now();
        let Some(sample) = meter.sample(load_totals(&gateway), now) else {
            continue;
        };
        let own = &gateway.settings.data_centre;
        let peers = gateway.peers.borrow();
        let has_others = peers
            .live_serving(now)
            .any(|record| record.data_centre == *own);
        drop(peers);
        let mut readiness = gateway.room.readiness.borrow_mut();
        let change = readiness.record_sample(&sample, has_others, now);
        drop(readiness);
        if let Some(change) = change {
            log_change(&gateway, &sample, change);
        }
    }
}

fn load_totals(gateway: &Gateway) -> LoadTotals {
    LoadTotals {
        traffic: SocketTraffic::total(),
        requests: gateway.room.requests.get(),
    }
}

fn log_change(gateway: &Gateway, sample: &LoadSample, change: ReadinessChange) {
    let (ready, reason, until) = match change {
        ReadinessChange::Overloaded(overload, until) => (false, overload.cause.into(), Some(until)),
        ReadinessChange::HoldEnded => (true, "hold_ended", None),
        ReadinessChange::NoOtherVm => (true, "no_other_vm", None),
    };
    gateway.metrics.count_tagged("room.readiness", reason);
    let hold = until.map(|until| until.saturating_duration_since(gateway.now()));
    info!(gateway.log, "readiness changed"; "ready" => ready, "reason" => reason,
        "received" => sample.received.0 as u64, "sent" => sample.sent.0 as u64,
        "link" => gateway.settings.capacity.link.map(|link| link.0 as u64),
        "late_ms" => sample.lateness.as_millis() as u64,
        "hold_ms" => hold.map(|hold| hold.as_millis() as u64));
}
