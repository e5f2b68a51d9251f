//! Fleet-wide settings.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::record::RecordError;
use crate::record::check_range;

/// Which of two costs a deployment avoids first, within the invariants.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DeploymentPolicy {
    /// Avoid refusals while budget remains.
    #[default]
    FavourService,
    /// Avoid overspend and tokens that are reserved but unusable.
    FavourBudget,
}

/// The behaviour of a process whose configuration is older than the staleness bound.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StalePolicy {
    /// Keep serving with the newest known configuration. A change is in force only once
    /// every live member has confirmed it.
    #[default]
    Serve,
    /// Refuse requests with `config_stale` until newer data arrives. A change is in force
    /// everywhere once the staleness bound has passed.
    Refuse,
}

/// The fleet-wide settings, stored at `fleet/config/fleet`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Number of ledger shards. It must not change once budgets exist.
    pub ledger_shards: u16,
    /// How long the ledger remembers request IDs, in milliseconds.
    pub retry_window_ms: u64,
    /// The target duration that a router's grants should last, in milliseconds.
    pub grant_horizon_ms: u64,
    /// Which cost to avoid first.
    pub deployment_policy: DeploymentPolicy,
    /// Maximum age of the configuration before `stale_policy` applies, in milliseconds.
    pub staleness_bound_ms: u64,
    /// The behaviour beyond the staleness bound.
    pub stale_policy: StalePolicy,
    /// How long callers may cache an answer of the directory, in milliseconds.
    pub address_keep_ms: u64,
    /// Number of keepers per data centre that watch the store. The others follow them.
    pub watchers_per_data_centre: u16,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            ledger_shards: 8,
            retry_window_ms: 7_200_000,
            grant_horizon_ms: 60_000,
            deployment_policy: DeploymentPolicy::default(),
            staleness_bound_ms: 8_000,
            stale_policy: StalePolicy::default(),
            address_keep_ms: 10_000,
            watchers_per_data_centre: 4,
        }
    }
}

impl FleetSettings {
    /// Returns the maximum age before the configuration counts as stale.
    pub fn staleness_bound(&self) -> Duration {
        Duration::from_millis(self.staleness_bound_ms)
    }

    /// Returns how long callers may cache addresses.
    pub fn address_cache_time(&self) -> Duration {
        Duration::from_millis(self.address_keep_ms)
    }

    /// Returns the target duration that a router's grants should last.
    pub fn grant_horizon(&self) -> Duration {
        Duration::from_millis(self.grant_horizon_ms)
    }

    /// Returns how long the ledger remembers request IDs.
    pub fn retry_window(&self) -> Duration {
        Duration::from_millis(self.retry_window_ms)
    }

    /// Validates the values of the fields.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid field.
    pub fn validate(&self) -> Result<(), RecordError> {
        check_range("ledger_shards", self.ledger_shards.into(), 1, 1_024)?;
        check_range("retry_window_ms", self.retry_window_ms, 1_000, 86_400_000)?;
        check_range("grant_horizon_ms", self.grant_horizon_ms, 100, 86_400_000)?;
        check_range(
            "staleness_bound_ms",
            self.staleness_bound_ms,
            4_000,
            86_400_000,
        )?;
        check_range("address_keep_ms", self.address_keep_ms, 500, 600_000)?;
        check_range(
            "watchers_per_data_centre",
            self.watchers_per_data_centre.into(),
            1,
            100,
        )
    }
}
