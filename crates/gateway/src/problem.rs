//! The gateway's own responses, for requests without a response of an upstream.

use fulmarpath_http::{Reply, json};
use fulmarpath_policy::{ContentKey, Millis};
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use serde::Serialize;

/// Why a request has no response of an upstream.
///
/// Only those with status 503 guarantee that the request has not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Problem {
    /// The head cannot be used.
    BadHead,
    /// The body ended early or cannot be read.
    BadBody,
    /// The body is longer than the operator allows.
    BodyTooLong,
    /// A gateway has sent it for an upstream, at whose address this host listens.
    Misdirected,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// No configuration is known yet.
    NoConfiguration,
    /// No upstream of the service accepts work.
    NoUpstream,
    /// Every upstream that was tried refused the request.
    AllRefused,
    /// Every engine is full and is expected to remain so for longer than the caller waits.
    Full {
        /// When to retry.
        retry_after_ms: Millis,
    },
    /// Every upstream of the service is in an evacuated data centre.
    Evacuated {
        /// When to retry.
        retry_after_ms: Millis,
    },
    /// Every upstream of the service is cold and accepts no more requests now.
    Cold {
        /// When to retry.
        retry_after_ms: Millis,
    },
    /// Every upstream of the service that accepts work throttles this host now, by a limit or by
    /// backoff.
    #[serde(rename = "held_back")]
    Throttled {
        /// When to retry.
        retry_after_ms: Millis,
    },
    /// The prompt fits into no engine of its service.
    TooLarge,
    /// Upstreams crashed when they began to run requests with the same content, as a whole or in a
    /// part of the prompt.
    Quarantined {
        /// That content.
        content: ContentKey,
        /// When to retry.
        retry_after_ms: Millis,
    },
    /// This host stops before the request could be certain to end.
    Stopping,
    /// This host stops, and the request that it has sent has no response yet.
    Stopped,
    /// The bodies of other requests take all room, or one organisation its share.
    NoBodyRoom,
    /// No upstream could be reached.
    Unreachable,
    /// The deadline passed before the request was sent.
    TooLateToSend,
    /// The deadline passed after the request was sent.
    Timeout,
    /// The upstream broke off; the request may have run.
    Broken,
}

impl Problem {
    /// The HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadHead | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Misdirected => StatusCode::MISDIRECTED_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoConfiguration
            | Self::NoUpstream
            | Self::AllRefused
            | Self::Full { .. }
            | Self::Evacuated { .. }
            | Self::Cold { .. }
            | Self::Throttled { .. }
            | Self::Quarantined { .. }
            | Self::Stopping
            | Self::TooLarge
            | Self::NoBodyRoom
            | Self::Unreachable
            | Self::TooLateToSend => StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout | Self::Stopped => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether it guarantees that the request has not run and never will.
    pub(crate) fn guarantees_not_run(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }

    /// Its name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadHead => "bad_head",
            Self::BadBody => "bad_body",
            Self::BodyTooLong => "body_too_long",
            Self::Misdirected => "misdirected",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::NoConfiguration => "no_configuration",
            Self::NoUpstream => "no_upstream",
            Self::AllRefused => "all_refused",
            Self::Full { .. } => "full",
            Self::Evacuated { .. } => "evacuated",
            Self::Cold { .. } => "cold",
            Self::Throttled { .. } => "held_back",
            Self::Quarantined { .. } => "quarantined",
            Self::Stopping => "stopping",
            Self::Stopped => "stopped",
            Self::TooLarge => "too_large",
            Self::NoBodyRoom => "no_body_room",
            Self::Unreachable => "unreachable",
            Self::TooLateToSend => "too_late_to_send",
            Self::Timeout => "timeout",
            Self::Broken => "broken",
        }
    }

    /// When the caller should retry.
    fn retry_after_ms(self) -> Option<Millis> {
        match self {
            // A configuration arrives with the next response of the store or of a peer.
            Self::NoConfiguration => Some(500),
            // A replaced upstream registers within a few seconds; other upstreams may have a free
            // slot sooner.
            Self::NoUpstream | Self::Unreachable => Some(400),
            // A slot becomes free in about the time of one small request.
            Self::AllRefused => Some(150),
            Self::Full { retry_after_ms }
            | Self::Evacuated { retry_after_ms }
            | Self::Cold { retry_after_ms }
            | Self::Throttled { retry_after_ms }
            | Self::Quarantined { retry_after_ms, .. } => Some(retry_after_ms),
            // Bodies are read and forwarded in less than a second unless upstreams are slow.
            Self::NoBodyRoom => Some(500),
            // Larger engines can only come with another configuration, which takes at least this
            // long.
            Self::TooLarge => Some(30_000),
            // Another host accepts the request immediately.
            Self::Stopping | Self::TooLateToSend => Some(0),
            _ => None,
        }
    }
}

#[derive(Serialize)]
struct Message {
    error: &'static str,
}

/// The HTTP response for a problem.
pub(crate) fn reply(problem: Problem) -> Reply {
    let message = Message {
        error: problem.name(),
    };
    let mut reply = json(problem.status(), &message);
    if let Some(after_ms) = problem.retry_after_ms() {
        let seconds = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    reply
}
