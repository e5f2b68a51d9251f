//! The clock as an interface.

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
use crate::boot::BootMoment;

/// Where the kernel tells one boot from another.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// A source of time, passed in wherever a process needs to know it.
///
/// Decision code takes `now` as an argument instead.
pub trait TimeSource: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for records that people read.
    fn wall(&self) -> SystemTime;

    /// Returns the moment on the clock of the machine's boot, which a later process of
    /// the machine can compare with its own; `None` where there is no such clock.
    fn boot_moment(&self) -> Option<BootMoment>;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl TimeSource for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn boot_moment(&self) -> Option<BootMoment> {
        static BOOT: OnceLock<Option<BootId>> = OnceLock::new();
        let read_boot = || {
            let text = fs::read_to_string(BOOT_ID_PATH).ok()?;
            Some(BootId::of(&[text.trim()]))
        };
        let boot = (*BOOT.get_or_init(read_boot))?;
        let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
        Some(BootMoment::new(boot, since_boot.into()))
    }
}

/// A clock that stands still until a test moves it.
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: (Instant, SystemTime),
    elapsed: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Makes a clock that shows the Unix epoch.
    pub fn new() -> Self {
        Self {
            start: (Instant::now(), SystemTime::UNIX_EPOCH),
            elapsed: Arc::default(),
        }
    }

    /// Moves the clock forward.
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
        self.start.0 + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.start.1 + self.elapsed()
    }

    fn boot_moment(&self) -> Option<BootMoment> {
        Some(BootMoment::new(BootId::of(&["manual"]), self.elapsed()))
    }
}
