//! Follows the entries of upstreams in the store.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreError;
use snipegate_platform::StoreKey;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_types::UpstreamId;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::batch_delay::BatchDelay;
use crate::config_follower::WATCH_WAIT;
use crate::gateway::Gateway;
use crate::store_task::StoreCallKind;
use crate::store_task::StoreTask;
use crate::store_watch::StoreWatch;
use crate::store_watch::WatchOutcome;
use crate::upstream::UpstreamChange;
use crate::upstream::UpstreamEntry;

/// Delay after changes before the next watch. All VMs must know within 3 s that an upstream
/// is leaving.
const BATCH_DELAY: BatchDelay = BatchDelay {
    base: Duration::from_millis(150),
    per_vm: Duration::from_millis(5),
    max: Duration::from_millis(1500),
};

/// Interval between checks for expired entries.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// An upstream in a listing; `None` stands for an entry that can't be decoded.
type ListedUpstream = (UpstreamId, Option<UpstreamEntry>, StoreRevision);

/// Follows the upstreams until the process ends.
pub async fn follow_upstreams<S: ConfigStore + 'static>(gateway: Rc<Gateway>, store: Rc<S>) {
    spawn_local(drop_expired_periodically(Rc::clone(&gateway)));
    loop {
        if read_and_watch(&gateway, &*store).await.is_err() {
            gateway.wait_for_store().await;
        }
    }
}

async fn read_and_watch<S: ConfigStore>(gateway: &Gateway, store: &S) -> Result<(), StoreError> {
    let listed = read_all(gateway, store).await?;
    let prefix = gateway.wire_format.layout().upstream_prefix;
    let latest = gateway.upstreams.borrow().latest();
    let task = StoreTask::Upstreams;
    let mut watch = StoreWatch::new(gateway, store, task, prefix, listed, latest);
    let peer_ahead = async |allowance| {
        let known = || gateway.upstreams.borrow().known_through();
        gateway
            .upstream_hint
            .wait_until_behind(allowance, known)
            .await;
    };
    loop {
        let changes = match watch.next_changes(WATCH_WAIT, peer_ahead).await? {
            WatchOutcome::Changes(changes) => changes,
            WatchOutcome::Listed(listing) => {
                let entries = decode_listing(gateway, listing.entries);
                apply_listing(gateway, entries, listing.revision);
                continue;
            }
            WatchOutcome::Relist => return Ok(()),
        };
        let now = gateway.now();
        let has_changes = !changes.is_empty();
        let mut applied: Vec<UpstreamChange> = Vec::new();
        for change in changes {
            let Some(id) = upstream_id(gateway, prefix, &change.key) else {
                continue;
            };
            let mut table = gateway.upstreams.borrow_mut();
            applied.extend(match &change.value {
                Some(value) => {
                    let entry = decode_entry(gateway, &id, value);
                    table.put(&id, entry, change.revision, now)
                }
                None => {
                    table.record_removal(change.revision);
                    table.remove(&id, change.revision, now)
                }
            });
        }
        gateway
            .upstreams
            .borrow_mut()
            .record_known_through(watch.after());
        gateway.apply_upstream_changes(applied);
        if has_changes && watch.should_gather() {
            sleep(BATCH_DELAY.for_fleet(gateway.vm_count())).await;
        }
    }
}

/// Lists all entries, page by page. Returns the revision of the first page, after which to
/// watch.
async fn read_all<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
) -> Result<StoreRevision, StoreError> {
    let prefix = gateway.wire_format.layout().upstream_prefix;
    let mut listed = Vec::new();
    let mut first_revision = None;
    let mut after: Option<String> = None;
    loop {
        let call = store.list(prefix, after.as_deref());
        let listing = gateway
            .call_store(StoreTask::Upstreams, StoreCallKind::List, call)
            .await?;
        gateway.observe_era(listing.revision.era, StoreTask::Upstreams)?;
        let revision = *first_revision.get_or_insert(listing.revision);
        if revision.era != listing.revision.era {
            return Err(StoreError::EraChanged);
        }
        listed.extend(decode_listing(gateway, listing.entries));
        after = listing.more_after;
        if after.is_none() {
            apply_listing(gateway, listed, revision);
            gateway.upstreams_known.set(true);
            gateway.update_stage();
            return Ok(revision);
        }
    }
}

fn decode_listing(gateway: &Gateway, entries: Vec<(StoreKey, StoredValue)>) -> Vec<ListedUpstream> {
    let prefix = gateway.wire_format.layout().upstream_prefix;
    let decode = |(key, stored): (StoreKey, StoredValue)| {
        let id = upstream_id(gateway, prefix, &key)?;
        let entry = decode_entry(gateway, &id, &stored.value);
        Some((id, entry, stored.revision))
    };
    entries.into_iter().filter_map(decode).collect()
}

fn apply_listing(gateway: &Gateway, listed: Vec<ListedUpstream>, revision: StoreRevision) {
    let now = gateway.now();
    let changes = gateway
        .upstreams
        .borrow_mut()
        .replace(listed, revision, now);
    gateway.apply_upstream_changes(changes);
}

fn upstream_id(gateway: &Gateway, prefix: &str, key: &str) -> Option<UpstreamId> {
    let name = key.strip_prefix(prefix)?;
    match name.parse() {
        Ok(id) => Some(id),
        Err(error) => {
            gateway.metrics.count("upstream.malformed");
            info!(gateway.log, "invalid upstream id"; "error" => %error);
            None
        }
    }
}

fn decode_entry(gateway: &Gateway, id: &UpstreamId, value: &[u8]) -> Option<UpstreamEntry> {
    match gateway.wire_format.decode_upstream(id, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            gateway.metrics.count("upstream.malformed");
            info!(gateway.log, "failed to decode upstream entry"; "upstream" => %id, "error" => error);
            None
        }
    }
}

/// Removes expired entries and applies withheld ones periodically, independently of changes in
/// the store.
async fn drop_expired_periodically(gateway: Rc<Gateway>) {
    loop {
        sleep(EXPIRY_CHECK_INTERVAL).await;
        let now = gateway.now();
        let mut changes = gateway.upstreams.borrow_mut().drop_expired(now);
        changes.extend(gateway.upstreams.borrow_mut().release_withheld(now));
        gateway.apply_upstream_changes(changes);
    }
}
