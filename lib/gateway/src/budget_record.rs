//! The record of a workspace's budget in the configuration store: who holds how
//! much of it.

use rmp_serde::decode;
use rmp_serde::encode;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::TokenCount;

/// What one run of one VM took from a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetHolder {
    /// The VM, as a hash of its id.
    pub vm: u64,
    /// The run of its process.
    pub incarnation: u64,
    /// Tokens that it was granted and did not give back.
    pub granted: TokenCount,
    /// Tokens that it had used when it last wrote.
    pub used: TokenCount,
}

/// All that was ever taken from a budget.
///
/// Grants of runs that ended without giving back count as used, so no clock and
/// no lease decides how much is left.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRecord {
    /// Tokens of runs that ended.
    pub closed: TokenCount,
    /// Runs that may still use what they hold.
    pub holders: Vec<BudgetHolder>,
}

impl BudgetRecord {
    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, decode::Error> {
        rmp_serde::from_slice(bytes)
    }

    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// Fails only if memory does.
    pub fn encode(&self) -> Result<Vec<u8>, encode::Error> {
        rmp_serde::to_vec(self)
    }

    /// Returns all tokens that were taken.
    pub fn taken(&self) -> TokenCount {
        let held: TokenCount = self.holders.iter().map(|holder| holder.granted).sum();
        self.closed.saturating_add(held)
    }

    /// Returns the tokens that are known to be used for good.
    pub fn used(&self) -> TokenCount {
        let used: TokenCount = self.holders.iter().map(|holder| holder.used).sum();
        self.closed.saturating_add(used)
    }

    /// Returns what this run holds.
    pub fn granted_to(&self, vm: u64, incarnation: u64) -> TokenCount {
        self.holders
            .iter()
            .find(|holder| holder.vm == vm && holder.incarnation == incarnation)
            .map_or(TokenCount::ZERO, |holder| holder.granted)
    }

    /// Sets what a run holds and closes the grants of earlier runs of its VM.
    pub fn set_holder(&mut self, holder: BudgetHolder) {
        let earlier: TokenCount = self
            .holders
            .iter()
            .filter(|other| other.vm == holder.vm && other.incarnation != holder.incarnation)
            .map(|other| other.granted)
            .sum();
        self.closed = self.closed.saturating_add(earlier);
        self.holders.retain(|other| other.vm != holder.vm);
        self.holders.push(holder);
    }

    /// Takes a run out that has used `used` tokens and holds nothing any more.
    pub fn close_holder(&mut self, vm: u64, incarnation: u64, used: TokenCount) {
        self.holders
            .retain(|holder| holder.vm != vm || holder.incarnation != incarnation);
        self.closed = self.closed.saturating_add(used);
    }
}
