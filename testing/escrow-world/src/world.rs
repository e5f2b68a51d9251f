//! The event loop of the simulation.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use indexmap::IndexMap;
use snipegate_escrow::BatchId;
use snipegate_escrow::BatchOutcome;
use snipegate_escrow::BudgetClaim;
use snipegate_escrow::EscrowEffect;
use snipegate_escrow::EscrowEvent;
use snipegate_escrow::EscrowMessage;
use snipegate_escrow::EscrowSettings;
use snipegate_escrow::EscrowState;
use snipegate_escrow::ReservationId;
use snipegate_escrow::ReserveOutcome;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::ShardLedger;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

use crate::network::NetworkFaults;
use crate::node::NodeState;
use crate::node::RouterNode;
use crate::record::AttemptOutcome;
use crate::record::AttemptRecord;
use crate::record::WorldRecord;

/// Interval between ticks of a router.
const TICK: Duration = Duration::from_millis(50);

/// The parameters of a request for [`EscrowWorld::request`].
#[derive(Clone, Debug)]
pub struct WorldRequest {
    /// The request id.
    pub request: RequestId,
    /// The budget.
    pub budget: BudgetId,
    /// The number of tokens to reserve.
    pub worst_case: TokenCount,
    /// The number of tokens that it uses.
    pub used: TokenCount,
    /// How long it runs once admitted.
    pub duration: Duration,
    /// Whether it fails without a response, and so is not billed.
    pub fails: bool,
}

/// A scheduled event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum WorldEvent {
    Tick(usize),
    PeerMessage {
        from: usize,
        to: IncarnationId,
        message: EscrowMessage,
    },
    BatchArrives {
        from: usize,
        id: BatchId,
        batch: LedgerBatch,
    },
    BatchAnswered {
        to: usize,
        id: BatchId,
        outcome: BatchOutcome,
    },
    RequestEnds {
        node: usize,
        reservation: ReservationId,
        attempt: usize,
    },
    DeclareDead(usize),
    FenceRound(IncarnationId),
    RecallArrives {
        to: IncarnationId,
        budget: BudgetId,
    },
}

/// A simulation of several routers and one ledger shard, connected by a faulty network.
///
/// The shard's keeper is in data centre 0.
#[derive(Debug)]
pub struct EscrowWorld {
    /// The faults that are currently injected.
    pub faults: NetworkFaults,
    /// The record of the run.
    pub record: WorldRecord,
    /// The ledger of the shard.
    pub ledger: ShardLedger,
    pub(crate) start: Instant,
    pub(crate) now: Duration,
    pub(crate) rng: Rng,
    pub(crate) events: BTreeMap<(Duration, u64), WorldEvent>,
    pub(crate) next_event: u64,
    pub(crate) nodes: Vec<RouterNode>,
    pub(crate) settings: EscrowSettings,
    pub(crate) data_centre_count: usize,
    /// Open reservations: the attempt's index, its duration, and whether it fails.
    pub(crate) open_reservations: IndexMap<(usize, ReservationId), (usize, Duration, bool)>,
    /// Bills reported as safe.
    pub(crate) safe_bills: IndexMap<RequestId, (BudgetId, TokenCount)>,
    /// When each budget was last recalled.
    pub(crate) last_recalls: IndexMap<BudgetId, Duration>,
    pub(crate) next_top_up: u128,
}

impl EscrowWorld {
    /// Creates a simulation of `routers` routers spread over `data_centre_count` data
    /// centres.
    pub fn new(
        seed: u64,
        routers: usize,
        data_centre_count: usize,
        settings: EscrowSettings,
    ) -> Self {
        let mut world = Self {
            faults: NetworkFaults {
                delay: Duration::from_millis(4),
                ..NetworkFaults::default()
            },
            record: WorldRecord::default(),
            ledger: ShardLedger::new(),
            start: Instant::now(),
            now: Duration::ZERO,
            rng: Rng::with_seed(seed),
            events: BTreeMap::new(),
            next_event: 0,
            nodes: Vec::new(),
            settings,
            data_centre_count,
            open_reservations: IndexMap::new(),
            safe_bills: IndexMap::new(),
            last_recalls: IndexMap::new(),
            next_top_up: 0,
        };
        for vm in 0..routers {
            world.add_node(vm, 1);
        }
        world
    }

    /// Returns the virtual time since the start.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the random number generator of the run.
    pub fn rng(&mut self) -> &mut Rng {
        &mut self.rng
    }

    /// Returns the indices of the routers that admit requests.
    pub fn serving(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&node| self.nodes[node].is_serving())
            .collect()
    }

    /// Returns the index of a router's data centre.
    pub fn data_centre(&self, node: usize) -> usize {
        self.nodes[node].data_centre
    }

    /// Returns the state of a router's process.
    pub fn state(&self, node: usize) -> NodeState {
        self.nodes[node].state
    }

    /// Adds purchased tokens to a budget.
    pub fn top_up(&mut self, budget: &BudgetId, amount: TokenCount) {
        self.next_top_up += 1;
        let operation = LedgerOperation::TopUp {
            operation: OperationId::from_number(self.next_top_up),
            budget: budget.clone(),
            amount,
        };
        let sender = self.nodes[0].incarnation.clone();
        self.apply(&sender, &operation);
    }

    /// Sends a request to a router, which must be serving.
    pub fn request(&mut self, node: usize, request: WorldRequest) {
        let attempt = self.record.attempts.len();
        self.record.attempts.push(AttemptRecord {
            node,
            request: request.request,
            budget: request.budget.clone(),
            worst_case: request.worst_case,
            used: request.used,
            arrived: self.now,
            admitted: None,
            ended: None,
            outcome: AttemptOutcome::Open,
            paused: self.nodes[node].paused_total,
            unused_at_refusal: None,
            reachable_at_refusal: TokenCount::ZERO,
        });
        let claim = BudgetClaim {
            request: request.request,
            budget: request.budget,
            shard: ShardId(0),
            worst_case: request.worst_case,
        };
        let now = self.instant();
        match self.nodes[node].escrow.reserve(claim, now) {
            ReserveOutcome::Admitted(reservation) => {
                let entry = (attempt, request.duration, request.fails);
                self.open_reservations.insert((node, reservation), entry);
                self.admit(node, reservation);
            }
            ReserveOutcome::Waiting(reservation) => {
                let entry = (attempt, request.duration, request.fails);
                self.open_reservations.insert((node, reservation), entry);
            }
            ReserveOutcome::Refused(refusal) => {
                self.end_attempt(attempt, AttemptOutcome::Refused(refusal.code));
            }
        }
        self.execute_effects(node);
    }

    /// Kills a router's process and starts a new one on its VM.
    ///
    /// The old incarnation is declared dead after `detection_delay`.
    pub fn kill(&mut self, node: usize, detection_delay: Duration) {
        let vm = node % self.vm_count();
        self.nodes[node].state = NodeState::Dead;
        self.schedule(detection_delay, WorldEvent::DeclareDead(node));
        let start = self.nodes.len() as u64 + 1;
        self.add_node(vm, start);
    }

    /// Suspends a router's process, unnoticed by the router.
    pub fn pause(&mut self, node: usize) {
        if self.nodes[node].state == NodeState::Up {
            self.nodes[node].state = NodeState::Paused;
            self.nodes[node].paused_at = Some(self.now);
        }
    }

    /// Resumes all paused routers.
    pub fn resume_all(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].state == NodeState::Paused {
                self.nodes[node].state = NodeState::Up;
                if let Some(time) = self.nodes[node].paused_at.take() {
                    self.nodes[node].paused_total += self.now - time;
                }
                let backlog = std::mem::take(&mut self.nodes[node].backlog);
                for event in backlog {
                    self.deliver(node, event);
                }
                // The tick timer of a resumed process is overdue.
                self.deliver(node, EscrowEvent::Tick);
            }
        }
    }

    /// Begins the graceful shutdown of a router.
    pub fn stop(&mut self, node: usize) {
        self.deliver(node, EscrowEvent::Stop);
    }

    /// Starts a new router on the VM of a stopped one.
    pub fn restart(&mut self, node: usize) {
        let vm = node % self.vm_count();
        let start = self.nodes.len() as u64 + 1;
        self.add_node(vm, start);
    }

    /// Returns whether a router has stopped and released its holdings.
    pub fn is_stopped(&self, node: usize) -> bool {
        self.nodes[node].escrow.state() == EscrowState::Stopped
    }

    /// Stops all serving routers. Returns whether all routers ended within `limit`.
    pub fn stop_all(&mut self, limit: Duration) -> bool {
        for node in self.serving() {
            self.stop(node);
        }
        let end = self.now + limit;
        while self.now < end && !self.nodes.iter().all(RouterNode::has_ended) {
            self.run_for(TICK);
        }
        let all_ended = self.nodes.iter().all(RouterNode::has_ended);
        self.run_for(Duration::from_secs(5));
        all_ended
    }

    /// Advances the virtual time by `span` and processes the events due until then.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), event) = entry.remove_entry();
            self.now = self.now.max(time);
            self.process_event(event);
        }
        self.now = end;
    }

    /// Returns the number of VMs.
    fn vm_count(&self) -> usize {
        self.nodes
            .iter()
            .filter(|node| node.incarnation.start == 1)
            .count()
    }

    fn add_node(&mut self, vm: usize, start: u64) {
        let (now, settings) = (self.instant(), self.settings.clone());
        let node = RouterNode::new(vm, start, vm % self.data_centre_count, settings, now);
        self.nodes.push(node);
        let number = self.nodes.len() - 1;
        let offset = Duration::from_micros(self.rng.u64(0..TICK.as_micros() as u64));
        self.schedule(offset, WorldEvent::Tick(number));
        self.announce_peers();
    }

    /// Sends the list of running routers to every router.
    fn announce_peers(&mut self) {
        let entries: Vec<_> = self
            .nodes
            .iter()
            .filter(|node| !node.has_ended())
            .map(RouterNode::entry)
            .collect();
        for node in 0..self.nodes.len() {
            let own = self.nodes[node].incarnation.clone();
            let peers = entries
                .iter()
                .filter(|entry| entry.incarnation != own)
                .cloned()
                .collect();
            self.deliver(node, EscrowEvent::PeersChanged(peers));
        }
    }

    /// Returns the virtual time as an `Instant`.
    pub(crate) fn instant(&self) -> Instant {
        self.start + self.now
    }

    /// Schedules an event after `delay`.
    pub(crate) fn schedule(&mut self, delay: Duration, event: WorldEvent) {
        let key = (self.now + delay, self.next_event);
        self.next_event += 1;
        self.events.insert(key, event);
    }

    /// Delivers an event to a router, or queues it while the router is paused.
    pub(crate) fn deliver(&mut self, node: usize, event: EscrowEvent) {
        let now = self.instant();
        match self.nodes[node].state {
            NodeState::Up => {
                self.nodes[node].escrow.handle(event, now);
                self.execute_effects(node);
            }
            NodeState::Paused if event == EscrowEvent::Tick => {}
            NodeState::Paused => self.nodes[node].backlog.push(event),
            NodeState::Dead => {}
        }
    }

    /// Returns the index of the router with the given incarnation.
    pub(crate) fn find_node(&self, incarnation: &IncarnationId) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.incarnation == *incarnation)
    }

    fn process_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick(node) => {
                if !self.nodes[node].has_ended() {
                    self.deliver(node, EscrowEvent::Tick);
                    self.schedule(TICK, WorldEvent::Tick(node));
                }
            }
            WorldEvent::PeerMessage { from, to, message } => {
                let Some(to) = self.find_node(&to) else {
                    return;
                };
                if self.are_connected(from, to) {
                    let from = self.nodes[from].incarnation.clone();
                    self.deliver(to, EscrowEvent::PeerMessageReceived { from, message });
                }
            }
            WorldEvent::BatchArrives { from, id, batch } => self.process_batch(from, id, &batch),
            WorldEvent::BatchAnswered { to, id, outcome } => {
                let shard = ShardId(0);
                self.deliver(to, EscrowEvent::BatchEnded { shard, id, outcome });
            }
            WorldEvent::RequestEnds {
                node,
                reservation,
                attempt,
            } => self.end_request(node, reservation, attempt),
            WorldEvent::DeclareDead(node) => {
                let holder = self.nodes[node].incarnation.clone();
                let sender = holder.clone();
                self.apply(&sender, &LedgerOperation::DeclareDead { holder });
            }
            WorldEvent::FenceRound(dead) => self.run_fence_round(dead),
            WorldEvent::RecallArrives { to, budget } => {
                if let Some(node) = self.find_node(&to)
                    && self.faults.connects(0, self.nodes[node].data_centre)
                {
                    self.deliver(node, EscrowEvent::RecallRequested { budget });
                }
            }
        }
    }

    /// Returns whether two routers can communicate.
    pub(crate) fn are_connected(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.nodes[from].data_centre, self.nodes[to].data_centre);
        self.faults.connects(from, to)
    }

    /// Executes the pending effects of a router's escrow.
    fn execute_effects(&mut self, node: usize) {
        let now = self.instant();
        for effect in self.nodes[node].escrow.take_effects(now) {
            self.execute_effect(node, effect);
        }
    }

    fn execute_effect(&mut self, node: usize, effect: EscrowEffect) {
        match effect {
            EscrowEffect::SendBatch { id, batch } => self.send_batch(node, id, batch),
            EscrowEffect::SendPeerMessage { to, message } => {
                self.send_peer_message(node, to, message)
            }
            EscrowEffect::Admitted { reservation } => self.admit(node, reservation),
            EscrowEffect::Refused {
                reservation, code, ..
            } => {
                if let Some((attempt, ..)) =
                    self.open_reservations.swap_remove(&(node, reservation))
                {
                    self.end_attempt(attempt, AttemptOutcome::Refused(code));
                }
            }
            EscrowEffect::BillSafe {
                reservation,
                request,
                amount,
            } => {
                if let Some((attempt, ..)) =
                    self.open_reservations.swap_remove(&(node, reservation))
                {
                    let budget = self.record.attempts[attempt].budget.clone();
                    self.safe_bills.entry(request).or_insert((budget, amount));
                    self.end_attempt(attempt, AttemptOutcome::Answered);
                }
            }
            EscrowEffect::BillUnsafe {
                reservation,
                withdrawn,
                ..
            } => {
                if let Some((attempt, ..)) =
                    self.open_reservations.swap_remove(&(node, reservation))
                {
                    let outcome = match withdrawn {
                        true => AttemptOutcome::Withdrawn,
                        false => AttemptOutcome::Unconfirmed,
                    };
                    self.end_attempt(attempt, outcome);
                }
            }
            EscrowEffect::FenceCompleted { dead } => {
                self.nodes[node].fenced.insert(dead);
            }
            EscrowEffect::Stopped | EscrowEffect::Closed => {}
            EscrowEffect::Count { counter, count } => self.record.add(counter, count),
        }
    }

    /// Sends a message between routers, which may be lost or duplicated.
    fn send_peer_message(&mut self, node: usize, to: IncarnationId, message: EscrowMessage) {
        self.record.messages += 1;
        let copies = match self.faults.is_lost(&mut self.rng) {
            true => 0,
            false if self.faults.is_duplicated(&mut self.rng) => 2,
            false => 1,
        };
        for _ in 0..copies {
            let delay = self.faults.draw_delay(&mut self.rng);
            self.schedule(
                delay,
                WorldEvent::PeerMessage {
                    from: node,
                    to: to.clone(),
                    message: message.clone(),
                },
            );
        }
    }

    /// Records an admission and schedules the end of the request.
    fn admit(&mut self, node: usize, reservation: ReservationId) {
        let Some(&(attempt, duration, _)) = self.open_reservations.get(&(node, reservation)) else {
            return;
        };
        self.record.attempts[attempt].admitted = Some(self.now);
        self.schedule(
            duration,
            WorldEvent::RequestEnds {
                node,
                reservation,
                attempt,
            },
        );
    }

    /// Settles the reservation of a finished request, or cancels it if the request fails.
    fn end_request(&mut self, node: usize, reservation: ReservationId, attempt: usize) {
        match self.nodes[node].state {
            NodeState::Dead => return,
            NodeState::Paused => {
                let event = WorldEvent::RequestEnds {
                    node,
                    reservation,
                    attempt,
                };
                return self.schedule(TICK, event);
            }
            NodeState::Up => {}
        }
        let fails = self
            .open_reservations
            .get(&(node, reservation))
            .is_some_and(|&(_, _, fails)| fails);
        let now = self.instant();
        if fails {
            self.open_reservations.swap_remove(&(node, reservation));
            self.nodes[node].escrow.cancel(reservation, now);
            self.end_attempt(attempt, AttemptOutcome::Cancelled);
        } else {
            let used = self.record.attempts[attempt].used;
            self.nodes[node].escrow.settle(reservation, used, now);
        }
        self.execute_effects(node);
    }

    /// Records the outcome of an attempt.
    fn end_attempt(&mut self, attempt: usize, outcome: AttemptOutcome) {
        if let AttemptOutcome::Refused(_) = outcome {
            let record = &self.record.attempts[attempt];
            let reachable = self.reachable(&record.budget, record.node);
            self.record.attempts[attempt].reachable_at_refusal = reachable;
        }
        let unused = match outcome {
            AttemptOutcome::Refused(_) => {
                let budget = self.record.attempts[attempt].budget.clone();
                let purchased = self.ledger.balance(&budget).map_or(0, |b| b.purchased);
                Some((self.unused(&budget), TokenCount(purchased)))
            }
            _ => None,
        };
        let record = &mut self.record.attempts[attempt];
        record.unused_at_refusal = unused;
        record.paused = self.nodes[record.node].paused_total - record.paused;
        record.outcome = outcome;
        record.ended = Some(self.now);
    }
}
