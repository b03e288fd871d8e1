//! Buffers the beginning of a response's body, within a bound for each response and the host's
//! budget for all.

use bytes::Bytes;

use crate::resources::{ByteBudget, HeldBytes};

/// Bytes of one response that are buffered. A longer one is passed on while it arrives.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of one response that are buffered without a share of the budget, so that short responses
/// stay retryable once the budget is used up.
const MIN_RESPONSE_BYTES: usize = 16 * 1024;

/// The buffered beginning of a response's body.
#[derive(Debug)]
pub struct ResponseBuffer {
    bytes: Vec<u8>,
    held: Option<HeldBytes>,
    budget: ByteBudget,
}

impl ResponseBuffer {
    /// Creates an empty buffer, whose bytes count towards `budget`.
    pub fn new(budget: ByteBudget) -> Self {
        Self {
            bytes: Vec::new(),
            held: None,
            budget,
        }
    }

    /// Appends a piece; false, without a change, if there is no room for it.
    pub fn append(&mut self, piece: &[u8]) -> bool {
        let length = self.bytes.len() + piece.len();
        if length > MAX_RESPONSE_BYTES || !self.hold(length) {
            return false;
        }
        self.bytes.extend_from_slice(piece);
        true
    }

    /// Its bytes, which hold their share of the budget until they are dropped.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(HeldBody {
            bytes: self.bytes,
            _held: self.held,
        })
    }

    /// Makes room for `length` bytes in all.
    fn hold(&mut self, length: usize) -> bool {
        if length <= self.bytes.capacity() {
            return true;
        }
        let capacity = length.next_power_of_two();
        if capacity > MIN_RESPONSE_BYTES {
            let held = self.held.as_ref().map_or(0, HeldBytes::bytes);
            let Some(more) = self.budget.try_hold(capacity - held) else {
                return false;
            };
            match &mut self.held {
                Some(held) => held.merge(more),
                None => self.held = Some(more),
            }
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        true
    }
}

struct HeldBody {
    bytes: Vec<u8>,
    _held: Option<HeldBytes>,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
