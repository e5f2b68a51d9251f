//! The HTTP client of the platform's configuration store.

use std::time::Duration;

use ntex::client::error::ClientBuilderError;
use ntex::http::Method;

use crate::answer;
use crate::call::STORE_PATH;
use crate::call::StoreAnswer;
use crate::call::StoreCall;
use crate::http_client::PlatformClient;
use crate::http_client::PlatformSettings;
use crate::store::ConfigStore;
use crate::store::ExpectedVersion;
use crate::store::LeaseId;
use crate::store::MAX_VALUE_BYTES;
use crate::store::StoreError;
use crate::store::StoreListing;
use crate::store::StoreRevision;
use crate::store::StoredValue;
use crate::store::SwapOutcome;
use crate::store::WatchBatch;

/// The platform's [`ConfigStore`], accessed over HTTP.
///
/// It can only be used on the thread that created it. It never retries: only the
/// caller knows whether it is safe to repeat a call whose reply was lost.
pub struct HttpStore {
    client: PlatformClient,
}

impl HttpStore {
    /// Creates a client. The first call opens the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub async fn new(settings: PlatformSettings) -> Result<Self, ClientBuilderError> {
        let client = PlatformClient::new(settings).await?;
        Ok(Self { client })
    }

    async fn call(&self, call: StoreCall) -> Result<StoreAnswer, StoreError> {
        let body = rmp_serde::to_vec_named(&call).map_err(|_| StoreError::InvalidReply)?;
        let reply = self
            .client
            .send(Method::POST, STORE_PATH, body, call.wait())
            .await?;
        rmp_serde::from_slice(&reply).map_err(|_| StoreError::InvalidReply)
    }
}

impl ConfigStore for HttpStore {
    async fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let key = key.to_owned();
        answer::value(self.call(StoreCall::Read { key }).await?)
    }

    async fn list(&self, prefix: &str, after: Option<&str>) -> Result<StoreListing, StoreError> {
        let call = StoreCall::List {
            prefix: prefix.to_owned(),
            after: after.map(str::to_owned),
        };
        answer::listing(self.call(call).await?)
    }

    async fn swap(
        &self,
        key: &str,
        expected: ExpectedVersion,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::ValueTooLarge { bytes: value.len() });
        }
        let call = StoreCall::Swap {
            key: key.to_owned(),
            expected,
            value,
            lease,
        };
        answer::outcome(self.call(call).await?)
    }

    async fn remove(
        &self,
        key: &str,
        expected: ExpectedVersion,
    ) -> Result<SwapOutcome, StoreError> {
        let call = StoreCall::Remove {
            key: key.to_owned(),
            expected,
        };
        answer::outcome(self.call(call).await?)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let call = StoreCall::Watch {
            prefix: prefix.to_owned(),
            after,
            wait_ms: wait.as_millis() as u64,
        };
        answer::batch(self.call(call).await?)
    }

    async fn create_lease(&self, time_to_live: Duration) -> Result<LeaseId, StoreError> {
        let time_to_live_ms = time_to_live.as_millis() as u64;
        answer::lease(
            self.call(StoreCall::CreateLease { time_to_live_ms })
                .await?,
        )
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        answer::kept(self.call(StoreCall::KeepLease { lease }).await?)
    }
}

/// Lists all keys under `prefix`, page by page.
///
/// The returned revision is that of the first page, so that a watch started from
/// it misses no change.
///
/// # Errors
///
/// Returns the error of the first page that fails.
pub async fn list_all<S: ConfigStore>(store: &S, prefix: &str) -> Result<StoreListing, StoreError> {
    let mut listing = store.list(prefix, None).await?;
    while let Some(after) = listing.more_after.take() {
        let page = store.list(prefix, Some(&after)).await?;
        listing.entries.extend(page.entries);
        listing.more_after = page.more_after;
    }
    Ok(listing)
}
