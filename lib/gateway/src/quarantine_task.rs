//! Keeps the quarantine of features in the store, for VMs that start later or that hear no
//! other VM.

use std::cell::RefCell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::feature_guard::FeatureSource;
use crate::feature_guard::TrialClaim;
use crate::feature_guard::merge_quarantine;
use crate::gateway::Gateway;
use crate::gateway::duty_rendezvous_weight;
use crate::local_response::jitter;
use crate::quarantine::QuarantineRecord;
use crate::quarantine::QuarantineTable;
use crate::store_task::StoreCallKind;
use crate::store_task::StoreTask;
use crate::store_watch::StoreWatch;
use crate::store_watch::WatchOutcome;
use crate::store_watch::latest_change;

/// Longest time that one watch waits. VMs that hear others learn of changes by gossip.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Interval at which records that are not stored yet are looked at again.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How long VMs other than the one whose duty it is wait before they write a record.
const STAND_IN_DELAY: Duration = Duration::from_millis(1000);

/// Delay after a write that failed.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The quarantine as this VM last read or wrote it.
#[derive(Default)]
struct StoredQuarantine {
    records: Vec<QuarantineRecord>,
    /// Revision of the stored value; `None` if there is no value.
    revision: Option<StoreRevision>,
}

type SharedQuarantine = Rc<RefCell<StoredQuarantine>>;

/// Follows and writes the stored quarantine until the process ends.
pub async fn maintain_quarantine<S: ConfigStore + 'static>(gateway: Rc<Gateway>, store: Rc<S>) {
    let stored = SharedQuarantine::default();
    let follower = (Rc::clone(&gateway), Rc::clone(&store), Rc::clone(&stored));
    spawn_local(follow_quarantine(follower.0, follower.1, follower.2));
    loop {
        let changed = gateway.crash_features.quarantine_changed.notified();
        let _ = timeout(POLL_INTERVAL, changed).await;
        if !gateway.crash_features.is_quarantine_known.get() {
            continue;
        }
        claim_trials(&gateway, &*store, &stored).await;
        if let Err(error) = write_news(&gateway, &*store, &stored).await {
            info!(gateway.log, "failed to write quarantine"; "error" => %error);
            sleep(jitter(RETRY_DELAY)).await;
        }
    }
}

async fn follow_quarantine<S: ConfigStore>(
    gateway: Rc<Gateway>,
    store: Rc<S>,
    stored: SharedQuarantine,
) {
    loop {
        if read_and_watch(&gateway, &*store, &stored).await.is_err() {
            gateway.wait_for_store().await;
        }
    }
}

async fn read_and_watch<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
    stored: &SharedQuarantine,
) -> Result<(), StoreError> {
    let key = gateway.wire_format.layout().quarantine_key;
    let call = store.list(key, None);
    let listing = gateway
        .call_store(StoreTask::Quarantine, StoreCallKind::List, call)
        .await?;
    gateway.observe_era(listing.revision.era, StoreTask::Quarantine)?;
    let (revision, latest) = (listing.revision, latest_change(&listing.entries));
    apply_stored(gateway, stored, find_stored(listing, key));
    gateway.crash_features.is_quarantine_known.set(true);
    gateway.update_stage();
    let task = StoreTask::Quarantine;
    let mut watch = StoreWatch::new(gateway, store, task, key, revision, latest);
    // News and listings may be older than what this VM wrote itself.
    let is_older = |revision: StoreRevision| {
        let own = stored.borrow().revision;
        own.is_some_and(|own| own > revision)
    };
    loop {
        let outcome = watch.next_changes(WATCH_WAIT, async |_| pending().await);
        let changes = match outcome.await? {
            WatchOutcome::Changes(changes) => changes,
            WatchOutcome::Listed(listing) => {
                if !is_older(listing.revision) {
                    apply_stored(gateway, stored, find_stored(listing, key));
                }
                continue;
            }
            WatchOutcome::Relist => return Ok(()),
        };
        for change in changes.into_iter().filter(|change| change.key == key) {
            let revision = change.revision;
            if is_older(revision) {
                continue;
            }
            let value = change.value.map(|value| StoredValue { revision, value });
            apply_stored(gateway, stored, value);
        }
    }
}

fn find_stored(listing: StoreListing, key: &str) -> Option<StoredValue> {
    let mut entries = listing.entries.into_iter();
    let entry = entries.find(|(name, _)| name == key);
    entry.map(|(_, stored)| stored)
}

/// Applies the stored value; one that can't be decoded holds no records and is replaced by
/// the next write.
fn apply_stored(gateway: &Gateway, stored: &SharedQuarantine, value: Option<StoredValue>) {
    let revision = value.as_ref().map(|value| value.revision);
    let records = value.map_or_else(Vec::new, |value| decode_records(gateway, &value));
    *stored.borrow_mut() = StoredQuarantine {
        records: records.clone(),
        revision,
    };
    merge_quarantine(gateway, records, FeatureSource::Store);
}

fn decode_records(gateway: &Gateway, value: &StoredValue) -> Vec<QuarantineRecord> {
    rmp_serde::from_slice(&value.value).unwrap_or_else(|error| {
        warn!(gateway.log, "failed to decode quarantine"; "error" => %error,
            "revision" => %value.revision);
        Vec::new()
    })
}

/// Writes the known records if the store lacks some.
async fn write_news<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
    stored: &SharedQuarantine,
) -> Result<(), StoreError> {
    let lacks_news = || {
        let table = gateway.crash_features.table.borrow();
        table.is_ahead_of(&stored.borrow().records)
    };
    if !lacks_news() || gateway.store_contact.get().is_failing() {
        return Ok(());
    }
    if !has_duty(gateway) {
        sleep(jitter(STAND_IN_DELAY)).await;
    }
    while lacks_news() && !gateway.store_contact.get().is_failing() {
        let records = gateway.crash_features.table.borrow().records();
        write_records(gateway, store, stored, records).await?;
    }
    Ok(())
}

/// Returns whether this VM is the one that writes for the VMs that hear each other.
fn has_duty(gateway: &Gateway) -> bool {
    let weight = |vm| duty_rendezvous_weight(vm, StoreTask::Quarantine);
    let own = weight(&gateway.settings.vm);
    let peers = gateway.peers.borrow();
    let mut others = peers.reaching_store(gateway.now());
    others.all(|peer| weight(&peer.vm) < own)
}

/// Writes records if the stored value is the known one; returns whether it was. If not, the
/// stored value is applied.
async fn write_records<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
    stored: &SharedQuarantine,
    records: Vec<QuarantineRecord>,
) -> Result<bool, StoreError> {
    let bytes = rmp_serde::to_vec(&records).map_err(|_| StoreError::InvalidReply)?;
    let expected = match stored.borrow().revision {
        None => ExpectedVersion::Absent,
        Some(revision) => ExpectedVersion::At(revision),
    };
    let key = gateway.wire_format.layout().quarantine_key;
    let call = store.swap(key, expected, bytes, None);
    match gateway
        .call_store(StoreTask::Quarantine, StoreCallKind::Swap, call)
        .await?
    {
        SwapOutcome::Swapped(revision) => {
            info!(gateway.log, "quarantine written"; "records" => records.len(),
                "revision" => %revision);
            *stored.borrow_mut() = StoredQuarantine {
                records,
                revision: Some(revision),
            };
            Ok(true)
        }
        SwapOutcome::Conflict(value) => {
            apply_stored(gateway, stored, value);
            Ok(false)
        }
    }
}

/// Claims the trials that requests wait for. A claim succeeds if the record that it is for is
/// still in force in the store.
async fn claim_trials<S: ConfigStore>(gateway: &Gateway, store: &S, stored: &SharedQuarantine) {
    let claims = std::mem::take(&mut *gateway.crash_features.trial_claims.borrow_mut());
    for claim in claims {
        let TrialClaim { record, outcome } = claim;
        let claimed = claim_trial(gateway, store, stored, &record).await;
        let is_claimed = claimed.unwrap_or_else(|error| {
            info!(gateway.log, "failed to claim trial"; "features" => %record.features,
                "error" => %error);
            false
        });
        if outcome.send(is_claimed).is_err() {
            info!(gateway.log, "trial not used"; "features" => %record.features);
        }
    }
}

async fn claim_trial<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
    stored: &SharedQuarantine,
    record: &QuarantineRecord,
) -> Result<bool, StoreError> {
    let is_in_force = gateway
        .crash_features
        .table
        .borrow()
        .records()
        .contains(record);
    if !is_in_force || !stored.borrow().records.contains(record) {
        return Ok(false);
    }
    let trial = QuarantineTable::trial_of(record);
    let mut records = gateway.crash_features.table.borrow().records();
    records.retain(|known| known.features != record.features);
    records.push(trial.clone());
    if !write_records(gateway, store, stored, records).await? {
        return Ok(false);
    }
    merge_quarantine(gateway, vec![trial], FeatureSource::Trial);
    Ok(true)
}
