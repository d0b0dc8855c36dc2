//! Guards of a running stage: the charge for an attempt, and a slot of the pool's concurrency limit.

use marigold_core::cost::{Account, Worth};
use marigold_core::ids::Name;

use super::StageRequest;
use crate::billing;
use crate::state::PoolState;

/// Charges an attempt when dropped; the attempt of a dropped request is charged as cancelled.
pub(super) struct Charge<'a> {
    pub(super) req: &'a StageRequest<'a>,
    pub(super) target: Name,
    /// Category of the outcome; if none, nothing is charged.
    pub(super) worth: Option<Worth>,
    pub(super) tokens: u32,
}

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        let Some(worth) = self.worth else { return };
        let account = Account {
            customer: self.req.customer.name.clone(),
            pipeline: self.req.pipeline.to_owned(),
            stage: self.req.stage.to_owned(),
            target: std::mem::take(&mut self.target),
            worth,
        };
        billing::charge(self.req.shared, &self.req.pool, account, self.tokens);
    }
}

/// Slot of the pool's concurrency limit, released when dropped.
pub(super) struct ShareGuard<'a> {
    pub(super) pool: &'a PoolState,
    pub(super) customer: &'a str,
}

impl Drop for ShareGuard<'_> {
    fn drop(&mut self) {
        self.pool.shares.lock().release(self.customer);
    }
}
