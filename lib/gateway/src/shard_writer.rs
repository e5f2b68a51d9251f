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

/// Registration of a VM in a shard.
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
}

impl ShardWriter {
    /// Registers a later process of the VM, whose earlier process may have been killed.
    ///
    /// What is granted at the limited level counts once, so that the next process has to wait
    /// until every copy shows its own registration.
    pub fn take_over(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        if self.mature < WriterLevel::Full {
            self.mature = WriterLevel::None;
        }
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
