//! Moments that two processes of one machine can compare.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// One boot of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BootId(u64);

impl BootId {
    /// Makes the id of the boot that these texts tell from all others.
    pub fn of(texts: &[&str]) -> Self {
        let mut hash = Sha256::new();
        for text in texts {
            hash.update(text.len().to_le_bytes());
            hash.update(text.as_bytes());
        }
        let digest: [u8; 32] = hash.finalize().into();
        let bytes = digest.first_chunk().copied().unwrap_or_default();
        Self(u64::from_le_bytes(bytes))
    }

    /// Returns an id that also tells apart what runs at different addresses.
    pub fn at_address(self, address: SocketAddr) -> Self {
        Self::of(&[&self.0.to_string(), &address.to_string()])
    }
}

/// A moment on the clock of one boot, which no process can set and which goes on while
/// the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootMoment {
    /// The boot.
    pub boot: BootId,
    /// Nanoseconds since it.
    pub at_ns: u64,
}

impl BootMoment {
    /// Makes a moment of a boot.
    pub fn new(boot: BootId, since_boot: Duration) -> Self {
        let at_ns = u64::try_from(since_boot.as_nanos()).unwrap_or(u64::MAX);
        Self { boot, at_ns }
    }

    /// Returns the time since an earlier moment; `None` if it was in another boot or is
    /// not earlier.
    pub fn since(self, earlier: Self) -> Option<Duration> {
        let same_boot = self.boot == earlier.boot;
        let span = self.at_ns.checked_sub(earlier.at_ns)?;
        same_boot.then_some(Duration::from_nanos(span))
    }
}
