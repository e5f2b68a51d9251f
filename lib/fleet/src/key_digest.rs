//! Digests of workspace API keys.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use snipegate_types::IdError;
use subtle::ConstantTimeEq;

/// The SHA-256 digest of a workspace key, formatted as 64 hexadecimal digits.
///
/// The configuration and the processes store only digests, never the keys themselves.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key as sent by a caller.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl FromStr for KeyDigest {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| IdError::InvalidHex)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}
