//! Line reader for streamed response bodies.

use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::client::Call;
use crate::connection::Connection;
use crate::error::HttpError;
use crate::progress::ResponseBody;

const MAX_LINE_BYTES: usize = 1 << 20;

/// Splits a streamed body into lines, and fails if the peer goes silent.
#[derive(Debug)]
pub struct Lines {
    address: std::net::SocketAddr,
    body: ResponseBody,
    _connection: Connection,
    buffer: BytesMut,
    /// Bytes of the buffer without a line feed.
    scanned: usize,
}

impl Lines {
    /// Reads lines from the body of a response.
    pub fn new(call: Call) -> Self {
        Self {
            address: call.address,
            body: call.response.into_body(),
            _connection: call.connection,
            buffer: BytesMut::new(),
            scanned: 0,
        }
    }

    /// The peer that sends the lines.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// The next line without its line feed, or `None` if the body ended after a complete line.
    ///
    /// # Errors
    /// [`HttpError::Incomplete`] after `silence_timeout` without a byte, a lost connection, or a
    /// body that ended inside a line; [`HttpError::Malformed`] if a line is longer than 1 MiB.
    pub async fn next(&mut self, silence_timeout: Duration) -> Result<Option<BytesMut>, HttpError> {
        let address = self.address;
        loop {
            let unscanned = self.buffer[self.scanned..].iter();
            if let Some(length) = unscanned.clone().position(|byte| *byte == b'\n') {
                let end = std::mem::take(&mut self.scanned) + length;
                let mut line = self.buffer.split_to(end + 1);
                line.truncate(end);
                return Ok(Some(line));
            }
            self.scanned = self.buffer.len();
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(HttpError::Malformed { address });
            }
            match timeout(silence_timeout, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
                Ok(None) if self.buffer.is_empty() => return Ok(None),
                _ => return Err(HttpError::Incomplete { address }),
            }
        }
    }
}
