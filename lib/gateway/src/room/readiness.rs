//! Decides whether a VM reports itself as ready.

use std::time::Instant;

use crate::room::capacity::VmCapacity;
use crate::room::hold::HoldSchedule;
use crate::room::load_meter::LoadSample;
use crate::room::overload::OverloadState;
use crate::room::overload::VmOverload;

/// Change of a VM's readiness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadinessChange {
    /// The VM is overloaded and not ready until then.
    Overloaded(VmOverload, Instant),
    /// The VM is ready again.
    HoldEnded,
    /// The VM is ready again, since it hears no VM that could serve its callers.
    NoOtherVm,
}

/// Readiness of a VM.
#[derive(Clone, Debug)]
pub struct ReadinessState {
    overload: OverloadState,
    schedule: HoldSchedule,
    /// Until when the VM is not ready.
    held_until: Option<Instant>,
}

impl ReadinessState {
    /// Creates the state of a VM that has just started.
    pub fn new(capacity: &VmCapacity) -> Self {
        Self {
            overload: OverloadState::new(capacity),
            schedule: HoldSchedule::default(),
            held_until: None,
        }
    }

    /// Returns whether the VM is ready.
    pub fn is_ready(&self) -> bool {
        self.held_until.is_none()
    }

    /// Applies a sample. `has_others` tells whether this VM hears another one of its data
    /// centre that serves.
    pub fn record_sample(
        &mut self,
        sample: &LoadSample,
        has_others: bool,
        now: Instant,
    ) -> Option<ReadinessChange> {
        let overload = self.overload.record(sample, now);
        match (self.held_until, overload) {
            (Some(_), _) if !has_others => {
                self.held_until = None;
                Some(ReadinessChange::NoOtherVm)
            }
            (None, Some(overload)) if has_others => {
                let until = self.schedule.begin(now);
                self.held_until = Some(until);
                Some(ReadinessChange::Overloaded(overload, until))
            }
            (Some(until), _) if until <= now => {
                self.held_until = None;
                Some(ReadinessChange::HoldEnded)
            }
            _ => None,
        }
    }
}
