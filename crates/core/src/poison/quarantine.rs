//! What is refused because it crashes targets. All gateways hold the same entries; those that differ are merged.
//!
//! Whether it still crashes targets is found out by probes: single requests that the owner of an entry grants, ever more
//! rarely and at most [`MAX_PROBES`] of them, sooner where other causes of its crashes are found later. After these, one more
//! is granted once no target runs a software version that crashed. An entry ends with the first answer to such a request,
//! when its crashes turn out to have another cause, or when nobody has asked for [`IDLE_TIME`].

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash as _, Hasher as _};
use std::time::Duration;

use marigold_schema::messages;
use xxhash_rust::xxh3::Xxh3;

use super::Suspect;
use super::detector::{Review, Verdict};
use crate::ids::{Name, SoftwareVersion, Uptime};

/// Time without a refusal after which an entry ends.
pub const IDLE_TIME: Duration = Duration::from_secs(3_600);
/// Maximum number of probes of an entry, besides those of new software versions. Two gateways that disagree on the owner
/// may grant one probe twice.
pub const MAX_PROBES: u32 = PROBE_DELAYS_MS.len() as u32;
/// Time before each probe, from the begin of the entry or the probe before. The first one ends wrong verdicts soon.
const PROBE_DELAYS_MS: [u64; 2] = [1_500, 60_000];
/// Time before a further probe of a doubtful verdict.
const PROBE_DELAY_IN_DOUBT: Duration = Duration::from_secs(5);
/// Time for which the end of an entry is remembered, so that no older state of it comes back from another gateway.
const RELEASE_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of entries; beyond it the one that would end first is dropped.
const MAX_ENTRIES: usize = 256;

/// Returns the time before the next probe after so many; it does not matter after the last one.
fn probe_delay(probes: u32) -> Duration {
    let delay_ms = PROBE_DELAYS_MS.get(probes as usize).copied();
    delay_ms.map_or(IDLE_TIME, Duration::from_millis)
}

/// Pool and suspects of an entry.
pub type Key = (Name, BTreeSet<Suspect>);

/// Requests that are refused, in one pool: those with all of the suspects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Pool and suspects.
    pub key: Key,
    /// Software versions whose targets crashed, or were probed.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Number of crashes when it began.
    pub crashes: u32,
    /// Raised by each change.
    pub revision: u64,
    /// Whether it has ended before its time: a request was answered, or the crashes had another cause.
    pub is_released: bool,
    /// Number of probes that were granted, besides those of new software versions.
    pub probes: u32,
    /// When the next probe may be granted.
    pub next_probe: Uptime,
    /// When it ends unless somebody asks.
    pub expires: Uptime,
}

impl Entry {
    /// Returns whether a request with `suspects`, in ascending order, is refused.
    fn applies_to(&self, pool: &str, suspects: &[Suspect]) -> bool {
        !self.is_released
            && self.key.0 == pool
            && self.key.1.iter().all(|suspect| suspects.binary_search(suspect).is_ok())
    }

    /// Ends the entry before its time and returns its state.
    fn end(&mut self, now: Uptime) -> Self {
        self.is_released = true;
        self.revision += 1;
        self.expires = now + RELEASE_RETENTION;
        self.clone()
    }

    /// Returns whether a probe may be granted now, with targets of the versions in `listed`.
    pub fn is_probe_due(&self, listed: &BTreeSet<SoftwareVersion>, now: Uptime) -> bool {
        let has_no_more = self.probes >= MAX_PROBES;
        let is_new_software =
            has_no_more && !listed.is_empty() && self.versions.is_disjoint(listed);
        let is_interval_over = self.probes < MAX_PROBES && now >= self.next_probe;
        !self.is_released && now < self.expires && (is_new_software || is_interval_over)
    }

    /// Returns the time until the next probe; until the end if none will be granted before.
    pub fn time_to_probe(&self, now: Uptime) -> Duration {
        let next = if self.probes < MAX_PROBES { self.next_probe } else { self.expires };
        next.saturating_sub(now)
    }

    /// Converts the entry for another gateway, with times as ages.
    pub fn to_message(&self, now: Uptime) -> messages::Quarantine {
        let (pool, suspects) = self.key.clone();
        messages::Quarantine {
            pool,
            suspects: suspects.into_iter().collect(),
            versions: self.versions.iter().cloned().collect(),
            crashes: self.crashes,
            revision: self.revision,
            released: self.is_released,
            probes: self.probes,
            next_probe_ms: self.next_probe.saturating_sub(now).as_millis() as u64,
            left_ms: self.expires.saturating_sub(now).as_millis() as u64,
        }
    }

    /// Converts an entry of another gateway that was sent just now.
    pub fn from_message(message: messages::Quarantine, now: Uptime) -> Self {
        let left = Duration::from_millis(message.left_ms).min(IDLE_TIME);
        Self {
            key: (message.pool, message.suspects.into_iter().collect()),
            versions: message.versions.into_iter().collect(),
            crashes: message.crashes,
            revision: message.revision,
            is_released: message.released,
            probes: message.probes,
            next_probe: now.saturating_add(Duration::from_millis(message.next_probe_ms)),
            expires: now + left,
        }
    }

    /// Returns which of two states of the same entry is in force: the one with the higher revision, an ended one if both
    /// are equal, and otherwise the stricter values of both.
    fn merge(self, other: Self) -> Self {
        let rank = |entry: &Self| (entry.revision, entry.is_released);
        if rank(&self) != rank(&other) {
            return if rank(&self) > rank(&other) { self } else { other };
        }
        Self {
            probes: self.probes.max(other.probes),
            next_probe: self.next_probe.max(other.next_probe),
            expires: self.expires.max(other.expires),
            versions: self.versions.union(&other.versions).cloned().collect(),
            ..self
        }
    }
}

/// All entries that a gateway knows. Methods that change an entry return its new state, for the other gateways.
#[derive(Debug, Default)]
pub struct Quarantines {
    entries: BTreeMap<Key, Entry>,
}

impl Quarantines {
    /// Adds an entry for a verdict, unless there is one for it or its last crash is older than [`IDLE_TIME`].
    pub fn blame(&mut self, pool: &str, verdict: &Verdict, now: Uptime) -> Option<Entry> {
        let key = (pool.to_owned(), verdict.suspects.clone());
        let known = self.entries.get(&key);
        let is_known = known.is_some_and(|entry| {
            !entry.is_released && entry.versions.is_superset(&verdict.versions)
        });
        let last_crash = verdict.times.last().copied().unwrap_or_default();
        if is_known || last_crash + IDLE_TIME < now {
            return None;
        }
        let active = known.filter(|entry| !entry.is_released);
        let entry = Entry {
            versions: active.map_or(&verdict.versions, |entry| &entry.versions) | &verdict.versions,
            crashes: u32::try_from(verdict.times.len()).unwrap_or(u32::MAX),
            revision: known.map_or(0, |entry| entry.revision) + 1,
            is_released: false,
            probes: known.map_or(0, |entry| entry.probes),
            next_probe: active.map_or(now + probe_delay(0), |entry| entry.next_probe),
            expires: now + IDLE_TIME,
            key,
        };
        self.put(entry.clone());
        Some(entry)
    }

    fn put(&mut self, entry: Entry) {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&entry.key) {
            let first = self.entries.values().min_by_key(|entry| entry.expires);
            let first = first.map(|entry| entry.key.clone());
            first.map(|key| self.entries.remove(&key));
        }
        self.entries.insert(entry.key.clone(), entry);
    }

    /// Returns the entry that refuses a request with `suspects`, in ascending order; the one with the fewest suspects of
    /// several.
    pub fn find(&self, pool: &str, suspects: &[Suspect], now: Uptime) -> Option<&Entry> {
        let entries = self.entries.values();
        let found = entries.filter(|entry| now < entry.expires && entry.applies_to(pool, suspects));
        found.min_by_key(|entry| entry.key.1.len())
    }

    /// Returns whether a request may probe an entry: no other one refuses it, which could be the cause of its failure.
    pub fn can_probe(&self, key: &Key, suspects: &[Suspect], now: Uptime) -> bool {
        let entries = self.entries.values().filter(|entry| entry.key != *key);
        !entries.into_iter().any(|entry| now < entry.expires && entry.applies_to(&key.0, suspects))
    }

    /// Keeps an entry because a request was refused; returns it if the others have to be told.
    pub fn renew(&mut self, key: &Key, now: Uptime) -> Option<Entry> {
        let entry = self.entries.get_mut(key)?;
        if entry.is_released || entry.expires > now + IDLE_TIME / 2 {
            return None;
        }
        entry.expires = now + IDLE_TIME;
        entry.revision += 1;
        Some(entry.clone())
    }

    /// Grants a probe as the owner of an entry, if one is due. `listed` are the versions of the pool's targets.
    pub fn grant_probe(
        &mut self,
        key: &Key,
        listed: &BTreeSet<SoftwareVersion>,
        now: Uptime,
    ) -> Option<Entry> {
        let entry = self.entries.get_mut(key)?;
        if !entry.is_probe_due(listed, now) {
            return None;
        }
        if entry.probes >= MAX_PROBES {
            entry.versions.extend(listed.iter().cloned());
        } else {
            entry.probes += 1;
        }
        entry.next_probe = now + probe_delay(entry.probes);
        entry.expires = now + IDLE_TIME;
        entry.revision += 1;
        Some(entry.clone())
    }

    /// Ends the entries that refuse a request because a target of `version` has answered it.
    pub fn release(
        &mut self,
        pool: &str,
        suspects: &[Suspect],
        version: &str,
        now: Uptime,
    ) -> Vec<Entry> {
        let entries = self.entries.values_mut();
        let answered = entries
            .filter(|entry| entry.applies_to(pool, suspects) && entry.versions.contains(version));
        answered.map(|entry| entry.end(now)).collect()
    }

    /// Ends the entries of a pool that are refuted by what is known now, and allows an earlier probe of those that are
    /// doubtful.
    pub fn review(
        &mut self,
        pool: &str,
        review: impl Fn(&Entry) -> Review,
        now: Uptime,
    ) -> Vec<Entry> {
        let active = self.entries.values_mut().filter(|entry| !entry.is_released);
        let of_pool = active.filter(|entry| entry.key.0 == pool);
        let change = |entry: &mut Entry| {
            let next_probe = now + PROBE_DELAY_IN_DOUBT * entry.probes;
            match review(entry) {
                Review::Refuted => Some(entry.end(now)),
                Review::Doubtful if entry.next_probe > next_probe => {
                    entry.next_probe = next_probe;
                    entry.revision += 1;
                    Some(entry.clone())
                }
                Review::Doubtful | Review::Stands => None,
            }
        };
        of_pool.filter_map(change).collect()
    }

    /// Merges the state of an entry at another gateway; returns the new state if it differs from the one before.
    pub fn merge(&mut self, other: Entry, now: Uptime) -> Option<Entry> {
        if other.expires <= now || other.key.1.is_empty() {
            return None;
        }
        let known = self.entries.get(&other.key).cloned();
        let merged = match known.clone() {
            Some(known) => known.merge(other),
            None => other,
        };
        if known.as_ref() == Some(&merged) {
            return None;
        }
        self.put(merged.clone());
        Some(merged)
    }

    /// Removes the entries that have ended, and returns those that were in force.
    pub fn remove_expired(&mut self, now: Uptime) -> Vec<Entry> {
        let expired: Vec<Key> = self
            .entries
            .values()
            .filter(|entry| entry.expires <= now)
            .map(|entry| entry.key.clone())
            .collect();
        let removed = expired.iter().filter_map(|key| self.entries.remove(key));
        removed.filter(|entry| !entry.is_released).collect()
    }

    /// Returns all entries, also those that ended recently.
    pub fn all(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns a hash by which gateways find out whether their entries differ; zero without entries.
    pub fn digest(&self) -> u64 {
        if self.entries.is_empty() {
            return 0;
        }
        let mut hasher = Xxh3::new();
        for entry in self.entries.values() {
            (&entry.key, entry.revision, entry.is_released).hash(&mut hasher);
        }
        hasher.finish()
    }
}
