//! How a keeper follows the store and the VM list.

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
use crate::view_keeper::MergeOutcome;

/// How long the store may hold a watch open; also how old a watcher's knowledge
/// gets while nothing changes.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// How long a keeper that does not watch goes without a peer's fresh answer
/// before it watches the store itself.
const PEER_SILENCE: Duration = Duration::from_secs(2);
/// Time between two looks at whether to watch.
const IDLE_WAIT: Duration = Duration::from_millis(250);
/// Head start of peers over the store for a keeper that knows nothing.
const PEERS_FIRST: Duration = Duration::from_millis(500);
/// Time between two looks at whether the own record is still true.
const REGISTRATION_PERIOD: Duration = Duration::from_secs(1);
/// Time between two readings of the VM list.
const VM_LIST_PERIOD: Duration = Duration::from_secs(5);

impl FleetCore {
    /// Lists and watches the store while this keeper has to.
    pub(crate) async fn follow_store<S: ConfigStore>(&self, store: &S) {
        let mut back_off = BackOff::new(Duration::from_millis(50), Duration::from_secs(1));
        if !self.settings.seeds.is_empty() {
            sleep(PEERS_FIRST).await;
        }
        loop {
            if !self.must_watch(self.clock.now()) {
                sleep(IDLE_WAIT).await;
                continue;
            }
            match self.hear_store(store).await {
                Ok(()) => {
                    self.note_store_call(true);
                    if back_off.failures() > 0 {
                        info!(self.context.logger, "configuration store answers");
                    }
                    back_off.succeeded();
                    self.write_leave_marks(store).await;
                }
                Err(error) => {
                    self.note_store_call(matches!(error, StoreError::RateLimited { .. }));
                    self.context.metrics.count("fleet.store_failures");
                    if back_off.failures() == 0 {
                        warn!(self.context.logger, "configuration store fails";
                            "error" => error.to_string());
                    }
                    sleep(back_off.failed()).await;
                }
            }
        }
    }

    fn must_watch(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        let heard = state
            .peer_answered
            .is_some_and(|then| now.saturating_duration_since(then) < PEER_SILENCE);
        // A keeper that has lost the store has to hear when it is back.
        let lost = state.store_health.is_lost(now);
        !state.keeper.is_ready() || !heard || lost || state.watchers.contains(&self.me().vm)
    }

    async fn hear_store<S: ConfigStore>(&self, store: &S) -> Result<(), StoreError> {
        if !self.state.borrow().keeper.is_ready() {
            return self.list_store(store).await;
        }
        let after = self.state.borrow().keeper.complete_to();
        let asked = self.clock.now();
        let batch = store.watch(FleetKey::PREFIX, after, WATCH_WAIT).await?;
        let outcome = self
            .state
            .borrow_mut()
            .keeper
            .apply_watch(after, &batch, asked);
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
            let asked = self.clock.now();
            let page = store.list(FleetKey::PREFIX, after.as_deref()).await?;
            let mut state = self.state.borrow_mut();
            if after.is_none() {
                state.keeper.begin_listing();
            }
            state.keeper.apply_page(&page, asked);
            drop(state);
            after = page.more_after;
            if after.is_none() {
                self.publish(MergeOutcome::Changed);
                return Ok(());
            }
        }
    }

    /// Writes the orders to leave that were given while the store was out.
    async fn write_leave_marks<S: ConfigStore>(&self, store: &S) {
        let view = self.view();
        let open: Vec<LeaveMark> = view.leave_marks().cloned().collect();
        for mark in open {
            let Some(entry) = view.upstream(&mark.upstream) else {
                continue;
            };
            if entry.revision > mark.over || entry.record.state == UpstreamState::Leaving {
                continue;
            }
            let mut record = entry.record.clone();
            record.state = UpstreamState::Leaving;
            let key = FleetKey::Upstream(mark.upstream).to_string();
            let value = serde_json::to_vec(&record).expect("records have text keys only");
            let expected = ExpectedVersion::At(entry.revision);
            // A conflict means that somebody else wrote the record; the watch
            // brings what it says.
            let written = store.swap(&key, expected, value, None).await;
            if written.is_ok() {
                self.context.metrics.count("fleet.leave_marks_written");
            }
        }
    }

    /// Registers this keeper and keeps its record true.
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
            && view.member(&self.me().vm, self.me().role).is_none()
        {
            registration = Registration::new(registration.wanted().clone());
        }
        let listed = state.deaths.listed_at(&self.me().vm);
        registration.change(|record| record.listed_at = record.listed_at.or(listed));
        if state.is_leaving {
            registration.change(|record| record.state = MemberState::Leaving);
        }
        registration
    }

    /// Reads the VM list from time to time.
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
