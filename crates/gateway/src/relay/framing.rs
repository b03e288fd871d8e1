//! How the body of an upstream's response is framed, which tells how far its end can be trusted.

use hyper::Response;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// The framing of a response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The head states the length.
    Length,
    /// The last chunk marks the end.
    Chunked,
    /// The body ends with its connection.
    Close,
}

impl Framing {
    pub(crate) fn of<B>(response: &Response<B>) -> Self {
        let headers = response.headers();
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Close
        }
    }

    /// Its name in metrics and log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}
