//! Transfers of tokens between routers.
//!
//! The giver deducts the tokens first and sends the transfer until it is acknowledged.
//! Each pair of routers has at most one unacknowledged transfer in each direction, and
//! the receiver accepts each sequence number once. Both sides record the transfer in
//! the ledger; the first record to arrive takes effect.

use std::time::Duration;
use std::time::Instant;

use snipegate_ledger::OperationRefusal;
use snipegate_ledger::OperationResult;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

use crate::batch::RESULT_FORGOTTEN;
use crate::counter::EscrowCounter;
use crate::escrow::EscrowState;
use crate::escrow::RouterEscrow;
use crate::holding::BudgetHolding;
use crate::holding::PeerSearch;
use crate::message::EscrowMessage;
use crate::message::TransferNote;
use crate::queue::ShardQueue;
use crate::setting::EscrowPolicy;
use crate::timer::EscrowTimer;

/// Maximum number of peers asked in one search.
const MAX_PEERS_ASKED: usize = 12;

/// Time for which transferred tokens should last at the current rate of use.
const TRANSFER_DEMAND_SPAN: Duration = Duration::from_secs(20);

/// A transfer that the receiver has not acknowledged.
#[derive(Clone, Debug)]
struct OutgoingTransfer {
    transfer: OperationId,
    budget: BudgetId,
    shard: ShardId,
    amount: TokenCount,
}

/// Transfers to and from one peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTransfers {
    /// Sequence number of the last transfer to the peer.
    last_given: u64,
    /// The transfer to the peer that is not acknowledged yet.
    open: Option<OutgoingTransfer>,
    /// Sequence number of the last transfer from the peer.
    last_taken: u64,
}

impl RouterEscrow {
    /// Starts a search for tokens among peers, if claims are waiting and none is running.
    ///
    /// Does nothing before the shard has answered this router once. The ledger keeps
    /// request ids only as long as a router that it knows may still bill them, so an
    /// unknown router must not bill, and must not receive transfers either.
    pub(crate) fn ask_peers(&mut self, budget: &BudgetId, now: Instant) {
        let shard = self.budgets.get(budget).map(|holding| holding.shard);
        let queue = shard.and_then(|shard| self.queues.get(&shard));
        if !queue.is_some_and(ShardQueue::has_answered) {
            return;
        }
        if let Some(holding) = self.budgets.get_mut(budget)
            && !holding.waiting.is_empty()
            && holding.peer_search.is_none()
        {
            holding.peer_search = Some(Box::default());
            self.ask_next_peers(budget, now);
        }
    }

    /// Sends transfer requests to the next peers.
    fn ask_next_peers(&mut self, budget: &BudgetId, now: Instant) {
        let peers = self.choose_transfer_peers(budget);
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let expected_use = holding
            .demand
            .rate(self.settings.rate_window, now)
            .tokens_in(TRANSFER_DEMAND_SPAN);
        let (wanted, least) = (
            holding
                .waiting_total()
                .saturating_add(expected_use)
                .saturating_sub(holding.free),
            holding.smallest_shortfall().unwrap_or_default(),
        );
        let shard = holding.shard;
        let Some(search) = holding.peer_search.as_mut() else {
            return;
        };
        // The list of asked peers is kept until no claims are waiting, so that no peer is
        // asked twice in one search.
        search.unanswered.clear();
        if peers.is_empty() {
            return;
        }
        self.peer_rotation = self.peer_rotation.wrapping_add(1);
        search.unanswered.clone_from(&peers);
        search.asked.extend(peers.iter().cloned());
        for peer in peers {
            self.count(EscrowCounter::TransferAsked);
            self.send(
                peer,
                EscrowMessage::AskTransfer {
                    budget: budget.clone(),
                    shard,
                    wanted,
                    least,
                },
            );
        }
        let due = now + self.settings.ask_timeout;
        self.timers
            .set(due, EscrowTimer::PeerAskTimeout(budget.clone()));
    }

    /// Chooses the peers to ask next, none twice: first those that last reported the most
    /// free tokens, then those in this data centre, then others.
    fn choose_transfer_peers(&self, budget: &BudgetId) -> Vec<IncarnationId> {
        let Some(holding) = self.budgets.get(budget) else {
            return Vec::new();
        };
        let asked = match &holding.peer_search {
            Some(search) => search.asked.as_slice(),
            None => &[],
        };
        let remaining = MAX_PEERS_ASKED.saturating_sub(asked.len());
        let mut peers: Vec<_> = self
            .peers
            .iter()
            .filter(|peer| !peer.leaving && !asked.contains(&peer.incarnation))
            .filter(|peer| !self.fences.contains_key(&peer.incarnation))
            .collect();
        let rotation = self.peer_rotation % peers.len().max(1);
        peers.rotate_left(rotation);
        peers.sort_by_key(|peer| {
            let hint = holding
                .hints
                .iter()
                .find(|hint| hint.peer == peer.incarnation);
            let left = hint.map_or(0, |hint| hint.left.0);
            let is_local = peer.data_centre == self.data_centre;
            (std::cmp::Reverse(left), !is_local)
        });
        peers
            .into_iter()
            .take(self.settings.transfer_fanout.min(remaining))
            .map(|peer| peer.incarnation.clone())
            .collect()
    }

    /// Asks further peers when those asked before did not answer in time.
    pub(crate) fn handle_ask_timeout(&mut self, budget: &BudgetId, now: Instant) {
        let waiting = self
            .budgets
            .get(budget)
            .is_some_and(|holding| holding.peer_search.is_some() && !holding.waiting.is_empty());
        if waiting {
            self.ask_next_peers(budget, now);
        }
    }

    /// Handles a peer's refusal to transfer tokens.
    pub(crate) fn handle_decline(
        &mut self,
        from: IncarnationId,
        budget: &BudgetId,
        left: TokenCount,
        now: Instant,
    ) {
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        holding.record_hint(from.clone(), left);
        let Some(search) = holding.peer_search.as_mut() else {
            return;
        };
        if remove_unanswered(search, &from) && !holding.waiting.is_empty() {
            self.ask_next_peers(budget, now);
        }
    }

    /// Answers a peer's request for tokens.
    ///
    /// Transfers the wanted amount, but at most half of the transferable tokens unless
    /// the peer needs more.
    pub(crate) fn handle_transfer_request(
        &mut self,
        from: IncarnationId,
        budget: BudgetId,
        wanted: TokenCount,
        least: TokenCount,
        now: Instant,
    ) {
        let transfers = self.transfers.entry(from.clone()).or_default();
        if let Some(open) = &transfers.open {
            // Either the request is repeated, or it is a new one sent before the last
            // transfer arrived. In both cases the open transfer must complete first.
            let same_budget = open.budget == budget;
            self.resend_transfer(from.clone(), now);
            if !same_budget {
                self.decline(from, budget, TokenCount::ZERO);
            }
            return;
        }
        let available = match self.budgets.get(&budget) {
            Some(holding) if self.state == EscrowState::Open => transferable_tokens(holding),
            _ => TokenCount::ZERO,
        };
        let amount = wanted.min(TokenCount(available.0 / 2)).max(least);
        if amount > available || amount.is_zero() {
            self.decline(from, budget, available);
            return;
        }
        self.start_transfer(from, budget, amount, now);
    }

    fn decline(&mut self, to: IncarnationId, budget: BudgetId, left: TokenCount) {
        self.count(EscrowCounter::TransferDeclined);
        self.send(to, EscrowMessage::DeclineTransfer { budget, left });
    }

    /// Deducts tokens, records the transfer in the ledger and sends it to the peer.
    fn start_transfer(
        &mut self,
        to: IncarnationId,
        budget: BudgetId,
        amount: TokenCount,
        now: Instant,
    ) {
        let transfer = self.next_operation();
        let Some(holding) = self.budgets.get_mut(&budget) else {
            return;
        };
        let amount = holding.deduct(amount);
        let shard = holding.shard;
        let transfers = self.transfers.entry(to.clone()).or_default();
        transfers.last_given += 1;
        transfers.open = Some(OutgoingTransfer {
            transfer,
            budget: budget.clone(),
            shard,
            amount,
        });
        let note = TransferNote {
            transfer,
            giver: self.own_id.clone(),
            amount,
        };
        self.enqueue(shard, note.operation(&budget, &to));
        self.count(EscrowCounter::TransferGiven);
        self.send_transfer(&to, now);
    }

    /// Sends an unacknowledged transfer again.
    pub(crate) fn resend_transfer(&mut self, to: IncarnationId, now: Instant) {
        if self.transfers.get(&to).is_some_and(|t| t.open.is_some()) {
            self.count(EscrowCounter::TransferResent);
            self.send_transfer(&to, now);
        }
    }

    /// Sends the open transfer of a peer and schedules the next attempt.
    fn send_transfer(&mut self, to: &IncarnationId, now: Instant) {
        let Some(transfers) = self.transfers.get(to) else {
            return;
        };
        let Some(open) = transfers.open.clone() else {
            return;
        };
        let left = self
            .budgets
            .get(&open.budget)
            .map_or(TokenCount::ZERO, transferable_tokens);
        let message = EscrowMessage::GiveTransfer {
            sequence: transfers.last_given,
            transfer: open.transfer,
            budget: open.budget,
            shard: open.shard,
            amount: open.amount,
            left,
        };
        self.send(to.clone(), message);
        let due = now + self.settings.resend_after;
        self.timers
            .set(due, EscrowTimer::TransferResendDue(to.clone()));
    }

    /// Accepts tokens transferred by a peer, once for each sequence number.
    pub(crate) fn receive_transfer(
        &mut self,
        sequence: u64,
        budget: BudgetId,
        shard: ShardId,
        note: TransferNote,
        left: TokenCount,
        now: Instant,
    ) {
        // Once the release is queued, the tokens could not be returned any more.
        if self.unreleased_shards.is_some() {
            return;
        }
        let giver = note.giver.clone();
        let transfers = self.transfers.entry(giver.clone()).or_default();
        if sequence <= transfers.last_taken {
            self.send(giver, EscrowMessage::TakeTransfer { sequence });
            return;
        }
        transfers.last_taken = sequence;
        let operation = note.operation(&budget, &self.own_id);
        self.enqueue(shard, operation);
        let holding = self
            .budgets
            .entry(budget.clone())
            .or_insert_with(|| BudgetHolding::new(shard, now));
        holding.record_hint(giver.clone(), left);
        holding.last_supplied = now;
        let amount = note.amount;
        holding.unrecorded.push(note);
        match self.settings.policy {
            EscrowPolicy::AvoidRefusals => holding.credit(amount),
            EscrowPolicy::AvoidOverspend => {
                holding.pending_credit = holding.pending_credit.saturating_add(amount);
            }
        }
        if let Some(search) = holding.peer_search.as_mut() {
            remove_unanswered(search, &giver);
        }
        self.count(EscrowCounter::TransferReceived);
        self.send(giver, EscrowMessage::TakeTransfer { sequence });
        self.admit_waiting(&budget, now);
    }

    /// Handles the acknowledgement of a transfer.
    pub(crate) fn handle_transfer_ack(&mut self, from: &IncarnationId, sequence: u64) {
        if let Some(transfers) = self.transfers.get_mut(from)
            && transfers.last_given == sequence
        {
            transfers.open = None;
        }
    }

    /// Stops sending the open transfer to a fenced peer.
    pub(crate) fn cancel_transfer(&mut self, to: &IncarnationId) {
        if let Some(transfers) = self.transfers.get_mut(to) {
            transfers.open = None;
        }
    }

    /// Handles the ledger's result for the record of a transfer from or to this router.
    pub(crate) fn handle_transfer_result(
        &mut self,
        transfer: OperationId,
        budget: &BudgetId,
        received: bool,
        amount: TokenCount,
        result: OperationResult,
        now: Instant,
    ) {
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let recorded = result == OperationResult::Noted || result == RESULT_FORGOTTEN;
        match (received, recorded) {
            (true, true) => {
                holding.unrecorded.retain(|note| note.transfer != transfer);
                let usable = holding.pending_credit.min(amount);
                holding.pending_credit = holding.pending_credit.saturating_sub(usable);
                holding.credit(usable);
            }
            (true, false) => {
                holding.unrecorded.retain(|note| note.transfer != transfer);
                let pending_credit = holding.pending_credit.min(amount);
                holding.pending_credit = holding.pending_credit.saturating_sub(pending_credit);
                holding.deduct(amount.saturating_sub(pending_credit));
                self.count(EscrowCounter::LedgerFault);
            }
            (false, true) => {}
            // The receiver is closed, so the transfer will never be recorded and the tokens
            // are credited back.
            (false, false) => {
                let closed = OperationResult::Refused(OperationRefusal::HolderClosed);
                match result == closed {
                    true => holding.credit(amount),
                    false => self.count(EscrowCounter::LedgerFault),
                }
            }
        }
        self.admit_waiting(budget, now);
    }
}

/// Returns how many tokens of a holding can be transferred to peers.
fn transferable_tokens(holding: &BudgetHolding) -> TokenCount {
    let needed = holding.waiting_total();
    holding
        .recorded_free()
        .min(holding.free)
        .saturating_sub(needed)
}

/// Removes a peer from the unanswered ones. Returns whether it was the last one.
fn remove_unanswered(search: &mut PeerSearch, peer: &IncarnationId) -> bool {
    let before = search.unanswered.len();
    search.unanswered.retain(|unanswered| unanswered != peer);
    before > 0 && search.unanswered.is_empty()
}
