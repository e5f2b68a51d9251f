//! Paces this VM's sends to one upstream.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::RequestRate;

/// Longest spacing between two sends. Only a response shows that a limit was lifted, so
/// even an upstream that accepts almost nothing is still sent a request now and then.
pub const MAX_SPACING: Duration = Duration::from_secs(10);

/// Fraction of the spacing for which an available send stays reserved for urgent requests.
const RESERVED_FRACTION: f64 = 0.5;

/// Temporary reservation of the next send for requests of a priority.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    /// 0 is the most urgent.
    priority: u8,
    until: Instant,
}

/// A VM's share of a limit, and the delay of its first send as a fraction of the spacing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacedShare {
    /// The share.
    pub rate: RequestRate,
    /// Fraction of the spacing, from 0 to 1.
    pub phase: f64,
}

/// Change of a share, as a factor, from which a paced share begins again. Smaller changes come
/// from single VMs that are heard or not.
const RESTART_FACTOR: f64 = 1.5;

/// Spaces sends by this VM's share of a rate limit.
///
/// INVARIANT: two sends are at least the spacing apart of the share in force at the later
/// one, and the first send comes at least that long after the share began. Unused time does
/// not accumulate.
#[derive(Clone, Copy, Debug)]
pub struct SendPacer {
    /// `None` if other VMs send.
    share: Option<RequestRate>,
    /// Time of the last send, or when the share began.
    spacing_start: Instant,
    /// Time of the last send.
    sent_at: Option<Instant>,
    /// Reservation of the next send.
    reservation: Option<Reservation>,
}

impl SendPacer {
    /// Creates a pacer without a share.
    pub fn new(now: Instant) -> Self {
        Self {
            share: None,
            spacing_start: now,
            sent_at: None,
            reservation: None,
        }
    }

    /// Sets this VM's share.
    pub fn set_share(&mut self, share: Option<RequestRate>, now: Instant) {
        if self.share.is_none() {
            self.spacing_start = now;
        }
        self.share = share;
    }

    /// Sets this VM's share. The first send after a share has begun, or has changed by much, waits
    /// for `phase` of the spacing, and at least a spacing since the last send. A VM that has
    /// waited with a small share could otherwise send at once when it gets a large one, and VMs
    /// whose shares fall together would send together.
    pub fn set_paced_share(&mut self, share: Option<PacedShare>, now: Instant) {
        let has_changed = |share: &PacedShare| {
            self.share.is_none_or(|before| {
                let (low, high) = (share.rate.0.min(before.0), share.rate.0.max(before.0));
                high > low * RESTART_FACTOR
            })
        };
        if let Some(share) = share.filter(has_changed) {
            let skipped = share.rate.interval(MAX_SPACING).mul_f64(1.0 - share.phase);
            let start = now.checked_sub(skipped).unwrap_or(now);
            self.spacing_start = self.sent_at.map_or(start, |sent_at| sent_at.max(start));
        }
        self.share = share.map(|share| share.rate);
    }

    /// Returns this VM's share.
    pub fn share(&self) -> Option<RequestRate> {
        self.share
    }

    /// Returns when this VM may send next, or `None` if other VMs send.
    pub fn next_send_at(&self) -> Option<Instant> {
        let spacing = self.share?.interval(MAX_SPACING);
        Some(self.spacing_start + spacing)
    }

    /// Returns whether this VM may send a request of this priority now; 0 is the most
    /// urgent.
    pub fn may_send(&self, priority: u8, now: Instant) -> bool {
        let is_reserved = self
            .reservation
            .is_some_and(|reservation| now < reservation.until && reservation.priority < priority);
        !is_reserved && self.next_send_at().is_some_and(|at| at <= now)
    }

    /// Reserves the next send for a while for requests at least as urgent as a refused one.
    pub fn reserve_for(&mut self, priority: u8, now: Instant) {
        let (Some(next_send_at), Some(share)) = (self.next_send_at(), self.share) else {
            return;
        };
        let is_more_urgent =
            |reservation: &Reservation| now < reservation.until && reservation.priority < priority;
        if !self.reservation.as_ref().is_some_and(is_more_urgent) {
            let until =
                next_send_at.max(now) + share.interval(MAX_SPACING).mul_f64(RESERVED_FRACTION);
            self.reservation = Some(Reservation { priority, until });
        }
    }

    /// Records a send, which ends a reservation.
    pub fn record_send(&mut self, now: Instant) {
        self.spacing_start = now;
        self.sent_at = Some(now);
        self.reservation = None;
    }
}
