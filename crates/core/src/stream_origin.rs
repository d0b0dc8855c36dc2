//! Where streams began. What targets of two software versions write of one stream does not fit together, so a stream goes
//! on only at the version that began it.

pub mod stored;
pub mod version_set;

use std::collections::{BTreeMap, BTreeSet, HashMap, hash_map};
use std::time::Duration;

use marigold_schema::messages::StreamOrigin;

use crate::digest;
use crate::ids::{KeyDigest, Name, SoftwareVersion, Uptime};
use crate::targets::Target;

/// Maximum number of records, of all customers and of one.
const MAX_RECORDS: usize = 16_384;
const MAX_RECORDS_OF_CUSTOMER: usize = 4_096;

/// Returns the key of a stream: the caller's attempt that brought its first event, in the scope of the customer, since
/// callers choose the ids.
pub fn key(customer: Option<&str>, request: &str) -> KeyDigest {
    let scope = if customer.is_some() { "customer" } else { "public" };
    digest::key(customer.unwrap_or_default(), "stream", scope, request)
}

/// The start of a target that wrote the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Pool of the target.
    pub pool: Name,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Id of the target.
    pub target: Name,
    /// Start of the target in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

impl Origin {
    /// Returns whether a listed target is a later start of the one that began the stream, with another version. The list
    /// may have been old when the stream began, so either start may have written its events.
    pub fn is_doubted_by(&self, listed: &Target) -> bool {
        listed.id == self.target
            && listed.started_at_ms != self.started_at_ms
            && listed.version != self.version
    }
}

impl From<&Target> for Origin {
    fn from(target: &Target) -> Self {
        let Target { pool, version, id, started_at_ms, .. } = target.clone();
        Self { pool, version, target: id, started_at_ms }
    }
}

/// Record of the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key of the stream.
    pub key: KeyDigest,
    /// Customer of the stream.
    pub customer: Option<Name>,
    /// Where it began.
    pub origin: Origin,
    /// When its caller has given up.
    pub expires: Uptime,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    /// Whether two streams began under the key, so that neither may go on.
    is_ambiguous: bool,
    /// Whether this gateway began the stream.
    is_own: bool,
    /// When nobody can take the stream up any more, as far as is known.
    needed_until: Uptime,
}

/// Records of the origins of streams, bounded by age, number and number of a customer. A record beyond a bound is not
/// kept, and its stream cannot be taken up elsewhere.
#[derive(Debug, Default)]
pub struct OriginTable {
    entries: HashMap<KeyDigest, Entry>,
    counts: HashMap<Option<Name>, usize>,
}

impl OriginTable {
    /// Adds a record; returns whether it is kept. A second record of the same stream changes nothing; one with another
    /// version makes the version unknown.
    pub fn insert(&mut self, record: Record, is_own: bool, now: Uptime) -> bool {
        if let Some(entry) = self.entries.get_mut(&record.key) {
            if entry.record.expires > now {
                entry.is_ambiguous |= entry.record.origin.version != record.origin.version
                    || entry.record.origin.pool != record.origin.pool;
                entry.is_own |= is_own;
                // The id may belong to another stream, which began after the first one had ended.
                entry.record.expires = entry.record.expires.max(record.expires);
                entry.needed_until = entry.needed_until.max(record.expires);
                return true;
            }
            self.remove(record.key);
        }
        let count = self.counts.entry(record.customer.clone()).or_default();
        if self.entries.len() >= MAX_RECORDS || *count >= MAX_RECORDS_OF_CUSTOMER {
            return false;
        }
        *count += 1;
        let needed_until = record.expires;
        let entry = Entry { record, is_ambiguous: false, is_own, needed_until };
        self.entries.insert(entry.record.key, entry);
        true
    }

    /// Returns the record of a stream.
    pub fn get(&self, key: KeyDigest, now: Uptime) -> Option<&Record> {
        let entry = self.entries.get(&key)?;
        (entry.record.expires > now && !entry.is_ambiguous).then_some(&entry.record)
    }

    /// Records that the caller of a stream has its last event at `until`.
    pub fn on_end(&mut self, key: KeyDigest, until: Uptime) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.needed_until = until.min(entry.needed_until);
        }
    }

    /// Returns whether the record of a stream may still be needed.
    pub fn is_needed(&self, key: KeyDigest, now: Uptime) -> bool {
        self.entries.get(&key).is_some_and(|entry| entry.needed_until > now)
    }

    /// Returns the records of the streams in progress that this gateway began, in one pool or in all.
    pub fn own(&self, pool: Option<&str>, now: Uptime) -> Vec<Record> {
        let is_wanted = |entry: &&Entry| {
            let is_in_pool = pool.is_none_or(|pool| entry.record.origin.pool == pool);
            entry.is_own && is_in_pool && entry.needed_until > now
        };
        self.entries.values().filter(is_wanted).map(|entry| entry.record.clone()).collect()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes the records that have expired.
    pub fn remove_expired(&mut self, now: Uptime) {
        let entries = self.entries.iter();
        let expired: Vec<KeyDigest> =
            entries.filter(|(_, entry)| entry.record.expires <= now).map(|(key, _)| *key).collect();
        for key in expired {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: KeyDigest) {
        let Some(entry) = self.entries.remove(&key) else { return };
        if let hash_map::Entry::Occupied(mut count) = self.counts.entry(entry.record.customer) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
    }
}

/// Time for which versions that have left the list are remembered.
const HISTORY: Duration = Duration::from_secs(600);

/// Period in which targets with a version were listed.
#[derive(Clone, Copy, Debug)]
struct Listing {
    since: Uptime,
    /// `None` while a target with the version is listed.
    left_at: Option<Uptime>,
}

type Versions = BTreeMap<SoftwareVersion, Listing>;

/// A pool, and a software version of its targets.
pub type PoolVersion = (Name, SoftwareVersion);

/// Versions that a gateway has seen in the list of targets, to prove that a pool has had only one.
#[derive(Debug, Default)]
pub struct VersionHistory {
    pools: BTreeMap<Name, Versions>,
    /// Start of the time without gaps in which the list was known.
    known_since: Option<Uptime>,
}

fn listed_count(versions: &Versions) -> usize {
    versions.values().filter(|listing| listing.left_at.is_none()).count()
}

impl VersionHistory {
    /// Updates the history after a change of the list; returns the pools that now have several versions and had one.
    pub fn update<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a Target>,
        now: Uptime,
    ) -> Vec<Name> {
        self.known_since.get_or_insert(now);
        let before = self.pools.clone();
        for listing in self.pools.values_mut().flat_map(BTreeMap::values_mut) {
            listing.left_at.get_or_insert(now);
        }
        for target in listed {
            let versions = self.pools.entry(target.pool.clone()).or_default();
            let earlier = before.get(&target.pool).and_then(|pool| pool.get(&target.version));
            let earlier = earlier.filter(|listing| listing.left_at.is_none());
            let since = earlier.map_or(now, |listing| listing.since);
            versions.insert(target.version.clone(), Listing { since, left_at: None });
        }
        self.pools.retain(|_, versions| {
            versions.retain(|_, listing| listing.left_at.is_none_or(|at| at + HISTORY > now));
            !versions.is_empty()
        });
        let is_newly_mixed = |pool: &Name, versions: &Versions| {
            listed_count(versions) > 1 && before.get(pool).map_or(0, listed_count) <= 1
        };
        let pools = self.pools.iter().filter(|(pool, versions)| is_newly_mixed(pool, versions));
        pools.map(|(pool, _)| pool.clone()).collect()
    }

    /// Returns since when targets of a pool with a version are listed.
    pub fn listed_since(&self, pool: &str, version: &str) -> Option<Uptime> {
        let listing = self.pools.get(pool)?.get(version)?;
        listing.left_at.is_none().then_some(listing.since)
    }

    /// Returns the versions that are listed, with their pools and since when.
    pub fn listed(&self) -> impl Iterator<Item = (&Name, &SoftwareVersion, Uptime)> {
        self.pools.iter().flat_map(|(pool, versions)| {
            let listed = versions.iter().filter(|(_, listing)| listing.left_at.is_none());
            listed.map(move |(version, listing)| (pool, version, listing.since))
        })
    }

    /// Returns whether targets of a pool with a version are listed.
    pub fn is_listed(&self, pool: &str, version: &str) -> bool {
        self.listed_since(pool, version).is_some()
    }

    /// Records that changes of the list may have been missed before now.
    pub fn on_gap(&mut self, now: Uptime) {
        self.known_since = Some(now);
    }

    /// Adds the versions that had targets before this history began, or before its last gap. Those that are not listed are
    /// taken to have left now.
    pub fn restore<'a>(
        &mut self,
        versions: impl Iterator<Item = (&'a Name, &'a SoftwareVersion)>,
        now: Uptime,
    ) {
        if self.known_since.is_none() {
            return;
        }
        for (pool, version) in versions {
            let listing = Listing { since: now, left_at: Some(now) };
            self.pools.entry(pool.clone()).or_default().entry(version.clone()).or_insert(listing);
        }
        self.known_since = Some(Uptime::ZERO);
    }

    /// Returns the versions by pool that had targets in the last `window`, or `None` if that is not known for all of it.
    pub fn recent(&self, now: Uptime, window: Duration) -> Option<BTreeSet<PoolVersion>> {
        if self.known_since? + window > now {
            return None;
        }
        let of_pool = |(pool, versions): (&Name, &Versions)| -> Vec<PoolVersion> {
            let recent = versions.iter().filter(|(_, listing)| {
                listing.left_at.is_none_or(|left_at| left_at + window > now)
            });
            recent.map(|(version, _)| (pool.clone(), version.clone())).collect()
        };
        Some(self.pools.iter().flat_map(of_pool).collect())
    }

    /// Returns the version of a pool if it has had no other in the last `window`.
    pub fn only_version(
        &self,
        pool: &str,
        now: Uptime,
        window: Duration,
    ) -> Option<&SoftwareVersion> {
        if self.known_since? + window > now {
            return None;
        }
        let versions = self.pools.get(pool)?.iter();
        let mut recent = versions
            .filter(|(_, listing)| listing.left_at.is_none_or(|left_at| left_at + window > now));
        let (version, _) = recent.next()?;
        recent.next().is_none().then_some(version)
    }
}

impl From<StreamOrigin> for Origin {
    fn from(message: StreamOrigin) -> Self {
        let StreamOrigin { pool, version, target, started_at_ms, .. } = message;
        Self { pool, version, target, started_at_ms }
    }
}
