//! VMs hand tokens of a budget to each other, where the store can't be reached or
//! has nothing left to grant.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use snipegate_types::TokenCount;
use snipegate_types::WorkspaceId;

use crate::gateway::Gateway;
use crate::gateway::hash_name;
use crate::gossip::PeerMessage;

/// How long what another VM said of its free tokens counts.
const FREE_LIFE: Duration = Duration::from_secs(3);

/// Transfers that are remembered, so that a doubled datagram counts once.
const REMEMBERED: usize = 512;

/// Tokens on their way from one VM to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenTransfer {
    /// The run of the giver's process.
    pub giver: u64,
    /// Number of the transfer among those of the giver.
    pub number: u64,
    /// The workspace, as a hash of its id.
    pub workspace: u64,
    /// The tokens.
    pub tokens: TokenCount,
}

/// What another VM said of its free tokens.
#[derive(Clone, Debug)]
pub struct FreeTokens {
    /// When it said so.
    pub at: Instant,
    /// The tokens by hash of the workspace.
    pub by_workspace: IndexMap<u64, TokenCount>,
}

/// Transfers of this VM.
#[derive(Debug, Default)]
pub struct TransferLog {
    sent: u64,
    received: VecDeque<(u64, u64)>,
}

impl TransferLog {
    /// Returns the number of a new transfer.
    pub fn next_number(&mut self) -> u64 {
        self.sent += 1;
        self.sent
    }

    /// Notes a transfer; tells whether it came for the first time.
    pub fn is_first(&mut self, transfer: &TokenTransfer) -> bool {
        let id = (transfer.giver, transfer.number);
        if self.received.contains(&id) {
            return false;
        }
        self.received.push_back(id);
        if self.received.len() > REMEMBERED {
            self.received.pop_front();
        }
        true
    }
}

/// Asks the VM with the most free tokens that was not asked yet; `false` if there
/// is none with any.
pub fn ask_for_tokens(
    gateway: &Gateway,
    workspace: &WorkspaceId,
    need: TokenCount,
    asked: &mut Vec<SocketAddr>,
) -> bool {
    let hash = hash_name(workspace.as_str());
    let Some(holder) = richest_holder(gateway, hash, asked, gateway.now()) else {
        return false;
    };
    asked.push(holder);
    let ask = PeerMessage::TransferAsk {
        workspace: hash,
        need,
    };
    gateway.send_direct(holder, ask);
    gateway.metrics.count("budget.transfer_asked");
    true
}

fn richest_holder(
    gateway: &Gateway,
    workspace: u64,
    asked: &[SocketAddr],
    now: Instant,
) -> Option<SocketAddr> {
    let holders = gateway.free_elsewhere.borrow();
    holders
        .iter()
        .filter(|(address, free)| {
            now.saturating_duration_since(free.at) < FREE_LIFE && !asked.contains(*address)
        })
        .filter_map(|(address, free)| Some((*free.by_workspace.get(&workspace)?, *address)))
        .max()
        .map(|(_, address)| address)
}

/// Hands tokens to a VM that is short of them.
pub fn hand_over(gateway: &Gateway, receiver: SocketAddr, workspace: u64, need: TokenCount) {
    let mut purses = gateway.purses.borrow_mut();
    let Some((id, purse)) = purses
        .iter_mut()
        .find(|(id, _)| hash_name(id.as_str()) == workspace)
    else {
        return;
    };
    let tokens = purse.give(need);
    if tokens.is_zero() {
        return;
    }
    let transfer = TokenTransfer {
        giver: gateway.incarnation,
        number: gateway.transfers.borrow_mut().next_number(),
        workspace,
        tokens,
    };
    gateway.send_direct(receiver, PeerMessage::Transfer(transfer));
    gateway.metrics.count("budget.transfer_given");
    info!(gateway.log, "tokens handed over"; "workspace" => %id, "to" => %receiver,
        "tokens" => tokens.0, "need" => need.0, "free" => purse.free().0);
}

/// Takes tokens that another VM handed over.
pub fn take_transfer(gateway: &Gateway, transfer: TokenTransfer) {
    if !gateway.transfers.borrow_mut().is_first(&transfer) {
        return;
    }
    let mut purses = gateway.purses.borrow_mut();
    let purse = purses
        .iter_mut()
        .find(|(id, _)| hash_name(id.as_str()) == transfer.workspace);
    if let Some((id, purse)) = purse {
        purse.receive(transfer.tokens);
        info!(gateway.log, "tokens received"; "workspace" => %id,
            "tokens" => transfer.tokens.0, "free" => purse.free().0);
    }
    drop(purses);
    gateway.grant_changed.notify_waiters();
}
