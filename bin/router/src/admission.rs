//! Request admission and upstream selection for each attempt.

use std::time::Duration;
use std::time::Instant;

use snipegate_escrow::BudgetClaim;
use snipegate_escrow::ReservationId;
use snipegate_escrow::ReserveOutcome;
use snipegate_routing::AttemptOutcome;
use snipegate_routing::UpstreamChoice;
use snipegate_types::ResultCode;
use snipegate_types::RunState;

use crate::command::Admission;
use crate::command::AdmitRequest;
use crate::command::RequestHandle;
use crate::command::UpstreamTarget;
use crate::control::AdmitReply;
use crate::control::OpenRequest;
use crate::control::RouterControl;
use crate::control::WaitingRequest;
use crate::refusal::RequestRefusal;

impl RouterControl {
    pub(crate) fn admit(&mut self, request: Box<AdmitRequest>, reply: AdmitReply, now: Instant) {
        if let Some(code) = self.unavailable_code(now) {
            let _ = reply.send(Err(RequestRefusal::not_run(code, "router is not serving")));
            return;
        }
        let route = &request.route;
        let permit = match self
            .route_table
            .admit(&route.workspace, &route.profile, now)
        {
            Ok(permit) => permit,
            Err(refusal) => {
                let refusal = self.route_refusal(&request, refusal, RunState::NotRun);
                let _ = reply.send(Err(refusal));
                return;
            }
        };
        let claim = BudgetClaim {
            request: request.request,
            budget: request.budget.clone(),
            shard: request.shard,
            worst_case: request.worst_case,
        };
        let waiting = WaitingRequest {
            request,
            permit,
            reply,
        };
        match self.escrow.reserve(claim, now) {
            ReserveOutcome::Admitted(reservation) => {
                self.open_request(waiting, reservation, now);
            }
            ReserveOutcome::Waiting(reservation) => {
                self.waiting.insert(reservation, waiting);
            }
            ReserveOutcome::Refused(refusal) => {
                self.refuse_waiting(waiting, refusal.code, refusal.retry_after);
            }
        }
    }

    fn unavailable_code(&self, now: Instant) -> Option<ResultCode> {
        if self.stopping {
            return Some(ResultCode::Stopping);
        }
        self.view.freshness(now).refusal()
    }

    pub(crate) fn refuse_waiting(
        &mut self,
        waiting: WaitingRequest,
        code: ResultCode,
        retry_after: Duration,
    ) {
        self.route_table.release(waiting.permit);
        self.record_decision(&waiting.request, format!("refused {code}: budget"));
        let message = format!(
            "budget {} cannot cover {} tokens here now",
            waiting.request.budget, waiting.request.worst_case
        );
        let refusal = RequestRefusal::not_run(code, message).retry_after(retry_after);
        let _ = waiting.reply.send(Err(refusal));
    }

    pub(crate) fn open_request(
        &mut self,
        waiting: WaitingRequest,
        reservation: ReservationId,
        now: Instant,
    ) {
        let WaitingRequest {
            request,
            permit,
            reply,
        } = waiting;
        let mut open = OpenRequest {
            request,
            permit,
            reservation,
            attempt: None,
            upstream: None,
            attempts: 0,
            may_have_run: false,
        };
        match self.choose_upstream(&mut open, false, now) {
            Ok(target) => {
                let handle = RequestHandle(self.next_handle);
                self.next_handle += 1;
                self.open.insert(handle, open);
                let caller_gone = reply.send(Ok(Admission { handle, target })).is_err();
                if caller_gone {
                    self.abandon(handle, None, now);
                }
            }
            Err(refusal) => {
                self.cancel(open, now);
                let _ = reply.send(Err(refusal));
            }
        }
    }

    pub(crate) fn choose_upstream(
        &mut self,
        open: &mut OpenRequest,
        resume: bool,
        now: Instant,
    ) -> Result<UpstreamTarget, RequestRefusal> {
        let chosen = self.route_table.choose(&open.request.route, now);
        let run = open.run_state();
        let target = match chosen {
            Ok(choice) => self.build_target(open, choice, resume, now),
            Err(refusal) => Err(self.route_refusal(&open.request, refusal, run)),
        }?;
        self.record_decision(&open.request, format!("sent to {}", target.upstream));
        Ok(target)
    }

    fn build_target(
        &mut self,
        open: &mut OpenRequest,
        choice: UpstreamChoice,
        resume: bool,
        now: Instant,
    ) -> Result<UpstreamTarget, RequestRefusal> {
        let Some(entry) = self.view.upstream(&choice.upstream) else {
            // Not expected: the route table is built from this view, so both contain the
            // same upstreams.
            self.route_table
                .finish_attempt(choice.attempt, AttemptOutcome::Withdrawn, now);
            return Err(RequestRefusal::failed(
                ResultCode::NoUpstream,
                open.run_state(),
                "upstream has gone",
            ));
        };
        open.attempt = Some(choice.attempt);
        open.upstream = Some(choice.upstream.clone());
        open.attempts += 1;
        Ok(UpstreamTarget {
            upstream: choice.upstream,
            address: entry.record.address,
            first_byte_timeout: choice.first_byte_timeout,
            progress_timeout: choice.progress_timeout,
            resume,
        })
    }
}
