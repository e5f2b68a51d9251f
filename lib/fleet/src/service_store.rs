//! The loops by which a keeper follows the store and the VM list, and maintains its
//! own record.

use std::time::Duration;
use std::time::Instant;

use ntex::time::sleep;
use slog::error;
use slog::info;
use slog::warn;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::VmList;
use snipegate_service::ProcessState;

use crate::back_off::BackOff;
use crate::exchange::LeaveMark;
use crate::key::FleetKey;
use crate::member::MemberState;
use crate::register::register_member;
use crate::registration::Registration;
use crate::registration::RegistrationStep;
use crate::service::FleetCore;
use crate::upstream::UpstreamState;
use crate::view_state::MergeOutcome;

/// How long the store may hold a watch open. This is also the maximum age of a
/// watcher's view while nothing changes.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time without a fresh reply from a peer after which a keeper watches the store even
/// though it is not one of the watchers.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a keeper that does not watch the store checks whether it has to.
const WATCH_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Delay before a starting keeper contacts the store, so that it can first get the
/// view from a peer.
const STORE_START_DELAY: Duration = Duration::from_millis(500);
/// Interval between checks of the keeper's own record.
const REGISTRATION_PERIOD: Duration = Duration::from_secs(1);
/// Interval between reads of the VM list.
const VM_LIST_PERIOD: Duration = Duration::from_secs(5);

impl FleetCore {
    /// Lists and watches the store whenever this keeper has to.
    pub(crate) async fn follow_store<S: ConfigStore>(&self, store: &S) {
        let mut back_off = BackOff::new(Duration::from_millis(50), Duration::from_secs(1));
        if !self.settings.seeds.is_empty() {
            sleep(STORE_START_DELAY).await;
        }
        loop {
            if !self.should_watch(self.clock.now()) {
                sleep(WATCH_CHECK_PERIOD).await;
                continue;
            }
            match self.poll_store(store).await {
                Ok(()) => {
                    self.record_store_call(true);
                    if back_off.consecutive_failures() > 0 {
                        info!(
                            self.context.logger,
                            "configuration store is reachable again"
                        );
                    }
                    back_off.reset();
                    self.write_leave_marks(store).await;
                }
                Err(error) => {
                    self.record_store_call(matches!(error, StoreError::RateLimited { .. }));
                    self.context.metrics.count("fleet.store_failures");
                    if back_off.consecutive_failures() == 0 {
                        warn!(self.context.logger, "configuration store call failed";
                            "error" => error.to_string());
                    }
                    sleep(back_off.next_delay()).await;
                }
            }
        }
    }

    fn should_watch(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        let has_fresh_peer = state
            .fresh_peer_reply_at
            .is_some_and(|then| now.saturating_duration_since(then) < PEER_TIMEOUT);
        // A keeper that has lost the store has to notice when it is reachable again.
        let store_lost = state.store_health.is_lost(now);
        let is_watcher = state.watchers.contains(&self.own_id().vm);
        !state.view_state.is_ready() || !has_fresh_peer || store_lost || is_watcher
    }

    /// Lists the store if this keeper has no complete configuration, or else watches it
    /// once.
    async fn poll_store<S: ConfigStore>(&self, store: &S) -> Result<(), StoreError> {
        if !self.state.borrow().view_state.is_ready() {
            return self.list_store(store).await;
        }
        let after = self.state.borrow().view_state.complete_to();
        let requested_at = self.clock.now();
        let batch = store.watch(FleetKey::PREFIX, after, WATCH_WAIT).await?;
        let outcome = self
            .state
            .borrow_mut()
            .view_state
            .apply_watch(after, &batch, requested_at);
        if outcome == MergeOutcome::Behind {
            return self.list_store(store).await;
        }
        self.publish(outcome);
        Ok(())
    }

    async fn list_store<S: ConfigStore>(&self, store: &S) -> Result<(), StoreError> {
        self.context.metrics.count("fleet.listings");
        let mut after: Option<String> = None;
        loop {
            let requested_at = self.clock.now();
            let page = store.list(FleetKey::PREFIX, after.as_deref()).await?;
            let mut state = self.state.borrow_mut();
            if after.is_none() {
                state.view_state.begin_listing();
            }
            state.view_state.apply_page(&page, requested_at);
            drop(state);
            after = page.more_after;
            if after.is_none() {
                self.publish(MergeOutcome::Changed);
                return Ok(());
            }
        }
    }

    /// Writes the leave marks that were set during a store outage to the upstreams'
    /// records.
    async fn write_leave_marks<S: ConfigStore>(&self, store: &S) {
        let view = self.view();
        let marks: Vec<LeaveMark> = view.leave_marks().cloned().collect();
        for mark in marks {
            let Some(entry) = view.upstream(&mark.upstream) else {
                continue;
            };
            if entry.revision > mark.over || entry.record.state == UpstreamState::Leaving {
                continue;
            }
            let mut record = entry.record.clone();
            record.state = UpstreamState::Leaving;
            let key = FleetKey::Upstream(mark.upstream).to_string();
            let value = serde_json::to_vec(&record).expect("records have only string keys");
            let expected = ExpectedVersion::At(entry.revision);
            // A conflict means that the record has changed in the meantime. The watch
            // will deliver the new version.
            let result = store.swap(&key, expected, value, None).await;
            if result.is_ok() {
                self.context.metrics.count("fleet.leave_marks_written");
            }
        }
    }

    /// Registers this keeper and keeps its record up to date.
    pub(crate) async fn keep_registered<S: ConfigStore>(&self, store: &S) {
        loop {
            let mut registration = self.wanted_registration();
            let registered = register_member(store, &mut registration).await;
            self.state.borrow_mut().registration = registration;
            if let Err(by) = registered {
                error!(self.context.logger, "superseded"; "by" => by.to_string());
                self.context.set_state(ProcessState::Stopping);
                return;
            }
            sleep(REGISTRATION_PERIOD).await;
        }
    }

    fn wanted_registration(&self) -> Registration {
        let view = self.view();
        let state = self.state.borrow();
        let mut registration = state.registration.clone();
        if let RegistrationStep::Registered(revision) = registration.step()
            && revision < view.revision()
            && view.member(&self.own_id().vm, self.own_id().role).is_none()
        {
            registration = Registration::new(registration.wanted().clone());
        }
        let listed = state.deaths.listed_at(&self.own_id().vm);
        registration.change(|record| record.listed_at = record.listed_at.or(listed));
        if state.is_leaving {
            registration.change(|record| record.state = MemberState::Leaving);
        }
        registration
    }

    /// Reads the VM list periodically.
    pub(crate) async fn follow_vm_list<V: VmList>(&self, vms: &V) {
        loop {
            match vms.read_vms().await {
                Ok(listing) => {
                    let newer = self.state.borrow_mut().deaths.observe(listing);
                    if newer {
                        self.publish_deaths();
                    }
                }
                Err(_) => self.context.metrics.count("fleet.vm_list_failures"),
            }
            sleep(VM_LIST_PERIOD).await;
        }
    }
}
