//! Detects that a VM is overloaded.

use std::time::Duration;
use std::time::Instant;

use snipegate_types::ByteRate;
use strum::IntoStaticStr;

use crate::room::capacity::VmCapacity;
use crate::room::load_meter::LoadSample;
use crate::room::notice::CallerDemand;
use crate::room::notice::RoomUse;

/// Share of a link's rate above which it is saturated. Requests come in bursts, so they wait
/// for the link well before its mean use reaches its rate.
pub const SATURATED_SHARE: f64 = 0.72;

/// Number of successive samples that have to show a saturated link or processor.
const SATURATED_SAMPLES: usize = 3;

/// Lateness of the sampling timer above which the processor is saturated.
pub const MAX_LATENESS: Duration = Duration::from_millis(100);

/// Longest time for which bytes that sockets have accepted count as waiting for the link.
const MAX_BACKLOG: Duration = Duration::from_millis(400);

/// A VM counts as overloaded for this time after the last sample that showed an overload.
const RELIEF_PERIOD: Duration = Duration::from_secs(3);

/// What is saturated at an overloaded VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OverloadCause {
    /// One direction of the link.
    Link,
    /// The processor.
    Processor,
}

/// Overload that the last samples show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VmOverload {
    /// What is saturated.
    pub cause: OverloadCause,
    /// Mean traffic of these samples in the busier direction. It can exceed the rate of the
    /// link where sockets accept bytes faster than the link carries them.
    pub traffic: ByteRate,
}

impl VmOverload {
    /// Returns what the callers need that overloaded a VM with this room.
    pub fn demand(&self, room: &RoomUse) -> CallerDemand {
        CallerDemand {
            traffic: self.traffic,
            cores: match self.cause {
                OverloadCause::Link => 0.0,
                OverloadCause::Processor => room.cores,
            },
        }
    }
}

/// Detects overload from samples of the load.
#[derive(Clone, Debug)]
pub struct OverloadState {
    link: Option<ByteRate>,
    received: LinkDirection,
    sent: LinkDirection,
    late_samples: usize,
    last_seen: Option<(Instant, OverloadCause)>,
}

/// One direction of a link.
#[derive(Clone, Debug, Default)]
struct LinkDirection {
    /// Bytes that sockets have accepted and the link has not carried yet.
    backlog: f64,
    saturated_samples: usize,
    /// The last samples; the latest is the last.
    rates: [f64; SATURATED_SAMPLES],
}

impl OverloadState {
    /// Creates the state of a VM that has just started.
    pub fn new(capacity: &VmCapacity) -> Self {
        Self {
            link: capacity.link,
            received: LinkDirection::default(),
            sent: LinkDirection::default(),
            late_samples: 0,
            last_seen: None,
        }
    }

    /// Applies a sample. Returns the overload that it and the samples before show.
    pub fn record(&mut self, sample: &LoadSample, now: Instant) -> Option<VmOverload> {
        self.received
            .record(sample.received, sample.span, self.link);
        self.sent.record(sample.sent, sample.span, self.link);
        // A VM that is busy without callers, as after a start, has none to lead away.
        let has_callers = sample.requests.0 > 0.0;
        self.late_samples = match sample.lateness > MAX_LATENESS && has_callers {
            true => self.late_samples + 1,
            false => 0,
        };
        let cause = if self.received.is_saturated() || self.sent.is_saturated() {
            OverloadCause::Link
        } else if self.late_samples >= SATURATED_SAMPLES {
            OverloadCause::Processor
        } else {
            return None;
        };
        self.last_seen = Some((now, cause));
        Some(VmOverload {
            cause,
            traffic: ByteRate(self.received.mean_rate().max(self.sent.mean_rate())),
        })
    }

    /// Returns what is saturated if the VM is overloaded, or was so until a moment ago.
    pub fn recent_cause(&self, now: Instant) -> Option<OverloadCause> {
        let (at, cause) = self.last_seen?;
        let is_recent = now.saturating_duration_since(at) < RELIEF_PERIOD;
        is_recent.then_some(cause)
    }
}

impl LinkDirection {
    fn record(&mut self, rate: ByteRate, span: Duration, link: Option<ByteRate>) {
        self.rates.rotate_left(1);
        self.rates[SATURATED_SAMPLES - 1] = rate.0;
        let Some(link) = link else {
            return;
        };
        let seconds = span.as_secs_f64();
        let offered = self.backlog + rate.0 * seconds;
        let capacity = link.0 * seconds;
        let carried = offered.min(capacity);
        self.backlog = (offered - carried).min(link.0 * MAX_BACKLOG.as_secs_f64());
        self.saturated_samples = match carried > capacity * SATURATED_SHARE {
            true => self.saturated_samples + 1,
            false => 0,
        };
    }

    fn is_saturated(&self) -> bool {
        self.saturated_samples >= SATURATED_SAMPLES
    }

    fn mean_rate(&self) -> f64 {
        self.rates.iter().sum::<f64>() / SATURATED_SAMPLES as f64
    }
}
