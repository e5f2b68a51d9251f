//! The loads that the policies are compared under.

use std::time::Duration;

use fastrand::Rng;
use snipegate_routing::RequestPriority;

use crate::engine::BLOCK_TOKENS;

/// The prompts of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptKind {
    /// Long common beginnings, some much more frequent than others.
    SharedPrefix,
    /// No two prompts begin alike.
    NoPrefix,
}

/// One request of a load.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    pub at: Duration,
    pub router: usize,
    pub blocks: Vec<u64>,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
    pub max_tokens: u64,
    pub priority: RequestPriority,
    pub deadline: Duration,
}

/// Common beginnings in the shared-prefix load.
const PREFIXES: usize = 40;

/// Tokens of a common beginning.
const PREFIX_TOKENS: u64 = 24 * BLOCK_TOKENS;

/// Most tokens of an answer.
const MAX_TOKENS: u64 = 128;

/// Mean tokens of an answer.
const MEAN_ANSWER_TOKENS: f64 = 50.0;

/// Makes Poisson arrivals of `rate` a second during `span`.
pub fn arrivals(
    kind: PromptKind,
    rate: f64,
    span: Duration,
    routers: usize,
    seed: u64,
) -> Vec<LoadRequest> {
    let mut rng = Rng::with_seed(seed);
    let mut at = Duration::ZERO;
    let mut requests = Vec::new();
    loop {
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        if at >= span {
            return requests;
        }
        requests.push(request(kind, at, routers, &mut rng));
    }
}

fn request(kind: PromptKind, at: Duration, routers: usize, rng: &mut Rng) -> LoadRequest {
    let own = rng.u64(64..448);
    let (mut blocks, shared) = match kind {
        PromptKind::SharedPrefix => {
            let prefix = zipf(PREFIXES, rng) as u64;
            let count = PREFIX_TOKENS / BLOCK_TOKENS;
            let blocks = (0..count).map(|i| (prefix + 1) << 32 | i).collect();
            (blocks, PREFIX_TOKENS)
        }
        PromptKind::NoPrefix => (Vec::new(), 0),
    };
    let own = match kind {
        PromptKind::SharedPrefix => own,
        // Prompts of the same mean cost to an engine with a warm cache, doubled.
        PromptKind::NoPrefix => own * 2,
    };
    blocks.extend((0..own / BLOCK_TOKENS).map(|_| rng.u64(1 << 48..)));
    let answer = -(1.0 - rng.f64()).ln() * MEAN_ANSWER_TOKENS;
    let priority = match rng.u32(..10) {
        0..2 => RequestPriority::Low,
        2..8 => RequestPriority::Normal,
        _ => RequestPriority::High,
    };
    LoadRequest {
        at,
        router: rng.usize(..routers),
        blocks,
        prompt_tokens: shared + own,
        answer_tokens: (answer as u64).clamp(4, MAX_TOKENS),
        max_tokens: MAX_TOKENS,
        priority,
        deadline: Duration::from_secs(10),
    }
}

/// Draws a rank with weight 1/(rank + 1).
fn zipf(count: usize, rng: &mut Rng) -> usize {
    let whole: f64 = (1..=count).map(|rank| 1.0 / rank as f64).sum();
    let mut left = rng.f64() * whole;
    for rank in 0..count {
        left -= 1.0 / (rank + 1) as f64;
        if left <= 0.0 {
            return rank;
        }
    }
    count - 1
}
