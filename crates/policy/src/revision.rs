//! Revisions of a store that may come back from a copy.
//!
//! A store that comes back from a copy has lost its latest changes and gives their numbers out again, so one
//! number names different states before and after. Its era grows with each such return. A later era
//! goes before any number of an earlier one, and what lies between two revisions is known only where both
//! are of one era.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// A state of a store.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the store has come back from a copy, counted by the store; 0 where it doesn't say.
    pub era: u64,
    /// Grows with each change within an era; 0 before the first.
    pub number: u64,
}

impl Revision {
    /// A number within an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// The one of the next change within the era.
    pub const fn next(self) -> Self {
        Self::new(self.era, self.number + 1)
    }

    /// Whether the store has come back from a copy since an earlier revision that was known for certain.
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
