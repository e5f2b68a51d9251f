//! Workspaces.

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BudgetId;
use snipegate_types::ProfileName;
use snipegate_types::TokenCount;

use crate::key_digest::KeyDigest;
use crate::record::RecordError;
use crate::record::check_range;
use crate::record::check_unique;

/// A workspace, at `fleet/config/workspace/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceRecord {
    /// Digests of the keys that callers of this workspace use.
    pub key_digests: Vec<KeyDigest>,
    /// The budgets that it owns.
    pub budgets: Vec<BudgetId>,
    /// The budget of profiles that name none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_budget: Option<BudgetId>,
    /// Requests a second over the whole fleet.
    pub requests_per_second: u32,
    /// Requests in progress over the whole fleet.
    pub concurrent_requests: u32,
    /// Most output tokens that one request may ask for.
    pub max_output_tokens: TokenCount,
    /// The profiles that it may run under.
    pub profiles: Vec<ProfileName>,
    /// The profile of requests that name none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_profile: Option<ProfileName>,
}

impl WorkspaceRecord {
    /// Lets the defaults share their text with the lists that they are in.
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

    /// Checks the values.
    ///
    /// # Errors
    ///
    /// Names the first field whose value is not accepted.
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
