//! Follows the configuration in the store. Versions only go up.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;
use snipegate_platform::ConfigStore;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::WatchBatch;

use crate::gateway::Gateway;

/// How long one watch waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_secs(12);

/// Follows the configuration until the process ends.
pub async fn follow_config<S: ConfigStore + 'static>(gateway: Rc<Gateway>, store: Rc<S>) {
    loop {
        if let Err(error) = read_and_watch(&gateway, &*store).await {
            gateway.retry_store(&error).await;
        }
    }
}

/// Reads the configuration, then watches it until the watch breaks.
async fn read_and_watch<S: ConfigStore>(gateway: &Gateway, store: &S) -> Result<(), StoreError> {
    let layout = gateway.dialect.layout();
    let listing = store.list(layout.config_prefix, None).await?;
    gateway.note_store(None);
    let stored = listing
        .entries
        .into_iter()
        .find(|(key, _)| key == layout.config_key);
    if let Some((_, stored)) = stored {
        apply_config(gateway, &stored);
    }
    let mut after = listing.revision;
    loop {
        let watch = store.watch(layout.config_prefix, after, WATCH_WAIT);
        let batch = tokio::select! {
            batch = watch => batch?,
            () = gateway.config_hint.missed(|| gateway.config_version()) => return Ok(()),
        };
        gateway.note_store(None);
        match batch {
            WatchBatch::Compacted => return Ok(()),
            WatchBatch::Changes { revision, changes } => {
                for change in changes {
                    if change.key == layout.config_key
                        && let Some(value) = change.value
                    {
                        let revision = change.revision;
                        apply_config(gateway, &StoredValue { revision, value });
                    }
                }
                after = revision.max(after).max(StoreRevision(1));
            }
        }
    }
}

fn apply_config(gateway: &Gateway, stored: &StoredValue) {
    let config = match gateway.dialect.decode_config(&stored.value) {
        Ok(config) => config,
        Err(error) => {
            gateway.metrics.count("config.malformed");
            warn!(gateway.log, "configuration not decoded"; "error" => error,
                "revision" => stored.revision.0);
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
        "before" => current.map_or(0, |version| version.0), "revision" => stored.revision.0);
    *gateway.config.borrow_mut() = Some(Rc::new(config));
    gateway.grant_due.notify_one();
    gateway.update_stage();
}
