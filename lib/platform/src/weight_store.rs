//! The platform's rate-limited store of model weights.

use std::future::Future;
use std::time::Duration;

use ntex::client::error::ClientBuilderError;
use ntex::http::Method;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::ByteCount;
use snipegate_types::ModelName;

use crate::http_client::PlatformClient;
use crate::http_client::PlatformSettings;
use crate::store::StoreError;

/// Base path of the weight store.
pub const WEIGHT_PATH: &str = "/v1/weights";

/// Describes the weights of one version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightInfo {
    /// The model.
    pub model: ModelName,
    /// The version of the model.
    pub version: String,
    /// The size of the weights.
    pub bytes: ByteCount,
}

/// A source of model weights.
pub trait WeightStore {
    /// Returns a description of the weights of a model version, if they exist.
    fn describe(
        &self,
        model: &ModelName,
        version: &str,
    ) -> impl Future<Output = Result<Option<WeightInfo>, StoreError>>;
}

/// The platform's [`WeightStore`], accessed over HTTP.
pub struct HttpWeightStore {
    client: PlatformClient,
}

impl HttpWeightStore {
    /// Creates a client. The first call opens the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub async fn new(settings: PlatformSettings) -> Result<Self, ClientBuilderError> {
        let client = PlatformClient::new(settings).await?;
        Ok(Self { client })
    }
}

impl WeightStore for HttpWeightStore {
    async fn describe(
        &self,
        model: &ModelName,
        version: &str,
    ) -> Result<Option<WeightInfo>, StoreError> {
        let path = format!("{WEIGHT_PATH}/{model}/{version}");
        let reply = self
            .client
            .send(Method::GET, &path, Vec::new(), Duration::ZERO)
            .await?;
        serde_json::from_slice(&reply).map_err(|_| StoreError::InvalidReply)
    }
}
