//! Splits an event stream into complete events.

use bytes::{Bytes, BytesMut};

use crate::resources::{ByteBudget, HeldBytes};

/// Bytes that are buffered of one stream until an event is complete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Bytes that are buffered of one stream without a share of the budget: the whole of a usual event.
const MIN_EVENT_BYTES: usize = 16 * 1024;

/// An event is too long to be buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Buffers bytes until an event is complete.
#[derive(Debug)]
pub struct EventBuffer {
    buffer: BytesMut,
    /// The end of the last complete event.
    complete: usize,
    held: Option<HeldBytes>,
    budget: ByteBudget,
    /// A part of an event has been taken as if it were complete.
    has_split_event: bool,
}

impl EventBuffer {
    /// Creates an empty buffer, whose bytes count towards `budget`.
    pub fn new(budget: ByteBudget) -> Self {
        Self {
            buffer: BytesMut::new(),
            complete: 0,
            held: None,
            budget,
            has_split_event: false,
        }
    }

    /// Appends received bytes.
    ///
    /// # Errors
    /// [`EventTooLong`], with the bytes appended nevertheless.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        let scanned = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        if let Some(end) = end_of_last(&self.buffer, scanned) {
            self.complete = end;
        }
        self.hold()
    }

    /// Takes all complete events in one piece; `None` if there are none.
    pub fn take_complete(&mut self) -> Option<Bytes> {
        if self.complete == 0 {
            return None;
        }
        let complete = self.buffer.split_to(std::mem::take(&mut self.complete));
        let _ = self.hold();
        Some(complete.freeze())
    }

    /// Whether the last event is incomplete. Empty lines and comments are not an event.
    pub(crate) fn is_in_event(&self) -> bool {
        let mut lines = self.buffer[self.complete..].split(|byte| *byte == b'\n');
        lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
    }

    /// Takes what is left after the last complete event.
    pub(crate) fn take_remainder(&mut self) -> Option<Bytes> {
        let remainder = self.buffer.split().freeze();
        self.complete = 0;
        self.held = None;
        (!remainder.is_empty()).then_some(remainder)
    }

    /// Takes what is buffered for complete. A stream of which that was done can't be resumed.
    pub(crate) fn split_event(&mut self) {
        self.complete = self.buffer.len();
        self.has_split_event = true;
    }

    /// Whether a part of an event has been taken for complete.
    pub(crate) fn has_split_event(&self) -> bool {
        self.has_split_event
    }

    /// Holds a share of the budget for what is buffered.
    fn hold(&mut self) -> Result<(), EventTooLong> {
        let length = self.buffer.len();
        if length <= MIN_EVENT_BYTES {
            self.held = None;
            return Ok(());
        }
        if length > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        let needed = length.next_power_of_two();
        let held = self.held.as_ref().map_or(0, HeldBytes::bytes);
        if needed > held {
            let more = self.budget.try_hold(needed - held).ok_or(EventTooLong)?;
            match &mut self.held {
                Some(held) => held.merge(more),
                None => self.held = Some(more),
            }
        }
        Ok(())
    }
}

/// The position after the last empty line, which ends an event, if its line feed is at `from` or
/// later.
fn end_of_last(bytes: &[u8], from: usize) -> Option<usize> {
    let mut end = bytes.len();
    while end > from {
        let newline = from + bytes[from..end].iter().rposition(|byte| *byte == b'\n')?;
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
