//! Memory for replies that are being read, which many replies share.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The replies in progress have used all memory that they share.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the replies in progress are too large")]
pub struct Exhausted;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Exhausted>;

/// Memory that replies share until they have been read; clones are the same memory.
#[derive(Clone, Debug)]
pub struct ReplyMemory(Arc<Semaphore>);

impl ReplyMemory {
    /// Creates a memory of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes)))
    }

    /// Adds a reply, which may have `own_bytes` in any case.
    pub fn open(&self, own_bytes: usize) -> ReplyHold {
        ReplyHold { memory: self.clone(), own_bytes, permit: None }
    }
}

/// What one reply uses; released on drop.
#[derive(Debug)]
pub struct ReplyHold {
    memory: ReplyMemory,
    own_bytes: usize,
    permit: Option<OwnedSemaphorePermit>,
}

impl ReplyHold {
    /// Sets the size of what has been read and is kept, in bytes.
    ///
    /// # Errors
    /// [`Exhausted`] if the other replies leave too little; the size stays as it was.
    pub fn resize(&mut self, bytes: usize) -> Result<()> {
        let shared = bytes.saturating_sub(self.own_bytes);
        let held = self.permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if let Some(missing) = shared.checked_sub(held).filter(|missing| *missing > 0) {
            let missing = u32::try_from(missing).map_err(|_| Exhausted)?;
            let more = self.memory.0.clone().try_acquire_many_owned(missing);
            let more = more.map_err(|_| Exhausted)?;
            match &mut self.permit {
                Some(permit) => permit.merge(more),
                None => self.permit = Some(more),
            }
        } else if let Some(permit) = &mut self.permit {
            drop(permit.split(held - shared));
        }
        Ok(())
    }
}
