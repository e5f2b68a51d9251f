//! Settings of an escrow.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// The trade-off between refusals and overspend. Both policies keep all invariants.
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
    /// Favours fewer refusals over a lower risk of overspend.
    ///
    /// Grants are larger. Received transfers are used before the ledger has recorded
    /// them. In a data centre that is cut off from all others, copies on its other VMs
    /// make a bill safe.
    #[default]
    AvoidRefusals,
    /// Favours a lower risk of overspend over fewer refusals.
    ///
    /// Grants are smaller. Received transfers are used only after the ledger has
    /// recorded them. Only copies in other data centres make a bill safe.
    AvoidOverspend,
}

/// Settings of an escrow, the same for all budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct EscrowSettings {
    /// The policy of the deployment.
    pub policy: EscrowPolicy,
    /// How long a holding should last at the estimated rate of use.
    pub grant_horizon: Duration,
    /// Time window over which the rate of use is averaged.
    pub rate_window: Duration,
    /// Limit of a holding, in percent of one router's equal share of the budget's
    /// unassigned tokens.
    pub share_percent: u64,
    /// Time without requests after which free tokens are returned.
    pub idle_return: Duration,
    /// Maximum time that a request waits for tokens.
    pub wait_timeout: Duration,
    /// Time without a ledger answer after which peers are asked for tokens.
    pub transfer_after: Duration,
    /// Time without an answer of the asked peers after which others are asked.
    pub ask_timeout: Duration,
    /// Number of peers asked for tokens at a time.
    pub transfer_fanout: usize,
    /// Delay before a refused grant is requested again.
    pub grant_retry_delay: Duration,
    /// How long the refusal of a waiting request also applies to new requests.
    pub refusal_cache_time: Duration,
    /// Time without a ledger answer after which copies of a bill are sent.
    pub copy_after: Duration,
    /// Number of copies of a bill, each in a different other data centre, if that many
    /// exist. Also the number of copies on other VMs of this data centre, where those make
    /// a bill safe.
    pub copy_count: usize,
    /// Time after settlement from which copies on other VMs of this data centre make a
    /// bill safe, or `None` if they never do.
    pub local_copy_after: Option<Duration>,
    /// Delay before a router posts a copy that it holds.
    pub copy_post_after: Duration,
    /// Time after which a bill that is not safe is reported as unsafe.
    pub bill_timeout: Duration,
    /// Time without an answer after which a batch is sent again.
    pub batch_timeout: Duration,
    /// Initial delay before a failed batch is sent again. Doubles up to
    /// `batch_timeout`.
    pub retry_delay: Duration,
    /// Maximum number of operations in a batch.
    pub batch_limit: usize,
    /// Idle time after which an empty batch tells a shard that this router has no older
    /// bills left. Must be well below the retry window.
    pub heartbeat: Duration,
    /// Time after which an unacknowledged message to a peer is sent again.
    pub resend_after: Duration,
    /// How long the ids of billed requests are kept. Must be at least the time in which
    /// callers retry.
    pub billed_retention: Duration,
}

impl EscrowSettings {
    /// Returns the settings for `policy`.
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
            wait_timeout: Duration::from_millis(500),
            transfer_after: Duration::from_millis(150),
            ask_timeout: Duration::from_millis(100),
            transfer_fanout: 3,
            grant_retry_delay: Duration::from_millis(100),
            refusal_cache_time: Duration::from_millis(500),
            copy_after: Duration::from_millis(250),
            copy_count: 2,
            local_copy_after,
            copy_post_after: Duration::from_secs(10),
            bill_timeout: Duration::from_secs(3),
            batch_timeout: Duration::from_secs(1),
            retry_delay: Duration::from_millis(50),
            batch_limit: 512,
            heartbeat: Duration::from_secs(60),
            resend_after: Duration::from_millis(500),
            billed_retention: Duration::from_secs(600),
        }
    }
}

impl Default for EscrowSettings {
    fn default() -> Self {
        Self::for_policy(EscrowPolicy::default())
    }
}
