//! Records of the processes of the fleet.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use snipegate_service::ProcessSettings;
use snipegate_types::DataCentre;
use snipegate_types::IncarnationId;
use snipegate_types::RegionName;
use strum::Display;
use strum::EnumString;

use crate::record::RecordError;
use crate::record::check_range;

/// Whether a process accepts new work.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// It accepts new work.
    #[default]
    Up,
    /// It is stopping, and callers are no longer directed to it.
    Leaving,
}

/// The record of a process, stored by the process at `fleet/member/<vm>/<role>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// The incarnation of the process.
    pub incarnation: IncarnationId,
    /// The data centre of its VM.
    pub data_centre: DataCentre,
    /// The region of its VM.
    pub region: RegionName,
    /// The address for callers.
    pub address: SocketAddr,
    /// The address for other processes of the fleet, if it differs from `address`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// The share of callers that it should receive, relative to other members.
    pub weight: u32,
    /// Whether it accepts new work.
    #[serde(default)]
    pub state: MemberState,
    /// A version of the VM list that contains the VM of the process.
    ///
    /// Only a VM that has been listed can disappear from the list. If the value is
    /// absent, a listing without the VM does not prove that the VM is gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listed_at: Option<u64>,
}

impl MemberRecord {
    /// Creates the record of a starting process, with one address for callers and peers.
    pub fn starting(process: &ProcessSettings, incarnation: IncarnationId) -> Self {
        Self {
            incarnation,
            data_centre: process.data_centre.clone(),
            region: process.region.clone(),
            address: process.listen,
            peer_address: None,
            weight: 1,
            state: MemberState::Up,
            listed_at: None,
        }
    }

    /// Returns the address for other processes of the fleet.
    pub fn peer(&self) -> SocketAddr {
        self.peer_address.unwrap_or(self.address)
    }

    /// Validates the values of the fields.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid field.
    pub fn validate(&self) -> Result<(), RecordError> {
        check_range("weight", self.weight.into(), 1, 1_000)
    }
}
