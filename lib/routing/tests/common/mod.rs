//! Upstream specs and requests shared by the tests.

use snipegate_routing::EngineRole;
use snipegate_routing::PromptPrefix;
use snipegate_routing::RequestPhase;
use snipegate_routing::RequestPriority;
use snipegate_routing::RouteRequest;
use snipegate_routing::ServedModel;
use snipegate_routing::UpstreamKind;
use snipegate_routing::UpstreamSpec;
use snipegate_routing::UpstreamState;
use snipegate_types::TokenCount;

/// Creates an engine that serves `model` with `slots` batch slots.
pub fn engine(id: &str, slots: u32) -> UpstreamSpec {
    UpstreamSpec {
        id: id.parse().unwrap(),
        data_centre: "mvd-centro".parse().unwrap(),
        kind: UpstreamKind::ModelRunner,
        models: vec![ServedModel {
            model: "model".parse().unwrap(),
            version: None,
            adapters: Vec::new(),
        }],
        role: EngineRole::Mixed,
        slots,
        state: UpstreamState::Up,
    }
}

/// Creates an idempotent request for `model` without a deadline.
pub fn request() -> RouteRequest {
    RouteRequest {
        workspace: "w".parse().unwrap(),
        profile: "p".parse().unwrap(),
        kind: UpstreamKind::ModelRunner,
        model: "model".parse().unwrap(),
        version: None,
        adapter: None,
        phase: RequestPhase::Start,
        priority: RequestPriority::Normal,
        deadline: None,
        idempotent: true,
        prompt_tokens: TokenCount(500),
        max_tokens: TokenCount(100),
        prefix: PromptPrefix::default(),
        failed_upstreams: Vec::new(),
    }
}
