//! The platform's list of live and leaving VMs, which lags behind the actual state.

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

/// The state of a listed VM, as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// The data centre that the VM runs in.
    pub data_centre: DataCentre,
    /// The state that the platform reports for the VM.
    pub state: VmState,
}

/// A snapshot of the VM list.
///
/// A VM that disappears from the list has terminated, since the platform never
/// lists an ID again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Increases with each change of the list.
    pub version: u64,
    /// The time at which the list was accurate, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// The listed VMs.
    pub vms: Vec<ListedVm>,
}

/// A source of the VM list.
pub trait VmList {
    /// Fetches the current list.
    fn read_vms(&self) -> impl Future<Output = Result<VmListing, StoreError>>;
}

/// The platform's [`VmList`], accessed over HTTP.
pub struct HttpVmList {
    client: PlatformClient,
}

impl HttpVmList {
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

impl VmList for HttpVmList {
    async fn read_vms(&self) -> Result<VmListing, StoreError> {
        let reply = self
            .client
            .send(Method::GET, VM_LIST_PATH, Vec::new(), Duration::ZERO)
            .await?;
        serde_json::from_slice(&reply).map_err(|_| StoreError::InvalidReply)
    }
}
