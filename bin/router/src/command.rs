//! Commands that the HTTP worker threads send to the control thread.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use snipegate_escrow::BatchOutcome;
use snipegate_escrow::EscrowMessage;
use snipegate_ledger::CallOutcome;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::OperationResult;
use snipegate_routing::AttemptOutcome;
use snipegate_routing::CacheEvent;
use snipegate_routing::LoadReport;
use snipegate_routing::RouteRequest;
use snipegate_types::BudgetId;
use snipegate_types::ByteCount;
use snipegate_types::IncarnationId;
use snipegate_types::RequestId;
use snipegate_types::ShardId;
use snipegate_types::TokenCount;
use snipegate_types::UpstreamId;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::call_register::CallDigest;
use crate::call_register::RegisterResult;
use crate::refusal::RequestRefusal;

/// Identifies an admitted request within this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHandle(pub u64);

impl fmt::Display for RequestHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The parameters of a request that admission needs.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// Id of the request.
    pub request: RequestId,
    /// The budget that is charged.
    pub budget: BudgetId,
    /// The ledger shard of the workspace.
    pub shard: ShardId,
    /// Maximum number of tokens that the request can use.
    pub worst_case: TokenCount,
    /// Parameters for choosing an upstream.
    pub route: RouteRequest,
}

/// The upstream to send a request to, and the timeouts that apply there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamTarget {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Maximum time to the first byte of the answer.
    pub first_byte_timeout: Duration,
    /// Maximum time between two parts of the answer after the first byte.
    pub progress_timeout: Duration,
    /// Whether the upstream continues the answer after the part already received.
    pub resume: bool,
}

/// An admitted request.
#[derive(Debug)]
pub struct Admission {
    /// Identifies the request in later commands.
    pub handle: RequestHandle,
    /// Where to send the first attempt.
    pub target: UpstreamTarget,
}

/// Whether the bill is durable, so that the last part of an answer may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BillVerdict {
    /// The bill is durable; the request costs this number of tokens.
    Durable(TokenCount),
    /// The bill could not be made durable.
    NotDurable,
}

/// Describes a failed attempt to the control thread.
#[derive(Clone, Copy, Debug)]
pub struct FailureReport {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Number of bytes of the answer already sent to the caller.
    pub sent_to_caller: ByteCount,
    /// Whether an engine can continue from the part already received.
    pub resumable: bool,
}

/// One routing or budget decision on a request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct DecisionRecord {
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The decision and its reason.
    pub decision: String,
}

/// Results of the operations in [`ControlCommand::Post`]; an error if they are unknown.
pub type PostReply = Result<Vec<OperationResult>, ()>;

/// A command to the control thread.
pub enum ControlCommand {
    /// Admits a request. The reply is sent within the escrow's wait timeout.
    Admit {
        /// Parameters of the request.
        request: Box<AdmitRequest>,
        /// Receives the reply.
        reply: oneshot::Sender<Result<Admission, RequestRefusal>>,
    },
    /// The first byte of an answer arrived.
    FirstByte(RequestHandle),
    /// An attempt failed. The reply names the upstream of the next attempt, or refuses;
    /// a refusal closes the request and bills nothing.
    Failed {
        /// Handle of the request.
        handle: RequestHandle,
        /// How the attempt failed.
        report: FailureReport,
        /// Receives the reply.
        reply: oneshot::Sender<Result<UpstreamTarget, RequestRefusal>>,
    },
    /// The upstream's answer is complete. The request is closed and billed.
    Complete {
        /// Handle of the request.
        handle: RequestHandle,
        /// Number of tokens used, prompt and output together.
        used: TokenCount,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Receives the verdict once the bill is durable or has failed.
        reply: oneshot::Sender<BillVerdict>,
    },
    /// The caller disconnected, or the request ends without a bill.
    Abandon {
        /// Handle of the request.
        handle: RequestHandle,
        /// Tokens to bill, if the caller received part of the answer.
        used: Option<TokenCount>,
    },
    /// Posts ledger operations other than those of the escrow.
    Post {
        /// The ledger shard.
        shard: ShardId,
        /// The operations, in order.
        operations: Vec<LedgerOperation>,
        /// Time at which to stop retrying.
        until: Instant,
        /// Receives the results.
        reply: oneshot::Sender<PostReply>,
    },
    /// Registers a non-repeatable call unless this router already knows it.
    BeginCall {
        /// Id of the request.
        request: RequestId,
        /// Digest that distinguishes a retry from a different call.
        digest: CallDigest,
        /// Receives the reply.
        reply: oneshot::Sender<RegisterResult>,
    },
    /// A registered call has ended on this router.
    EndCall {
        /// Id of the request.
        request: RequestId,
        /// Outcome of the call.
        outcome: CallOutcome,
    },
    /// Removes a call from the register: its outcome is in the ledger, or it was not claimed.
    ForgetCall(RequestId),
    /// The outcome of an escrow batch is known.
    BatchEnded {
        /// The ledger shard.
        shard: ShardId,
        /// Id of the batch.
        id: snipegate_escrow::BatchId,
        /// Outcome of the batch.
        outcome: BatchOutcome,
    },
    /// Another router sent an escrow message.
    PeerMessage {
        /// The router that sent the message.
        from: IncarnationId,
        /// The escrow message.
        message: EscrowMessage,
    },
    /// A keeper asks for the idle tokens of a budget back.
    RecallRequested(BudgetId),
    /// A keeper asks whether a dead router is fenced off on this router.
    FenceRequested {
        /// Incarnation that was declared dead.
        dead: IncarnationId,
        /// Receives whether everything held from the dead router has been posted.
        reply: oneshot::Sender<bool>,
    },
    /// An upstream reported its load.
    LoadReported {
        /// Id of the upstream.
        upstream: UpstreamId,
        /// Load as reported, with the age of the report.
        report: LoadReport,
    },
    /// An upstream reported changes to its prefix cache.
    CacheReported {
        /// Id of the upstream.
        upstream: UpstreamId,
        /// The events, oldest first.
        events: Vec<CacheEvent>,
    },
    /// A new fleet view is available.
    ViewChanged(std::sync::Arc<snipegate_fleet::FleetView>),
    /// Returns the recorded decisions on a request, for operators.
    Explain {
        /// Id of the request.
        request: RequestId,
        /// Receives the reply.
        reply: oneshot::Sender<Vec<DecisionRecord>>,
    },
    /// Refuses new requests and releases held tokens once all open requests have ended.
    Stop,
    /// Returns the number of open requests and calls.
    CountOpen(oneshot::Sender<usize>),
}

/// Sends commands to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    sender: UnboundedSender<ControlCommand>,
}

impl ControlHandle {
    /// Creates a handle from the control thread's command channel.
    pub fn new(sender: UnboundedSender<ControlCommand>) -> Self {
        Self { sender }
    }

    /// Sends a command. It is dropped if the control thread has ended.
    pub fn send(&self, command: ControlCommand) {
        let _ = self.sender.send(command);
    }

    /// Sends a command and waits for its reply.
    ///
    /// Returns `None` if the control thread has ended.
    pub async fn request<R>(
        &self,
        command: impl FnOnce(oneshot::Sender<R>) -> ControlCommand,
    ) -> Option<R> {
        let (reply, receiver) = oneshot::channel();
        self.send(command(reply));
        receiver.await.ok()
    }
}
