//! Type aliases for identifiers and time.

use std::time::Duration;

/// Name of an entry, a target, a pool, a pipeline or a customer.
pub type Name = String;
/// Version of a target's software; versions have no order.
pub type SoftwareVersion = String;
/// Identifies one run of a process: the wall-clock time of its start in milliseconds.
pub type Incarnation = u64;
/// Attempt number, unique within the sender's incarnation.
pub type AttemptId = u64;
/// Revision of the configuration, incremented by each accepted change.
pub type Revision = u64;
/// Licence epoch of a shard: the fencing token of calls with an idempotency key.
pub type Epoch = u64;
/// Shard of a pool's idempotency key space.
pub type Shard = u16;
/// Digest of customer, pipeline, stage and idempotency key, as computed by [`digest::key`](crate::digest::key).
pub type KeyDigest = u128;
/// Time since the process started, from a monotonic clock.
pub type Uptime = Duration;
/// Amount in millionths of the deployment's currency.
pub type Micros = u64;

/// One incarnation of an entry.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Member {
    /// Name of the entry.
    pub name: Name,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Link address on which the entry accepts connections.
    pub address: String,
}

impl From<marigold_schema::messages::EntryRef> for Member {
    fn from(wire: marigold_schema::messages::EntryRef) -> Self {
        Self { name: wire.name, incarnation: wire.incarnation, address: wire.address }
    }
}

impl From<Member> for marigold_schema::messages::EntryRef {
    fn from(member: Member) -> Self {
        Self { name: member.name, incarnation: member.incarnation, address: member.address }
    }
}
