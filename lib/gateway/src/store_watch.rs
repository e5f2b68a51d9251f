//! Watches for changes in the configuration store.

use std::time::Duration;
use std::time::Instant;

use slog::info;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreChange;
use snipegate_platform::StoreError;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::WatchBatch;
use strum::Display;
use strum::IntoStaticStr;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::short_watch::uses_short_watch;
use crate::store_news::NEWS_TIMEOUT;
use crate::store_news::NewsStep;
use crate::store_news::uses_news;
use crate::store_task::ShortWatchers;
use crate::store_task::StoreCallKind;
use crate::store_task::StoreTask;

/// Longest wait of a short watch.
const SHORT_WATCH_WAIT: Duration = Duration::from_secs(1);

/// Age at which a VM that has become a short watcher abandons a long watch that it started
/// earlier. Together with the time until the other VMs hear of a change, it stays within
/// the 3 s after an outage in which a VM may be behind.
const LONG_WATCH_MAX_AGE: Duration = Duration::from_secs(2);

/// Interval between checks whether this VM has become a short watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long a VM that follows news has to be chosen to watch before it does. At the end of an
/// outage the VMs hear of each other's contact with the store one after the other.
const CHOICE_DELAY: Duration = Duration::from_millis(500);

/// How long a watch may take to deliver a change that another VM already knows.
const WATCH_DELAY_ALLOWANCE: Duration = Duration::from_millis(400);

/// Interval at which a VM that does not watch reads the store by a listing that may be stale.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(12);

/// Period over which VMs that listed at the same time read such a listing for the first time,
/// once it is old enough to be believed.
const FIRST_RECONCILE_SPREAD: Duration = Duration::from_secs(2);

/// Time after the start of a VM in which it waits to hear other VMs before it watches.
const START_PERIOD: Duration = Duration::from_millis(800);

/// Time after the start of a VM in which it waits for the listing of VM records before it
/// watches.
const RECORDS_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval between checks for that listing.
const RECORDS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum age of a listing that may be stale. For this long after an era began, such a listing
/// may show the store as it was before, and is not read.
const MAX_STALE_AGE: Duration = Duration::from_secs(10);

/// Reason for which a watch ended without a failure and without a batch of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WatchEnd {
    /// The store has compacted the requested changes away.
    Compacted,
    /// Another VM knows a change that the watch has not delivered.
    PeerAhead,
    /// This VM has become a short watcher, and the watch is older than
    /// `LONG_WATCH_MAX_AGE`.
    Overdue,
    /// An outage ended, during which the store may have lost the watch.
    StoreRegained,
    /// The store came back from an older copy, so that its changes don't follow those known.
    EraChanged,
    /// Another VM told of a change whose content did not arrive.
    NewsMissed,
}

/// Result of waiting for changes.
pub enum WatchOutcome {
    /// Changes since the last wait, in order; may be empty.
    Changes(Vec<StoreChange>),
    /// A full listing that is newer than what was known.
    Listed(StoreListing),
    /// The follower has to list the prefix again.
    Relist,
}

/// How a VM follows the changes under a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// By short watches.
    Short,
    /// By long watches.
    Long,
    /// By what the VMs that watch tell it.
    News,
}

/// A follower's position in the changes under one prefix.
pub struct StoreWatch<'a, S> {
    gateway: &'a Gateway,
    store: &'a S,
    task: StoreTask,
    prefix: &'a str,
    after: StoreRevision,
    /// Position after the last changes that were sent to the other VMs or received from them.
    /// Nothing changed between it and `after`.
    published: StoreRevision,
    /// Revision of the last known change.
    latest_change: StoreRevision,
    /// When to read the store next while following news.
    reconcile_at: Instant,
    /// Whether the last changes came by a watch.
    is_delivered_by_watch: bool,
}

impl<'a, S: ConfigStore> StoreWatch<'a, S> {
    /// Creates a watch that continues after a listing read at revision `after`, which shows
    /// `latest_change` as the last change.
    pub fn new(
        gateway: &'a Gateway,
        store: &'a S,
        task: StoreTask,
        prefix: &'a str,
        after: StoreRevision,
        latest_change: StoreRevision,
    ) -> Self {
        let now = gateway.now();
        gateway.store_news.enter(prefix, after, now);
        Self {
            gateway,
            store,
            task,
            prefix,
            after,
            published: after,
            latest_change,
            reconcile_at: now + MAX_STALE_AGE + FIRST_RECONCILE_SPREAD.mul_f64(fastrand::f64()),
            is_delivered_by_watch: false,
        }
    }

    /// Returns the revision up to which all changes have been returned.
    pub fn after(&self) -> StoreRevision {
        self.after
    }

    /// Returns whether further changes should gather before the next wait, since each answer
    /// of a watch is paid for.
    pub fn should_gather(&self) -> bool {
        self.is_delivered_by_watch
    }

    /// Waits for changes for up to `wait`, or until `peer_ahead` completes, which is given the
    /// time that a change known to other VMs may take to arrive.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer the watch in time.
    pub async fn next_changes(
        &mut self,
        wait: Duration,
        peer_ahead: impl AsyncFn(Duration),
    ) -> Result<WatchOutcome, StoreError> {
        let began = self.gateway.now();
        self.is_delivered_by_watch = false;
        self.wait_for_vm_records().await;
        if self.gateway.known_era() != self.after.era {
            self.log_end(WatchEnd::EraChanged, began);
            return Ok(WatchOutcome::Relist);
        }
        if let Some(outcome) = self.take_news() {
            return Ok(outcome);
        }
        match self.role() {
            WatchRole::News => Ok(self.wait_for_news(peer_ahead).await),
            WatchRole::Short => self.watch(SHORT_WATCH_WAIT.min(wait), peer_ahead).await,
            WatchRole::Long => self.watch(wait, peer_ahead).await,
        }
    }

    /// Waits after the start of this VM until it knows how large the fleet is.
    async fn wait_for_vm_records(&self) {
        let gateway = self.gateway;
        let vm_prefix = gateway.wire_format.layout().vm_prefix;
        let is_starting =
            || gateway.now().saturating_duration_since(gateway.created_at) < RECORDS_TIMEOUT;
        while is_starting() && !gateway.store_news.follows(vm_prefix) {
            sleep(RECORDS_CHECK_INTERVAL).await;
        }
    }

    /// Waits for changes by a watch of the store.
    async fn watch(
        &mut self,
        wait: Duration,
        peer_ahead: impl AsyncFn(Duration),
    ) -> Result<WatchOutcome, StoreError> {
        let began = self.gateway.now();
        self.announce_position();
        let watch = self.store.watch(self.prefix, self.after, wait);
        let end = tokio::select! {
            batch = self.gateway.call_store(self.task, StoreCallKind::Watch, watch) => {
                match batch.inspect_err(|error| self.log_failure(error, began)) {
                    Ok(WatchBatch::Changes { revision, changes }) => {
                        self.gateway.observe_era(revision.era, self.task)?;
                        if revision.era != self.after.era {
                            self.log_end(WatchEnd::EraChanged, began);
                            return Ok(WatchOutcome::Relist);
                        }
                        self.record_batch(revision, &changes);
                        return Ok(WatchOutcome::Changes(changes));
                    }
                    Ok(WatchBatch::Compacted) => WatchEnd::Compacted,
                    Err(StoreError::Unreachable | StoreError::ReplyLost | StoreError::RateLimited { .. })
                        if self.uses_news() =>
                    {
                        // The position still holds, so no listing is needed.
                        self.gateway.wait_for_store().await;
                        return Ok(WatchOutcome::Changes(Vec::new()));
                    }
                    Err(error) => return Err(error),
                }
            }
            () = peer_ahead(WATCH_DELAY_ALLOWANCE) => WatchEnd::PeerAhead,
            () = self.wait_until_overdue() => WatchEnd::Overdue,
            () = self.gateway.store_regained.notified() => WatchEnd::StoreRegained,
            () = self.gateway.era_changed.notified() => WatchEnd::EraChanged,
        };
        self.log_end(end, began);
        Ok(match end {
            WatchEnd::PeerAhead => self.take_news().unwrap_or(WatchOutcome::Relist),
            WatchEnd::Compacted | WatchEnd::EraChanged | WatchEnd::NewsMissed => {
                WatchOutcome::Relist
            }
            WatchEnd::Overdue | WatchEnd::StoreRegained => WatchOutcome::Changes(Vec::new()),
        })
    }

    /// Waits for changes that other VMs tell of, as long as this VM does not have to watch.
    async fn wait_for_news(&mut self, peer_ahead: impl AsyncFn(Duration)) -> WatchOutcome {
        let gateway = self.gateway;
        let began = gateway.now();
        let board = &gateway.store_news;
        board.outbox.borrow_mut().clear_position(self.prefix);
        let peer_ahead = peer_ahead(NEWS_TIMEOUT);
        tokio::pin!(peer_ahead);
        let mut chosen_since: Option<Instant> = None;
        loop {
            let arrived = board.arrived.notified();
            let era_changed = gateway.era_changed.notified();
            if gateway.known_era() != self.after.era {
                self.log_end(WatchEnd::EraChanged, began);
                return WatchOutcome::Relist;
            }
            let now = gateway.now();
            chosen_since = match self.role() {
                WatchRole::News => None,
                WatchRole::Short | WatchRole::Long => chosen_since.or(Some(now)),
            };
            if chosen_since.is_some_and(|at| now.saturating_duration_since(at) >= CHOICE_DELAY) {
                return WatchOutcome::Changes(Vec::new());
            }
            let step = board.with_inbox(self.prefix, |inbox| inbox.next_step(now));
            let mut wake_at = now + ROLE_CHECK_INTERVAL;
            let reads_stale = match step {
                NewsStep::Apply { changes, through } => return self.apply_news(changes, through),
                NewsStep::ReadCurrent => {
                    self.log_end(WatchEnd::NewsMissed, began);
                    return WatchOutcome::Relist;
                }
                NewsStep::ReadStale => true,
                NewsStep::Wait(until) => {
                    wake_at = until.map_or(wake_at, |until| until.min(wake_at));
                    now >= self.reconcile_at
                }
            };
            if reads_stale {
                self.reconcile_at = now + RECONCILE_INTERVAL;
                match self.read_stale().await {
                    Ok(Some(listing)) => return WatchOutcome::Listed(listing),
                    Ok(None) => {}
                    Err(_) => return WatchOutcome::Relist,
                }
                continue;
            }
            let awaits_omitted = board.with_inbox(self.prefix, |inbox| inbox.awaits_omitted());
            tokio::select! {
                () = arrived => {}
                () = era_changed => {}
                () = sleep(wake_at.saturating_duration_since(now)) => {}
                () = &mut peer_ahead, if !awaits_omitted => {
                    self.log_end(WatchEnd::PeerAhead, began);
                    return WatchOutcome::Relist;
                }
            }
        }
    }

    /// Reads all entries by a listing that may be stale. Returns it if it is newer than what is
    /// known. A failure is left to the tasks that have to make calls.
    ///
    /// # Errors
    ///
    /// Fails if the store has come back from an older copy.
    async fn read_stale(&mut self) -> Result<Option<StoreListing>, StoreError> {
        let gateway = self.gateway;
        let era = self.after.era;
        if gateway.store_contact.get().is_failing() || !self.trusts_stale() {
            return Ok(None);
        }
        let mut listing: Option<StoreListing> = None;
        loop {
            let after = listing.as_ref().and_then(|read| read.more_after.as_deref());
            let call = self.store.list_stale(self.prefix, after);
            let call = gateway.call_store(self.task, StoreCallKind::StaleList, call);
            let Ok(page) = call.await else {
                return Ok(None);
            };
            if page.revision.era > era {
                return Err(StoreError::EraChanged);
            }
            if page.revision.era < era {
                return Ok(None);
            }
            let read = match listing.take() {
                None => page,
                Some(mut read) => {
                    // Pages may be of different ages; only what the oldest shows is complete.
                    read.revision = read.revision.min(page.revision);
                    read.entries.extend(page.entries);
                    read.more_after = page.more_after;
                    read
                }
            };
            if read.more_after.is_none() {
                return Ok(self.accept_listing(read));
            }
            listing = Some(read);
        }
    }

    /// Returns the listing and moves on to its position, if that is newer than what is known.
    fn accept_listing(&mut self, listing: StoreListing) -> Option<StoreListing> {
        if listing.revision <= self.after {
            return None;
        }
        let latest = latest_change(&listing.entries);
        self.latest_change = self.latest_change.max(latest);
        self.move_to(listing.revision);
        self.published = listing.revision;
        Some(listing)
    }

    /// Returns whether listings that may be stale show the present era.
    fn trusts_stale(&self) -> bool {
        let now = self.gateway.now();
        let since = self.gateway.store_news.era_known_since();
        since.is_some_and(|at| now.saturating_duration_since(at) >= MAX_STALE_AGE)
    }

    /// Returns the next changes that other VMs told of, if they follow what is known.
    fn take_news(&mut self) -> Option<WatchOutcome> {
        if !self.uses_news() {
            return None;
        }
        let board = &self.gateway.store_news;
        let (changes, through) = board.with_inbox(self.prefix, |inbox| inbox.take_next())?;
        Some(self.apply_news(changes, through))
    }

    fn apply_news(&mut self, changes: Vec<StoreChange>, through: StoreRevision) -> WatchOutcome {
        let gateway = self.gateway;
        gateway.metrics.count_tagged("store.news", "applied");
        info!(gateway.log, "store news applied"; "task" => %self.task,
            "changes" => changes.len(), "before" => %self.after, "through" => %through);
        self.record_changes(&changes);
        self.move_to(through);
        self.published = through;
        WatchOutcome::Changes(changes)
    }

    /// Records what a watch delivered, and tells the other VMs.
    fn record_batch(&mut self, revision: StoreRevision, changes: &[StoreChange]) {
        let through = self.after.max(revision);
        if !changes.is_empty() {
            self.is_delivered_by_watch = true;
            self.record_changes(changes);
            if self.uses_news() {
                let board = &self.gateway.store_news;
                let now = self.gateway.now();
                let mut outbox = board.outbox.borrow_mut();
                outbox.publish(self.prefix, self.published, through, changes, now);
                board.published.notify_one();
            }
            self.published = through;
        }
        self.move_to(through);
    }

    fn record_changes(&mut self, changes: &[StoreChange]) {
        let revisions = changes.iter().map(|change| change.revision);
        self.latest_change = revisions.fold(self.latest_change, StoreRevision::max);
    }

    fn move_to(&mut self, revision: StoreRevision) {
        self.after = revision;
        let board = &self.gateway.store_news;
        board.with_inbox(self.prefix, |inbox| inbox.record_known(revision));
    }

    /// Lets the other VMs know up to where they should know the changes.
    fn announce_position(&self) {
        let board = &self.gateway.store_news;
        let mut outbox = board.outbox.borrow_mut();
        if !self.uses_news() {
            outbox.clear_position(self.prefix);
        } else if outbox.set_position(self.prefix, self.latest_change) {
            board.published.notify_one();
        }
    }

    fn uses_news(&self) -> bool {
        uses_news(self.gateway.vm_count())
    }

    /// Waits until this VM is a short watcher and the watch is older than
    /// `LONG_WATCH_MAX_AGE`.
    async fn wait_until_overdue(&self) {
        sleep(LONG_WATCH_MAX_AGE).await;
        while !self.is_short_watcher() {
            sleep(ROLE_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether this VM is one of the short watchers of the task.
    fn is_short_watcher(&self) -> bool {
        self.role() == WatchRole::Short
    }

    fn role(&self) -> WatchRole {
        watch_role(self.gateway, self.task)
    }

    fn log_end(&self, end: WatchEnd, began: Instant) {
        let gateway = self.gateway;
        let reason: &'static str = end.into();
        gateway.metrics.count_tagged("store.watch_ended", reason);
        info!(gateway.log, "store watch ended"; "task" => %self.task, "reason" => %end,
            "waited_ms" => self.waited_ms(began), "after" => %self.after);
    }

    fn log_failure(&self, error: &StoreError, began: Instant) {
        let gateway = self.gateway;
        gateway.metrics.count_tagged("store.watch_ended", "failed");
        info!(gateway.log, "store watch failed"; "task" => %self.task, "error" => %error,
            "waited_ms" => self.waited_ms(began), "after" => %self.after);
    }

    fn waited_ms(&self, began: Instant) -> u64 {
        let now = self.gateway.now();
        now.saturating_duration_since(began).as_millis() as u64
    }
}

/// Returns how a VM follows the changes of a task.
pub fn watch_role(gateway: &Gateway, task: StoreTask) -> WatchRole {
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    let reaching = || peers.reaching_store(now).map(|record| &record.vm);
    let is_alone = reaching().next().is_none();
    let own = &gateway.settings.vm;
    let short_watchers = task.short_watchers();
    if !uses_news(gateway.vm_count()) {
        let is_short = match short_watchers {
            ShortWatchers::None => false,
            ShortWatchers::IfAlone => is_alone,
            ShortWatchers::Two => uses_short_watch(own, reaching(), task),
        };
        return if is_short {
            WatchRole::Short
        } else {
            WatchRole::Long
        };
    }
    let heard = || peers.live_serving(now).map(|record| &record.vm);
    let hears_none = heard().next().is_none();
    let is_watcher = if gateway.store_contact.get().is_failing() {
        // In an outage, two VMs find out for all that the store is back. If they were chosen
        // among those that reach it, all would be, as soon as the first one does.
        uses_short_watch(own, heard(), task)
    } else if !is_alone {
        uses_short_watch(own, reaching(), task)
    } else {
        let age = now.saturating_duration_since(gateway.created_at);
        age >= START_PERIOD || !hears_none
    };
    match short_watchers {
        _ if !is_watcher => WatchRole::News,
        ShortWatchers::None => WatchRole::Long,
        ShortWatchers::IfAlone if !hears_none => WatchRole::Long,
        ShortWatchers::IfAlone | ShortWatchers::Two => WatchRole::Short,
    }
}

/// Returns the revision of the last change that the entries of a listing show.
pub fn latest_change(entries: &[(String, StoredValue)]) -> StoreRevision {
    let revisions = entries.iter().map(|(_, stored)| stored.revision);
    revisions.max().unwrap_or_default()
}
