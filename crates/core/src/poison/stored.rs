//! Quarantines as the store holds them, for gateways that start when no other one knows them.

use std::collections::BTreeMap;

use marigold_schema::messages::{Quarantine, StoredQuarantines};

use super::quarantine::{Entry, IDLE_TIME, Key, Quarantines};
use crate::ids::Uptime;

/// Maximum length of the stored form, in bytes, half of what an object may have.
pub const MAX_STORED_BYTES: usize = 512 * 1024;
/// Length of the fields of an entry without its texts, and of what a text adds, in bytes.
const ENTRY_BYTES: usize = 256;
const TEXT_BYTES: usize = 3;
/// Maximum length of a byte of a text, which may have to be escaped.
const MAX_ESCAPED_BYTES: usize = 6;
/// Revision from which an entry is not believed; the next change would have no number.
const MAX_REVISION: u64 = 1 << 48;
/// Maximum number of entries that are remembered to have been known.
const MAX_SEEN: usize = 1_024;

/// Returns an upper bound of the length of an entry.
fn max_bytes(quarantine: &Quarantine) -> usize {
    let text = |text: &String| text.len() * MAX_ESCAPED_BYTES + TEXT_BYTES;
    let texts = quarantine.suspects.iter().chain(&quarantine.versions);
    ENTRY_BYTES + text(&quarantine.pool) + texts.map(text).sum::<usize>()
}

/// Returns the stored form of the quarantines, those in force first. What goes beyond [`MAX_STORED_BYTES`] is left out.
pub fn encode(quarantines: &Quarantines, now: Uptime) -> StoredQuarantines {
    let (ended, in_force): (Vec<&Entry>, Vec<&Entry>) =
        quarantines.all().partition(|entry| entry.is_released);
    let mut bytes = 0;
    let entries = in_force.into_iter().chain(ended).map(|entry| entry.to_message(now));
    let entries = entries.take_while(|entry| {
        bytes += max_bytes(entry);
        bytes <= MAX_STORED_BYTES
    });
    StoredQuarantines { entries: entries.collect() }
}

/// Returns the entries of a stored form that was read now. Those that cannot be are left out.
pub fn decode(stored: &StoredQuarantines, now: Uptime) -> Vec<Entry> {
    let entries = stored.entries.iter().filter(|quarantine| quarantine.revision < MAX_REVISION);
    let entries = entries.map(|quarantine| {
        let mut entry = Entry::from_message(quarantine.clone(), now);
        entry.next_probe = entry.next_probe.min(now + IDLE_TIME);
        entry
    });
    entries.filter(|entry| !entry.key.1.is_empty() && entry.expires > now).collect()
}

/// Returns whether two stored forms have the same states, whatever time is left of them.
pub fn is_same(one: &StoredQuarantines, other: &StoredQuarantines) -> bool {
    let state = |entry: &Quarantine| {
        let Quarantine { pool, suspects, revision, released, .. } = entry.clone();
        (pool, suspects, revision, released)
    };
    one.entries.iter().map(state).eq(other.entries.iter().map(state))
}

/// What a gateway has known of each quarantine, so that no state that it has seen end comes back from the store.
#[derive(Debug, Default)]
pub struct Seen {
    /// Revisions, and whether the entries had ended.
    states: BTreeMap<Key, (u64, bool)>,
}

impl Seen {
    /// Records what the gateway knows now.
    pub fn record(&mut self, quarantines: &Quarantines) {
        for entry in quarantines.all() {
            let state = (entry.revision, entry.is_released);
            match self.states.get_mut(&entry.key) {
                Some(known) => *known = state.max(*known),
                None => drop(self.states.insert(entry.key.clone(), state)),
            }
        }
        if self.states.len() > MAX_SEEN {
            self.states.retain(|key, _| quarantines.all().any(|entry| entry.key == *key));
        }
    }

    /// Returns whether the gateway has not known a state of an entry, or a later one.
    pub fn is_new(&self, entry: &Entry) -> bool {
        let state = (entry.revision, entry.is_released);
        self.states.get(&entry.key).is_none_or(|known| state > *known)
    }
}
