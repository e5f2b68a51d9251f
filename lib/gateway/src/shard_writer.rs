//! VMs that may be granted tokens by writing to a shard of the budget records.
//!
//! The store may come back from a copy that lacks recent writes. So that any copy tells which
//! VMs can have been granted tokens that it does not show, a VM registers in the shard first,
//! and is granted nothing before its registration is older than the oldest copy.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use snipegate_platform::StoreEra;
use snipegate_types::TokenCount;

/// Most tokens of a budget that a VM of the limited level may hold, as a fraction.
const LIMITED_FRACTION: f64 = 0.05;

/// How much of each budget a VM may be granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WriterLevel {
    /// Nothing.
    None,
    /// A small part, for its own requests.
    Limited,
    /// All that is left, on behalf of all VMs.
    Full,
}

impl WriterLevel {
    /// Returns the most tokens that a VM may be granted of a budget of `prepaid` tokens.
    pub fn max_granted(self, prepaid: TokenCount) -> TokenCount {
        match self {
            WriterLevel::None => TokenCount::ZERO,
            WriterLevel::Limited => TokenCount((prepaid.0 as f64 * LIMITED_FRACTION) as u64),
            WriterLevel::Full => prepaid,
        }
    }
}

/// What is known of the process that a registration is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriterState {
    /// It may be granted tokens at the mature level.
    #[default]
    Running,
    /// It has ended as planned, and the records show all that it used. A later process may be
    /// granted tokens at the mature level.
    Ended,
    /// It was absent for long. It is granted nothing until it has registered again.
    Suspended,
}

/// Registration of a VM in a shard.
///
/// The mature level, which permits grants, may be lowered at any time. The announced level, by
/// which a VM has to report, may be lowered only in a shard that shows the lower mature level
/// already: a late write of it then finds no copy from before a higher level was mature again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardWriter {
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// Level that every copy made from now on shows.
    pub announced: WriterLevel,
    /// Level that every copy shows from which the store may come back.
    pub mature: WriterLevel,
    /// Incarnation of the VM's process that registered or took over last; zero if it is unknown.
    #[serde(default)]
    pub incarnation: u64,
    /// What is known of that process.
    #[serde(default)]
    pub state: WriterState,
    /// Number of changes of the process or of its state.
    #[serde(default)]
    pub changes: u64,
}

impl ShardWriter {
    /// Registers a later process of the VM.
    ///
    /// After a kill, what was granted at the limited level counts once, so that the next process
    /// has to wait until every copy shows its own registration.
    pub fn take_over(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        if self.state != WriterState::Ended && self.mature < WriterLevel::Full {
            self.mature = WriterLevel::None;
        }
        self.set_state(WriterState::Running);
    }

    /// Ends the process as planned. A process that follows soon is granted tokens at a limited
    /// level at once, so that restarts of all VMs in turn don't stop grants.
    pub fn end(&mut self) {
        self.mature = match self.mature {
            WriterLevel::Full => WriterLevel::Limited,
            WriterLevel::Limited | WriterLevel::None => WriterLevel::None,
        };
        self.set_state(WriterState::Ended);
    }

    /// Withdraws the registration of a process that has ended or is absent.
    pub fn withdraw(&mut self) {
        self.mature = WriterLevel::None;
        let state = match self.state {
            WriterState::Ended => WriterState::Ended,
            WriterState::Running | WriterState::Suspended => WriterState::Suspended,
        };
        self.set_state(state);
    }

    /// Lets the announced level follow the mature one, if the process may not be granted more
    /// before it registers again; returns whether that changes it.
    pub fn lower_announced(&mut self) -> bool {
        let is_lower = self.can_lower_announced();
        if is_lower {
            self.announced = self.mature;
        }
        is_lower
    }

    /// Returns whether the announced level should follow the mature one.
    pub fn can_lower_announced(&self) -> bool {
        self.state != WriterState::Running && self.mature < self.announced
    }

    /// Raises the levels to those that the running process announces and that are mature. A
    /// process that was suspended has to wait until its new registration is mature.
    pub fn register(&mut self, announced: WriterLevel, mature: WriterLevel) {
        if self.state == WriterState::Suspended && announced > WriterLevel::None {
            self.set_state(WriterState::Running);
        }
        self.announced = self.announced.max(announced);
        self.mature = self.mature.max(mature.min(self.announced));
    }

    fn set_state(&mut self, state: WriterState) {
        self.state = state;
        self.changes += 1;
    }

    /// Returns whether the process `incarnation` was registered and has ended as planned.
    pub fn has_ended(&self, incarnation: u64) -> bool {
        self.state == WriterState::Ended && self.incarnation == incarnation
    }

    /// Returns whether the process was registered and may still be granted tokens, as the
    /// process `incarnation`.
    pub fn is_running(&self, incarnation: u64) -> bool {
        self.state == WriterState::Running && self.incarnation == incarnation
    }
}

/// Time for which a process has seen its VM registered in the store's present era.
#[derive(Debug)]
pub struct RegistrationAge {
    /// Age of the oldest copy from which the store may come back.
    max_copy_age: Duration,
    era: StoreEra,
    /// When each level was first seen.
    limited_since: Option<Instant>,
    full_since: Option<Instant>,
}

impl RegistrationAge {
    /// Creates the state of a process that has seen no registration.
    pub fn new(max_copy_age: Duration) -> Self {
        Self {
            max_copy_age,
            era: StoreEra::default(),
            limited_since: None,
            full_since: None,
        }
    }

    /// Sets the age of the oldest copy from which the store may come back; zero if it never does.
    pub fn set_max_copy_age(&mut self, max_copy_age: Duration) {
        self.max_copy_age = max_copy_age;
    }

    /// Returns whether registrations count at once, because the store never comes back from an
    /// older copy.
    pub fn is_immediate(&self) -> bool {
        self.max_copy_age.is_zero()
    }

    /// Records the level that the store shows for the VM in `era`.
    pub fn record(&mut self, era: StoreEra, announced: WriterLevel, now: Instant) {
        if era != self.era {
            *self = Self {
                era,
                ..Self::new(self.max_copy_age)
            };
        }
        let since = |known: Option<Instant>, level| match announced >= level {
            true => known.or(Some(now)),
            false => None,
        };
        self.limited_since = since(self.limited_since, WriterLevel::Limited);
        self.full_since = since(self.full_since, WriterLevel::Full);
    }

    /// Returns whether the VM was registered when the shard was last read.
    pub fn is_registered(&self) -> bool {
        self.limited_since.is_some()
    }

    /// Returns the level that every copy shows from which the store may come back in `era`.
    pub fn mature(&self, era: StoreEra, now: Instant) -> WriterLevel {
        if self.max_copy_age.is_zero() {
            return WriterLevel::Full;
        }
        if era != self.era {
            return WriterLevel::None;
        }
        let is_mature = |since: Option<Instant>| {
            since.is_some_and(|at| now.saturating_duration_since(at) >= self.max_copy_age)
        };
        if is_mature(self.full_since) {
            WriterLevel::Full
        } else if is_mature(self.limited_since) {
            WriterLevel::Limited
        } else {
            WriterLevel::None
        }
    }
}
