//! The whole state of one router incarnation.

use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use sha2::Digest;
use sha2::Sha256;
use snipegate_ledger::LedgerOperation;
use snipegate_types::BudgetId;
use snipegate_types::DataCentre;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

use crate::bill::BilledRequests;
use crate::bill::PendingBill;
use crate::claim::ReservationId;
use crate::copy::HeldCopy;
use crate::counter::EscrowCounter;
use crate::effect::EscrowEffect;
use crate::event::EscrowEvent;
use crate::fence::FenceProgress;
use crate::holding::BudgetHolding;
use crate::message::EscrowMessage;
use crate::message::TransferNote;
use crate::peer::PeerEntry;
use crate::queue::ShardQueue;
use crate::setting::EscrowSettings;
use crate::timer::EscrowTimer;
use crate::timer::TimerQueue;
use crate::transfer::PeerTransfers;

/// Whether an escrow serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EscrowState {
    /// It admits requests.
    Open,
    /// It admits nothing new and gives back what it holds.
    Stopping,
    /// Everything it held is back in the ledger.
    Stopped,
    /// It was declared dead and may use nothing that it held.
    Closed,
}

/// What an escrow holds of a budget, for reports and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetView {
    /// Tokens that may be reserved now.
    pub free: TokenCount,
    /// Tokens received that wait for the ledger to record them.
    pub parked: TokenCount,
    /// Tokens reserved by admitted requests.
    pub reserved: TokenCount,
    /// Tokens of bills that the ledger has not answered.
    pub billed: TokenCount,
    /// Tokens received in transfers that the ledger has not recorded.
    pub unrecorded: TokenCount,
    /// Attempts that wait for tokens.
    pub waiting: usize,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub(crate) struct OpenReservation {
    pub(crate) request: RequestId,
    pub(crate) budget: BudgetId,
    pub(crate) amount: TokenCount,
}

/// The budgets, bills and transfers of one router incarnation.
///
/// Calls and events change the state and gather effects, which
/// [`RouterEscrow::take_effects`] hands out. A restarted router is another
/// incarnation and begins with an empty escrow.
#[derive(Debug)]
pub struct RouterEscrow {
    pub(crate) own: IncarnationId,
    pub(crate) data_centre: DataCentre,
    pub(crate) settings: EscrowSettings,
    pub(crate) state: EscrowState,
    pub(crate) budgets: IndexMap<BudgetId, BudgetHolding>,
    pub(crate) reservations: IndexMap<ReservationId, OpenReservation>,
    pub(crate) pending: IndexMap<RequestId, PendingBill>,
    pub(crate) billed: BilledRequests,
    pub(crate) held: IndexMap<(IncarnationId, RequestId), HeldCopy>,
    pub(crate) peers: Vec<PeerEntry>,
    /// Data centres other than the own in which a router was ever seen.
    pub(crate) places: IndexSet<DataCentre>,
    pub(crate) transfers: IndexMap<IncarnationId, PeerTransfers>,
    pub(crate) fences: IndexMap<IncarnationId, FenceProgress>,
    pub(crate) queues: IndexMap<ShardId, ShardQueue>,
    pub(crate) timers: TimerQueue,
    /// Shards that have not answered the release yet, while stopping.
    pub(crate) releasing: Option<IndexSet<ShardId>>,
    pub(crate) sweep_next: usize,
    /// The most routers ever seen at once in the own data centre, without
    /// this one.
    pub(crate) local_peers: usize,
    /// Whether the last bills could not be made safe: nothing is admitted
    /// until one is, as its answer could not be given out.
    pub(crate) unconfirmable: bool,
    /// Advances so that not always the same peers are chosen.
    pub(crate) rotation: usize,
    operation_prefix: u64,
    next_operation: u64,
    next_reservation: u64,
    effects: Vec<EscrowEffect>,
}

impl RouterEscrow {
    /// Makes the empty escrow of the incarnation `own`.
    pub fn new(
        own: IncarnationId,
        data_centre: DataCentre,
        settings: EscrowSettings,
        now: Instant,
    ) -> Self {
        let mut timers = TimerQueue::default();
        timers.set(now, EscrowTimer::SweepDue);
        Self {
            operation_prefix: operation_prefix(&own),
            own,
            data_centre,
            settings,
            state: EscrowState::Open,
            budgets: IndexMap::new(),
            reservations: IndexMap::new(),
            pending: IndexMap::new(),
            billed: BilledRequests::default(),
            held: IndexMap::new(),
            peers: Vec::new(),
            places: IndexSet::new(),
            transfers: IndexMap::new(),
            fences: IndexMap::new(),
            queues: IndexMap::new(),
            timers,
            releasing: None,
            sweep_next: 0,
            local_peers: 0,
            unconfirmable: false,
            rotation: 0,
            next_operation: 0,
            next_reservation: 0,
            effects: Vec::new(),
        }
    }

    /// Takes in an event.
    pub fn handle(&mut self, event: EscrowEvent, now: Instant) {
        match event {
            EscrowEvent::BatchEnded { shard, id, outcome } => {
                self.end_batch(shard, id, outcome, now);
            }
            EscrowEvent::PeerSaid { from, message } => self.hear_peer(from, message, now),
            EscrowEvent::PeersChanged(peers) => self.set_peers(peers),
            EscrowEvent::RecallAsked { budget } => self.recall(&budget, now),
            EscrowEvent::FenceAsked { dead } => self.fence(dead, now),
            EscrowEvent::WaitAbandoned(reservation) => self.abandon(reservation),
            EscrowEvent::Stop => self.stop(now),
            EscrowEvent::Tick => {}
        }
        self.fire_timers(now);
        self.advance_fences();
        self.advance_stop();
    }

    /// Hands out the effects gathered so far, with the batches due at `now`.
    pub fn take_effects(&mut self, now: Instant) -> Vec<EscrowEffect> {
        if self.state != EscrowState::Closed {
            self.send_batches(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns whether the escrow serves.
    pub fn state(&self) -> EscrowState {
        self.state
    }

    /// Returns what is held of `budget`.
    pub fn view(&self, budget: &BudgetId) -> BudgetView {
        let Some(holding) = self.budgets.get(budget) else {
            return BudgetView::default();
        };
        BudgetView {
            free: holding.free,
            parked: holding.parked,
            reserved: holding.reserved,
            billed: holding.billed,
            unrecorded: holding.unrecorded.iter().map(|note| note.amount).sum(),
            waiting: holding.waiting.len(),
        }
    }

    /// Returns how many budgets are held.
    pub fn budget_count(&self) -> usize {
        self.budgets.len()
    }

    /// Returns how many settled requests wait for the ledger's answer.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns how many copies of bills are kept for other routers.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Tells whether the process can end now without losing a bill, though
    /// tokens may stay stranded until its end is proved.
    pub fn is_expendable(&self) -> bool {
        self.reservations.is_empty()
            && self.pending.values().all(PendingBill::is_settled)
            && self.held.values().all(HeldCopy::is_handed_over)
    }

    pub(crate) fn emit(&mut self, effect: EscrowEffect) {
        self.effects.push(effect);
    }

    pub(crate) fn count(&mut self, counter: EscrowCounter) {
        self.emit(EscrowEffect::Count { counter, count: 1 });
    }

    pub(crate) fn send(&mut self, to: IncarnationId, message: EscrowMessage) {
        self.emit(EscrowEffect::SendPeer { to, message });
    }

    pub(crate) fn next_operation(&mut self) -> OperationId {
        self.next_operation += 1;
        let number = u128::from(self.operation_prefix) << 64 | u128::from(self.next_operation);
        OperationId::from_number(number)
    }

    pub(crate) fn next_reservation(&mut self) -> ReservationId {
        self.next_reservation += 1;
        ReservationId(self.next_reservation)
    }

    pub(crate) fn last_reservation(&self) -> ReservationId {
        ReservationId(self.next_reservation)
    }

    pub(crate) fn enqueue(&mut self, shard: ShardId, operation: LedgerOperation) {
        self.queues.entry(shard).or_default().push(operation);
    }

    /// Returns the position that the next operation for a shard will have.
    pub(crate) fn next_position(&self, shard: ShardId) -> u64 {
        self.queues.get(&shard).map_or(0, ShardQueue::next_position)
    }

    /// Tells whether the ledger's shard answers in time.
    pub(crate) fn is_reachable(&self, shard: ShardId, now: Instant) -> bool {
        self.queues
            .get(&shard)
            .is_none_or(|queue| queue.is_reachable(self.settings.transfer_after, now))
    }

    /// Stops all use of what was held: this incarnation was declared dead.
    pub(crate) fn close(&mut self) {
        if self.state == EscrowState::Closed {
            return;
        }
        self.state = EscrowState::Closed;
        self.emit(EscrowEffect::Closed);
        self.refuse_all_waiting();
        self.give_up_pending();
    }

    fn hear_peer(&mut self, from: IncarnationId, message: EscrowMessage, now: Instant) {
        if message == EscrowMessage::Fenced {
            self.close();
            return;
        }
        if self.state == EscrowState::Closed {
            return;
        }
        if self.fences.contains_key(&from) {
            self.count(EscrowCounter::FencedMessage);
            self.send(from, EscrowMessage::Fenced);
            return;
        }
        match message {
            EscrowMessage::AskTransfer {
                budget,
                wanted,
                least,
                ..
            } => self.answer_ask(from, budget, wanted, least, now),
            EscrowMessage::GiveTransfer {
                sequence,
                transfer,
                budget,
                shard,
                amount,
                left,
            } => {
                let note = TransferNote {
                    transfer,
                    giver: from,
                    amount,
                };
                self.receive_give(sequence, budget, shard, note, left, now);
            }
            EscrowMessage::TakeTransfer { sequence } => self.end_give(&from, sequence),
            EscrowMessage::DeclineTransfer { budget, left } => {
                self.note_decline(from, &budget, left, now);
            }
            EscrowMessage::HoldBill(copy) => self.hold_copy(from, copy, now),
            EscrowMessage::BillHeld { request, holder } => {
                self.note_held(from, request, holder, now);
            }
            EscrowMessage::DropBill { request, holder } => {
                self.held.swap_remove(&(holder, request));
            }
            EscrowMessage::Fenced => {}
        }
    }

    fn set_peers(&mut self, peers: Vec<PeerEntry>) {
        let others = peers
            .iter()
            .map(|peer| &peer.data_centre)
            .filter(|&place| *place != self.data_centre);
        self.places.extend(others.cloned());
        let local = peers
            .iter()
            .filter(|peer| peer.data_centre == self.data_centre);
        self.local_peers = self.local_peers.max(local.count());
        self.peers = peers;
    }

    fn fire_timers(&mut self, now: Instant) {
        while let Some(timer) = self.timers.pop_due(now) {
            if self.state == EscrowState::Closed {
                continue;
            }
            match timer {
                EscrowTimer::WaitLimit {
                    budget,
                    reservation,
                } => self.end_wait(&budget, reservation, now),
                EscrowTimer::TopUpDue(budget) => self.top_up(&budget, now),
                EscrowTimer::TransferDue(budget) => self.ask_peers(&budget, now),
                EscrowTimer::AskDue(budget) => self.end_ask_round(&budget, now),
                EscrowTimer::GiveDue(peer) => self.resend_give(peer, now),
                EscrowTimer::CopyDue(request) => self.send_copies(request, now),
                EscrowTimer::BillLimit {
                    request,
                    reservation,
                } => self.end_bill_wait(request, reservation, now),
                EscrowTimer::PostDue { holder, request } => self.post_copy((holder, request), now),
                EscrowTimer::HandOverDue => self.hand_over_copies(now),
                EscrowTimer::SweepDue => self.sweep(now),
            }
        }
    }
}

/// Returns a number that other incarnations do not share.
fn operation_prefix(own: &IncarnationId) -> u64 {
    let digest = Sha256::digest(own.to_string().as_bytes());
    digest[..8]
        .iter()
        .fold(0, |number, &byte| number << 8 | u64::from(byte))
}
