//! State shared by the stand-in's request handlers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use indexmap::IndexMap;
use snipegate_platform::ListedVm;
use snipegate_platform::StoreAnswer;
use snipegate_platform::StoreCall;
use snipegate_platform::StoreCore;
use snipegate_platform::StoreRevision;
use snipegate_platform::VmListing;
use snipegate_platform::WatchBatch;
use snipegate_types::ByteCount;
use tokio::sync::watch;

use crate::fault::ActiveFaults;
use crate::fault::CallAction;
use crate::fault::CountReport;
use crate::fault::FaultChange;
use crate::vms::VmHistory;

/// State of the platform's services, shared among clones.
#[derive(Clone)]
pub struct PlatformState {
    inner: Arc<Mutex<Inner>>,
    revision: watch::Sender<StoreRevision>,
}

struct Inner {
    core: StoreCore,
    faults: ActiveFaults,
    vms: VmHistory,
    weights: IndexMap<String, ByteCount>,
    fates: IndexMap<String, u64>,
}

/// Result of a store call.
pub struct CallResult {
    /// How to handle the call.
    pub action: CallAction,
    /// The store's answer, if the call was executed.
    pub answer: Option<StoreAnswer>,
    /// Delay of the reply.
    pub delay: Duration,
}

impl PlatformState {
    /// Creates an empty platform with the given rate limits in calls per second.
    pub fn new(writes: u32, reads: u32) -> Self {
        let inner = Inner {
            core: StoreCore::new(),
            faults: ActiveFaults::new(writes, reads, Instant::now()),
            vms: VmHistory::default(),
            weights: IndexMap::new(),
            fates: IndexMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            revision: watch::Sender::new(StoreRevision::default()),
        }
    }

    /// Determines how to handle a store call and executes it if required.
    pub fn call(&self, call: &StoreCall, client: &[&str]) -> CallResult {
        let now = Instant::now();
        let mut inner = self.lock();
        let action = inner.faults.store_call_action(call.kind(), client, now);
        inner.count(action);
        let answer = match action {
            CallAction::Answer | CallAction::LoseReply => Some(inner.core.apply(call, now)),
            CallAction::Vanish | CallAction::Refuse | CallAction::Limit => None,
        };
        self.revision.send_replace(inner.core.revision());
        CallResult {
            action,
            answer,
            delay: inner.faults.delay(),
        }
    }

    /// Returns a receiver that is notified of new store revisions.
    pub fn subscribe(&self) -> watch::Receiver<StoreRevision> {
        self.revision.subscribe()
    }

    /// Returns the changes for a waiting watch and how to handle it.
    pub fn poll_watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        client: &[&str],
    ) -> (CallAction, WatchBatch) {
        let mut inner = self.lock();
        inner.core.expire(Instant::now());
        let batch = inner.core.changes_after(prefix, after);
        let action = if inner.faults.is_cut_off(client) {
            CallAction::Vanish
        } else if inner.faults.is_outage_active() {
            CallAction::Refuse
        } else {
            CallAction::Answer
        };
        (action, batch)
    }

    /// Applies a change to the faults and rate limits.
    pub fn change_faults(&self, change: &FaultChange) {
        let mut inner = self.lock();
        inner.faults.change(change, Instant::now());
        if let Some(lag) = change.vm_list_lag_ms {
            inner.vms.set_lag(Duration::from_millis(lag));
        }
        // Wake up waiting watches so that they check the faults again.
        self.revision.send_replace(inner.core.revision());
    }

    /// Replaces the VM list.
    pub fn replace_vms(&self, vms: Vec<ListedVm>) {
        self.lock()
            .vms
            .replace(vms, Instant::now(), SystemTime::now());
    }

    /// Reads the VM list for the given client.
    pub fn read_vms(&self, client: &[&str]) -> (CallAction, Duration, VmListing) {
        let now = Instant::now();
        let mut inner = self.lock();
        let action = inner.faults.vm_list_action(client, now);
        inner.count(action);
        (action, inner.faults.delay(), inner.vms.read(now))
    }

    /// Sets the size of the weights of a model version.
    pub fn set_weights(&self, name: String, bytes: ByteCount) {
        self.lock().weights.insert(name, bytes);
    }

    /// Reads the size of the weights of a model version.
    pub fn read_weights(
        &self,
        name: &str,
        client: &[&str],
    ) -> (CallAction, Duration, Option<ByteCount>) {
        let mut inner = self.lock();
        let action = inner.faults.weight_call_action(client, Instant::now());
        inner.count(action);
        let bytes = inner.weights.get(name).copied();
        (action, inner.faults.delay(), bytes)
    }

    /// Returns the store revision and the call counts.
    pub fn counts(&self) -> CountReport {
        let inner = self.lock();
        CountReport {
            revision: inner.core.revision().number,
            calls: inner.core.call_counts().collect(),
            fates: inner
                .fates
                .iter()
                .map(|(action, count)| (action.clone(), *count))
                .collect(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn count(&mut self, action: CallAction) {
        *self.fates.entry(action.to_string()).or_default() += 1;
    }
}
