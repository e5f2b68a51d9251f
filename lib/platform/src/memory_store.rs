//! An in-memory configuration store, for tests and for embedding.

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

/// Maximum interval between checks for expired leases while a watch waits.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An in-memory [`ConfigStore`]. Clones share the same state.
#[derive(Clone)]
pub struct MemoryStore {
    shared: Arc<SharedState>,
}

struct SharedState {
    clock: Arc<dyn TimeSource>,
    state: Mutex<StoreState>,
    revision: watch::Sender<StoreRevision>,
}

#[derive(Default)]
struct StoreState {
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
    /// Creates an empty store whose leases expire according to `clock`.
    pub fn new(clock: Arc<dyn TimeSource>) -> Self {
        Self {
            shared: Arc::new(SharedState {
                clock,
                state: Mutex::default(),
                revision: watch::Sender::new(StoreRevision::default()),
            }),
        }
    }

    /// Starts or ends an outage, during which every call fails as unreachable.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    /// Loses the replies of the next `count` calls, which still take effect.
    pub fn lose_replies(&self, count: u32) {
        self.lock().lost_replies = count;
    }

    /// Calls `inspector` with the store's state, for assertions in tests.
    pub fn inspect<T>(&self, inspector: impl FnOnce(&StoreCore) -> T) -> T {
        inspector(&self.lock().core)
    }

    /// Executes a call immediately. A watch does not wait for changes.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unreachable`] during an outage and
    /// [`StoreError::ReplyLost`] for calls affected by [`MemoryStore::lose_replies`].
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

    fn lock(&self) -> MutexGuard<'_, StoreState> {
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
            let remaining = deadline.saturating_duration_since(self.shared.clock.now());
            if remaining.is_zero() {
                break;
            }
            // Waits in short intervals, since leases expire without a call that
            // would signal the change.
            let _ = timeout(remaining.min(LEASE_CHECK_INTERVAL), revision.changed()).await;
            batch = self.changes_after(prefix, after)?;
        }
        Ok(batch)
    }

    async fn create_lease(&self, time_to_live: Duration) -> Result<LeaseId, StoreError> {
        let time_to_live_ms = time_to_live.as_millis() as u64;
        answer::lease(self.call(&StoreCall::CreateLease { time_to_live_ms })?)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        answer::kept(self.call(&StoreCall::KeepLease { lease })?)
    }
}
