//! Keys of fleet records in the configuration store.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use snipegate_types::ProcessRole;
use snipegate_types::ProfileName;
use snipegate_types::UpstreamId;
use snipegate_types::VmId;
use snipegate_types::WorkspaceId;

/// The key of a fleet record in the configuration store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FleetKey {
    /// The fleet-wide settings.
    Settings,
    /// A workspace.
    Workspace(WorkspaceId),
    /// A profile.
    Profile(ProfileName),
    /// An upstream.
    Upstream(UpstreamId),
    /// The process with the given role on a VM.
    Member(VmId, ProcessRole),
}

impl FleetKey {
    /// The prefix of all fleet keys, so that a single watch covers them.
    pub const PREFIX: &'static str = "fleet/";
    /// The key of the fleet-wide settings.
    pub const SETTINGS: &'static str = "fleet/config/fleet";
    /// The prefix of the configuration that operators write.
    pub const CONFIG_PREFIX: &'static str = "fleet/config/";
    /// The prefix of workspace keys.
    pub const WORKSPACE_PREFIX: &'static str = "fleet/config/workspace/";
    /// The prefix of profile keys.
    pub const PROFILE_PREFIX: &'static str = "fleet/config/profile/";
    /// The prefix of upstream keys.
    pub const UPSTREAM_PREFIX: &'static str = "fleet/config/upstream/";
    /// The prefix of member keys.
    pub const MEMBER_PREFIX: &'static str = "fleet/member/";
}

impl fmt::Display for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetKey::Settings => f.write_str(Self::SETTINGS),
            FleetKey::Workspace(id) => write!(f, "{}{id}", Self::WORKSPACE_PREFIX),
            FleetKey::Profile(name) => write!(f, "{}{name}", Self::PROFILE_PREFIX),
            FleetKey::Upstream(id) => write!(f, "{}{id}", Self::UPSTREAM_PREFIX),
            FleetKey::Member(vm, role) => write!(f, "{}{vm}/{role}", Self::MEMBER_PREFIX),
        }
    }
}

/// The error for a text that is not the key of a fleet record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetKeyError {
    /// The text.
    pub key: String,
}

impl fmt::Display for FleetKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not the key of a fleet record", self.key)
    }
}

impl Error for FleetKeyError {}

impl FromStr for FleetKey {
    type Err = FleetKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || FleetKeyError {
            key: text.to_owned(),
        };
        let parts: Vec<&str> = text.split('/').collect();
        match parts.as_slice() {
            ["fleet", "config", "fleet"] => Ok(FleetKey::Settings),
            ["fleet", "config", "workspace", id] => {
                id.parse().map(FleetKey::Workspace).map_err(|_| error())
            }
            ["fleet", "config", "profile", name] => {
                name.parse().map(FleetKey::Profile).map_err(|_| error())
            }
            ["fleet", "config", "upstream", id] => {
                id.parse().map(FleetKey::Upstream).map_err(|_| error())
            }
            ["fleet", "member", vm, role] => {
                let vm = vm.parse().map_err(|_| error())?;
                let role = role.parse().map_err(|_| error())?;
                Ok(FleetKey::Member(vm, role))
            }
            _ => Err(error()),
        }
    }
}
