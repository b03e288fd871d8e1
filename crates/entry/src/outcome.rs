//! Outcomes of requests, in types that keep "not run" and "outcome unknown" apart.

use fulmarpath_cluster::{NotGranted, Quarantined};
use fulmarpath_policy::{LimitExceeded, Millis};
use fulmarpath_upstream::Finish;

/// Proof that no upstream has run a request: it was sent to none, or each refused it.
///
/// A request starts with one, and loses it when an upstream may have run it. A caller that gets
/// "not run" while an engine runs the request would submit it again and get two different answers
/// to one request. Since [`NotRun`] can't be built without this proof, no code path can report that
/// wrongly.
#[derive(Debug)]
pub struct NotRunProof(());

impl NotRunProof {
    /// The proof for a request that has just been received.
    pub(crate) fn fresh() -> Self {
        Self(())
    }

    /// The proof after an upstream refused the request or could not be reached: nothing has run.
    pub(crate) fn refused_by_upstream() -> Self {
        Self(())
    }
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotRunReason {
    /// No permit was granted.
    #[error("{0}")]
    NotGranted(NotGranted),
    /// Above the organisation's limit of requests per second.
    #[error("could not accept more requests per second from this organisation")]
    RateLimit,
    /// Above the organisation's limit of concurrent requests.
    #[error("could not accept more concurrent requests from this organisation")]
    ConcurrencyLimit,
    /// This host has too many open requests.
    #[error("could not accept more concurrent requests on this host")]
    TooManyStreams,
    /// This host accepts no new requests at present.
    #[error("could not take new work on this host")]
    HostClosed,
    /// The active preset closes the service.
    #[error("could not serve: the preset in force closes the service")]
    ServiceClosed,
    /// The claim of an idempotency key could not be made durable.
    #[error("could not make the claim of the idempotency key durable")]
    ClaimFailed,
    /// The content is quarantined: upstreams crashed shortly after they began to run it.
    #[error("{0}")]
    Quarantined(Quarantined),
    /// All upstreams that were tried refused.
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
    /// Reports a request that no upstream has run, with the reason.
    pub(crate) fn new(_proof: NotRunProof, reason: NotRunReason) -> Self {
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

    /// Reports a request that exceeds its organisation's limits.
    pub(crate) fn limit_exceeded(_proof: NotRunProof, exceeded: LimitExceeded) -> Self {
        match exceeded {
            LimitExceeded::Rate { retry_after_ms } => Self {
                reason: NotRunReason::RateLimit,
                retry_after_ms,
            },
            LimitExceeded::Concurrency { retry_after_ms } => Self {
                reason: NotRunReason::ConcurrencyLimit,
                retry_after_ms,
            },
        }
    }

    /// Why it was not run.
    pub fn reason(&self) -> NotRunReason {
        self.reason
    }

    /// When the caller may retry, in ms.
    pub fn retry_after_ms(&self) -> Millis {
        self.retry_after_ms
    }
}

/// How a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// All tokens were generated.
    Complete(Finish),
    /// It certainly never ran.
    NotRun(NotRun),
    /// It may have run, but can't be completed.
    OutcomeUnknown,
    /// Its caller abandoned or cancelled it.
    Abandoned,
}
