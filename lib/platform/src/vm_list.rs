//! The platform's list of live and leaving VMs, which lags.

use std::future::Future;
use std::time::Duration;

use ntex::client::error::ClientBuilderError;
use ntex::http::Method;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::DataCentre;
use snipegate_types::VmId;
use strum::Display;
use strum::EnumString;

use crate::http_client::PlatformClient;
use crate::http_client::PlatformSettings;
use crate::store::StoreError;

/// Path of the VM list.
pub const VM_LIST_PATH: &str = "/v1/vms";

/// What the platform says of a VM that it lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is going to be taken away.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// What the platform says of it.
    pub state: VmState,
}

/// The VM list at one point in time.
///
/// A VM that was listed and no longer is has ended: the platform never lists
/// an id again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Rises with each change of the list.
    pub version: u64,
    /// Milliseconds since the Unix epoch to which the list is true.
    pub as_of_ms: u64,
    /// The VMs.
    pub vms: Vec<ListedVm>,
}

/// A source of the VM list.
pub trait VmList {
    /// Reads the list.
    fn read_vms(&self) -> impl Future<Output = Result<VmListing, StoreError>>;
}

/// The platform's VM list over HTTP.
pub struct HttpVmList {
    client: PlatformClient,
}

impl HttpVmList {
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

impl VmList for HttpVmList {
    async fn read_vms(&self) -> Result<VmListing, StoreError> {
        let reply = self
            .client
            .send(Method::GET, VM_LIST_PATH, Vec::new(), Duration::ZERO)
            .await?;
        serde_json::from_slice(&reply).map_err(|_| StoreError::BadReply)
    }
}
