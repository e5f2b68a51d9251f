//! Replication of pending bills to other routers.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationRefusal;
use snipegate_ledger::OperationResult;
use snipegate_types::DataCentre;
use snipegate_types::IncarnationId;
use snipegate_types::RequestId;

use crate::batch::RESULT_FORGOTTEN;
use crate::counter::EscrowCounter;
use crate::escrow::EscrowState;
use crate::escrow::RouterEscrow;
use crate::message::BillCopy;
use crate::message::EscrowMessage;
use crate::peer::PeerEntry;
use crate::timer::EscrowTimer;

/// Interval at which copies of a bill without waiting reservations are sent again.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// A request to another router to hold a copy of a bill of this router.
#[derive(Clone, Debug)]
pub(crate) struct CopyRequest {
    pub(crate) peer: IncarnationId,
    pub(crate) data_centre: DataCentre,
    /// Whether the peer acknowledged the copy.
    pub(crate) held: bool,
}

/// A copy of a bill held for another router.
#[derive(Clone, Debug)]
pub(crate) struct HeldCopy {
    copy: BillCopy,
    /// Whether the bill is queued for the ledger.
    queued: bool,
    /// The router that confirmed a hand-over of the copy.
    handed_over: Option<IncarnationId>,
}

impl HeldCopy {
    /// Returns whether the bill depends on tokens of `incarnation`: it is the holder,
    /// or it gave tokens to the holder.
    pub(crate) fn depends_on(&self, incarnation: &IncarnationId) -> bool {
        let mut notes = self.copy.notes.iter();
        self.copy.holder == *incarnation || notes.any(|note| note.giver == *incarnation)
    }

    pub(crate) fn is_handed_over(&self) -> bool {
        self.handed_over.is_some()
    }
}

impl RouterEscrow {
    /// Sends copies of a bill, until routers in enough data centres hold one.
    pub(crate) fn send_copies(&mut self, request: RequestId, now: Instant) {
        let Some(pending) = self.pending_bills.get(&request) else {
            return;
        };
        // While admission is blocked, a bill reported as unsafe is still copied, since
        // an acknowledgement shows that bills can be made safe again.
        if pending.is_replicated || (pending.waiters.is_empty() && !self.admission_blocked) {
            return;
        }
        let Some(holding) = self.budgets.get(&pending.budget) else {
            return;
        };
        let copy = BillCopy {
            request,
            budget: pending.budget.clone(),
            shard: pending.shard,
            position: pending.position,
            amount: pending.amount,
            holder: self.own_id.clone(),
            notes: holding.unrecorded.clone(),
        };
        let mut peers = self.choose_copy_peers(request, &pending.copy_requests);
        if self.accepts_local_copies(pending.settled_at, now) {
            peers.extend(self.choose_local_copy_peers(&pending.copy_requests));
        }
        for peer in peers {
            self.count(EscrowCounter::CopySent);
            self.send(
                peer.incarnation.clone(),
                EscrowMessage::HoldBill(copy.clone()),
            );
            if let Some(pending) = self.pending_bills.get_mut(&request)
                && pending
                    .copy_requests
                    .iter()
                    .all(|copy_request| copy_request.peer != peer.incarnation)
            {
                pending.copy_requests.push(CopyRequest {
                    peer: peer.incarnation,
                    data_centre: peer.data_centre,
                    held: false,
                });
            }
        }
        let pause = match self.pending_bills.get(&request) {
            Some(pending) if pending.waiters.is_empty() => PROBE_INTERVAL,
            _ => self.settings.resend_after,
        };
        self.timers.set(now + pause, EscrowTimer::CopyDue(request));
    }

    /// Returns whether copies in this data centre make a bill safe.
    fn accepts_local_copies(&self, settled: Instant, now: Instant) -> bool {
        let age = now.saturating_duration_since(settled);
        self.settings
            .local_copy_after
            .is_some_and(|limit| self.admission_blocked || age >= limit)
    }

    /// Chooses routers of this data centre that do not hold a copy yet.
    fn choose_local_copy_peers(&self, asked: &[CopyRequest]) -> Vec<PeerEntry> {
        let is_held = |peer: &PeerEntry| {
            asked
                .iter()
                .any(|copy_request| copy_request.held && copy_request.peer == peer.incarnation)
        };
        self.peers
            .iter()
            .filter(|peer| !peer.leaving && peer.data_centre == self.data_centre)
            .filter(|peer| !self.fences.contains_key(&peer.incarnation) && !is_held(peer))
            .take(self.settings.copy_count)
            .cloned()
            .collect()
    }

    /// Chooses one router in each of as many data centres as still need a copy.
    ///
    /// Data centres that were asked before without an acknowledgement come last, and a
    /// different router there is chosen.
    fn choose_copy_peers(&self, request: RequestId, asked: &[CopyRequest]) -> Vec<PeerEntry> {
        let offset = usize::from(request.as_bytes()[15]);
        let mut data_centres: IndexMap<&DataCentre, Vec<&PeerEntry>> = IndexMap::new();
        for peer in &self.peers {
            let eligible = !peer.leaving
                && peer.data_centre != self.data_centre
                && !self.fences.contains_key(&peer.incarnation);
            if eligible {
                data_centres
                    .entry(&peer.data_centre)
                    .or_default()
                    .push(peer);
            }
        }
        let held: IndexSet<&DataCentre> = asked
            .iter()
            .filter(|copy_request| copy_request.held)
            .map(|copy_request| &copy_request.data_centre)
            .collect();
        data_centres.retain(|data_centre, _| !held.contains(data_centre));
        let request_count = |data_centre: &DataCentre| {
            asked
                .iter()
                .filter(|copy_request| copy_request.data_centre == *data_centre)
                .count()
        };
        let mut data_centres: Vec<_> = data_centres.into_iter().collect();
        let rotation = offset % data_centres.len().max(1);
        data_centres.rotate_left(rotation);
        data_centres.sort_by_key(|(data_centre, _)| request_count(data_centre));
        data_centres
            .into_iter()
            .take(self.settings.copy_count.saturating_sub(held.len()))
            .map(|(data_centre, peers)| {
                peers[(offset + request_count(data_centre)) % peers.len()].clone()
            })
            .collect()
    }

    /// Handles a router's acknowledgement that it holds a copy.
    pub(crate) fn handle_copy_ack(
        &mut self,
        from: IncarnationId,
        request: RequestId,
        holder: IncarnationId,
        now: Instant,
    ) {
        if holder != self.own_id {
            self.mark_handed_over(from, request, holder);
            return;
        }
        // Based on all data centres ever seen: the list of routers may shrink in a
        // partition, which must not lower the required number of copies.
        let required = self.settings.copy_count.min(self.remote_data_centres.len());
        let required_local = self.settings.copy_count.min(self.max_local_peers);
        let settled = self
            .pending_bills
            .get(&request)
            .map(|pending| pending.settled_at);
        let local_counts = settled.is_some_and(|time| self.accepts_local_copies(time, now));
        let Some(pending) = self.pending_bills.get_mut(&request) else {
            let message = EscrowMessage::DropBill { request, holder };
            // A withdrawn bill was never copied, so a bill that is no longer pending is in
            // the ledger.
            self.send(from, message);
            return;
        };
        for copy_request in pending
            .copy_requests
            .iter_mut()
            .filter(|copy_request| copy_request.peer == from)
        {
            copy_request.held = true;
        }
        let held: IndexSet<&DataCentre> = pending
            .copy_requests
            .iter()
            .filter(|copy_request| copy_request.held)
            .map(|copy_request| &copy_request.data_centre)
            .filter(|data_centre| **data_centre != self.data_centre)
            .collect();
        let held_local = pending.copy_requests.iter().filter(|copy_request| {
            copy_request.held && copy_request.data_centre == self.data_centre
        });
        let is_safe = required > 0 && held.len() >= required;
        let is_safe_locally =
            local_counts && required_local > 0 && held_local.count() >= required_local;
        if pending.is_replicated || !(is_safe || is_safe_locally) {
            return;
        }
        pending.is_replicated = true;
        self.admission_blocked = false;
        let waiting = std::mem::take(&mut pending.waiters);
        let amount = pending.amount;
        self.report_safe(request, waiting, amount, EscrowCounter::BillSafeCopies);
    }

    /// Stores a copy for another router and schedules its posting.
    pub(crate) fn store_copy(&mut self, from: IncarnationId, copy: BillCopy, now: Instant) {
        if self.state != EscrowState::Open || copy.holder == self.own_id {
            return;
        }
        // Refused, as a transfer from a fenced giver may reach the ledger only after the
        // giver's tokens were reclaimed.
        let mut givers = copy.notes.iter().map(|note| &note.giver);
        if self.fences.contains_key(&copy.holder)
            || givers.any(|giver| self.fences.contains_key(giver))
        {
            self.count(EscrowCounter::FencedMessage);
            return;
        }
        let (request, holder) = (copy.request, copy.holder.clone());
        let key = (holder.clone(), request);
        self.held_copies.entry(key).or_insert(HeldCopy {
            copy,
            queued: false,
            handed_over: None,
        });
        self.count(EscrowCounter::CopyHeld);
        self.timers.set(
            now + self.settings.copy_post_after,
            EscrowTimer::CopyPostDue {
                holder: holder.clone(),
                request,
            },
        );
        self.send(from, EscrowMessage::BillHeld { request, holder });
    }

    /// Queues the bill of a copy for the ledger, after the transfers it may depend on.
    pub(crate) fn post_copy(&mut self, key: (IncarnationId, RequestId), _now: Instant) {
        let Some(held) = self.held_copies.get_mut(&key) else {
            return;
        };
        if std::mem::replace(&mut held.queued, true) {
            return;
        }
        let copy = held.copy.clone();
        for note in &copy.notes {
            let operation = note.operation(&copy.budget, &copy.holder);
            self.enqueue(copy.shard, operation);
        }
        self.enqueue(
            copy.shard,
            LedgerOperation::Bill {
                request: copy.request,
                budget: copy.budget,
                amount: copy.amount,
                holder: copy.holder,
                position: Some(copy.position),
            },
        );
    }

    /// Queues the bills of all copies for the ledger.
    pub(crate) fn post_all_copies(&mut self, now: Instant) {
        let keys: Vec<_> = self.held_copies.keys().cloned().collect();
        for key in keys {
            self.post_copy(key, now);
        }
    }

    /// Handles the ledger's result for the bill of a copy.
    pub(crate) fn handle_copy_result(
        &mut self,
        holder: IncarnationId,
        request: RequestId,
        result: OperationResult,
        now: Instant,
    ) {
        let key = (holder, request);
        match result {
            OperationResult::Billed { .. } | RESULT_FORGOTTEN => {
                self.held_copies.swap_remove(&key);
                self.count(EscrowCounter::CopyPosted);
            }
            OperationResult::Refused(OperationRefusal::HolderClosed) => {
                self.held_copies.swap_remove(&key);
                self.count(EscrowCounter::LedgerFault);
            }
            _ => {
                self.count(EscrowCounter::LedgerFault);
                let Some(held) = self.held_copies.get_mut(&key) else {
                    return;
                };
                held.queued = false;
                let (holder, request) = key;
                self.timers.set(
                    now + self.settings.copy_post_after,
                    EscrowTimer::CopyPostDue { holder, request },
                );
            }
        }
    }

    /// Hands copies over to other routers if the ledger is unreachable while stopping.
    pub(crate) fn hand_over_copies(&mut self, now: Instant) {
        if self.state != EscrowState::Stopping || self.held_copies.is_empty() {
            return;
        }
        let unposted: Vec<BillCopy> = self
            .held_copies
            .values()
            .filter(|held| !held.is_handed_over() && !self.is_reachable(held.copy.shard, now))
            .map(|held| held.copy.clone())
            .collect();
        for copy in unposted {
            let offset = usize::from(copy.request.as_bytes()[15]) + self.peer_rotation;
            let eligible: Vec<&PeerEntry> = self
                .peers
                .iter()
                .filter(|peer| !peer.leaving && peer.incarnation != copy.holder)
                .collect();
            if let Some(peer) = eligible.get(offset % eligible.len().max(1)) {
                let to = peer.incarnation.clone();
                self.send(to, EscrowMessage::HoldBill(copy));
            }
        }
        self.peer_rotation = self.peer_rotation.wrapping_add(1);
        self.timers
            .set(now + self.settings.resend_after, EscrowTimer::HandOverDue);
    }

    /// Records that another router holds a copy that was handed over.
    fn mark_handed_over(&mut self, from: IncarnationId, request: RequestId, holder: IncarnationId) {
        if let Some(held) = self.held_copies.get_mut(&(holder, request)) {
            held.handed_over = Some(from);
        }
    }
}
