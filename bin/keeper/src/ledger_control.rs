//! Runs the shard keepers on the control thread and carries out their effects.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use ntex::rt::spawn;
use snipegate_fleet::DeathWatch;
use snipegate_fleet::FleetHandle;
use snipegate_fleet::FleetView;
use snipegate_ledger::BatchId;
use snipegate_ledger::BudgetStatus;
use snipegate_ledger::FENCE_PATH;
use snipegate_ledger::FenceReply;
use snipegate_ledger::FenceRequest;
use snipegate_ledger::KeeperEffect;
use snipegate_ledger::KeeperEvent;
use snipegate_ledger::KeeperSettings;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::RETURN_PATH;
use snipegate_ledger::ReturnReply;
use snipegate_ledger::ReturnRequest;
use snipegate_ledger::ShardKeeper;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreError;
use snipegate_service::DaemonContext;
use snipegate_service::MessageClient;
use snipegate_types::BudgetId;
use snipegate_types::IncarnationId;
use snipegate_types::ShardId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::control_handle::ControlHandle;
use crate::control_handle::ControlMessage;
use crate::notice::report;
use crate::routers::list_routers;

/// Time between two ticks of the shard keepers.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Pause before it is looked again whether a segment in flight has ended.
const SETTLE_PAUSE: Duration = Duration::from_millis(5);

/// How long a router may take to carry out a fence or return order.
const ORDER_WAIT: Duration = Duration::from_secs(2);

/// The shard keepers of this process and what they wait for.
pub(crate) struct LedgerControl<S> {
    own: IncarnationId,
    settings: KeeperSettings,
    context: DaemonContext,
    store: Rc<S>,
    fleet: FleetHandle,
    client: Rc<MessageClient>,
    sender: mpsc::UnboundedSender<ControlMessage>,
    view: Arc<FleetView>,
    shards: IndexMap<ShardId, ShardKeeper>,
    replies: IndexMap<BatchId, oneshot::Sender<LedgerAnswer>>,
    next_batch: u64,
    next_wake: Option<Instant>,
    /// Who waits until no shard is kept here.
    await_idle: Vec<oneshot::Sender<()>>,
}

impl<S: ConfigStore + 'static> LedgerControl<S> {
    /// Makes the control state without shards; they come with the fleet view.
    pub(crate) fn new(
        own: IncarnationId,
        settings: KeeperSettings,
        context: DaemonContext,
        store: Rc<S>,
        fleet: FleetHandle,
        sender: mpsc::UnboundedSender<ControlMessage>,
    ) -> Self {
        Self {
            own,
            settings,
            context,
            store,
            fleet,
            client: Rc::new(MessageClient::new()),
            sender,
            view: Arc::default(),
            shards: IndexMap::new(),
            replies: IndexMap::new(),
            next_batch: 0,
            next_wake: None,
            await_idle: Vec::new(),
        }
    }

    /// Takes messages until nobody can send any.
    pub(crate) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<ControlMessage>) {
        spawn(send_ticks(self.sender.clone()));
        while let Some(message) = receiver.recv().await {
            self.handle(message, Instant::now());
            if self.shards.values().all(ShardKeeper::is_idle) {
                for waiting in self.await_idle.drain(..) {
                    let _ = waiting.send(());
                }
            }
        }
    }

    fn handle(&mut self, message: ControlMessage, now: Instant) {
        match message {
            ControlMessage::Batch { batch, reply } => self.take_batch(batch, reply, now),
            ControlMessage::Budget {
                shard,
                budget,
                reply,
            } => self.read_budget(shard, budget, reply),
            ControlMessage::View(view, deaths) => {
                self.take_view(view, now);
                self.prove_deaths(&deaths, now);
            }
            ControlMessage::Event(shard, event) => {
                self.record_store_call(&event);
                self.tell(shard, event, now);
            }
            ControlMessage::Tick => self.tell_all(&KeeperEvent::Tick, now),
            ControlMessage::Leave(idle) => {
                self.await_idle.push(idle);
                self.tell_all(&KeeperEvent::Leave, now);
            }
            ControlMessage::Stop(idle) => {
                self.await_idle.push(idle);
                self.tell_all(&KeeperEvent::Stop, now);
            }
        }
    }

    fn take_batch(
        &mut self,
        batch: LedgerBatch,
        reply: oneshot::Sender<LedgerAnswer>,
        now: Instant,
    ) {
        let shard = batch.shard;
        if !self.shards.contains_key(&shard) {
            let _ = reply.send(LedgerAnswer::NotKeeper { keeper: None });
            return;
        }
        self.next_batch += 1;
        let id = BatchId(self.next_batch);
        self.replies.insert(id, reply);
        self.tell(shard, KeeperEvent::Batch { id, batch }, now);
    }

    /// Answers once everything known of the shard is durable; a question to a
    /// process that does not keep the shard is dropped.
    fn read_budget(
        &mut self,
        shard: ShardId,
        budget: BudgetId,
        reply: oneshot::Sender<Option<BudgetStatus>>,
    ) {
        let Some(keeper) = self.shards.get(&shard) else {
            return;
        };
        if let Some(ledger) = keeper.durable_ledger() {
            let _ = reply.send(ledger.budget_status(&budget));
        } else if keeper.is_serving() && !reply.is_closed() {
            let sender = self.sender.clone();
            spawn(async move {
                sleep(SETTLE_PAUSE).await;
                let _ = sender.send(ControlMessage::Budget {
                    shard,
                    budget,
                    reply,
                });
            });
        }
    }

    fn take_view(&mut self, view: Arc<FleetView>, now: Instant) {
        self.view = view;
        let Some(fleet) = self.view.settings().cloned() else {
            return;
        };
        for shard in (0..fleet.ledger_shards).map(ShardId) {
            self.open_shard(shard, fleet.retry_window(), now);
            let keeper = self.view.shard_owner(shard);
            let keeper = keeper.map(|entry| entry.record.incarnation.clone());
            self.tell(shard, KeeperEvent::KeeperChosen { keeper }, now);
        }
    }

    fn open_shard(&mut self, shard: ShardId, retry_window: Duration, now: Instant) {
        let keeper = self.shards.entry(shard).or_insert_with(|| {
            ShardKeeper::new(shard, self.own.clone(), self.settings.clone(), now)
        });
        keeper.set_retry_window(retry_window);
    }

    /// Tells each shard keeper which of the incarnations that matter to it are
    /// proven dead.
    fn prove_deaths(&mut self, deaths: &DeathWatch, now: Instant) {
        let mut proven = Vec::new();
        for (shard, keeper) in &self.shards {
            let dead = keeper
                .watched_incarnations()
                .filter(|incarnation| deaths.proof(incarnation, &self.view).is_some());
            proven.extend(dead.map(|incarnation| (*shard, incarnation.clone())));
        }
        for (shard, incarnation) in proven {
            self.tell(shard, KeeperEvent::ProvenDead { incarnation }, now);
        }
    }

    fn tell_all(&mut self, event: &KeeperEvent, now: Instant) {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in shards {
            self.tell(shard, event.clone(), now);
        }
    }

    fn tell(&mut self, shard: ShardId, event: KeeperEvent, now: Instant) {
        let Some(keeper) = self.shards.get_mut(&shard) else {
            return;
        };
        let effects = keeper.handle(event, now);
        if let Some(wake) = keeper.next_deadline() {
            self.wake_at(wake, now);
        }
        for effect in effects {
            self.carry_out(shard, effect);
        }
    }

    /// Has a tick sent at `wake`, unless a regular one comes before.
    fn wake_at(&mut self, wake: Instant, now: Instant) {
        let is_set = self.next_wake.is_some_and(|set| now < set && set <= wake);
        if is_set || wake >= now + TICK_PERIOD {
            return;
        }
        self.next_wake = Some(wake);
        let sender = self.sender.clone();
        spawn(async move {
            sleep(wake.saturating_duration_since(now)).await;
            let _ = sender.send(ControlMessage::Tick);
        });
    }

    fn carry_out(&mut self, shard: ShardId, effect: KeeperEffect) {
        match effect {
            KeeperEffect::Swap {
                call,
                key,
                expected,
                value,
            } => self.call_store(shard, async move |store| {
                let result = store.swap(&key, expected, value, None).await;
                Some(KeeperEvent::SwapCompleted { call, result })
            }),
            KeeperEffect::Remove {
                call,
                key,
                expected,
            } => self.call_store(shard, async move |store| {
                let result = store.remove(&key, expected).await;
                Some(KeeperEvent::SwapCompleted { call, result })
            }),
            KeeperEffect::Read { call, key } => self.call_store(shard, async move |store| {
                let result = store.read(&key).await;
                Some(KeeperEvent::ReadCompleted { call, result })
            }),
            KeeperEffect::List {
                call,
                prefix,
                after,
            } => self.call_store(shard, async move |store| {
                let result = store.list(&prefix, after.as_deref()).await;
                Some(KeeperEvent::ListCompleted { call, result })
            }),
            KeeperEffect::ListRouters { dead } => self.call_store(shard, async move |store| {
                // A failed listing is asked for again by the shard keeper.
                let routers = list_routers(store.as_ref()).await?;
                Some(KeeperEvent::RoutersListed { dead, routers })
            }),
            KeeperEffect::Reply { batch, answer } => {
                if let Some(reply) = self.replies.swap_remove(&batch) {
                    let _ = reply.send(answer);
                }
            }
            KeeperEffect::RequestReturn {
                holder,
                budget,
                amount,
            } => self.ask_return(ReturnRequest {
                holder,
                budget,
                amount,
            }),
            KeeperEffect::RequestFence { router, dead } => {
                self.ask_fence(shard, FenceRequest { router, dead });
            }
            KeeperEffect::Notice(notice) => report(&self.context, shard, &notice),
        }
    }

    /// Makes a call to the store beside the control loop; what it gives comes
    /// back as an event.
    fn call_store<F>(&self, shard: ShardId, call: F)
    where
        F: AsyncFnOnce(Rc<S>) -> Option<KeeperEvent> + 'static,
    {
        let store = Rc::clone(&self.store);
        let sender = self.sender.clone();
        spawn(async move {
            if let Some(event) = call(store).await {
                let _ = sender.send(ControlMessage::Event(shard, event));
            }
        });
    }

    /// Lets the fleet service know whether the store answered.
    fn record_store_call(&self, event: &KeeperEvent) {
        let error = match event {
            KeeperEvent::SwapCompleted { result, .. } => result.as_ref().err(),
            KeeperEvent::ReadCompleted { result, .. } => result.as_ref().err(),
            KeeperEvent::ListCompleted { result, .. } => result.as_ref().err(),
            _ => return,
        };
        let silent = matches!(error, Some(StoreError::Unreachable | StoreError::ReplyLost));
        self.fleet.record_store_call(!silent);
    }

    fn ask_return(&self, order: ReturnRequest) {
        let Some(address) = self.view.peer_address(&order.holder) else {
            return;
        };
        let client = Rc::clone(&self.client);
        spawn(async move {
            // The tokens come back as a ledger operation, or not at all.
            let _ = client
                .call::<_, ReturnReply>(address, RETURN_PATH, &order, ORDER_WAIT)
                .await;
        });
    }

    fn ask_fence(&self, shard: ShardId, order: FenceRequest) {
        let Some(address) = self.view.peer_address(&order.router) else {
            return;
        };
        let client = Rc::clone(&self.client);
        let sender = self.sender.clone();
        spawn(async move {
            let reply = client
                .call::<_, FenceReply>(address, FENCE_PATH, &order, ORDER_WAIT)
                .await;
            if reply.is_ok_and(|reply| reply.fenced) {
                let event = KeeperEvent::FenceConfirmed {
                    router: order.router,
                    dead: order.dead,
                };
                let _ = sender.send(ControlMessage::Event(shard, event));
            }
        });
    }
}

/// Passes the fleet view on to the control loop, as often as it is published.
pub(crate) async fn follow_fleet(fleet: FleetHandle, control: ControlHandle) {
    let mut views = fleet.views();
    while views.changed().await.is_ok() {
        let view = views.borrow_and_update().clone();
        control.send(ControlMessage::View(view, fleet.deaths()));
    }
}

async fn send_ticks(sender: mpsc::UnboundedSender<ControlMessage>) {
    while sender.send(ControlMessage::Tick).is_ok() {
        sleep(TICK_PERIOD).await;
    }
}
