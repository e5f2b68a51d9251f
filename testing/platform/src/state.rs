//! Everything that the stand-in's handlers share.

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

use crate::fault::CallFate;
use crate::fault::CountReport;
use crate::fault::FaultChange;
use crate::fault::FaultPlan;
use crate::vms::VmHistory;

/// The platform's services; clones share one state.
#[derive(Clone)]
pub struct PlatformState {
    inner: Arc<Mutex<Inner>>,
    revision: watch::Sender<StoreRevision>,
}

struct Inner {
    core: StoreCore,
    plan: FaultPlan,
    vms: VmHistory,
    weights: IndexMap<String, ByteCount>,
    fates: IndexMap<String, u64>,
}

/// What became of a store call, with the answer if there is one.
pub struct CallResult {
    /// What to do with the call.
    pub fate: CallFate,
    /// The store's answer where the call was carried out.
    pub answer: Option<StoreAnswer>,
    /// How long to delay the answer.
    pub delay: Duration,
}

impl PlatformState {
    /// Makes an empty platform with the given rates in calls per second.
    pub fn new(writes: u32, reads: u32) -> Self {
        let inner = Inner {
            core: StoreCore::new(),
            plan: FaultPlan::new(writes, reads, Instant::now()),
            vms: VmHistory::default(),
            weights: IndexMap::new(),
            fates: IndexMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            revision: watch::Sender::new(StoreRevision::default()),
        }
    }

    /// Decides on a store call and carries it out where it takes effect.
    pub fn call(&self, call: &StoreCall, client: &[&str]) -> CallResult {
        let now = Instant::now();
        let mut inner = self.lock();
        let fate = inner.plan.store_fate(call.kind(), client, now);
        inner.count(fate);
        let answer = match fate {
            CallFate::Answer | CallFate::LoseReply => Some(inner.core.apply(call, now)),
            CallFate::Vanish | CallFate::Refuse | CallFate::Limit => None,
        };
        self.revision.send_replace(inner.core.revision());
        CallResult {
            fate,
            answer,
            delay: inner.plan.delay(),
        }
    }

    /// Follows the store's revision.
    pub fn subscribe(&self) -> watch::Receiver<StoreRevision> {
        self.revision.subscribe()
    }

    /// Looks for changes on behalf of a waiting watch, with its fate now.
    pub fn look(
        &self,
        prefix: &str,
        after: StoreRevision,
        client: &[&str],
    ) -> (CallFate, WatchBatch) {
        let mut inner = self.lock();
        inner.core.expire(Instant::now());
        let batch = inner.core.changes_after(prefix, after);
        let fate = if inner.plan.is_cut_off(client) {
            CallFate::Vanish
        } else if inner.plan.is_out() {
            CallFate::Refuse
        } else {
            CallFate::Answer
        };
        (fate, batch)
    }

    /// Switches faults on or off.
    pub fn change_faults(&self, change: &FaultChange) {
        let mut inner = self.lock();
        inner.plan.change(change, Instant::now());
        if let Some(lag) = change.vm_list_lag_ms {
            inner.vms.set_lag(Duration::from_millis(lag));
        }
        // Waiting watches look at the faults again.
        self.revision.send_replace(inner.core.revision());
    }

    /// Replaces the VM list.
    pub fn replace_vms(&self, vms: Vec<ListedVm>) {
        self.lock()
            .vms
            .replace(vms, Instant::now(), SystemTime::now());
    }

    /// Reads the VM list as a client with these names sees it.
    pub fn read_vms(&self, client: &[&str]) -> (CallFate, Duration, VmListing) {
        let now = Instant::now();
        let mut inner = self.lock();
        let fate = inner.plan.list_fate(client, now);
        inner.count(fate);
        (fate, inner.plan.delay(), inner.vms.read(now))
    }

    /// Sets the size of the weights of a model's version.
    pub fn set_weights(&self, name: String, bytes: ByteCount) {
        self.lock().weights.insert(name, bytes);
    }

    /// Reads the size of the weights of a model's version.
    pub fn read_weights(
        &self,
        name: &str,
        client: &[&str],
    ) -> (CallFate, Duration, Option<ByteCount>) {
        let mut inner = self.lock();
        let fate = inner.plan.weight_fate(client, Instant::now());
        inner.count(fate);
        let bytes = inner.weights.get(name).copied();
        (fate, inner.plan.delay(), bytes)
    }

    /// Reports how many calls there were.
    pub fn counts(&self) -> CountReport {
        let inner = self.lock();
        CountReport {
            revision: inner.core.revision().0,
            calls: inner.core.call_counts().collect(),
            fates: inner
                .fates
                .iter()
                .map(|(fate, count)| (fate.clone(), *count))
                .collect(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn count(&mut self, fate: CallFate) {
        *self.fates.entry(fate.to_string()).or_default() += 1;
    }
}
