//! Markers of the store's eras, which prevent late budget writes of earlier eras.
//!
//! A store that comes back from an older copy gives revisions out again, so a write from before
//! the return may find the revision that it expects. Budget writes are therefore conditional on
//! the marker of their own era, and on the absence of markers of later ones. So nothing of an
//! earlier era is written once the records are from a later one.

use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::KeyCondition;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::SwapOutcome;

use crate::gateway::Gateway;
use crate::store_task::StoreCallKind;
use crate::store_task::StoreTask;

/// Number of returns of the store that a write may be late.
const MAX_LATE_ERAS: u64 = 8;

/// Returns the eras whose markers prevent late writes of `era`.
pub fn later_eras(era: StoreEra) -> impl Iterator<Item = StoreEra> {
    (era.0 + 1..=era.0 + MAX_LATE_ERAS).map(StoreEra)
}

/// Ensures that the store holds the marker of `era`. Returns the conditions of budget writes in
/// that era; none if the store names no era.
///
/// # Errors
///
/// Fails if the marker can't be written, or if the store is in another era.
pub async fn mark_era<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
    era: StoreEra,
) -> Result<Vec<KeyCondition>, StoreError> {
    if store.latest_era().is_none() {
        return Ok(Vec::new());
    }
    let known = gateway.era_marker.get();
    let marker = match known.filter(|marker| marker.era == era) {
        Some(marker) => marker,
        None => write_marker(gateway, store, era).await?,
    };
    gateway.era_marker.set(Some(marker));
    let own = KeyCondition {
        key: marker_key(gateway, era),
        expected: ExpectedVersion::At(marker),
    };
    let absent = later_eras(era).map(|later| KeyCondition {
        key: marker_key(gateway, later),
        expected: ExpectedVersion::Absent,
    });
    Ok([own].into_iter().chain(absent).collect())
}

/// Writes the marker of an era, unless it exists; returns its revision.
async fn write_marker<S: ConfigStore>(
    gateway: &Gateway,
    store: &S,
    era: StoreEra,
) -> Result<StoreRevision, StoreError> {
    let key = marker_key(gateway, era);
    let value = era.to_string().into_bytes();
    let call = store.swap(&key, ExpectedVersion::Absent, value, None);
    let revision = match gateway
        .call_store(StoreTask::Budgets, StoreCallKind::MarkerSwap, call)
        .await?
    {
        SwapOutcome::Swapped(revision) => revision,
        SwapOutcome::Conflict(Some(stored)) => stored.revision,
        SwapOutcome::Conflict(None) => return Err(StoreError::InvalidReply),
    };
    gateway.observe_era(revision.era, StoreTask::Budgets)?;
    match revision.era == era {
        true => Ok(revision),
        false => Err(StoreError::EraChanged),
    }
}

fn marker_key(gateway: &Gateway, era: StoreEra) -> String {
    let prefix = gateway.wire_format.layout().era_prefix;
    format!("{prefix}{era}")
}
