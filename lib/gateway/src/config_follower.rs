//! Follows the configuration in the store. A lower version never replaces a higher one.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreError;
use snipegate_platform::StoreListing;
use snipegate_platform::StoredValue;

use crate::gateway::Gateway;
use crate::store_task::StoreCallKind;
use crate::store_task::StoreTask;
use crate::store_watch::StoreWatch;
use crate::store_watch::WatchOutcome;
use crate::store_watch::latest_change;

/// Longest time that one watch waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_secs(12);

/// Follows the configuration until the process ends.
pub async fn follow_config<S: ConfigStore + 'static>(gateway: Rc<Gateway>, store: Rc<S>) {
    loop {
        if read_and_watch(&gateway, &*store).await.is_err() {
            gateway.wait_for_store().await;
        }
    }
}

/// Reads the configuration, then watches it until a watch fails or the configuration has to
/// be listed again.
async fn read_and_watch<S: ConfigStore>(gateway: &Gateway, store: &S) -> Result<(), StoreError> {
    let layout = gateway.wire_format.layout();
    let call = store.list(layout.config_prefix, None);
    let listing = gateway
        .call_store(StoreTask::Config, StoreCallKind::List, call)
        .await?;
    gateway.observe_era(listing.revision.era, StoreTask::Config)?;
    apply_listing(gateway, &listing);
    let mut watch = StoreWatch::new(
        gateway,
        store,
        StoreTask::Config,
        layout.config_prefix,
        listing.revision,
        latest_change(&listing),
    );
    let peer_ahead = async |allowance| {
        let known = || gateway.config_version();
        gateway
            .config_hint
            .wait_until_behind(allowance, known)
            .await;
    };
    loop {
        let changes = match watch.next_changes(WATCH_WAIT, peer_ahead).await? {
            WatchOutcome::Changes(changes) => changes,
            WatchOutcome::Listed(listing) => {
                apply_listing(gateway, &listing);
                continue;
            }
            WatchOutcome::Relist => return Ok(()),
        };
        for change in changes {
            if change.key == layout.config_key
                && let Some(value) = change.value
            {
                let revision = change.revision;
                apply_config(gateway, &StoredValue { revision, value });
            }
        }
    }
}

fn apply_listing(gateway: &Gateway, listing: &StoreListing) {
    let config_key = gateway.wire_format.layout().config_key;
    let stored = listing.entries.iter().find(|(key, _)| key == config_key);
    if let Some((_, stored)) = stored {
        apply_config(gateway, stored);
    }
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
