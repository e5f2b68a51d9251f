//! Token requests in flight and recent answers to them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_types::TokenCount;

/// How long the answer of a VM that had no tokens is taken to be true. A grant takes about as long.
const ANSWER_TTL: Duration = Duration::from_millis(100);

/// Minimum interval between two requests for tokens ahead of need, per workspace.
const MIN_AHEAD_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of answers that are remembered.
const MAX_ANSWERS: usize = 512;

/// A token request that is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenQuestion {
    /// Sequence number of the token request.
    pub number: u64,
    /// The VM that was asked.
    pub target: SocketAddr,
    /// Time until which its answer is awaited.
    pub until: Instant,
}

/// Answer of a VM that had no tokens to give. A VM with too few gives what it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownAnswer {
    /// Its outcome, for the log.
    pub outcome: &'static str,
    /// When the answer arrived, or was awaited no longer.
    pub at: Instant,
}

/// Token requests of this VM: at most one in flight per workspace, keyed by its hash.
#[derive(Clone, Debug, Default)]
pub struct TokenQuestions {
    open: IndexMap<u64, OpenQuestion>,
    /// When tokens were last requested ahead of need.
    ahead_at: IndexMap<u64, Instant>,
    /// Tokens that requests are waiting for.
    waiting: IndexMap<u64, TokenCount>,
    failed: IndexMap<(u64, SocketAddr), KnownAnswer>,
}

impl TokenQuestions {
    /// Returns the question in flight for a workspace.
    pub fn open(&self, workspace: u64, now: Instant) -> Option<OpenQuestion> {
        let open = self.open.get(&workspace).copied();
        open.filter(|question| now < question.until)
    }

    /// Records that a question was sent.
    pub fn begin(&mut self, workspace: u64, question: OpenQuestion) {
        self.open.insert(workspace, question);
    }

    /// Records that a question was answered or is awaited no longer.
    pub fn end(&mut self, number: u64) {
        self.open.retain(|_, question| question.number != number);
    }

    /// Returns whether tokens may be requested ahead of need.
    pub fn may_ask_ahead(&self, workspace: u64, now: Instant) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < MIN_AHEAD_INTERVAL;
        self.open(workspace, now).is_none() && !self.ahead_at.get(&workspace).is_some_and(is_recent)
    }

    /// Records that tokens were requested ahead of need.
    pub fn begin_ahead(&mut self, workspace: u64, question: OpenQuestion, now: Instant) {
        self.ahead_at.insert(workspace, now);
        self.begin(workspace, question);
    }

    /// Records that a request begins to wait for tokens.
    pub fn add_waiting(&mut self, workspace: u64, cost: TokenCount) {
        let waiting = self.waiting.entry(workspace).or_default();
        *waiting = waiting.saturating_add(cost);
    }

    /// Records that a request waits no longer.
    pub fn remove_waiting(&mut self, workspace: u64, cost: TokenCount) {
        if let Some(waiting) = self.waiting.get_mut(&workspace) {
            *waiting = waiting.saturating_sub(cost);
        }
    }

    /// Returns the tokens that all waiting requests of a workspace need.
    pub fn waiting(&self, workspace: u64) -> TokenCount {
        self.waiting.get(&workspace).copied().unwrap_or_default()
    }

    /// Records that a VM had no tokens to give.
    pub fn record_failure(&mut self, workspace: u64, vm: SocketAddr, answer: KnownAnswer) {
        let now = answer.at;
        if self.failed.len() >= MAX_ANSWERS {
            self.failed
                .retain(|_, known| now.saturating_duration_since(known.at) < ANSWER_TTL);
        }
        self.failed.insert((workspace, vm), answer);
    }

    /// Records that a VM gave tokens.
    pub fn record_success(&mut self, workspace: u64, vm: SocketAddr) {
        self.failed.swap_remove(&(workspace, vm));
    }

    /// Returns the recent answer by which a VM has no tokens to give.
    pub fn known_failure(
        &self,
        workspace: u64,
        vm: SocketAddr,
        now: Instant,
    ) -> Option<KnownAnswer> {
        let known = self.failed.get(&(workspace, vm)).copied()?;
        (now.saturating_duration_since(known.at) < ANSWER_TTL).then_some(known)
    }
}
