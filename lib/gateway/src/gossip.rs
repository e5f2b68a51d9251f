//! Gossip between VMs over UDP: load at each upstream, placed prompts, scarce budgets,
//! and how recent each VM's view of the store is.
//!
//! Safety does not depend on it; a lost datagram only makes decisions less accurate.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use slog::debug;
use slog::info;
use snipegate_platform::StoreRevision;
use snipegate_types::PartId;
use snipegate_types::TokenCount;
use snipegate_types::VmId;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::budget_exchange::report_remaining;
use crate::budget_exchange::scarce_budgets;
use crate::expectation::SpeedNotice;
use crate::expectation::announce_speeds;
use crate::expectation::apply_speeds;
use crate::feature_guard::apply_feature_news;
use crate::feature_table::FeatureNews;
use crate::gateway::Gateway;
use crate::gateway::stable_hash;
use crate::load::UpstreamReport;
use crate::metadata::PromptPart;
use crate::peers::GossipTargets;
use crate::peers::VmRecord;
use crate::promise_keeper::handle_promise;
use crate::promise_keeper::handle_query;
use crate::promise_keeper::handle_receipt;
use crate::promise_keeper::handle_testimony;
use crate::rate_log::RateSource;
use crate::rate_log::log_rate_change;
use crate::rate_table::RateAnnouncement;
use crate::room::RoomNotice;
use crate::room::announce_room;
use crate::room::apply_notice;
use crate::spending_witness::PromiseQuery;
use crate::spending_witness::PromiseReceipt;
use crate::spending_witness::SpendingPromise;
use crate::spending_witness::SpendingTestimony;
use crate::token_request::FreeTokens;
use crate::token_request::TokenAnswer;
use crate::token_request::TokenRequest;
use crate::token_request::handle_token_answer;
use crate::token_request::handle_token_request;
use crate::transfer::TokenTransfer;
use crate::transfer::acknowledge_transfer;
use crate::transfer::handle_transfer;
use crate::upstream::upstream_code;

/// Shortest pause between two gossip messages.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum rate of datagrams per VM, in datagrams per second.
const MAX_DATAGRAM_RATE: f64 = 300.0;

/// Longest pause between two gossip messages.
const MAX_GOSSIP_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest pause between two gossip messages of a VM whose link is saturated, so that its own
/// traffic yields to that of callers. Other VMs still hear it in time if a message is lost.
const SATURATED_GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// How long a change that VMs announce is included in every message.
pub const ANNOUNCE_PERIOD: Duration = Duration::from_secs(2);

/// Every n-th message includes the free tokens.
const FREE_TOKENS_EVERY: u64 = 8;

/// Every n-th message includes all rate limits.
const ALL_RATES_EVERY: u64 = 8;

/// Minimum number of VMs in a data centre for messages to be sent to one of them, which
/// relays them to the others.
const MIN_VMS_FOR_RELAY: usize = 6;

/// Size of the receive buffer, in bytes: more than the largest UDP datagram.
const MAX_MESSAGE_SIZE: usize = 64 * 1024;

/// How long an announcement that a budget is scarce remains valid.
pub const SCARCE_TTL: Duration = Duration::from_secs(1);

/// A prompt that was sent to an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacedPrompt {
    /// Code of the upstream; see [`upstream_code`].
    pub upstream: u32,
    /// Id and length in tokens of each part of the prompt.
    pub parts: Vec<(PartId, u64)>,
}

/// Periodic message from one VM to the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Record of the sender.
    pub sender: VmRecord,
    /// Configuration version in force at the sender.
    pub config: u64,
    /// Revision of the newest upstream change known to the sender.
    pub upstreams: StoreRevision,
    /// Whether the sender reaches the store.
    pub reaches_store: bool,
    /// Whether a store outage has just ended for the sender.
    pub store_regained: bool,
    /// The sender's load by upstream code. Upstreams that are not listed have no load.
    pub loads: Vec<(u32, UpstreamReport)>,
    /// Prompts placed by the sender since its last message.
    pub placed: Vec<PlacedPrompt>,
    /// Hashes of workspaces whose budget is scarce at the sender.
    pub scarce: Vec<u64>,
    /// Free tokens at the sender, by hash of the workspace.
    pub free: Vec<(u64, TokenCount)>,
    /// Upper bound on the sender's remaining tokens of recently scarce budgets, by hash of
    /// the workspace.
    pub left: Vec<(u64, TokenCount)>,
    /// Rate limits that changed recently, or all of them.
    pub rates: Vec<RateAnnouncement>,
}

/// Content of one datagram between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Periodic state of the sender.
    Gossip(Box<GossipMessage>),
    /// Like `Gossip`, to be relayed to the other VMs of the receiver's data centre.
    Relay(Box<GossipMessage>),
    /// Request for tokens of a budget.
    #[serde(rename = "TokenAsk")]
    TokenRequest(TokenRequest),
    /// Reply to a token request of the receiver.
    TokenAnswer(TokenAnswer),
    /// Tokens moved from the sender's grant to the receiver.
    Transfer(TokenTransfer),
    /// Acknowledges the transfer with this number.
    TransferTaken(u64),
    /// News of features that crash upstreams.
    #[serde(rename = "PartNews")]
    FeatureNews(Box<FeatureNews>),
    /// Like `FeatureNews`, to be relayed to the other VMs of the receiver's data centre.
    #[serde(rename = "RelayPartNews")]
    RelayFeatureNews(Box<FeatureNews>),
    /// Promise of the sender to its witness, the receiver.
    SpendingPromise(Box<SpendingPromise>),
    /// Confirms a promise of the receiver.
    PromiseReceipt(PromiseReceipt),
    /// Asks for the promises of an earlier process of the sender's VM.
    PromiseQuery(PromiseQuery),
    /// Answers a question of the receiver for promises.
    SpendingTestimony(Box<SpendingTestimony>),
    /// Capacity, load and readiness of the sender.
    RoomNotice(Box<RoomNotice>),
    /// Like `RoomNotice`, to be relayed to the other VMs of the receiver's data centre.
    RelayRoomNotice(Box<RoomNotice>),
    /// How fast upstreams answered the sender.
    SpeedNotice(Box<SpeedNotice>),
    /// Like `SpeedNotice`, to be relayed to the other VMs of the receiver's data centre.
    RelaySpeedNotice(Box<SpeedNotice>),
}

/// Sends and receives messages over the VM's gossip socket until the process ends.
pub async fn exchange_gossip(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let receiver = Rc::clone(&socket);
    tokio::task::spawn_local(receive_messages(Rc::clone(&gateway), receiver));
    tokio::task::spawn_local(announce_room(Rc::clone(&gateway), Rc::clone(&socket)));
    tokio::task::spawn_local(announce_speeds(Rc::clone(&gateway), Rc::clone(&socket)));
    let mut number = 0;
    loop {
        let wake = timeout(MAX_GOSSIP_INTERVAL, gateway.gossip_notify.notified());
        tokio::select! {
            _ = wake => {}
            () = gateway.direct_notify.notified() => {
                send_direct_messages(&gateway, &socket);
                continue;
            }
        }
        send_gossip(&gateway, &socket, number);
        number += 1;
        send_direct_messages(&gateway, &socket);
        let mut spacing = gossip_spacing(gateway.vm_count());
        if gateway.is_link_saturated() {
            spacing = spacing.max(SATURATED_GOSSIP_INTERVAL);
        }
        let pause = sleep(spacing);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => break,
                () = gateway.direct_notify.notified() => send_direct_messages(&gateway, &socket),
            }
        }
    }
}

/// Returns the shortest time between two gossip messages of a VM in a fleet of `vms` VMs.
pub fn gossip_spacing(vms: usize) -> Duration {
    let peers = vms.saturating_sub(1) as f64;
    MIN_GOSSIP_INTERVAL.max(Duration::from_secs_f64(peers / MAX_DATAGRAM_RATE))
}

/// Sends the queued messages to individual VMs.
fn send_direct_messages(gateway: &Gateway, socket: &UdpSocket) {
    let messages = std::mem::take(&mut *gateway.direct_messages.borrow_mut());
    for (target, message) in messages {
        send_to(gateway, socket, &message, &[target]);
    }
}

fn send_gossip(gateway: &Gateway, socket: &UdpSocket, number: u64) {
    let now = gateway.now();
    let message = Box::new(build_gossip(gateway, number, now));
    gateway.peers.borrow_mut().remove_gone(now);
    let targets = gossip_targets(gateway, now);
    let direct = PeerMessage::Gossip(message.clone());
    send_to(gateway, socket, &direct, &targets.direct);
    send_to(
        gateway,
        socket,
        &PeerMessage::Relay(message),
        &targets.relays,
    );
    let vm = &gateway.settings.vm;
    let news = gateway.crash_features.table.borrow_mut().news(vm, now);
    if let Some(news) = news.map(Box::new) {
        let direct = PeerMessage::FeatureNews(news.clone());
        send_to(gateway, socket, &direct, &targets.direct);
        let relayed = PeerMessage::RelayFeatureNews(news);
        send_to(gateway, socket, &relayed, &targets.relays);
    }
    gateway.metrics.count("gossip.sent");
}

/// Returns the recipients of a message to all other VMs.
pub fn gossip_targets(gateway: &Gateway, now: Instant) -> GossipTargets {
    let own = &gateway.settings.data_centre;
    let peers = gateway.peers.borrow();
    let readiness = gateway.room.readiness.borrow();
    let relay_weight = |vm: &VmId| readiness.table.relay_weight(vm, now);
    peers.gossip_targets(own, MIN_VMS_FOR_RELAY, relay_weight, now)
}

/// Relays a message to the other VMs of this data centre.
fn relay_message(gateway: &Gateway, socket: &UdpSocket, message: &PeerMessage) {
    let own = &gateway.settings.data_centre;
    let targets = gateway.peers.borrow().gossip_addresses_in(own);
    send_to(gateway, socket, message, &targets);
    gateway.metrics.count("gossip.passed_on");
}

/// Sends a message to each of the targets.
pub fn send_to(
    gateway: &Gateway,
    socket: &UdpSocket,
    message: &PeerMessage,
    targets: &[SocketAddr],
) {
    if targets.is_empty() {
        return;
    }
    let bytes = match rmp_serde::to_vec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            info!(gateway.log, "failed to encode peer message"; "error" => %error);
            return;
        }
    };
    for target in targets {
        match socket.try_send_to(&bytes, *target) {
            Ok(count) => gateway
                .room
                .count_datagram(|traffic| traffic.add_sent(count)),
            Err(error) => {
                gateway.metrics.count("gossip.send_failed");
                debug!(gateway.log, "failed to send peer message"; "to" => %target,
                    "error" => %error);
            }
        }
    }
}

fn build_gossip(gateway: &Gateway, number: u64, now: Instant) -> GossipMessage {
    let loads = gateway
        .loads
        .borrow()
        .own_reports(now)
        .filter(|(_, report)| report.is_worth_reporting())
        .map(|(id, report)| (upstream_code(id), report))
        .collect();
    GossipMessage {
        sender: gateway.own_record(),
        config: gateway.config_version(),
        upstreams: gateway.upstreams.borrow().latest(),
        reaches_store: !gateway.store_contact.get().is_failing(),
        store_regained: gateway.store_contact.get().is_regained(now),
        loads,
        placed: std::mem::take(&mut *gateway.placed.borrow_mut()),
        free: if number.is_multiple_of(FREE_TOKENS_EVERY) {
            free_tokens(gateway, now)
        } else {
            Vec::new()
        },
        scarce: scarce_budgets(gateway, now),
        left: report_remaining(gateway, now),
        rates: {
            let include_all = number.is_multiple_of(ALL_RATES_EVERY);
            gateway.rates.borrow().announcements(include_all, now)
        },
    }
}

fn free_tokens(gateway: &Gateway, now: Instant) -> Vec<(u64, TokenCount)> {
    let holdings = gateway.holdings.borrow();
    holdings
        .values()
        .map(|holding| (holding.workspace(), holding.free(now)))
        .filter(|(_, free)| !free.is_zero())
        .collect()
}

async fn receive_messages(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_MESSAGE_SIZE];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                debug!(gateway.log, "failed to receive peer message"; "error" => %error);
                sleep(MIN_GOSSIP_INTERVAL).await;
                continue;
            }
        };
        gateway
            .room
            .count_datagram(|traffic| traffic.add_received(length));
        match rmp_serde::from_slice::<PeerMessage>(&buffer[..length]) {
            Ok(PeerMessage::Gossip(message)) => apply_gossip(&gateway, *message),
            Ok(PeerMessage::Relay(message)) => {
                let relayed = PeerMessage::Gossip(message.clone());
                relay_message(&gateway, &socket, &relayed);
                apply_gossip(&gateway, *message);
            }
            Ok(PeerMessage::FeatureNews(news)) => apply_feature_news(&gateway, *news),
            Ok(PeerMessage::RelayFeatureNews(news)) => {
                let relayed = PeerMessage::FeatureNews(news.clone());
                relay_message(&gateway, &socket, &relayed);
                apply_feature_news(&gateway, *news);
            }
            Ok(PeerMessage::RoomNotice(notice)) => apply_notice(&gateway, *notice),
            Ok(PeerMessage::RelayRoomNotice(notice)) => {
                let relayed = PeerMessage::RoomNotice(notice.clone());
                relay_message(&gateway, &socket, &relayed);
                apply_notice(&gateway, *notice);
            }
            Ok(PeerMessage::SpeedNotice(notice)) => apply_speeds(&gateway, &notice),
            Ok(PeerMessage::RelaySpeedNotice(notice)) => {
                let relayed = PeerMessage::SpeedNotice(notice.clone());
                relay_message(&gateway, &socket, &relayed);
                apply_speeds(&gateway, &notice);
            }
            Ok(PeerMessage::TokenRequest(request)) => {
                handle_token_request(&gateway, sender, request)
            }
            Ok(PeerMessage::TokenAnswer(answer)) => handle_token_answer(&gateway, sender, answer),
            Ok(PeerMessage::Transfer(transfer)) => handle_transfer(&gateway, sender, transfer),
            Ok(PeerMessage::TransferTaken(number)) => acknowledge_transfer(&gateway, number),
            Ok(PeerMessage::SpendingPromise(promise)) => {
                handle_promise(&gateway, sender, &promise);
            }
            Ok(PeerMessage::PromiseReceipt(receipt)) => handle_receipt(&gateway, receipt),
            Ok(PeerMessage::PromiseQuery(query)) => handle_query(&gateway, sender, query),
            Ok(PeerMessage::SpendingTestimony(testimony)) => {
                handle_testimony(&gateway, *testimony);
            }
            Err(error) => {
                gateway.metrics.count("gossip.malformed");
                debug!(gateway.log, "failed to decode peer message"; "error" => %error);
            }
        }
    }
}

fn apply_gossip(gateway: &Gateway, message: GossipMessage) {
    let now = gateway.now();
    if message.sender.vm == gateway.settings.vm {
        return;
    }
    let mut tally = gateway.token_tally.borrow_mut();
    for (workspace, left) in message.left {
        tally.record(workspace, message.sender.gossip, left, now);
    }
    drop(tally);
    if !message.free.is_empty() {
        let free = FreeTokens {
            at: now,
            by_workspace: message.free,
        };
        let peer_free_tokens = &gateway.peer_free_tokens;
        peer_free_tokens
            .borrow_mut()
            .insert(message.sender.gossip, free);
    }
    let peer = stable_hash(message.sender.vm.as_str());
    let vm = message.sender.vm.clone();
    let (stage, address) = (message.sender.stage, message.sender.gossip);
    if gateway
        .peers
        .borrow_mut()
        .apply_gossip(message.sender, message.reaches_store, now)
    {
        info!(gateway.log, "vm heard"; "vm" => %vm, "stage" => %stage);
        gateway.rates.borrow_mut().announce_all(now);
        gateway.crash_features.table.borrow_mut().announce_all(now);
        let notice = Box::new(gateway.room.readiness.borrow().notice(now));
        gateway.send_direct(address, PeerMessage::RoomNotice(notice));
    }
    apply_loads(gateway, peer, message.loads, message.placed, now);
    apply_rates(gateway, &vm, &message.rates, now);
    if message.store_regained && gateway.store_contact.get().is_failing() {
        gateway.store_gate.hint();
    }
    let known = gateway.config_version();
    gateway.config_hint.record(message.config, known);
    let known = gateway.upstreams.borrow().known_through();
    gateway.upstream_hint.record(message.upstreams, known);
    if !message.scarce.is_empty() {
        let mut scarce = gateway.peer_scarce_budgets.borrow_mut();
        scarce.extend(message.scarce.into_iter().map(|workspace| (workspace, now)));
        gateway.grant_notify.notify_one();
    }
}

fn apply_rates(gateway: &Gateway, sender: &VmId, rates: &[RateAnnouncement], now: Instant) {
    let upstreams = gateway.upstreams.borrow();
    for announcement in rates {
        let id = upstreams.id_of(announcement.upstream);
        let Some(entry) = id.and_then(|id| upstreams.get(id)) else {
            continue;
        };
        let change = gateway
            .rates
            .borrow_mut()
            .apply_announcement(entry, announcement, now);
        if let Some(change) = change {
            log_rate_change(gateway, entry, &change, RateSource::Vm(sender));
        }
    }
}

fn apply_loads(
    gateway: &Gateway,
    peer: u64,
    reports: Vec<(u32, UpstreamReport)>,
    placed: Vec<PlacedPrompt>,
    now: Instant,
) {
    let upstreams = gateway.upstreams.borrow();
    let mut loads = gateway.loads.borrow_mut();
    loads.forget_peer(peer);
    for (code, report) in reports {
        if let Some(id) = upstreams.id_of(code) {
            loads.record_peer_report(id, peer, report, now);
        }
    }
    for prompt in placed {
        if let Some(id) = upstreams.id_of(prompt.upstream) {
            let parts: Vec<PromptPart> = prompt
                .parts
                .iter()
                .map(|&(id, tokens)| PromptPart { id, tokens })
                .collect();
            loads.record_placed(id, &parts, now);
        }
    }
}
