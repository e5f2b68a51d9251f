//! The balances of one budget.

use serde::Deserialize;
use serde::Serialize;

use crate::record::HolderNumber;
use crate::record::SegmentError;

/// The balances of one budget.
///
/// INVARIANT: `purchased == billed + unassigned + sum of holdings`, and
/// `billed <= purchased`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetBalance {
    /// Tokens bought so far.
    pub purchased: u64,
    /// Tokens billed so far.
    pub billed: u64,
    /// Tokens that nobody holds.
    pub unassigned: u64,
    /// What each holder holds, without those that hold nothing.
    ///
    /// An amount is negative while the holder has given away tokens whose
    /// transfer to it is not noted yet.
    pub holdings: Vec<(HolderNumber, i64)>,
}

impl BudgetBalance {
    /// Returns what `holder` holds.
    pub fn holding(&self, holder: HolderNumber) -> i64 {
        self.holdings
            .iter()
            .find(|(number, _)| *number == holder)
            .map_or(0, |(_, amount)| *amount)
    }

    pub(crate) fn change_holding(
        &mut self,
        holder: HolderNumber,
        change: i64,
    ) -> Result<(), SegmentError> {
        let position = self.holdings.iter().position(|(h, _)| *h == holder);
        let before = position.map_or(0, |p| self.holdings[p].1);
        let after = before
            .checked_add(change)
            .ok_or(SegmentError::BalanceBroken)?;
        match position {
            Some(position) if after == 0 => drop(self.holdings.swap_remove(position)),
            Some(position) => self.holdings[position].1 = after,
            None if after == 0 => {}
            None => self.holdings.push((holder, after)),
        }
        Ok(())
    }

    /// Tells whether the invariant holds.
    pub fn is_conserved(&self) -> bool {
        let held: i128 = self.holdings.iter().map(|(_, a)| i128::from(*a)).sum();
        let total = i128::from(self.billed) + i128::from(self.unassigned) + held;
        total == i128::from(self.purchased) && self.billed <= self.purchased
    }
}
