//! Transfers of tokens between routers.
//!
//! The giver deducts first and sends the transfer until it is acknowledged;
//! each pair of routers has at most one open transfer in each direction, and
//! the receiver takes each position in their sequence once. Both sides record
//! the transfer in the ledger, whichever reaches it first.

use std::time::Duration;
use std::time::Instant;

use snipegate_ledger::OperationRefusal;
use snipegate_ledger::OperationResult;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

use crate::batch::FORGOTTEN;
use crate::counter::EscrowCounter;
use crate::escrow::EscrowState;
use crate::escrow::RouterEscrow;
use crate::holding::AskRound;
use crate::holding::BudgetHolding;
use crate::message::EscrowMessage;
use crate::message::TransferNote;
use crate::queue::ShardQueue;
use crate::setting::EscrowPolicy;
use crate::timer::EscrowTimer;

/// Most peers asked for one shortage.
const MAX_PEERS_ASKED: usize = 12;

/// Time for which transferred tokens should last at the present rate of use.
const TRANSFER_SPAN: Duration = Duration::from_secs(20);

/// A transfer that the receiver has not acknowledged.
#[derive(Clone, Debug)]
struct OpenGive {
    transfer: OperationId,
    budget: BudgetId,
    shard: ShardId,
    amount: TokenCount,
}

/// Transfers to and from one peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTransfers {
    /// Position of the last transfer given to it.
    given: u64,
    open: Option<OpenGive>,
    /// Position of the last transfer taken from it.
    taken: u64,
}

impl RouterEscrow {
    /// Begins to ask peers for tokens, if attempts wait and none is asked yet.
    ///
    /// A router that the ledger has not heard of must not bill, since the
    /// ledger keeps the ids of requests for as long as it waits for the bills
    /// of those that it knows; so it takes no transfers either.
    pub(crate) fn ask_peers(&mut self, budget: &BudgetId, now: Instant) {
        let shard = self.budgets.get(budget).map(|holding| holding.shard);
        let queue = shard.and_then(|shard| self.queues.get(&shard));
        if !queue.is_some_and(ShardQueue::is_heard) {
            return;
        }
        if let Some(holding) = self.budgets.get_mut(budget)
            && !holding.waiting.is_empty()
            && holding.asking.is_none()
        {
            holding.asking = Some(Box::default());
            self.ask_next_peers(budget, now);
        }
    }

    fn ask_next_peers(&mut self, budget: &BudgetId, now: Instant) {
        let peers = self.choose_givers(budget);
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        let soon = holding
            .demand
            .rate(self.settings.rate_window, now)
            .tokens_in(TRANSFER_SPAN);
        let (wanted, least) = (
            holding
                .waiting_need()
                .saturating_add(soon)
                .saturating_sub(holding.free),
            holding.least_lack().unwrap_or_default(),
        );
        let shard = holding.shard;
        let Some(asking) = holding.asking.as_mut() else {
            return;
        };
        // The list of those tried stays until nobody waits, so that none is
        // asked twice for one shortage.
        asking.open.clear();
        if peers.is_empty() {
            return;
        }
        self.rotation = self.rotation.wrapping_add(1);
        asking.open.clone_from(&peers);
        asking.tried.extend(peers.iter().cloned());
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
        let due = now + self.settings.ask_pause;
        self.timers.set(due, EscrowTimer::AskDue(budget.clone()));
    }

    /// Chooses whom to ask: first who last said to have tokens, then near
    /// routers, then others, none twice.
    fn choose_givers(&self, budget: &BudgetId) -> Vec<IncarnationId> {
        let Some(holding) = self.budgets.get(budget) else {
            return Vec::new();
        };
        let tried = match &holding.asking {
            Some(asking) => asking.tried.as_slice(),
            None => &[],
        };
        let room = MAX_PEERS_ASKED.saturating_sub(tried.len());
        let mut peers: Vec<_> = self
            .peers
            .iter()
            .filter(|peer| !peer.leaving && !tried.contains(&peer.incarnation))
            .filter(|peer| !self.fences.contains_key(&peer.incarnation))
            .collect();
        let rotation = self.rotation % peers.len().max(1);
        peers.rotate_left(rotation);
        peers.sort_by_key(|peer| {
            let hint = holding
                .hints
                .iter()
                .find(|hint| hint.peer == peer.incarnation);
            let left = hint.map_or(0, |hint| hint.left.0);
            let near = peer.data_centre == self.data_centre;
            (std::cmp::Reverse(left), !near)
        });
        peers
            .into_iter()
            .take(self.settings.transfer_fanout.min(room))
            .map(|peer| peer.incarnation.clone())
            .collect()
    }

    /// Goes on to other peers when those asked have had their time.
    pub(crate) fn end_ask_round(&mut self, budget: &BudgetId, now: Instant) {
        let waiting = self
            .budgets
            .get(budget)
            .is_some_and(|holding| holding.asking.is_some() && !holding.waiting.is_empty());
        if waiting {
            self.ask_next_peers(budget, now);
        }
    }

    /// Takes in a peer's word that it gives nothing.
    pub(crate) fn note_decline(
        &mut self,
        from: IncarnationId,
        budget: &BudgetId,
        left: TokenCount,
        now: Instant,
    ) {
        let Some(holding) = self.budgets.get_mut(budget) else {
            return;
        };
        holding.note_hint(from.clone(), left);
        let Some(asking) = holding.asking.as_mut() else {
            return;
        };
        if drop_open(asking, &from) && !holding.waiting.is_empty() {
            self.ask_next_peers(budget, now);
        }
    }

    /// Answers a peer that asks for tokens.
    pub(crate) fn answer_ask(
        &mut self,
        from: IncarnationId,
        budget: BudgetId,
        wanted: TokenCount,
        least: TokenCount,
        now: Instant,
    ) {
        let transfers = self.transfers.entry(from.clone()).or_default();
        if let Some(open) = &transfers.open {
            // The same ask again, or another one before the last transfer
            // arrived; either way the open transfer goes first.
            let same = open.budget == budget;
            self.resend_give(from.clone(), now);
            if !same {
                self.decline(from, budget, TokenCount::ZERO);
            }
            return;
        }
        let spare = match self.budgets.get(&budget) {
            Some(holding) if self.state == EscrowState::Open => spare_tokens(holding),
            _ => TokenCount::ZERO,
        };
        let amount = wanted.min(TokenCount(spare.0 / 2)).max(least);
        if amount > spare || amount.is_zero() {
            self.decline(from, budget, spare);
            return;
        }
        self.give(from, budget, amount, now);
    }

    fn decline(&mut self, to: IncarnationId, budget: BudgetId, left: TokenCount) {
        self.count(EscrowCounter::TransferDeclined);
        self.send(to, EscrowMessage::DeclineTransfer { budget, left });
    }

    fn give(&mut self, to: IncarnationId, budget: BudgetId, amount: TokenCount, now: Instant) {
        let transfer = self.next_operation();
        let Some(holding) = self.budgets.get_mut(&budget) else {
            return;
        };
        let amount = holding.deduct(amount);
        let shard = holding.shard;
        let transfers = self.transfers.entry(to.clone()).or_default();
        transfers.given += 1;
        transfers.open = Some(OpenGive {
            transfer,
            budget: budget.clone(),
            shard,
            amount,
        });
        let note = TransferNote {
            transfer,
            giver: self.own.clone(),
            amount,
        };
        self.enqueue(shard, note.operation(&budget, &to));
        self.count(EscrowCounter::TransferGiven);
        self.send_give(&to, now);
    }

    /// Sends an open transfer again.
    pub(crate) fn resend_give(&mut self, to: IncarnationId, now: Instant) {
        if self.transfers.get(&to).is_some_and(|t| t.open.is_some()) {
            self.count(EscrowCounter::TransferResent);
            self.send_give(&to, now);
        }
    }

    fn send_give(&mut self, to: &IncarnationId, now: Instant) {
        let Some(transfers) = self.transfers.get(to) else {
            return;
        };
        let Some(open) = transfers.open.clone() else {
            return;
        };
        let left = self
            .budgets
            .get(&open.budget)
            .map_or(TokenCount::ZERO, spare_tokens);
        let message = EscrowMessage::GiveTransfer {
            sequence: transfers.given,
            transfer: open.transfer,
            budget: open.budget,
            shard: open.shard,
            amount: open.amount,
            left,
        };
        self.send(to.clone(), message);
        let due = now + self.settings.resend_after;
        self.timers.set(due, EscrowTimer::GiveDue(to.clone()));
    }

    /// Takes tokens that a peer gives, once for each position in its sequence.
    pub(crate) fn receive_give(
        &mut self,
        sequence: u64,
        budget: BudgetId,
        shard: ShardId,
        note: TransferNote,
        left: TokenCount,
        now: Instant,
    ) {
        // After the release is on its way the tokens could not be given back.
        if self.releasing.is_some() {
            return;
        }
        let giver = note.giver.clone();
        let transfers = self.transfers.entry(giver.clone()).or_default();
        if sequence <= transfers.taken {
            self.send(giver, EscrowMessage::TakeTransfer { sequence });
            return;
        }
        transfers.taken = sequence;
        let operation = note.operation(&budget, &self.own);
        self.enqueue(shard, operation);
        let holding = self
            .budgets
            .entry(budget.clone())
            .or_insert_with(|| BudgetHolding::new(shard, now));
        holding.note_hint(giver.clone(), left);
        holding.supplied = now;
        let amount = note.amount;
        holding.unrecorded.push(note);
        match self.settings.policy {
            EscrowPolicy::AvoidRefusals => holding.credit(amount),
            EscrowPolicy::AvoidOverspend => {
                holding.parked = holding.parked.saturating_add(amount);
            }
        }
        if let Some(asking) = holding.asking.as_mut() {
            drop_open(asking, &giver);
        }
        self.count(EscrowCounter::TransferReceived);
        self.send(giver, EscrowMessage::TakeTransfer { sequence });
        self.admit_waiting(&budget, now);
    }

    /// Takes in the acknowledgement of a transfer.
    pub(crate) fn end_give(&mut self, from: &IncarnationId, sequence: u64) {
        if let Some(transfers) = self.transfers.get_mut(from)
            && transfers.given == sequence
        {
            transfers.open = None;
        }
    }

    /// Stops sending an open transfer to a peer that can't take it any more.
    pub(crate) fn drop_give(&mut self, to: &IncarnationId) {
        if let Some(transfers) = self.transfers.get_mut(to) {
            transfers.open = None;
        }
    }

    /// Takes in the ledger's answer to the note of an own transfer.
    pub(crate) fn end_note(
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
        let recorded = result == OperationResult::Noted || result == FORGOTTEN;
        match (received, recorded) {
            (true, true) => {
                holding.unrecorded.retain(|note| note.transfer != transfer);
                let usable = holding.parked.min(amount);
                holding.parked = holding.parked.saturating_sub(usable);
                holding.credit(usable);
            }
            (true, false) => {
                holding.unrecorded.retain(|note| note.transfer != transfer);
                let parked = holding.parked.min(amount);
                holding.parked = holding.parked.saturating_sub(parked);
                holding.deduct(amount.saturating_sub(parked));
                self.count(EscrowCounter::LedgerFault);
            }
            (false, true) => {}
            // The receiver is closed: the transfer is not recorded and never
            // will be, so the tokens are this router's again.
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

/// Returns what a holding can give away.
fn spare_tokens(holding: &BudgetHolding) -> TokenCount {
    let kept = holding.waiting_need();
    holding
        .recorded_free()
        .min(holding.free)
        .saturating_sub(kept)
}

/// Takes a peer off the list of those asked; tells whether it was the last.
fn drop_open(asking: &mut AskRound, peer: &IncarnationId) -> bool {
    let before = asking.open.len();
    asking.open.retain(|open| open != peer);
    before > 0 && asking.open.is_empty()
}
