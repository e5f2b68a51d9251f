//! Shard keepers over a store whose calls take effect late, twice heard or
//! never, with a check of every answer against the log as it was written.

mod reference;

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use snipegate_ledger::BatchId;
use snipegate_ledger::CallId;
use snipegate_ledger::KeeperEffect;
use snipegate_ledger::KeeperEvent;
use snipegate_ledger::KeeperSettings;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::ShardKeeper;
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

/// Time after which callers use new ids; they retry within the next such time.
const ID_PERIOD: Duration = Duration::from_millis(1_000);

/// A router, which sends one batch at a time until it is answered.
struct OrderedSender {
    next: u64,
    current: Option<LedgerBatch>,
}

impl OrderedSender {
    /// Begins with a heartbeat, as no router bills before it was heard of.
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

/// Faults of the world that the proofs have to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// None.
    Nothing,
    /// The store takes every write, whatever is expected of the key.
    BlindSwaps,
    /// A write whose fate is unknown is told as done, and never is.
    LostWritesAsDone,
    /// Answers go out when a batch is handed over, from a copy of the state.
    AnswersBeforeCommit,
    /// Removed keys include the segments that fence earlier keepers.
    FencesRemoved,
}

/// One keeper process.
struct Node {
    own: IncarnationId,
    keeper: ShardKeeper,
    is_paused: bool,
    inbox: Vec<KeeperEvent>,
}

/// A call between a node's request and its answer.
struct OpenCall {
    /// Who waits for it; nobody if the node has given up or is gone.
    waiting: Option<IncarnationId>,
    call: CallId,
    request: StoreCall,
    answer: Option<StoreAnswer>,
    /// Whether it takes effect only after a long time.
    is_held: bool,
}

/// Something that came back to a node.
pub struct World {
    store: StoreCore,
    pub reference: ReferenceLog,
    nodes: Vec<Node>,
    calls: Vec<OpenCall>,
    asked: Vec<KeeperEvent>,
    senders: Vec<OrderedSender>,
    settings: KeeperSettings,
    next_start: u64,
    fault: PlantedFault,
    start: Instant,
    now: Instant,
    outage: bool,
    pub answered: usize,
}

pub fn router(number: u8) -> IncarnationId {
    format!("vm{number}/router/1").parse().unwrap()
}

impl World {
    pub fn new(settings: KeeperSettings, fault: PlantedFault) -> Self {
        let now = Instant::now();
        let mut world = Self {
            store: StoreCore::new(),
            reference: ReferenceLog::default(),
            nodes: Vec::new(),
            calls: Vec::new(),
            asked: Vec::new(),
            senders: (0..ROUTERS).map(OrderedSender::new).collect(),
            settings,
            next_start: 0,
            fault,
            start: now,
            now,
            outage: false,
            answered: 0,
        };
        for index in 0..NODES {
            let node = world.new_node(index);
            world.nodes.push(node);
        }
        world
    }

    /// Has every node hold the first for the keeper.
    pub fn choose_first(&mut self) {
        let chosen = self.nodes[0].own.clone();
        for index in 0..NODES {
            let keeper = Some(chosen.clone());
            self.tell(index, KeeperEvent::Chosen { keeper });
        }
    }

    fn new_node(&mut self, index: usize) -> Node {
        self.next_start += 1;
        let own: IncarnationId = format!("k{index}/keeper/{:x}", self.next_start)
            .parse()
            .unwrap();
        Node {
            keeper: ShardKeeper::new(SHARD, own.clone(), self.settings.clone(), self.now),
            own,
            is_paused: false,
            inbox: Vec::new(),
        }
    }

    /// Makes one random step.
    pub fn step(
        &mut self,
        u: &mut Unstructured<'_>,
        make: &dyn Fn(&mut Unstructured<'_>, u64, u8) -> Result<LedgerOperation>,
    ) -> Result<()> {
        match u.int_in_range(0..=255u8)? {
            0..=49 => self.submit(u, make)?,
            50..=134 => self.apply_any(u)?,
            135..=209 => self.answer_any(u)?,
            210..=213 => self.fail_any(u)?,
            214..=235 => self.pass_time(Duration::from_millis(u.int_in_range(1..=400)?)),
            236..=240 => {
                let index = u.choose_index(NODES)?;
                let keeper = self.nodes[u.choose_index(NODES)?].own.clone();
                self.tell(
                    index,
                    KeeperEvent::Chosen {
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
            245 => self.outage = !self.outage && u.ratio(1, 3)?,
            246..=248 => self.answer_asked(u)?,
            249 => {
                if let Some(call) = self.calls.last_mut() {
                    call.is_held = true;
                }
            }
            250 => self.calls.iter_mut().for_each(|call| call.is_held = false),
            251..=254 => self.pass_time(Duration::from_millis(900)),
            _ => {
                let incarnation = router(u.int_in_range(0..=ROUTERS - 1)?);
                let index = u.choose_index(NODES)?;
                if !u.ratio(1, 6)? {
                    return Ok(());
                }
                self.tell(index, KeeperEvent::ProvenDead { incarnation });
            }
        }
        Ok(())
    }

    fn submit(
        &mut self,
        u: &mut Unstructured<'_>,
        make: &dyn Fn(&mut Unstructured<'_>, u64, u8) -> Result<LedgerOperation>,
    ) -> Result<()> {
        let number = u.int_in_range(0..=ROUTERS - 1)?;
        let waiting = self.senders[usize::from(number)].current.clone();
        let batch = match waiting {
            Some(batch) => batch,
            None => self.make_batch(number, u, make)?,
        };
        let index = u.choose_index(NODES)?;
        self.send_batch(index, batch);
        Ok(())
    }

    fn make_batch(
        &mut self,
        number: u8,
        u: &mut Unstructured<'_>,
        make: &dyn Fn(&mut Unstructured<'_>, u64, u8) -> Result<LedgerOperation>,
    ) -> Result<LedgerBatch> {
        let elapsed = self.now.duration_since(self.start);
        let period = elapsed.as_millis() / ID_PERIOD.as_millis();
        let mut operations = Vec::new();
        for _ in 0..u.int_in_range(0..=3)? {
            operations.push(make(u, period as u64, number)?);
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

    /// Lets the sender of an answered batch go on to the next one.
    fn end_batch(&mut self, id: BatchId) {
        let batch = self.reference.batch(id.0).clone();
        let sent = |sender: &&mut OrderedSender| sender.current.as_ref() == Some(&batch);
        if let Some(sender) = self.senders.iter_mut().find(sent) {
            sender.next += batch.operations.len() as u64;
            sender.current = None;
        }
    }

    fn send_batch(&mut self, index: usize, batch: LedgerBatch) {
        let id = BatchId(self.reference.open_batch(batch.clone()));
        if self.fault == PlantedFault::AnswersBeforeCommit && self.nodes[index].keeper.is_serving()
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
        self.tell(index, KeeperEvent::Batch { id, batch });
    }

    /// Lets some call that is on its way take effect.
    fn apply_any(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let open: Vec<usize> = (0..self.calls.len())
            .filter(|index| self.calls[*index].answer.is_none())
            .filter(|index| !self.calls[*index].is_held)
            .collect();
        if self.outage || open.is_empty() {
            return Ok(());
        }
        let index = open[u.choose_index(open.len())?];
        self.apply(index);
        // Nobody waits for a call that was given up.
        self.calls
            .retain(|call| call.waiting.is_some() || call.answer.is_none());
        Ok(())
    }

    fn apply(&mut self, index: usize) {
        let mut request = self.calls[index].request.clone();
        if let StoreCall::Remove { key, .. } = &request
            && self.fault != PlantedFault::FencesRemoved
        {
            self.reference.check_removal(key);
        }
        if let StoreCall::Swap { key, expected, .. } = &mut request
            && self.fault == PlantedFault::BlindSwaps
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
            self.reference.write(key, value);
            if self.fault == PlantedFault::FencesRemoved {
                self.remove_old_fences();
            }
        }
        self.calls[index].answer = Some(answer);
    }

    /// Removes the fences among the segments that may go.
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

    /// Brings some answer back, in any order.
    fn answer_any(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let done: Vec<usize> = (0..self.calls.len())
            .filter(|index| self.calls[*index].answer.is_some())
            .collect();
        if done.is_empty() {
            return Ok(());
        }
        let call = self.calls.remove(done[u.choose_index(done.len())?]);
        self.bring(call);
        Ok(())
    }

    fn bring(&mut self, call: OpenCall) {
        let (Some(waiting), Some(answer)) = (call.waiting, call.answer) else {
            return;
        };
        let id = call.call;
        let event = match answer {
            StoreAnswer::Value(found) => KeeperEvent::ReadEnded {
                call: id,
                result: Ok(found),
            },
            StoreAnswer::Listing(listing) => KeeperEvent::ListEnded {
                call: id,
                result: Ok(listing),
            },
            StoreAnswer::Outcome(outcome) => KeeperEvent::SwapEnded {
                call: id,
                result: Ok(outcome),
            },
            other => panic!("a keeper does not ask for {other:?}"),
        };
        self.tell_own(&waiting, event);
    }

    /// Tells a node that some call has failed. A call told as lost may still
    /// take effect at any later time, whether or not it has already.
    fn fail_any(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let waited: Vec<usize> = (0..self.calls.len())
            .filter(|index| self.calls[*index].waiting.is_some())
            .collect();
        if waited.is_empty() {
            return Ok(());
        }
        let index = waited[u.choose_index(waited.len())?];
        let is_open = self.calls[index].answer.is_none();
        let error = match u.int_in_range(0..=3)? {
            0 if is_open => StoreError::Unreachable,
            1 if is_open => StoreError::RateLimited {
                retry_after: Duration::from_millis(100),
            },
            2 => StoreError::BadReply,
            _ => StoreError::ReplyLost,
        };
        self.fail(index, error);
        Ok(())
    }

    fn fail(&mut self, index: usize, error: StoreError) {
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
            (true, _) => KeeperEvent::ReadEnded {
                call: id,
                result: Err(error),
            },
            (_, true) => KeeperEvent::ListEnded {
                call: id,
                result: Err(error),
            },
            _ if self.fault == PlantedFault::LostWritesAsDone => {
                self.calls.retain(|call| call.waiting.is_some());
                let revision = self.store.revision();
                KeeperEvent::SwapEnded {
                    call: id,
                    result: Ok(SwapOutcome::Swapped(revision)),
                }
            }
            _ => KeeperEvent::SwapEnded {
                call: id,
                result: Err(error),
            },
        };
        self.tell_own(&waiting, event);
    }

    fn pass_time(&mut self, span: Duration) {
        self.now += span;
        for index in 0..NODES {
            if !self.nodes[index].is_paused {
                self.tell(index, KeeperEvent::Tick);
            }
        }
    }

    fn resume(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.is_paused = false;
        for event in std::mem::take(&mut node.inbox) {
            self.tell(index, event);
        }
    }

    /// Has routers confirm, in any order and not always.
    fn answer_asked(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.asked.is_empty() {
            let event = self.asked.swap_remove(u.choose_index(self.asked.len())?);
            let index = u.choose_index(NODES)?;
            self.tell(index, event);
        }
        Ok(())
    }

    fn tell_own(&mut self, own: &IncarnationId, event: KeeperEvent) {
        if let Some(index) = self.nodes.iter().position(|node| node.own == *own) {
            self.tell(index, event);
        }
    }

    fn tell(&mut self, index: usize, event: KeeperEvent) {
        let node = &mut self.nodes[index];
        if node.is_paused {
            node.inbox.push(event);
            return;
        }
        let own = node.own.clone();
        let effects = node.keeper.handle(event, self.now);
        assert!(node.keeper.ledger().is_conserved());
        for effect in effects {
            self.carry_out(&own, effect);
        }
    }

    fn carry_out(&mut self, own: &IncarnationId, effect: KeeperEffect) {
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
                    .asked
                    .push(KeeperEvent::RoutersListed { dead, routers });
            }
            KeeperEffect::AskFence { router, dead } => {
                return self.asked.push(KeeperEvent::FenceAnswered { router, dead });
            }
            KeeperEffect::AskReturn { .. } | KeeperEffect::Notice(_) => return,
        };
        self.calls.push(OpenCall {
            waiting: Some(own.clone()),
            call,
            request,
            answer: None,
            is_held: false,
        });
    }

    /// Ends every fault and checks that a keeper takes over, knows what the
    /// log says and decides again.
    pub fn heal(&mut self, last: LedgerOperation) {
        self.outage = false;
        for index in 0..NODES {
            self.resume(index);
        }
        self.choose_first();
        let batch = LedgerBatch {
            shard: SHARD,
            sender: router(0),
            first: None,
            operations: vec![last],
        };
        for _ in 0..200 {
            self.run_calls();
            self.pass_time(Duration::from_millis(100));
            if self.nodes[0].keeper.is_serving() {
                let before = self.answered;
                self.send_batch(0, batch.clone());
                self.run_calls();
                if self.answered > before {
                    break;
                }
            }
        }
        self.run_calls();
        let keeper = &self.nodes[0].keeper;
        assert!(keeper.is_serving(), "nobody serves after all faults ended");
        assert_eq!(keeper.ledger(), self.reference.ledger());
        self.check_takeover();
    }

    /// Has another node load the shard and compares what it knows.
    fn check_takeover(&mut self) {
        self.nodes[1] = self.new_node(1);
        let keeper = self.nodes[1].own.clone();
        self.tell(
            1,
            KeeperEvent::Chosen {
                keeper: Some(keeper),
            },
        );
        for _ in 0..50 {
            self.run_calls();
            if self.nodes[1].keeper.is_serving() {
                break;
            }
            self.now += Duration::from_millis(100);
            self.tell(1, KeeperEvent::Tick);
        }
        let keeper = &self.nodes[1].keeper;
        assert!(keeper.is_serving(), "no takeover after all faults ended");
        assert_eq!(keeper.ledger(), self.reference.ledger());
    }

    fn run_calls(&mut self) {
        while !self.calls.is_empty() {
            self.apply(0);
            let call = self.calls.remove(0);
            self.bring(call);
        }
    }
}
