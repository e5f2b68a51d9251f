//! VMs hand tokens of a budget to each other.
//!
//! The giver takes tokens out of its purse first and sends them until the receiver
//! says that it has them; the receiver takes each transfer once. Tokens whose
//! receiver is gone are lost: it may have spent them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use snipegate_types::TokenCount;
use tokio::time::sleep;

use crate::budget_exchange::with_purse;
use crate::gateway::Gateway;
use crate::gossip::PeerMessage;

/// Pause between two sends of a transfer.
const RESEND_INTERVAL: Duration = Duration::from_millis(120);

/// How long a transfer is sent again.
const RESEND_SPAN: Duration = Duration::from_millis(1500);

/// A number that lies this far behind the newest of its sender is not taken.
const NUMBER_WINDOW: u64 = 512;

/// Senders whose numbers are remembered.
const MAX_SENDERS: usize = 1024;

/// Tokens on their way from one VM to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenTransfer {
    /// The run of the giver's process.
    pub giver: u64,
    /// Number of the transfer among those of the giver.
    pub number: u64,
    /// The run of the receiver's process; a later run may not take them.
    pub receiver: u64,
    /// The workspace, as a hash of its id.
    pub workspace: u64,
    /// The tokens.
    pub tokens: TokenCount,
}

/// A transfer whose arrival is not known.
#[derive(Clone, Copy, Debug)]
struct OpenTransfer {
    target: SocketAddr,
    transfer: TokenTransfer,
    began: Instant,
    sent: Instant,
}

/// Tells numbered messages that come twice, or far too late, from new ones.
#[derive(Debug, Default)]
pub struct SeenNumbers {
    by_sender: IndexMap<u64, SenderNumbers>,
}

#[derive(Debug, Default)]
struct SenderNumbers {
    newest: u64,
    recent: VecDeque<u64>,
}

impl SeenNumbers {
    /// Notes a number; tells whether it came for the first time.
    pub fn is_first(&mut self, sender: u64, number: u64) -> bool {
        if !self.by_sender.contains_key(&sender) && self.by_sender.len() >= MAX_SENDERS {
            self.by_sender.shift_remove_index(0);
        }
        let numbers = self.by_sender.entry(sender).or_default();
        if number + NUMBER_WINDOW <= numbers.newest || numbers.recent.contains(&number) {
            return false;
        }
        numbers.newest = numbers.newest.max(number);
        numbers.recent.push_back(number);
        let newest = numbers.newest;
        numbers
            .recent
            .retain(|recent| recent + NUMBER_WINDOW > newest);
        true
    }
}

/// Transfers that this VM sent and received.
#[derive(Debug, Default)]
pub struct TransferLog {
    sent: u64,
    open: Vec<OpenTransfer>,
    received: SeenNumbers,
}

impl TransferLog {
    fn next_number(&mut self) -> u64 {
        self.sent += 1;
        self.sent
    }

    /// Returns the tokens of a budget whose arrival is not known.
    pub fn on_the_way(&self, workspace: u64) -> TokenCount {
        let open = self.open.iter().map(|open| &open.transfer);
        open.filter(|transfer| transfer.workspace == workspace)
            .map(|transfer| transfer.tokens)
            .sum()
    }

    /// Tells whether all transfers have arrived or were given up.
    pub fn is_settled(&self) -> bool {
        self.open.is_empty()
    }
}

/// Where tokens go.
#[derive(Clone, Copy, Debug)]
pub struct TransferTarget {
    /// Where the VM hears other VMs.
    pub address: SocketAddr,
    /// The run of its process.
    pub incarnation: u64,
}

/// Takes tokens out of a purse for another VM; `None` if there are none.
///
/// The transfer is sent again until it is known to have arrived.
pub fn take_out(
    gateway: &Gateway,
    target: TransferTarget,
    workspace: u64,
    need: TokenCount,
    wish: TokenCount,
) -> Option<TokenTransfer> {
    let now = gateway.now();
    let tokens = with_purse(gateway, workspace, |_, purse| purse.give(need, wish, now))?;
    if tokens.is_zero() {
        return None;
    }
    let mut log = gateway.transfers.borrow_mut();
    let transfer = TokenTransfer {
        giver: gateway.incarnation,
        number: log.next_number(),
        receiver: target.incarnation,
        workspace,
        tokens,
    };
    log.open.push(OpenTransfer {
        target: target.address,
        transfer,
        began: now,
        sent: now,
    });
    drop(log);
    gateway.transfer_due.notify_one();
    gateway.metrics.count("budget.transfer_given");
    log_transfer(gateway, "tokens handed over", target.address, &transfer);
    Some(transfer)
}

/// Hands tokens to another VM that did not ask for them.
pub fn hand_over(gateway: &Gateway, target: TransferTarget, workspace: u64, tokens: TokenCount) {
    let wish = TokenCount::ZERO;
    if let Some(transfer) = take_out(gateway, target, workspace, tokens, wish) {
        gateway.send_direct(target.address, PeerMessage::Transfer(transfer));
    }
}

/// Takes tokens that another VM handed over, and tells it so.
pub fn take_transfer(gateway: &Gateway, sender: SocketAddr, transfer: TokenTransfer) {
    if transfer.receiver != gateway.incarnation {
        return;
    }
    if with_purse(gateway, transfer.workspace, |_, _| ()).is_none() {
        // The configuration with this workspace has not come here yet.
        return;
    }
    let mut log = gateway.transfers.borrow_mut();
    let is_first = log.received.is_first(transfer.giver, transfer.number);
    drop(log);
    gateway.send_direct(sender, PeerMessage::TransferTaken(transfer.number));
    if is_first {
        with_purse(gateway, transfer.workspace, |_, purse| {
            purse.receive(transfer.tokens);
        });
        log_transfer(gateway, "tokens received", sender, &transfer);
        gateway.grant_changed.notify_waiters();
    }
}

fn log_transfer(gateway: &Gateway, event: &str, peer: SocketAddr, transfer: &TokenTransfer) {
    with_purse(gateway, transfer.workspace, |id, purse| {
        info!(gateway.log, "{event}"; "workspace" => %id, "peer" => %peer,
            "number" => transfer.number, "tokens" => transfer.tokens.0,
            "free" => purse.free(gateway.now()).0);
    });
}

/// Notes that a transfer has arrived.
pub fn note_taken(gateway: &Gateway, number: u64) {
    let mut log = gateway.transfers.borrow_mut();
    log.open.retain(|open| open.transfer.number != number);
}

/// Sends transfers again until they have arrived, until the process ends.
pub async fn resend_transfers(gateway: Rc<Gateway>) {
    loop {
        if gateway.transfers.borrow().is_settled() {
            gateway.transfer_due.notified().await;
        }
        sleep(RESEND_INTERVAL).await;
        resend_open(&gateway, gateway.now());
    }
}

fn resend_open(gateway: &Gateway, now: Instant) {
    let mut log = gateway.transfers.borrow_mut();
    log.open.retain_mut(|open| {
        if now.saturating_duration_since(open.sent) < RESEND_INTERVAL {
            return true;
        }
        if now.saturating_duration_since(open.began) > RESEND_SPAN {
            gateway.metrics.count("budget.transfer_lost");
            info!(gateway.log, "tokens lost on their way"; "to" => %open.target,
                "number" => open.transfer.number, "tokens" => open.transfer.tokens.0);
            return false;
        }
        open.sent = now;
        gateway.send_direct(open.target, PeerMessage::Transfer(open.transfer));
        true
    });
}
