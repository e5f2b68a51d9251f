//! Records of profiles.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::AdapterName;
use snipegate_types::BudgetId;
use snipegate_types::ModelName;
use snipegate_types::TokenCount;

use crate::record::RecordError;
use crate::record::check_range;
use crate::record::check_version;
use crate::upstream::EngineRole;

/// The priority of a request. Under load, 0 is shed first and 9 last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PriorityLevel(pub u8);

impl PriorityLevel {
    /// The highest priority.
    pub const MAX: PriorityLevel = PriorityLevel(9);
}

impl std::fmt::Display for PriorityLevel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The record of a profile, stored at `fleet/config/profile/<name>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProfileRecord {
    /// The model that serves its requests.
    pub model: ModelName,
    /// The adapter to apply to the model, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// The required version of the model. If absent, any version may serve.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The role of the engines that serve it.
    #[serde(default)]
    pub role: EngineRole,
    /// The priority of its requests.
    pub priority: PriorityLevel,
    /// The output token limit of requests that specify none.
    pub default_output_tokens: TokenCount,
    /// The maximum output token limit that a request may specify.
    pub max_output_tokens: TokenCount,
    /// The time limit from the arrival of a request to its complete answer, in
    /// milliseconds.
    pub deadline_ms: u64,
    /// The budget that is charged. If absent, it is the workspace's default budget.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<BudgetId>,
    /// The request rate limit across the fleet, per second.
    pub requests_per_second: u32,
    /// The limit on concurrent requests across the fleet.
    pub concurrent_requests: u32,
    /// The minimum number of prompt bytes per token. It gives an upper bound on the
    /// tokens of a prompt before an engine has counted them.
    #[serde(default = "default_prompt_bytes_per_token")]
    pub prompt_bytes_per_token: u32,
}

const fn default_prompt_bytes_per_token() -> u32 {
    1
}

impl ProfileRecord {
    /// Returns the time limit from the arrival of a request to its complete answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns the maximum number of tokens in a prompt of `bytes` bytes.
    pub fn prompt_bound(&self, bytes: u64) -> TokenCount {
        TokenCount(bytes.div_ceil(u64::from(self.prompt_bytes_per_token.max(1))))
    }

    /// Validates the values of the fields.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid field.
    pub fn validate(&self) -> Result<(), RecordError> {
        check_version("version", self.version.as_deref())?;
        check_range(
            "priority",
            self.priority.0.into(),
            0,
            PriorityLevel::MAX.0.into(),
        )?;
        check_range("max_output_tokens", self.max_output_tokens.0, 1, 1_000_000)?;
        check_range(
            "default_output_tokens",
            self.default_output_tokens.0,
            1,
            self.max_output_tokens.0,
        )?;
        check_range("deadline_ms", self.deadline_ms, 1, 3_600_000)?;
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
        check_range(
            "prompt_bytes_per_token",
            self.prompt_bytes_per_token.into(),
            1,
            16,
        )
    }
}
