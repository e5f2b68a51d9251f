//! A VM that an answer may name.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::ByteRate;

use crate::peers::VmRecord;
use crate::room::DatedNotice;
use crate::room::RoomNotice;
use crate::room::VmOffer;

/// A VM that an answer may name, and what is known of its room.
#[derive(Clone, Copy, Debug)]
pub struct AddressCandidate<'a> {
    /// The VM.
    pub record: &'a VmRecord,
    /// Rate of its link, if known.
    pub link: Option<ByteRate>,
    /// Its processor time per second in cores, if known.
    pub cores: Option<f64>,
    /// What it can take; `None` if that is not known at present.
    pub offer: Option<VmOffer>,
    /// What it could take when that was last known.
    pub last_offer: Option<VmOffer>,
    /// Whether it is ready and not overloaded, as far as is known.
    pub is_open: bool,
    /// Age of what is known.
    pub age: Duration,
}

impl<'a> AddressCandidate<'a> {
    /// Describes another VM by its last notice.
    pub fn new(record: &'a VmRecord, notice: Option<&DatedNotice>, now: Instant) -> Self {
        let Some(dated) = notice else {
            return Self {
                record,
                link: None,
                cores: None,
                offer: None,
                last_offer: None,
                is_open: true,
                age: Duration::ZERO,
            };
        };
        let mut candidate = Self::from_notice(record, &dated.notice);
        candidate.age = dated.age(now);
        if !dated.is_current(now) {
            candidate.offer = None;
            // A saturated link loses notices, but the VM remains not ready until the end of
            // the hold that it has told of.
            let is_held = |left| candidate.age < left;
            let hold = dated.notice.hold.filter(|_| !dated.notice.is_ready);
            candidate.is_open = !hold.is_some_and(|hold| is_held(hold.left));
        }
        candidate
    }

    /// Describes a VM by a notice of just now.
    pub fn from_notice(record: &'a VmRecord, notice: &RoomNotice) -> Self {
        Self {
            record,
            link: notice.room.link,
            cores: Some(notice.room.cores),
            offer: Some(notice.offer),
            last_offer: Some(notice.offer),
            is_open: notice.is_ready && !notice.is_overloaded,
            age: Duration::ZERO,
        }
    }
}
