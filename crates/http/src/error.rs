//! Errors of an HTTP exchange, which tell whether the request may have been sent.

use std::net::SocketAddr;

/// A failed exchange with another process.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// No connection could be opened: the request was certainly not sent.
    #[error("could not connect to {address}")]
    Unreachable {
        /// The peer that could not be reached.
        address: SocketAddr,
    },
    /// The request was sent, at least in part, and no response arrived.
    #[error("could not get a response from {address}")]
    NoResponse {
        /// The peer that did not respond.
        address: SocketAddr,
    },
    /// The body ended early, or the peer went silent beyond the time limit.
    #[error("could not read the complete response of {address}")]
    Incomplete {
        /// The peer whose response is incomplete.
        address: SocketAddr,
    },
    /// The response was complete but doesn't conform to the protocol.
    #[error("could not decode the response of {address}")]
    Malformed {
        /// The peer that responded.
        address: SocketAddr,
    },
    /// The peer responded with a status that the protocol doesn't define here.
    #[error("unexpected status {status} from {address}")]
    Status {
        /// The peer that responded.
        address: SocketAddr,
        /// Its HTTP status.
        status: u16,
    },
}

impl HttpError {
    /// Whether the peer certainly never received the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Unreachable { .. })
    }
}
