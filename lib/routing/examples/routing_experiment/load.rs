//! The workloads under which the policies are compared.

use std::time::Duration;

use fastrand::Rng;
use snipegate_routing::RequestPriority;

use crate::engine::BLOCK_TOKENS;

/// The kind of prompts in a workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptKind {
    /// Prompts with long shared prefixes of unequal popularity.
    SharedPrefix,
    /// Prompts without shared prefixes.
    NoPrefix,
}

/// One request of a workload.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    pub arrival: Duration,
    pub router: usize,
    pub blocks: Vec<u64>,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
    pub max_tokens: u64,
    pub priority: RequestPriority,
    pub deadline: Duration,
}

/// Number of shared prefixes.
const PREFIXES: usize = 40;

/// Tokens of a shared prefix.
const PREFIX_TOKENS: u64 = 24 * BLOCK_TOKENS;

/// Maximum number of tokens of a response.
const MAX_TOKENS: u64 = 128;

/// Mean number of tokens of a response before clamping.
const MEAN_ANSWER_TOKENS: f64 = 50.0;

/// Generates Poisson arrivals with `rate` requests per second during `span`.
pub fn arrivals(
    kind: PromptKind,
    rate: f64,
    span: Duration,
    routers: usize,
    seed: u64,
) -> Vec<LoadRequest> {
    let mut rng = Rng::with_seed(seed);
    let mut arrival = Duration::ZERO;
    let mut requests = Vec::new();
    loop {
        arrival += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        if arrival >= span {
            return requests;
        }
        requests.push(generate_request(kind, arrival, routers, &mut rng));
    }
}

fn generate_request(
    kind: PromptKind,
    arrival: Duration,
    routers: usize,
    rng: &mut Rng,
) -> LoadRequest {
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
        // Twice the mean number of uncached tokens of a shared-prefix prompt, so twice the
        // mean cost to an engine with a warm cache.
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
        arrival,
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
    let total: f64 = (1..=count).map(|rank| 1.0 / rank as f64).sum();
    let mut remaining = rng.f64() * total;
    for rank in 0..count {
        remaining -= 1.0 / (rank + 1) as f64;
        if remaining <= 0.0 {
            return rank;
        }
    }
    count - 1
}
