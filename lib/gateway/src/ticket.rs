//! Counts a request for as long as it lives, however it ends.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use slog::info;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;
use snipegate_types::WorkspaceId;

use crate::gateway::Gateway;
use crate::gossip::PlacedPrompt;
use crate::placement::PlacementChoice;
use crate::terms::PromptShape;
use crate::upstream::upstream_code;

/// Counts a request at an upstream until it is dropped.
pub struct LoadTicket {
    gateway: Rc<Gateway>,
    upstream: UpstreamId,
    unread: Cell<u64>,
    /// When the request was placed.
    pub placed_at: Instant,
}

impl LoadTicket {
    /// Counts a request at the upstream that was chosen for it.
    pub fn new(
        gateway: &Rc<Gateway>,
        choice: &PlacementChoice,
        prompt: Option<&PromptShape>,
    ) -> Self {
        let now = gateway.now();
        let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
        gateway
            .loads
            .borrow_mut()
            .begin(&choice.id, choice.unread, parts, now);
        if !parts.is_empty() {
            gateway.placed.borrow_mut().push(PlacedPrompt {
                upstream: upstream_code(&choice.id),
                parts: parts.iter().map(|part| (part.id, part.tokens)).collect(),
            });
        }
        gateway.gossip_due.notify_one();
        Self {
            gateway: Rc::clone(gateway),
            upstream: choice.id.clone(),
            unread: Cell::new(choice.unread),
            placed_at: now,
        }
    }

    /// Counts the prompt as read.
    pub fn prompt_read(&self) {
        let unread = self.unread.take();
        if unread > 0 {
            let mut loads = self.gateway.loads.borrow_mut();
            loads.prompt_read(&self.upstream, unread);
            drop(loads);
            self.gateway.gossip_due.notify_one();
        }
    }
}

impl Drop for LoadTicket {
    fn drop(&mut self) {
        self.prompt_read();
        self.gateway.loads.borrow_mut().end(&self.upstream);
        self.gateway.gossip_due.notify_one();
    }
}

/// Tokens that are reserved for a request; settled when it is dropped.
pub struct Reservation {
    gateway: Rc<Gateway>,
    workspace: WorkspaceId,
    attempt_id: Box<str>,
    prompt: PromptShape,
    event_tokens: u64,
    sent: Cell<bool>,
    events: Cell<u64>,
}

impl Reservation {
    /// Takes over a reservation of the prompt's greatest cost.
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

    /// Notes that the request went to an upstream that may run it.
    pub fn note_sent(&self) {
        self.sent.set(true);
    }

    /// Notes that the upstream did not run the request.
    pub fn note_not_run(&self) {
        self.sent.set(false);
    }

    /// Notes events that are passed on to the caller.
    pub fn note_events(&self, events: u64) {
        self.events.set(self.events.get() + events);
    }

    /// Notes that the answer's size is not told by its events.
    pub fn note_whole_answer(&self) {
        self.events.set(u64::MAX);
    }

    /// Returns what the request cost.
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
        let reserved = self.prompt.greatest_cost();
        if let Some(purse) = self.gateway.purses.borrow_mut().get_mut(&self.workspace) {
            purse.settle(reserved, cost);
        }
        info!(self.gateway.log, "budget settled"; "request" => &*self.attempt_id,
            "workspace" => %self.workspace, "reserved" => reserved.0, "cost" => cost.0);
        self.gateway.grant_changed.notify_waiters();
    }
}

/// Counts a request as active until it is dropped.
pub struct ActiveGuard {
    gateway: Rc<Gateway>,
}

impl ActiveGuard {
    /// Counts one more active request.
    pub fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.active.set(gateway.active.get() + 1);
        Self {
            gateway: Rc::clone(gateway),
        }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.gateway.active.set(self.gateway.active.get() - 1);
    }
}
