//! Samples the load of this VM, applies the notices of others, and logs what is decided.

use std::rc::Rc;

use slog::info;
use snipegate_http1::SocketTraffic;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::room::hold::KnownHold;
use crate::room::load_meter::LoadMeter;
use crate::room::load_meter::LoadReading;
use crate::room::load_meter::LoadSample;
use crate::room::load_meter::SAMPLE_INTERVAL;
use crate::room::notice::RoomNotice;
use crate::room::readiness::ReadinessDecision;
use crate::room::readiness::ReadinessEvent;

/// Samples the load until the process ends.
pub async fn monitor_load(gateway: Rc<Gateway>) {
    let mut meter = LoadMeter::new(read_load(&gateway), gateway.now());
    loop {
        sleep(SAMPLE_INTERVAL).await;
        if let Some(sample) = meter.sample(read_load(&gateway), gateway.now()) {
            apply_sample(&gateway, &sample);
        }
    }
}

fn read_load(gateway: &Gateway) -> LoadReading {
    let used = gateway.connections.get() as f64;
    let accepted = gateway.settings.caller_connections.max(1) as f64;
    LoadReading {
        streams: SocketTraffic::of_streams(),
        datagrams: gateway.room.datagrams.get(),
        requests: gateway.room.requests.get(),
        free_memory: gateway.response_memory.free_share(),
        free_descriptors: 1.0 - used / accepted,
    }
}

/// Applies a sample of this VM's load.
fn apply_sample(gateway: &Gateway, sample: &LoadSample) {
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    let contact = |vm: &_| peers.contact(vm, now);
    let mut readiness = gateway.room.readiness.borrow_mut();
    let decision = readiness.record_sample(sample, contact, now);
    drop(readiness);
    if let Some(decision) = decision {
        announce_decision(gateway, &decision);
    }
}

/// Applies another VM's notice.
pub fn apply_notice(gateway: &Gateway, notice: RoomNotice) {
    if notice.vm == gateway.settings.vm {
        return;
    }
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    let contact = |vm: &_| peers.contact(vm, now);
    let mut readiness = gateway.room.readiness.borrow_mut();
    let (is_changed, decision) = readiness.record_notice(notice.clone(), contact, now);
    drop(readiness);
    gateway.metrics.count("room.notice_received");
    if is_changed {
        info!(gateway.log, "vm room changed"; "vm" => %notice.vm, "ready" => notice.is_ready,
            "overloaded" => notice.is_overloaded, "number" => notice.number,
            "received" => notice.room.load.received.0 as u64,
            "sent" => notice.room.load.sent.0 as u64,
            "link" => notice.room.link.map(|link| link.0 as u64),
            "left_ms" => notice.hold.map(|hold| hold.left.as_millis() as u64));
    }
    if let Some(decision) = decision {
        announce_decision(gateway, &decision);
    }
}

/// Logs and counts a decision on this VM's readiness, and has the other VMs told.
fn announce_decision(gateway: &Gateway, decision: &ReadinessDecision) {
    let (reason, hold): (&str, Option<KnownHold>) = match decision.event {
        ReadinessEvent::Overloaded(overload, hold) => (overload.cause.into(), Some(hold)),
        ReadinessEvent::Withheld(hold) => ("withheld", Some(hold)),
        ReadinessEvent::Prolonged(hold) => ("prolonged", Some(hold)),
        ReadinessEvent::KeptReady(_) => ("kept_ready", None),
        ReadinessEvent::HoldEnded => ("hold_ended", None),
        ReadinessEvent::Released => ("released", None),
        ReadinessEvent::NoOtherVm => ("no_other_vm", None),
    };
    let overload = match decision.event {
        ReadinessEvent::Overloaded(overload, _) | ReadinessEvent::KeptReady(overload) => {
            Some(overload)
        }
        _ => None,
    };
    let cause: Option<&str> = overload.map(|overload| overload.cause.into());
    let now = gateway.now();
    let notice = gateway.room.readiness.borrow().notice(now);
    let load = &notice.room.load;
    gateway.metrics.count_tagged("room.readiness", reason);
    info!(gateway.log, "readiness decided"; "ready" => notice.is_ready, "reason" => reason,
        "cause" => cause, "traffic" => overload.map(|overload| overload.traffic.0 as u64),
        "received" => load.received.0 as u64, "sent" => load.sent.0 as u64,
        "link" => notice.room.link.map(|link| link.0 as u64),
        "free_processor" => load.free.processor,
        "demand" => hold.map(|hold| hold.demand.traffic.0 as u64),
        "hold" => hold.map(|hold| format!("{:x}.{}", hold.id.incarnation, hold.id.number)),
        "left_ms" => hold.map(|hold| {
            hold.until.saturating_duration_since(now).as_millis() as u64
        }),
        "others" => decision.others,
        "oldest_notice_ms" => decision.oldest_notice.as_millis() as u64);
    gateway.room.changed.notify_one();
}
