//! Guards that account for a request until they are dropped, also if its task is cancelled.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use slog::info;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;
use snipegate_types::WorkspaceId;

use crate::config::ServiceName;
use crate::gateway::Gateway;
use crate::gossip::PlacedPrompt;
use crate::metadata::PromptShape;
use crate::placement::PlacementChoice;
use crate::upstream::UpstreamEntry;
use crate::upstream::upstream_code;

/// Counts a request as outstanding at an upstream until it is dropped.
pub struct LoadGuard {
    gateway: Rc<Gateway>,
    upstream: UpstreamId,
    /// Service of the upstream, if the request is a generation.
    service: Option<ServiceName>,
    uncached_tokens: Cell<u64>,
    /// When the upstream was selected.
    pub placed_at: Instant,
}

impl LoadGuard {
    /// Counts a request as outstanding at the selected upstream.
    pub fn new(
        gateway: &Rc<Gateway>,
        entry: &UpstreamEntry,
        choice: &PlacementChoice,
        prompt: Option<&PromptShape>,
    ) -> Self {
        let now = gateway.now();
        let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
        let mut loads = gateway.loads.borrow_mut();
        loads.begin(&choice.id, choice.uncached_tokens, parts, now);
        if let Some(prompt) = prompt {
            loads.record_prompt(&entry.service, prompt.input.0);
        }
        drop(loads);
        if !parts.is_empty() {
            gateway.placed.borrow_mut().push(PlacedPrompt {
                upstream: upstream_code(&choice.id),
                parts: parts.iter().map(|part| (part.id, part.tokens)).collect(),
            });
        }
        gateway.gossip_notify.notify_one();
        Self {
            gateway: Rc::clone(gateway),
            upstream: choice.id.clone(),
            service: prompt.map(|_| entry.service.clone()),
            uncached_tokens: Cell::new(choice.uncached_tokens),
            placed_at: now,
        }
    }

    /// Records that the prompt was processed.
    pub fn record_prefill_finished(&self) {
        let uncached_tokens = self.uncached_tokens.take();
        if uncached_tokens > 0 {
            let mut loads = self.gateway.loads.borrow_mut();
            loads.prefill_finished(&self.upstream, uncached_tokens);
            drop(loads);
            self.gateway.gossip_notify.notify_one();
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.record_prefill_finished();
        let mut loads = self.gateway.loads.borrow_mut();
        loads.end(&self.upstream);
        if let Some(service) = &self.service {
            let now = self.gateway.now();
            let residence = now.saturating_duration_since(self.placed_at);
            loads.record_residence(service, residence);
        }
        drop(loads);
        self.gateway.gossip_notify.notify_one();
    }
}

/// Tokens reserved from a workspace's budget; settled at the actual cost on drop.
pub struct Reservation {
    gateway: Rc<Gateway>,
    workspace: WorkspaceId,
    attempt_id: Box<str>,
    prompt: PromptShape,
    /// Most tokens that one event carries.
    event_tokens: u64,
    /// Whether the request was sent to an upstream that may run it.
    sent: Cell<bool>,
    /// Events forwarded to the caller; `u64::MAX` if they don't measure the output.
    events: Cell<u64>,
}

impl Reservation {
    /// Takes ownership of a reservation of the prompt's maximum cost.
    pub fn new(
        gateway: &Rc<Gateway>,
        workspace: &WorkspaceId,
        attempt_id: &str,
        prompt: &PromptShape,
        event_tokens: u64,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            workspace: workspace.clone(),
            attempt_id: attempt_id.into(),
            prompt: prompt.clone(),
            event_tokens,
            sent: Cell::new(false),
            events: Cell::new(0),
        }
    }

    /// Records that the request was sent to an upstream that may run it.
    pub fn record_sent(&self) {
        self.sent.set(true);
    }

    /// Records that no upstream has run the request.
    pub fn record_not_run(&self) {
        self.sent.set(false);
    }

    /// Records events forwarded to the caller.
    pub fn record_events(&self, events: u64) {
        self.events.set(self.events.get() + events);
    }

    /// Records that the output can't be measured in events; the maximum is charged.
    pub fn record_unmeasured_output(&self) {
        self.events.set(u64::MAX);
    }

    /// Returns the cost of the request.
    fn cost(&self) -> TokenCount {
        if !self.sent.get() {
            return TokenCount::ZERO;
        }
        let output = self.events.get().saturating_mul(self.event_tokens);
        let output = TokenCount(output).min(self.prompt.max_output);
        self.prompt.input.saturating_add(output)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let cost = self.cost();
        let reserved = self.prompt.max_cost();
        if let Some(holding) = self.gateway.holdings.borrow_mut().get_mut(&self.workspace) {
            holding.settle(reserved, cost);
        }
        info!(self.gateway.log, "budget settled"; "request" => &*self.attempt_id,
            "workspace" => %self.workspace, "reserved" => reserved.0, "cost" => cost.0);
        self.gateway.grant_changed.notify_waiters();
    }
}

/// Counts a request as active until it is dropped.
pub struct ActiveRequestGuard {
    gateway: Rc<Gateway>,
}

impl ActiveRequestGuard {
    /// Increments the number of active requests and that of all requests.
    pub fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.active.set(gateway.active.get() + 1);
        let requests = &gateway.room.requests;
        requests.set(requests.get() + 1);
        Self {
            gateway: Rc::clone(gateway),
        }
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.gateway.active.set(self.gateway.active.get() - 1);
    }
}
