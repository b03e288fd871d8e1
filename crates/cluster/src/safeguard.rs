//! The safeguards against faults, by name. A fault run, which injects faults, may disable one to
//! show that its checks detect the absence.

use std::str::FromStr;

/// A safeguard that a fault run may disable. Settings files can't disable one: a host that serves
/// callers has all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// Tokens are checked against their generation and attempt.
    TokenOwner,
    /// Tokens are checked against the expected index.
    TokenIndex,
    /// A silent stream is closed and resumed over a new connection.
    Silence,
    /// A key is claimed before its submission is dispatched.
    Claim,
    /// A call that must not be repeated is sent once.
    PlainOnce,
    /// A request is reported as not run only with proof.
    NotRunProof,
    /// A configuration is replaced only by a newer one.
    RevisionGrows,
    /// Changes are disseminated to peers.
    Spread,
    /// A leaving engine gets no new generations.
    Leaving,
    /// A shutdown waits for running requests.
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

    /// The name on the command line.
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

/// No safeguard has the given name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("could not find safeguard `{name}`")]
pub struct UnknownSafeguard {
    name: String,
}

impl FromStr for Safeguard {
    type Err = UnknownSafeguard;

    fn from_str(name: &str) -> Result<Self, UnknownSafeguard> {
        let found = Self::ALL
            .into_iter()
            .find(|safeguard| safeguard.name() == name);
        found.ok_or_else(|| UnknownSafeguard { name: name.into() })
    }
}
