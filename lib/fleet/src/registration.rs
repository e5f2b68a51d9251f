//! Registration of a process in the configuration store.

use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_types::IncarnationId;

use crate::key::FleetKey;
use crate::member::MemberRecord;
use crate::member::MemberState;

/// What a registration needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationStep {
    /// Read the key.
    Read,
    /// Write the value if the expectation holds.
    Write {
        /// What the key must hold.
        expected: ExpectedVersion,
        /// The record.
        value: Vec<u8>,
    },
    /// The record is stored.
    Registered(StoreRevision),
    /// A later run of this role on this VM has registered, so this one is not
    /// the one that the fleet knows; it must end.
    Superseded(IncarnationId),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum StoredMember {
    NotRead,
    Absent,
    /// The record is `None` where it can't be read.
    Found(StoreRevision, Option<MemberRecord>),
}

/// Brings a process's own record into the store, and later changes of it.
///
/// A later run replaces an earlier one of the same role and VM, never the
/// reverse. After a lost reply the key is read again before anything else.
#[derive(Clone, Debug)]
pub struct Registration {
    wanted: MemberRecord,
    stored: StoredMember,
}

impl Registration {
    /// Makes the registration of `wanted`.
    pub fn new(wanted: MemberRecord) -> Self {
        Self {
            wanted,
            stored: StoredMember::NotRead,
        }
    }

    /// Returns the key of the record.
    pub fn key(&self) -> String {
        let incarnation = &self.wanted.incarnation;
        FleetKey::Member(incarnation.vm.clone(), incarnation.role).to_string()
    }

    /// Returns the record that is to be stored.
    pub fn wanted(&self) -> &MemberRecord {
        &self.wanted
    }

    /// Changes the record that is to be stored, but for its incarnation.
    pub fn change(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        let incarnation = self.wanted.incarnation.clone();
        change(&mut self.wanted);
        self.wanted.incarnation = incarnation;
    }

    /// Returns what to do next.
    pub fn step(&self) -> RegistrationStep {
        let expected = match &self.stored {
            StoredMember::NotRead => return RegistrationStep::Read,
            StoredMember::Absent => ExpectedVersion::Absent,
            StoredMember::Found(revision, Some(record)) => {
                if *record == self.wanted {
                    return RegistrationStep::Registered(*revision);
                }
                if record.incarnation.start > self.wanted.incarnation.start {
                    return RegistrationStep::Superseded(record.incarnation.clone());
                }
                ExpectedVersion::At(*revision)
            }
            StoredMember::Found(revision, None) => ExpectedVersion::At(*revision),
        };
        let value = serde_json::to_vec(&self.wanted).expect("records have text keys only");
        RegistrationStep::Write { expected, value }
    }

    /// Takes in the answer to [`RegistrationStep::Read`].
    pub fn read(&mut self, answer: Result<Option<StoredValue>, StoreError>) {
        if let Ok(found) = answer {
            self.found(found);
        }
    }

    /// Takes in the answer to [`RegistrationStep::Write`].
    pub fn written(&mut self, answer: Result<SwapOutcome, StoreError>) {
        match answer {
            Ok(SwapOutcome::Swapped(revision)) => {
                self.stored = StoredMember::Found(revision, Some(self.wanted.clone()));
            }
            Ok(SwapOutcome::Conflict(found)) => self.found(found),
            Err(error) if error.may_have_applied() => self.stored = StoredMember::NotRead,
            Err(_) => {}
        }
    }
}

impl Registration {
    /// Takes in what the key holds. An operator may have marked this run as
    /// leaving, which is never taken back within a run.
    fn found(&mut self, found: Option<StoredValue>) {
        self.stored = stored_member(found);
        if let StoredMember::Found(_, Some(record)) = &self.stored
            && record.incarnation == self.wanted.incarnation
            && record.state == MemberState::Leaving
        {
            self.wanted.state = MemberState::Leaving;
        }
    }
}

fn stored_member(found: Option<StoredValue>) -> StoredMember {
    match found {
        None => StoredMember::Absent,
        Some(stored) => {
            let record = serde_json::from_slice(&stored.value).ok();
            StoredMember::Found(stored.revision, record)
        }
    }
}

/// Returns the start that a new run should bear: the wall clock, but later than
/// the registered run's also where the clock was set back.
pub fn choose_start(wall_ns: u64, registered: Option<&IncarnationId>) -> u64 {
    let least = registered.map_or(0, |earlier| earlier.start.saturating_add(1));
    wall_ns.max(least)
}
