//! What became of a request, in types that keep "not run" and "outcome unknown" apart.

use fulmarpath_cluster::{NotGranted, Quarantined};
use fulmarpath_policy::{LimitExceeded, Millis};
use fulmarpath_upstream::Finish;

/// Proof that nothing of a request has been sent to any upstream.
///
/// A request starts with one, and the first dispatch consumes it. A caller who is told "not run"
/// while an engine runs the request would submit it again and get two findings under one
/// reference; since [`NotRun`] can't be built without this proof, no code path can say so.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// The proof for a request that has just come in.
    pub(crate) fn fresh() -> Self {
        Self(())
    }

    /// An upstream refused the request, or was never reached: it still holds that nothing ran.
    pub(crate) fn refused_by_upstream() -> Self {
        Self(())
    }
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotRunReason {
    /// No permit to start.
    #[error("{0}")]
    NotGranted(NotGranted),
    /// LimitExceeded the organisation's rate limit.
    #[error("could not accept more requests a second of this organisation")]
    OverRate,
    /// LimitExceeded the organisation's limit of requests at once.
    #[error("could not accept more requests at once of this organisation")]
    OverConcurrency,
    /// This host has too many open streams.
    #[error("could not open more streams on this host")]
    TooManyStreams,
    /// This host takes no new work now.
    #[error("could not take new work on this host")]
    HostClosed,
    /// The preset in force closes the service.
    #[error("could not serve: the preset in force closes the service")]
    ServiceClosed,
    /// The claim of an idempotency key could not be made durable.
    #[error("could not make the claim of the idempotency key durable")]
    NoClaim,
    /// Upstreams ended as they began to run the same request.
    #[error("{0}")]
    Quarantined(Quarantined),
    /// The upstream refused, and so did the others that were tried.
    #[error("could not start on any upstream")]
    RefusedByUpstream,
}

/// A request that certainly never ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    reason: NotRunReason,
    retry_after_ms: Millis,
}

const RETRY_AFTER_MS: Millis = 1_000;

impl NotRun {
    /// Tells why a request that was never sent is given up.
    pub(crate) fn new(_proof: Unsent, reason: NotRunReason) -> Self {
        let retry_after_ms = match reason {
            NotRunReason::NotGranted(error) => error.retry_after_ms(),
            NotRunReason::Quarantined(quarantined) => quarantined.retry_after_ms,
            _ => RETRY_AFTER_MS,
        };
        Self {
            reason,
            retry_after_ms,
        }
    }

    /// The same for a request over its organisation's limits.
    pub(crate) fn over(_proof: Unsent, over: LimitExceeded) -> Self {
        match over {
            LimitExceeded::Rate { retry_after_ms } => Self {
                reason: NotRunReason::OverRate,
                retry_after_ms,
            },
            LimitExceeded::Concurrency { retry_after_ms } => Self {
                reason: NotRunReason::OverConcurrency,
                retry_after_ms,
            },
        }
    }

    /// Why.
    pub fn reason(&self) -> NotRunReason {
        self.reason
    }

    /// When to come back.
    pub fn retry_after_ms(&self) -> Millis {
        self.retry_after_ms
    }
}

/// How a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer is whole.
    Complete(Finish),
    /// It certainly never ran.
    NotRun(NotRun),
    /// It may have run, and can't be finished.
    OutcomeUnknown,
    /// Its caller left it.
    Abandoned,
}
