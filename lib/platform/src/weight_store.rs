//! The platform's store of model weights, which limits its rate.

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

/// Path under which the weight store describes models.
pub const WEIGHT_PATH: &str = "/v1/weights";

/// The weights of one version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightInfo {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: String,
    /// How large the weights are.
    pub bytes: ByteCount,
}

/// A source of model weights.
pub trait WeightStore {
    /// Describes the weights of a model's version, if they exist.
    fn describe(
        &self,
        model: &ModelName,
        version: &str,
    ) -> impl Future<Output = Result<Option<WeightInfo>, StoreError>>;
}

/// The platform's weight store over HTTP.
pub struct HttpWeightStore {
    client: PlatformClient,
}

impl HttpWeightStore {
    /// Prepares a client; no connection is opened before the first call.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be set up.
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
        serde_json::from_slice(&reply).map_err(|_| StoreError::BadReply)
    }
}
