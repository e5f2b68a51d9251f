//! Calls to the configuration store, with tracking of outages.

use std::time::Instant;

use slog::info;
use slog::warn;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreError;

use crate::gateway::Gateway;
use crate::stage::VmStage;
use crate::store_gate::RetryRole;
use crate::store_gate::longest_pause;
use crate::store_news::uses_news;
use crate::store_task::StoreCallKind;
use crate::store_task::StoreTask;
use crate::store_watch::WatchRole;
use crate::store_watch::watch_role;

impl Gateway {
    /// Awaits a store call of `task`, counts it and records whether the store answered. A call
    /// that is abandoned counts, since it is paid for.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn call_store<T>(
        &self,
        task: StoreTask,
        kind: StoreCallKind,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.metrics
            .count_tagged("store.call", &format!("{task}.{kind}"));
        let began = self.now();
        let result = call.await;
        self.record_store_result(task, began, result.as_ref().err());
        result
    }

    fn record_store_result(&self, task: StoreTask, began: Instant, error: Option<&StoreError>) {
        let mut contact = self.store_contact.get();
        let now = self.now();
        match error {
            None | Some(StoreError::LeaseExpired | StoreError::ValueTooLarge { .. }) => {
                if let Some(outage) = contact.record_answer(now) {
                    self.gossip_notify.notify_one();
                    self.store_regained.notify_waiters();
                    info!(self.log, "store regained"; "task" => %task,
                        "lost_ms" => outage.as_millis() as u64);
                    self.upstreams.borrow_mut().record_store_recovery(now);
                    // Failures during the outage say nothing about the present.
                    self.failed_keepers.borrow_mut().clear();
                }
                self.store_gate.open();
            }
            Some(error) => {
                self.metrics
                    .count_tagged("store.failed", error_label(error));
                if contact.record_failure(began, now) {
                    let waited = now.saturating_duration_since(began);
                    info!(self.log, "store call failed"; "task" => %task, "error" => %error,
                        "waited_ms" => waited.as_millis() as u64);
                }
            }
        }
        self.store_contact.set(contact);
    }

    /// Returns the latest known era of the store.
    pub fn known_era(&self) -> StoreEra {
        self.store_era.get().unwrap_or_default()
    }

    /// Records the era of an answer to a call of `task`.
    ///
    /// # Errors
    ///
    /// Fails if the answer is from an earlier era than the known one.
    pub fn observe_era(&self, era: StoreEra, task: StoreTask) -> Result<(), StoreError> {
        let known = self.store_era.get();
        if known.is_some_and(|known| known > era) {
            self.metrics.count("store.outdated_answer");
            info!(self.log, "answer of an earlier era"; "task" => %task, "era" => era.0,
                "known" => self.known_era().0);
            return Err(StoreError::EraChanged);
        }
        self.era_contacts.borrow_mut().record(era, self.now());
        if known == Some(era) {
            return Ok(());
        }
        self.store_era.set(Some(era));
        let Some(before) = known else {
            info!(self.log, "store era known"; "task" => %task, "era" => era.0);
            return Ok(());
        };
        self.metrics.count("store.era_changed");
        warn!(self.log, "store came back from an older copy"; "task" => %task,
            "before" => before.0, "era" => era.0,
            "lost_ms" => self.store_contact.get().failing_for(self.now()).as_millis() as u64);
        self.upstreams.borrow_mut().enter_era(self.now());
        self.era_changed.notify_waiters();
        self.grant_notify.notify_one();
        Ok(())
    }

    /// Returns whether this process knows all grants of its VM that the store had forgotten when
    /// `era` began.
    pub fn knows_grants_before(&self, era: StoreEra) -> bool {
        let max_copy_age = self.settings.max_copy_age;
        self.era_contacts
            .borrow()
            .knows_grants_before(era, self.created_at, max_copy_age)
    }

    /// Waits until a failed call should be retried.
    pub async fn wait_for_store(&self) {
        let failing = self.store_contact.get().failing_for(self.now());
        let longest = longest_pause(self.vm_count(), self.retry_role());
        self.store_gate.wait_as(failing, longest).await;
    }

    /// Returns whether this VM finds out by itself that the store is back.
    fn retry_role(&self) -> RetryRole {
        let is_serving = self.stage.get() == VmStage::Serving;
        if !is_serving || !uses_news(self.vm_count()) {
            return RetryRole::Each;
        }
        let follows_news = |task| watch_role(self, task) == WatchRole::News;
        match follows_news(StoreTask::Config) && follows_news(StoreTask::Upstreams) {
            true => RetryRole::Told,
            false => RetryRole::Prober,
        }
    }
}

fn error_label(error: &StoreError) -> &'static str {
    match error {
        StoreError::Unreachable => "unreachable",
        StoreError::ReplyLost => "reply_lost",
        StoreError::RateLimited { .. } => "rate_limited",
        StoreError::ValueTooLarge { .. } => "value_too_large",
        StoreError::LeaseExpired => "lease_lapsed",
        StoreError::InvalidReply => "bad_reply",
        StoreError::EraChanged => "other_era",
    }
}
