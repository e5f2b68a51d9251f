//! VM list whose changes become visible after a delay.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use snipegate_platform::ListedVm;
use snipegate_platform::VmListing;

/// Versions of the VM list, retained to serve it with a lag.
#[derive(Debug, Default)]
pub struct VmHistory {
    lag: Duration,
    versions: Vec<(Instant, VmListing)>,
}

impl VmHistory {
    /// Sets the delay before a change becomes visible.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Replaces the list.
    pub fn replace(&mut self, vms: Vec<ListedVm>, now: Instant, wall_time: SystemTime) {
        let version = self.versions.last().map_or(1, |(_, last)| last.version + 1);
        let listing = VmListing {
            version,
            as_of_ms: unix_millis(wall_time),
            vms,
        };
        self.versions.push((now, listing));
    }

    /// Returns the newest version that is at least as old as the lag.
    ///
    /// If every version is newer, returns the first, if any.
    pub fn read(&self, now: Instant) -> VmListing {
        let visible = self
            .versions
            .iter()
            .rfind(|(since, _)| *since + self.lag <= now);
        visible
            .or(self.versions.first())
            .map(|(_, listing)| listing.clone())
            .unwrap_or_default()
    }
}

fn unix_millis(wall_time: SystemTime) -> u64 {
    wall_time
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
