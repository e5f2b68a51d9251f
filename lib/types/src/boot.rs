//! Timestamps that processes on the same machine can compare.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Identifies one boot of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BootId(u64);

impl BootId {
    /// Hashes `texts`, which together must be unique to the boot, into an ID.
    pub fn from_texts(texts: &[&str]) -> Self {
        let mut hash = Sha256::new();
        for text in texts {
            hash.update(text.len().to_le_bytes());
            hash.update(text.as_bytes());
        }
        let digest: [u8; 32] = hash.finalize().into();
        let bytes = digest.first_chunk().copied().unwrap_or_default();
        Self(u64::from_le_bytes(bytes))
    }

    /// Returns an ID that also distinguishes processes at different addresses.
    pub fn with_address(self, address: SocketAddr) -> Self {
        Self::from_texts(&[&self.0.to_string(), &address.to_string()])
    }
}

/// A timestamp on the boot clock of a machine.
///
/// No process can set this clock, and it keeps running while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootTimestamp {
    /// The boot that the timestamp belongs to.
    pub boot: BootId,
    /// Nanoseconds since that boot.
    pub at_ns: u64,
}

impl BootTimestamp {
    /// Creates a timestamp from the time elapsed since `boot`.
    pub fn new(boot: BootId, since_boot: Duration) -> Self {
        let at_ns = u64::try_from(since_boot.as_nanos()).unwrap_or(u64::MAX);
        Self { boot, at_ns }
    }

    /// Returns the time elapsed since `earlier`, or `None` if `earlier` belongs to
    /// another boot or is later than `self`.
    pub fn since(self, earlier: Self) -> Option<Duration> {
        let same_boot = self.boot == earlier.boot;
        let elapsed = self.at_ns.checked_sub(earlier.at_ns)?;
        same_boot.then_some(Duration::from_nanos(elapsed))
    }
}
