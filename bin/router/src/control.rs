//! The control state of a router: one thread owns it.

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
use crate::command::SendOrder;
use crate::refusal::RequestRefusal;
use crate::trail::DecisionTrail;
use crate::view_input::peer_entries;
use crate::view_input::profile_limits;
use crate::view_input::upstream_specs;
use crate::view_input::workspace_limits;

pub(crate) type AdmitReply = oneshot::Sender<Result<Admission, RequestRefusal>>;

/// A request that waits for its budget.
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
    /// Whether some attempt may have run at an upstream.
    pub(crate) may_have_run: bool,
}

/// Everything that the control thread owns.
///
/// It has no sockets: commands go in, [`EscrowEffect`]s that need the network
/// come out, and replies go to the channels that came with the commands.
pub struct RouterControl {
    pub(crate) own: IncarnationId,
    pub(crate) escrow: RouterEscrow,
    pub(crate) table: RouteTable,
    pub(crate) view: Arc<FleetView>,
    pub(crate) waiting: HashMap<ReservationId, WaitingRequest>,
    pub(crate) open: IndexMap<RequestHandle, OpenRequest>,
    pub(crate) bills: HashMap<ReservationId, oneshot::Sender<BillVerdict>>,
    pub(crate) trail: DecisionTrail,
    pub(crate) calls: CallRegister,
    pub(crate) next_handle: u64,
    pub(crate) stopping: bool,
    pub(crate) clock: Arc<dyn TimeSource>,
    pub(crate) metrics: MetricRegistry,
    pub(crate) fences: HashMap<IncarnationId, bool>,
}

impl RouterControl {
    /// Makes the control state of an incarnation that holds nothing yet.
    pub fn new(
        own: IncarnationId,
        escrow: RouterEscrow,
        table: RouteTable,
        clock: Arc<dyn TimeSource>,
        metrics: MetricRegistry,
    ) -> Self {
        Self {
            own,
            escrow,
            table,
            view: Arc::default(),
            waiting: HashMap::new(),
            open: IndexMap::new(),
            bills: HashMap::new(),
            trail: DecisionTrail::default(),
            calls: CallRegister::default(),
            next_handle: 0,
            stopping: false,
            clock,
            metrics,
            fences: HashMap::new(),
        }
    }

    /// Returns how many requests are open, waiting ones included.
    pub fn open_count(&self) -> usize {
        self.open.len() + self.waiting.len() + self.bills.len() + self.calls.len()
    }

    /// Returns how many attempts at upstreams have not ended.
    pub fn outstanding_attempts(&self) -> usize {
        self.table.pool().outstanding()
    }

    /// Returns the view that decisions are taken under.
    pub fn view(&self) -> &Arc<FleetView> {
        &self.view
    }

    /// Takes in a command; posts are the driver's and are not seen here.
    pub fn handle(&mut self, command: ControlCommand, now: Instant) {
        match command {
            ControlCommand::Admit { request, reply } => self.admit(request, reply, now),
            ControlCommand::FirstByte(handle) => self.first_byte(handle, now),
            ControlCommand::Failed {
                handle,
                report,
                reply,
            } => {
                let answer = self.failed(handle, report, now);
                let _ = reply.send(answer);
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
            ControlCommand::PeerSaid { from, message } => {
                let event = EscrowEvent::PeerSaid { from, message };
                self.escrow.handle(event, now);
            }
            ControlCommand::RecallAsked(budget) => {
                self.escrow.handle(EscrowEvent::RecallAsked { budget }, now);
            }
            ControlCommand::FenceAsked { dead, reply } => self.fence(dead, reply, now),
            ControlCommand::LoadReported { upstream, report } => {
                self.table.load_reported(&upstream, &report, now);
            }
            ControlCommand::CacheReported { upstream, events } => {
                for event in &events {
                    self.table.cache_event(&upstream, event);
                }
            }
            ControlCommand::ViewChanged(view) => self.view_changed(view, now),
            ControlCommand::Explain { request, reply } => {
                let _ = reply.send(self.trail.of_request(request));
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

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        self.escrow.handle(EscrowEvent::Tick, now);
    }

    /// Carries out what needs no network and returns the rest.
    pub fn take_effects(&mut self, now: Instant) -> Vec<EscrowEffect> {
        let mut outward = Vec::new();
        // Admitting a waiting request can itself have effects.
        loop {
            let effects = self.escrow.take_effects(now);
            if effects.is_empty() {
                return outward;
            }
            for effect in effects {
                if let Some(effect) = self.apply(effect, now) {
                    outward.push(effect);
                }
            }
        }
    }

    fn apply(&mut self, effect: EscrowEffect, now: Instant) -> Option<EscrowEffect> {
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
                self.send_verdict(reservation, BillVerdict::Safe(amount));
                None
            }
            EscrowEffect::BillUnsafe { reservation, .. } => {
                self.send_verdict(reservation, BillVerdict::Unsafe);
                None
            }
            EscrowEffect::FenceDone { dead } => {
                self.fences.insert(dead, true);
                None
            }
            EscrowEffect::Count { counter, count } => {
                let name = format!("escrow.{counter}");
                self.metrics.add(&name, count as i64);
                None
            }
            outward => Some(outward),
        }
    }

    fn send_verdict(&mut self, reservation: ReservationId, verdict: BillVerdict) {
        if let Some(reply) = self.bills.remove(&reservation) {
            let _ = reply.send(verdict);
        }
    }

    fn first_byte(&mut self, handle: RequestHandle, now: Instant) {
        if let Some(attempt) = self.open.get(&handle).and_then(|open| open.attempt) {
            self.table.first_byte(attempt, now);
        }
    }

    fn failed(
        &mut self,
        handle: RequestHandle,
        report: FailureReport,
        now: Instant,
    ) -> Result<SendOrder, RequestRefusal> {
        let Some(mut open) = self.open.shift_remove(&handle) else {
            return Err(unknown_handle());
        };
        open.may_have_run |= !report.outcome.proves_not_run();
        open.request.route.avoid.extend(open.upstream.take());
        if let Some(attempt) = open.attempt.take() {
            self.table.finished(attempt, report.outcome, now);
        }
        let failed = FailedAttempt {
            outcome: report.outcome,
            sent_to_caller: report.sent_to_caller,
            resumable: report.resumable,
            attempts: open.attempts,
        };
        let decision = self
            .table
            .retry_after_failure(&open.request.route, &failed, now);
        self.note(
            &open.request,
            format!("attempt failed: {}, {decision:?}", report.outcome),
        );
        let next = match decision {
            RetryDecision::SendAgain(_) => self.choose(&mut open, false, now),
            RetryDecision::Resume => self.choose(&mut open, true, now),
            RetryDecision::GiveUp(refusal) => {
                let run = open.run_state();
                Err(self.route_refusal(&open.request, refusal, run))
            }
        };
        match next {
            Ok(order) => {
                self.open.insert(handle, open);
                Ok(order)
            }
            Err(refusal) => {
                self.close(open, now);
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
            let _ = reply.send(BillVerdict::Unsafe);
            return;
        };
        if let Some(attempt) = open.attempt.take() {
            self.table.finished(attempt, outcome, now);
        }
        self.table.release(open.permit);
        self.note(&open.request, format!("complete, {used} tokens used"));
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
            self.table.finished(attempt, AttemptOutcome::Cancelled, now);
        }
        self.note(&open.request, format!("abandoned, {used:?} used"));
        match used {
            Some(used) => {
                self.table.release(open.permit);
                self.escrow.settle(open.reservation, used, now);
            }
            None => self.close(open, now),
        }
    }

    pub(crate) fn close(&mut self, open: OpenRequest, now: Instant) {
        self.table.release(open.permit);
        self.escrow.cancel(open.reservation, now);
    }

    fn fence(&mut self, dead: IncarnationId, reply: oneshot::Sender<bool>, now: Instant) {
        if dead == self.own {
            // A router that can answer has not ended; never confirm its own death.
            let _ = reply.send(false);
            return;
        }
        self.fences.entry(dead.clone()).or_insert(false);
        self.escrow
            .handle(EscrowEvent::FenceAsked { dead: dead.clone() }, now);
        let done = self.fences.get(&dead).copied().unwrap_or(false);
        let _ = reply.send(done);
    }

    fn view_changed(&mut self, view: Arc<FleetView>, now: Instant) {
        let before = std::mem::replace(&mut self.view, Arc::clone(&view));
        if view.has_same_content(&before) {
            return;
        }
        self.table.upstreams_changed(upstream_specs(&view), now);
        self.table
            .limits_changed(workspace_limits(&view), profile_limits(&view));
        let peers = peer_entries(&view, &self.own);
        self.escrow.handle(EscrowEvent::PeersChanged(peers), now);
        self.metrics.set_gauge("view.revision", view.revision().0);
    }

    pub(crate) fn route_refusal(
        &mut self,
        request: &AdmitRequest,
        refusal: RouteRefusal,
        run: RunState,
    ) -> RequestRefusal {
        self.note(
            request,
            format!("refused {}: {}", refusal.code, refusal.reason),
        );
        self.metrics
            .count_tagged("route.refused", refusal.reason.into());
        let answer = RequestRefusal::failed(refusal.code, run, refusal.reason.to_string());
        match refusal.retry_after {
            Some(span) => answer.retry_after(span),
            None => answer,
        }
    }

    pub(crate) fn note(&mut self, request: &AdmitRequest, decision: String) {
        self.trail
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
