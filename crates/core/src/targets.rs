//! List of targets from the platform, with a grace period for those that disappear after a store outage.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{AddrParseError, SocketAddr};
use std::time::Duration;

use marigold_schema::messages;

use crate::ids::{Name, SoftwareVersion, Uptime};

/// A target that runs requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of this instance of the target.
    pub id: Name,
    /// Pool that it belongs to.
    pub pool: Name,
    /// Address at which it serves requests.
    pub addr: SocketAddr,
    /// Data centre of the target.
    pub data_centre: Name,
    /// Version of its software; what two versions write of one stream does not fit together.
    pub version: SoftwareVersion,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to leave and accepts no new requests.
    pub is_leaving: bool,
    /// Start of this instance in milliseconds since the Unix epoch; distinguishes two instances with the same id.
    pub started_at_ms: u64,
    /// When it stops being cold, zero if it is not cold. In an entry and in a message this is the remaining time, which
    /// [`Target::read_at`] and [`Target::sent_at`] convert.
    pub cold_until: Uptime,
}

/// Longest time for which a target is taken to be cold; a longer one in an entry is an error of the target, and would limit
/// it for good.
const MAX_COLD_TIME: Duration = Duration::from_secs(3_600);

/// Returns the time for which a target stays cold, zero if the number that it gives is no such time.
pub fn cold_time(ms: f64) -> Duration {
    let time = Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default();
    if time <= MAX_COLD_TIME { time } else { Duration::ZERO }
}

impl Target {
    /// Sets the end of the cold time, for an entry or a message that was read at `at`.
    pub fn read_at(mut self, at: Uptime) -> Self {
        if !self.cold_until.is_zero() {
            self.cold_until += at;
        }
        self
    }

    /// Sets the remaining cold time, for a message that is sent at `at`.
    pub fn sent_at(mut self, at: Uptime) -> Self {
        self.cold_until = self.cold_until.saturating_sub(at);
        self
    }

    /// Returns whether two entries differ at most in the cold time, which differs each time that a cold target writes its
    /// entry.
    pub fn is_same(&self, other: &Self) -> bool {
        let Self { id, pool, addr, data_centre, version, slots, is_leaving, started_at_ms, .. } =
            self;
        let is_same_start = *id == other.id && *started_at_ms == other.started_at_ms;
        let is_same_place =
            *pool == other.pool && *addr == other.addr && *data_centre == other.data_centre;
        is_same_start
            && is_same_place
            && *version == other.version
            && *slots == other.slots
            && *is_leaving == other.is_leaving
    }
}

impl From<Target> for messages::ListedTarget {
    fn from(target: Target) -> Self {
        Self {
            pool: target.pool,
            address: target.addr.to_string(),
            data_centre: target.data_centre,
            software: target.version,
            slots: target.slots,
            leaving: target.is_leaving,
            started_at_ms: target.started_at_ms,
            // Casts saturate.
            cold_remaining_ms: (!target.cold_until.is_zero())
                .then_some(target.cold_until.as_millis() as u64),
        }
    }
}

impl TryFrom<(Name, messages::ListedTarget)> for Target {
    type Error = AddrParseError;

    fn try_from((id, wire): (Name, messages::ListedTarget)) -> Result<Self, AddrParseError> {
        Ok(Self {
            id,
            pool: wire.pool,
            addr: wire.address.parse()?,
            data_centre: wire.data_centre,
            version: wire.software,
            slots: wire.slots,
            is_leaving: wire.leaving,
            started_at_ms: wire.started_at_ms,
            cold_until: cold_time(wire.cold_remaining_ms.unwrap_or(0) as f64),
        })
    }
}

#[derive(Clone, Debug)]
struct ListedTarget {
    target: Target,
    /// Whether the target is missing from the platform's list after a store outage.
    is_missing: bool,
    /// Whether it counts as leaving although a restored store lists it as ready.
    is_held: bool,
}

/// The last list of targets from the store.
#[derive(Debug, Default)]
pub struct TargetList {
    listed: BTreeMap<Name, ListedTarget>,
    /// When the store last recovered from an outage, as far as known.
    store_recovered_at: Option<Uptime>,
    /// Starts of targets that were removed, with the times.
    departed: BTreeMap<Start, Uptime>,
    /// When the targets that are held are released.
    held_until: Uptime,
    /// Starts of targets that have said that they leave, with the times.
    announced: BTreeMap<Start, Uptime>,
    /// Data centres whose targets accept no requests.
    evacuated: BTreeSet<Name>,
}

/// Id and start of a target.
type Start = (Name, u64);

/// Time for which removed targets are remembered; restores go back by some seconds.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

fn start_of(target: &Target) -> Start {
    (target.id.clone(), target.started_at_ms)
}

impl TargetList {
    /// Sets the time at which the store last recovered from an outage. A later call may set an earlier time, when other
    /// processes turn out to have reached the store before.
    pub fn on_store_recovered(&mut self, at: Uptime) {
        self.store_recovered_at = Some(at);
    }

    /// Returns whether entries that expired in an outage may still reappear.
    fn is_recovering(&self, now: Uptime, grace_period: Duration) -> bool {
        self.store_recovered_at.is_some_and(|at| now < at + grace_period)
    }

    /// Adds or replaces a target.
    pub fn put(&mut self, target: Target) {
        self.departed.remove(&start_of(&target));
        let listed = ListedTarget { target, is_missing: false, is_held: false };
        self.listed.insert(listed.target.id.clone(), listed);
    }

    /// Records that a start of a target has said in a reply that it leaves; returns whether that is new. It holds whatever the
    /// platform's list says of this start, now or later.
    pub fn announce_leaving(&mut self, target: &Target, now: Uptime) -> bool {
        let listed: BTreeSet<Start> =
            self.listed.values().map(|listed| start_of(&listed.target)).collect();
        self.announced.retain(|start, at| listed.contains(start) || now < *at + DEPARTED_RETENTION);
        self.announced.insert(start_of(target), now).is_none()
    }

    /// Sets the data centres that are evacuated; returns whether they have changed.
    pub fn set_evacuated(&mut self, data_centres: BTreeSet<Name>) -> bool {
        let is_changed = self.evacuated != data_centres;
        self.evacuated = data_centres;
        is_changed
    }

    /// Removes a target that is missing from the platform's list.
    ///
    /// Records in the store expire during an outage and reappear with the next heartbeats of the targets. A target that
    /// disappears within `grace_period` of the recovery is therefore kept until then, unless it is leaving.
    pub fn remove(&mut self, id: &str, now: Uptime, grace_period: Duration) {
        let is_recovering = self.is_recovering(now, grace_period);
        match self.listed.get_mut(id) {
            Some(listed) if is_recovering && !listed.target.is_leaving => listed.is_missing = true,
            _ => self.depart(id, now),
        }
    }

    fn depart(&mut self, id: &str, now: Uptime) {
        self.departed.retain(|_, at| now < *at + DEPARTED_RETENTION);
        if let Some(listed) = self.listed.remove(id) {
            self.departed.insert(start_of(&listed.target), now);
        }
    }

    /// Replaces the list by that of a store that was restored from an older copy.
    ///
    /// The copy may list targets as ready that have announced their end since, or are gone. They count as leaving for
    /// `hold`, until they have written themselves again or their entries have expired.
    pub fn replace_restored(
        &mut self,
        targets: Vec<Target>,
        now: Uptime,
        grace_period: Duration,
        hold: Duration,
    ) {
        let leaving = self.listed.values().filter(|listed| listed.target.is_leaving);
        let mut left: BTreeSet<Start> = leaving.map(|listed| start_of(&listed.target)).collect();
        left.extend(self.departed.keys().cloned());
        self.replace(targets, now, grace_period);
        self.held_until = now + hold;
        for listed in self.listed.values_mut() {
            if !listed.target.is_leaving && left.contains(&start_of(&listed.target)) {
                listed.target.is_leaving = true;
                listed.is_held = true;
            }
        }
    }

    /// Releases the targets that are held if their time has passed, and returns how many are still held.
    pub fn release_held(&mut self, now: Uptime) -> usize {
        let held = self.listed.values_mut().filter(|listed| listed.is_held);
        if now < self.held_until {
            return held.count();
        }
        for listed in held {
            listed.target.is_leaving = false;
            listed.is_held = false;
        }
        0
    }

    /// Replaces the list; targets that are missing from the new one are removed as by [`Self::remove`].
    pub fn replace(&mut self, targets: Vec<Target>, now: Uptime, grace_period: Duration) {
        let missing: Vec<Name> = self
            .listed
            .keys()
            .filter(|id| !targets.iter().any(|target| target.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now, grace_period);
        }
        for target in targets {
            self.put(target);
        }
    }

    /// Removes the missing targets if the grace period after the recovery has ended, and returns their ids.
    pub fn remove_expired(&mut self, now: Uptime, grace_period: Duration) -> Vec<Name> {
        if self.is_recovering(now, grace_period) {
            return Vec::new();
        }
        let missing = self.listed.iter().filter(|(_, listed)| listed.is_missing);
        let expired: Vec<Name> = missing.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.depart(id, now);
        }
        expired
    }

    /// Returns the number of targets that are kept although the platform's list lacks them.
    pub fn missing_count(&self) -> usize {
        self.listed.values().filter(|listed| listed.is_missing).count()
    }

    /// Returns all targets, also those that are leaving or missing.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.listed.values().map(|listed| &listed.target)
    }

    /// Returns the targets that accept requests.
    pub fn usable(&self) -> impl Iterator<Item = &Target> {
        let has_announced = |target: &Target| {
            !self.announced.is_empty() && self.announced.contains_key(&start_of(target))
        };
        let is_evacuated = |target: &Target| self.evacuated.contains(&target.data_centre);
        let listed = self.listed.values().map(|listed| &listed.target);
        listed.filter(move |target| {
            !target.is_leaving && !has_announced(target) && !is_evacuated(target)
        })
    }
}
