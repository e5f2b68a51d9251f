//! Test fixture: a router's control state connected to an in-memory ledger, without sockets.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use snipegate_escrow::BatchOutcome;
use snipegate_escrow::EscrowEffect;
use snipegate_escrow::EscrowPolicy;
use snipegate_escrow::EscrowSettings;
use snipegate_escrow::RouterEscrow;
use snipegate_fleet::FleetView;
use snipegate_fleet::ViewState;
use snipegate_ledger::LedgerAnswer;
use snipegate_ledger::LedgerBatch;
use snipegate_ledger::LedgerOperation;
use snipegate_ledger::ShardLedger;
use snipegate_platform::StoreListing;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_router::command::Admission;
use snipegate_router::command::AdmitRequest;
use snipegate_router::command::BillVerdict;
use snipegate_router::command::ControlCommand;
use snipegate_router::command::FailureReport;
use snipegate_router::command::RequestHandle;
use snipegate_router::command::UpstreamTarget;
use snipegate_router::control::RouterControl;
use snipegate_router::refusal::RequestRefusal;
use snipegate_routing::AttemptOutcome;
use snipegate_routing::PromptPrefix;
use snipegate_routing::RequestPhase;
use snipegate_routing::RequestPriority;
use snipegate_routing::RoutePolicy;
use snipegate_routing::RouteRequest;
use snipegate_routing::RouteTable;
use snipegate_routing::UpstreamKind;
use snipegate_service::MetricRegistry;
use snipegate_types::BudgetId;
use snipegate_types::ByteCount;
use snipegate_types::IncarnationId;
use snipegate_types::ManualClock;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::ShardId;
use snipegate_types::TimeSource;
use snipegate_types::TokenCount;
use tokio::sync::oneshot;

/// The budget used by all tests.
pub fn budget() -> BudgetId {
    "b1".parse().unwrap()
}

/// Builds a fleet view with one workspace, one profile and the given upstreams.
///
/// Each upstream is given by its name and its state in the configuration.
pub fn view(upstreams: &[(&str, &str)], now: Instant) -> Arc<FleetView> {
    let mut records: Vec<(String, Value)> = vec![
        (
            "fleet/config/fleet".into(),
            json!({
                "ledger_shards": 1, "retry_window_ms": 600_000, "grant_horizon_ms": 60_000,
                "deployment_policy": "favour_service", "staleness_bound_ms": 8_000,
                "stale_policy": "refuse", "address_keep_ms": 2_000, "watchers_per_data_centre": 2,
            }),
        ),
        (
            "fleet/config/profile/chat".into(),
            json!({
                "model": "m1", "priority": 5, "default_output_tokens": 10,
                "max_output_tokens": 100, "deadline_ms": 60_000,
                "requests_per_second": 1_000, "concurrent_requests": 1_000,
            }),
        ),
        (
            "fleet/config/workspace/depots".into(),
            json!({
                "key_digests": [], "budgets": ["b1"], "default_budget": "b1",
                "requests_per_second": 1_000, "concurrent_requests": 2,
                "max_output_tokens": 100, "profiles": ["chat"], "default_profile": "chat",
            }),
        ),
    ];
    records.extend(upstreams.iter().enumerate().map(|(index, (name, state))| {
        let record = json!({
            "data_centre": "d1", "address": format!("127.0.0.1:{}", 9_000 + index),
            "kind": "model_engine", "models": ["m1"], "capacity_slots": 8, "state": state,
        });
        (format!("fleet/config/upstream/{name}"), record)
    }));
    records.sort_by(|one, other| one.0.cmp(&other.0));
    let entries = records
        .into_iter()
        .enumerate()
        .map(|(index, (key, value))| {
            let stored = StoredValue {
                revision: StoreRevision::new(index as u64 + 1),
                value: value.to_string().into_bytes(),
            };
            (key, stored)
        })
        .collect();
    let mut view_state = ViewState::new();
    view_state.begin_listing();
    view_state.apply_page(
        &StoreListing {
            revision: StoreRevision::new(100),
            entries,
            more_after: None,
        },
        now,
    );
    assert!(
        view_state.rejected().is_empty(),
        "{:?}",
        view_state.rejected()
    );
    Arc::new(view_state.view())
}

/// State of the connection to the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerLink {
    /// Batches arrive and are answered.
    Up,
    /// Batches are lost before they arrive.
    Down,
}

/// A control state and the ledger that its batches are applied to.
pub struct ControlFixture {
    /// The control state under test.
    pub control: RouterControl,
    /// The ledger shard.
    pub ledger: ShardLedger,
    /// State of the connection to the ledger.
    pub link: LedgerLink,
    /// The clock that the control state reads.
    pub clock: ManualClock,
    incarnation: IncarnationId,
    top_up_count: u128,
}

impl ControlFixture {
    /// Creates a router whose fleet view contains the given upstreams.
    pub fn new(upstreams: &[(&str, &str)]) -> Self {
        let clock = ManualClock::new();
        let incarnation: IncarnationId = "vm-1/router/1".parse().unwrap();
        let settings = EscrowSettings::for_policy(EscrowPolicy::AvoidRefusals);
        let data_centre = "d1".parse().unwrap();
        let escrow = RouterEscrow::new(incarnation.clone(), data_centre, settings, clock.now());
        let table = RouteTable::new(RoutePolicy::default(), 1);
        let metrics = MetricRegistry::new("router", None).unwrap();
        let shared_clock = Arc::new(clock.clone());
        let mut fixture = Self {
            control: RouterControl::new(incarnation.clone(), escrow, table, shared_clock, metrics),
            ledger: ShardLedger::new(),
            link: LedgerLink::Up,
            clock,
            incarnation,
            top_up_count: 0,
        };
        fixture.set_upstreams(upstreams);
        fixture
    }

    /// Sends the control state a fleet view that contains the given upstreams.
    pub fn set_upstreams(&mut self, upstreams: &[(&str, &str)]) {
        let view = view(upstreams, self.clock.now());
        self.send(ControlCommand::ViewChanged(view));
    }

    /// Adds tokens to the budget.
    pub fn top_up(&mut self, amount: u64) {
        self.top_up_count += 1;
        let operation = LedgerOperation::TopUp {
            operation: OperationId::from_number(self.top_up_count),
            budget: budget(),
            amount: TokenCount(amount),
        };
        self.ledger
            .apply(&self.incarnation, &operation, &mut Vec::new());
    }

    /// Sends a command and applies ledger batches until no effects remain.
    pub fn send(&mut self, command: ControlCommand) {
        self.control.handle(command, self.clock.now());
        self.process_effects();
    }

    /// Advances the clock in steps of 50 ms, with a tick after each.
    pub fn advance(&mut self, duration: Duration) {
        const STEP: Duration = Duration::from_millis(50);
        let mut remaining = duration;
        while !remaining.is_zero() {
            self.clock.advance(STEP.min(remaining));
            remaining = remaining.saturating_sub(STEP);
            self.control.tick(self.clock.now());
            self.process_effects();
        }
    }

    /// Applies ledger batches until the control state has no more effects.
    fn process_effects(&mut self) {
        loop {
            let effects = self.control.take_effects(self.clock.now());
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                if let EscrowEffect::SendBatch { id, batch } = effect {
                    let shard = batch.shard;
                    let outcome = self.apply_batch(&batch);
                    let command = ControlCommand::BatchEnded { shard, id, outcome };
                    self.control.handle(command, self.clock.now());
                }
            }
        }
    }

    fn apply_batch(&mut self, batch: &LedgerBatch) -> BatchOutcome {
        if self.link == LedgerLink::Down {
            return BatchOutcome::Lost;
        }
        let results = batch
            .operations
            .iter()
            .map(|operation| self.ledger.apply(&batch.sender, operation, &mut Vec::new()))
            .collect();
        assert!(self.ledger.is_conserved());
        BatchOutcome::Answered(LedgerAnswer::Results(results))
    }

    /// Requests admission. The reply may be sent by a later call.
    pub fn admit(
        &mut self,
        number: u128,
        worst_case: u64,
    ) -> oneshot::Receiver<Result<Admission, RequestRefusal>> {
        let (reply, receiver) = oneshot::channel();
        let request = Box::new(self.build_request(number, worst_case));
        self.send(ControlCommand::Admit { request, reply });
        receiver
    }

    fn build_request(&self, number: u128, worst_case: u64) -> AdmitRequest {
        AdmitRequest {
            request: RequestId::from_number(number),
            budget: budget(),
            shard: ShardId(0),
            worst_case: TokenCount(worst_case),
            route: RouteRequest {
                workspace: "depots".parse().unwrap(),
                profile: "chat".parse().unwrap(),
                kind: UpstreamKind::ModelRunner,
                model: "m1".parse().unwrap(),
                version: None,
                adapter: None,
                phase: RequestPhase::Start,
                priority: RequestPriority::Normal,
                deadline: Some(self.clock.now() + Duration::from_secs(60)),
                idempotent: true,
                prompt_tokens: TokenCount(10),
                max_tokens: TokenCount(10),
                prefix: PromptPrefix::default(),
                failed_upstreams: Vec::new(),
            },
        }
    }

    /// Reports a failed attempt after `sent` bytes were sent to the caller.
    pub fn fail(
        &mut self,
        handle: RequestHandle,
        outcome: AttemptOutcome,
        sent: u64,
    ) -> Result<UpstreamTarget, RequestRefusal> {
        let (reply, mut answer) = oneshot::channel();
        let report = FailureReport {
            outcome,
            sent_to_caller: ByteCount(sent),
            resumable: sent > 0,
        };
        self.send(ControlCommand::Failed {
            handle,
            report,
            reply,
        });
        answer
            .try_recv()
            .expect("failure reports are answered immediately")
    }

    /// Completes a request that used the given number of tokens.
    pub fn complete(&mut self, handle: RequestHandle, used: u64) -> oneshot::Receiver<BillVerdict> {
        let (reply, verdict) = oneshot::channel();
        let outcome = AttemptOutcome::Completed {
            generated: TokenCount(used),
            cached: None,
        };
        self.send(ControlCommand::Complete {
            handle,
            used: TokenCount(used),
            outcome,
            reply,
        });
        verdict
    }

    /// Returns the number of tokens that the ledger has billed.
    pub fn billed(&self) -> u64 {
        let balance = self.ledger.balance(&budget());
        balance.map_or(0, |balance| balance.billed)
    }
}
