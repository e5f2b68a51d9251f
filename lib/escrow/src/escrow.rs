//! State and event dispatch of one router incarnation.

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

/// The lifecycle state of an escrow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EscrowState {
    /// Admits requests.
    Open,
    /// Admits no new requests and releases its holdings.
    Stopping,
    /// All holdings were released to the ledger.
    Stopped,
    /// Was declared dead and may not use its holdings any more.
    Closed,
}

/// A snapshot of an escrow's holding of a budget, for reports and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetView {
    /// Tokens available for reservations.
    pub free: TokenCount,
    /// Received tokens that become available once the ledger has recorded their transfer.
    pub pending_credit: TokenCount,
    /// Tokens reserved by admitted requests.
    pub reserved: TokenCount,
    /// Tokens of bills without a ledger result.
    pub billed: TokenCount,
    /// Tokens of received transfers that the ledger has not recorded.
    pub unrecorded: TokenCount,
    /// Number of claims waiting for tokens.
    pub waiting: usize,
}

/// The reservation of an admitted request.
#[derive(Clone, Debug)]
pub(crate) struct OpenReservation {
    pub(crate) request: RequestId,
    pub(crate) budget: BudgetId,
    pub(crate) amount: TokenCount,
}

/// The holdings, bills and transfers of one router incarnation.
///
/// Calls and events change the state and queue effects, which
/// [`RouterEscrow::take_effects`] returns. A restarted router is a new incarnation and
/// starts with an empty escrow.
#[derive(Debug)]
pub struct RouterEscrow {
    pub(crate) own_id: IncarnationId,
    pub(crate) data_centre: DataCentre,
    pub(crate) settings: EscrowSettings,
    pub(crate) state: EscrowState,
    pub(crate) budgets: IndexMap<BudgetId, BudgetHolding>,
    pub(crate) reservations: IndexMap<ReservationId, OpenReservation>,
    pub(crate) pending_bills: IndexMap<RequestId, PendingBill>,
    pub(crate) billed: BilledRequests,
    pub(crate) held_copies: IndexMap<(IncarnationId, RequestId), HeldCopy>,
    pub(crate) peers: Vec<PeerEntry>,
    /// Other data centres in which a router was ever seen.
    pub(crate) remote_data_centres: IndexSet<DataCentre>,
    pub(crate) transfers: IndexMap<IncarnationId, PeerTransfers>,
    pub(crate) fences: IndexMap<IncarnationId, FenceProgress>,
    pub(crate) queues: IndexMap<ShardId, ShardQueue>,
    pub(crate) timers: TimerQueue,
    /// While stopping: the shards that have not confirmed the release.
    pub(crate) unreleased_shards: Option<IndexSet<ShardId>>,
    /// Index of the next budget to sweep.
    pub(crate) sweep_index: usize,
    /// The largest number of other routers seen at once in this data centre.
    pub(crate) max_local_peers: usize,
    /// Whether admission is blocked because recent bills could not be made safe. The
    /// response of a request admitted now could not be completed. Cleared when a bill
    /// is made safe or the ledger answers.
    pub(crate) admission_blocked: bool,
    /// Offset that rotates the choice of peers to spread requests.
    pub(crate) peer_rotation: usize,
    operation_prefix: u64,
    next_operation: u64,
    next_reservation: u64,
    effects: Vec<EscrowEffect>,
}

impl RouterEscrow {
    /// Creates an empty escrow for the incarnation `own_id`.
    pub fn new(
        own_id: IncarnationId,
        data_centre: DataCentre,
        settings: EscrowSettings,
        now: Instant,
    ) -> Self {
        let mut timers = TimerQueue::default();
        timers.set(now, EscrowTimer::SweepDue);
        Self {
            operation_prefix: operation_prefix(&own_id),
            own_id,
            data_centre,
            settings,
            state: EscrowState::Open,
            budgets: IndexMap::new(),
            reservations: IndexMap::new(),
            pending_bills: IndexMap::new(),
            billed: BilledRequests::default(),
            held_copies: IndexMap::new(),
            peers: Vec::new(),
            remote_data_centres: IndexSet::new(),
            transfers: IndexMap::new(),
            fences: IndexMap::new(),
            queues: IndexMap::new(),
            timers,
            unreleased_shards: None,
            sweep_index: 0,
            max_local_peers: 0,
            admission_blocked: false,
            peer_rotation: 0,
            next_operation: 0,
            next_reservation: 0,
            effects: Vec::new(),
        }
    }

    /// Processes an event and all timers that are due.
    pub fn handle(&mut self, event: EscrowEvent, now: Instant) {
        match event {
            EscrowEvent::BatchEnded { shard, id, outcome } => {
                self.handle_batch_outcome(shard, id, outcome, now);
            }
            EscrowEvent::PeerMessageReceived { from, message } => {
                self.handle_peer_message(from, message, now)
            }
            EscrowEvent::PeersChanged(peers) => self.set_peers(peers),
            EscrowEvent::RecallRequested { budget } => self.recall(&budget, now),
            EscrowEvent::FenceRequested { dead } => self.fence(dead, now),
            EscrowEvent::WaitAbandoned(reservation) => self.abandon(reservation),
            EscrowEvent::Stop => self.stop(now),
            EscrowEvent::Tick => {}
        }
        self.run_due_timers(now);
        self.advance_fences();
        self.advance_stop();
    }

    /// Returns the queued effects, including the batches due at `now`.
    pub fn take_effects(&mut self, now: Instant) -> Vec<EscrowEffect> {
        if self.state != EscrowState::Closed {
            self.send_batches(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the lifecycle state.
    pub fn state(&self) -> EscrowState {
        self.state
    }

    /// Returns a snapshot of the holding of `budget`.
    pub fn view(&self, budget: &BudgetId) -> BudgetView {
        let Some(holding) = self.budgets.get(budget) else {
            return BudgetView::default();
        };
        BudgetView {
            free: holding.free,
            pending_credit: holding.pending_credit,
            reserved: holding.reserved,
            billed: holding.billed,
            unrecorded: holding.unrecorded.iter().map(|note| note.amount).sum(),
            waiting: holding.waiting.len(),
        }
    }

    /// Returns the number of budgets with a holding.
    pub fn budget_count(&self) -> usize {
        self.budgets.len()
    }

    /// Returns the number of bills without a ledger result.
    pub fn pending_count(&self) -> usize {
        self.pending_bills.len()
    }

    /// Returns the number of copies of bills held for other routers.
    pub fn held_copy_count(&self) -> usize {
        self.held_copies.len()
    }

    /// Returns whether the process can exit now without losing a bill.
    ///
    /// Its tokens may stay unavailable until the incarnation is declared dead.
    pub fn can_exit(&self) -> bool {
        self.reservations.is_empty()
            && self.pending_bills.values().all(PendingBill::has_no_waiters)
            && self.held_copies.values().all(HeldCopy::is_handed_over)
    }

    pub(crate) fn emit(&mut self, effect: EscrowEffect) {
        self.effects.push(effect);
    }

    pub(crate) fn count(&mut self, counter: EscrowCounter) {
        self.emit(EscrowEffect::Count { counter, count: 1 });
    }

    pub(crate) fn send(&mut self, to: IncarnationId, message: EscrowMessage) {
        self.emit(EscrowEffect::SendPeerMessage { to, message });
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

    /// Returns the queue position of the next operation for a shard.
    pub(crate) fn next_position(&self, shard: ShardId) -> u64 {
        self.queues.get(&shard).map_or(0, ShardQueue::next_position)
    }

    /// Returns whether the keeper of a shard answers in time.
    pub(crate) fn is_reachable(&self, shard: ShardId, now: Instant) -> bool {
        self.queues
            .get(&shard)
            .is_none_or(|queue| queue.is_reachable(self.settings.transfer_after, now))
    }

    /// Stops using all holdings, since this incarnation was declared dead.
    pub(crate) fn close(&mut self) {
        if self.state == EscrowState::Closed {
            return;
        }
        self.state = EscrowState::Closed;
        self.emit(EscrowEffect::Closed);
        self.refuse_all_waiting();
        self.fail_pending_bills();
    }

    /// Handles a message of another router, unless its sender is fenced.
    fn handle_peer_message(&mut self, from: IncarnationId, message: EscrowMessage, now: Instant) {
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
            } => self.handle_transfer_request(from, budget, wanted, least, now),
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
                self.receive_transfer(sequence, budget, shard, note, left, now);
            }
            EscrowMessage::TakeTransfer { sequence } => self.handle_transfer_ack(&from, sequence),
            EscrowMessage::DeclineTransfer { budget, left } => {
                self.handle_decline(from, &budget, left, now);
            }
            EscrowMessage::HoldBill(copy) => self.store_copy(from, copy, now),
            EscrowMessage::BillHeld { request, holder } => {
                self.handle_copy_ack(from, request, holder, now);
            }
            EscrowMessage::DropBill { request, holder } => {
                self.held_copies.swap_remove(&(holder, request));
            }
            EscrowMessage::Fenced => {}
        }
    }

    fn set_peers(&mut self, peers: Vec<PeerEntry>) {
        let others = peers
            .iter()
            .map(|peer| &peer.data_centre)
            .filter(|&data_centre| *data_centre != self.data_centre);
        self.remote_data_centres.extend(others.cloned());
        let local = peers
            .iter()
            .filter(|peer| peer.data_centre == self.data_centre);
        self.max_local_peers = self.max_local_peers.max(local.count());
        self.peers = peers;
    }

    fn run_due_timers(&mut self, now: Instant) {
        while let Some(timer) = self.timers.pop_due(now) {
            if self.state == EscrowState::Closed {
                continue;
            }
            match timer {
                EscrowTimer::WaitTimeout {
                    budget,
                    reservation,
                } => self.expire_wait(&budget, reservation, now),
                EscrowTimer::TopUpDue(budget) => self.top_up(&budget, now),
                EscrowTimer::AskPeersDue(budget) => self.ask_peers(&budget, now),
                EscrowTimer::PeerAskTimeout(budget) => self.handle_ask_timeout(&budget, now),
                EscrowTimer::TransferResendDue(peer) => self.resend_transfer(peer, now),
                EscrowTimer::CopyDue(request) => self.send_copies(request, now),
                EscrowTimer::BillTimeout {
                    request,
                    reservation,
                } => self.expire_bill_wait(request, reservation, now),
                EscrowTimer::CopyPostDue { holder, request } => {
                    self.post_copy((holder, request), now)
                }
                EscrowTimer::HandOverDue => self.hand_over_copies(now),
                EscrowTimer::SweepDue => self.sweep(now),
            }
        }
    }
}

/// Returns the upper half of this incarnation's operation ids, a hash of its name.
fn operation_prefix(own_id: &IncarnationId) -> u64 {
    let digest = Sha256::digest(own_id.to_string().as_bytes());
    digest[..8]
        .iter()
        .fold(0, |number, &byte| number << 8 | u64::from(byte))
}
