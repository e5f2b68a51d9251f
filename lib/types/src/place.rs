//! Identifiers of regions, data centres, VMs and process incarnations.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::id::IdError;
use crate::id::checked_name;

checked_name! {
    /// A group of data centres that loses contact with other regions only when a
    /// long-distance link fails.
    RegionName
}
checked_name! {
    /// An availability zone, whose VMs are more likely to fail together than VMs of
    /// different zones.
    DataCentre
}
checked_name! {
    /// A VM, from creation to termination. A replacement VM has a new ID.
    VmId
}

/// The role of a process in the fleet.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ProcessRole {
    /// Forwards callers' requests to upstreams.
    Router,
    /// Writes the budget ledger and monitors the platform.
    Keeper,
    /// Tells callers which addresses to use.
    Directory,
}

/// One run of a process. Restarting it on the same VM creates a new incarnation.
///
/// Formatted as `vm/role/start`, with `start` in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IncarnationId {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The role of the process.
    pub role: ProcessRole,
    /// Start time of the process in nanoseconds since the Unix epoch. It is only
    /// compared, for equality and order, with start times on the same VM.
    pub start: u64,
}

impl fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{:x}", self.vm, self.role, self.start)
    }
}

impl FromStr for IncarnationId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('/');
        let (Some(vm), Some(role), Some(start), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(IdError::InvalidFormat);
        };
        Ok(Self {
            vm: vm.parse()?,
            role: role.parse().map_err(|_| IdError::InvalidFormat)?,
            start: u64::from_str_radix(start, 16).map_err(|_| IdError::InvalidHex)?,
        })
    }
}
