//! The clock interface, with a system clock and a manual clock for tests.

use std::fs;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use nix::time::ClockId;
use nix::time::clock_gettime;

use crate::boot::BootId;
use crate::boot::BootTimestamp;

/// Kernel file that contains a random ID generated at each boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// A source of time, injected into the parts of a process that read the clock.
///
/// Decision logic takes `now` as an argument instead.
pub trait TimeSource: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for human-readable records.
    fn wall_time(&self) -> SystemTime;

    /// Returns the current time of the machine's boot clock, or `None` if there is no
    /// such clock.
    ///
    /// Processes started later on the same machine can compare it with their own.
    fn boot_timestamp(&self) -> Option<BootTimestamp>;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl TimeSource for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }

    fn boot_timestamp(&self) -> Option<BootTimestamp> {
        static BOOT: OnceLock<Option<BootId>> = OnceLock::new();
        let read_boot_id = || {
            let text = fs::read_to_string(BOOT_ID_PATH).ok()?;
            Some(BootId::from_texts(&[text.trim()]))
        };
        let boot = (*BOOT.get_or_init(read_boot_id))?;
        let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
        Some(BootTimestamp::new(boot, since_boot.into()))
    }
}

/// A clock for tests that moves only when it is advanced.
#[derive(Clone, Debug)]
pub struct ManualClock {
    origin: (Instant, SystemTime),
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Creates a clock whose wall-clock time is the Unix epoch.
    pub fn new() -> Self {
        Self {
            origin: (Instant::now(), SystemTime::UNIX_EPOCH),
            elapsed: Arc::default(),
        }
    }

    /// Advances the clock by `span`.
    pub fn advance(&self, span: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += span;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl TimeSource for ManualClock {
    fn now(&self) -> Instant {
        self.origin.0 + self.elapsed()
    }

    fn wall_time(&self) -> SystemTime {
        self.origin.1 + self.elapsed()
    }

    fn boot_timestamp(&self) -> Option<BootTimestamp> {
        Some(BootTimestamp::new(
            BootId::from_texts(&["manual"]),
            self.elapsed(),
        ))
    }
}
