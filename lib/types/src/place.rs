//! Where a process runs and which run of it is meant.

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
    /// A group of data centres that lose each other only when a long-distance link does.
    RegionName
}
checked_name! {
    /// A data centre.
    DataCentre
}
checked_name! {
    /// One VM, from its creation to its end; a replacement has another id.
    VmId
}

/// What a process does.
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
    /// Carries callers' requests to upstreams.
    Router,
    /// Writes the budget ledger and watches the platform.
    Keeper,
    /// Answers which addresses a caller should use.
    Directory,
}

/// One run of one process: a restart on the same VM is another incarnation.
///
/// Written as `vm/role/start`, with `start` in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IncarnationId {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// What the process does.
    pub role: ProcessRole,
    /// Nanoseconds since the Unix epoch when the process started; only
    /// compared for equality and order on one VM.
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
            return Err(IdError::BadShape);
        };
        Ok(Self {
            vm: vm.parse()?,
            role: role.parse().map_err(|_| IdError::BadShape)?,
            start: u64::from_str_radix(start, 16).map_err(|_| IdError::BadHex)?,
        })
    }
}
