//! Ledger intents and outcomes, which keep a non-repeatable call from running twice.

use std::time::Duration;

use ntex::rt::spawn;
use snipegate_ledger::CallOutcome;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationResult;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::ResultCode;

use super::CallRunner;
use super::ServiceAnswer;
use super::key_reused;
use super::outcome_unknown;
use super::still_running;
use crate::call_register::CallDigest;
use crate::command::ControlCommand;
use crate::command::RequestHandle;
use crate::command::UpstreamTarget;
use crate::refusal::RequestRefusal;

/// Maximum time for an intent to become durable.
const INTENT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long posting an outcome to the ledger is retried.
const CONCLUDE_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// Result of claiming a call.
pub(super) enum CallClaim {
    /// This attempt holds the claim and may run the call.
    Granted,
    /// An earlier attempt ran the call; its recorded answer is returned.
    Recorded(ServiceAnswer),
}

impl CallRunner {
    pub(super) fn intend_operation(
        &self,
        attempt: OperationId,
        target: &UpstreamTarget,
    ) -> LedgerOperation {
        LedgerOperation::Intend {
            request: self.call.request,
            attempt,
            upstream: target.upstream.clone(),
            digest: self.call.digest(),
        }
    }

    pub(super) fn conclude_operation(
        &self,
        attempt: OperationId,
        outcome: CallOutcome,
    ) -> LedgerOperation {
        LedgerOperation::Conclude {
            request: self.call.request,
            attempt,
            outcome,
        }
    }

    pub(super) async fn post_operations(
        &self,
        operations: Vec<LedgerOperation>,
        wait: Duration,
    ) -> Option<Vec<OperationResult>> {
        let shard = self.call.shard;
        let until = self.clock.now() + wait;
        self.control
            .request(|reply| ControlCommand::Post {
                shard,
                operations,
                until,
                reply,
            })
            .await?
            .ok()
    }

    /// Makes the intent durable, which has to happen before the call is sent.
    pub(super) async fn claim(
        &self,
        handle: RequestHandle,
        attempt: OperationId,
        operations: Vec<LedgerOperation>,
    ) -> Result<CallClaim, RequestRefusal> {
        let left = self.time_left();
        let results = self
            .post_operations(operations, INTENT_TIMEOUT.min(left))
            .await;
        let last = results.and_then(|mut results| results.pop());
        let refusal = match last {
            Some(OperationResult::Intended) => return Ok(CallClaim::Granted),
            Some(OperationResult::AlreadyIntended {
                claimant,
                digest,
                outcome,
                ..
            }) => {
                self.forget_call();
                return self
                    .already_intended(handle, &claimant, digest, outcome)
                    .await;
            }
            Some(OperationResult::Refused(refused)) => {
                self.forget_call();
                RequestRefusal::not_run(refused.result_code(), "intent was refused")
            }
            Some(_) | None => {
                // The intent may still become durable later. It then belongs to this
                // router, which will not run the call.
                self.record_outcome(attempt, CallOutcome::NotRun);
                RequestRefusal::not_run(
                    ResultCode::StoreUnavailable,
                    "the call's intent could not be made durable",
                )
            }
        };
        self.control
            .send(ControlCommand::Abandon { handle, used: None });
        Err(refusal)
    }

    /// Handles a call that an earlier attempt has claimed.
    async fn already_intended(
        &self,
        handle: RequestHandle,
        claimant: &IncarnationId,
        digest: CallDigest,
        outcome: Option<CallOutcome>,
    ) -> Result<CallClaim, RequestRefusal> {
        let abandon = || {
            self.control
                .send(ControlCommand::Abandon { handle, used: None });
        };
        if digest != self.call.digest() {
            abandon();
            return Err(key_reused());
        }
        match outcome {
            Some(CallOutcome::Answered { status, body }) => {
                // The bill of the first run may have been lost with its router. Billing
                // again is safe, since the ledger counts only the first bill of a request.
                let answer = ServiceAnswer {
                    status,
                    body,
                    recorded: true,
                };
                self.settle(handle, answer).await.map(CallClaim::Recorded)
            }
            None if self.is_claimant_up(claimant) => {
                abandon();
                Err(still_running())
            }
            Some(CallOutcome::NotRun | CallOutcome::Unknown) | None => {
                abandon();
                Err(outcome_unknown())
            }
        }
    }

    /// Returns whether the router that claimed the call is up and can still record its outcome.
    fn is_claimant_up(&self, claimant: &IncarnationId) -> bool {
        let view = self.views.borrow();
        let entry = view.member(&claimant.vm, claimant.role);
        entry
            .is_some_and(|entry| &entry.record.incarnation == claimant && !view.is_suspected(entry))
    }

    pub(super) fn forget_call(&self) {
        self.control
            .send(ControlCommand::ForgetCall(self.call.request));
    }

    /// Records the outcome of the call in this router now and in the ledger in the background.
    pub(super) fn record_outcome(&self, attempt: OperationId, outcome: CallOutcome) {
        let request = self.call.request;
        self.control.send(ControlCommand::EndCall {
            request,
            outcome: outcome.clone(),
        });
        let shard = self.call.shard;
        let operations = vec![self.conclude_operation(attempt, outcome)];
        let control = self.control.clone();
        let until = self.clock.now() + CONCLUDE_TIMEOUT;
        spawn(async move {
            let posted = control
                .request(|reply| ControlCommand::Post {
                    shard,
                    operations,
                    until,
                    reply,
                })
                .await;
            if matches!(posted, Some(Ok(_))) {
                control.send(ControlCommand::ForgetCall(request));
            }
        });
    }
}

/// Converts a recorded outcome into the response to the caller.
pub(super) fn recorded_answer(outcome: CallOutcome) -> Result<ServiceAnswer, RequestRefusal> {
    match outcome {
        CallOutcome::Answered { status, body } => Ok(ServiceAnswer {
            status,
            body,
            recorded: true,
        }),
        CallOutcome::NotRun => Err(RequestRefusal::not_run(
            ResultCode::StoreUnavailable,
            "an earlier attempt was not run and its intent is still being voided",
        )),
        CallOutcome::Unknown => Err(outcome_unknown()),
    }
}
