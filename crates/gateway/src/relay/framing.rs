//! How the body of an upstream's response is framed, which tells how far its end can be trusted.

use std::time::Duration;

use hyper::Response;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// How long the end of a body is held back in case more bytes follow, which shows that its framing
/// is wrong. A peer that states a wrong length has usually sent the rest of the body already.
pub(crate) const SURPLUS_WAIT: Duration = Duration::from_millis(2);

/// The same for a stream of events with a stated length: longer than an engine under load takes for
/// an event.
pub(crate) const EVENT_SURPLUS_WAIT: Duration = Duration::from_millis(200);

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
    pub(crate) fn of<B: Body>(response: &Response<B>) -> Self {
        let headers = response.headers();
        if response.body().is_end_stream() {
            // The request's method or the status excludes a body.
            Self::Length
        } else if headers.contains_key(TRANSFER_ENCODING) {
            // No other transfer coding is accepted.
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
