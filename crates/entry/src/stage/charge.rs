//! What a stage holds while it runs: a charge for each attempt, and a share of the pool.

use marigold_core::cost::{Account, Worth};
use marigold_core::ids::Name;

use super::StageRequest;
use crate::billing;
use crate::state::PoolState;

/// Charges an attempt when dropped; a dropped request counts as cancelled.
pub(super) struct Charge<'a> {
    pub(super) req: &'a StageRequest<'a>,
    pub(super) target: Name,
    /// What is charged; nothing when there is none.
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

/// Holds a part of the pool's limit.
pub(super) struct Share<'a> {
    pub(super) pool: &'a PoolState,
    pub(super) customer: &'a str,
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.pool.shares.lock().release(self.customer);
    }
}
