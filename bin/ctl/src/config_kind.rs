//! Kinds of configuration records.

use snipegate_fleet::FleetKey;

use crate::outcome::CommandError;

/// A kind of configuration record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfigKind {
    /// The fleet-wide settings.
    Settings,
    /// Profiles.
    Profile,
    /// Upstreams.
    Upstream,
    /// Workspaces.
    Workspace,
}

impl ConfigKind {
    /// Returns the kind that a subcommand operates on.
    pub(crate) fn from_command(name: &str) -> Self {
        match name {
            "profile" => ConfigKind::Profile,
            "upstream" => ConfigKind::Upstream,
            "workspace" => ConfigKind::Workspace,
            _ => ConfigKind::Settings,
        }
    }

    /// Returns the store key prefix of records of this kind.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            ConfigKind::Settings => FleetKey::CONFIG_PREFIX,
            ConfigKind::Profile => FleetKey::PROFILE_PREFIX,
            ConfigKind::Upstream => FleetKey::UPSTREAM_PREFIX,
            ConfigKind::Workspace => FleetKey::WORKSPACE_PREFIX,
        }
    }

    /// Returns the store key of the record `id`.
    pub(crate) fn key(self, id: &str) -> Result<FleetKey, CommandError> {
        let not_found = |_| CommandError::NotFound {
            subject: format!("{id:?} (not a valid id)"),
        };
        Ok(match self {
            ConfigKind::Settings => FleetKey::Settings,
            ConfigKind::Profile => FleetKey::Profile(id.parse().map_err(not_found)?),
            ConfigKind::Upstream => FleetKey::Upstream(id.parse().map_err(not_found)?),
            ConfigKind::Workspace => FleetKey::Workspace(id.parse().map_err(not_found)?),
        })
    }
}
