//! Problem details (RFC 9457), with a `type` for each kind of refusal.

use fulmarpath_http::{Reply, full};
use fulmarpath_policy::Millis;
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use serde::Serialize;

use crate::outcome::{NotRun, NotRunReason};

/// An error response to a caller or operator.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The request certainly never ran.
    #[error("the request was not run: {}", .0.reason())]
    NotRun(NotRun),
    /// The request may have run.
    #[error("the request may have run; it was not run again")]
    OutcomeUnknown,
    /// No organisation has this key, or no key was sent.
    #[error("could not find an organisation with this key")]
    Unauthenticated,
    /// No such service, generation or path.
    #[error("could not find {what}")]
    NotFound {
        /// What was requested.
        what: &'static str,
    },
    /// The request doesn't conform to the protocol.
    #[error("could not read {what}")]
    Malformed {
        /// Which part.
        what: &'static str,
    },
    /// The request exceeds a size limit.
    #[error("could not accept {what} above {limit} {unit}")]
    TooLarge {
        /// Which part.
        what: &'static str,
        /// The limit.
        limit: usize,
        /// Unit of the limit.
        unit: &'static str,
    },
    /// The idempotency key was used for a different request.
    #[error("could not use this idempotency key again: it belongs to another request")]
    KeyReused,
    /// Another operator's change was accepted first.
    #[error("{detail}")]
    Conflict {
        /// The revision that was found, with the differences.
        detail: String,
    },
    /// The change can't be accepted as it is.
    #[error("{detail}")]
    Unacceptable {
        /// Why.
        detail: String,
    },
    /// The change may or may not have been accepted.
    #[error("{detail}")]
    ChangeUnknown {
        /// What the operator can do.
        detail: String,
    },
}

#[derive(Debug, Serialize)]
struct Body<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
    detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<Millis>,
}

impl Problem {
    /// The kind: the last part of the `type` URN.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NotRun(not_run) => not_run_kind(not_run.reason()),
            Self::OutcomeUnknown => "outcome-unknown",
            Self::Unauthenticated => "unauthenticated",
            Self::NotFound { .. } => "not-found",
            Self::Malformed { .. } => "malformed",
            Self::TooLarge { .. } => "too-large",
            Self::KeyReused => "key-reused",
            Self::Conflict { .. } => "conflict",
            Self::Unacceptable { .. } => "unacceptable",
            Self::ChangeUnknown { .. } => "change-unknown",
        }
    }

    /// The HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotRun(not_run) => match not_run.reason() {
                NotRunReason::RateLimit | NotRunReason::ConcurrencyLimit => {
                    StatusCode::TOO_MANY_REQUESTS
                }
                _ => StatusCode::SERVICE_UNAVAILABLE,
            },
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::NotFound { .. } => StatusCode::NOT_FOUND,
            Self::Malformed { .. } => StatusCode::BAD_REQUEST,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyReused | Self::Unacceptable { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Conflict { .. } => StatusCode::CONFLICT,
            Self::ChangeUnknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn title(&self) -> &'static str {
        match self {
            Self::NotRun(_) => "Not run",
            Self::OutcomeUnknown => "Outcome unknown",
            Self::Unauthenticated => "Unauthenticated",
            Self::NotFound { .. } => "Not found",
            Self::Malformed { .. } => "Malformed request",
            Self::TooLarge { .. } => "Too large",
            Self::KeyReused => "Idempotency key reused",
            Self::Conflict { .. } => "Conflict",
            Self::Unacceptable { .. } => "Unacceptable change",
            Self::ChangeUnknown { .. } => "Change unknown",
        }
    }

    fn retry_after_ms(&self) -> Option<Millis> {
        match self {
            Self::NotRun(not_run) => Some(not_run.retry_after_ms()),
            _ => None,
        }
    }

    /// The problem details as JSON.
    pub(crate) fn body(&self) -> Vec<u8> {
        let kind = format!("urn:fulmarpath:problem:{}", self.kind());
        let body = Body {
            r#type: &kind,
            title: self.title(),
            status: self.status().as_u16(),
            detail: self.to_string(),
            retry_after_ms: self.retry_after_ms(),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// The complete HTTP response.
    pub(crate) fn reply(&self) -> Reply {
        let mut reply = full(self.status(), "application/problem+json", self.body());
        if let Some(retry_after_ms) = self.retry_after_ms() {
            let seconds = retry_after_ms.div_ceil(1_000).max(1);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        reply
    }
}

fn not_run_kind(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::NotGranted(_) => "not-run/no-room",
        NotRunReason::RateLimit => "not-run/rate-limit",
        NotRunReason::ConcurrencyLimit => "not-run/concurrency-limit",
        NotRunReason::TooManyStreams => "not-run/stream-limit",
        NotRunReason::HostClosed => "not-run/host-closed",
        NotRunReason::ServiceClosed => "not-run/service-closed",
        NotRunReason::ClaimFailed => "not-run/no-claim",
        NotRunReason::Quarantined(_) => "not-run/quarantined",
        NotRunReason::RefusedByUpstream => "not-run/refused-by-upstream",
    }
}
