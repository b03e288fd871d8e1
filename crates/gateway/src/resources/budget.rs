//! Bounds the bytes that one kind of buffer holds in sum.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that the buffers of one kind may hold together.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    total_bytes: usize,
    left: Arc<Semaphore>,
}

/// Bytes of a budget, given back when dropped.
#[derive(Debug)]
pub struct HeldBytes {
    permit: OwnedSemaphorePermit,
}

impl ByteBudget {
    /// Creates a budget of `total_bytes`.
    pub fn new(total_bytes: usize) -> Self {
        let total_bytes = total_bytes.min(u32::MAX as usize);
        Self {
            total_bytes,
            left: Arc::new(Semaphore::new(total_bytes)),
        }
    }

    /// The whole budget, in bytes.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Bytes that are held now.
    pub fn held_bytes(&self) -> usize {
        self.total_bytes - self.left.available_permits()
    }

    /// Takes bytes of the budget; `None` if fewer are left.
    pub fn try_hold(&self, bytes: usize) -> Option<HeldBytes> {
        let count = u32::try_from(bytes).ok()?;
        let permit = self.left.clone().try_acquire_many_owned(count).ok()?;
        Some(HeldBytes { permit })
    }

    /// Waits for bytes of the budget, in the order of the calls; `None` at once if the whole budget
    /// is smaller.
    pub async fn hold(&self, bytes: usize) -> Option<HeldBytes> {
        let count = u32::try_from(bytes).ok()?;
        if bytes > self.total_bytes {
            return None;
        }
        let permit = self.left.clone().acquire_many_owned(count).await.ok()?;
        Some(HeldBytes { permit })
    }
}

impl HeldBytes {
    /// Adds bytes of the same budget.
    pub fn merge(&mut self, more: Self) {
        self.permit.merge(more.permit);
    }

    /// Gives bytes back before the others.
    pub fn release(&mut self, bytes: usize) {
        drop(self.permit.split(bytes.min(self.permit.num_permits())));
    }

    /// How many bytes are held.
    pub fn bytes(&self) -> usize {
        self.permit.num_permits()
    }
}
