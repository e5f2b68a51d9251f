//! One router of the world.

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

/// What a router's process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It runs.
    Up,
    /// It is stopped by a signal and unaware of it; events wait.
    Paused,
    /// It has ended.
    Dead,
}

/// One incarnation of a router.
#[derive(Debug)]
pub(crate) struct RouterNode {
    pub(crate) incarnation: IncarnationId,
    /// Its data centre's number.
    pub(crate) place: usize,
    pub(crate) escrow: RouterEscrow,
    pub(crate) state: NodeState,
    /// Events that came while it was paused.
    pub(crate) backlog: Vec<EscrowEvent>,
    /// When it was paused, if it is.
    pub(crate) paused_at: Option<Duration>,
    /// How long earlier pauses were together.
    pub(crate) paused_before: Duration,
    /// Dead incarnations against which it has confirmed its fence.
    pub(crate) fenced: IndexSet<IncarnationId>,
}

impl RouterNode {
    pub(crate) fn new(
        vm: usize,
        start: u64,
        place: usize,
        settings: EscrowSettings,
        now: Instant,
    ) -> Self {
        let incarnation: IncarnationId = format!("vm-{vm}/router/{start:x}")
            .parse()
            .expect("the text is an incarnation");
        let escrow = RouterEscrow::new(incarnation.clone(), place_name(place), settings, now);
        Self {
            incarnation,
            place,
            escrow,
            state: NodeState::Up,
            backlog: Vec::new(),
            paused_at: None,
            paused_before: Duration::ZERO,
            fenced: IndexSet::new(),
        }
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.state == NodeState::Up && self.escrow.state() == EscrowState::Open
    }

    /// Returns whether the process has ended or has nothing left to answer for.
    pub(crate) fn is_over(&self) -> bool {
        self.state == NodeState::Dead
            || matches!(
                self.escrow.state(),
                EscrowState::Stopped | EscrowState::Closed
            )
    }

    pub(crate) fn entry(&self) -> PeerEntry {
        PeerEntry {
            incarnation: self.incarnation.clone(),
            data_centre: place_name(self.place),
            leaving: false,
        }
    }
}

fn place_name(place: usize) -> DataCentre {
    format!("place-{place}")
        .parse()
        .expect("the text is a name")
}
