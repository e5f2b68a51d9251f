//! Tells the other VMs what is free at this one.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gossip::PeerMessage;
use crate::gossip::gossip_spacing;
use crate::gossip::gossip_targets;
use crate::gossip::send_to;
use crate::room::notice::RoomNotice;

/// Interval between two notices.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of times that the notice of a change is repeated early, since a datagram may be lost
/// on a saturated link.
const CHANGE_REPEATS: u32 = 2;

/// Interval between the repeated notices of a change.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Sends notices until the process ends.
pub async fn announce_room(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut repeats = 0;
    loop {
        send_notice(&gateway, &socket);
        let pause = match repeats {
            0 => NOTICE_INTERVAL.max(gossip_spacing(gateway.vm_count())),
            _ => REPEAT_INTERVAL,
        };
        repeats = match timeout(pause, gateway.room.changed.notified()).await {
            Ok(()) => CHANGE_REPEATS,
            Err(_) => repeats.saturating_sub(1),
        };
    }
}

fn send_notice(gateway: &Gateway, socket: &UdpSocket) {
    let now = gateway.now();
    let notice = gateway.room.readiness.borrow_mut().next_notice(now);
    record_gauges(gateway, &notice);
    let targets = gossip_targets(gateway, now);
    let notice = Box::new(notice);
    let direct = PeerMessage::RoomNotice(notice.clone());
    send_to(gateway, socket, &direct, &targets.direct);
    let relayed = PeerMessage::RelayRoomNotice(notice);
    send_to(gateway, socket, &relayed, &targets.relays);
    gateway.metrics.count("room.notice_sent");
}

fn record_gauges(gateway: &Gateway, notice: &RoomNotice) {
    let free = &notice.room.load.free;
    let percent = |share: f32| (share * 100.0).round() as u64;
    let metrics = &gateway.metrics;
    metrics.set_gauge("room.ready", u64::from(notice.is_ready));
    metrics.set_gauge("room.free_requests", notice.offer.free.0.round() as u64);
    metrics.set_gauge("room.free_link_percent", percent(free.link));
    metrics.set_gauge("room.free_processor_percent", percent(free.processor));
    metrics.set_gauge("room.free_memory_percent", percent(free.memory));
    metrics.set_gauge("room.free_descriptors_percent", percent(free.descriptors));
}
