//! Times in which overloaded VMs are not ready.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::room::notice::CallerDemand;
use crate::room::notice::HoldId;
use crate::room::notice::RoomHold;

/// Shortest hold. Callers that stick to a VM return as soon as it is ready, and if they
/// overload it again, their requests fail until they have left it.
const MIN_HOLD: Duration = Duration::from_secs(30);

/// Longest hold.
const MAX_HOLD: Duration = Duration::from_secs(600);

/// An overload within this time after a hold shows that the hold was too short.
const RECURRENCE_PERIOD: Duration = Duration::from_secs(300);

/// A hold is remembered for this time after its end, so that notices that are on their way then
/// don't begin it anew.
const MEMORY_PERIOD: Duration = Duration::from_secs(60);

/// Lengthens the holds of a VM whose overload recurs.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldSchedule {
    last: Option<PlannedHold>,
}

#[derive(Clone, Copy, Debug)]
struct PlannedHold {
    duration: Duration,
    until: Instant,
}

impl HoldSchedule {
    /// Begins a hold, and returns when it ends.
    pub fn begin(&mut self, now: Instant) -> Instant {
        let duration = match self.last {
            Some(last) if now < last.until + RECURRENCE_PERIOD => (last.duration * 2).min(MAX_HOLD),
            _ => MIN_HOLD,
        };
        let until = now + duration;
        self.last = Some(PlannedHold { duration, until });
        until
    }

    /// Returns whether the last hold was as long as one can be.
    pub fn is_longest(&self) -> bool {
        self.last.is_some_and(|last| last.duration >= MAX_HOLD)
    }
}

/// A hold that this VM knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownHold {
    /// Identifies the hold.
    pub id: HoldId,
    /// How often it was prolonged.
    pub renewals: u32,
    /// What overloaded the VM.
    pub demand: CallerDemand,
    /// When it ends.
    pub until: Instant,
}

impl KnownHold {
    /// Describes the hold to other VMs.
    pub fn describe(&self, now: Instant) -> RoomHold {
        RoomHold {
            id: self.id,
            renewals: self.renewals,
            demand: self.demand,
            left: self.until.saturating_duration_since(now),
        }
    }
}

/// Holds of other VMs.
#[derive(Clone, Debug, Default)]
pub struct HoldTable {
    /// Each with whether its callers would overload this VM.
    holds: IndexMap<HoldId, (KnownHold, bool)>,
}

impl HoldTable {
    /// Applies a hold that another VM describes. `is_threatening` tells whether its callers
    /// would overload this VM; what it returned when the hold was first heard of remains, since
    /// these callers may be at this VM by the time it is heard of again.
    pub fn record(&mut self, hold: &RoomHold, is_threatening: impl Fn() -> bool, now: Instant) {
        let is_remembered = |known: &KnownHold| now < known.until + MEMORY_PERIOD;
        self.holds.retain(|_, (known, _)| is_remembered(known));
        let until = now + hold.left.min(MAX_HOLD);
        let received = KnownHold {
            id: hold.id,
            renewals: hold.renewals,
            demand: hold.demand,
            until,
        };
        match self.holds.get_mut(&hold.id) {
            // Other VMs tell of the hold as well, and each takes the time of its message to be
            // a part of it. So only a renewal changes when it ends.
            Some((known, _)) if hold.renewals <= known.renewals => {}
            Some((known, _)) => *known = received,
            None => {
                self.holds.insert(hold.id, (received, is_threatening()));
            }
        }
    }

    /// Returns the hold that ends last of those whose callers would overload this VM.
    pub fn last_threat(&self, now: Instant) -> Option<KnownHold> {
        let threats = self.holds.values().filter(|(_, is_threat)| *is_threat);
        let current = threats.filter(|(hold, _)| hold.until > now);
        current.map(|(hold, _)| *hold).max_by_key(|hold| hold.until)
    }
}
