//! Records of workspaces.

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BudgetId;
use snipegate_types::ProfileName;
use snipegate_types::TokenCount;

use crate::key_digest::KeyDigest;
use crate::record::RecordError;
use crate::record::check_range;
use crate::record::check_unique;

/// The record of a workspace, stored at `fleet/config/workspace/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceRecord {
    /// The digests of the API keys of this workspace.
    pub key_digests: Vec<KeyDigest>,
    /// The budgets of this workspace.
    pub budgets: Vec<BudgetId>,
    /// The budget for profiles that specify none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_budget: Option<BudgetId>,
    /// The request rate limit across the fleet, per second.
    pub requests_per_second: u32,
    /// The limit on concurrent requests across the fleet.
    pub concurrent_requests: u32,
    /// The maximum output token limit that a request may specify.
    pub max_output_tokens: TokenCount,
    /// The profiles that its requests may use.
    pub profiles: Vec<ProfileName>,
    /// The profile for requests that specify none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_profile: Option<ProfileName>,
}

impl WorkspaceRecord {
    /// Makes the default budget and profile share the strings of their list entries.
    ///
    /// This saves memory, since names are reference-counted.
    pub(crate) fn share_names(&mut self) {
        if let Some(budget) = &mut self.default_budget
            && let Some(listed) = self.budgets.iter().find(|listed| *listed == budget)
        {
            *budget = listed.clone();
        }
        if let Some(profile) = &mut self.default_profile
            && let Some(listed) = self.profiles.iter().find(|listed| *listed == profile)
        {
            *profile = listed.clone();
        }
    }

    /// Validates the values of the fields.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid field.
    pub fn validate(&self) -> Result<(), RecordError> {
        check_unique("key_digests", &self.key_digests)?;
        check_unique("budgets", &self.budgets)?;
        check_unique("profiles", &self.profiles)?;
        check_range(
            "requests_per_second",
            self.requests_per_second.into(),
            1,
            1_000_000,
        )?;
        check_range(
            "concurrent_requests",
            self.concurrent_requests.into(),
            1,
            1_000_000,
        )?;
        check_range("max_output_tokens", self.max_output_tokens.0, 1, 1_000_000)?;
        if let Some(budget) = &self.default_budget
            && !self.budgets.contains(budget)
        {
            return Err(RecordError::value(
                "default_budget",
                budget,
                "one of this workspace's budgets",
            ));
        }
        match &self.default_profile {
            Some(profile) if !self.profiles.contains(profile) => Err(RecordError::value(
                "default_profile",
                profile,
                "one of this workspace's profiles",
            )),
            _ => Ok(()),
        }
    }
}
