//! The fleet's own processes.

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

/// Whether a process takes new work.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// It takes new work.
    #[default]
    Up,
    /// It stops soon; callers are no longer sent to it.
    Leaving,
}

/// A process, at `fleet/member/<vm>/<role>`, written by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// Which run of the process this is.
    pub incarnation: IncarnationId,
    /// The data centre of its VM.
    pub data_centre: DataCentre,
    /// The region of its VM.
    pub region: RegionName,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where other processes of the fleet reach it, if that differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Share of callers that it should get, relative to the others.
    pub weight: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: MemberState,
    /// Version of the VM list in which the process has seen its own VM.
    ///
    /// Only a VM that has been listed can be missed, so an absent value means
    /// that its absence from the list proves nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listed_at: Option<u64>,
}

impl MemberRecord {
    /// Makes the record of a process that starts, with one address for all.
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

    /// Returns where other processes of the fleet reach it.
    pub fn peer(&self) -> SocketAddr {
        self.peer_address.unwrap_or(self.address)
    }

    /// Checks the values.
    ///
    /// # Errors
    ///
    /// Names the first field whose value is not accepted.
    pub fn validate(&self) -> Result<(), RecordError> {
        check_range("weight", self.weight.into(), 1, 1_000)
    }
}
