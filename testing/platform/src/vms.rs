//! The VM list, read as it was some time ago.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use snipegate_platform::ListedVm;
use snipegate_platform::VmListing;

/// The list's history, from which a lagging reader is served.
#[derive(Debug, Default)]
pub struct VmHistory {
    lag: Duration,
    versions: Vec<(Instant, VmListing)>,
}

impl VmHistory {
    /// Sets how old the list is when it is read.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Replaces the list.
    pub fn replace(&mut self, vms: Vec<ListedVm>, now: Instant, wall: SystemTime) {
        let version = self.versions.last().map_or(1, |(_, last)| last.version + 1);
        let listing = VmListing {
            version,
            as_of_ms: unix_millis(wall),
            vms,
        };
        self.versions.push((now, listing));
    }

    /// Returns the list as it was before the lag.
    pub fn read(&self, now: Instant) -> VmListing {
        let shown = self
            .versions
            .iter()
            .rfind(|(since, _)| *since + self.lag <= now);
        shown
            .or(self.versions.first())
            .map(|(_, listing)| listing.clone())
            .unwrap_or_default()
    }
}

fn unix_millis(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
