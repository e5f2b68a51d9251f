//! Copies of pending bills in other data centres.

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

use crate::batch::FORGOTTEN;
use crate::counter::EscrowCounter;
use crate::escrow::EscrowState;
use crate::escrow::RouterEscrow;
use crate::message::BillCopy;
use crate::message::EscrowMessage;
use crate::peer::PeerEntry;
use crate::timer::EscrowTimer;

/// Time between copies of a bill that nobody waits for any more.
const PROBE_PAUSE: Duration = Duration::from_secs(10);

/// A router asked to hold a copy of an own bill.
#[derive(Clone, Debug)]
pub(crate) struct CopyAsk {
    pub(crate) peer: IncarnationId,
    pub(crate) data_centre: DataCentre,
    pub(crate) held: bool,
}

/// A copy kept for another router.
#[derive(Clone, Debug)]
pub(crate) struct HeldCopy {
    copy: BillCopy,
    /// Whether its bill is in the queue to the ledger.
    queued: bool,
    /// Who holds it as well, after a hand-over.
    handed_over: Option<IncarnationId>,
}

impl HeldCopy {
    /// Tells whether `incarnation` pays for the bill or gave tokens for it.
    pub(crate) fn rests_on(&self, incarnation: &IncarnationId) -> bool {
        let mut notes = self.copy.notes.iter();
        self.copy.holder == *incarnation || notes.any(|note| note.giver == *incarnation)
    }

    pub(crate) fn is_handed_over(&self) -> bool {
        self.handed_over.is_some()
    }
}

impl RouterEscrow {
    /// Sends copies of a bill until routers in enough data centres hold one.
    pub(crate) fn send_copies(&mut self, request: RequestId, now: Instant) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        // A bill given up goes on being copied to learn when bills can be
        // made safe again.
        if pending.copied || (pending.waiting.is_empty() && !self.unconfirmable) {
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
            holder: self.own.clone(),
            notes: holding.unrecorded.clone(),
        };
        let mut peers = self.choose_copy_peers(request, &pending.copies);
        if self.local_copies_count(pending.settled, now) {
            peers.extend(self.choose_local_peers(&pending.copies));
        }
        for peer in peers {
            self.count(EscrowCounter::CopySent);
            self.send(
                peer.incarnation.clone(),
                EscrowMessage::HoldBill(copy.clone()),
            );
            if let Some(pending) = self.pending.get_mut(&request)
                && pending
                    .copies
                    .iter()
                    .all(|ask| ask.peer != peer.incarnation)
            {
                pending.copies.push(CopyAsk {
                    peer: peer.incarnation,
                    data_centre: peer.data_centre,
                    held: false,
                });
            }
        }
        let pause = match self.pending.get(&request) {
            Some(pending) if pending.waiting.is_empty() => PROBE_PAUSE,
            _ => self.settings.resend_after,
        };
        self.timers.set(now + pause, EscrowTimer::CopyDue(request));
    }

    /// Tells whether copies in the own data centre count for a bill.
    fn local_copies_count(&self, settled: Instant, now: Instant) -> bool {
        let age = now.saturating_duration_since(settled);
        self.settings
            .local_copy_after
            .is_some_and(|limit| self.unconfirmable || age >= limit)
    }

    /// Chooses routers of the own data centre that have no copy yet.
    fn choose_local_peers(&self, asked: &[CopyAsk]) -> Vec<PeerEntry> {
        let is_held = |peer: &PeerEntry| {
            asked
                .iter()
                .any(|ask| ask.held && ask.peer == peer.incarnation)
        };
        self.peers
            .iter()
            .filter(|peer| !peer.leaving && peer.data_centre == self.data_centre)
            .filter(|peer| !self.fences.contains_key(&peer.incarnation) && !is_held(peer))
            .take(self.settings.copy_places)
            .cloned()
            .collect()
    }

    /// Chooses a router in each of as many data centres as lack a copy.
    ///
    /// A data centre that was asked before and has not answered comes last,
    /// and another router of it is tried.
    fn choose_copy_peers(&self, request: RequestId, asked: &[CopyAsk]) -> Vec<PeerEntry> {
        let spread = usize::from(request.as_bytes()[15]);
        let mut places: IndexMap<&DataCentre, Vec<&PeerEntry>> = IndexMap::new();
        for peer in &self.peers {
            let eligible = !peer.leaving
                && peer.data_centre != self.data_centre
                && !self.fences.contains_key(&peer.incarnation);
            if eligible {
                places.entry(&peer.data_centre).or_default().push(peer);
            }
        }
        let held: IndexSet<&DataCentre> = asked
            .iter()
            .filter(|ask| ask.held)
            .map(|ask| &ask.data_centre)
            .collect();
        places.retain(|place, _| !held.contains(place));
        let times_asked =
            |place: &DataCentre| asked.iter().filter(|ask| ask.data_centre == *place).count();
        let mut places: Vec<_> = places.into_iter().collect();
        let rotation = spread % places.len().max(1);
        places.rotate_left(rotation);
        places.sort_by_key(|(place, _)| times_asked(place));
        places
            .into_iter()
            .take(self.settings.copy_places.saturating_sub(held.len()))
            .map(|(place, peers)| peers[(spread + times_asked(place)) % peers.len()].clone())
            .collect()
    }

    /// Takes in a router's word that it holds a copy.
    pub(crate) fn note_held(
        &mut self,
        from: IncarnationId,
        request: RequestId,
        holder: IncarnationId,
        now: Instant,
    ) {
        if holder != self.own {
            self.note_handed_over(from, request, holder);
            return;
        }
        // Counted over all data centres ever seen: in a partition the list of
        // routers may shrink, which must not lower what counts as safe.
        let required = self.settings.copy_places.min(self.places.len());
        let required_local = self.settings.copy_places.min(self.local_peers);
        let settled = self.pending.get(&request).map(|pending| pending.settled);
        let local_counts = settled.is_some_and(|time| self.local_copies_count(time, now));
        let Some(pending) = self.pending.get_mut(&request) else {
            let message = EscrowMessage::DropBill { request, holder };
            // A withdrawn bill was never copied, so this one is in the ledger.
            self.send(from, message);
            return;
        };
        for ask in pending.copies.iter_mut().filter(|ask| ask.peer == from) {
            ask.held = true;
        }
        let held: IndexSet<&DataCentre> = pending
            .copies
            .iter()
            .filter(|ask| ask.held)
            .map(|ask| &ask.data_centre)
            .filter(|place| **place != self.data_centre)
            .collect();
        let held_local = pending
            .copies
            .iter()
            .filter(|ask| ask.held && ask.data_centre == self.data_centre);
        let is_safe = required > 0 && held.len() >= required;
        let is_safe_locally =
            local_counts && required_local > 0 && held_local.count() >= required_local;
        if pending.copied || !(is_safe || is_safe_locally) {
            return;
        }
        pending.copied = true;
        self.unconfirmable = false;
        let waiting = std::mem::take(&mut pending.waiting);
        let amount = pending.amount;
        self.report_safe(request, waiting, amount, EscrowCounter::BillSafeCopies);
    }

    /// Keeps a copy for another router, and posts it in time.
    pub(crate) fn hold_copy(&mut self, from: IncarnationId, copy: BillCopy, now: Instant) {
        if self.state != EscrowState::Open || copy.holder == self.own {
            return;
        }
        // A note of a fenced giver may come too late for its reclaim.
        let mut givers = copy.notes.iter().map(|note| &note.giver);
        if self.fences.contains_key(&copy.holder)
            || givers.any(|giver| self.fences.contains_key(giver))
        {
            self.count(EscrowCounter::FencedMessage);
            return;
        }
        let (request, holder) = (copy.request, copy.holder.clone());
        let key = (holder.clone(), request);
        self.held.entry(key).or_insert(HeldCopy {
            copy,
            queued: false,
            handed_over: None,
        });
        self.count(EscrowCounter::CopyHeld);
        self.timers.set(
            now + self.settings.copy_post_after,
            EscrowTimer::PostDue {
                holder: holder.clone(),
                request,
            },
        );
        self.send(from, EscrowMessage::BillHeld { request, holder });
    }

    /// Posts a copy, with the transfers that its bill may need before it.
    pub(crate) fn post_copy(&mut self, key: (IncarnationId, RequestId), _now: Instant) {
        let Some(held) = self.held.get_mut(&key) else {
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

    /// Posts every copy at once.
    pub(crate) fn post_all_copies(&mut self, now: Instant) {
        let keys: Vec<_> = self.held.keys().cloned().collect();
        for key in keys {
            self.post_copy(key, now);
        }
    }

    /// Takes in the ledger's answer to the bill of a copy.
    pub(crate) fn end_copy(
        &mut self,
        holder: IncarnationId,
        request: RequestId,
        result: OperationResult,
        now: Instant,
    ) {
        let key = (holder, request);
        match result {
            OperationResult::Billed { .. } | FORGOTTEN => {
                self.held.swap_remove(&key);
                self.count(EscrowCounter::CopyPosted);
            }
            OperationResult::Refused(OperationRefusal::HolderClosed) => {
                self.held.swap_remove(&key);
                self.count(EscrowCounter::LedgerFault);
            }
            _ => {
                self.count(EscrowCounter::LedgerFault);
                let Some(held) = self.held.get_mut(&key) else {
                    return;
                };
                held.queued = false;
                let (holder, request) = key;
                self.timers.set(
                    now + self.settings.copy_post_after,
                    EscrowTimer::PostDue { holder, request },
                );
            }
        }
    }

    /// Gives copies held to other routers while the ledger can't be reached.
    pub(crate) fn hand_over_copies(&mut self, now: Instant) {
        if self.state != EscrowState::Stopping || self.held.is_empty() {
            return;
        }
        let open: Vec<BillCopy> = self
            .held
            .values()
            .filter(|held| !held.is_handed_over() && !self.is_reachable(held.copy.shard, now))
            .map(|held| held.copy.clone())
            .collect();
        for copy in open {
            let spread = usize::from(copy.request.as_bytes()[15]) + self.rotation;
            let eligible: Vec<&PeerEntry> = self
                .peers
                .iter()
                .filter(|peer| !peer.leaving && peer.incarnation != copy.holder)
                .collect();
            if let Some(peer) = eligible.get(spread % eligible.len().max(1)) {
                let to = peer.incarnation.clone();
                self.send(to, EscrowMessage::HoldBill(copy));
            }
        }
        self.rotation = self.rotation.wrapping_add(1);
        self.timers
            .set(now + self.settings.resend_after, EscrowTimer::HandOverDue);
    }

    fn note_handed_over(&mut self, from: IncarnationId, request: RequestId, holder: IncarnationId) {
        if let Some(held) = self.held.get_mut(&(holder, request)) {
            held.handed_over = Some(from);
        }
    }
}
