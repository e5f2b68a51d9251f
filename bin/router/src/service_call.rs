//! Calls to plain services, repeatable and non-repeatable.

mod intent;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use ntex::util::Bytes;
use sha2::Digest;
use sha2::Sha256;
use snipegate_fleet::FleetView;
use snipegate_ledger::CallOutcome;
use snipegate_routing::AttemptOutcome;
use snipegate_types::ByteCount;
use snipegate_types::ModelName;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::ResultCode;
use snipegate_types::RunState;
use snipegate_types::ShardId;
use snipegate_types::TimeSource;
use snipegate_types::TokenCount;
use tokio::sync::watch;

use self::intent::CallClaim;
use self::intent::recorded_answer;
use crate::call_register::CallDigest;
use crate::call_register::RegisterResult;
use crate::command::Admission;
use crate::command::AdmitRequest;
use crate::command::BillVerdict;
use crate::command::ControlCommand;
use crate::command::ControlHandle;
use crate::command::FailureReport;
use crate::command::RequestHandle;
use crate::command::UpstreamTarget;
use crate::refusal::RequestRefusal;
use crate::upstream_client::UpstreamCall;
use crate::upstream_client::UpstreamClient;

/// Maximum size of a plain service's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Maximum number of bytes of an answer that are recorded for retries; the rest is
/// dropped from the record.
const MAX_RECORDED_BYTES: usize = 1 << 10;

/// A call to a plain service.
#[derive(Clone)]
pub struct ServiceCall {
    /// Id of the request.
    pub request: RequestId,
    /// Name of the service.
    pub service: ModelName,
    /// The body, forwarded unchanged.
    pub body: Bytes,
    /// The content type, forwarded unchanged.
    pub content_type: String,
    /// The caller's idempotency key, forwarded unchanged.
    pub idempotency_key: Option<String>,
    /// Whether the call may be sent to an upstream more than once.
    pub repeatable: bool,
    /// Cost of a successful call.
    pub tokens: TokenCount,
    /// The ledger shard of the workspace.
    pub shard: ShardId,
    /// Time by which the whole answer must have been received.
    pub deadline: Instant,
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Vec<u8>,
    /// Whether this is the recorded answer of an earlier attempt.
    pub recorded: bool,
}

/// Runs one call, in its own task so that it outlives the caller's connection.
pub struct CallRunner {
    /// The call to run.
    pub call: ServiceCall,
    /// Sends commands to the control thread.
    pub control: ControlHandle,
    /// HTTP client for upstreams; not shared if the call is not repeatable.
    pub client: Rc<UpstreamClient>,
    /// The latest fleet view.
    pub views: watch::Receiver<Arc<FleetView>>,
    /// Source of the current time.
    pub clock: Arc<dyn TimeSource>,
}

impl ServiceCall {
    /// Returns the digest that distinguishes this call from others with the same key.
    pub fn digest(&self) -> CallDigest {
        let digest = Sha256::new()
            .chain_update(self.service.as_str().as_bytes())
            .chain_update([0])
            .chain_update(&self.body)
            .finalize();
        let mut bytes = CallDigest::default();
        bytes.copy_from_slice(&digest[..16]);
        bytes
    }
}

/// Returns a random id for a new attempt.
fn new_attempt_id() -> OperationId {
    OperationId::from_number(fastrand::u128(..))
}

fn router_stopped() -> RequestRefusal {
    RequestRefusal::failed(
        ResultCode::Stopping,
        RunState::Unknown,
        "router has stopped",
    )
}

fn outcome_unknown() -> RequestRefusal {
    RequestRefusal::failed(
        ResultCode::OutcomeUnknown,
        RunState::Unknown,
        "the call was sent and its outcome is not known; it will not be sent again",
    )
}

fn still_running() -> RequestRefusal {
    RequestRefusal::failed(
        ResultCode::StillRunning,
        RunState::Unknown,
        "the same call is in progress",
    )
}

fn key_reused() -> RequestRefusal {
    RequestRefusal::not_run(
        ResultCode::IdempotencyKeyReused,
        "the idempotency key was used for another call",
    )
}

impl CallRunner {
    /// Admits and runs the call.
    ///
    /// # Errors
    ///
    /// Returns the error response if the call fails.
    pub async fn run(self, admit: AdmitRequest) -> Result<ServiceAnswer, RequestRefusal> {
        if self.call.repeatable {
            let admission = self.admit(admit).await?;
            return self.run_repeatable(admission).await;
        }
        let request = self.call.request;
        let digest = self.call.digest();
        let start = self
            .control
            .request(|reply| ControlCommand::BeginCall {
                request,
                digest,
                reply,
            })
            .await
            .ok_or_else(router_stopped)?;
        match start {
            RegisterResult::New => self.run_once(admit).await,
            RegisterResult::Reused => Err(key_reused()),
            RegisterResult::Ended(outcome) => recorded_answer(outcome),
            RegisterResult::Running => Err(still_running()),
        }
    }

    async fn admit(&self, admit: AdmitRequest) -> Result<Admission, RequestRefusal> {
        self.control
            .request(|reply| ControlCommand::Admit {
                request: Box::new(admit),
                reply,
            })
            .await
            .unwrap_or_else(|| Err(router_stopped()))
    }

    async fn run_repeatable(&self, admission: Admission) -> Result<ServiceAnswer, RequestRefusal> {
        let handle = admission.handle;
        let mut target = admission.target;
        loop {
            match self.send(&target).await {
                Ok(answer) => return self.settle(handle, answer).await,
                Err(outcome) => target = self.report_failure(handle, outcome).await?,
            }
        }
    }

    /// Runs a non-repeatable call after recording its intent in the ledger.
    async fn run_once(&self, admit: AdmitRequest) -> Result<ServiceAnswer, RequestRefusal> {
        let admission = match self.admit(admit).await {
            Ok(admission) => admission,
            Err(refusal) => {
                self.forget_call();
                return Err(refusal);
            }
        };
        let handle = admission.handle;
        let mut target = admission.target;
        let mut attempt = new_attempt_id();
        let mut operations = vec![self.intend_operation(attempt, &target)];
        loop {
            if let CallClaim::Recorded(answer) = self.claim(handle, attempt, operations).await? {
                return Ok(answer);
            }
            match self.send(&target).await {
                Ok(answer) => return self.complete_once(handle, attempt, answer).await,
                Err(outcome) if outcome.proves_not_run() => {
                    let void = self.conclude_operation(attempt, CallOutcome::NotRun);
                    match self.report_failure(handle, outcome).await {
                        Ok(next) => {
                            target = next;
                            attempt = new_attempt_id();
                            operations = vec![void, self.intend_operation(attempt, &target)];
                        }
                        Err(refusal) => {
                            self.record_outcome(attempt, CallOutcome::NotRun);
                            return Err(refusal);
                        }
                    }
                }
                Err(outcome) => {
                    // The call is not idempotent, so the reply can only be a refusal;
                    // the one returned here is more specific.
                    let _ = self.report_failure(handle, outcome).await;
                    self.record_outcome(attempt, CallOutcome::Unknown);
                    return Err(outcome_unknown());
                }
            }
        }
    }

    fn time_left(&self) -> Duration {
        self.call
            .deadline
            .saturating_duration_since(self.clock.now())
    }

    async fn send(&self, target: &UpstreamTarget) -> Result<ServiceAnswer, AttemptOutcome> {
        let call = &self.call;
        let mut headers = vec![
            ("content-type", call.content_type.clone()),
            ("x-request-id", call.request.to_string()),
        ];
        if let Some(key) = &call.idempotency_key {
            headers.push(("idempotency-key", key.clone()));
        }
        let path = format!("/services/{}", call.service);
        let left = self.time_left();
        let upstream_call = UpstreamCall {
            address: target.address,
            path: &path,
            headers,
            body: call.body.clone(),
        };
        let mut answer = self
            .client
            .post(upstream_call, target.first_byte_timeout.min(left))
            .await?;
        // An error status is retried only if the call is repeatable; otherwise it is
        // returned to the caller.
        if call.repeatable
            && let Some(outcome) = answer.failure()
        {
            answer.read_to_end(target.progress_timeout).await;
            return Err(outcome);
        }
        let body = answer
            .read_all(target.progress_timeout, MAX_ANSWER_BYTES)
            .await?;
        Ok(ServiceAnswer {
            status: answer.status(),
            body,
            recorded: false,
        })
    }

    async fn report_failure(
        &self,
        handle: RequestHandle,
        outcome: AttemptOutcome,
    ) -> Result<UpstreamTarget, RequestRefusal> {
        let report = FailureReport {
            outcome,
            sent_to_caller: ByteCount::ZERO,
            resumable: false,
        };
        self.control
            .request(|reply| ControlCommand::Failed {
                handle,
                report,
                reply,
            })
            .await
            .unwrap_or_else(|| Err(router_stopped()))
    }

    async fn complete_once(
        &self,
        handle: RequestHandle,
        attempt: OperationId,
        answer: ServiceAnswer,
    ) -> Result<ServiceAnswer, RequestRefusal> {
        let mut body = answer.body.clone();
        body.truncate(MAX_RECORDED_BYTES);
        let outcome = CallOutcome::Answered {
            status: answer.status,
            body,
        };
        self.record_outcome(attempt, outcome);
        self.settle(handle, answer).await
    }

    /// Bills a successful answer; other answers cost nothing.
    async fn settle(
        &self,
        handle: RequestHandle,
        answer: ServiceAnswer,
    ) -> Result<ServiceAnswer, RequestRefusal> {
        let succeeded = (200..300).contains(&answer.status);
        let used = match succeeded {
            true => self.call.tokens,
            false => TokenCount::ZERO,
        };
        if used.is_zero() {
            self.control
                .send(ControlCommand::Abandon { handle, used: None });
            return Ok(answer);
        }
        let outcome = AttemptOutcome::Completed {
            generated: TokenCount::ZERO,
            cached: None,
        };
        let verdict = self
            .control
            .request(|reply| ControlCommand::Complete {
                handle,
                used,
                outcome,
                reply,
            })
            .await;
        match verdict {
            Some(BillVerdict::Durable(_)) => Ok(answer),
            Some(BillVerdict::NotDurable) | None => Err(RequestRefusal::failed(
                ResultCode::BillUnconfirmed,
                RunState::Ran,
                "the call ran but its bill could not be made safe; ask again with its key",
            )),
        }
    }
}
