//! Splits an event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    buffer: BytesMut,
}

impl EventBuffer {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes all complete events in one piece; `None` if there are none.
    pub(crate) fn take_complete(&mut self) -> Option<Bytes> {
        let end = end_of_last(&self.buffer)?;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Whether the last event is incomplete. Empty lines and comments are not an event.
    pub(crate) fn is_in_event(&self) -> bool {
        let complete = end_of_last(&self.buffer).unwrap_or_default();
        let mut lines = self.buffer[complete..].split(|byte| *byte == b'\n');
        lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
    }

    /// Takes what is left after the last complete event.
    pub(crate) fn take_remainder(&mut self) -> Option<Bytes> {
        let remainder = self.buffer.split().freeze();
        (!remainder.is_empty()).then_some(remainder)
    }
}

/// The position after the last empty line, which ends an event.
fn end_of_last(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while end > 0 {
        let newline = bytes[..end].iter().rposition(|byte| *byte == b'\n')?;
        let before = &bytes[..newline];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            return Some(newline + 1);
        }
        end = newline;
    }
    None
}

/// Splits a piece of complete events into single events.
pub(crate) fn split_events(piece: &Bytes) -> Vec<Bytes> {
    let mut events = Vec::new();
    let mut left = piece.clone();
    while !left.is_empty() {
        let end = end_of_first(&left).unwrap_or(left.len());
        events.push(left.split_to(end));
    }
    events
}

fn end_of_first(bytes: &[u8]) -> Option<usize> {
    let indexed = bytes.iter().enumerate();
    let mut newlines = indexed.filter(|(_, byte)| **byte == b'\n');
    newlines.find_map(|(index, _)| {
        let before = &bytes[..index];
        (before.ends_with(b"\n") || before.ends_with(b"\n\r")).then_some(index + 1)
    })
}
