//! Transfers of budget tokens between VMs.
//!
//! The sender first deducts the tokens from its holding, then retransmits the transfer
//! until the receiver acknowledges it. The receiver accepts each transfer once. Tokens
//! of an unacknowledged transfer are lost, because the receiver may have spent them.

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

use crate::budget_exchange::with_holding;
use crate::gateway::Gateway;
use crate::gossip::PeerMessage;

/// Interval between two transmissions of a transfer.
const RESEND_INTERVAL: Duration = Duration::from_millis(120);

/// How long a transfer is retransmitted before it is given up.
const RESEND_TIMEOUT: Duration = Duration::from_millis(1500);

/// A message whose number is this far behind the newest of its sender is dropped.
const DEDUP_WINDOW: u64 = 512;

/// Maximum number of senders whose message numbers are tracked.
const MAX_SENDERS: usize = 1024;

/// A transfer of tokens from one VM to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenTransfer {
    /// Incarnation of the sender's process.
    pub giver: u64,
    /// Sequence number among the transfers of the sender.
    pub number: u64,
    /// Incarnation of the receiver's process; a later process must not accept the
    /// transfer.
    pub receiver: u64,
    /// The workspace, as a hash of its id.
    pub workspace: u64,
    /// Number of tokens.
    pub tokens: TokenCount,
}

/// A transfer that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct PendingTransfer {
    target: SocketAddr,
    transfer: TokenTransfer,
    started_at: Instant,
    last_sent: Instant,
}

/// Detects duplicates and long-delayed messages by sequence number.
#[derive(Debug, Default)]
pub struct DuplicateFilter {
    by_sender: IndexMap<u64, SenderNumbers>,
}

#[derive(Debug, Default)]
struct SenderNumbers {
    newest: u64,
    recent: VecDeque<u64>,
}

impl DuplicateFilter {
    /// Records a number; returns whether it is new and not too old.
    pub fn is_first(&mut self, sender: u64, number: u64) -> bool {
        if !self.by_sender.contains_key(&sender) && self.by_sender.len() >= MAX_SENDERS {
            self.by_sender.shift_remove_index(0);
        }
        let numbers = self.by_sender.entry(sender).or_default();
        if number + DEDUP_WINDOW <= numbers.newest || numbers.recent.contains(&number) {
            return false;
        }
        numbers.newest = numbers.newest.max(number);
        numbers.recent.push_back(number);
        let newest = numbers.newest;
        numbers
            .recent
            .retain(|recent| recent + DEDUP_WINDOW > newest);
        true
    }
}

/// Transfers that this VM sent and received.
#[derive(Debug, Default)]
pub struct TransferLog {
    sent: u64,
    pending: Vec<PendingTransfer>,
    received: DuplicateFilter,
}

impl TransferLog {
    fn next_number(&mut self) -> u64 {
        self.sent += 1;
        self.sent
    }

    /// Returns the tokens of a budget in unacknowledged transfers.
    pub fn in_flight(&self, workspace: u64) -> TokenCount {
        let pending = self.pending.iter().map(|pending| &pending.transfer);
        pending
            .filter(|transfer| transfer.workspace == workspace)
            .map(|transfer| transfer.tokens)
            .sum()
    }

    /// Returns whether every transfer was acknowledged or given up.
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Destination of a transfer.
#[derive(Clone, Copy, Debug)]
pub struct TransferTarget {
    /// Gossip address of the VM.
    pub address: SocketAddr,
    /// Incarnation of the VM's process.
    pub incarnation: u64,
}

/// Deducts tokens for another VM and starts a transfer; `None` if there are none to
/// give.
///
/// The transfer is retransmitted until it is acknowledged or [`RESEND_TIMEOUT`] has
/// passed.
pub fn start_transfer(
    gateway: &Gateway,
    target: TransferTarget,
    workspace: u64,
    need: TokenCount,
    wish: TokenCount,
) -> Option<TokenTransfer> {
    let now = gateway.now();
    let tokens = with_holding(gateway, workspace, |_, holding| {
        holding.withdraw(need, wish, now)
    })?;
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
    log.pending.push(PendingTransfer {
        target: target.address,
        transfer,
        started_at: now,
        last_sent: now,
    });
    drop(log);
    gateway.transfer_notify.notify_one();
    gateway.metrics.count("budget.transfer_given");
    log_transfer(gateway, "tokens handed over", target.address, &transfer);
    Some(transfer)
}

/// Transfers tokens to another VM without a request from it.
pub fn send_tokens(gateway: &Gateway, target: TransferTarget, workspace: u64, tokens: TokenCount) {
    let wish = TokenCount::ZERO;
    if let Some(transfer) = start_transfer(gateway, target, workspace, tokens, wish) {
        gateway.send_direct(target.address, PeerMessage::Transfer(transfer));
    }
}

/// Handles a transfer from another VM and acknowledges it.
pub fn handle_transfer(gateway: &Gateway, sender: SocketAddr, transfer: TokenTransfer) {
    if transfer.receiver != gateway.incarnation {
        return;
    }
    if with_holding(gateway, transfer.workspace, |_, _| ()).is_none() {
        // This VM has not received the configuration with the workspace yet.
        return;
    }
    let mut log = gateway.transfers.borrow_mut();
    let is_first = log.received.is_first(transfer.giver, transfer.number);
    drop(log);
    gateway.send_direct(sender, PeerMessage::TransferTaken(transfer.number));
    if is_first {
        with_holding(gateway, transfer.workspace, |_, holding| {
            holding.receive(transfer.tokens);
        });
        log_transfer(gateway, "tokens received", sender, &transfer);
        gateway.grant_changed.notify_waiters();
    }
}

fn log_transfer(gateway: &Gateway, event: &str, peer: SocketAddr, transfer: &TokenTransfer) {
    with_holding(gateway, transfer.workspace, |id, holding| {
        info!(gateway.log, "{event}"; "workspace" => %id, "peer" => %peer,
            "number" => transfer.number, "tokens" => transfer.tokens.0,
            "free" => holding.free(gateway.now()).0);
    });
}

/// Removes an acknowledged transfer.
pub fn acknowledge_transfer(gateway: &Gateway, number: u64) {
    let mut log = gateway.transfers.borrow_mut();
    log.pending
        .retain(|pending| pending.transfer.number != number);
}

/// Retransmits unacknowledged transfers until the process ends.
pub async fn resend_transfers(gateway: Rc<Gateway>) {
    loop {
        if gateway.transfers.borrow().is_settled() {
            gateway.transfer_notify.notified().await;
        }
        sleep(RESEND_INTERVAL).await;
        resend_pending(&gateway, gateway.now());
    }
}

fn resend_pending(gateway: &Gateway, now: Instant) {
    let mut log = gateway.transfers.borrow_mut();
    log.pending.retain_mut(|pending| {
        if now.saturating_duration_since(pending.last_sent) < RESEND_INTERVAL {
            return true;
        }
        if now.saturating_duration_since(pending.started_at) > RESEND_TIMEOUT {
            gateway.metrics.count("budget.transfer_lost");
            info!(gateway.log, "tokens lost on their way"; "to" => %pending.target,
                "number" => pending.transfer.number, "tokens" => pending.transfer.tokens.0);
            return false;
        }
        pending.last_sent = now;
        gateway.send_direct(pending.target, PeerMessage::Transfer(pending.transfer));
        true
    });
}
