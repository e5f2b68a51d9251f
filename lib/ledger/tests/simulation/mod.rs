//! Simulates shard keepers on an unreliable store and checks every answer against the log.
//!
//! Store calls may be delayed, be lost, or take effect although they were reported as failed.

mod reference;

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use snipegate_ledger::BatchId;
use snipegate_ledger::KeeperEffect;
use snipegate_ledger::KeeperEvent;
use snipegate_ledger::KeeperSettings;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::ShardKeeper;
use snipegate_ledger::StoreCallId;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreAnswer;
use snipegate_platform::StoreCall;
use snipegate_platform::StoreCore;
use snipegate_platform::StoreError;
use snipegate_platform::SwapOutcome;
use snipegate_types::IncarnationId;
use snipegate_types::ShardId;

pub use self::reference::ReferenceLog;

const SHARD: ShardId = ShardId(0);
const NODES: usize = 3;
const ROUTERS: u8 = 4;

/// Interval after which callers use new IDs; retries are expected within the next interval.
const ID_ROTATION_INTERVAL: Duration = Duration::from_millis(1_000);

/// A router that sends the same batch until it is answered.
struct OrderedSender {
    next: u64,
    current: Option<LedgerBatch>,
}

impl OrderedSender {
    /// Creates a sender whose first batch is a heartbeat, since a router must be
    /// known to the ledger before it bills.
    fn new(number: u8) -> Self {
        let heartbeat = LedgerBatch {
            shard: SHARD,
            sender: router(number),
            first: Some(0),
            operations: Vec::new(),
        };
        Self {
            next: 0,
            current: Some(heartbeat),
        }
    }
}

/// Faults that the checks of the simulation must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    Nothing,
    /// The store applies every write regardless of the expected version.
    BlindSwaps,
    /// A failed write is reported as successful and is not applied later.
    LostWritesAsDone,
    /// Batches are answered on arrival, from a copy of the state.
    AnswersBeforeCommit,
    /// Segments that fence earlier keepers are removed.
    FencesRemoved,
}

/// One keeper process.
struct Node {
    incarnation: IncarnationId,
    keeper: ShardKeeper,
    is_paused: bool,
    inbox: Vec<KeeperEvent>,
}

/// A store call that its node has not received an answer to.
struct CallInFlight {
    /// The node that waits for the answer, or `None` if the call was reported as
    /// failed.
    waiting: Option<IncarnationId>,
    call: StoreCallId,
    request: StoreCall,
    answer: Option<StoreAnswer>,
    /// Whether the call is delayed until it is released.
    is_delayed: bool,
}

/// Keepers, senders and a store, with the faults between them.
pub struct Simulation {
    store: StoreCore,
    pub reference: ReferenceLog,
    nodes: Vec<Node>,
    calls: Vec<CallInFlight>,
    /// Pending answers to the keepers' requests to routers.
    router_answers: Vec<KeeperEvent>,
    senders: Vec<OrderedSender>,
    settings: KeeperSettings,
    next_start: u64,
    fault: InjectedFault,
    start: Instant,
    now: Instant,
    is_store_down: bool,
    pub answered: usize,
}

pub fn router(number: u8) -> IncarnationId {
    format!("vm{number}/router/1").parse().unwrap()
}

impl Simulation {
    pub fn new(settings: KeeperSettings, fault: InjectedFault) -> Self {
        let now = Instant::now();
        let mut simulation = Self {
            store: StoreCore::new(),
            reference: ReferenceLog::default(),
            nodes: Vec::new(),
            calls: Vec::new(),
            router_answers: Vec::new(),
            senders: (0..ROUTERS).map(OrderedSender::new).collect(),
            settings,
            next_start: 0,
            fault,
            start: now,
            now,
            is_store_down: false,
            answered: 0,
        };
        for index in 0..NODES {
            let node = simulation.new_node(index);
            simulation.nodes.push(node);
        }
        simulation
    }

    /// Tells every node that the first one is the chosen keeper.
    pub fn choose_first_node(&mut self) {
        let chosen = self.nodes[0].incarnation.clone();
        for index in 0..NODES {
            let keeper = Some(chosen.clone());
            self.handle(index, KeeperEvent::KeeperChosen { keeper });
        }
    }

    fn new_node(&mut self, index: usize) -> Node {
        self.next_start += 1;
        let incarnation: IncarnationId = format!("k{index}/keeper/{:x}", self.next_start)
            .parse()
            .unwrap();
        Node {
            keeper: ShardKeeper::new(SHARD, incarnation.clone(), self.settings.clone(), self.now),
            incarnation,
            is_paused: false,
            inbox: Vec::new(),
        }
    }

    /// Executes one random step.
    pub fn step(
        &mut self,
        u: &mut Unstructured<'_>,
        generate: &dyn Fn(&mut Unstructured<'_>, u64, u8) -> Result<LedgerOperation>,
    ) -> Result<()> {
        match u.int_in_range(0..=255u8)? {
            0..=49 => self.submit_batch(u, generate)?,
            50..=134 => self.apply_random_call(u)?,
            135..=209 => self.answer_random_call(u)?,
            210..=213 => self.fail_random_call(u)?,
            214..=235 => self.advance_clock(Duration::from_millis(u.int_in_range(1..=400)?)),
            236..=240 => {
                let index = u.choose_index(NODES)?;
                let keeper = self.nodes[u.choose_index(NODES)?].incarnation.clone();
                self.handle(
                    index,
                    KeeperEvent::KeeperChosen {
                        keeper: Some(keeper),
                    },
                );
            }
            241 => {
                let index = u.choose_index(NODES)?;
                self.nodes[index] = self.new_node(index);
            }
            242..=244 => {
                let index = u.choose_index(NODES)?;
                match self.nodes[index].is_paused {
                    true => self.resume(index),
                    false => self.nodes[index].is_paused = true,
                }
            }
            245 => self.is_store_down = !self.is_store_down && u.ratio(1, 3)?,
            246..=248 => self.deliver_router_answer(u)?,
            249 => {
                if let Some(call) = self.calls.last_mut() {
                    call.is_delayed = true;
                }
            }
            250 => self
                .calls
                .iter_mut()
                .for_each(|call| call.is_delayed = false),
            251..=254 => self.advance_clock(Duration::from_millis(900)),
            _ => {
                let incarnation = router(u.int_in_range(0..=ROUTERS - 1)?);
                let index = u.choose_index(NODES)?;
                if !u.ratio(1, 6)? {
                    return Ok(());
                }
                self.handle(index, KeeperEvent::ProvenDead { incarnation });
            }
        }
        Ok(())
    }

    fn submit_batch(
        &mut self,
        u: &mut Unstructured<'_>,
        generate: &dyn Fn(&mut Unstructured<'_>, u64, u8) -> Result<LedgerOperation>,
    ) -> Result<()> {
        let number = u.int_in_range(0..=ROUTERS - 1)?;
        let waiting = self.senders[usize::from(number)].current.clone();
        let batch = match waiting {
            Some(batch) => batch,
            None => self.generate_batch(number, u, generate)?,
        };
        let index = u.choose_index(NODES)?;
        self.send_batch(index, batch);
        Ok(())
    }

    fn generate_batch(
        &mut self,
        number: u8,
        u: &mut Unstructured<'_>,
        generate: &dyn Fn(&mut Unstructured<'_>, u64, u8) -> Result<LedgerOperation>,
    ) -> Result<LedgerBatch> {
        let elapsed = self.now.duration_since(self.start);
        let period = elapsed.as_millis() / ID_ROTATION_INTERVAL.as_millis();
        let mut operations = Vec::new();
        for _ in 0..u.int_in_range(0..=3)? {
            operations.push(generate(u, period as u64, number)?);
        }
        let sender = &mut self.senders[usize::from(number)];
        let batch = LedgerBatch {
            shard: SHARD,
            sender: router(number),
            first: Some(sender.next),
            operations,
        };
        sender.current = Some(batch.clone());
        Ok(batch)
    }

    /// Lets the sender of an answered batch proceed to the next one.
    fn end_batch(&mut self, id: BatchId) {
        let batch = self.reference.batch(id.0).clone();
        let sent = |sender: &&mut OrderedSender| sender.current.as_ref() == Some(&batch);
        if let Some(sender) = self.senders.iter_mut().find(sent) {
            sender.next += batch.operations.len() as u64;
            sender.current = None;
        }
    }

    fn send_batch(&mut self, index: usize, batch: LedgerBatch) {
        let id = BatchId(self.reference.add_batch(batch.clone()));
        if self.fault == InjectedFault::AnswersBeforeCommit && self.nodes[index].keeper.is_serving()
        {
            let mut ledger = self.nodes[index].keeper.ledger().clone();
            let mut records = Vec::new();
            let results = batch
                .operations
                .iter()
                .map(|operation| ledger.apply(&batch.sender, operation, &mut records))
                .collect();
            self.reference
                .check_answer(id.0, &LedgerAnswer::Results(results));
        }
        self.handle(index, KeeperEvent::Batch { id, batch });
    }

    /// Applies a random call that is in flight.
    fn apply_random_call(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let open: Vec<usize> = (0..self.calls.len())
            .filter(|index| self.calls[*index].answer.is_none())
            .filter(|index| !self.calls[*index].is_delayed)
            .collect();
        if self.is_store_down || open.is_empty() {
            return Ok(());
        }
        let index = open[u.choose_index(open.len())?];
        self.apply_call(index);
        // Nobody waits for an applied call that was reported as failed.
        self.calls
            .retain(|call| call.waiting.is_some() || call.answer.is_none());
        Ok(())
    }

    fn apply_call(&mut self, index: usize) {
        let mut request = self.calls[index].request.clone();
        if let StoreCall::Remove { key, .. } = &request
            && self.fault != InjectedFault::FencesRemoved
        {
            self.reference.check_removal(key);
        }
        if let StoreCall::Swap { key, expected, .. } = &mut request
            && self.fault == InjectedFault::BlindSwaps
        {
            let read = StoreCall::Read { key: key.clone() };
            if let StoreAnswer::Value(Some(stored)) = self.store.apply(&read, self.now) {
                *expected = ExpectedVersion::At(stored.revision);
            }
        }
        let answer = self.store.apply(&request, self.now);
        if let (StoreCall::Swap { key, value, .. }, StoreAnswer::Outcome(outcome)) =
            (&request, &answer)
            && matches!(outcome, SwapOutcome::Swapped(_))
        {
            self.reference.record_write(key, value);
            if self.fault == InjectedFault::FencesRemoved {
                self.remove_old_fences();
            }
        }
        self.calls[index].answer = Some(answer);
    }

    /// Removes the fences among the obsolete segments.
    fn remove_old_fences(&mut self) {
        for key in self.reference.covered_fences() {
            let read = StoreCall::Read { key: key.clone() };
            if let StoreAnswer::Value(Some(stored)) = self.store.apply(&read, self.now) {
                let expected = ExpectedVersion::At(stored.revision);
                let remove = StoreCall::Remove { key, expected };
                self.store.apply(&remove, self.now);
            }
        }
    }

    /// Delivers the answer to a random call.
    fn answer_random_call(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let done: Vec<usize> = (0..self.calls.len())
            .filter(|index| self.calls[*index].answer.is_some())
            .collect();
        if done.is_empty() {
            return Ok(());
        }
        let call = self.calls.remove(done[u.choose_index(done.len())?]);
        self.deliver_answer(call);
        Ok(())
    }

    fn deliver_answer(&mut self, call: CallInFlight) {
        let (Some(waiting), Some(answer)) = (call.waiting, call.answer) else {
            return;
        };
        let id = call.call;
        let event = match answer {
            StoreAnswer::Value(found) => KeeperEvent::ReadCompleted {
                call: id,
                result: Ok(found),
            },
            StoreAnswer::Listing(listing) => KeeperEvent::ListCompleted {
                call: id,
                result: Ok(listing),
            },
            StoreAnswer::Outcome(outcome) => KeeperEvent::SwapCompleted {
                call: id,
                result: Ok(outcome),
            },
            other => panic!("a keeper does not ask for {other:?}"),
        };
        self.handle_by_id(&waiting, event);
    }

    /// Reports a random call as failed.
    ///
    /// A call that is reported as lost may have been applied before or may be
    /// applied at any later time.
    fn fail_random_call(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let pending: Vec<usize> = (0..self.calls.len())
            .filter(|index| self.calls[*index].waiting.is_some())
            .collect();
        if pending.is_empty() {
            return Ok(());
        }
        let index = pending[u.choose_index(pending.len())?];
        let is_open = self.calls[index].answer.is_none();
        let error = match u.int_in_range(0..=3)? {
            0 if is_open => StoreError::Unreachable,
            1 if is_open => StoreError::RateLimited {
                retry_after: Duration::from_millis(100),
            },
            2 => StoreError::InvalidReply,
            _ => StoreError::ReplyLost,
        };
        self.fail_call(index, error);
        Ok(())
    }

    fn fail_call(&mut self, index: usize, error: StoreError) {
        let call = &mut self.calls[index];
        let Some(waiting) = call.waiting.take() else {
            return;
        };
        let id = call.call;
        let is_read = matches!(call.request, StoreCall::Read { .. });
        let is_list = matches!(call.request, StoreCall::List { .. });
        if !error.may_have_applied() || call.answer.is_some() {
            self.calls.remove(index);
        }
        let event = match (is_read, is_list) {
            (true, _) => KeeperEvent::ReadCompleted {
                call: id,
                result: Err(error),
            },
            (_, true) => KeeperEvent::ListCompleted {
                call: id,
                result: Err(error),
            },
            _ if self.fault == InjectedFault::LostWritesAsDone => {
                self.calls.retain(|call| call.waiting.is_some());
                let revision = self.store.revision();
                KeeperEvent::SwapCompleted {
                    call: id,
                    result: Ok(SwapOutcome::Swapped(revision)),
                }
            }
            _ => KeeperEvent::SwapCompleted {
                call: id,
                result: Err(error),
            },
        };
        self.handle_by_id(&waiting, event);
    }

    fn advance_clock(&mut self, span: Duration) {
        self.now += span;
        for index in 0..NODES {
            if !self.nodes[index].is_paused {
                self.handle(index, KeeperEvent::Tick);
            }
        }
    }

    fn resume(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.is_paused = false;
        for event in std::mem::take(&mut node.inbox) {
            self.handle(index, event);
        }
    }

    /// Delivers a random pending answer of a router to a random node.
    fn deliver_router_answer(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.router_answers.is_empty() {
            let event = self
                .router_answers
                .swap_remove(u.choose_index(self.router_answers.len())?);
            let index = u.choose_index(NODES)?;
            self.handle(index, event);
        }
        Ok(())
    }

    fn handle_by_id(&mut self, incarnation: &IncarnationId, event: KeeperEvent) {
        if let Some(index) = self
            .nodes
            .iter()
            .position(|node| node.incarnation == *incarnation)
        {
            self.handle(index, event);
        }
    }

    fn handle(&mut self, index: usize, event: KeeperEvent) {
        let node = &mut self.nodes[index];
        if node.is_paused {
            node.inbox.push(event);
            return;
        }
        let incarnation = node.incarnation.clone();
        let effects = node.keeper.handle(event, self.now);
        assert!(node.keeper.ledger().is_conserved());
        for effect in effects {
            self.execute(&incarnation, effect);
        }
    }

    fn execute(&mut self, incarnation: &IncarnationId, effect: KeeperEffect) {
        let (call, request) = match effect {
            KeeperEffect::Swap {
                call,
                key,
                expected,
                value,
            } => {
                let lease = None;
                let request = StoreCall::Swap {
                    key,
                    expected,
                    value,
                    lease,
                };
                (call, request)
            }
            KeeperEffect::Remove {
                call,
                key,
                expected,
            } => (call, StoreCall::Remove { key, expected }),
            KeeperEffect::Read { call, key } => (call, StoreCall::Read { key }),
            KeeperEffect::List {
                call,
                prefix,
                after,
            } => (call, StoreCall::List { prefix, after }),
            KeeperEffect::Reply { batch, answer } => {
                if matches!(answer, LedgerAnswer::Results(_)) {
                    self.answered += 1;
                    self.end_batch(batch);
                }
                return self.reference.check_answer(batch.0, &answer);
            }
            KeeperEffect::ListRouters { dead } => {
                let routers = (0..ROUTERS).map(router).collect();
                return self
                    .router_answers
                    .push(KeeperEvent::RoutersListed { dead, routers });
            }
            KeeperEffect::RequestFence { router, dead } => {
                return self
                    .router_answers
                    .push(KeeperEvent::FenceConfirmed { router, dead });
            }
            KeeperEffect::RequestReturn { .. } | KeeperEffect::Notice(_) => return,
        };
        self.calls.push(CallInFlight {
            waiting: Some(incarnation.clone()),
            call,
            request,
            answer: None,
            is_delayed: false,
        });
    }

    /// Ends all faults and checks that a keeper takes over, has the state of the log
    /// and decides operations.
    pub fn end_faults_and_check(&mut self, last: LedgerOperation) {
        self.is_store_down = false;
        for index in 0..NODES {
            self.resume(index);
        }
        self.choose_first_node();
        let batch = LedgerBatch {
            shard: SHARD,
            sender: router(0),
            first: None,
            operations: vec![last],
        };
        for _ in 0..200 {
            self.execute_calls();
            self.advance_clock(Duration::from_millis(100));
            if self.nodes[0].keeper.is_serving() {
                let before = self.answered;
                self.send_batch(0, batch.clone());
                self.execute_calls();
                if self.answered > before {
                    break;
                }
            }
        }
        self.execute_calls();
        let keeper = &self.nodes[0].keeper;
        assert!(
            keeper.is_serving(),
            "no keeper serves after all faults ended"
        );
        assert_eq!(keeper.ledger(), self.reference.ledger());
        self.check_takeover();
    }

    /// Lets another node take over the shard and compares its state with the log.
    fn check_takeover(&mut self) {
        self.nodes[1] = self.new_node(1);
        let keeper = self.nodes[1].incarnation.clone();
        self.handle(
            1,
            KeeperEvent::KeeperChosen {
                keeper: Some(keeper),
            },
        );
        for _ in 0..50 {
            self.execute_calls();
            if self.nodes[1].keeper.is_serving() {
                break;
            }
            self.now += Duration::from_millis(100);
            self.handle(1, KeeperEvent::Tick);
        }
        let keeper = &self.nodes[1].keeper;
        assert!(keeper.is_serving(), "no takeover after all faults ended");
        assert_eq!(keeper.ledger(), self.reference.ledger());
    }

    fn execute_calls(&mut self) {
        while !self.calls.is_empty() {
            self.apply_call(0);
            let call = self.calls.remove(0);
            self.deliver_answer(call);
        }
    }
}
