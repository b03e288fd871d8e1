//! What can go wrong on one exchange, told apart by whether the request may have left this process.

use std::net::SocketAddr;

/// A failed exchange with another process.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// No connection was made: the request was certainly not sent.
    #[error("could not connect to {address}")]
    Unreachable {
        /// The peer that could not be reached.
        address: SocketAddr,
    },
    /// The request was sent, wholly or in part, and no answer came.
    #[error("could not get an answer from {address}")]
    NoResponse {
        /// The peer that did not answer.
        address: SocketAddr,
    },
    /// The body ended early or stayed silent past its bound.
    #[error("could not read the answer of {address} to its end")]
    Incomplete {
        /// The peer whose answer broke off.
        address: SocketAddr,
    },
    /// The answer was whole but not in the form that the protocol states.
    #[error("could not understand the answer of {address}")]
    Malformed {
        /// The peer that answered.
        address: SocketAddr,
    },
    /// The peer answered with a status that the protocol does not foresee here.
    #[error("could not use status {status} of {address}")]
    Status {
        /// The peer that answered.
        address: SocketAddr,
        /// Its HTTP status.
        status: u16,
    },
}

impl HttpError {
    /// Whether it is certain that the peer never saw the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Unreachable { .. })
    }
}
