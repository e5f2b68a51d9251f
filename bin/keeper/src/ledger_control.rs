//! Runs the shard keepers on the control thread and executes their effects.

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
use crate::notice::report_notice;
use crate::routers::list_routers;

/// Interval between two ticks of the shard keepers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a budget read polls for the completion of a segment in flight.
const COMMIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout of a fence or return request that is sent to a router.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The shard keepers of this process and the state of their requests.
pub(crate) struct LedgerControl<S> {
    own_id: IncarnationId,
    settings: KeeperSettings,
    context: DaemonContext,
    store: Rc<S>,
    fleet: FleetHandle,
    client: Rc<MessageClient>,
    sender: mpsc::UnboundedSender<ControlMessage>,
    view: Arc<FleetView>,
    shard_keepers: IndexMap<ShardId, ShardKeeper>,
    pending_replies: IndexMap<BatchId, oneshot::Sender<LedgerAnswer>>,
    next_batch: u64,
    next_wake: Option<Instant>,
    /// Notified when no shard is kept here any more.
    idle_waiters: Vec<oneshot::Sender<()>>,
}

impl<S: ConfigStore + 'static> LedgerControl<S> {
    /// Creates a control loop without shards, which are added with the first fleet
    /// view that contains settings.
    pub(crate) fn new(
        own_id: IncarnationId,
        settings: KeeperSettings,
        context: DaemonContext,
        store: Rc<S>,
        fleet: FleetHandle,
        sender: mpsc::UnboundedSender<ControlMessage>,
    ) -> Self {
        Self {
            own_id,
            settings,
            context,
            store,
            fleet,
            client: Rc::new(MessageClient::new()),
            sender,
            view: Arc::default(),
            shard_keepers: IndexMap::new(),
            pending_replies: IndexMap::new(),
            next_batch: 0,
            next_wake: None,
            idle_waiters: Vec::new(),
        }
    }

    /// Handles messages until all senders are dropped.
    pub(crate) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<ControlMessage>) {
        spawn(send_ticks(self.sender.clone()));
        while let Some(message) = receiver.recv().await {
            self.handle(message, Instant::now());
            if self.shard_keepers.values().all(ShardKeeper::is_idle) {
                for waiter in self.idle_waiters.drain(..) {
                    let _ = waiter.send(());
                }
            }
        }
    }

    fn handle(&mut self, message: ControlMessage, now: Instant) {
        match message {
            ControlMessage::Batch { batch, reply } => self.handle_batch(batch, reply, now),
            ControlMessage::ReadBudget {
                shard,
                budget,
                reply,
            } => self.read_budget(shard, budget, reply),
            ControlMessage::ViewUpdated(view, deaths) => {
                self.update_view(view, now);
                self.report_deaths(&deaths, now);
            }
            ControlMessage::ShardEvent(shard, event) => {
                self.report_store_call(&event);
                self.dispatch(shard, event, now);
            }
            ControlMessage::Tick => self.dispatch_to_all(&KeeperEvent::Tick, now),
            ControlMessage::Leave(idle) => {
                self.idle_waiters.push(idle);
                self.dispatch_to_all(&KeeperEvent::Leave, now);
            }
            ControlMessage::Stop(idle) => {
                self.idle_waiters.push(idle);
                self.dispatch_to_all(&KeeperEvent::Stop, now);
            }
        }
    }

    fn handle_batch(
        &mut self,
        batch: LedgerBatch,
        reply: oneshot::Sender<LedgerAnswer>,
        now: Instant,
    ) {
        let shard = batch.shard;
        if !self.shard_keepers.contains_key(&shard) {
            let _ = reply.send(LedgerAnswer::NotKeeper { keeper: None });
            return;
        }
        self.next_batch += 1;
        let id = BatchId(self.next_batch);
        self.pending_replies.insert(id, reply);
        self.dispatch(shard, KeeperEvent::Batch { id, batch }, now);
    }

    /// Replies once all changes of the shard are durable. If this process does not
    /// keep the shard, the reply channel is dropped.
    fn read_budget(
        &mut self,
        shard: ShardId,
        budget: BudgetId,
        reply: oneshot::Sender<Option<BudgetStatus>>,
    ) {
        let Some(keeper) = self.shard_keepers.get(&shard) else {
            return;
        };
        if let Some(ledger) = keeper.durable_ledger() {
            let _ = reply.send(ledger.budget_status(&budget));
        } else if keeper.is_serving() && !reply.is_closed() {
            let sender = self.sender.clone();
            spawn(async move {
                sleep(COMMIT_POLL_INTERVAL).await;
                let _ = sender.send(ControlMessage::ReadBudget {
                    shard,
                    budget,
                    reply,
                });
            });
        }
    }

    fn update_view(&mut self, view: Arc<FleetView>, now: Instant) {
        self.view = view;
        let Some(fleet) = self.view.settings().cloned() else {
            return;
        };
        for shard in (0..fleet.ledger_shards).map(ShardId) {
            self.ensure_shard_keeper(shard, fleet.retry_window(), now);
            let keeper = self.view.shard_owner(shard);
            let keeper = keeper.map(|entry| entry.record.incarnation.clone());
            self.dispatch(shard, KeeperEvent::KeeperChosen { keeper }, now);
        }
    }

    fn ensure_shard_keeper(&mut self, shard: ShardId, retry_window: Duration, now: Instant) {
        let keeper = self.shard_keepers.entry(shard).or_insert_with(|| {
            ShardKeeper::new(shard, self.own_id.clone(), self.settings.clone(), now)
        });
        keeper.set_retry_window(retry_window);
    }

    /// Notifies each shard keeper of the incarnations it watches that are proven
    /// dead.
    fn report_deaths(&mut self, deaths: &DeathWatch, now: Instant) {
        let mut proven = Vec::new();
        for (shard, keeper) in &self.shard_keepers {
            let dead = keeper
                .watched_incarnations()
                .filter(|incarnation| deaths.proof(incarnation, &self.view).is_some());
            proven.extend(dead.map(|incarnation| (*shard, incarnation.clone())));
        }
        for (shard, incarnation) in proven {
            self.dispatch(shard, KeeperEvent::ProvenDead { incarnation }, now);
        }
    }

    fn dispatch_to_all(&mut self, event: &KeeperEvent, now: Instant) {
        let shards: Vec<ShardId> = self.shard_keepers.keys().copied().collect();
        for shard in shards {
            self.dispatch(shard, event.clone(), now);
        }
    }

    fn dispatch(&mut self, shard: ShardId, event: KeeperEvent, now: Instant) {
        let Some(keeper) = self.shard_keepers.get_mut(&shard) else {
            return;
        };
        let effects = keeper.handle(event, now);
        if let Some(wake) = keeper.next_deadline() {
            self.schedule_wake(wake, now);
        }
        for effect in effects {
            self.execute_effect(shard, effect);
        }
    }

    /// Schedules a tick at `wake`, unless another tick is due before that.
    fn schedule_wake(&mut self, wake: Instant, now: Instant) {
        let is_scheduled = self.next_wake.is_some_and(|set| now < set && set <= wake);
        if is_scheduled || wake >= now + TICK_INTERVAL {
            return;
        }
        self.next_wake = Some(wake);
        let sender = self.sender.clone();
        spawn(async move {
            sleep(wake.saturating_duration_since(now)).await;
            let _ = sender.send(ControlMessage::Tick);
        });
    }

    fn execute_effect(&mut self, shard: ShardId, effect: KeeperEffect) {
        match effect {
            KeeperEffect::Swap {
                call,
                key,
                expected,
                value,
            } => self.spawn_store_call(shard, async move |store| {
                let result = store.swap(&key, expected, value, None).await;
                Some(KeeperEvent::SwapCompleted { call, result })
            }),
            KeeperEffect::Remove {
                call,
                key,
                expected,
            } => self.spawn_store_call(shard, async move |store| {
                let result = store.remove(&key, expected).await;
                Some(KeeperEvent::SwapCompleted { call, result })
            }),
            KeeperEffect::Read { call, key } => self.spawn_store_call(shard, async move |store| {
                let result = store.read(&key).await;
                Some(KeeperEvent::ReadCompleted { call, result })
            }),
            KeeperEffect::List {
                call,
                prefix,
                after,
            } => self.spawn_store_call(shard, async move |store| {
                let result = store.list(&prefix, after.as_deref()).await;
                Some(KeeperEvent::ListCompleted { call, result })
            }),
            KeeperEffect::ListRouters { dead } => {
                self.spawn_store_call(shard, async move |store| {
                    // The shard keeper requests a failed listing again.
                    let routers = list_routers(store.as_ref()).await?;
                    Some(KeeperEvent::RoutersListed { dead, routers })
                })
            }
            KeeperEffect::Reply { batch, answer } => {
                if let Some(reply) = self.pending_replies.swap_remove(&batch) {
                    let _ = reply.send(answer);
                }
            }
            KeeperEffect::RequestReturn {
                holder,
                budget,
                amount,
            } => self.send_return_request(ReturnRequest {
                holder,
                budget,
                amount,
            }),
            KeeperEffect::RequestFence { router, dead } => {
                self.send_fence_request(shard, FenceRequest { router, dead });
            }
            KeeperEffect::Notice(notice) => report_notice(&self.context, shard, &notice),
        }
    }

    /// Makes a store call in a separate task, which sends its result back to the
    /// control loop as an event.
    fn spawn_store_call<F>(&self, shard: ShardId, call: F)
    where
        F: AsyncFnOnce(Rc<S>) -> Option<KeeperEvent> + 'static,
    {
        let store = Rc::clone(&self.store);
        let sender = self.sender.clone();
        spawn(async move {
            if let Some(event) = call(store).await {
                let _ = sender.send(ControlMessage::ShardEvent(shard, event));
            }
        });
    }

    /// Reports to the fleet service whether the store answered a call.
    fn report_store_call(&self, event: &KeeperEvent) {
        let error = match event {
            KeeperEvent::SwapCompleted { result, .. } => result.as_ref().err(),
            KeeperEvent::ReadCompleted { result, .. } => result.as_ref().err(),
            KeeperEvent::ListCompleted { result, .. } => result.as_ref().err(),
            _ => return,
        };
        let unanswered = matches!(error, Some(StoreError::Unreachable | StoreError::ReplyLost));
        self.fleet.record_store_call(!unanswered);
    }

    fn send_return_request(&self, request: ReturnRequest) {
        let Some(address) = self.view.peer_address(&request.holder) else {
            return;
        };
        let client = Rc::clone(&self.client);
        spawn(async move {
            // The reply is not needed: if the router returns tokens, it does so by a
            // ledger operation.
            let _ = client
                .call::<_, ReturnReply>(address, RETURN_PATH, &request, REQUEST_TIMEOUT)
                .await;
        });
    }

    fn send_fence_request(&self, shard: ShardId, request: FenceRequest) {
        let Some(address) = self.view.peer_address(&request.router) else {
            return;
        };
        let client = Rc::clone(&self.client);
        let sender = self.sender.clone();
        spawn(async move {
            let reply = client
                .call::<_, FenceReply>(address, FENCE_PATH, &request, REQUEST_TIMEOUT)
                .await;
            if reply.is_ok_and(|reply| reply.fenced) {
                let event = KeeperEvent::FenceConfirmed {
                    router: request.router,
                    dead: request.dead,
                };
                let _ = sender.send(ControlMessage::ShardEvent(shard, event));
            }
        });
    }
}

/// Forwards every published fleet view to the control loop.
pub(crate) async fn forward_views(fleet: FleetHandle, control: ControlHandle) {
    let mut views = fleet.views();
    while views.changed().await.is_ok() {
        let view = views.borrow_and_update().clone();
        control.send(ControlMessage::ViewUpdated(view, fleet.deaths()));
    }
}

async fn send_ticks(sender: mpsc::UnboundedSender<ControlMessage>) {
    while sender.send(ControlMessage::Tick).is_ok() {
        sleep(TICK_INTERVAL).await;
    }
}
