//! Control state of a router, owned by a single thread.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_escrow::EscrowEffect;
use snipegate_escrow::EscrowEvent;
use snipegate_escrow::ReservationId;
use snipegate_escrow::RouterEscrow;
use snipegate_fleet::FleetView;
use snipegate_routing::AttemptId;
use snipegate_routing::AttemptOutcome;
use snipegate_routing::FailedAttempt;
use snipegate_routing::RequestPermit;
use snipegate_routing::RetryDecision;
use snipegate_routing::RouteRefusal;
use snipegate_routing::RouteTable;
use snipegate_service::MetricRegistry;
use snipegate_types::IncarnationId;
use snipegate_types::ResultCode;
use snipegate_types::RunState;
use snipegate_types::TimeSource;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;
use tokio::sync::oneshot;

use crate::call_register::CallRegister;
use crate::command::Admission;
use crate::command::AdmitRequest;
use crate::command::BillVerdict;
use crate::command::ControlCommand;
use crate::command::FailureReport;
use crate::command::RequestHandle;
use crate::command::UpstreamTarget;
use crate::decision_log::DecisionLog;
use crate::refusal::RequestRefusal;
use crate::view_input::peer_entries;
use crate::view_input::profile_limits;
use crate::view_input::upstream_specs;
use crate::view_input::workspace_limits;

pub(crate) type AdmitReply = oneshot::Sender<Result<Admission, RequestRefusal>>;

/// A request that is waiting for budget tokens.
pub(crate) struct WaitingRequest {
    pub(crate) request: Box<AdmitRequest>,
    pub(crate) permit: RequestPermit,
    pub(crate) reply: AdmitReply,
}

/// An admitted request.
pub(crate) struct OpenRequest {
    pub(crate) request: Box<AdmitRequest>,
    pub(crate) permit: RequestPermit,
    pub(crate) reservation: ReservationId,
    pub(crate) attempt: Option<AttemptId>,
    pub(crate) upstream: Option<UpstreamId>,
    pub(crate) attempts: u32,
    /// Whether any attempt may have run on an upstream.
    pub(crate) may_have_run: bool,
}

/// State of the control thread: budgets, routing and open requests.
///
/// It performs no I/O. It handles commands, returns the [`EscrowEffect`]s that need the
/// network, and sends replies on the channels passed with the commands.
pub struct RouterControl {
    pub(crate) incarnation: IncarnationId,
    pub(crate) escrow: RouterEscrow,
    pub(crate) route_table: RouteTable,
    pub(crate) view: Arc<FleetView>,
    pub(crate) waiting: HashMap<ReservationId, WaitingRequest>,
    pub(crate) open: IndexMap<RequestHandle, OpenRequest>,
    pub(crate) bills: HashMap<ReservationId, oneshot::Sender<BillVerdict>>,
    pub(crate) decision_log: DecisionLog,
    pub(crate) calls: CallRegister,
    pub(crate) next_handle: u64,
    pub(crate) stopping: bool,
    pub(crate) clock: Arc<dyn TimeSource>,
    pub(crate) metrics: MetricRegistry,
    /// Dead routers, each with whether everything held from it has been posted.
    pub(crate) fences: HashMap<IncarnationId, bool>,
}

impl RouterControl {
    /// Creates the control state of an incarnation that holds no tokens yet.
    pub fn new(
        incarnation: IncarnationId,
        escrow: RouterEscrow,
        route_table: RouteTable,
        clock: Arc<dyn TimeSource>,
        metrics: MetricRegistry,
    ) -> Self {
        Self {
            incarnation,
            escrow,
            route_table,
            view: Arc::default(),
            waiting: HashMap::new(),
            open: IndexMap::new(),
            bills: HashMap::new(),
            decision_log: DecisionLog::default(),
            calls: CallRegister::default(),
            next_handle: 0,
            stopping: false,
            clock,
            metrics,
            fences: HashMap::new(),
        }
    }

    /// Returns the number of open requests, including waiting ones, unconfirmed bills and
    /// registered calls.
    pub fn open_count(&self) -> usize {
        self.open.len() + self.waiting.len() + self.bills.len() + self.calls.len()
    }

    /// Returns the number of attempts that have not ended.
    pub fn outstanding_attempts(&self) -> usize {
        self.route_table.pool().outstanding()
    }

    /// Returns the fleet view that decisions are based on.
    pub fn view(&self) -> &Arc<FleetView> {
        &self.view
    }

    /// Handles a command. Posts are handled by the driver and ignored here.
    pub fn handle(&mut self, command: ControlCommand, now: Instant) {
        match command {
            ControlCommand::Admit { request, reply } => self.admit(request, reply, now),
            ControlCommand::FirstByte(handle) => self.record_first_byte(handle, now),
            ControlCommand::Failed {
                handle,
                report,
                reply,
            } => {
                let next = self.handle_failure(handle, report, now);
                let _ = reply.send(next);
            }
            ControlCommand::Complete {
                handle,
                used,
                outcome,
                reply,
            } => self.complete(handle, used, outcome, reply, now),
            ControlCommand::Abandon { handle, used } => self.abandon(handle, used, now),
            ControlCommand::BeginCall {
                request,
                digest,
                reply,
            } => {
                let _ = reply.send(self.calls.begin(request, digest));
            }
            ControlCommand::EndCall { request, outcome } => self.calls.end(request, outcome),
            ControlCommand::ForgetCall(request) => self.calls.forget(request),
            ControlCommand::BatchEnded { shard, id, outcome } => {
                let event = EscrowEvent::BatchEnded { shard, id, outcome };
                self.escrow.handle(event, now);
            }
            ControlCommand::PeerMessage { from, message } => {
                let event = EscrowEvent::PeerMessageReceived { from, message };
                self.escrow.handle(event, now);
            }
            ControlCommand::RecallRequested(budget) => {
                self.escrow
                    .handle(EscrowEvent::RecallRequested { budget }, now);
            }
            ControlCommand::FenceRequested { dead, reply } => self.handle_fence(dead, reply, now),
            ControlCommand::LoadReported { upstream, report } => {
                self.route_table.record_load_report(&upstream, &report, now);
            }
            ControlCommand::CacheReported { upstream, events } => {
                for event in &events {
                    self.route_table.apply_cache_event(&upstream, event);
                }
            }
            ControlCommand::ViewChanged(view) => self.update_view(view, now),
            ControlCommand::Explain { request, reply } => {
                let _ = reply.send(self.decision_log.of_request(request));
            }
            ControlCommand::Stop => {
                self.stopping = true;
                self.escrow.handle(EscrowEvent::Stop, now);
            }
            ControlCommand::CountOpen(reply) => {
                let _ = reply.send(self.open_count());
            }
            ControlCommand::Post { .. } => {}
        }
    }

    /// Lets the escrow act on timers that have expired.
    pub fn tick(&mut self, now: Instant) {
        self.escrow.handle(EscrowEvent::Tick, now);
    }

    /// Applies the effects that need no network access and returns the others.
    pub fn take_effects(&mut self, now: Instant) -> Vec<EscrowEffect> {
        let mut network_effects = Vec::new();
        // Admitting a waiting request can produce further effects.
        loop {
            let effects = self.escrow.take_effects(now);
            if effects.is_empty() {
                return network_effects;
            }
            for effect in effects {
                if let Some(effect) = self.apply_effect(effect, now) {
                    network_effects.push(effect);
                }
            }
        }
    }

    fn apply_effect(&mut self, effect: EscrowEffect, now: Instant) -> Option<EscrowEffect> {
        match effect {
            EscrowEffect::Admitted { reservation } => {
                if let Some(waiting) = self.waiting.remove(&reservation) {
                    self.open_request(waiting, reservation, now);
                }
                None
            }
            EscrowEffect::Refused {
                reservation,
                code,
                retry_after,
            } => {
                if let Some(waiting) = self.waiting.remove(&reservation) {
                    self.refuse_waiting(waiting, code, retry_after);
                }
                None
            }
            EscrowEffect::BillSafe {
                reservation,
                amount,
                ..
            } => {
                self.send_verdict(reservation, BillVerdict::Durable(amount));
                None
            }
            EscrowEffect::BillUnsafe { reservation, .. } => {
                self.send_verdict(reservation, BillVerdict::NotDurable);
                None
            }
            EscrowEffect::FenceCompleted { dead } => {
                self.fences.insert(dead, true);
                None
            }
            EscrowEffect::Count { counter, count } => {
                let name = format!("escrow.{counter}");
                self.metrics.add(&name, count as i64);
                None
            }
            network_effect => Some(network_effect),
        }
    }

    fn send_verdict(&mut self, reservation: ReservationId, verdict: BillVerdict) {
        if let Some(reply) = self.bills.remove(&reservation) {
            let _ = reply.send(verdict);
        }
    }

    fn record_first_byte(&mut self, handle: RequestHandle, now: Instant) {
        if let Some(attempt) = self.open.get(&handle).and_then(|open| open.attempt) {
            self.route_table.record_first_byte(attempt, now);
        }
    }

    fn handle_failure(
        &mut self,
        handle: RequestHandle,
        report: FailureReport,
        now: Instant,
    ) -> Result<UpstreamTarget, RequestRefusal> {
        let Some(mut open) = self.open.shift_remove(&handle) else {
            return Err(unknown_handle());
        };
        open.may_have_run |= !report.outcome.proves_not_run();
        open.request
            .route
            .failed_upstreams
            .extend(open.upstream.take());
        if let Some(attempt) = open.attempt.take() {
            self.route_table
                .finish_attempt(attempt, report.outcome, now);
        }
        let failed = FailedAttempt {
            outcome: report.outcome,
            bytes_sent_to_caller: report.sent_to_caller,
            resumable: report.resumable,
            attempts: open.attempts,
        };
        let decision = self
            .route_table
            .decide_retry(&open.request.route, &failed, now);
        self.record_decision(
            &open.request,
            format!("attempt failed: {}, {decision:?}", report.outcome),
        );
        let next = match decision {
            RetryDecision::SendAgain(_) => self.choose_upstream(&mut open, false, now),
            RetryDecision::Resume => self.choose_upstream(&mut open, true, now),
            RetryDecision::GiveUp(refusal) => {
                let run = open.run_state();
                Err(self.route_refusal(&open.request, refusal, run))
            }
        };
        match next {
            Ok(target) => {
                self.open.insert(handle, open);
                Ok(target)
            }
            Err(refusal) => {
                self.cancel(open, now);
                Err(refusal)
            }
        }
    }

    fn complete(
        &mut self,
        handle: RequestHandle,
        used: TokenCount,
        outcome: AttemptOutcome,
        reply: oneshot::Sender<BillVerdict>,
        now: Instant,
    ) {
        let Some(mut open) = self.open.shift_remove(&handle) else {
            let _ = reply.send(BillVerdict::NotDurable);
            return;
        };
        if let Some(attempt) = open.attempt.take() {
            self.route_table.finish_attempt(attempt, outcome, now);
        }
        self.route_table.release(open.permit);
        self.record_decision(&open.request, format!("complete, {used} tokens used"));
        if used > open.request.worst_case {
            self.metrics.count("bill.capped");
        }
        self.bills.insert(open.reservation, reply);
        self.escrow.settle(open.reservation, used, now);
    }

    pub(crate) fn abandon(
        &mut self,
        handle: RequestHandle,
        used: Option<TokenCount>,
        now: Instant,
    ) {
        let Some(mut open) = self.open.shift_remove(&handle) else {
            return;
        };
        self.metrics.count("requests.abandoned");
        if let Some(attempt) = open.attempt.take() {
            self.route_table
                .finish_attempt(attempt, AttemptOutcome::Cancelled, now);
        }
        self.record_decision(&open.request, format!("abandoned, {used:?} used"));
        match used {
            Some(used) => {
                self.route_table.release(open.permit);
                self.escrow.settle(open.reservation, used, now);
            }
            None => self.cancel(open, now),
        }
    }

    /// Closes a request without billing it.
    pub(crate) fn cancel(&mut self, open: OpenRequest, now: Instant) {
        self.route_table.release(open.permit);
        self.escrow.cancel(open.reservation, now);
    }

    fn handle_fence(&mut self, dead: IncarnationId, reply: oneshot::Sender<bool>, now: Instant) {
        if dead == self.incarnation {
            // A router that can answer is alive, so it never confirms its own death.
            let _ = reply.send(false);
            return;
        }
        self.fences.entry(dead.clone()).or_insert(false);
        self.escrow
            .handle(EscrowEvent::FenceRequested { dead: dead.clone() }, now);
        let done = self.fences.get(&dead).copied().unwrap_or(false);
        let _ = reply.send(done);
    }

    fn update_view(&mut self, view: Arc<FleetView>, now: Instant) {
        let previous = std::mem::replace(&mut self.view, Arc::clone(&view));
        if view.has_same_content(&previous) {
            return;
        }
        self.route_table.set_upstreams(upstream_specs(&view), now);
        self.route_table
            .set_limits(workspace_limits(&view), profile_limits(&view));
        let peers = peer_entries(&view, &self.incarnation);
        self.escrow.handle(EscrowEvent::PeersChanged(peers), now);
        self.metrics
            .set_gauge("view.revision", view.revision().number);
    }

    pub(crate) fn route_refusal(
        &mut self,
        request: &AdmitRequest,
        refusal: RouteRefusal,
        run: RunState,
    ) -> RequestRefusal {
        self.record_decision(
            request,
            format!("refused {}: {}", refusal.code, refusal.reason),
        );
        self.metrics
            .count_tagged("route.refused", refusal.reason.into());
        let response = RequestRefusal::failed(refusal.code, run, refusal.reason.to_string());
        match refusal.retry_after {
            Some(delay) => response.retry_after(delay),
            None => response,
        }
    }

    pub(crate) fn record_decision(&mut self, request: &AdmitRequest, decision: String) {
        self.decision_log
            .record(request.request, self.clock.wall_time(), decision);
    }
}

impl OpenRequest {
    pub(crate) fn run_state(&self) -> RunState {
        match self.may_have_run {
            true => RunState::Unknown,
            false => RunState::NotRun,
        }
    }
}

fn unknown_handle() -> RequestRefusal {
    RequestRefusal::failed(
        ResultCode::InternalFault,
        RunState::Unknown,
        "request is not open",
    )
}
