//! The world itself.

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
use crate::record::RequestFate;
use crate::record::RequestRecord;
use crate::record::WorldRecord;

/// Time between ticks of a router.
const TICK: Duration = Duration::from_millis(50);

/// A request for [`EscrowWorld::request`].
#[derive(Clone, Debug)]
pub struct WorldRequest {
    /// The request.
    pub request: RequestId,
    /// The budget.
    pub budget: BudgetId,
    /// What it reserves.
    pub worst_case: TokenCount,
    /// What it uses.
    pub used: TokenCount,
    /// How long it runs.
    pub runs: Duration,
    /// Whether it ends without an answer.
    pub fails: bool,
}

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
    Recall {
        to: IncarnationId,
        budget: BudgetId,
    },
}

/// Routers, one shard's ledger and the network between them.
///
/// The ledger's keeper is in data centre 0.
#[derive(Debug)]
pub struct EscrowWorld {
    /// Faults in force.
    pub faults: NetworkFaults,
    /// What has happened.
    pub record: WorldRecord,
    /// The ledger.
    pub ledger: ShardLedger,
    pub(crate) start: Instant,
    pub(crate) now: Duration,
    pub(crate) rng: Rng,
    pub(crate) events: BTreeMap<(Duration, u64), WorldEvent>,
    pub(crate) next_event: u64,
    pub(crate) nodes: Vec<RouterNode>,
    pub(crate) settings: EscrowSettings,
    pub(crate) places: usize,
    pub(crate) open: IndexMap<(usize, ReservationId), (usize, Duration, bool)>,
    pub(crate) safe: IndexMap<RequestId, (BudgetId, TokenCount)>,
    pub(crate) recalled: IndexMap<BudgetId, Duration>,
    pub(crate) next_top_up: u128,
}

impl EscrowWorld {
    /// Makes a world of `routers` routers spread over `places` data centres.
    pub fn new(seed: u64, routers: usize, places: usize, settings: EscrowSettings) -> Self {
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
            places,
            open: IndexMap::new(),
            safe: IndexMap::new(),
            recalled: IndexMap::new(),
            next_top_up: 0,
        };
        for vm in 0..routers {
            world.add_node(vm, 1);
        }
        world
    }

    /// Returns the time since the world began.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the source of chance, for choices of the caller.
    pub fn rng(&mut self) -> &mut Rng {
        &mut self.rng
    }

    /// Returns the numbers of the routers that run and serve.
    pub fn serving(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&node| self.nodes[node].is_serving())
            .collect()
    }

    /// Returns the data centre of a router.
    pub fn place(&self, node: usize) -> usize {
        self.nodes[node].place
    }

    /// Returns what a router's process does.
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

    /// Sends a request to a router; it must be serving.
    pub fn request(&mut self, node: usize, request: WorldRequest) {
        let attempt = self.record.attempts.len();
        self.record.attempts.push(RequestRecord {
            node,
            request: request.request,
            budget: request.budget.clone(),
            worst_case: request.worst_case,
            used: request.used,
            arrived: self.now,
            admitted: None,
            ended: None,
            fate: RequestFate::Open,
            paused: self.nodes[node].paused_before,
            left_at_refusal: None,
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
                let entry = (attempt, request.runs, request.fails);
                self.open.insert((node, reservation), entry);
                self.admit(node, reservation);
            }
            ReserveOutcome::Waiting(reservation) => {
                let entry = (attempt, request.runs, request.fails);
                self.open.insert((node, reservation), entry);
            }
            ReserveOutcome::Refused(refusal) => {
                self.end_attempt(attempt, RequestFate::Refused(refusal.code));
            }
        }
        self.carry_out(node);
    }

    /// Ends a router's process at once; a new one starts on its VM, and the
    /// old one is declared dead after `proof`.
    pub fn kill(&mut self, node: usize, proof: Duration) {
        let vm = node % self.vms();
        self.nodes[node].state = NodeState::Dead;
        self.set(proof, WorldEvent::DeclareDead(node));
        let start = self.nodes.len() as u64 + 1;
        self.add_node(vm, start);
    }

    /// Stops a router by a signal that it does not notice.
    pub fn pause(&mut self, node: usize) {
        if self.nodes[node].state == NodeState::Up {
            self.nodes[node].state = NodeState::Paused;
            self.nodes[node].paused_at = Some(self.now);
        }
    }

    /// Lets every paused router go on.
    pub fn resume_all(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].state == NodeState::Paused {
                self.nodes[node].state = NodeState::Up;
                if let Some(time) = self.nodes[node].paused_at.take() {
                    self.nodes[node].paused_before += self.now - time;
                }
                let backlog = std::mem::take(&mut self.nodes[node].backlog);
                for event in backlog {
                    self.deliver(node, event);
                }
                // The timer of a process that wakes is overdue.
                self.deliver(node, EscrowEvent::Tick);
            }
        }
    }

    /// Begins the graceful stop of a router.
    pub fn stop(&mut self, node: usize) {
        self.deliver(node, EscrowEvent::Stop);
    }

    /// Starts another router on a stopped router's VM.
    pub fn restart(&mut self, node: usize) {
        let vm = node % self.vms();
        let start = self.nodes.len() as u64 + 1;
        self.add_node(vm, start);
    }

    /// Returns whether a router was stopped and has given everything back.
    pub fn is_stopped(&self, node: usize) -> bool {
        self.nodes[node].escrow.state() == EscrowState::Stopped
    }

    /// Stops every router that serves and returns whether all ended.
    pub fn stop_all(&mut self, limit: Duration) -> bool {
        for node in self.serving() {
            self.stop(node);
        }
        let end = self.now + limit;
        while self.now < end && !self.nodes.iter().all(RouterNode::is_over) {
            self.run_for(TICK);
        }
        let over = self.nodes.iter().all(RouterNode::is_over);
        self.run_for(Duration::from_secs(5));
        over
    }

    /// Lets time pass.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), event) = entry.remove_entry();
            self.now = self.now.max(time);
            self.happen(event);
        }
        self.now = end;
    }

    fn vms(&self) -> usize {
        self.nodes
            .iter()
            .filter(|node| node.incarnation.start == 1)
            .count()
    }

    fn add_node(&mut self, vm: usize, start: u64) {
        let (now, settings) = (self.instant(), self.settings.clone());
        let node = RouterNode::new(vm, start, vm % self.places, settings, now);
        self.nodes.push(node);
        let number = self.nodes.len() - 1;
        let offset = Duration::from_micros(self.rng.u64(0..TICK.as_micros() as u64));
        self.set(offset, WorldEvent::Tick(number));
        self.spread_peers();
    }

    /// Tells every router who runs.
    fn spread_peers(&mut self) {
        let entries: Vec<_> = self
            .nodes
            .iter()
            .filter(|node| !node.is_over())
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

    pub(crate) fn instant(&self) -> Instant {
        self.start + self.now
    }

    pub(crate) fn set(&mut self, delay: Duration, event: WorldEvent) {
        let key = (self.now + delay, self.next_event);
        self.next_event += 1;
        self.events.insert(key, event);
    }

    pub(crate) fn deliver(&mut self, node: usize, event: EscrowEvent) {
        let now = self.instant();
        match self.nodes[node].state {
            NodeState::Up => {
                self.nodes[node].escrow.handle(event, now);
                self.carry_out(node);
            }
            NodeState::Paused if event == EscrowEvent::Tick => {}
            NodeState::Paused => self.nodes[node].backlog.push(event),
            NodeState::Dead => {}
        }
    }

    pub(crate) fn find(&self, incarnation: &IncarnationId) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.incarnation == *incarnation)
    }

    fn happen(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick(node) => {
                if !self.nodes[node].is_over() {
                    self.deliver(node, EscrowEvent::Tick);
                    self.set(TICK, WorldEvent::Tick(node));
                }
            }
            WorldEvent::PeerMessage { from, to, message } => {
                let Some(to) = self.find(&to) else {
                    return;
                };
                if self.reaches(from, to) {
                    let from = self.nodes[from].incarnation.clone();
                    self.deliver(to, EscrowEvent::PeerSaid { from, message });
                }
            }
            WorldEvent::BatchArrives { from, id, batch } => self.decide(from, id, &batch),
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
            WorldEvent::FenceRound(dead) => self.run_fence(dead),
            WorldEvent::Recall { to, budget } => {
                if let Some(node) = self.find(&to)
                    && self.faults.connects(0, self.nodes[node].place)
                {
                    self.deliver(node, EscrowEvent::RecallAsked { budget });
                }
            }
        }
    }

    pub(crate) fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.nodes[from].place, self.nodes[to].place);
        self.faults.connects(from, to)
    }

    fn carry_out(&mut self, node: usize) {
        let now = self.instant();
        for effect in self.nodes[node].escrow.take_effects(now) {
            self.do_effect(node, effect);
        }
    }

    fn do_effect(&mut self, node: usize, effect: EscrowEffect) {
        match effect {
            EscrowEffect::SendBatch { id, batch } => self.send_batch(node, id, batch),
            EscrowEffect::SendPeer { to, message } => self.send_peer(node, to, message),
            EscrowEffect::Admitted { reservation } => self.admit(node, reservation),
            EscrowEffect::Refused {
                reservation, code, ..
            } => {
                if let Some((attempt, ..)) = self.open.swap_remove(&(node, reservation)) {
                    self.end_attempt(attempt, RequestFate::Refused(code));
                }
            }
            EscrowEffect::BillSafe {
                reservation,
                request,
                amount,
            } => {
                if let Some((attempt, ..)) = self.open.swap_remove(&(node, reservation)) {
                    let budget = self.record.attempts[attempt].budget.clone();
                    self.safe.entry(request).or_insert((budget, amount));
                    self.end_attempt(attempt, RequestFate::Answered);
                }
            }
            EscrowEffect::BillUnsafe {
                reservation,
                withdrawn,
                ..
            } => {
                if let Some((attempt, ..)) = self.open.swap_remove(&(node, reservation)) {
                    let fate = match withdrawn {
                        true => RequestFate::Withdrawn,
                        false => RequestFate::Unconfirmed,
                    };
                    self.end_attempt(attempt, fate);
                }
            }
            EscrowEffect::FenceDone { dead } => {
                self.nodes[node].fenced.insert(dead);
            }
            EscrowEffect::Stopped | EscrowEffect::Closed => {}
            EscrowEffect::Count { counter, count } => self.record.add(counter, count),
        }
    }

    fn send_peer(&mut self, node: usize, to: IncarnationId, message: EscrowMessage) {
        self.record.messages += 1;
        let copies = match self.faults.is_lost(&mut self.rng) {
            true => 0,
            false if self.faults.is_doubled(&mut self.rng) => 2,
            false => 1,
        };
        for _ in 0..copies {
            let delay = self.faults.draw_delay(&mut self.rng);
            self.set(
                delay,
                WorldEvent::PeerMessage {
                    from: node,
                    to: to.clone(),
                    message: message.clone(),
                },
            );
        }
    }

    fn admit(&mut self, node: usize, reservation: ReservationId) {
        let Some(&(attempt, runs, _)) = self.open.get(&(node, reservation)) else {
            return;
        };
        self.record.attempts[attempt].admitted = Some(self.now);
        self.set(
            runs,
            WorldEvent::RequestEnds {
                node,
                reservation,
                attempt,
            },
        );
    }

    fn end_request(&mut self, node: usize, reservation: ReservationId, attempt: usize) {
        match self.nodes[node].state {
            NodeState::Dead => return,
            NodeState::Paused => {
                let event = WorldEvent::RequestEnds {
                    node,
                    reservation,
                    attempt,
                };
                return self.set(TICK, event);
            }
            NodeState::Up => {}
        }
        let fails = self
            .open
            .get(&(node, reservation))
            .is_some_and(|&(_, _, fails)| fails);
        let now = self.instant();
        if fails {
            self.open.swap_remove(&(node, reservation));
            self.nodes[node].escrow.cancel(reservation, now);
            self.end_attempt(attempt, RequestFate::Cancelled);
        } else {
            let used = self.record.attempts[attempt].used;
            self.nodes[node].escrow.settle(reservation, used, now);
        }
        self.carry_out(node);
    }

    fn end_attempt(&mut self, attempt: usize, fate: RequestFate) {
        if let RequestFate::Refused(_) = fate {
            let record = &self.record.attempts[attempt];
            let reachable = self.reachable(&record.budget, record.node);
            self.record.attempts[attempt].reachable_at_refusal = reachable;
        }
        let left = match fate {
            RequestFate::Refused(_) => {
                let budget = self.record.attempts[attempt].budget.clone();
                let purchased = self.ledger.balance(&budget).map_or(0, |b| b.purchased);
                Some((self.unused(&budget), TokenCount(purchased)))
            }
            _ => None,
        };
        let record = &mut self.record.attempts[attempt];
        record.left_at_refusal = left;
        record.paused = self.nodes[record.node].paused_before - record.paused;
        record.fate = fate;
        record.ended = Some(self.now);
    }
}
