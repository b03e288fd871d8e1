//! The safeguards by name, so that a fault run can show that it notices each one's absence.

use std::str::FromStr;

/// A safeguard that a fault run may take away. Settings files can't: a host that serves callers
/// has all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// Tokens are checked for their generation and attempt.
    TokenOwner,
    /// Tokens are checked for their index.
    TokenIndex,
    /// A silent stream is given up and read on over a new connection.
    Silence,
    /// A key is claimed before its submission is dispatched.
    Claim,
    /// A call that may not be repeated is sent once.
    PlainOnce,
    /// "Not run" is said only with proof.
    NotRunProof,
    /// A configuration is replaced only by a newer one.
    RevisionGrows,
    /// Changes are passed on to peers.
    Spread,
    /// A leaving engine gets nothing new.
    Leaving,
    /// A stop waits for what runs.
    Drain,
}

impl Safeguard {
    /// All of them.
    pub const ALL: [Self; 10] = [
        Self::TokenOwner,
        Self::TokenIndex,
        Self::Silence,
        Self::Claim,
        Self::PlainOnce,
        Self::NotRunProof,
        Self::RevisionGrows,
        Self::Spread,
        Self::Leaving,
        Self::Drain,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::TokenOwner => "token-owner",
            Self::TokenIndex => "token-index",
            Self::Silence => "silence",
            Self::Claim => "claim",
            Self::PlainOnce => "plain-once",
            Self::NotRunProof => "not-run-proof",
            Self::RevisionGrows => "revision-grows",
            Self::Spread => "spread",
            Self::Leaving => "leaving",
            Self::Drain => "drain",
        }
    }
}

/// No safeguard has this name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("could not find safeguard `{name}`")]
pub struct UnknownSafeguard {
    name: String,
}

impl FromStr for Safeguard {
    type Err = UnknownSafeguard;

    fn from_str(name: &str) -> Result<Self, UnknownSafeguard> {
        let found = Self::ALL.into_iter().find(|one| one.name() == name);
        found.ok_or_else(|| UnknownSafeguard { name: name.into() })
    }
}
