//! The registration of a process in the configuration store.

use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_types::IncarnationId;

use crate::key::FleetKey;
use crate::member::MemberRecord;
use crate::member::MemberState;

/// The next step of a registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationStep {
    /// Read the key.
    Read,
    /// Write the value if the key is in the expected state.
    Write {
        /// The expected state of the key.
        expected: ExpectedVersion,
        /// The serialized record.
        value: Vec<u8>,
    },
    /// The record is stored at this revision.
    Registered(StoreRevision),
    /// A later incarnation of this role has registered on this VM. The fleet no longer
    /// knows this process, so it must exit.
    Superseded(IncarnationId),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum StoredMember {
    NotRead,
    Absent,
    /// The record is `None` if it could not be parsed.
    Found(StoreRevision, Option<MemberRecord>),
}

/// Stores a process's own record and keeps it up to date.
///
/// A later incarnation replaces an earlier one with the same role and VM, never the
/// reverse. After a lost reply, the key is read again before any further write.
#[derive(Clone, Debug)]
pub struct Registration {
    wanted: MemberRecord,
    stored: StoredMember,
}

impl Registration {
    /// Creates the registration of the record `wanted`.
    pub fn new(wanted: MemberRecord) -> Self {
        Self {
            wanted,
            stored: StoredMember::NotRead,
        }
    }

    /// Returns the store key of the record.
    pub fn key(&self) -> String {
        let incarnation = &self.wanted.incarnation;
        FleetKey::Member(incarnation.vm.clone(), incarnation.role).to_string()
    }

    /// Returns the record to store.
    pub fn wanted(&self) -> &MemberRecord {
        &self.wanted
    }

    /// Modifies the record to store. Changes of its incarnation are ignored.
    pub fn change(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        let incarnation = self.wanted.incarnation.clone();
        change(&mut self.wanted);
        self.wanted.incarnation = incarnation;
    }

    /// Returns the next step.
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
        let value = serde_json::to_vec(&self.wanted).expect("records have only string keys");
        RegistrationStep::Write { expected, value }
    }

    /// Handles the result of [`RegistrationStep::Read`].
    pub fn handle_read(&mut self, answer: Result<Option<StoredValue>, StoreError>) {
        if let Ok(found) = answer {
            self.set_stored(found);
        }
    }

    /// Handles the result of [`RegistrationStep::Write`].
    pub fn handle_write(&mut self, answer: Result<SwapOutcome, StoreError>) {
        match answer {
            Ok(SwapOutcome::Swapped(revision)) => {
                self.stored = StoredMember::Found(revision, Some(self.wanted.clone()));
            }
            Ok(SwapOutcome::Conflict(found)) => self.set_stored(found),
            Err(error) if error.may_have_applied() => self.stored = StoredMember::NotRead,
            Err(_) => {}
        }
    }
}

impl Registration {
    /// Records the stored value of the key.
    ///
    /// If an operator has marked this incarnation as leaving, the state is adopted,
    /// since it is never reset within an incarnation.
    fn set_stored(&mut self, found: Option<StoredValue>) {
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

/// Returns the start of a new incarnation.
///
/// It is the wall-clock time in nanoseconds, but always later than the start of the
/// registered incarnation, even if the clock was set back.
pub fn choose_start(wall_ns: u64, registered: Option<&IncarnationId>) -> u64 {
    let min_start = registered.map_or(0, |earlier| earlier.start.saturating_add(1));
    wall_ns.max(min_start)
}
