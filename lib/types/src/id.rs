//! Identifiers of requests, operations, budgets and the things they refer to.

use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Longest accepted name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 128;

/// Why a piece of text is not an identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than a name may be.
    TooLong {
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The text holds a character that names may not hold.
    BadCharacter {
        /// The first such character.
        found: char,
    },
    /// The text is not hexadecimal of the expected length.
    BadHex,
    /// The text does not have the parts that this identifier is made of.
    BadShape,
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
            IdError::BadCharacter { found } => write!(
                f,
                "character {found:?} is not accepted, use letters, digits, '.', '_' or '-'"
            ),
            IdError::BadHex => write!(f, "expected hexadecimal digits of the right length"),
            IdError::BadShape => write!(f, "expected vm/role/start"),
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
        Some(found) => Err(IdError::BadCharacter { found }),
        None => Ok(()),
    }
}

/// Declares a checked name: 1 to 128 ASCII letters, digits, `.`, `_` or `-`.
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
    /// A customer's unit of use: it owns keys, profiles and one or more budgets.
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
    /// A language model, or the name of a plain service's kind of work.
    ModelName
}
checked_name! {
    /// An adapter loaded beside a model.
    AdapterName
}
checked_name! {
    /// A model runner or plain-service runner.
    UpstreamId
}

/// Number of a ledger shard, from 0.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct ShardId(pub u16);

impl ShardId {
    /// Returns the shard of `workspace` among `shards` shards.
    ///
    /// All budgets, bills and intents of a workspace share its shard, so that
    /// one log decides whether a request id was seen before.
    ///
    /// # Panics
    ///
    /// Panics if `shards` is zero.
    pub fn of_workspace(workspace: &WorkspaceId, shards: u16) -> Self {
        let digest = Sha256::digest(workspace.as_str().as_bytes());
        let prefix = u64::from_le_bytes(first_bytes(&digest));
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

fn first_bytes<const N: usize>(digest: &[u8]) -> [u8; N] {
    let mut bytes = [0; N];
    bytes.copy_from_slice(&digest[..N]);
    bytes
}

/// Declares a 128-bit identifier written as 32 hexadecimal digits.
macro_rules! wide_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name([u8; 16]);

        impl $name {
            /// Makes an identifier from its 16 bytes.
            pub const fn from_bytes(bytes: [u8; 16]) -> Self {
                Self(bytes)
            }

            /// Makes an identifier from a number, most significant byte first.
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
                hex::decode_to_slice(text, &mut bytes).map_err(|_| IdError::BadHex)?;
                Ok(Self(bytes))
            }
        }
    };
}

wide_id! {
    /// One request of a caller, however often it is sent.
    ///
    /// Derived from the workspace and the caller's idempotency key, so that a
    /// retry through any router has the same id.
    RequestId
}
wide_id! {
    /// One idempotent operation on the ledger or the configuration, chosen by
    /// whoever starts it and kept across its retries.
    OperationId
}

impl RequestId {
    /// Derives the id of the request that `workspace` sends under `key`.
    pub fn from_idempotency_key(workspace: &WorkspaceId, key: &str) -> Self {
        let digest = Sha256::new()
            .chain_update(workspace.as_str().as_bytes())
            .chain_update([0])
            .chain_update(key.as_bytes())
            .finalize();
        Self(first_bytes(&digest))
    }
}
