//! Entry's record of the idempotency keys it sent. The next holder of a licence uses it to find out which calls may
//! have run.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Epoch, KeyDigest, Name, Shard, Uptime};

/// Added to the retention time, because the licence holder's retention of a key starts only when the call ends.
pub const RETENTION_MARGIN: Duration = Duration::from_secs(600);

/// Pool name and shard.
pub type PoolShard = (Name, Shard);

/// Error for a send under a sealed licence epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("licence epoch {epoch} was replaced; {first_usable} or later is needed")]
pub struct Sealed {
    /// Epoch of the refused send.
    pub epoch: Epoch,
    /// First epoch that is not sealed.
    pub first_usable: Epoch,
}

/// Keys that this entry sent or that licence holders replicated to it, by shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SentLog {
    first_usable: BTreeMap<PoolShard, Epoch>,
    keys: BTreeMap<PoolShard, BTreeMap<KeyDigest, Sent>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sent {
    at: Uptime,
    /// Number of own sends that may have run.
    unresolved: u32,
    /// Whether a licence holder replicated the key to this entry.
    is_replicated: bool,
}

impl SentLog {
    /// Records a key before it is sent.
    ///
    /// # Errors
    /// [`Sealed`] when a later licence holder has already asked for the keys sent.
    pub fn record(
        &mut self,
        shard: &PoolShard,
        epoch: Epoch,
        key: KeyDigest,
        now: Uptime,
    ) -> Result<(), Sealed> {
        let first_usable = self.first_usable.get(shard).copied().unwrap_or(0);
        if epoch < first_usable {
            return Err(Sealed { epoch, first_usable });
        }
        let sent = self.sent_mut(shard, key, now);
        sent.unresolved += 1;
        Ok(())
    }

    /// Removes one send after proof that it did not run and never will.
    pub fn retract(&mut self, shard: &PoolShard, key: KeyDigest) {
        let Some(keys) = self.keys.get_mut(shard) else { return };
        let Some(sent) = keys.get_mut(&key) else { return };
        sent.unresolved = sent.unresolved.saturating_sub(1);
        if sent.unresolved == 0 && !sent.is_replicated {
            keys.remove(&key);
        }
    }

    fn sent_mut(&mut self, shard: &PoolShard, key: KeyDigest, now: Uptime) -> &mut Sent {
        let keys = self.keys.entry(shard.clone()).or_default();
        let sent = keys.entry(key).or_insert(Sent { at: now, unresolved: 0, is_replicated: false });
        sent.at = now;
        sent
    }

    /// Makes [`Self::record`] refuse epochs below `first_usable`, and returns all known keys of the shard. A lower
    /// value than before has no effect.
    pub fn seal(&mut self, shard: &PoolShard, first_usable: Epoch) -> Vec<KeyDigest> {
        let sealed = self.first_usable.entry(shard.clone()).or_insert(0);
        *sealed = first_usable.max(*sealed);
        self.keys.get(shard).map(|keys| keys.keys().copied().collect()).unwrap_or_default()
    }

    /// Adds keys that a licence holder replicates to this entry.
    pub fn add_replicated(
        &mut self,
        shard: &PoolShard,
        keys: impl IntoIterator<Item = KeyDigest>,
        now: Uptime,
    ) {
        for key in keys {
            self.sent_mut(shard, key, now).is_replicated = true;
        }
    }

    /// Removes the keys of a pool that are older than its retention time plus [`RETENTION_MARGIN`].
    pub fn expire(&mut self, pool: &str, now: Uptime, retention: Duration) {
        for ((name, _), keys) in &mut self.keys {
            if name == pool {
                keys.retain(|_, sent| now.saturating_sub(sent.at) < retention + RETENTION_MARGIN);
            }
        }
    }

    /// Returns the number of known keys.
    pub fn len(&self) -> usize {
        self.keys.values().map(BTreeMap::len).sum()
    }

    /// Returns whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
