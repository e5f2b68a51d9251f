//! Identifiers of requests, operations, budgets and related entities.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Maximum length of a name in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 128;

/// The reason why a text is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text exceeds the maximum length of a name.
    TooLong {
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The text contains a character that is not allowed in names.
    InvalidCharacter {
        /// The first such character.
        found: char,
    },
    /// The text is not a hexadecimal number of the expected length.
    InvalidHex,
    /// The text does not consist of the components of the identifier.
    InvalidFormat,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Empty => write!(f, "name is empty"),
            IdError::TooLong { bytes } => {
                write!(
                    f,
                    "name has {bytes} bytes, at most {MAX_NAME_BYTES} are accepted"
                )
            }
            IdError::InvalidCharacter { found } => write!(
                f,
                "character {found:?} is not accepted, use letters, digits, '.', '_' or '-'"
            ),
            IdError::InvalidHex => write!(f, "expected hexadecimal digits of the right length"),
            IdError::InvalidFormat => write!(f, "expected vm/role/start"),
        }
    }
}

impl Error for IdError {}

pub(crate) fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(IdError::TooLong { bytes: text.len() });
    }
    let accepted = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match text.chars().find(|&c| !accepted(c)) {
        Some(found) => Err(IdError::InvalidCharacter { found }),
        None => Ok(()),
    }
}

/// Defines a validated name type: 1 to 128 ASCII letters, digits, `.`, `_` or `-`.
macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::id::IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::id::check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::id::IdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}
pub(crate) use checked_name;

checked_name! {
    /// A tenant, which owns keys, profiles and one or more budgets.
    WorkspaceId
}
checked_name! {
    /// A prepaid token budget.
    BudgetId
}
checked_name! {
    /// A named profile that a service runs under.
    ProfileName
}
checked_name! {
    /// A language model, or the kind of work that a plain service does.
    ModelName
}
checked_name! {
    /// An adapter loaded alongside a model.
    AdapterName
}
checked_name! {
    /// A model runner or plain-service runner.
    UpstreamId
}

/// Zero-based number of a ledger shard.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct ShardId(pub u16);

impl ShardId {
    /// Returns which of `shards` shards `workspace` is assigned to.
    ///
    /// All budgets, bills and intents of a workspace are in the same shard, so
    /// that a single log decides whether a request ID was seen before.
    ///
    /// # Panics
    ///
    /// Panics if `shards` is zero.
    pub fn for_workspace(workspace: &WorkspaceId, shards: u16) -> Self {
        let digest = Sha256::digest(workspace.as_str().as_bytes());
        let prefix = u64::from_le_bytes(digest_prefix(&digest));
        Self((prefix % u64::from(shards)) as u16)
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ShardId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

fn digest_prefix<const N: usize>(digest: &[u8]) -> [u8; N] {
    let mut bytes = [0; N];
    bytes.copy_from_slice(&digest[..N]);
    bytes
}

/// Defines a 128-bit identifier type, formatted as 32 hexadecimal digits.
macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name([u8; 16]);

        impl $name {
            /// Creates an identifier from its 16 bytes.
            pub const fn from_bytes(bytes: [u8; 16]) -> Self {
                Self(bytes)
            }

            /// Creates an identifier from the big-endian bytes of `number`.
            pub const fn from_number(number: u128) -> Self {
                Self(number.to_be_bytes())
            }

            /// Returns the 16 bytes.
            pub const fn as_bytes(&self) -> &[u8; 16] {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&hex::encode(self.0))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!(stringify!($name), "({})"), hex::encode(self.0))
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let mut bytes = [0; 16];
                hex::decode_to_slice(text, &mut bytes).map_err(|_| IdError::InvalidHex)?;
                Ok(Self(bytes))
            }
        }
    };
}

hex_id! {
    /// A caller's request, including all of its retries.
    ///
    /// Derived from the workspace and the caller's idempotency key, so that a
    /// retry has the same ID whichever router it is sent through.
    RequestId
}
hex_id! {
    /// An idempotent operation on the ledger or the configuration.
    ///
    /// The client that starts the operation chooses the ID and reuses it for retries.
    OperationId
}

impl RequestId {
    /// Derives the ID of the request that `workspace` sends with idempotency key `key`.
    pub fn from_idempotency_key(workspace: &WorkspaceId, key: &str) -> Self {
        let digest = Sha256::new()
            .chain_update(workspace.as_str().as_bytes())
            .chain_update([0])
            .chain_update(key.as_bytes())
            .finalize();
        Self(digest_prefix(&digest))
    }
}
