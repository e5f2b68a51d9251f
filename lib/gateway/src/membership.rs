//! Keeps this VM's record in the store and follows the records of the other VMs.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::LeaseId;
use snipegate_platform::StoreError;
use snipegate_platform::StoreKey;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_types::VmId;
use tokio::time::sleep;

use crate::batch_delay::BatchDelay;
use crate::gateway::Gateway;
use crate::peers::VmRecord;
use crate::stage::VmStage;
use crate::store_news::uses_news;
use crate::store_task::StoreCallKind;
use crate::store_task::StoreTask;
use crate::store_watch::StoreWatch;
use crate::store_watch::WatchOutcome;
use crate::store_watch::latest_change;

/// Time to live of the lease on a VM's record.
const RECORD_TTL: Duration = Duration::from_secs(15);

/// Interval between lease renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Interval between checks whether some call has failed.
const DOUBT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time over which the VMs register again after the store came back from an older copy.
const RETURN_SPREAD: Duration = Duration::from_millis(800);

/// Longest time that one watch of VM records waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Delay after changes to VM records before the next watch. It may be long because VMs
/// learn of each other earlier by gossip.
pub const RECORD_BATCH_DELAY: BatchDelay = BatchDelay {
    base: Duration::from_millis(700),
    per_vm: Duration::from_millis(30),
    max: Duration::from_secs(4),
};

/// Keeps this VM's record and follows the others until the process ends.
pub async fn maintain_membership<S: ConfigStore + 'static>(gateway: Rc<Gateway>, store: Rc<S>) {
    let follower = (Rc::clone(&gateway), Rc::clone(&store));
    tokio::task::spawn_local(follow_records(follower.0, follower.1));
    loop {
        if let Err(error) = register_and_renew(&gateway, &*store).await {
            info!(gateway.log, "failed to maintain vm record"; "error" => %error);
            gateway.wait_for_store().await;
        }
    }
}

/// Registers this VM and renews its lease. Returns when the VM has to register again, because
/// the store came back from a copy that may lack the record or know another VM's lease by the
/// same id.
async fn register_and_renew<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
) -> Result<(), StoreError> {
    let call = store.create_lease(RECORD_TTL);
    let lease = gateway
        .call_store(StoreTask::VmLease, StoreCallKind::CreateLease, call)
        .await?;
    observe_lease_era(gateway, store)?;
    let era = gateway.known_era();
    write_record(gateway, store, Some(lease)).await?;
    loop {
        if !gateway.store_contact.get().is_failing() {
            tokio::select! {
                () = wait_for_renewal(gateway) => {}
                () = gateway.era_changed.notified() => {}
            }
        }
        if gateway.known_era() != era {
            sleep(RETURN_SPREAD.mul_f64(fastrand::f64())).await;
            return Ok(());
        }
        let call = store.renew_lease(lease);
        match gateway
            .call_store(StoreTask::VmLease, StoreCallKind::RenewLease, call)
            .await
        {
            Ok(()) => observe_lease_era(gateway, store)?,
            Err(StoreError::LeaseExpired) => return Err(StoreError::LeaseExpired),
            Err(_) => gateway.wait_for_store().await,
        }
    }
}

/// Waits until the lease should be renewed. Where VMs follow the store by news, a renewal also
/// shows whether the store is lost if some call failed, since it costs less than other calls.
async fn wait_for_renewal(gateway: &Gateway) {
    let due = gateway.now() + RENEWAL_INTERVAL;
    loop {
        let left = due.saturating_duration_since(gateway.now());
        let is_doubtful = uses_news(gateway.vm_count()) && gateway.store_contact.get().is_failing();
        if left.is_zero() || is_doubtful {
            return;
        }
        sleep(left.min(DOUBT_CHECK_INTERVAL)).await;
    }
}

/// Records the era of an answer to a call for the lease.
fn observe_lease_era<S: ConfigStore>(gateway: &Gateway, store: &S) -> Result<(), StoreError> {
    let era = store.latest_era().unwrap_or_default();
    gateway.observe_era(era, StoreTask::VmLease)
}

async fn write_record<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
    lease: Option<LeaseId>,
) -> Result<(), StoreError> {
    let key = record_key(gateway);
    let mut record = gateway.own_record();
    if record.stage == VmStage::Starting {
        // The record is written once per lease; other VMs learn by gossip that this one is
        // still starting.
        record.stage = VmStage::Serving;
    }
    let bytes = rmp_serde::to_vec(&record).map_err(|_| StoreError::InvalidReply)?;
    let mut expected = ExpectedVersion::Absent;
    loop {
        let call = store.swap(&key, expected, bytes.clone(), lease);
        match gateway
            .call_store(StoreTask::VmLease, StoreCallKind::Swap, call)
            .await?
        {
            SwapOutcome::Swapped(_) => return Ok(()),
            SwapOutcome::Conflict(None) => expected = ExpectedVersion::Absent,
            SwapOutcome::Conflict(Some(stored)) => expected = ExpectedVersion::At(stored.revision),
        }
    }
}

/// Announces in the store that this VM is leaving.
pub async fn leave_membership<S: ConfigStore>(gateway: &Gateway, store: &S) {
    if let Err(error) = write_record(gateway, store, None).await {
        info!(gateway.log, "failed to write leaving vm record"; "error" => %error);
    }
}

async fn follow_records<S: ConfigStore + 'static>(gateway: Rc<Gateway>, store: Rc<S>) {
    loop {
        if read_and_watch(&gateway, &*store).await.is_err() {
            gateway.wait_for_store().await;
        }
    }
}

async fn read_and_watch<S: ConfigStore>(gateway: &Gateway, store: &S) -> Result<(), StoreError> {
    let prefix = gateway.wire_format.layout().vm_prefix;
    let mut records = Vec::new();
    let call = store.list(prefix, None);
    let mut page = gateway
        .call_store(StoreTask::VmRecords, StoreCallKind::List, call)
        .await?;
    let listed = page.revision;
    let mut latest = StoreRevision::default();
    loop {
        latest = latest.max(latest_change(&page.entries));
        gateway.observe_era(page.revision.era, StoreTask::VmRecords)?;
        records.extend(decode_listing(gateway, &page));
        let Some(last) = page.more_after else {
            break;
        };
        let call = store.list(prefix, Some(&last));
        page = gateway
            .call_store(StoreTask::VmRecords, StoreCallKind::List, call)
            .await?;
    }
    let now = gateway.now();
    gateway.peers.borrow_mut().replace_listed(records, now);
    let task = StoreTask::VmRecords;
    let mut watch = StoreWatch::new(gateway, store, task, prefix, listed, latest);
    loop {
        let outcome = watch.next_changes(WATCH_WAIT, async |_| pending().await);
        let changes = match outcome.await? {
            WatchOutcome::Changes(changes) => changes,
            WatchOutcome::Listed(listing) => {
                let records = decode_listing(gateway, &listing);
                let now = gateway.now();
                gateway.peers.borrow_mut().replace_listed(records, now);
                continue;
            }
            WatchOutcome::Relist => return Ok(()),
        };
        let changed = !changes.is_empty();
        for change in changes {
            let Some(vm) = other_vm(gateway, prefix, &change.key) else {
                continue;
            };
            let record = change.value.as_deref().map(|v| decode_record(gateway, v));
            info!(gateway.log, "vm record changed"; "vm" => %vm,
                "present" => record.is_some(), "revision" => %change.revision);
            let now = gateway.now();
            let mut peers = gateway.peers.borrow_mut();
            match record {
                Some(Some(record)) => peers.put_listed(record, now),
                Some(None) => {}
                None => peers.remove_listed(&vm),
            }
        }
        if changed && watch.should_gather() {
            sleep(RECORD_BATCH_DELAY.for_fleet(gateway.vm_count())).await;
        }
    }
}

fn decode_listing(gateway: &Gateway, listing: &StoreListing) -> Vec<VmRecord> {
    let prefix = gateway.wire_format.layout().vm_prefix;
    let decode = |(key, stored): &(StoreKey, StoredValue)| {
        other_vm(gateway, prefix, key).and_then(|_| decode_record(gateway, &stored.value))
    };
    listing.entries.iter().filter_map(decode).collect()
}

fn record_key(gateway: &Gateway) -> String {
    let prefix = gateway.wire_format.layout().vm_prefix;
    format!("{prefix}{}", gateway.settings.vm)
}

fn other_vm(gateway: &Gateway, prefix: &str, key: &str) -> Option<VmId> {
    let vm: VmId = key.strip_prefix(prefix)?.parse().ok()?;
    (vm != gateway.settings.vm).then_some(vm)
}

fn decode_record(gateway: &Gateway, bytes: &[u8]) -> Option<VmRecord> {
    rmp_serde::from_slice(bytes)
        .inspect_err(|error| info!(gateway.log, "failed to decode vm record"; "error" => %error))
        .ok()
}
