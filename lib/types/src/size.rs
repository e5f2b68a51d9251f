//! Token and byte counts, and token and request rates.

use std::error::Error;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The reason why a text is not a valid size or rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeError {
    /// The number is missing, malformed or out of range.
    InvalidNumber,
    /// The text ends with an unknown unit.
    InvalidUnit,
}

impl fmt::Display for SizeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SizeError::InvalidNumber => write!(f, "expected a non-negative number"),
            SizeError::InvalidUnit => write!(f, "unknown unit, expected k, M, G or none"),
        }
    }
}

impl Error for SizeError {}

/// Parses a whole number with an optional decimal unit: `k`, `M` or `G`.
fn parse_with_unit(text: &str) -> Result<u64, SizeError> {
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, unit) = text.split_at(end);
    let number: u64 = digits.parse().map_err(|_| SizeError::InvalidNumber)?;
    let scale = match unit {
        "" => 1,
        "k" => 1_000,
        "M" => 1_000_000,
        "G" => 1_000_000_000,
        _ => return Err(SizeError::InvalidUnit),
    };
    number.checked_mul(scale).ok_or(SizeError::InvalidNumber)
}

/// Defines an unsigned count type with checked and saturating arithmetic.
macro_rules! count {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The zero count.
            pub const ZERO: Self = Self(0);

            /// Returns the sum, or `None` on overflow.
            pub fn checked_add(self, other: Self) -> Option<Self> {
                self.0.checked_add(other.0).map(Self)
            }

            /// Returns the difference, or `None` if it would be negative.
            pub fn checked_sub(self, other: Self) -> Option<Self> {
                self.0.checked_sub(other.0).map(Self)
            }

            /// Returns the sum, or the largest count on overflow.
            pub fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Returns the difference, or zero if it would be negative.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }

            /// Returns whether the count is zero.
            pub fn is_zero(self) -> bool {
                self.0 == 0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = SizeError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse_with_unit(text).map(Self)
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
                counts.fold(Self::ZERO, Self::saturating_add)
            }
        }
    };
}

count! {
    /// A number of tokens, parsed with an optional decimal unit: `k`, `M` or `G`.
    TokenCount
}
count! {
    /// A number of bytes, parsed with an optional decimal unit: `k`, `M` or `G`.
    ByteCount
}

/// Tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenRate(pub f64);

impl TokenRate {
    /// Returns the number of tokens in `span` at this rate, rounded up.
    pub fn tokens_in(self, span: Duration) -> TokenCount {
        TokenCount((self.0 * span.as_secs_f64()).ceil().max(0.0) as u64)
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for TokenRate {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_rate(text).map(Self)
    }
}

/// Requests per second. Finite and non-negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(pub f64);

impl RequestRate {
    /// Returns the interval between requests at this rate, capped at `longest`.
    pub fn interval(self, longest: Duration) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.0).map_or(longest, |interval| interval.min(longest))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_rate(text).map(Self)
    }
}

/// Bytes per second. Finite and non-negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ByteRate(pub f64);

impl ByteRate {
    /// Returns the rate of a link of `megabits` per second.
    pub fn from_megabits(megabits: f64) -> Self {
        Self(megabits * 1e6 / 8.0)
    }
}

impl fmt::Display for ByteRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for ByteRate {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_rate(text).map(Self)
    }
}

/// Parses a rate per second with an optional `/s` suffix.
fn parse_rate(text: &str) -> Result<f64, SizeError> {
    let digits = text.strip_suffix("/s").unwrap_or(text);
    match digits.parse::<f64>() {
        Ok(rate) if rate.is_finite() && rate >= 0.0 => Ok(rate),
        _ => Err(SizeError::InvalidNumber),
    }
}
