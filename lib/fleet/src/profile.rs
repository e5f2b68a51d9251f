//! Profiles.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snipegate_types::AdapterName;
use snipegate_types::BudgetId;
use snipegate_types::ModelName;
use snipegate_types::TokenCount;

use crate::record::RecordError;
use crate::record::check_name;
use crate::record::check_range;
use crate::upstream::EngineRole;

/// How urgent a request is: 0 is shed first, 9 last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PriorityLevel(pub u8);

impl PriorityLevel {
    /// The most urgent level.
    pub const MAX: PriorityLevel = PriorityLevel(9);
}

impl std::fmt::Display for PriorityLevel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A profile, at `fleet/config/profile/<name>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProfileRecord {
    /// The model that it runs.
    pub model: ModelName,
    /// The adapter on top of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// The version of the model; any where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The role of the engines that serve it.
    #[serde(default)]
    pub role: EngineRole,
    /// How urgent its requests are.
    pub priority: PriorityLevel,
    /// Output tokens of a request that names no limit.
    pub default_output_tokens: TokenCount,
    /// Most output tokens that one request may ask for.
    pub max_output_tokens: TokenCount,
    /// Time from arrival to the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// The budget that pays; the workspace's default where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<BudgetId>,
    /// Requests a second over the whole fleet.
    pub requests_per_second: u32,
    /// Requests in progress over the whole fleet.
    pub concurrent_requests: u32,
    /// Fewest bytes of prompt that one token can stand for, which bounds the
    /// tokens of a prompt before an engine has counted them.
    #[serde(default = "one_byte")]
    pub prompt_bytes_per_token: u32,
}

const fn one_byte() -> u32 {
    1
}

impl ProfileRecord {
    /// Returns the time from arrival to the whole answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns the most tokens that a prompt of `bytes` bytes can have.
    pub fn prompt_bound(&self, bytes: u64) -> TokenCount {
        TokenCount(bytes.div_ceil(u64::from(self.prompt_bytes_per_token.max(1))))
    }

    /// Checks the values.
    ///
    /// # Errors
    ///
    /// Names the first field whose value is not accepted.
    pub fn validate(&self) -> Result<(), RecordError> {
        check_name("version", self.version.as_deref())?;
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
