//! Revisions of a store that may be restored from a backup.
//!
//! A restored store has lost its latest changes and reuses their numbers, so one number denotes
//! different states before and after. The era of the store grows with each restore. Any revision of
//! a later era is later than all of an earlier one. The changes between two revisions are known
//! only if both are of the same era.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// A version of the store's state.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Number of restores, counted by the store; 0 if the store doesn't report it.
    pub era: u64,
    /// Grows with each change within an era; 0 before the first change.
    pub number: u64,
}

impl Revision {
    /// Creates a revision from an era and a number within it.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// The revision of the next change within the era.
    pub const fn next(self) -> Self {
        Self::new(self.era, self.number.saturating_add(1))
    }

    /// Whether the store was restored since `earlier`, if `earlier` is later than `provisional` and
    /// hence known for certain.
    pub const fn is_restore_since(self, earlier: Self, provisional: Self) -> bool {
        let is_certain = earlier.era > provisional.era || earlier.number > provisional.number;
        is_certain && self.era > earlier.era
    }
}

impl Display for Revision {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of era {}", self.number, self.era)
    }
}
