//! Promises about spending that a process makes to one other VM, its witness.
//!
//! The pace in a budget record has to leave room for an outage of the store, so it says little
//! about what a killed process has spent. The process therefore promises its witness to stay
//! below a closer bound, and raises the bound only once the witness has taken the new promise.
//! The record names the witness; the VM's next process asks it for the last promise. Without an
//! answer the recorded pace counts alone.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::BootTimestamp;

use crate::spending_pace::DatedPace;
use crate::spending_pace::SpendingPace;

/// Maximum number of VMs whose promises are kept.
const MAX_VMS: usize = 1024;

/// Maximum number of budgets of one VM whose promises are kept, so that a testimony fits into a
/// datagram.
const MAX_BUDGETS: usize = 512;

/// Reference to the process that is the witness of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessRef {
    /// Gossip address of its VM.
    pub address: SocketAddr,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Number of the last promise before it was chosen. Earlier promises to it bind no longer.
    pub since: u64,
}

/// Promise of a process to spend no faster than some paces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingPromise {
    /// VM of the process, as a hash of its id.
    pub vm: u64,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Incarnation of the witness.
    pub witness: u64,
    /// Sequence number among the promises of the process; a later one replaces earlier ones.
    pub number: u64,
    /// Time from which the paces count, on the clock of the machine's boot.
    pub set_at: BootTimestamp,
    /// Paces, with the hash of the workspace.
    pub paces: Vec<(u64, SpendingPace)>,
}

/// Confirmation that a witness keeps a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseReceipt {
    /// Incarnation of the witness.
    pub witness: u64,
    /// Sequence number of the promise.
    pub number: u64,
}

/// Question of a later process for the promises of an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseQuery {
    /// VM of both processes, as a hash of its id.
    pub vm: u64,
    /// Incarnation of the earlier process.
    pub incarnation: u64,
    /// Incarnation of the witness.
    pub witness: u64,
    /// Number after which promises count.
    pub since: u64,
}

/// Last promises of an ended process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingTestimony {
    /// Incarnation of the ended process.
    pub incarnation: u64,
    /// Incarnation of the witness.
    pub witness: u64,
    /// Number after which promises count.
    pub since: u64,
    /// Last promised paces, with the hash of the workspace.
    pub paces: Vec<(u64, DatedPace)>,
}

/// A pace that a process has promised.
#[derive(Clone, Copy, Debug)]
struct PromisedPace {
    number: u64,
    dated: DatedPace,
}

/// Promises of one process.
#[derive(Clone, Debug)]
struct WitnessedRun {
    incarnation: u64,
    paces: IndexMap<u64, PromisedPace>,
}

/// Promises that a process keeps as the witness of others.
#[derive(Clone, Debug, Default)]
pub struct WitnessLog {
    /// Keyed by the hash of the VM's id, the one heard last at the end.
    runs: IndexMap<u64, WitnessedRun>,
}

impl WitnessLog {
    /// Keeps a promise. Returns false if there is no room for all of it; it must not be
    /// confirmed then.
    pub fn record(&mut self, promise: &SpendingPromise) -> bool {
        let known = self.runs.shift_remove(&promise.vm);
        let known = known.filter(|run| run.incarnation == promise.incarnation);
        let mut run = known.unwrap_or_else(|| WitnessedRun {
            incarnation: promise.incarnation,
            paces: IndexMap::new(),
        });
        let mut is_kept = true;
        for &(workspace, pace) in &promise.paces {
            is_kept &= run.record(workspace, promise.number, pace, promise.set_at);
        }
        if self.runs.len() >= MAX_VMS {
            self.runs.shift_remove_index(0);
        }
        self.runs.insert(promise.vm, run);
        is_kept
    }

    /// Returns the last promises of a process; none if it made none to this witness since that was
    /// chosen.
    pub fn testimony(&self, query: &PromiseQuery) -> SpendingTestimony {
        let run = self.runs.get(&query.vm);
        let run = run.filter(|run| run.incarnation == query.incarnation);
        let paces = run.into_iter().flat_map(|run| &run.paces);
        SpendingTestimony {
            incarnation: query.incarnation,
            witness: query.witness,
            since: query.since,
            paces: paces
                .filter(|(_, promised)| promised.number > query.since)
                .map(|(workspace, promised)| (*workspace, promised.dated))
                .collect(),
        }
    }
}

impl WitnessedRun {
    fn record(
        &mut self,
        workspace: u64,
        number: u64,
        pace: SpendingPace,
        set_at: BootTimestamp,
    ) -> bool {
        let known = self.paces.get(&workspace);
        if known.is_some_and(|known| known.number >= number) {
            return true;
        }
        if known.is_none() && self.paces.len() >= MAX_BUDGETS {
            return false;
        }
        let dated = DatedPace {
            pace,
            set_at,
            witness: None,
        };
        self.paces.insert(workspace, PromisedPace { number, dated });
        true
    }
}
