//! Operator client for configuration changes, top-ups and fault injection.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::Client;
use ntex::client::ClientResponse;
use ntex::http::Method;
use ntex::time::sleep;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snipegate_fleet::FleetKey;
use snipegate_history::EventKind;
use snipegate_ledger::LEDGER_PATH;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationResult;
use snipegate_platform::ConfigStore;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::HttpStore;
use snipegate_platform::PlatformSettings;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::SwapOutcome;
use snipegate_service::MessageClient;
use snipegate_types::BudgetId;
use snipegate_types::OperationId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;

use crate::recorder::HistoryRecorder;

/// Timeout of an operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay between two attempts of a top-up.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of attempts of a top-up.
const MAX_ATTEMPTS: usize = 600;

/// An operator with access to the store, the keepers and the stand-ins.
pub struct FleetOperator {
    store: HttpStore,
    messages: MessageClient,
    client: Client,
    recorder: HistoryRecorder,
}

impl FleetOperator {
    /// Creates an operator that uses the given platform.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client can't be created.
    pub async fn new(platform: SocketAddr, recorder: HistoryRecorder) -> Self {
        let settings = PlatformSettings {
            address: platform,
            call_timeout: CALL_TIMEOUT,
            vm: "operator".parse().expect("name is valid"),
            data_centre: "office".parse().expect("name is valid"),
        };
        Self {
            store: HttpStore::new(settings)
                .await
                .expect("HTTP client can be created"),
            messages: MessageClient::new(),
            client: Client::new().await,
            recorder,
        }
    }

    /// Returns the operator's client of the store.
    pub fn store(&self) -> &HttpStore {
        &self.store
    }

    /// Writes a record if the key has the expected version, and adds an accepted
    /// change to the history.
    ///
    /// # Errors
    ///
    /// Returns the error of the store call.
    pub async fn write<R: Serialize>(
        &self,
        key: &FleetKey,
        expected: ExpectedVersion,
        record: &R,
    ) -> Result<SwapOutcome, StoreError> {
        let value = serde_json::to_vec(record).expect("record can be serialized");
        let key = key.to_string();
        let outcome = self.store.swap(&key, expected, value, None).await?;
        if let SwapOutcome::Swapped(StoreRevision {
            number: revision, ..
        }) = outcome
        {
            self.recorder.record(EventKind::ConfigAccepted { revision });
        }
        Ok(outcome)
    }

    /// Reads a record, changes it and writes it back.
    ///
    /// # Errors
    ///
    /// Returns the error of a store call. A concurrent change is not an error but
    /// returns `Ok(Conflict)`.
    ///
    /// # Panics
    ///
    /// Panics if the record does not exist or can't be deserialized as `R`.
    pub async fn edit<R: Serialize + DeserializeOwned>(
        &self,
        key: &FleetKey,
        change: impl FnOnce(&mut R),
    ) -> Result<SwapOutcome, StoreError> {
        let stored = self.store.read(&key.to_string()).await?;
        let stored = stored.expect("record exists");
        let mut record = serde_json::from_slice(&stored.value).expect("record is readable");
        change(&mut record);
        self.write(key, ExpectedVersion::At(stored.revision), &record)
            .await
    }

    /// Buys tokens: sends the top-up to each keeper in turn until one returns a
    /// result.
    ///
    /// # Panics
    ///
    /// Panics if no keeper returns a result within `MAX_ATTEMPTS` attempts, which
    /// take at least half a minute, or if the result is not a successful top-up.
    pub async fn top_up(
        &self,
        keepers: &[SocketAddr],
        shard: ShardId,
        budget: &BudgetId,
        operation: OperationId,
        amount: u64,
    ) {
        self.recorder.record(EventKind::TopUpAsked {
            operation,
            budget: budget.clone(),
            amount,
        });
        let top_up = LedgerOperation::TopUp {
            operation,
            budget: budget.clone(),
            amount: TokenCount(amount),
        };
        let batch = LedgerBatch {
            shard,
            sender: "operator/router/1".parse().expect("ID is valid"),
            first: None,
            operations: vec![top_up],
        };
        for attempt in 0..MAX_ATTEMPTS {
            let keeper = keepers[attempt % keepers.len()];
            let answer = self
                .messages
                .call(keeper, LEDGER_PATH, &batch, CALL_TIMEOUT)
                .await;
            if let Ok(LedgerAnswer::Results(results)) = answer {
                assert_eq!(results, [OperationResult::ToppedUp]);
                return;
            }
            sleep(RETRY_DELAY).await;
        }
        panic!("no keeper returned a result for the top-up");
    }

    /// Sends a request with a JSON body to a stand-in.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not answer with a success status.
    pub async fn send_json(&self, method: Method, address: SocketAddr, path: &str, body: &Value) {
        let url = format!("http://{address}{path}");
        let sent = self.client.request(method, url).send_json(body).await;
        let response = sent.expect("stand-in answers");
        assert!(response.status().is_success(), "{path}: {response:?}");
    }

    /// Changes the injected faults of a stand-in.
    pub async fn set_faults(&self, address: SocketAddr, change: Value) {
        self.send_json(Method::POST, address, "/fault", &change)
            .await;
    }

    /// Returns the body of a GET request, or `None` if the request fails or the
    /// status is not a success.
    pub async fn fetch(&self, address: SocketAddr, path: &str) -> Option<Vec<u8>> {
        let url = format!("http://{address}{path}");
        let request = self.client.get(url).timeout(CALL_TIMEOUT).send();
        let response: ClientResponse = request.await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.body().limit(64 << 20).await.ok()?;
        Some(body.to_vec())
    }
}
