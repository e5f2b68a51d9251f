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
    /// Total number of tokens purchased.
    pub purchased: u64,
    /// Total number of tokens billed.
    pub billed: u64,
    /// Tokens that no holder has.
    pub unassigned: u64,
    /// Amount held by each holder; holders with a zero amount are omitted.
    ///
    /// An amount is negative while the holder has given away tokens whose
    /// transfer to it is not yet recorded.
    pub holdings: Vec<(HolderNumber, i64)>,
}

impl BudgetBalance {
    /// Returns the amount held by `holder`, or zero if it holds nothing.
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

    /// Returns whether the invariant of this type holds.
    pub fn is_conserved(&self) -> bool {
        let held: i128 = self.holdings.iter().map(|(_, a)| i128::from(*a)).sum();
        let total = i128::from(self.billed) + i128::from(self.unassigned) + held;
        total == i128::from(self.purchased) && self.billed <= self.purchased
    }
}
