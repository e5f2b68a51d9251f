//! Moves grants between the budgets' records in the store and this VM.
//!
//! The VMs agree, as far as they hear each other, on one of them that writes a
//! shard of records for all; so the store sees few writes and few conflicts. A VM
//! that gets no answer from it writes itself. Who writes decides nothing: every
//! write names the revision that it replaces.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use slog::debug;
use slog::info;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::budget_exchange::SHARDS;
use crate::budget_exchange::adopt_workspaces;
use crate::budget_exchange::is_answered;
use crate::budget_exchange::is_scarce;
use crate::budget_exchange::note_failed_writer;
use crate::budget_exchange::prepaid_by_hash;
use crate::budget_exchange::shard_of;
use crate::budget_record::BudgetShard;
use crate::budget_record::BudgetView;
use crate::budget_record::GrantAsk;
use crate::gateway::Gateway;
use crate::gateway::hash_name;
use crate::gossip::PeerMessage;
use crate::own_answer::spread;

/// Longest pause between two looks at the grants.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which asks gather before they are written, where a request waits.
const URGENT_GATHER: Duration = Duration::from_millis(5);

/// Shortest pause between two writes, where a request waits.
const URGENT_SPACING: Duration = Duration::from_millis(30);

/// Time in which asks gather before they are written, where none waits.
const CALM_GATHER: Duration = Duration::from_millis(400);

/// Longest wait for the answer of the VM that writes.
const WRITER_WAIT: Duration = Duration::from_millis(120);

/// How long a VM that did not answer is not asked again.
const WRITER_PAUSE: Duration = Duration::from_millis(1500);

/// The same, while this VM does not reach the store either.
const LOST_WRITER_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a conflict or a call that the store did not answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(60);

/// Most writes that are tried to give a shard's grants back.
const MAX_CLOSE_TRIES: u32 = 8;

/// A shard as this VM knows it.
struct ShardKeeper {
    number: u64,
    shard: BudgetShard,
    revision: StoreRevision,
    /// Whether the shard was read, so that it can be written.
    read: bool,
    wrote_at: Option<Instant>,
}

/// Keeps the grants of all workspaces until the process ends.
pub async fn keep_budgets<S: ConfigStore + 'static>(gateway: Rc<Gateway>, store: Rc<S>) {
    for number in 0..SHARDS {
        let gateway = Rc::clone(&gateway);
        spawn_local(keep_shard(gateway, Rc::clone(&store), number));
    }
    loop {
        let _ = timeout(LOOK_INTERVAL, gateway.grant_due.notified()).await;
        adopt_workspaces(&gateway);
        gateway.shard_due.notify_waiters();
    }
}

async fn keep_shard<S: ConfigStore>(gateway: Rc<Gateway>, store: Rc<S>, number: u64) {
    let mut keeper = ShardKeeper::new(number);
    while !gateway.is_closing.get() {
        match keeper.look(&gateway, &*store).await {
            Ok(LookEnd::Idle) => {
                let _ = timeout(LOOK_INTERVAL, gateway.shard_due.notified()).await;
            }
            Ok(LookEnd::Acted) => {}
            Err(error) => {
                debug!(gateway.log, "budgets not written"; "shard" => number, "error" => %error);
                sleep(spread(FAILURE_PAUSE)).await;
            }
        }
    }
}

/// What a look at the budgets came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LookEnd {
    /// Nothing was needed.
    Idle,
    /// Something was asked or written.
    Acted,
}

impl ShardKeeper {
    /// Makes a keeper that has not read its shard.
    fn new(number: u64) -> Self {
        Self {
            number,
            shard: BudgetShard::default(),
            revision: StoreRevision(0),
            read: false,
            wrote_at: None,
        }
    }

    /// Takes one look at what the budgets of the shard need, and sees to it.
    async fn look<S: ConfigStore>(
        &mut self,
        gateway: &Gateway,
        store: &S,
    ) -> Result<LookEnd, StoreError> {
        let has_writer = self.other_writer(gateway, gateway.now()).is_some();
        if !has_writer && !self.all_known(gateway) {
            self.read(gateway, store).await?;
        }
        let Some(urgent) = self.gather(gateway).await else {
            return Ok(LookEnd::Idle);
        };
        let now = gateway.now();
        self.wrote_at = Some(now);
        let mut own = self.plan_asks(gateway, now);
        if let Some(writer) = self.other_writer(gateway, now)
            && !own.is_empty()
        {
            if self.ask_writer(gateway, writer, &own, urgent).await {
                own.clear();
            } else {
                note_failed_writer(gateway, writer);
                return Ok(LookEnd::Acted);
            }
        }
        if gateway.contact.get().is_failing() {
            // Those who follow the store find out when it is back.
            for (sender, _) in self.take_foreign(gateway) {
                gateway.send_direct(sender, PeerMessage::CannotWrite);
            }
            sleep(FAILURE_PAUSE).await;
            return Ok(LookEnd::Idle);
        }
        let foreign = self.take_foreign(gateway);
        if !own.is_empty() || !foreign.is_empty() {
            self.write(gateway, store, &own, &foreign).await?;
        }
        Ok(LookEnd::Acted)
    }

    /// Waits while asks gather, longer where no request waits for a grant.
    ///
    /// Tells whether one waits; `None` where nothing is needed.
    async fn gather(&self, gateway: &Gateway) -> Option<bool> {
        loop {
            let now = gateway.now();
            let urgent = self.is_urgent(gateway, now)?;
            let since = self
                .wrote_at
                .map_or(CALM_GATHER, |at| now.saturating_duration_since(at));
            if urgent {
                sleep(URGENT_SPACING.saturating_sub(since).max(URGENT_GATHER)).await;
                return Some(true);
            }
            let left = CALM_GATHER.saturating_sub(since);
            if left.is_zero() {
                return Some(false);
            }
            let _ = timeout(left, gateway.shard_due.notified()).await;
        }
    }

    /// Tells whether a request waits for a grant; `None` where nothing is needed.
    fn is_urgent(&self, gateway: &Gateway, now: Instant) -> Option<bool> {
        let asks = gateway.foreign_asks.borrow();
        let foreign = asks
            .iter()
            .filter(|(_, ask)| ask.workspace % SHARDS == self.number)
            .map(|(_, ask)| ask.urgent);
        let vms = gateway.vm_count();
        let purses = gateway.purses.borrow();
        let own = purses
            .iter()
            .filter(|(workspace, _)| shard_of(workspace) == self.number)
            .filter_map(|(id, purse)| purse.need(vms, is_scarce(gateway, id, now), now))
            .map(|need| need.urgent);
        foreign.chain(own).reduce(|one, other| one || other)
    }

    fn plan_asks(&self, gateway: &Gateway, now: Instant) -> Vec<GrantAsk> {
        let vms = gateway.vm_count();
        let mut purses = gateway.purses.borrow_mut();
        purses
            .iter_mut()
            .filter(|(workspace, _)| shard_of(workspace) == self.number)
            .filter_map(|(id, purse)| purse.plan_ask(vms, is_scarce(gateway, id, now), now))
            .collect()
    }

    fn all_known(&self, gateway: &Gateway) -> bool {
        let purses = gateway.purses.borrow();
        purses
            .iter()
            .filter(|(workspace, _)| shard_of(workspace) == self.number)
            .all(|(_, purse)| purse.is_known())
    }

    /// Returns the other VM that writes this shard, if it is not this one.
    ///
    /// VMs that did not answer lately are passed over.
    fn other_writer(&self, gateway: &Gateway, now: Instant) -> Option<SocketAddr> {
        let weight = |vm: &str| hash_name(&format!("{vm}/{}", self.number));
        let own = weight(gateway.settings.vm.as_str());
        let failed = gateway.failed_writers.borrow();
        // A VM that does not reach the store can't tell who else does not.
        let pause = match gateway.contact.get().is_failing() {
            true => LOST_WRITER_PAUSE,
            false => WRITER_PAUSE,
        };
        let is_failed = |address: &SocketAddr| {
            failed
                .get(address)
                .is_some_and(|at| now.saturating_duration_since(*at) < pause)
        };
        let peers = gateway.peers.borrow();
        peers
            .heard(now)
            .filter(|record| !is_failed(&record.gossip))
            .map(|record| (weight(record.vm.as_str()), record.gossip))
            .max()
            .filter(|(best, _)| *best > own)
            .map(|(_, address)| address)
    }

    /// Asks another VM to write; where a request waits, tells whether the answer
    /// came in time.
    async fn ask_writer(
        &self,
        gateway: &Gateway,
        writer: SocketAddr,
        asks: &[GrantAsk],
        urgent: bool,
    ) -> bool {
        gateway.send_direct(writer, PeerMessage::Asks(asks.to_vec()));
        if !urgent {
            return true;
        }
        let began = gateway.now();
        let answered = async {
            loop {
                let changed = gateway.grant_changed.notified();
                if asks.iter().all(|ask| is_answered(gateway, ask)) {
                    return true;
                }
                let failed = gateway.failed_writers.borrow().get(&writer).copied();
                if failed.is_some_and(|at| at >= began) {
                    return false;
                }
                changed.await;
            }
        };
        let in_time = timeout(WRITER_WAIT, answered).await.unwrap_or(false);
        let outcome = if in_time { "answered" } else { "not_answered" };
        gateway.metrics.count_reason("budget.ask", outcome);
        info!(gateway.log, "grants asked"; "shard" => self.number, "writer" => %writer,
            "asks" => asks.len(), "outcome" => outcome);
        in_time
    }

    async fn read<S: ConfigStore>(
        &mut self,
        gateway: &Gateway,
        store: &S,
    ) -> Result<(), StoreError> {
        let result = store.read(&self.key(gateway)).await;
        gateway.note_store(result.as_ref().err());
        self.take(gateway, result?)
    }

    /// Writes the asks of this VM and of others.
    async fn write<S: ConfigStore>(
        &mut self,
        gateway: &Gateway,
        store: &S,
        own: &[GrantAsk],
        foreign: &[(SocketAddr, GrantAsk)],
    ) -> Result<(), StoreError> {
        if !self.read {
            self.read(gateway, store).await?;
        }
        let mut shard = self.shard.clone();
        let asks = own.iter().chain(foreign.iter().map(|(_, ask)| ask));
        let prepaid = prepaid_by_hash(gateway);
        let mut changed = false;
        for ask in asks {
            let prepaid = prepaid.get(&ask.workspace).copied().unwrap_or_default();
            let record = shard.records.entry(ask.workspace).or_default();
            let closed = record.closed;
            changed |= record.apply(ask, prepaid);
            let lost = record.closed.saturating_sub(closed);
            if !lost.is_zero() {
                info!(gateway.log, "grants of an ended run count as used"; "vm" => ask.vm,
                    "workspace" => ask.workspace, "tokens" => lost.0,
                    "revision" => self.revision.0);
            }
        }
        if changed {
            self.swap(gateway, store, shard).await?;
        }
        self.answer(gateway, foreign);
        Ok(())
    }

    async fn swap<S: ConfigStore>(
        &mut self,
        gateway: &Gateway,
        store: &S,
        shard: BudgetShard,
    ) -> Result<(), StoreError> {
        let bytes = shard.encode().map_err(|error| {
            info!(gateway.log, "budget records not encoded"; "error" => %error);
            StoreError::BadReply
        })?;
        let expected = match self.revision {
            StoreRevision(0) => ExpectedVersion::Absent,
            revision => ExpectedVersion::At(revision),
        };
        let result = store.swap(&self.key(gateway), expected, bytes, None).await;
        gateway.note_store(result.as_ref().err());
        self.wrote_at = Some(gateway.now());
        let outcome = match &result {
            Ok(SwapOutcome::Swapped(_)) => "written",
            Ok(SwapOutcome::Conflict(_)) => "conflict",
            Err(error) if error.may_have_applied() => "unknown",
            Err(_) => "not_written",
        };
        gateway.metrics.count_reason("budget.write", outcome);
        info!(gateway.log, "budgets written"; "shard" => self.number, "outcome" => outcome,
            "replaces" => self.revision.0);
        match result? {
            SwapOutcome::Swapped(revision) => {
                self.shard = shard;
                self.revision = revision;
                self.show_views(gateway);
                Ok(())
            }
            SwapOutcome::Conflict(stored) => {
                self.take(gateway, stored)?;
                Err(StoreError::Unreachable)
            }
        }
    }

    fn answer(&self, gateway: &Gateway, foreign: &[(SocketAddr, GrantAsk)]) {
        let mut answers: IndexMap<SocketAddr, Vec<BudgetView>> = IndexMap::new();
        for (sender, ask) in foreign {
            let mut view = self
                .shard
                .view(ask.workspace, self.revision.0, ask.vm, ask.incarnation);
            view.answers = ask.sequence;
            answers.entry(*sender).or_default().push(view);
        }
        for (sender, views) in answers {
            gateway.send_direct(sender, PeerMessage::Views(views));
        }
    }

    /// Takes the shard as the store has it.
    fn take(&mut self, gateway: &Gateway, stored: Option<StoredValue>) -> Result<(), StoreError> {
        let (shard, revision) = match stored {
            None => (BudgetShard::default(), StoreRevision(0)),
            Some(stored) => match BudgetShard::decode(&stored.value) {
                Ok(shard) => (shard, stored.revision),
                Err(error) => {
                    // Without readable records nothing more is granted.
                    info!(gateway.log, "budget records not decoded"; "shard" => self.number,
                        "revision" => stored.revision.0, "error" => %error);
                    return Err(StoreError::BadReply);
                }
            },
        };
        self.shard = shard;
        self.revision = revision;
        self.read = true;
        self.show_views(gateway);
        Ok(())
    }

    /// Shows the purses of this VM what the records say.
    fn show_views(&self, gateway: &Gateway) {
        let vm = hash_name(gateway.settings.vm.as_str());
        let mut purses = gateway.purses.borrow_mut();
        let own = purses
            .iter_mut()
            .filter(|(workspace, _)| shard_of(workspace) == self.number);
        for (workspace, purse) in own {
            let hash = hash_name(workspace.as_str());
            let view = self
                .shard
                .view(hash, self.revision.0, vm, gateway.incarnation);
            purse.set_view(view);
        }
        drop(purses);
        gateway.grant_changed.notify_waiters();
    }

    fn take_foreign(&self, gateway: &Gateway) -> Vec<(SocketAddr, GrantAsk)> {
        let mut asks = gateway.foreign_asks.borrow_mut();
        let (mine, rest) = std::mem::take(&mut *asks)
            .into_iter()
            .partition(|(_, ask)| ask.workspace % SHARDS == self.number);
        *asks = rest;
        mine
    }

    fn key(&self, gateway: &Gateway) -> String {
        let prefix = gateway.dialect.layout().budget_prefix;
        format!("{prefix}{}", self.number)
    }
}

/// Gives back what is not used, at the end of the process.
pub async fn close_budgets<S: ConfigStore>(gateway: &Gateway, store: &S) {
    for number in 0..SHARDS {
        let mut keeper = ShardKeeper::new(number);
        let asks: Vec<GrantAsk> = gateway
            .purses
            .borrow_mut()
            .iter_mut()
            .filter(|(id, purse)| shard_of(id) == number && !purse.granted().is_zero())
            .map(|(_, purse)| purse.plan_return())
            .collect();
        if asks.is_empty() {
            continue;
        }
        for _ in 0..MAX_CLOSE_TRIES {
            match keeper.write(gateway, store, &asks, &[]).await {
                Ok(()) => break,
                Err(error) => info!(gateway.log, "budgets not given back";
                    "shard" => number, "error" => %error),
            }
        }
    }
}
