//! Follows the configuration and the evacuations in the store. A lower version of the
//! configuration never replaces a higher one.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreChange;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;

use crate::evacuation::EvacuationSource;
use crate::evacuation::apply_evacuation_changes;
use crate::evacuation::evacuated_data_centres;
use crate::evacuation::evacuation_of_key;
use crate::gateway::Gateway;
use crate::store_task::StoreCallKind;
use crate::store_task::StoreTask;
use crate::store_watch::StoreWatch;
use crate::store_watch::WatchOutcome;
use crate::store_watch::latest_change;

/// Longest time that one watch waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_secs(12);

/// Shortest wait of a watch that may end an evacuation.
const MIN_CONFIRM_WAIT: Duration = Duration::from_millis(50);

/// Follows the configuration and the evacuations until the process ends.
pub async fn follow_config<S: ConfigStore + 'static>(gateway: Rc<Gateway>, store: Rc<S>) {
    loop {
        if read_and_watch(&gateway, &*store).await.is_err() {
            gateway.wait_for_store().await;
        }
    }
}

/// Reads the configuration and the evacuations, then watches them until a watch fails or they
/// have to be listed again.
async fn read_and_watch<S: ConfigStore>(gateway: &Gateway, store: &S) -> Result<(), StoreError> {
    let layout = gateway.wire_format.layout();
    let (entries, listed) = read_all(gateway, store).await?;
    apply_entries(gateway, &entries, listed);
    gateway.update_stage();
    let mut watch = StoreWatch::new(
        gateway,
        store,
        StoreTask::Config,
        layout.config_prefix,
        listed,
        latest_change(&entries),
    );
    let peer_ahead = async |allowance| {
        let known = || gateway.config_version();
        gateway
            .config_hint
            .wait_until_behind(allowance, known)
            .await;
    };
    loop {
        let wait = watch_wait(gateway);
        let changes = match watch.next_changes(wait, peer_ahead).await? {
            WatchOutcome::Changes(changes) => changes,
            WatchOutcome::Listed(listing) => {
                apply_entries(gateway, &listing.entries, listing.revision);
                continue;
            }
            WatchOutcome::Relist => return Ok(()),
        };
        for change in changes {
            apply_watched_evacuation(gateway, &change);
            if change.key == layout.config_key
                && let Some(value) = change.value
            {
                let revision = change.revision;
                apply_config(gateway, &StoredValue { revision, value });
            }
        }
        confirm_evacuations(gateway, watch.after());
    }
}

/// Lists all keys of operators, page by page. Returns them with the revision of the first page,
/// after which to watch.
async fn read_all<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
) -> Result<(Vec<(String, StoredValue)>, StoreRevision), StoreError> {
    let prefix = gateway.wire_format.layout().config_prefix;
    let mut entries = Vec::new();
    let mut first_revision = None;
    let mut after: Option<String> = None;
    loop {
        let call = store.list(prefix, after.as_deref());
        let listing = gateway
            .call_store(StoreTask::Config, StoreCallKind::List, call)
            .await?;
        gateway.observe_era(listing.revision.era, StoreTask::Config)?;
        let revision = *first_revision.get_or_insert(listing.revision);
        if revision.era != listing.revision.era {
            return Err(StoreError::EraChanged);
        }
        entries.extend(listing.entries);
        after = listing.more_after;
        if after.is_none() {
            return Ok((entries, revision));
        }
    }
}

/// Returns how long the next watch may wait. After the store came back from an older copy, it ends
/// when an evacuation that the copy lacks may end.
fn watch_wait(gateway: &Gateway) -> Duration {
    let next_end = gateway.evacuations.borrow().next_end();
    let wait = next_end.map(|at| at.saturating_duration_since(gateway.now()));
    wait.map_or(WATCH_WAIT, |wait| wait.clamp(MIN_CONFIRM_WAIT, WATCH_WAIT))
}

/// Applies a listing of all keys of operators that was read at revision `as_of`.
fn apply_entries(gateway: &Gateway, entries: &[(String, StoredValue)], as_of: StoreRevision) {
    apply_listed_evacuations(gateway, entries, as_of);
    let config_key = gateway.wire_format.layout().config_key;
    if let Some((_, stored)) = entries.iter().find(|(key, _)| key == config_key) {
        apply_config(gateway, stored);
    }
}

fn apply_listed_evacuations(
    gateway: &Gateway,
    entries: &[(String, StoredValue)],
    as_of: StoreRevision,
) {
    let listed = evacuated_data_centres(gateway, entries);
    let now = gateway.now();
    let mut table = gateway.evacuations.borrow_mut();
    let changes = table.apply_listing(&listed, as_of, now);
    drop(table);
    apply_evacuation_changes(gateway, changes, EvacuationSource::Listing);
    confirm_evacuations(gateway, as_of);
}

fn apply_watched_evacuation(gateway: &Gateway, change: &StoreChange) {
    let Some(data_centre) = evacuation_of_key(gateway, &change.key) else {
        return;
    };
    let is_evacuated = change.value.is_some();
    let now = gateway.now();
    let mut table = gateway.evacuations.borrow_mut();
    let applied = table.apply_change(&data_centre, is_evacuated, change.revision, now);
    drop(table);
    apply_evacuation_changes(gateway, applied, EvacuationSource::Watch);
}

/// Records that all changes up to `as_of` were applied, unless the store has not answered lately:
/// a watch may also end because it is overdue.
fn confirm_evacuations(gateway: &Gateway, as_of: StoreRevision) {
    let now = gateway.now();
    if !gateway.store_contact.get().is_current(now) {
        return;
    }
    let ended = gateway.evacuations.borrow_mut().confirm(as_of, now);
    apply_evacuation_changes(gateway, ended, EvacuationSource::Return);
}

fn apply_config(gateway: &Gateway, stored: &StoredValue) {
    let config = match gateway.wire_format.decode_config(&stored.value) {
        Ok(config) => config,
        Err(error) => {
            gateway.metrics.count("config.malformed");
            warn!(gateway.log, "failed to decode configuration"; "error" => error,
                "revision" => %stored.revision);
            return;
        }
    };
    let current = gateway
        .config
        .borrow()
        .as_ref()
        .map(|config| config.version);
    if current.is_some_and(|current| current >= config.version) {
        return;
    }
    info!(gateway.log, "configuration in force"; "version" => %config.version,
        "before" => current.map_or(0, |version| version.0), "revision" => %stored.revision);
    *gateway.config.borrow_mut() = Some(Rc::new(config));
    gateway.grant_notify.notify_one();
    gateway.gossip_notify.notify_one();
    gateway.update_stage();
}
