//! What operators do: configuration, top-ups, the stand-ins' faults.

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

/// Longest wait for one call of an operator.
const CALL_WAIT: Duration = Duration::from_secs(3);

/// Pause between two tries of a top-up.
const TRY_PAUSE: Duration = Duration::from_millis(50);

/// Tries of a top-up before it is given up.
const MAX_TRIES: usize = 600;

/// An operator at the platform's service.
pub struct FleetOperator {
    store: HttpStore,
    messages: MessageClient,
    client: Client,
    recorder: HistoryRecorder,
}

impl FleetOperator {
    /// Makes an operator.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client can't be set up.
    pub async fn new(platform: SocketAddr, recorder: HistoryRecorder) -> Self {
        let settings = PlatformSettings {
            address: platform,
            call_timeout: CALL_WAIT,
            vm: "operator".parse().expect("name is accepted"),
            data_centre: "office".parse().expect("name is accepted"),
        };
        Self {
            store: HttpStore::new(settings)
                .await
                .expect("HTTP client is set up"),
            messages: MessageClient::new(),
            client: Client::new().await,
            recorder,
        }
    }

    /// Returns the store as an operator reaches it.
    pub fn store(&self) -> &HttpStore {
        &self.store
    }

    /// Writes a record if the key is as expected; an accepted one is recorded.
    ///
    /// # Errors
    ///
    /// Fails as the store's call does.
    pub async fn write<R: Serialize>(
        &self,
        key: &FleetKey,
        expected: ExpectedVersion,
        record: &R,
    ) -> Result<SwapOutcome, StoreError> {
        let value = serde_json::to_vec(record).expect("records are JSON");
        let key = key.to_string();
        let outcome = self.store.swap(&key, expected, value, None).await?;
        if let SwapOutcome::Swapped(StoreRevision(revision)) = outcome {
            self.recorder.record(EventKind::ConfigAccepted { revision });
        }
        Ok(outcome)
    }

    /// Reads a record, changes it and writes it back.
    ///
    /// # Errors
    ///
    /// Fails as the store's calls do; a lost race is `Ok(Conflict)`.
    ///
    /// # Panics
    ///
    /// Panics if the record does not exist or is not of this type.
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

    /// Buys tokens: asks each keeper in turn until one has decided.
    ///
    /// # Panics
    ///
    /// Panics if no keeper decides in half a minute.
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
            sender: "operator/router/1".parse().expect("id is accepted"),
            first: None,
            operations: vec![top_up],
        };
        for attempt in 0..MAX_TRIES {
            let keeper = keepers[attempt % keepers.len()];
            let answer = self
                .messages
                .call(keeper, LEDGER_PATH, &batch, CALL_WAIT)
                .await;
            if let Ok(LedgerAnswer::Results(results)) = answer {
                assert_eq!(results, [OperationResult::ToppedUp]);
                return;
            }
            sleep(TRY_PAUSE).await;
        }
        panic!("no keeper decided the top-up");
    }

    /// Sends a JSON body to a stand-in.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not accept it.
    pub async fn control(&self, method: Method, address: SocketAddr, path: &str, body: &Value) {
        let url = format!("http://{address}{path}");
        let sent = self.client.request(method, url).send_json(body).await;
        let response = sent.expect("stand-in answers");
        assert!(response.status().is_success(), "{path}: {response:?}");
    }

    /// Switches faults of a stand-in on or off.
    pub async fn fault(&self, address: SocketAddr, change: Value) {
        self.control(Method::POST, address, "/fault", &change).await;
    }

    /// Gets a path as text, unless the process does not answer well.
    pub async fn fetch(&self, address: SocketAddr, path: &str) -> Option<Vec<u8>> {
        let url = format!("http://{address}{path}");
        let request = self.client.get(url).timeout(CALL_WAIT).send();
        let response: ClientResponse = request.await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.body().limit(64 << 20).await.ok()?;
        Some(body.to_vec())
    }
}
