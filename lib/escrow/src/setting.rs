//! Settings of an escrow.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// Which of two costs a deployment weighs more. Both keep every invariant.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EscrowPolicy {
    /// Larger grants; received transfers are used before the ledger has
    /// recorded them; and in a data centre that is cut off from all others,
    /// copies of bills on its other VMs count.
    #[default]
    AvoidRefusals,
    /// Smaller grants; a received transfer is used only when the ledger has
    /// recorded it; and copies of bills count only in other data centres.
    AvoidOverspend,
}

/// Settings of an escrow, the same for all budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct EscrowSettings {
    /// The deployment's policy.
    pub policy: EscrowPolicy,
    /// How long a holding should last at the measured rate of use.
    pub grant_horizon: Duration,
    /// Span over which the rate of use is averaged.
    pub rate_window: Duration,
    /// A holding is filled up to this share of an equal part, among all
    /// routers, of what the budget has unassigned; in percent.
    pub share_percent: u64,
    /// Tokens unused for this long are returned.
    pub idle_return: Duration,
    /// How long a request may wait for tokens.
    pub wait_limit: Duration,
    /// How long the ledger may take before peers are asked for tokens.
    pub transfer_after: Duration,
    /// How long peers may take to answer before others are asked.
    pub ask_pause: Duration,
    /// How many peers are asked for tokens at a time.
    pub transfer_fanout: usize,
    /// How long the ledger is not asked again after it refused a grant.
    pub grant_pause: Duration,
    /// How long the refusal of a waiting request stands for others.
    pub short_memory: Duration,
    /// How long the ledger may take before copies of a bill are sent.
    pub copy_after: Duration,
    /// How many other data centres should hold a copy, where there are.
    pub copy_places: usize,
    /// How long other data centres may take to hold copies before copies on
    /// other VMs of the own one count, or `None` if they never do.
    pub local_copy_after: Option<Duration>,
    /// How long a copy is held before it is posted for its holder.
    pub copy_post_after: Duration,
    /// How long a bill may take to become safe.
    pub bill_limit: Duration,
    /// How long an answer to a batch may take before it is sent again.
    pub batch_timeout: Duration,
    /// First pause before a batch is sent again; doubles up to
    /// `batch_timeout`.
    pub retry_pause: Duration,
    /// Most operations in a batch.
    pub batch_limit: usize,
    /// How long a shard hears nothing before an empty batch tells it that this
    /// router has no bills left from before; well below the retry window.
    pub heartbeat: Duration,
    /// How long an unacknowledged message to a peer waits to be sent again.
    pub resend_after: Duration,
    /// How long billed request ids are remembered; at least the time in which
    /// callers retry.
    pub billed_memory: Duration,
}

impl EscrowSettings {
    /// Returns the settings that go with `policy`.
    pub fn for_policy(policy: EscrowPolicy) -> Self {
        let (grant_horizon, share_percent, local_copy_after) = match policy {
            EscrowPolicy::AvoidRefusals => (
                Duration::from_secs(7200),
                1000,
                Some(Duration::from_secs(1)),
            ),
            EscrowPolicy::AvoidOverspend => (Duration::from_secs(600), 50, None),
        };
        Self {
            policy,
            grant_horizon,
            rate_window: Duration::from_secs(300),
            share_percent,
            idle_return: Duration::from_secs(300),
            wait_limit: Duration::from_millis(500),
            transfer_after: Duration::from_millis(150),
            ask_pause: Duration::from_millis(100),
            transfer_fanout: 3,
            grant_pause: Duration::from_millis(100),
            short_memory: Duration::from_millis(500),
            copy_after: Duration::from_millis(250),
            copy_places: 2,
            local_copy_after,
            copy_post_after: Duration::from_secs(10),
            bill_limit: Duration::from_secs(3),
            batch_timeout: Duration::from_secs(1),
            retry_pause: Duration::from_millis(50),
            batch_limit: 512,
            heartbeat: Duration::from_secs(60),
            resend_after: Duration::from_millis(500),
            billed_memory: Duration::from_secs(600),
        }
    }
}

impl Default for EscrowSettings {
    fn default() -> Self {
        Self::for_policy(EscrowPolicy::default())
    }
}
