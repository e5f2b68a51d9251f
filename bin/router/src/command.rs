//! What traffic threads ask of the control thread.

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
use crate::call_register::CallStart;
use crate::refusal::RequestRefusal;

/// Names an admitted request in this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHandle(pub u64);

impl fmt::Display for RequestHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A request as the control thread needs to know it.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// The request.
    pub request: RequestId,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The ledger shard of the workspace.
    pub shard: ShardId,
    /// The most that it can use.
    pub worst_case: TokenCount,
    /// What routing needs.
    pub route: RouteRequest,
}

/// Where to send a request, and how long to wait there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendOrder {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// How long it may take to its first byte.
    pub first_byte_timeout: Duration,
    /// How long it may stand still after that.
    pub progress_timeout: Duration,
    /// Whether the answer goes on after what was received.
    pub resume: bool,
}

/// The result of admission.
#[derive(Debug)]
pub struct Admission {
    /// Names the request from here on.
    pub handle: RequestHandle,
    /// Where to send it.
    pub order: SendOrder,
}

/// Whether the last part of an answer may go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BillVerdict {
    /// The bill can't be lost; the request costs this much.
    Safe(TokenCount),
    /// The bill could not be made safe.
    Unsafe,
}

/// How a failed attempt looked from the traffic thread.
#[derive(Clone, Copy, Debug)]
pub struct FailureReport {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// What the caller has received of the answer.
    pub sent_to_caller: ByteCount,
    /// Whether an engine can go on from what was received.
    pub resumable: bool,
}

/// How often a decision was taken, for one request id.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct DecisionRecord {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What was decided, and why.
    pub decision: String,
}

/// The answer to the operations of one post.
pub type PostReply = Result<Vec<OperationResult>, ()>;

/// A message to the control thread.
pub enum ControlCommand {
    /// Admit a request; the reply comes within the escrow's wait limit.
    Admit {
        /// The request.
        request: Box<AdmitRequest>,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<Admission, RequestRefusal>>,
    },
    /// The first byte of an answer came.
    FirstByte(RequestHandle),
    /// An attempt failed; the reply says where to go on. A refusal closes the
    /// request and bills nothing.
    Failed {
        /// The request.
        handle: RequestHandle,
        /// How it failed.
        report: FailureReport,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<SendOrder, RequestRefusal>>,
    },
    /// The upstream's answer is complete.
    Complete {
        /// The request.
        handle: RequestHandle,
        /// Tokens used, prompt and output.
        used: TokenCount,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Where the verdict goes.
        reply: oneshot::Sender<BillVerdict>,
    },
    /// The caller went away, or the request ends without a bill.
    Abandon {
        /// The request.
        handle: RequestHandle,
        /// What it is billed, if the caller received part of the answer.
        used: Option<TokenCount>,
    },
    /// Post operations that are not the escrow's own.
    Post {
        /// The shard.
        shard: ShardId,
        /// The operations.
        operations: Vec<LedgerOperation>,
        /// When to give up.
        until: Instant,
        /// Where the results go.
        reply: oneshot::Sender<PostReply>,
    },
    /// Begin a call that may not be repeated, unless it is known here.
    BeginCall {
        /// The request.
        request: RequestId,
        /// Digest of the call.
        digest: CallDigest,
        /// Where the answer goes.
        reply: oneshot::Sender<CallStart>,
    },
    /// A call that was begun has ended, as far as this router is concerned.
    EndCall {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// The end of a call is in the ledger, so it need not be known here.
    ForgetCall(RequestId),
    /// A batch of the escrow ended.
    BatchEnded {
        /// The shard.
        shard: ShardId,
        /// The batch.
        id: snipegate_escrow::BatchId,
        /// How it ended.
        outcome: BatchOutcome,
    },
    /// Another router sent a message.
    PeerSaid {
        /// The sender.
        from: IncarnationId,
        /// The message.
        message: EscrowMessage,
    },
    /// A keeper asks for idle tokens.
    RecallAsked(BudgetId),
    /// A keeper asks whether a dead router is fenced off here.
    FenceAsked {
        /// The dead router.
        dead: IncarnationId,
        /// Where the answer goes: whether everything held from it is posted.
        reply: oneshot::Sender<bool>,
    },
    /// An upstream reported its load.
    LoadReported {
        /// The upstream.
        upstream: UpstreamId,
        /// The report.
        report: LoadReport,
    },
    /// An upstream reported changes of its prefix cache.
    CacheReported {
        /// The upstream.
        upstream: UpstreamId,
        /// The events.
        events: Vec<CacheEvent>,
    },
    /// The fleet view changed.
    ViewChanged(std::sync::Arc<snipegate_fleet::FleetView>),
    /// Return what is held of one budget and its decisions, for operators.
    Explain {
        /// The request asked about.
        request: RequestId,
        /// Where the answer goes.
        reply: oneshot::Sender<Vec<DecisionRecord>>,
    },
    /// The process is to stop once everything open has ended.
    Stop,
    /// Return how much is open.
    CountOpen(oneshot::Sender<usize>),
}

/// The traffic threads' end of the way to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    sender: UnboundedSender<ControlCommand>,
}

impl ControlHandle {
    /// Makes a handle over a channel to the control thread.
    pub fn new(sender: UnboundedSender<ControlCommand>) -> Self {
        Self { sender }
    }

    /// Sends a command; it is lost where the control thread has ended.
    pub fn send(&self, command: ControlCommand) {
        let _ = self.sender.send(command);
    }

    /// Sends a command that has a reply and waits for it.
    ///
    /// Returns `None` where the control thread has ended.
    pub async fn ask<R>(
        &self,
        command: impl FnOnce(oneshot::Sender<R>) -> ControlCommand,
    ) -> Option<R> {
        let (reply, answer) = oneshot::channel();
        self.send(command(reply));
        answer.await.ok()
    }
}
