//! A configuration store in memory, for tests and for embedding.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use ntex::time::timeout;
use snipegate_types::SystemClock;
use snipegate_types::TimeSource;
use tokio::sync::watch;

use crate::answer;
use crate::call::StoreAnswer;
use crate::call::StoreCall;
use crate::store::ConfigStore;
use crate::store::ExpectedVersion;
use crate::store::LeaseId;
use crate::store::StoreError;
use crate::store::StoreListing;
use crate::store::StoreRevision;
use crate::store::StoredValue;
use crate::store::SwapOutcome;
use crate::store::WatchBatch;
use crate::store_core::StoreCore;

/// Longest wait between two looks at the leases, while a watch waits.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A [`ConfigStore`] within one process; clones share one state.
#[derive(Clone)]
pub struct MemoryStore {
    shared: Arc<MemoryShared>,
}

struct MemoryShared {
    clock: Arc<dyn TimeSource>,
    state: Mutex<MemoryState>,
    revision: watch::Sender<StoreRevision>,
}

#[derive(Default)]
struct MemoryState {
    core: StoreCore,
    outage: bool,
    lost_replies: u32,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new(Arc::new(SystemClock))
    }
}

impl MemoryStore {
    /// Makes an empty store whose leases follow `clock`.
    pub fn new(clock: Arc<dyn TimeSource>) -> Self {
        Self {
            shared: Arc::new(MemoryShared {
                clock,
                state: Mutex::default(),
                revision: watch::Sender::new(StoreRevision::default()),
            }),
        }
    }

    /// Makes every call fail as unreachable, or ends that.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    /// Loses the replies of the next `count` calls after they took effect.
    pub fn lose_replies(&self, count: u32) {
        self.lock().lost_replies = count;
    }

    /// Runs `look` on the state, for checks.
    pub fn inspect<T>(&self, look: impl FnOnce(&StoreCore) -> T) -> T {
        look(&self.lock().core)
    }

    /// Carries out one call now; a watch does not wait.
    ///
    /// # Errors
    ///
    /// Fails as a set outage or lost reply says.
    pub fn call(&self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
        let mut state = self.lock();
        if state.outage {
            return Err(StoreError::Unreachable);
        }
        let answer = state.core.apply(call, self.shared.clock.now());
        self.shared.revision.send_replace(state.core.revision());
        if state.lost_replies > 0 {
            state.lost_replies -= 1;
            return Err(StoreError::ReplyLost);
        }
        Ok(answer)
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn changes_after(&self, prefix: &str, after: StoreRevision) -> Result<WatchBatch, StoreError> {
        let mut state = self.lock();
        if state.outage {
            return Err(StoreError::ReplyLost);
        }
        state.core.expire(self.shared.clock.now());
        Ok(state.core.changes_after(prefix, after))
    }
}

impl ConfigStore for MemoryStore {
    async fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let key = key.to_owned();
        answer::value(self.call(&StoreCall::Read { key })?)
    }

    async fn list(&self, prefix: &str, after: Option<&str>) -> Result<StoreListing, StoreError> {
        answer::listing(self.call(&StoreCall::List {
            prefix: prefix.to_owned(),
            after: after.map(str::to_owned),
        })?)
    }

    async fn swap(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError> {
        answer::outcome(self.call(&StoreCall::Swap {
            key: key.to_owned(),
            expected,
            value,
            lease,
        })?)
    }

    async fn remove(
        &self,
        key: &str,
        expected: ExpectedVersion,
    ) -> Result<SwapOutcome, StoreError> {
        answer::outcome(self.call(&StoreCall::Remove {
            key: key.to_owned(),
            expected,
        })?)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let deadline = self.shared.clock.now() + wait;
        let mut revision = self.shared.revision.subscribe();
        let mut batch = answer::batch(self.call(&StoreCall::Watch {
            prefix: prefix.to_owned(),
            after,
            wait_ms: wait.as_millis() as u64,
        })?)?;
        while batch.is_empty() {
            let left = deadline.saturating_duration_since(self.shared.clock.now());
            if left.is_zero() {
                break;
            }
            // Leases lapse without a call, so the wait is cut into short ones.
            let _ = timeout(left.min(LEASE_CHECK_INTERVAL), revision.changed()).await;
            batch = self.changes_after(prefix, after)?;
        }
        Ok(batch)
    }

    async fn create_lease(&self, time_to_live: Duration) -> Result<LeaseId, StoreError> {
        let time_to_live_ms = time_to_live.as_millis() as u64;
        answer::lease(self.call(&StoreCall::CreateLease { time_to_live_ms })?)
    }

    async fn keep_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        answer::kept(self.call(&StoreCall::KeepLease { lease })?)
    }
}
