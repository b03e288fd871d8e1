//! How the body of an upstream's response is framed, which tells how far its end can be trusted.

use std::time::Duration;

use hyper::Response;
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

const LINE_END: &[u8] = b"\r\n";

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

/// Whether a body without a stated framing is made of chunks: the field that said so was damaged,
/// and the sizes of the chunks are not the upstream's body.
pub(crate) fn is_made_of_chunks(mut body: &[u8]) -> bool {
    while let Some((size, rest)) = split_chunk_size(body) {
        if size == 0 {
            return rest.ends_with(LINE_END);
        }
        let after = rest
            .get(size..)
            .and_then(|rest| rest.strip_prefix(LINE_END));
        let Some(after) = after else {
            return false;
        };
        body = after;
    }
    false
}

/// Whether the first line of an event is the size of a chunk, which no event has.
pub(crate) fn begins_with_chunk_size(event: &[u8]) -> bool {
    split_chunk_size(event).is_some()
}

/// The size of a chunk, and what follows the line that states it.
fn split_chunk_size(bytes: &[u8]) -> Option<(usize, &[u8])> {
    let is_line_end = |window: &[u8]| window == LINE_END;
    let length = bytes.windows(LINE_END.len()).position(is_line_end)?;
    let (line, rest) = bytes.split_at(length);
    let digits = line.split(|byte| *byte == b';').next()?;
    let digits = std::str::from_utf8(digits.trim_ascii_end()).ok()?;
    let is_size = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    let size = usize::from_str_radix(digits, 16).ok().filter(|_| is_size)?;
    Some((size, &rest[LINE_END.len()..]))
}
