//! Checks that the head of a response frames its body in exactly one way.

use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};

/// The largest status that RFC 9110 (15) defines.
const MAX_STATUS: u16 = 599;
const RESPONSE_START: &[u8] = b"HTTP/";

/// Why a response that hyper has parsed can't be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum HeadError {
    /// The final response has an interim status, or switches protocols unasked.
    #[error("status {0} is not that of a final response")]
    Interim(StatusCode),
    #[error("status {0} is out of range")]
    OutOfRange(StatusCode),
    /// Only `chunked` alone can be decoded.
    #[error("its transfer coding is unknown")]
    UnknownCoding,
    /// RFC 9112 (6.3) lets a recipient treat this as an error.
    #[error("it has both a transfer coding and a length")]
    TwoFramings,
}

/// Checks what hyper leaves unchecked.
pub(crate) fn check_head<B>(response: &Response<B>) -> Result<(), HeadError> {
    let status = response.status();
    if status.is_informational() {
        return Err(HeadError::Interim(status));
    }
    if status.as_u16() > MAX_STATUS {
        return Err(HeadError::OutOfRange(status));
    }
    let headers = response.headers();
    if !headers.contains_key(TRANSFER_ENCODING) {
        return Ok(());
    }
    if headers.contains_key(CONTENT_LENGTH) {
        return Err(HeadError::TwoFramings);
    }
    match is_chunked_only(headers) {
        true => Ok(()),
        false => Err(HeadError::UnknownCoding),
    }
}

fn is_chunked_only(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let coding = codings.next().map(|coding| coding.as_bytes());
    let is_only = codings.next().is_none();
    is_only && coding.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// Whether bytes that follow a response belong to its body, which then is longer than its framing
/// states. Another response that nobody asked for says nothing about the one before.
pub(crate) fn continues_body(bytes: &[u8]) -> bool {
    !bytes.is_empty() && !bytes.starts_with(RESPONSE_START)
}
