//! A simulated router.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use snipegate_escrow::EscrowEvent;
use snipegate_escrow::EscrowSettings;
use snipegate_escrow::EscrowState;
use snipegate_escrow::PeerEntry;
use snipegate_escrow::RouterEscrow;
use snipegate_types::DataCentre;
use snipegate_types::IncarnationId;

/// The state of a router's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// Running.
    Up,
    /// Suspended, as by a signal, without noticing it. Events are queued.
    Paused,
    /// Terminated.
    Dead,
}

/// One incarnation of a router.
#[derive(Debug)]
pub(crate) struct RouterNode {
    pub(crate) incarnation: IncarnationId,
    /// Index of its data centre.
    pub(crate) data_centre: usize,
    pub(crate) escrow: RouterEscrow,
    pub(crate) state: NodeState,
    /// Events that arrived while it was paused.
    pub(crate) backlog: Vec<EscrowEvent>,
    /// When the current pause began.
    pub(crate) paused_at: Option<Duration>,
    /// Total duration of earlier pauses.
    pub(crate) paused_total: Duration,
    /// Dead incarnations for which it has confirmed the fence.
    pub(crate) fenced: IndexSet<IncarnationId>,
}

impl RouterNode {
    pub(crate) fn new(
        vm: usize,
        start: u64,
        data_centre: usize,
        settings: EscrowSettings,
        now: Instant,
    ) -> Self {
        let incarnation: IncarnationId = format!("vm-{vm}/router/{start:x}")
            .parse()
            .expect("incarnation id should be valid");
        let escrow = RouterEscrow::new(
            incarnation.clone(),
            data_centre_name(data_centre),
            settings,
            now,
        );
        Self {
            incarnation,
            data_centre,
            escrow,
            state: NodeState::Up,
            backlog: Vec::new(),
            paused_at: None,
            paused_total: Duration::ZERO,
            fenced: IndexSet::new(),
        }
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.state == NodeState::Up && self.escrow.state() == EscrowState::Open
    }

    /// Returns whether the process has terminated, or its escrow is stopped or closed.
    pub(crate) fn has_ended(&self) -> bool {
        self.state == NodeState::Dead
            || matches!(
                self.escrow.state(),
                EscrowState::Stopped | EscrowState::Closed
            )
    }

    pub(crate) fn entry(&self) -> PeerEntry {
        PeerEntry {
            incarnation: self.incarnation.clone(),
            data_centre: data_centre_name(self.data_centre),
            leaving: false,
        }
    }
}

fn data_centre_name(place: usize) -> DataCentre {
    format!("place-{place}")
        .parse()
        .expect("data centre name should be valid")
}
